package dispatch

import (
	"time"

	"gooseberrypond/core/graph"
	"gooseberrypond/core/structs"
)

// candidate is a worker that may receive new work. Its fields are brought up to date
// when a plan needs them, and only if the worker has changed.
type candidate struct {
	ws *workerState
	// current is set while the fields below describe the worker's state.
	current bool
	free    structs.Resources
	// spareMilli is the processor time expected to be idle.
	spareMilli int64
	// batchMilli is the processor time reserved by batch tasks.
	batchMilli int64
	// serving holds the headroom left for fillers beside tasks with a tail target.
	serving []imageHeadroom
	// runs counts the runs on the worker, crashSuspects those among them of tasks that
	// may have crashed a worker and have not outlived graph.CrashWindow.
	runs, crashSuspects int
	// claimed is set while the worker is kept free for a long-running task, in plans.
	claimed bool
	// position is the candidate's index in its pool; -1 for a quarantined worker.
	position int
	// changedIn is the number of the plan in which more may have become possible on the worker,
	// memberIn that of the last plan in which it was a member of its pool.
	changedIn, memberIn uint64
}

// candidatePool holds the usable workers of a pool, ordered by handle.
type candidatePool struct {
	members []*candidate
	// freeMilli has the unreserved processors of each member. A search skips the
	// members without enough of them without touching the members themselves.
	freeMilli []int64
	// changedIn has that of each member.
	changedIn []uint64
	// quarantined holds the workers on which only a long-running task that finds no
	// other may be placed.
	quarantined []*candidate
	// next is where the next search for a filler's worker begins.
	next int
	// suspectWorkers is the number of members with crash suspects.
	suspectWorkers int
}

const (
	// maxSuspectShare is the largest share of a pool's workers on which crash suspects are
	// kept apart. The runs that one task takes down with it are those of a few workers. Where
	// more are suspects, the workers crash for other reasons, and suspects that are spread
	// over all of them leave no worker to tasks that need one without serving tasks.
	maxSuspectShare = 0.25
	// minSuspectWorkers is the number of workers that suspects may have in a small pool.
	minSuspectWorkers = 8
)

// hasManySuspects reports whether crash suspects are on so many workers that they are
// placed like other tasks.
func (p *candidatePool) hasManySuspects() bool {
	return p.suspectWorkers >= max(minSuspectWorkers, int(maxSuspectShare*float64(len(p.members))))
}

// holds reports whether a candidate is a member; its position may be of an earlier plan.
func (p *candidatePool) holds(cd *candidate) bool {
	return cd.position >= 0 && cd.position < len(p.members) && p.members[cd.position] == cd
}

// setFree records the unreserved processors of a candidate, none if it is claimed.
func (p *candidatePool) setFree(cd *candidate) {
	if !p.holds(cd) {
		return
	}
	p.freeMilli[cd.position] = cd.free.CPUMilli
	if cd.claimed {
		p.freeMilli[cd.position] = -1
	}
}

func (p *candidatePool) add(cd *candidate) {
	cd.position = len(p.members)
	p.members = append(p.members, cd)
	p.freeMilli = append(p.freeMilli, cd.free.CPUMilli)
	p.changedIn = append(p.changedIn, cd.changedIn)
	if cd.crashSuspects > 0 {
		p.suspectWorkers++
	}
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

// candidates returns the usable workers by pool. The result is valid until the next
// call.
func (c *Core) candidates(now time.Time) map[string]*candidatePool {
	c.plans++
	for _, p := range c.candidatePools {
		p.members, p.freeMilli, p.changedIn, p.quarantined = p.members[:0], p.freeMilli[:0], p.changedIn[:0], p.quarantined[:0]
		p.suspectWorkers = 0
	}
	c.Stats.Usable, c.Stats.Quarantined = 0, 0
	for _, ws := range c.byHandle {
		if !c.reachable(now, ws) {
			continue
		}
		if !ws.candidate.current {
			c.updateCandidate(now, ws)
		}
		p := c.candidatePools[ws.w.Pool]
		if p == nil {
			p = &candidatePool{}
			c.candidatePools[ws.w.Pool] = p
		}
		ws.candidate.claimed = false
		if ws.health.quarantined(now) {
			c.Stats.Quarantined++
			ws.candidate.position = -1
			p.quarantined = append(p.quarantined, &ws.candidate)
			continue
		}
		c.Stats.Usable++
		ws.candidate.joins(c.plans)
		p.add(&ws.candidate)
	}
	return c.candidatePools
}

// joins records that the candidate is a member of its pool in a plan. After an absence it
// counts as changed.
func (cd *candidate) joins(plan uint64) {
	if cd.memberIn+1 != plan {
		cd.changedIn = plan
	}
	cd.memberIn = plan
}

// updateCandidate computes a worker's candidate from its attempts and last list.
func (c *Core) updateCandidate(now time.Time, ws *workerState) {
	cd := &ws.candidate
	*cd = candidate{ws: ws, current: true, changedIn: c.plans, memberIn: cd.memberIn, free: ws.queuedReport.Capacity.Sub(ws.w.Used), spareMilli: ws.queuedReport.Capacity.CPUMilli, serving: cd.serving[:0]}
	for image, s := range ws.serving {
		cd.serving = append(cd.serving, imageHeadroom{image, s.later - headroomAdmit - c.unmeasuredHeadroom(ws, image)})
	}
	for a := range ws.w.Attempts {
		cd.runs++
		if a.Task().IsCrashSuspect() && startedWithin(now, a, graph.CrashWindow) {
			cd.crashSuspects++
		}
		cd.spareMilli -= expectedUse(a.Step.Step)
		if !a.Step.LongRunning {
			cd.batchMilli += a.Step.ReservedResources().CPUMilli
		}
		if a.Step.TailTargetMS > 0 {
			cd.addServing(a.Step.Image)
		}
	}
}

// workerChanged makes the next plan bring the worker's candidate up to date.
func (c *Core) workerChanged(w *graph.Worker) {
	ws := c.workers[w.Handle]
	if ws == nil {
		return
	}
	ws.candidate.current = false
	if ws.address != w.Address {
		c.unindex(c.byAddress, ws.address, ws)
		ws.address = w.Address
		c.byAddress[ws.address] = append(c.byAddress[ws.address], ws)
	}
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
		measured := float64(max(0, r.pace)) / 100 * ws.measuredShare(r)
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

// countRun adds a run of a task to those of a worker, or takes it away if n is -1.
func (p *candidatePool) countRun(cd *candidate, task *graph.Task, n int) {
	cd.runs += n
	if !task.IsCrashSuspect() {
		return
	}
	had := cd.crashSuspects > 0
	cd.crashSuspects += n
	if has := cd.crashSuspects > 0; has != had && p.holds(cd) {
		p.suspectWorkers += n
	}
}
