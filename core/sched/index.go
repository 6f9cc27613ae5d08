package sched

import (
	"math/bits"
	"math/rand/v2"

	"gooseberrypond/core/structs"
)

const (
	// sizeClasses is the number of classes of free processors and of free
	// memory; class c holds amounts of 2^(c-1) units or more.
	sizeClasses = 16
	// cpuUnitMilli and memoryUnitMB are the smallest amounts told apart by the index.
	cpuUnitMilli = 125
	memoryUnitMB = 128
	// boundaryScan bounds the search among workers that may or may not have room.
	boundaryScan = 256
)

// freeIndex groups usable nodes by the classes of their free processors and
// memory, so that finding workers with room does not depend on their number.
type freeIndex struct {
	// slot selects the node's position fields for this index.
	slot    int
	buckets [sizeClasses * sizeClasses][]*node
	// present has a bit per memory class for each processor class.
	present [sizeClasses]uint32
}

func classOf(amount, unit int64) int {
	if amount <= 0 {
		return 0
	}
	return min(bits.Len64(uint64(amount/unit)), sizeClasses-1)
}

func bucketOf(free structs.Resources) int {
	return classOf(free.CPUMilli, cpuUnitMilli)*sizeClasses + classOf(free.MemoryMB, memoryUnitMB)
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
		x.present[b/sizeClasses] &^= 1 << (b % sizeClasses)
	}
	n.pos[x.slot] = -1
}

func (x *freeIndex) place(n *node, wanted bool) {
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
	x.present[b/sizeClasses] |= 1 << (b % sizeClasses)
}

// sample appends to dst up to k nodes with room for need, spread evenly over
// all nodes that may have room.
func (x *freeIndex) sample(dst []*node, need structs.Resources, k int, rng *rand.Rand) []*node {
	c0 := classOf(need.CPUMilli, cpuUnitMilli)
	m0 := classOf(need.MemoryMB, memoryUnitMB)
	total := 0
	for c := c0; c < sizeClasses; c++ {
		for set := x.present[c] >> m0 << m0; set != 0; set &= set - 1 {
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
		for set := x.present[c] >> m0 << m0; set != 0; set &= set - 1 {
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

// scan looks through more nodes one by one, after a sample found no room.
func (x *freeIndex) scan(dst []*node, need structs.Resources, c0, m0 int) []*node {
	seen := 0
	for c := sizeClasses - 1; c >= c0; c-- {
		for set := x.present[c] >> m0 << m0; set != 0; set &= set - 1 {
			for _, n := range x.buckets[c*sizeClasses+bits.TrailingZeros32(set)] {
				if need.Fits(n.free()) {
					return append(dst, n)
				}
				if seen++; seen >= boundaryScan {
					return dst
				}
			}
		}
	}
	return dst
}
