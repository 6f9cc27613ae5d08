package dispatch

import (
	"cmp"
	"slices"
	"time"

	"gooseberrypond/core/graph"
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
