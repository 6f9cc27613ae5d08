package sched

import (
	"maps"
	"math/rand/v2"
	"time"

	"gooseberrypond/core/state"
	"gooseberrypond/core/structs"
)

// Options configures a Scheduler. The zero value is usable.
type Options struct {
	// Seed seeds the random sampling of candidates, so that runs are reproducible.
	Seed uint64
	// Candidates is the approximate number of workers ranked for one task; 0 means 32.
	Candidates int
	// PlainMean disables the confidence weighting of observed interference
	// against a prior and uses the observed mean alone.
	PlainMean bool
	// MaxDecisions limits the placements in one plan; 0 means 1,000.
	MaxDecisions int
}

const (
	defaultCandidates   = 32
	defaultMaxDecisions = 1000
	// refreshPerTick is the number of workers refreshed each tick in rotation, in
	// addition to those known to have changed. It is fixed so that the cost of a
	// tick does not grow with the number of workers.
	refreshPerTick = 8
	// membershipInterval is the interval between comparisons of the list of workers.
	membershipInterval = 200 * time.Millisecond
)

// Scheduler computes plans and keeps learned estimates between them. It is not
// safe for concurrent use. Plan must not be called again before the previous
// plan has been applied or is known to have been dropped.
type Scheduler struct {
	opts Options
	rng  *rand.Rand

	entries interner
	domains interner
	racks   interner
	nodes   map[structs.WorkerID]*node
	// order lists the nodes in the order of the tables; refreshCursor is the
	// index of the last one refreshed in rotation.
	order         []*node
	refreshCursor int
	ticks         uint64
	// membershipAt, drainScanAt and prunedAt are the times at which the periodic
	// steps last ran.
	membershipAt, drainScanAt, prunedAt time.Time
	// allIndex has all usable nodes, accelIndex those with free accelerators.
	allIndex     freeIndex
	accelIndex   freeIndex
	dirty        []*node
	workerShapes []workerShape
	// out is the set of domains out of service, outSince the time at which each
	// left service, and returned the time at which others came back.
	out            map[string]bool
	outSince       map[string]time.Time
	returned       map[string]time.Time
	domainsVersion uint64
	// total is the capacity of all workers that accept tasks.
	total structs.Resources

	catalogue  *structs.Catalogue
	entryInfos map[string]*entryInfo
	// infeasible maps resource shapes that fit the free capacity of no worker to the
	// value of capacityGeneration at which that was found.
	infeasible map[structs.Resources]uint64
	// capacityGeneration counts the events that may make an infeasible resource
	// shape feasible.
	capacityGeneration uint64

	interference interference
	estimates    []*entryEstimate
	spread       spread
	// slowdownWeights is the weight of a slowdown, by entry.
	slowdownWeights []float64
	reservations    map[structs.TaskID]reservation
	// reservationOrder lists the reservations in order of creation.
	reservationOrder []structs.TaskID
	// reservationCounts counts the reservations by entry.
	reservationCounts []int32
	// deferred counts the deferred reservations; see reservation.deferred.
	deferred int
	budgets  map[budgetKey]*budget
	health   map[structs.WorkerID]*health
	// failedOn is the worker on which a task last failed.
	failedOn map[structs.TaskID]structs.WorkerID
	// checkpointedRunMS is the total run time, in milliseconds, of a task's
	// earlier attempts that ended with a checkpoint.
	checkpointedRunMS map[structs.TaskID]int64

	urgentReserve urgentReserve
	entryQueues   map[string]*entryQueue

	// spareTasks, candidates and neighbours are buffers reused between calls;
	// spareTasks holds the last replaced task list of a node.
	spareTasks []nodeTask
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

// New returns a Scheduler that knows no workers yet.
func New(opts Options) *Scheduler {
	if opts.Candidates <= 0 {
		opts.Candidates = defaultCandidates
	}
	if opts.MaxDecisions <= 0 {
		opts.MaxDecisions = defaultMaxDecisions
	}
	s := &Scheduler{
		opts:              opts,
		rng:               rand.New(rand.NewPCG(opts.Seed, 1)),
		entries:           newInterner(),
		domains:           newInterner(),
		racks:             newInterner(),
		nodes:             map[structs.WorkerID]*node{},
		entryQueues:       map[string]*entryQueue{},
		out:               map[string]bool{},
		outSince:          map[string]time.Time{},
		returned:          map[string]time.Time{},
		reservations:      map[structs.TaskID]reservation{},
		budgets:           map[budgetKey]*budget{},
		health:            map[structs.WorkerID]*health{},
		failedOn:          map[structs.TaskID]structs.WorkerID{},
		checkpointedRunMS: map[structs.TaskID]int64{},
		entryInfos:        map[string]*entryInfo{},
		infeasible:        map[structs.Resources]uint64{},
	}
	s.accelIndex.slot = 1
	s.interference.plainMean = opts.PlainMean
	return s
}

// Plan computes the plan of one tick. now is used to measure intervals; nowMS
// is the wall clock in Unix milliseconds, to which deadlines refer.
func (s *Scheduler) Plan(now time.Time, nowMS int64, t *state.Tables, live LiveView) *structs.Plan {
	p := &planner{
		Scheduler: s, now: now, nowMS: nowMS, t: t, live: live,
		plan:    &structs.Plan{},
		usage:   map[string]structs.Resources{},
		evicted: map[structs.TaskID]struct{}{},
		hasNote: map[structs.JobID]bool{},
	}
	p.syncCatalogue()
	p.syncWorkers()
	p.expireReservations()
	p.interference.refreshRow(len(p.entries.names))
	p.urgentReserve.update(now, p.allIndex.estimateFitting(structs.Resources{}))
	qs := p.queues()
	p.placeTier(&qs[tierUrgent])
	p.placeTier(&qs[tierLatency])
	drain := len(p.out) > 0 && now.Sub(p.drainScanAt) >= drainInterval
	if drain {
		p.drainScanAt = now
		p.drainServices()
	}
	p.placeTier(&qs[tierBatch])
	if drain {
		p.drainBatch()
	}
	p.pruneEndedTasks()
	p.ticks++
	return p.plan
}

// pruneInterval is the interval between removals of per-task records of ended tasks.
const pruneInterval = 30 * time.Second

// pruneEndedTasks removes the records of tasks that have ended.
func (p *planner) pruneEndedTasks() {
	if p.now.Sub(p.prunedAt) < pruneInterval {
		return
	}
	p.prunedAt = p.now
	ended := func(id structs.TaskID) bool {
		task := p.t.Task(id)
		return task == nil || task.Status.Finished()
	}
	maps.DeleteFunc(p.failedOn, func(id structs.TaskID, _ structs.WorkerID) bool { return ended(id) })
	maps.DeleteFunc(p.checkpointedRunMS, func(id structs.TaskID, _ int64) bool { return ended(id) })
}
