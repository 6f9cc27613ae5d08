// Package leader combines the leader's volatile state: worker leases, limits
// shared among the entry hosts, the scheduler and the table of upstreams. A
// Core is created when a replica has been elected leader, holds its lease and
// has applied the first entry of its own term. It is discarded when the
// replica stops leading. The package does no I/O and reads no clock; callers
// pass the time in.
package leader

import (
	"slices"
	"time"

	"gooseberrypond/core/grant"
	"gooseberrypond/core/lease"
	"gooseberrypond/core/sched"
	"gooseberrypond/core/state"
	"gooseberrypond/core/structs"
)

const (
	// leaseCheckInterval is the period of the check for expired worker leases.
	leaseCheckInterval = 100 * time.Millisecond
	// expireInterval is the period at which Expire commands are proposed. They
	// delete records past their retention time.
	expireInterval = time.Minute
	// expireBacklogDelay is the delay before the next Expire command if the last one
	// left records that are also due.
	expireBacklogDelay = time.Second
	// planTimeout is how long the core waits for a proposed plan to be applied
	// before it makes another. If the first plan is applied after all, the
	// decisions that no longer hold are dropped when they are applied.
	planTimeout = time.Second
	// noteInterval is the period for which the jobs with a proposed note are
	// remembered. Within it each job gets at most one note.
	noteInterval = 5 * time.Second
)

// LiveView reports which workers may be offered new work. It is an alias, so
// that package sched can declare the identical type without importing this
// package.
type LiveView = interface {
	Live(worker structs.WorkerID) bool
}

// Scheduler makes placement and eviction plans. Package sched implements it.
type Scheduler interface {
	Observe(now time.Time, worker structs.WorkerID, usage []structs.Usage, t *state.Tables)
	RecordEnd(ev structs.TaskEvent, task *structs.Task, entry string, nowMS int64)
	Plan(now time.Time, nowMS int64, t *state.Tables, live LiveView) *structs.Plan
	Throttles(worker structs.WorkerID) []structs.TaskID
	Explain(t *state.Tables, job structs.JobID) []string
}

// Grants divides limits (upstream slots, concurrency and request rates of
// owners) among the entry hosts. Package grant implements it.
type Grants interface {
	SetCapacity(key structs.GrantKey, capacity int, perHostMax int)
	Remove(key structs.GrantKey)
	Sync(now time.Time, req *structs.EntrySync) ([]structs.Grant, *structs.Error)
}

// Core is the leader's volatile state. It is not safe for concurrent use.
type Core struct {
	tables         *state.Tables
	lease          *lease.Table
	sched          Scheduler
	grants         Grants
	electedAt      time.Time
	entryHostNames []string
	hosts          map[string]*entryHostState
	upstreams      map[string]*upstreamState
	// limitsCatalogue is the catalogue from which the limits of owners were last set.
	limitsCatalogue *structs.Catalogue

	// lastNow and lastNowMS are the time and the wall clock in milliseconds of the
	// last tick. Commands made between ticks derive their wall clock from them.
	lastNow   time.Time
	lastNowMS int64

	// planPending is set while the plan proposed at planProposedAt is not yet
	// applied.
	planPending    bool
	planProposedAt time.Time
	// notedJobs holds the jobs with a note proposed since notedSince.
	notedJobs      map[structs.JobID]bool
	notedSince     time.Time
	lastLeaseCheck time.Time
	nextExpire     time.Time
}

// New returns the core of a leader elected at now, with the scheduler of
// package sched and the limits of package grant.
func New(now time.Time, t *state.Tables, entryHostNames []string) *Core {
	grants := grant.New(now, entryHostNames)
	if t.Catalogue().Version == 0 {
		// Entry hosts start no requests without a catalogue. The first leader of a
		// new cluster can therefore grant at once instead of waiting until requests
		// started under an earlier leader have ended.
		grants.SetFirstLeader()
	}
	return NewWith(now, t, entryHostNames, sched.New(sched.Options{}), grants)
}

// NewWith is like New, with the given scheduler and limits.
func NewWith(now time.Time, tables *state.Tables, entryHostNames []string, sched Scheduler, grants Grants) *Core {
	c := &Core{
		tables: tables, lease: lease.New(now), sched: sched, grants: grants,
		electedAt: now, entryHostNames: entryHostNames,
		hosts:     make(map[string]*entryHostState, len(entryHostNames)),
		upstreams: map[string]*upstreamState{},
		notedJobs: map[structs.JobID]bool{},
		lastNow:   now, lastNowMS: tables.NowMS(),
		nextExpire: now.Add(expireInterval),
	}
	c.lease.SetElectedIndex(tables.Index())
	for _, h := range entryHostNames {
		c.hosts[h] = &entryHostState{lastSync: now}
	}
	return c
}

// Tick does the periodic work and returns the commands to propose, in order.
func (c *Core) Tick(now time.Time, nowMS int64) []*structs.Command {
	c.lastNow, c.lastNowMS = now, nowMS
	var out []*structs.Command
	if now.Sub(c.lastLeaseCheck) >= leaseCheckInterval {
		c.lastLeaseCheck = now
		out = append(out, c.lease.Expired(now, c.tables)...)
	}
	c.refreshLimits(now)
	if cmd := c.plan(now, nowMS); cmd != nil {
		out = append(out, cmd)
	}
	if cmd := c.expire(now, nowMS); cmd != nil {
		out = append(out, cmd)
	}
	for _, cmd := range out {
		c.setVersionAndTime(now, cmd)
	}
	return out
}

// setVersionAndTime sets the format version and the wall clock of a command.
func (c *Core) setVersionAndTime(now time.Time, cmd *structs.Command) {
	cmd.Version = structs.CommandVersion
	cmd.NowMS = c.lastNowMS + now.Sub(c.lastNow).Milliseconds()
}

// plan returns a command with the scheduler's next plan, or nil if the plan is
// empty. It makes no plan while the previous one waits to be applied, because
// a second plan from the same tables would repeat the same decisions.
func (c *Core) plan(now time.Time, nowMS int64) *structs.Command {
	if c.planPending && now.Sub(c.planProposedAt) < planTimeout {
		return nil
	}
	plan := c.sched.Plan(now, nowMS, c.tables, liveWorkersAt{c.lease, now})
	if plan == nil {
		plan = &structs.Plan{}
	}
	plan.Occurrences = c.dueOccurrences(nowMS)
	plan.Notes = c.dropRepeatedNotes(now, plan.Notes)
	if plan.Empty() {
		c.planPending = false
		return nil
	}
	c.planPending, c.planProposedAt = true, now
	return &structs.Command{Plan: plan}
}

// dropRepeatedNotes removes notes on jobs that already got one in the current
// noteInterval. Otherwise a note that is dropped when applied would be proposed
// again at every tick and fill the log.
func (c *Core) dropRepeatedNotes(now time.Time, notes []structs.JobNote) []structs.JobNote {
	if now.Sub(c.notedSince) >= noteInterval {
		c.notedSince = now
		clear(c.notedJobs)
	}
	return slices.DeleteFunc(notes, func(n structs.JobNote) bool {
		repeated := c.notedJobs[n.Job]
		c.notedJobs[n.Job] = true
		return repeated
	})
}

// liveWorkersAt implements LiveView for a fixed time.
type liveWorkersAt struct {
	lease *lease.Table
	now   time.Time
}

// Live reports whether the worker may be offered new work.
func (l liveWorkersAt) Live(id structs.WorkerID) bool { return l.lease.Live(l.now, id) }

func (c *Core) expire(now time.Time, nowMS int64) *structs.Command {
	if now.Before(c.nextExpire) {
		return nil
	}
	c.nextExpire = now.Add(expireInterval)
	return &structs.Command{Expire: &structs.Expire{}}
}

// Applied updates the core after a command has been applied to the tables. It
// must be called for every command, in log order.
func (c *Core) Applied(cmd *structs.Command, res structs.Result) {
	c.lease.Applied(cmd)
	switch {
	case cmd.Plan != nil:
		c.planPending = false
	case cmd.WorkerEvents != nil:
		c.recordEnds(cmd.WorkerEvents, res.Ended)
	case cmd.Expire != nil:
		if c.tables.ExpireDue(c.tables.NowMS()) {
			c.nextExpire = c.lastNow.Add(expireBacklogDelay)
		}
	}
}

func (c *Core) recordEnds(ev *structs.WorkerEvents, ended []structs.EndedAttempt) {
	for i := range ended {
		e := &ended[i]
		if job := c.tables.Job(e.Task.ID.Job); job != nil {
			c.sched.RecordEnd(e.Event, &e.Task, job.Spec.Entry, c.tables.NowMS())
		}
	}
}

// WorkerSync handles a worker's report and returns the reply. The caller must
// propose the returned command unless it is nil.
func (c *Core) WorkerSync(now time.Time, req *structs.WorkerSync) (structs.WorkerSyncReply, *structs.Command, *structs.Error) {
	reply, cmd, err := c.lease.Sync(now, c.tables, req, c.sched.Throttles(req.ID)...)
	if err != nil {
		return reply, nil, err
	}
	if cmd != nil {
		c.setVersionAndTime(now, cmd)
	}
	if len(req.Usage) > 0 && !reply.Reregister {
		c.sched.Observe(now, req.ID, req.Usage, c.tables)
	}
	return reply, cmd, nil
}

// WorkerPoll returns the current reply to a worker's sync that is held open.
func (c *Core) WorkerPoll(now time.Time, req *structs.WorkerSync) (structs.WorkerSyncReply, *structs.Error) {
	return c.lease.Poll(now, c.tables, req, c.sched.Throttles(req.ID)...)
}

// Explain returns lines that describe the scheduler's decisions about a job.
func (c *Core) Explain(job structs.JobID) []string { return c.sched.Explain(c.tables, job) }
