package sched

import (
	"math/bits"
	"math/rand/v2"

	"gooseberrypond/core/structs"
)

const (
	// sizeClasses is the number of size classes per dimension (free processors,
	// free memory). Class c starts at 2^(c-1) units.
	sizeClasses = 16
	// cpuUnitMilli and memoryUnitMB are the resolution of the index.
	cpuUnitMilli = 125
	memoryUnitMB = 128
	// scanLimit limits the linear search through workers whose size class does
	// not tell whether they have enough free capacity.
	scanLimit = 256
)

// freeIndex groups usable nodes by size class of free processors and free
// memory, so that the cost of finding one with enough free capacity does not
// depend on the number of workers.
type freeIndex struct {
	// slot is this index's position in node.bucket and node.pos.
	slot    int
	buckets [sizeClasses * sizeClasses][]*node
	// nonEmpty has, for each processor class, one bit per memory class that has a
	// non-empty bucket.
	nonEmpty [sizeClasses]uint32
}

func sizeClass(amount, unit int64) int {
	if amount <= 0 {
		return 0
	}
	return min(bits.Len64(uint64(amount/unit)), sizeClasses-1)
}

func bucketOf(free structs.Resources) int {
	return sizeClass(free.CPUMilli, cpuUnitMilli)*sizeClasses + sizeClass(free.MemoryMB, memoryUnitMB)
}

func (x *freeIndex) remove(n *node) {
	p := n.pos[x.slot]
	if p < 0 {
		return
	}
	b := n.bucket[x.slot]
	list := x.buckets[b]
	last := len(list) - 1
	list[p] = list[last]
	list[p].pos[x.slot] = p
	list[last] = nil
	x.buckets[b] = list[:last]
	if last == 0 {
		x.nonEmpty[b/sizeClasses] &^= 1 << (b % sizeClasses)
	}
	n.pos[x.slot] = -1
}

func (x *freeIndex) update(n *node, wanted bool) {
	b := bucketOf(n.free())
	if wanted && n.pos[x.slot] >= 0 && n.bucket[x.slot] == b {
		return
	}
	x.remove(n)
	if !wanted {
		return
	}
	n.bucket[x.slot] = b
	n.pos[x.slot] = len(x.buckets[b])
	x.buckets[b] = append(x.buckets[b], n)
	x.nonEmpty[b/sizeClasses] |= 1 << (b % sizeClasses)
}

// sample appends to dst fewer than 2k nodes that have need free, spread evenly
// over all nodes whose size class allows it.
func (x *freeIndex) sample(dst []*node, need structs.Resources, k int, rng *rand.Rand) []*node {
	c0 := sizeClass(need.CPUMilli, cpuUnitMilli)
	m0 := sizeClass(need.MemoryMB, memoryUnitMB)
	total := 0
	for c := c0; c < sizeClasses; c++ {
		for set := x.nonEmpty[c] >> m0 << m0; set != 0; set &= set - 1 {
			total += len(x.buckets[c*sizeClasses+bits.TrailingZeros32(set)])
		}
	}
	if total == 0 {
		return dst
	}
	stride := max(1, total/k)
	next := 0
	if stride > 1 {
		next = rng.IntN(stride)
	}
	base, start := 0, len(dst)
	for c := c0; c < sizeClasses; c++ {
		for set := x.nonEmpty[c] >> m0 << m0; set != 0; set &= set - 1 {
			list := x.buckets[c*sizeClasses+bits.TrailingZeros32(set)]
			for ; next < base+len(list); next += stride {
				if n := list[next-base]; need.Fits(n.free()) {
					dst = append(dst, n)
				}
			}
			base += len(list)
		}
	}
	if len(dst) == start && stride > 1 {
		return x.scan(dst, need, c0, m0)
	}
	return dst
}

// scan is the fallback when a sample found no fitting node: it checks up to
// scanLimit nodes one by one, starting with the largest processor classes; within
// one of them, memory classes ascend.
func (x *freeIndex) scan(dst []*node, need structs.Resources, c0, m0 int) []*node {
	seen := 0
	for c := sizeClasses - 1; c >= c0; c-- {
		for set := x.nonEmpty[c] >> m0 << m0; set != 0; set &= set - 1 {
			for _, n := range x.buckets[c*sizeClasses+bits.TrailingZeros32(set)] {
				if need.Fits(n.free()) {
					return append(dst, n)
				}
				if seen++; seen >= scanLimit {
					return dst
				}
			}
		}
	}
	return dst
}
