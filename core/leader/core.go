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
	// expireMore is the delay before the next Expire command if the last one
	// left records that are also due.
	expireMore = time.Second
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
	t          *state.Tables
	lease      *lease.Table
	sched      Scheduler
	grants     Grants
	electedAt  time.Time
	entryHosts []string
	hosts      map[string]*hostRec
	upstreams  map[string]*upstreamRec
	// catalogue is the version from which the limits of owners were last set.
	catalogue *structs.Catalogue

	// lastNow and lastMS are the time and the wall clock in milliseconds of the
	// last tick. Commands made between ticks derive their wall clock from them.
	lastNow time.Time
	lastMS  int64

	// planOpen is set while the plan proposed at planAt is not yet applied.
	planOpen bool
	planAt   time.Time
	// noted holds the jobs with a note proposed since notedFrom.
	noted      map[structs.JobID]bool
	notedFrom  time.Time
	leaseCheck time.Time
	nextExpire time.Time
}

// New returns the core of a leader elected at now, with the scheduler of
// package sched and the limits of package grant.
func New(now time.Time, t *state.Tables, entryHosts []string) *Core {
	grants := grant.New(now, entryHosts)
	if t.Catalogue().Version == 0 {
		// Entry hosts start no requests without a catalogue. The first leader of a
		// new cluster can therefore grant at once instead of waiting until requests
		// started under an earlier leader have ended.
		grants.SetFirst()
	}
	return NewWith(now, t, entryHosts, sched.New(sched.Options{}), grants)
}

// NewWith is like New, with the given scheduler and limits.
func NewWith(now time.Time, t *state.Tables, entryHosts []string, sched Scheduler, grants Grants) *Core {
	c := &Core{
		t: t, lease: lease.New(now), sched: sched, grants: grants,
		electedAt: now, entryHosts: entryHosts,
		hosts:     make(map[string]*hostRec, len(entryHosts)),
		upstreams: map[string]*upstreamRec{},
		noted:     map[structs.JobID]bool{},
		lastNow:   now, lastMS: t.NowMS(),
		nextExpire: now.Add(expireInterval),
	}
	c.lease.SetElectedIndex(t.Index())
	for _, h := range entryHosts {
		c.hosts[h] = &hostRec{lastSync: now}
	}
	return c
}

// Tick does the periodic work and returns the commands to propose, in order.
func (c *Core) Tick(now time.Time, nowMS int64) []*structs.Command {
	c.lastNow, c.lastMS = now, nowMS
	var out []*structs.Command
	if now.Sub(c.leaseCheck) >= leaseCheckInterval {
		c.leaseCheck = now
		out = append(out, c.lease.Expired(now, c.t)...)
	}
	c.refreshLimits(now)
	if cmd := c.plan(now, nowMS); cmd != nil {
		out = append(out, cmd)
	}
	if cmd := c.expire(now, nowMS); cmd != nil {
		out = append(out, cmd)
	}
	for _, cmd := range out {
		c.stamp(now, cmd)
	}
	return out
}

// stamp sets the format version and the wall clock of a command.
func (c *Core) stamp(now time.Time, cmd *structs.Command) {
	cmd.Version = structs.CommandVersion
	cmd.NowMS = c.lastMS + now.Sub(c.lastNow).Milliseconds()
}

// plan returns a command with the scheduler's next plan, or nil if the plan is
// empty. It makes no plan while the previous one waits to be applied, because
// a second plan from the same tables would repeat the same decisions.
func (c *Core) plan(now time.Time, nowMS int64) *structs.Command {
	if c.planOpen && now.Sub(c.planAt) < planTimeout {
		return nil
	}
	plan := c.sched.Plan(now, nowMS, c.t, liveAt{c.lease, now})
	if plan == nil {
		plan = &structs.Plan{}
	}
	plan.Occurrences = c.occurrences(nowMS)
	plan.Notes = c.newNotes(now, plan.Notes)
	if plan.Empty() {
		c.planOpen = false
		return nil
	}
	c.planOpen, c.planAt = true, now
	return &structs.Command{Plan: plan}
}

// newNotes removes notes on jobs that already got one in the current
// noteInterval. Otherwise a note that is dropped when applied would be proposed
// again at every tick and fill the log.
func (c *Core) newNotes(now time.Time, notes []structs.JobNote) []structs.JobNote {
	if now.Sub(c.notedFrom) >= noteInterval {
		c.notedFrom = now
		clear(c.noted)
	}
	return slices.DeleteFunc(notes, func(n structs.JobNote) bool {
		seen := c.noted[n.Job]
		c.noted[n.Job] = true
		return seen
	})
}

// liveAt implements LiveView for a fixed time.
type liveAt struct {
	lease *lease.Table
	now   time.Time
}

// Live reports whether the worker may be offered new work.
func (l liveAt) Live(id structs.WorkerID) bool { return l.lease.Live(l.now, id) }

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
		c.planOpen = false
	case cmd.WorkerEvents != nil:
		c.recordEnds(cmd.WorkerEvents, res.Ended)
	case cmd.Expire != nil:
		if c.t.ExpireDue(c.t.NowMS()) {
			c.nextExpire = c.lastNow.Add(expireMore)
		}
	}
}

func (c *Core) recordEnds(ev *structs.WorkerEvents, ended []structs.EndedAttempt) {
	for i := range ended {
		e := &ended[i]
		if job := c.t.Job(e.Task.ID.Job); job != nil {
			c.sched.RecordEnd(e.Event, &e.Task, job.Spec.Entry, c.t.NowMS())
		}
	}
}

// WorkerSync handles a worker's report and returns the reply. The caller must
// propose the returned command unless it is nil.
func (c *Core) WorkerSync(now time.Time, req *structs.WorkerSync) (structs.WorkerSyncReply, *structs.Command, *structs.Error) {
	reply, cmd, err := c.lease.Sync(now, c.t, req, c.sched.Throttles(req.ID)...)
	if err != nil {
		return reply, nil, err
	}
	if cmd != nil {
		c.stamp(now, cmd)
	}
	if len(req.Usage) > 0 && !reply.Reregister {
		c.sched.Observe(now, req.ID, req.Usage, c.t)
	}
	return reply, cmd, nil
}

// WorkerPoll returns the current reply to a worker's sync that is held open.
func (c *Core) WorkerPoll(now time.Time, req *structs.WorkerSync) (structs.WorkerSyncReply, *structs.Error) {
	return c.lease.Poll(now, c.t, req, c.sched.Throttles(req.ID)...)
}

// Explain returns lines that describe the scheduler's decisions about a job.
func (c *Core) Explain(job structs.JobID) []string { return c.sched.Explain(c.t, job) }
