package sched

import (
	"maps"
	"math/rand/v2"
	"time"

	"gooseberrypond/core/state"
	"gooseberrypond/core/structs"
)

// Options are the settings of a Scheduler. The zero value is usable.
type Options struct {
	// Seed makes the sampling of candidates repeatable.
	Seed uint64
	// Candidates is the number of workers ranked for one task; 0 means 32.
	Candidates int
	// PlainMean uses observed interference as it is, without the confidence
	// weight against a prior.
	PlainMean bool
	// MaxDecisions bounds the placements of one plan; 0 means 1,000.
	MaxDecisions int
}

const (
	defaultCandidates   = 32
	defaultMaxDecisions = 1000
	// refreshPerTick is the number of workers whose copy is renewed each tick
	// beyond those known to have changed, so that the cost of a tick does not
	// grow with the number of workers.
	refreshPerTick = 8
	// membershipAge is the time between two comparisons of the list of workers.
	membershipAge = 200 * time.Millisecond
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
	// comparedAt, drainedAt and forgotAt are the last times of the periodic steps.
	comparedAt, drainedAt, forgotAt time.Time
	all                             freeIndex
	accel                           freeIndex
	dirty                           []*node
	kinds                           []kind
	// out, outSince and returned are the domains out of service, since when,
	// and when others returned.
	out            map[string]bool
	outSince       map[string]time.Time
	returned       map[string]time.Time
	domainsVersion uint64
	// total is the capacity of the workers that take tasks.
	total structs.Resources

	catalogue  *structs.Catalogue
	infos      map[string]*entryInfo
	infeasible map[structs.Resources]uint64
	// freed counts events after which a shape that had no room may have some.
	freed uint64

	interference interference
	estimates    []*entryEstimate
	spread       spread
	// weights is how much a slowdown of each entry counts.
	weights []float64
	holds   map[structs.TaskID]hold
	// holdOrder lists the holds in the order in which they were made.
	holdOrder []structs.TaskID
	// holdsOf counts the holds by entry.
	holdsOf []int32
	// saving counts the holds for which room is saved up.
	saving  int
	budgets map[budgetKey]*budget
	health  map[structs.WorkerID]*health
	// failedOn is the worker on which a task failed last.
	failedOn map[structs.TaskID]structs.WorkerID
	// ran is the run time of earlier attempts that ended with a checkpoint, in milliseconds.
	ran map[structs.TaskID]int64

	headroom headroom
	waiting  map[string]*entryQueue

	// spare is the storage of the last replaced list of a node's tasks.
	spare      []nodeTask
	candidates []*node
	neighbours []int32
}

// entryInfo is an entry of the current catalogue with derived values.
type entryInfo struct {
	structs.Entry
	name  string
	id    int32
	owner string
	quota structs.Resources
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
		waiting:    map[string]*entryQueue{},
		out:        map[string]bool{},
		outSince:   map[string]time.Time{},
		returned:   map[string]time.Time{},
		holds:      map[structs.TaskID]hold{},
		budgets:    map[budgetKey]*budget{},
		health:     map[structs.WorkerID]*health{},
		failedOn:   map[structs.TaskID]structs.WorkerID{},
		ran:        map[structs.TaskID]int64{},
		infos:      map[string]*entryInfo{},
		infeasible: map[structs.Resources]uint64{},
	}
	s.accel.slot = 1
	s.interference.plainMean = opts.PlainMean
	return s
}

// Plan decides one tick. now is used for intervals, nowMS is the wall clock
// in Unix milliseconds that deadlines and schedules refer to.
func (s *Scheduler) Plan(now time.Time, nowMS int64, t *state.Tables, live LiveView) *structs.Plan {
	p := &planner{
		Scheduler: s, now: now, nowMS: nowMS, t: t, live: live,
		plan:    &structs.Plan{},
		usage:   map[string]structs.Resources{},
		evicted: map[structs.TaskID]struct{}{},
		noted:   map[structs.JobID]bool{},
	}
	p.syncCatalogue()
	p.syncWorkers()
	p.expireHolds()
	p.interference.renew(len(p.entries.names))
	p.headroom.update(now, p.all.count(structs.Resources{}))
	qs := p.queues()
	p.placeTier(&qs[tierUrgent])
	p.placeTier(&qs[tierLatency])
	drain := len(p.out) > 0 && now.Sub(p.drainedAt) >= drainInterval
	if drain {
		p.drainedAt = now
		p.drainServices()
	}
	p.placeTier(&qs[tierBatch])
	if drain {
		p.drainBatch()
	}
	p.forget()
	p.ticks++
	return p.plan
}

// forgetAge is the time between two removals of records of tasks that are gone.
const forgetAge = 30 * time.Second

// forget drops what is known of tasks that have ended.
func (p *planner) forget() {
	if p.now.Sub(p.forgotAt) < forgetAge {
		return
	}
	p.forgotAt = p.now
	gone := func(id structs.TaskID) bool {
		task := p.t.Task(id)
		return task == nil || task.Status.Finished()
	}
	maps.DeleteFunc(p.failedOn, func(id structs.TaskID, _ structs.WorkerID) bool { return gone(id) })
	maps.DeleteFunc(p.ran, func(id structs.TaskID, _ int64) bool { return gone(id) })
}
