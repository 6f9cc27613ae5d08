package route

import (
	"cmp"
	"slices"
	"time"

	"gooseberrypond/core/structs"
)

// Snapshot is the routing state as shown in dumps.
type Snapshot struct {
	Term      uint64           `json:"term"`
	ViewMS    int64            `json:"view_valid_ms"`
	InFlight  int              `json:"in_flight"`
	Queued    int              `json:"queued"`
	Stats     Stats            `json:"stats"`
	Upstreams []UpstreamStatus `json:"upstreams"`
	Owners    []OwnerStatus    `json:"owners"`
}

// UpstreamStatus is the state of one upstream on this host.
type UpstreamStatus struct {
	structs.Upstream
	Grant   int  `json:"grant"`
	InUse   int  `json:"in_use"`
	Ejected bool `json:"ejected,omitempty"`
}

// OwnerStatus is the state of one owner's limits on this host.
type OwnerStatus struct {
	Name        string `json:"name"`
	Running     int    `json:"running"`
	Queued      int    `json:"queued"`
	Concurrency int    `json:"concurrency"`
	Rate        int    `json:"rate"`
}

// Snapshot returns the current routing state, sorted by name.
func (r *Router) Snapshot(now time.Time) Snapshot {
	s := Snapshot{Term: r.view.term, InFlight: len(r.requests), Queued: r.queued, Stats: r.stats}
	if r.Fresh(now) {
		s.ViewMS = r.view.validUntil.Sub(now).Milliseconds()
	}
	for _, u := range r.upstreams {
		s.Upstreams = append(s.Upstreams, UpstreamStatus{Upstream: u.info, Grant: u.grant, InUse: u.inUse, Ejected: u.isEjected(now)})
	}
	for _, o := range r.owners {
		s.Owners = append(s.Owners, OwnerStatus{Name: o.name, Running: o.running, Queued: o.queued, Concurrency: o.concurrency, Rate: o.rate.share})
	}
	slices.SortFunc(s.Upstreams, func(a, b UpstreamStatus) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(s.Owners, func(a, b OwnerStatus) int { return cmp.Compare(a.Name, b.Name) })
	return s
}
