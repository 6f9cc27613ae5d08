package grant

import (
	"time"

	"gooseberrypond/core/structs"
)

// target returns the share of a limit that the holder should have: max-min fair by
// demand, and at least a small floor for each host that is not stopping. Hosts with
// demand also get a part of the unused capacity.
func (g *Table) target(now time.Time, l *limit, index int, holdingsKnown bool) int {
	var wantBuf, shareBuf [16]int
	n := len(g.names)
	wants, shares := wantBuf[:0], shareBuf[:0]
	active := 0
	for i := range l.shares {
		w := g.want(now, l, i, holdingsKnown)
		wants = append(wants, w)
		shares = append(shares, 0)
		if w > 0 && l.shares[i].demand > 0 {
			active++
		}
	}
	start := l.rotation
	if active > l.capacity {
		start += int(now.Sub(g.electedAt) / rotatePeriod)
	}
	spare := maxMinFill(wants, shares, l.capacity, start%n)
	got := shares[index]
	if holdingsKnown && active > 0 && wants[index] > 0 && l.shares[index].demand > 0 && !g.holders[index].stopping {
		got = l.clamp(got + spare/spareDivisor/active)
	}
	return got
}

// want returns the share that a holder gets if the capacity suffices for all.
func (g *Table) want(now time.Time, l *limit, index int, holdingsKnown bool) int {
	s := &l.shares[index]
	if !holdingsKnown {
		// Until all holdings are known, only existing shares are renewed.
		return l.clamp(s.bound())
	}
	h := &g.holders[index]
	if !h.known || now.Sub(h.lastSync) > structs.ViewMaxAge {
		return 0
	}
	if h.stopping {
		return l.clamp(s.demand)
	}
	return l.clamp(max(s.demand, l.floor(index)))
}

// floor returns the minimum share of a holder that is not stopping. The holders
// that get the remainder differ between limits.
func (l *limit) floor(index int) int {
	n := len(l.shares)
	total := max(l.capacity/floorDivisor, min(l.capacity, 1))
	f := total / n
	if (index+l.rotation)%n < total%n {
		f++
	}
	return f
}

// clamp limits an amount to the maximum share of one host.
func (l *limit) clamp(amount int) int {
	if l.perHostMax > 0 {
		amount = min(amount, l.perHostMax)
	}
	return min(amount, l.capacity)
}

// maxMinFill divides the capacity among shares, max-min fairly by wants, and
// returns the unused capacity. A remainder of less than one per host goes to the
// hosts from index start on.
func maxMinFill(wants, shares []int, capacity, start int) int {
	for capacity > 0 {
		open := 0
		for i := range wants {
			if shares[i] < wants[i] {
				open++
			}
		}
		if open == 0 {
			break
		}
		each := capacity / open
		for k := 0; k < len(wants) && capacity > 0; k++ {
			i := (start + k) % len(wants)
			add := min(max(each, 1), wants[i]-shares[i], capacity)
			shares[i] += add
			capacity -= add
		}
	}
	return capacity
}
