package leader

import (
	"time"

	"gooseberrypond/core/lease"
	"gooseberrypond/core/state"
	"gooseberrypond/core/structs"
)

// Dump is a copy of the replicated tables and the leader's volatile state, for
// inspection. It encodes as JSON.
type Dump struct {
	Tables     *state.Image         `json:"tables"`
	Leases     []lease.Row          `json:"leases"`
	Upstreams  []structs.Upstream   `json:"upstreams"`
	EntryHosts map[string]EntryHost `json:"entry_hosts"`
	Counts     Counts               `json:"counts"`
}

// EntryHost is the state of a configured entry host.
type EntryHost struct {
	// Synced is set once the host has synced with this leader.
	Synced bool `json:"synced"`
	// SilentMS is the time in milliseconds since the last sync, or since the
	// election if the host has not synced yet.
	SilentMS         int64  `json:"silent_ms"`
	CatalogueVersion uint64 `json:"catalogue_version"`
	DomainsVersion   uint64 `json:"domains_version"`
	Stopping         bool   `json:"stopping"`
}

// Counts holds totals for metrics.
type Counts struct {
	state.Counts
	// AnsweringWorkers is the number of workers that may be offered new work.
	AnsweringWorkers int
	Upstreams        int
	LeavingUpstreams int
	// SilentHosts is the number of entry hosts without a sync for silentAfter.
	SilentHosts      int
	CatalogueVersion uint64
	DomainsOut       int
}

// Dump returns a copy of the state that later changes do not affect.
func (c *Core) Dump(now time.Time) Dump {
	d := Dump{
		Tables: c.tables.Fork(), Leases: c.lease.Rows(now, c.tables), Upstreams: c.Upstreams(now),
		EntryHosts: c.EntryHosts(now), Counts: c.Counts(now),
	}
	return d
}

// Counts returns totals for metrics.
func (c *Core) Counts(now time.Time) Counts {
	out := Counts{
		Counts: c.tables.Counts(), CatalogueVersion: c.tables.Catalogue().Version, DomainsOut: len(c.tables.DomainsOut()),
	}
	for _, w := range c.tables.Workers() {
		if c.lease.Live(now, w.ID) {
			out.AnsweringWorkers++
		}
	}
	for _, u := range c.Upstreams(now) {
		out.Upstreams++
		if u.Leaving {
			out.LeavingUpstreams++
		}
	}
	for _, h := range c.hosts {
		if now.Sub(h.lastSync) >= silentAfter {
			out.SilentHosts++
		}
	}
	return out
}
