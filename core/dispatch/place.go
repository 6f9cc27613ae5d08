package dispatch

import (
	"slices"
	"time"

	"gooseberrypond/core/graph"
	"gooseberrypond/core/organisation"
	"gooseberrypond/core/structs"
)

// place chooses workers for the waiting tasks, in the order given by rank.
func (c *Core) place(now time.Time, nowMS int64) []graph.Start {
	waiting := c.tables.Waiting()
	c.Stats.Waiting = len(waiting)
	if !c.shouldPlace(now, waiting) {
		return nil
	}
	pools := c.candidates(now)
	c.measureCapacity(now, nowMS, pools)
	c.ledger = organisation.New(c.tables, capacityOf(pools))
	overdue := c.overdueTasks(waiting, nowMS)
	c.keepClaims(overdue)
	steps := c.rank(waiting, nowMS, overdue)
	p := c.newPlacer(now, nowMS, overdue)
	defer p.dropRanking()
	for i := range steps {
		if len(p.starts) >= maxStarts {
			break
		}
		s := steps[i].step
		q := &s.Occurrence.Job.Queue
		if steps[i].class == overdueLongRunning {
			p.blockClaimed(q.Priority) // work of a higher priority has been placed
		}
		p.most, p.begun = steps[i].most, len(p.starts)
		p.pool, p.candidates = c.poolStates[q.Pool], pools[q.Pool]
		p.care = careOf(s, steps[i].batch, nowMS)
		p.dropRanking()
		if p.candidates != nil {
			p.placeStep(s, steps[i].class == overdueLongRunning)
		}
		if s.Waiting > 0 {
			c.searchedAt[s] = now
		}
	}
	p.recordCauses(waiting)
	p.giveWay(steps)
	c.preempt(nowMS, steps, p)
	c.callBack(nowMS, steps, p)
	return p.starts
}

// placeRetry is the minimum time between two searches for a step that could not
// be placed. Ending runs free capacity every few milliseconds, and each search
// examines every worker of the pool.
const placeRetry = 25 * time.Millisecond

// shouldPlace reports whether a waiting step is due for a search, or the pools
// are due to be measured.
func (c *Core) shouldPlace(now time.Time, waiting []*graph.StepState) bool {
	if now.Sub(c.measuredAt) >= measureInterval {
		c.forgetSearches(now)
		return true
	}
	return slices.ContainsFunc(waiting, func(s *graph.StepState) bool {
		at, tried := c.searchedAt[s]
		return !tried || now.Sub(at) >= placeRetry
	})
}

func (c *Core) forgetSearches(now time.Time) {
	for s, at := range c.searchedAt {
		if now.Sub(at) >= placeRetry {
			delete(c.searchedAt, s)
		}
	}
}

// placer collects the starts of one plan.
type placer struct {
	c      *Core
	now    time.Time
	nowMS  int64
	starts []graph.Start
	// pool and candidates are those of the current step.
	pool       *poolState
	candidates *candidatePool
	// perStep counts the tasks of steps with a limit on each worker. A step that has
	// overdue tasks is placed twice in a plan.
	perStep map[*graph.StepState]map[graph.Handle]int
	// away has the tasks that do not serve, for the long-running steps of which a run
	// may have to be stopped.
	away map[*graph.StepState]int
	// overdue has the positions of the long-running tasks to be placed ahead of batch work.
	overdue map[*graph.Task]int
	// claimsBlocked is set once workers that are claimed for tasks of blockedPriority are
	// excluded from the searches.
	claimsBlocked   bool
	blockedPriority int
	// placed has the tasks that were placed in this plan.
	placed map[*graph.Task]struct{}
	// most is how many tasks of the current entry may be placed, 0 for all, and begun the
	// number of starts before it.
	most, begun int
	// care is the headroom that fillers of the current entry leave beyond what any must.
	care float64
	// givesWay is the only organisation whose runs may be stopped, if it is set, and
	// stopped are the runs that were stopped last.
	givesWay *string
	stopped  []*runState
	// unplaced are the demands for which no worker was found in this plan.
	unplaced []unplacedDemand
	// ranking has the workers for the tasks of the last step that was searched for.
	ranking *workerRanking
	// pressures has the pressures of the fillers of image pressuresOf, by serving image.
	pressuresOf string
	pressures   map[string]float64
	// causes has why the search for a step ended before all of its tasks were placed.
	causes map[*graph.StepState]Cause
}

func (c *Core) newPlacer(now time.Time, nowMS int64, overdue map[*graph.Task]int) *placer {
	return &placer{
		c: c, ranking: &c.ranking, now: now, nowMS: nowMS, overdue: overdue,
		perStep: map[*graph.StepState]map[graph.Handle]int{},
		placed:  map[*graph.Task]struct{}{},
		away:    map[*graph.StepState]int{},
		causes:  map[*graph.StepState]Cause{},
	}
}

// unplacedDemand is a demand for which no worker was found, and what it lacked.
type unplacedDemand struct {
	taskDemand
	cause Cause
}

// taskDemand holds the properties of a task that decide whether a worker can take it.
type taskDemand struct {
	pool, label, image string
	filler             bool
	// care is the headroom that a filler leaves beyond what any must.
	care float64
	// longRunning restricts placement further: not beside a run that was stopped for
	// batch work.
	longRunning bool
	need        structs.Resources
}

// demandOf returns the demand of the step's tasks. care is what careOf returns for them.
func demandOf(s *graph.StepState, care float64) taskDemand {
	d := taskDemand{pool: s.Occurrence.Job.Queue.Pool, label: s.Label, filler: s.Filler, care: care, longRunning: s.LongRunning, need: s.Need}
	if s.Filler {
		d.image = s.Image // the image restricts placement only for fillers
	}
	return d
}

// atLeast reports whether d asks for at least as much as other, so that no worker
// can take d if none can take other.
func (d taskDemand) atLeast(other taskDemand) bool {
	return d.pool == other.pool && d.filler == other.filler && d.image == other.image && d.care >= other.care &&
		(d.longRunning || !other.longRunning) && (other.label == "" || d.label == other.label) && other.need.Fits(d.need)
}

// knownInfeasible reports whether no worker was found in this plan for a task that
// asks for as much as the step's tasks or for less. Free capacity only shrinks while a
// plan is made, so another search would fail too.
func (p *placer) knownInfeasible(s *graph.StepState) bool {
	d := demandOf(s, p.care)
	i := slices.IndexFunc(p.unplaced, func(u unplacedDemand) bool { return d.atLeast(u.taskDemand) })
	if i >= 0 {
		p.causes[s] = p.unplaced[i].cause
	}
	return i >= 0
}

// placeStep places the waiting tasks of a step, either the overdue ones or the others.
func (p *placer) placeStep(s *graph.StepState, overdue bool) {
	if s.Gang {
		p.placeGang(s)
		return
	}
	for i := range s.Tasks {
		task := &s.Tasks[i]
		if task.Done || len(task.Attempts) > 0 || p.overdue[task] > 0 != overdue || p.isPlaced(task) {
			continue
		}
		if p.awaitsStray(s, task) {
			continue
		}
		if p.pool == nil || !overdue && !p.pool.canPlace(s, task, p.nowMS-p.c.waitingSince(s, task)) {
			p.causes[s] = CauseReserve
			continue
		}
		if p.entryDone() {
			p.causes[s] = CauseTurn
			return
		}
		if !p.mayHold(s, 1) {
			p.causes[s] = CauseLimit
			return
		}
		cd := p.pickFor(s, task)
		switch {
		case cd != nil:
			p.start(s, i, task.LastRun+1, cd)
		case overdue && p.mayClaim(s, task):
			p.claim(s, task)
		case overdue:
		default: // the step's other tasks have the same demand
			p.placeForIdleJob(s, i)
			return
		}
		if len(p.starts) >= maxStarts {
			return
		}
	}
}

// placeForIdleJob places a filler for which no worker was found, with less headroom left, if
// its job has had nothing at work for idleFillerWait.
func (p *placer) placeForIdleJob(s *graph.StepState, index int) {
	waited := p.nowMS - max(s.Occurrence.DueMS, s.ReadyMS())
	if !s.Filler || waited < idleFillerWait.Milliseconds() || !p.isIdle(s.Occurrence) {
		return
	}
	p.care = idleCare
	p.dropRanking()
	if cd := p.pick(s, &s.Tasks[index]); cd != nil {
		p.start(s, index, s.Tasks[index].LastRun+1, cd)
	}
}

// isIdle reports whether no task of an occurrence is at work or was placed in this plan.
func (p *placer) isIdle(o *graph.Occurrence) bool {
	for _, s := range o.Steps {
		for i := range s.Tasks {
			if len(s.Tasks[i].Attempts) > 0 || p.isPlaced(&s.Tasks[i]) {
				return false
			}
		}
	}
	return true
}

// pickFor returns the worker for a task, nil if there is none: the one that it has
// claimed, else the best, else a quarantined one.
func (p *placer) pickFor(s *graph.StepState, task *graph.Task) *candidate {
	cd := p.pickClaimed(s, task)
	if cd == nil {
		if cd = p.pick(s, task); cd == nil {
			cd = p.pickQuarantined(s, task)
		}
		if cd != nil {
			p.dropClaim(task)
		}
	}
	return cd
}

// placeGang places all tasks of a gang or none of them.
func (p *placer) placeGang(s *graph.StepState) {
	if s.Waiting < len(s.Tasks) {
		return // some members of the previous run have not ended
	}
	if p.pool == nil || p.isPlaced(&s.Tasks[0]) || !p.mayHold(s, len(s.Tasks)) {
		return
	}
	for i := range s.Tasks {
		if p.awaitsStray(s, &s.Tasks[i]) {
			return
		}
	}
	run, first := 0, len(p.starts)
	for i := range s.Tasks {
		run = max(run, s.Tasks[i].LastRun+1)
	}
	var taken []*candidate
	for i := range s.Tasks {
		cd := p.pick(s, &s.Tasks[i])
		if cd == nil {
			for k, t := range taken {
				p.deallocate(t, s)
				p.candidates.countRun(t, &s.Tasks[k], -1)
				p.count(s, t, -1)
				delete(p.placed, &s.Tasks[k])
			}
			p.starts = p.starts[:first]
			return
		}
		p.start(s, i, run, cd)
		taken = append(taken, cd)
	}
}

func (p *placer) start(s *graph.StepState, index, run int, cd *candidate) {
	p.allocate(cd, s)
	p.candidates.countRun(cd, &s.Tasks[index], 1)
	p.placed[&s.Tasks[index]] = struct{}{}
	p.count(s, cd, 1)
	p.rankAgain(s, &s.Tasks[index], cd)
	p.starts = append(p.starts, graph.Start{Task: s.Ref(index), Run: run, Worker: cd.ws.w.Handle})
}

func (p *placer) allocate(cd *candidate, s *graph.StepState) {
	cd.free = cd.free.Sub(s.ReservedResources())
	p.candidates.setFree(cd)
	cd.current = false // the start may not be committed
	p.pool.free -= s.ReservedResources().CPUMilli
	cd.spareMilli -= expectedUse(s.Step)
	if s.TailTargetMS > 0 {
		cd.addServing(s.Image)
	}
	p.takeHeadroom(cd, s, 1)
	p.c.ledger.Take(owner(s), s.Need, 1)
}

func (p *placer) deallocate(cd *candidate, s *graph.StepState) {
	cd.free = cd.free.Add(s.ReservedResources())
	p.candidates.setFree(cd)
	p.pool.free += s.ReservedResources().CPUMilli
	cd.spareMilli += expectedUse(s.Step)
	p.takeHeadroom(cd, s, -1)
	p.c.ledger.Take(owner(s), s.Need, -1)
	p.unplaced = p.unplaced[:0]
	p.dropRanking()
}

// takeHeadroom subtracts the headroom that n fillers of the step take from the serving
// tasks of a candidate; a negative n returns it.
func (p *placer) takeHeadroom(cd *candidate, s *graph.StepState, n float64) {
	if !s.Filler {
		return
	}
	for i := range cd.serving {
		cd.serving[i].headroom -= n * p.headroomTaken(cd, s, cd.serving[i].image)
	}
}

// headroomTaken returns the headroom that one filler of the step takes from tasks
// of a serving image.
func (p *placer) headroomTaken(cd *candidate, s *graph.StepState, serving string) float64 {
	return p.pressureOn(s, serving) * float64(s.Need.CPUMilli) / float64(max(cd.ws.w.Capacity.CPUMilli, 1))
}

// pressureOn returns pressureOf the step's fillers. The estimates do not change during a plan.
func (p *placer) pressureOn(s *graph.StepState, serving string) float64 {
	if p.pressuresOf != s.Image || p.pressures == nil {
		p.pressuresOf, p.pressures = s.Image, map[string]float64{}
	}
	pressure, known := p.pressures[serving]
	if !known {
		pressure = p.c.pressureOf(s.Image, serving)
		p.pressures[serving] = pressure
	}
	return pressure
}

// noteUnplaced records that no worker was found for a task of the step.
func (p *placer) noteUnplaced(s *graph.StepState) {
	cause := CauseRoom
	if s.Filler {
		cause = CauseHeadroom // a filler reserves no processors
	}
	p.causes[s] = cause
	if s.MaxPerWorker > 0 {
		return
	}
	d := demandOf(s, p.care)
	p.unplaced = append(p.unplaced, unplacedDemand{d, cause})
	if !s.Gang && !s.LongRunning { // these searches depend on more than the workers' state
		p.c.failed.add(p.now, p.c.plans, d)
	}
}

// pickQuarantined returns a quarantined worker for a long-running task that has waited
// for restartDelay and found no other: the one probed least recently, nil if there is
// none. Its failure would cost the task little more than waiting.
func (p *placer) pickQuarantined(s *graph.StepState, task *graph.Task) *candidate {
	if !s.LongRunning || p.nowMS-p.c.waitingSince(s, task) < restartDelay.Milliseconds() {
		return nil
	}
	need := s.ReservedResources()
	var best *candidate
	for _, cd := range p.candidates.quarantined {
		if best != nil && !cd.ws.health.probedAt.Before(best.ws.health.probedAt) {
			continue
		}
		if cd.ws.health.mayProbe(p.now) && need.Fits(cd.free) && p.feasible(s, cd) {
			best = cd
		}
	}
	if best != nil {
		best.ws.health.probedAt = p.now
	}
	return best
}

func (p *placer) feasible(s *graph.StepState, cd *candidate) bool {
	w := cd.ws.w
	if s.Label != "" && !w.HasLabel(s.Label) {
		return false
	}
	if s.LongRunning && p.now.Before(cd.ws.yieldedUntil) {
		return false // a run was stopped there for batch work
	}
	return p.mayAdd(s, cd.ws)
}
