// Package leader composes the leader's volatile state: worker leases, shares
// of limits, the scheduler and the table of upstreams. Its Core is created
// when a replica becomes leader, holds its lease and has applied the first
// entry of its own term, and is dropped when the replica stops leading. The
// package does no I/O and reads no clock; time is passed in.
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
	// leaseCheckInterval is the period of the check for ended leases.
	leaseCheckInterval = 100 * time.Millisecond
	// expireInterval is the period of the check for records past their retention.
	expireInterval = time.Minute
	// expireMore is the wait before the next Expire while more records are left.
	expireMore = time.Second
	// planTimeout is how long a plan may take to be applied before the next one
	// is made. Parts that were overtaken are dropped when they are applied.
	planTimeout = time.Second
	// noteInterval is the shortest time between two notes on one job.
	noteInterval = 5 * time.Second
)

// LiveView tells which workers may be offered new work. It is an alias, so
// that package sched can name the same type without this package.
type LiveView = interface {
	Live(worker structs.WorkerID) bool
}

// Scheduler decides plans. Package sched implements it.
type Scheduler interface {
	Observe(now time.Time, worker structs.WorkerID, usage []structs.Usage, t *state.Tables)
	RecordEnd(ev structs.TaskEvent, task *structs.Task, entry string, nowMS int64)
	Plan(now time.Time, nowMS int64, t *state.Tables, live LiveView) *structs.Plan
	Throttles(worker structs.WorkerID) []structs.TaskID
	Explain(t *state.Tables, job structs.JobID) []string
}

// Grants shares limits among the entry hosts. Package grant implements it.
type Grants interface {
	SetCapacity(key structs.GrantKey, capacity int, perHostMax int)
	Remove(key structs.GrantKey)
	Sync(now time.Time, req *structs.EntrySync) ([]structs.Grant, *structs.Error)
}

// Core is the leader's volatile state. Not safe for concurrent use.
type Core struct {
	t          *state.Tables
	lease      *lease.Table
	sched      Scheduler
	grants     Grants
	electedAt  time.Time
	entryHosts []string
	hosts      map[string]*hostRec
	upstreams  map[string]*upstreamRec
	catalogue  *structs.Catalogue

	// lastNow and lastMS are the times of the last tick; commands made between
	// ticks derive their wall clock from them.
	lastNow time.Time
	lastMS  int64

	planOpen   bool
	planAt     time.Time
	noted      map[structs.JobID]bool
	notedFrom  time.Time
	leaseCheck time.Time
	nextExpire time.Time
}

// New returns the core of a leader elected at now.
func New(now time.Time, t *state.Tables, entryHosts []string) *Core {
	grants := grant.New(now, entryHosts)
	if t.Catalogue().Version == 0 {
		// Entry hosts start nothing without a catalogue. A new cluster need not
		// wait for requests from before its first leader.
		grants.SetFirstLeader()
	}
	return NewWith(now, t, entryHosts, sched.New(sched.Options{}), grants)
}

// NewWith returns the core of a leader elected at now that uses the given
// scheduler and shares of limits.
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

// Tick returns the commands to propose, in order.
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

// stamp sets the format version and the leader's wall clock of a command.
func (c *Core) stamp(now time.Time, cmd *structs.Command) {
	cmd.Version = structs.CommandVersion
	cmd.NowMS = c.lastMS + now.Sub(c.lastNow).Milliseconds()
}

// plan asks the scheduler for a plan, unless the last one is still to be
// applied: a second plan from the same tables would repeat it.
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

// newNotes leaves out notes on jobs that were noted a short time ago. A note
// that is dropped when applied would otherwise fill the log at every tick.
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

// liveAt is the view of live workers at one time.
type liveAt struct {
	lease *lease.Table
	now   time.Time
}

// Live implements LiveView.
func (l liveAt) Live(id structs.WorkerID) bool { return l.lease.Live(l.now, id) }

func (c *Core) expire(now time.Time, nowMS int64) *structs.Command {
	if now.Before(c.nextExpire) {
		return nil
	}
	c.nextExpire = now.Add(expireInterval)
	return &structs.Command{Expire: &structs.Expire{}}
}

// Applied tells the core of an applied command and its result.
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

// WorkerSync takes a worker's report. The command, unless nil, is to be proposed.
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

// WorkerPoll returns the present commands for a worker whose sync is held open.
func (c *Core) WorkerPoll(now time.Time, req *structs.WorkerSync) (structs.WorkerSyncReply, *structs.Error) {
	return c.lease.Poll(now, c.t, req, c.sched.Throttles(req.ID)...)
}

// Explain says why a job's tasks are where they are.
func (c *Core) Explain(job structs.JobID) []string { return c.sched.Explain(c.t, job) }
