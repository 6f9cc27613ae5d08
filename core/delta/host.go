package delta

import "gooseberrypond/core/structs"

// Host is the state on an entry host: its last report and the lists of the last
// view that it applied.
type Host struct {
	reported  []structs.Holding
	upstreams []structs.Upstream
	grants    []structs.Grant
}

// Upstreams returns the upstreams of the applied view, sorted by name.
func (h *Host) Upstreams() []structs.Upstream { return h.upstreams }

// Reduce reduces a complete report to the changes since the previous one.
// confirmed reports whether the reply to the previous report was applied, which
// shows that the leader that replied has that report. If it is not, the report
// stays complete.
func (h *Host) Reduce(req *structs.EntrySync, confirmed bool) {
	full := sorted(req.Holdings, compareHoldings)
	req.Base, req.Holdings = 0, full
	if confirmed && req.AppliedSeq > 0 {
		changed, gone := diff(h.reported, full, compareHoldings)
		for _, g := range gone {
			changed = append(changed, structs.Holding{Key: g.Key})
		}
		req.Base, req.Holdings = req.AppliedSeq, sorted(changed, compareHoldings)
	}
	h.reported = full
}

// Apply applies a view and returns the complete view. The caller must have checked
// that the base of the view, if it has one, is the last applied view.
func (h *Host) Apply(v *structs.EntryView) *structs.EntryView {
	full := *v
	full.Base, full.Gone = 0, nil
	if v.Base != 0 {
		gone := make(map[string]bool, len(v.Gone))
		for _, name := range v.Gone {
			gone[name] = true
		}
		full.Upstreams = merge(h.upstreams, sorted(v.Upstreams, compareUpstreams), compareUpstreams, func(u structs.Upstream) bool { return gone[u.Name] })
		full.Grants = merge(h.grants, sorted(v.Grants, compareGrants), compareGrants, func(g structs.Grant) bool { return g.Amount == 0 })
	}
	h.upstreams, h.grants = sorted(full.Upstreams, compareUpstreams), sorted(full.Grants, compareGrants)
	return &full
}
