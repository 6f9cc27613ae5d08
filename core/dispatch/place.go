package dispatch

import (
	"cmp"
	"slices"
	"time"

	"gooseberrypond/core/graph"
	"gooseberrypond/core/structs"
)

// candidate is a worker that may receive new work in the current plan.
type candidate struct {
	ws   *workerState
	free structs.Resources
	// spareMilli is the processor time expected to be idle.
	spareMilli int64
	// batchMilli is the processor time reserved by batch tasks.
	batchMilli int64
	// serving holds the headroom left for fillers beside tasks with a tail target.
	serving []imageHeadroom
}

// imageHeadroom is the headroom that new fillers may take from the serving tasks of
// one image on a worker.
type imageHeadroom struct {
	image    string
	headroom float64
}

func (cd *candidate) headroomOf(image string) *imageHeadroom {
	for i := range cd.serving {
		if cd.serving[i].image == image {
			return &cd.serving[i]
		}
	}
	return nil
}

// addServing adds an image of serving tasks that have no measurement yet.
func (cd *candidate) addServing(image string) {
	if cd.headroomOf(image) == nil {
		cd.serving = append(cd.serving, imageHeadroom{image, headroomUnmeasured - headroomAdmit})
	}
}

// ranked is a step with waiting tasks and its sort keys. A step is missed if its
// job can no longer meet its objective.
type ranked struct {
	step     *graph.StepState
	priority int
	missed   bool
	dueMS    int64
}

// place chooses workers for the waiting tasks, in the order given by rank.
func (c *Core) place(now time.Time, nowMS int64) []graph.Start {
	waiting := c.tables.Waiting()
	c.Stats.Waiting = len(waiting)
	if !c.shouldPlace(now, waiting) {
		return nil
	}
	steps := rank(waiting, nowMS)
	pools := c.candidates(now)
	c.measureCapacity(now, pools)
	p := &placer{c: c, perStep: map[graph.Handle]int{}}
	for i := range steps {
		if len(p.starts) >= maxStarts {
			break
		}
		s := steps[i].step
		q := &s.Occurrence.Job.Queue
		p.pool = c.poolStates[q.Pool]
		p.placeStep(s, pools[q.Pool])
		if s.Waiting > 0 {
			c.searchedAt[s] = now
		}
	}
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

// rank sorts steps by priority, then by the time by which their job should be
// complete. Steps that cannot meet it follow the others of their priority.
func rank(steps []*graph.StepState, nowMS int64) []ranked {
	out := make([]ranked, len(steps))
	for i, s := range steps {
		o := s.Occurrence
		due := o.DueMS + objectiveMS(o.Job)
		// A long-running task is useful whenever it starts, so it is never late.
		missed := !s.LongRunning && nowMS+remainingMS(s) > due
		out[i] = ranked{step: s, priority: o.Job.Queue.Priority, missed: missed, dueMS: due}
	}
	slices.SortStableFunc(out, func(a, b ranked) int {
		if c := cmp.Compare(a.priority, b.priority); c != 0 {
			return c
		}
		if a.missed != b.missed {
			if a.missed {
				return 1
			}
			return -1
		}
		return cmp.Compare(a.dueMS, b.dueMS)
	})
	return out
}

// remainingMS returns the length of the critical path from a step on, by the
// caller's estimates.
func remainingMS(s *graph.StepState) int64 {
	steps := s.Occurrence.Steps
	ends := make([]int64, len(steps))
	ends[s.Number] = s.EstimateMS
	longest := s.EstimateMS
	for i := s.Number + 1; i < len(steps); i++ {
		for _, d := range steps[i].DependsOn {
			if ends[d] > 0 {
				ends[i] = max(ends[i], ends[d]+steps[i].EstimateMS)
			}
		}
		longest = max(longest, ends[i])
	}
	return longest
}

// objectiveMS returns the time within which a job should complete: its critical
// path by the caller's estimates times the queue's deadline factor, plus the
// queue's target latency.
func objectiveMS(j *graph.Job) int64 {
	ends := make([]int64, len(j.Spec.Steps))
	var chain int64
	for i := range j.Spec.Steps {
		s := &j.Spec.Steps[i]
		for _, d := range s.DependsOn {
			ends[i] = max(ends[i], ends[d])
		}
		ends[i] += s.EstimateMS
		chain = max(chain, ends[i])
	}
	return int64(j.Queue.DeadlineFactor*float64(chain)) + j.Queue.TargetLatencyMS
}

// candidates returns the usable workers by pool, ordered by handle.
func (c *Core) candidates(now time.Time) map[string][]*candidate {
	pools := map[string][]*candidate{}
	c.Stats.Usable = 0
	for _, ws := range c.workers {
		if !c.usable(now, ws) {
			continue
		}
		c.Stats.Usable++
		cd := &ws.candidate
		*cd = candidate{ws: ws, free: ws.w.Free(), spareMilli: ws.w.Capacity.CPUMilli, serving: cd.serving[:0]}
		for image, s := range ws.serving {
			cd.serving = append(cd.serving, imageHeadroom{image, s.headroom - headroomAdmit - c.unmeasuredHeadroom(ws, image)})
		}
		for a := range ws.w.Attempts {
			cd.spareMilli -= expectedUse(a.Step.Step)
			if !a.Step.LongRunning {
				cd.batchMilli += a.Step.ReservedResources().CPUMilli
			}
			if a.Step.TailTargetMS > 0 {
				cd.addServing(a.Step.Image)
			}
		}
		pools[ws.w.Pool] = append(pools[ws.w.Pool], cd)
	}
	for _, p := range pools {
		slices.SortFunc(p, func(a, b *candidate) int { return cmp.Compare(a.ws.w.Handle, b.ws.w.Handle) })
	}
	return pools
}

// unmeasuredHeadroom returns the headroom that the fillers already on a worker may
// take from serving tasks of an image beyond what the last list shows: slowed
// fillers may return to full pace, and fillers that have just started are not fully
// covered by the last measurement.
func (c *Core) unmeasuredHeadroom(ws *workerState, serving string) float64 {
	var unmeasured float64
	for a, r := range ws.runs {
		if !a.Step.Filler {
			continue
		}
		measured := float64(r.pace) / 100 * ws.measuredShare(r)
		if measured < 1 {
			share := float64(a.Step.Need.CPUMilli) / float64(max(ws.w.Capacity.CPUMilli, 1))
			unmeasured += c.pressureOf(a.Step.Image, serving) * share * (1 - measured)
		}
	}
	return unmeasured
}

// measureWindow is the period covered by a measurement in a worker's lists.
const measureWindow = 500 * time.Millisecond

// measuredShare returns the fraction of the last list's measurement window during
// which the run was active.
func (ws *workerState) measuredShare(r *runState) float64 {
	if !r.reported {
		return 0
	}
	if r.acceptedAt.IsZero() {
		return 1 // started under an earlier leader
	}
	at := float64(ws.lastObservation.at.Sub(r.acceptedAt)) / float64(measureWindow)
	return min(1, max(0, at))
}

// placer collects the starts of one plan.
type placer struct {
	c      *Core
	starts []graph.Start
	pool   *poolState
	// perStep counts the current step's tasks on each worker.
	perStep map[graph.Handle]int
	// unplaced are the demands for which no worker was found in this plan.
	unplaced []demand
}

// demand holds the properties of a task that decide whether a worker can take it.
type demand struct {
	pool, label, image string
	filler             bool
	need               structs.Resources
}

func demandOf(s *graph.StepState) demand {
	d := demand{pool: s.Occurrence.Job.Queue.Pool, label: s.Label, filler: s.Filler, need: s.Need}
	if s.Filler {
		d.image = s.Image // the image restricts placement only for fillers
	}
	return d
}

// atLeast reports whether d asks for at least as much as other, so that no worker
// can take d if none can take other.
func (d demand) atLeast(other demand) bool {
	return d.pool == other.pool && d.filler == other.filler && d.image == other.image &&
		(other.label == "" || d.label == other.label) && other.need.Fits(d.need)
}

// knownInfeasible reports whether no worker was found in this plan for a task that
// asks for as much as the step's tasks or for less. Free capacity only shrinks while a
// plan is made, so another search would fail too.
func (p *placer) knownInfeasible(s *graph.StepState) bool {
	d := demandOf(s)
	return slices.ContainsFunc(p.unplaced, d.atLeast)
}

func (p *placer) placeStep(s *graph.StepState, candidates []*candidate) {
	clear(p.perStep)
	if s.MaxPerWorker > 0 {
		for i := range s.Tasks {
			for _, a := range s.Tasks[i].Attempts {
				p.perStep[a.Worker.Handle]++
			}
		}
	}
	if s.Gang {
		p.placeGang(s, candidates)
		return
	}
	for i := range s.Tasks {
		task := &s.Tasks[i]
		if task.Done || len(task.Attempts) > 0 {
			continue
		}
		if p.pool == nil || !p.pool.canPlace(s, task) {
			continue
		}
		cd := p.pick(s, task, candidates)
		if cd == nil {
			return // the step's other tasks have the same demand
		}
		p.start(s, i, task.LastRun+1, cd)
		if len(p.starts) >= maxStarts {
			return
		}
	}
}

// placeGang places all tasks of a gang or none of them.
func (p *placer) placeGang(s *graph.StepState, candidates []*candidate) {
	if s.Waiting < len(s.Tasks) {
		return // some members of the previous run have not ended
	}
	if p.pool == nil {
		return
	}
	run, first := 0, len(p.starts)
	for i := range s.Tasks {
		run = max(run, s.Tasks[i].LastRun+1)
	}
	var taken []*candidate
	for i := range s.Tasks {
		cd := p.pick(s, &s.Tasks[i], candidates)
		if cd == nil {
			for _, t := range taken {
				p.deallocate(t, s)
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
	p.perStep[cd.ws.w.Handle]++
	p.starts = append(p.starts, graph.Start{Task: s.Ref(index), Run: run, Worker: cd.ws.w.Handle})
}

func (p *placer) allocate(cd *candidate, s *graph.StepState) {
	cd.free = cd.free.Sub(s.ReservedResources())
	p.pool.free -= s.ReservedResources().CPUMilli
	cd.spareMilli -= expectedUse(s.Step)
	if s.TailTargetMS > 0 {
		cd.addServing(s.Image)
	}
	p.takeHeadroom(cd, s, 1)
}

func (p *placer) deallocate(cd *candidate, s *graph.StepState) {
	cd.free = cd.free.Add(s.ReservedResources())
	p.pool.free += s.ReservedResources().CPUMilli
	cd.spareMilli += expectedUse(s.Step)
	p.takeHeadroom(cd, s, -1)
	p.unplaced = p.unplaced[:0]
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
	return p.c.pressureOf(s.Image, serving) * float64(s.Need.CPUMilli) / float64(max(cd.ws.w.Capacity.CPUMilli, 1))
}

// pick returns the best worker for a task, or nil.
func (p *placer) pick(s *graph.StepState, task *graph.Task, candidates []*candidate) *candidate {
	if p.knownInfeasible(s) {
		return nil
	}
	p.c.Stats.Scans++
	var best *candidate
	var bestScore float64
	need := s.ReservedResources()
	for _, cd := range candidates {
		if !need.Fits(cd.free) || !p.feasible(s, cd) {
			continue
		}
		score, ok := p.score(s, task, cd)
		if ok && (best == nil || score > bestScore) {
			best, bestScore = cd, score
		}
	}
	if best == nil && s.MaxPerWorker <= 0 {
		p.unplaced = append(p.unplaced, demandOf(s))
	}
	return best
}

func (p *placer) feasible(s *graph.StepState, cd *candidate) bool {
	w := cd.ws.w
	if s.Label != "" && !w.HasLabel(s.Label) {
		return false
	}
	return s.MaxPerWorker <= 0 || p.perStep[w.Handle] < s.MaxPerWorker
}

// fillerIdleShare is the fraction of a filler's processor request that must be idle on
// its worker. With less, the filler would make little progress and only cause
// interference.
const fillerIdleShare = 0.5

// headroomAdmit is the headroom that must remain when a filler starts. It is above
// headroomSetpoint, because the effect of a start is measured only half a second later
// and the serving tasks' own load may rise within that time.
const headroomAdmit = 2.0

// headroomAdmitLight replaces headroomAdmit for fillers with low pressure. It
// allows for changes in the serving tasks' own load only.
const headroomAdmitLight = 1.3

// headroomUnmeasured is the headroom assumed for serving tasks without a
// measurement: the mean headroom of serving tasks without interference.
const headroomUnmeasured = 2.4

// servingUseShare is the fraction of its processor request that a task with a tail
// target is expected to use. Such tasks request enough for their peak load.
const servingUseShare = 0.55

// expectedUse returns the expected processor use of a task of the step.
func expectedUse(s *graph.Step) int64 {
	if s.TailTargetMS > 0 {
		return int64(servingUseShare * float64(s.Need.CPUMilli))
	}
	return s.Need.CPUMilli
}

// Weights of the terms of score. A weight of 1 equals all processors of a worker.
const (
	// failedHereWeight is the penalty for the worker on which the task last failed.
	failedHereWeight = 2.0
	// dataRackWeight is the bonus for a worker in the rack that holds the task's data.
	dataRackWeight = 1.0
	// packWeight is the bonus of batch tasks for workers with serving tasks. It
	// leaves the idle processors of other workers to fillers, which cause no
	// interference there.
	packWeight = 1.0
	// sameImageWeight groups serving tasks by image, because a filler that
	// interferes with one image often hardly affects another.
	sameImageWeight = 1.5
	// interferenceWeight is the penalty of fillers per unit of headroom taken.
	interferenceWeight = 10.0
)

// score rates a worker for a task; higher is better. It returns false if the task
// must not start there now.
func (p *placer) score(s *graph.StepState, task *graph.Task, cd *candidate) (float64, bool) {
	w := cd.ws.w
	capacityMilli := float64(max(w.Capacity.CPUMilli, 1))
	spare := float64(cd.spareMilli) / capacityMilli
	v := spare
	switch {
	case s.Filler:
		worst, ok := p.fillerFits(s, cd)
		if !ok {
			return 0, false
		}
		v -= interferenceWeight * worst
	case s.TailTargetMS > 0:
		v = -float64(cd.free.CPUMilli) / capacityMilli
		if cd.headroomOf(s.Image) != nil {
			v += sameImageWeight
		} else if len(cd.serving) > 0 {
			v -= sameImageWeight
		}
	case len(cd.serving) > 0:
		v += packWeight // fillers gain little from idle processors there
	}
	if task.LastWorker == w.Handle && task.Failures > 0 {
		v -= failedHereWeight
	}
	if s.DataRack != "" && w.HasLabel(s.DataRack) {
		v += dataRackWeight
	}
	return v, true
}

// fillerFits reports whether a candidate has enough idle processors and headroom
// for a filler. worst is the most headroom that the filler takes from any image.
func (p *placer) fillerFits(s *graph.StepState, cd *candidate) (worst float64, ok bool) {
	if float64(cd.spareMilli) < fillerIdleShare*float64(s.Need.CPUMilli) {
		return 0, false
	}
	for _, h := range cd.serving {
		image, headroom := h.image, h.headroom
		if headroom < 1-headroomAdmit {
			return 0, false // a task already exceeds its target
		}
		d := p.headroomTaken(cd, s, image)
		if p.c.pressureOf(s.Image, image) < lightPressure {
			headroom += headroomAdmit - headroomAdmitLight
		}
		if d > headroom {
			return 0, false
		}
		worst = max(worst, d)
	}
	return worst, true
}
