package delta

import (
	"slices"

	"gooseberrypond/core/structs"
)

// Session is the leader's state for one entry host. It is used for one leadership
// only.
type Session struct {
	incarnation uint64
	// sent is the last exchange, and confirmed the one that its report confirmed.
	// A host applies only the reply to its newest sync, so its next report
	// confirms one of the two.
	sent, confirmed exchange
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
	for _, e := range []*exchange{&s.sent, &s.confirmed} {
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
		full.Holdings = merge(b.holdings, sorted(req.Holdings, byHolding), byHolding, func(h structs.Holding) bool {
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
		holdings:  sorted(req.Holdings, byHolding),
		upstreams: sorted(v.Upstreams, byName),
		grants:    sorted(v.Grants, byGrant),
	}
	var confirmed exchange
	if b := s.base(term, req); b != nil {
		confirmed = *b
		v = cut(confirmed, next, v)
	}
	s.incarnation = req.Incarnation
	s.sent, s.confirmed = next, confirmed
	return v
}

// cut reduces the view to the differences between base and next.
func cut(base, next exchange, v structs.EntryView) structs.EntryView {
	v.Base = base.seq
	v.Upstreams, v.Gone = nil, nil
	if !slices.Equal(base.upstreams, next.upstreams) {
		changed, gone := changes(base.upstreams, next.upstreams, byName)
		v.Upstreams = changed
		for _, u := range gone {
			v.Gone = append(v.Gone, u.Name)
		}
	}
	changed, gone := changes(base.grants, next.grants, byGrant)
	v.Grants = changed
	for _, g := range gone {
		v.Grants = append(v.Grants, structs.Grant{Key: g.Key})
	}
	return v
}
