package delta

import (
	"slices"

	"gooseberrypond/core/structs"
)

// Session is the leader's state for one entry host. It is used for one leadership
// only.
type Session struct {
	incarnation uint64
	// last is the last exchange, and confirmed the one that its report confirmed.
	// A host applies only the reply to its newest sync, so its next report
	// confirms one of the two.
	last, confirmed exchange
}

// exchange is an accepted report with its reply, both as complete lists.
type exchange struct {
	seq       uint64 // 0 when there is none
	holdings  []structs.Holding
	upstreams []structs.Upstream
	grants    []structs.Grant
}

// base returns the exchange that the report confirms, or nil if it is not known.
func (s *Session) base(term uint64, req *structs.EntrySync) *exchange {
	if req.Incarnation != s.incarnation || req.AppliedTerm != term || req.AppliedSeq == 0 {
		return nil
	}
	for _, e := range []*exchange{&s.last, &s.confirmed} {
		if e.seq == req.AppliedSeq {
			return e
		}
	}
	return nil
}

// Expand returns the complete report, or false if it is relative to a report that
// this leader does not have. A confirmation of another leader's reply is removed,
// because this leader's reply with that number may have been a different one.
func (s *Session) Expand(term uint64, req *structs.EntrySync) (*structs.EntrySync, bool) {
	full := *req
	full.Base = 0
	if req.Base != 0 {
		b := s.base(term, req)
		if b == nil || b.seq != req.Base {
			return nil, false
		}
		full.Holdings = merge(b.holdings, sorted(req.Holdings, compareHoldings), compareHoldings, func(h structs.Holding) bool {
			return h.Held == 0 && h.Demand == 0
		})
	}
	if req.AppliedTerm != term {
		full.AppliedSeq = 0
	}
	return &full, true
}

// Reduce records an accepted, complete report with its complete view, and reduces
// the view to the changes that the host does not have.
func (s *Session) Reduce(term uint64, req *structs.EntrySync, v structs.EntryView) structs.EntryView {
	next := exchange{
		seq:       req.Seq,
		holdings:  sorted(req.Holdings, compareHoldings),
		upstreams: sorted(v.Upstreams, compareUpstreams),
		grants:    sorted(v.Grants, compareGrants),
	}
	var confirmed exchange
	if b := s.base(term, req); b != nil {
		confirmed = *b
		v = reduceView(confirmed, next, v)
	}
	s.incarnation = req.Incarnation
	s.last, s.confirmed = next, confirmed
	return v
}

// reduceView reduces the view to the differences between base and next.
func reduceView(base, next exchange, v structs.EntryView) structs.EntryView {
	v.Base = base.seq
	v.Upstreams, v.Gone = nil, nil
	if !slices.Equal(base.upstreams, next.upstreams) {
		changed, gone := diff(base.upstreams, next.upstreams, compareUpstreams)
		v.Upstreams = changed
		for _, u := range gone {
			v.Gone = append(v.Gone, u.Name)
		}
	}
	changed, gone := diff(base.grants, next.grants, compareGrants)
	v.Grants = changed
	for _, g := range gone {
		v.Grants = append(v.Grants, structs.Grant{Key: g.Key})
	}
	return v
}
