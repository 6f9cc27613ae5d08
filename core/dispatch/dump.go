package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"gooseberrypond/core/graph"
	"gooseberrypond/core/organisation"
	"gooseberrypond/core/structs"
)

// WorkerDump describes the leader's view of one incarnation of a worker.
type WorkerDump struct {
	ID       string       `json:"id"`
	Handle   graph.Handle `json:"handle"`
	Domain   string       `json:"domain"`
	Usable   bool         `json:"usable"`
	Fenced   bool         `json:"fenced"`
	Suspect  bool         `json:"suspect"`
	Draining bool         `json:"draining"`
	Left     bool         `json:"left"`
	// LeaseLeftMS is the longest time for which the worker's lease may still be valid.
	LeaseLeftMS int64 `json:"lease_left_ms"`
	// SilentMS is the time since the worker's last answer.
	SilentMS int64 `json:"silent_ms"`
	Runs     int   `json:"runs"`
	// FreeCPUMilli is the processor time that no run reserves.
	FreeCPUMilli int64 `json:"free_cpu_milli"`
}

// Workers returns the leader's view of each worker, ordered by handle.
func (c *Core) Workers(now time.Time) []WorkerDump {
	out := make([]WorkerDump, 0, len(c.workers))
	for h, ws := range c.workers {
		out = append(out, WorkerDump{
			ID: ws.w.ID, Handle: h, Domain: ws.w.Domain, Usable: c.usable(now, ws), Fenced: ws.fenced,
			Suspect: ws.suspect, Draining: ws.w.Draining, Left: ws.w.Left,
			LeaseLeftMS: ws.leaseEnd().Sub(now).Milliseconds(), SilentMS: now.Sub(ws.lastAnswer).Milliseconds(),
			Runs: len(ws.runs), FreeCPUMilli: ws.w.Free().CPUMilli,
		})
	}
	slices.SortFunc(out, func(a, b WorkerDump) int { return cmp.Compare(a.Handle, b.Handle) })
	return out
}

// OrganisationDump describes what an organisation holds and what waits for it.
type OrganisationDump struct {
	Name   string            `json:"name"`
	Weight float64           `json:"weight"`
	Use    structs.Resources `json:"use"`
	// Limit has no limit in the dimensions that are 0.
	Limit structs.Resources `json:"limit"`
	// Share is the weighted dominant share of the usable workers' capacity.
	Share float64 `json:"share"`
	// Waiting is the number of tasks of ready steps that have no run.
	Waiting int `json:"waiting"`
	// Recounted is set only if it differs from Use, which is a fault.
	Recounted *structs.Resources `json:"recounted,omitempty"`
}

// Organisations returns those of the configuration and all others that have work, ordered
// by name. The empty name has the jobs without an organisation.
func (c *Core) Organisations() []OrganisationDump {
	ledger := organisation.New(c.tables, capacityOf(c.candidatePools))
	waiting := map[string]int{}
	for _, s := range c.tables.Waiting() {
		waiting[owner(s)] += s.Waiting
	}
	recount := c.tables.RecountUsage()
	names := map[string]bool{}
	for name := range waiting {
		names[name] = true
	}
	for name := range recount {
		names[name] = true
	}
	for name := range c.tables.Usages {
		names[name] = true
	}
	if cfg := c.tables.Config(); cfg != nil {
		for i := range cfg.Organisations {
			names[cfg.Organisations[i].Name] = true
		}
	}
	var out []OrganisationDump
	for _, name := range slices.Sorted(maps.Keys(names)) {
		d := OrganisationDump{Name: name, Weight: ledger.Weight(name), Use: c.tables.Usage(name), Limit: ledger.Limit(name), Share: ledger.Share(name), Waiting: waiting[name]}
		if r := recount[name]; r != d.Use {
			d.Recounted = &r
		}
		out = append(out, d)
	}
	return out
}
