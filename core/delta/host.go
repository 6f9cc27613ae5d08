package delta

import "gooseberrypond/core/structs"

// Host is an entry host's side: its last report and the lists of the last view
// that it has put in force.
type Host struct {
	reported  []structs.Holding
	upstreams []structs.Upstream
	grants    []structs.Grant
}

// Upstreams returns the upstreams of the view in force, by name.
func (h *Host) Upstreams() []structs.Upstream { return h.upstreams }

// Reduce cuts a complete report to what changed since the one before.
// confirmed tells that the answer to the one before is in force, so that the
// leader that gave it has that report; else the report stays complete.
func (h *Host) Reduce(req *structs.EntrySync, confirmed bool) {
	full := sorted(req.Holdings, byHolding)
	req.Base, req.Holdings = 0, full
	if confirmed && req.AppliedSeq > 0 {
		changed, gone := changes(h.reported, full, byHolding)
		for _, g := range gone {
			changed = append(changed, structs.Holding{Key: g.Key})
		}
		req.Base, req.Holdings = req.AppliedSeq, sorted(changed, byHolding)
	}
	h.reported = full
}

// Apply takes over the lists of a view that is put in force and returns the
// complete view. The caller has checked that the base of the view, if any, is
// the view in force.
func (h *Host) Apply(v *structs.EntryView) *structs.EntryView {
	full := *v
	full.Base, full.Gone = 0, nil
	if v.Base != 0 {
		gone := make(map[string]bool, len(v.Gone))
		for _, name := range v.Gone {
			gone[name] = true
		}
		full.Upstreams = merge(h.upstreams, sorted(v.Upstreams, byName), byName, func(u structs.Upstream) bool { return gone[u.Name] })
		full.Grants = merge(h.grants, sorted(v.Grants, byGrant), byGrant, func(g structs.Grant) bool { return g.Amount == 0 })
	}
	h.upstreams, h.grants = sorted(full.Upstreams, byName), sorted(full.Grants, byGrant)
	return &full
}
