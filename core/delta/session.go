package delta

import (
	"slices"

	"gooseberrypond/core/structs"
)

// Session is the leader's side for one entry host. It lives as long as one
// leadership.
type Session struct {
	incarnation uint64
	// sent is the last exchange; confirmed is the one that its report confirmed.
	// A host puts only the answer to its newest sync in force, so its next
	// report confirms one of these.
	sent, confirmed exchange
}

// exchange is an accepted report and its answer.
type exchange struct {
	seq       uint64 // 0 when there is none
	holdings  []structs.Holding
	upstreams []structs.Upstream
	grants    []structs.Grant
}

// base returns the exchange that the report confirms, or nil.
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

// Expand returns the complete report, or false if it changes one that this
// leader does not have. A confirmation of another leader's answer is left out
// of it: this leader's answer with that number may have been a different one.
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

// Reduce records a complete report that was accepted with its complete view,
// and cuts the view to what the host lacks.
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

// cut leaves in the view what next has changed from base.
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
