package sched

import (
	"math/rand/v2"
	"time"

	"gooseberrypond/core/structs"
)

// Options are the settings of a Scheduler. The zero value is usable.
type Options struct {
	// Seed makes the sampling of candidates repeatable.
	Seed uint64
	// Candidates is the number of workers ranked for one task; 0 means 32.
	Candidates int
	// MaxDecisions bounds the placements of one plan; 0 means 1,000.
	MaxDecisions int
}

const (
	defaultCandidates   = 32
	defaultMaxDecisions = 1000
	// refreshPerTick is the number of workers whose copy is renewed each tick
	// beyond those known to have changed, so that the cost of a tick does not
	// grow with the number of workers.
	refreshPerTick = 64
	// membershipTicks is the number of ticks between two comparisons of the list of workers.
	membershipTicks = 10
)

// Scheduler decides plans and keeps what it learned between them. It is not
// safe for concurrent use. Plan must not be called again before the previous
// plan has been applied or is known to be lost.
type Scheduler struct {
	opts Options
	rng  *rand.Rand

	entries interner
	domains interner
	racks   interner
	nodes   map[structs.WorkerID]*node
	order   []*node
	cursor  int
	ticks   uint64
	all     freeIndex
	accel   freeIndex
	dirty   map[*node]struct{}
	out     map[string]bool
	// total is the capacity of the workers that take tasks.
	total structs.Resources

	catalogue  *structs.Catalogue
	infos      map[string]*entryInfo
	infeasible map[structs.Resources]uint64
	// freed counts events after which a shape that had no room may have some.
	freed uint64

	candidates []*node
}

// entryInfo is an entry of the current catalogue with derived values.
type entryInfo struct {
	structs.Entry
	name  string
	id    int32
	owner string
}

// New returns a Scheduler without any knowledge of workers.
func New(opts Options) *Scheduler {
	if opts.Candidates <= 0 {
		opts.Candidates = defaultCandidates
	}
	if opts.MaxDecisions <= 0 {
		opts.MaxDecisions = defaultMaxDecisions
	}
	s := &Scheduler{
		opts:       opts,
		rng:        rand.New(rand.NewPCG(opts.Seed, 1)),
		entries:    newInterner(),
		domains:    newInterner(),
		racks:      newInterner(),
		nodes:      map[structs.WorkerID]*node{},
		dirty:      map[*node]struct{}{},
		out:        map[string]bool{},
		infos:      map[string]*entryInfo{},
		infeasible: map[structs.Resources]uint64{},
	}
	s.accel.slot = 1
	return s
}

// Plan decides one tick. now is used for intervals, nowMS is the wall clock
// in Unix milliseconds that deadlines and schedules refer to.
func (s *Scheduler) Plan(now time.Time, nowMS int64, t View, live LiveView) *structs.Plan {
	p := &planner{Scheduler: s, now: now, nowMS: nowMS, t: t, live: live, plan: &structs.Plan{}}
	p.usage = map[string]structs.Resources{}
	p.syncCatalogue()
	p.syncWorkers()
	p.placePending()
	return p.plan
}

// Observe takes in a worker's usage reports.
func (s *Scheduler) Observe(now time.Time, worker structs.WorkerID, usage []structs.Usage, t View) {
}

// RecordEnd takes in the end of an attempt. task is its record before the end.
func (s *Scheduler) RecordEnd(ev structs.TaskEvent, task *structs.Task, entry string, nowMS int64) {
	if n := s.nodes[task.Worker]; n != nil {
		s.dirty[n] = struct{}{}
	}
}

// Throttles lists the tasks that the worker should throttle now.
func (s *Scheduler) Throttles(worker structs.WorkerID) []structs.TaskID {
	return nil
}

// Explain says why the tasks of a job wait or where they were placed.
func (s *Scheduler) Explain(t View, job structs.JobID) []string {
	return nil
}
