package organisation

import (
	"container/heap"

	"gooseberrypond/core/structs"
)

// Ranking puts work of several organisations in one order: next is the work of the
// organisation with the lowest weighted dominant share, with what was ranked before. One
// ranking of a ledger is in use at a time.
type Ranking struct{ lists byShare }

// Demand is work of an organisation that is to be ranked.
type Demand struct {
	Account *Account
	Need    structs.Resources
	// next is the index of the next demand of the organisation.
	next int
}

// list has the demands of one organisation that are not ranked yet.
type list struct {
	account     *Account
	share       float64
	first, last int
}

// rankedOf returns what the ranking has of an organisation.
func (r *Ranking) rankedOf(a *Account) structs.Resources {
	if a.ranking != r {
		a.ranking, a.ranked, a.list = r, structs.Resources{}, nil
	}
	return a.ranked
}

// Order calls next with the index of each demand, in the order of the ranking. Those of one
// organisation keep the order in which they are given, and so do equal shares.
func (r *Ranking) Order(demands []Demand, next func(int)) {
	r.collect(demands)
	heap.Init(&r.lists)
	for len(r.lists) > 0 {
		l := r.lists[0]
		d := &demands[l.first]
		next(l.first)
		d.Account.ranked = d.Account.ranked.Add(d.Need)
		if l.first == l.last {
			l.account.list = nil
			heap.Pop(&r.lists)
			continue
		}
		l.first, l.share = d.next, l.account.ShareWith(l.account.ranked)
		heap.Fix(&r.lists, 0)
	}
}

// collect makes the organisations' lists.
func (r *Ranking) collect(demands []Demand) {
	r.lists = r.lists[:0]
	for i := range demands {
		a := demands[i].Account
		ranked := r.rankedOf(a)
		if l := a.list; l != nil {
			demands[l.last].next, l.last = i, i
			continue
		}
		a.list = &list{account: a, first: i, last: i, share: a.ShareWith(ranked)}
		r.lists = append(r.lists, a.list)
	}
}

type byShare []*list

func (h byShare) Len() int { return len(h) }
func (h byShare) Less(i, j int) bool {
	if h[i].share != h[j].share {
		return h[i].share < h[j].share
	}
	return h[i].first < h[j].first
}
func (h byShare) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *byShare) Push(x any) { *h = append(*h, x.(*list)) }

// Pop implements heap.Interface.
func (h *byShare) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
