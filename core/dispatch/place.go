package dispatch

import (
	"cmp"
	"slices"
	"time"

	"gooseberrypond/core/graph"
	"gooseberrypond/core/structs"
)

// candidate is a worker that may get new work in this plan.
type candidate struct {
	ws   *workerState
	free structs.Resources
	// spareMilli is the processor time that is expected to be idle.
	spareMilli int64
	// batchMilli is what tasks that end reserve.
	batchMilli int64
	// serving holds what fillers may still take from the tasks with a tail target.
	serving []imageRoom
}

// imageRoom is the headroom that fillers may still take from the serving tasks
// of an image on a worker.
type imageRoom struct {
	image    string
	headroom float64
}

func (cd *candidate) roomOf(image string) *imageRoom {
	for i := range cd.serving {
		if cd.serving[i].image == image {
			return &cd.serving[i]
		}
	}
	return nil
}

// serves notes an image whose tasks have not been listed yet.
func (cd *candidate) serves(image string) {
	if cd.roomOf(image) == nil {
		cd.serving = append(cd.serving, imageRoom{image, headroomNew - headroomAdmit})
	}
}

// ranked is a step with waiting tasks and its place in the order of starts.
type ranked struct {
	step     *graph.StepState
	priority int
	missed   bool
	dueMS    int64
}

// place chooses workers for the waiting tasks, the most urgent first.
func (c *Core) place(now time.Time, nowMS int64) []graph.Start {
	waiting := c.t.Waiting()
	c.Stats.Waiting = len(waiting)
	if !c.worthPlacing(now, waiting) {
		return nil
	}
	steps := rank(waiting, nowMS)
	pools := c.candidates(now)
	c.measureRoom(now, pools)
	p := &placer{c: c, perStep: map[graph.Handle]int{}}
	for i := range steps {
		if len(p.starts) >= maxStarts {
			break
		}
		s := steps[i].step
		q := &s.Occurrence.Job.Queue
		p.room = c.rooms[q.Pool]
		p.placeStep(s, pools[q.Pool])
		if s.Waiting > 0 {
			c.triedAt[s] = now
		}
	}
	return p.starts
}

// placeRetry is the least time between two searches for steps that have found
// no room. Ends free room every few milliseconds, and a search looks at every
// worker.
const placeRetry = 25 * time.Millisecond

// worthPlacing reports whether a step waits that has not been searched for
// lately, or the pools are to be measured.
func (c *Core) worthPlacing(now time.Time, waiting []*graph.StepState) bool {
	if now.Sub(c.measuredAt) >= measureInterval {
		c.forgetTries(now)
		return true
	}
	return slices.ContainsFunc(waiting, func(s *graph.StepState) bool {
		at, tried := c.triedAt[s]
		return !tried || now.Sub(at) >= placeRetry
	})
}

func (c *Core) forgetTries(now time.Time) {
	for s, at := range c.triedAt {
		if now.Sub(at) >= placeRetry {
			delete(c.triedAt, s)
		}
	}
}

// rank orders steps by priority, then by when their job should be completed;
// those that cannot make it come after the others of their priority.
func rank(steps []*graph.StepState, nowMS int64) []ranked {
	out := make([]ranked, len(steps))
	for i, s := range steps {
		o := s.Occurrence
		due := o.DueMS + objectiveMS(o.Job)
		// A task that lasts serves from whenever it is at work: it is never too late.
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

// remainingMS returns the longest chain of work from a step on, by the caller's estimates.
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

// objectiveMS returns how long a job may take, by the caller's estimates.
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

// candidates returns the usable workers by pool.
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
			cd.serving = append(cd.serving, imageRoom{image, s.headroom - headroomAdmit - c.owedHeadroom(ws, image)})
		}
		for a := range ws.w.Attempts {
			cd.spareMilli -= expectedUse(a.Step.Step)
			if !a.Step.LongRunning {
				cd.batchMilli += a.Step.ReservedResources().CPUMilli
			}
			if a.Step.TailTargetMS > 0 {
				cd.serves(a.Step.Image)
			}
		}
		pools[ws.w.Pool] = append(pools[ws.w.Pool], cd)
	}
	for _, p := range pools {
		slices.SortFunc(p, func(a, b *candidate) int { return cmp.Compare(a.ws.w.Handle, b.ws.w.Handle) })
	}
	return pools
}

// owedHeadroom returns the headroom that the fillers of a worker will take from
// serving tasks of an image beyond what the last list shows: what is slowed may
// speed up, and what has just started is not in the measure yet.
func (c *Core) owedHeadroom(ws *workerState, serving string) float64 {
	var owed float64
	for a, r := range ws.runs {
		if !a.Step.Filler {
			continue
		}
		shown := float64(r.pace) / 100 * ws.shownShare(r)
		if shown < 1 {
			share := float64(a.Step.Need.CPUMilli) / float64(max(ws.w.Capacity.CPUMilli, 1))
			owed += c.pressureOf(a.Step.Image, serving) * share * (1 - shown)
		}
	}
	return owed
}

// measureWindow is the time that a measure in a worker's lists covers.
const measureWindow = 500 * time.Millisecond

// shownShare returns the part of the last list's measures in which a run was at work.
func (ws *workerState) shownShare(r *runState) float64 {
	if !r.seen {
		return 0
	}
	if r.answeredAt.IsZero() {
		return 1 // started under an earlier leader
	}
	at := float64(ws.last.at.Sub(r.answeredAt)) / float64(measureWindow)
	return min(1, max(0, at))
}

// placer collects the starts of one plan.
type placer struct {
	c      *Core
	starts []graph.Start
	room   *poolRoom
	// perStep counts the tasks of the step at hand on each worker.
	perStep map[graph.Handle]int
	// unplaced are the tasks for which no worker was found in this plan.
	unplaced []demand
}

// demand is what decides whether a task finds a worker.
type demand struct {
	pool, label, image string
	filler             bool
	need               structs.Resources
}

func demandOf(s *graph.StepState) demand {
	d := demand{pool: s.Occurrence.Job.Queue.Pool, label: s.Label, filler: s.Filler, need: s.Need}
	if s.Filler {
		d.image = s.Image // only fillers are kept from workers for their image
	}
	return d
}

// exceeds reports whether no worker can be found for d if there is none for other.
func (d demand) exceeds(other demand) bool {
	return d.pool == other.pool && d.filler == other.filler && d.image == other.image &&
		(other.label == "" || d.label == other.label) && other.need.Fits(d.need)
}

// hopeless reports whether a task of the step, or of one that asks for no more,
// has found no worker in this plan. What is free only shrinks while it is made.
func (p *placer) hopeless(s *graph.StepState) bool {
	d := demandOf(s)
	return slices.ContainsFunc(p.unplaced, d.exceeds)
}

func (p *placer) placeStep(s *graph.StepState, pool []*candidate) {
	clear(p.perStep)
	if s.MaxPerWorker > 0 {
		for i := range s.Tasks {
			for _, a := range s.Tasks[i].Attempts {
				p.perStep[a.Worker.Handle]++
			}
		}
	}
	if s.Gang {
		p.placeGang(s, pool)
		return
	}
	for i := range s.Tasks {
		task := &s.Tasks[i]
		if task.Done || len(task.Attempts) > 0 {
			continue
		}
		if p.room == nil || !p.room.mayStand(s, task) {
			continue
		}
		cd := p.pick(s, task, pool)
		if cd == nil {
			return // the other tasks of the step are of the same size
		}
		p.start(s, i, task.LastRun+1, cd)
		if len(p.starts) >= maxStarts {
			return
		}
	}
}

// placeGang places all tasks of a gang or none.
func (p *placer) placeGang(s *graph.StepState, pool []*candidate) {
	if s.Waiting < len(s.Tasks) {
		return // members of the last run have not all ended
	}
	if p.room == nil {
		return
	}
	run, first := 0, len(p.starts)
	for i := range s.Tasks {
		run = max(run, s.Tasks[i].LastRun+1)
	}
	var taken []*candidate
	for i := range s.Tasks {
		cd := p.pick(s, &s.Tasks[i], pool)
		if cd == nil {
			for _, t := range taken {
				p.give(t, s)
			}
			p.starts = p.starts[:first]
			return
		}
		p.start(s, i, run, cd)
		taken = append(taken, cd)
	}
}

func (p *placer) start(s *graph.StepState, index, run int, cd *candidate) {
	p.take(cd, s)
	p.perStep[cd.ws.w.Handle]++
	p.starts = append(p.starts, graph.Start{Task: s.Ref(index), Run: run, Worker: cd.ws.w.Handle})
}

func (p *placer) take(cd *candidate, s *graph.StepState) {
	cd.free = cd.free.Sub(s.ReservedResources())
	p.room.free -= s.ReservedResources().CPUMilli
	cd.spareMilli -= expectedUse(s.Step)
	if s.TailTargetMS > 0 {
		cd.serves(s.Image)
	}
	p.disturb(cd, s, 1)
}

func (p *placer) give(cd *candidate, s *graph.StepState) {
	cd.free = cd.free.Add(s.ReservedResources())
	p.room.free += s.ReservedResources().CPUMilli
	cd.spareMilli += expectedUse(s.Step)
	p.disturb(cd, s, -1)
	p.unplaced = p.unplaced[:0]
}

// disturb takes the headroom that n fillers of the step need.
func (p *placer) disturb(cd *candidate, s *graph.StepState, n float64) {
	if !s.Filler {
		return
	}
	for i := range cd.serving {
		cd.serving[i].headroom -= n * p.disturbance(cd, s, cd.serving[i].image)
	}
}

// disturbance returns the headroom that one filler takes from serving tasks.
func (p *placer) disturbance(cd *candidate, s *graph.StepState, serving string) float64 {
	return p.c.pressureOf(s.Image, serving) * float64(s.Need.CPUMilli) / float64(max(cd.ws.w.Capacity.CPUMilli, 1))
}

// pick returns the best worker for a task, or nil.
func (p *placer) pick(s *graph.StepState, task *graph.Task, pool []*candidate) *candidate {
	if p.hopeless(s) {
		return nil
	}
	p.c.Stats.Scans++
	var best *candidate
	var bestScore float64
	need := s.ReservedResources()
	for _, cd := range pool {
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

// fillerShare is the part of a filler's processors that must be to spare where
// it starts; with less it would hardly work and only disturb.
const fillerShare = 0.5

// headroomAdmit is the headroom that must be left where a filler starts. It is
// above what the pace holds, because a start is noticed half a second later and
// the tasks' own load rises within that time.
const headroomAdmit = 2.0

// headroomAdmitLight is the same for fillers that hardly disturb: it covers the
// tasks' own load only.
const headroomAdmitLight = 1.3

// headroomNew is the headroom assumed for serving tasks that have not been
// listed yet: the mean of those that nothing disturbs.
const headroomNew = 2.4

// servingUse is the part of its processors that a task with a tail target is
// expected to use: it reserves for its busiest time.
const servingUse = 0.55

// expectedUse returns the processor time that a task of the step is expected to use.
func expectedUse(s *graph.Step) int64 {
	if s.TailTargetMS > 0 {
		return int64(servingUse * float64(s.Need.CPUMilli))
	}
	return s.Need.CPUMilli
}

// Weights of score, in shares of a worker's processors.
const (
	// failedHereWeight keeps a task away from the worker on which it failed.
	failedHereWeight = 2.0
	// dataRackWeight draws a task to its data.
	dataRackWeight = 1.0
	// packWeight draws batch tasks to workers that serve, so that fillers find
	// idle processors where they disturb nobody.
	packWeight = 1.0
	// sameImageWeight packs serving tasks of one image together: fillers that
	// disturb one image hardly disturb another.
	sameImageWeight = 1.5
	// disturbWeight keeps fillers away from tasks that they disturb.
	disturbWeight = 10.0
)

// score ranks a worker for a task: higher is better. It is not ok if the task
// must not start there now.
func (p *placer) score(s *graph.StepState, task *graph.Task, cd *candidate) (float64, bool) {
	w := cd.ws.w
	whole := float64(max(w.Capacity.CPUMilli, 1))
	spare := float64(cd.spareMilli) / whole
	v := spare
	switch {
	case s.Filler:
		worst, ok := p.fillerFits(s, cd)
		if !ok {
			return 0, false
		}
		v -= disturbWeight * worst
	case s.TailTargetMS > 0:
		v = -float64(cd.free.CPUMilli) / whole
		if cd.roomOf(s.Image) != nil {
			v += sameImageWeight
		} else if len(cd.serving) > 0 {
			v -= sameImageWeight
		}
	case len(cd.serving) > 0:
		v += packWeight // its reservation is of no use to fillers there
	}
	if task.LastWorker == w.Handle && task.Failures > 0 {
		v -= failedHereWeight
	}
	if s.DataRack != "" && w.HasLabel(s.DataRack) {
		v += dataRackWeight
	}
	return v, true
}

// fillerFits reports whether a filler would find idle processors and leave the
// serving tasks enough headroom, and how much it takes of it.
func (p *placer) fillerFits(s *graph.StepState, cd *candidate) (worst float64, ok bool) {
	if float64(cd.spareMilli) < fillerShare*float64(s.Need.CPUMilli) {
		return 0, false
	}
	for _, room := range cd.serving {
		image, headroom := room.image, room.headroom
		if headroom < 1-headroomAdmit {
			return 0, false // a task is over its target already
		}
		d := p.disturbance(cd, s, image)
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
