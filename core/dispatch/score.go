package dispatch

import (
	"math"
	"time"

	"gooseberrypond/core/demand"
	"gooseberrypond/core/graph"
)

// fillerIdleShare is the fraction of a filler's processor request that must be idle on
// its worker. With less, the filler would make little progress and only cause
// interference.
const fillerIdleShare = 0.5

// headroomAdmit is the headroom that must remain within admitAhead when a filler
// starts. It is above headroomSetpoint, because the effect of a start is measured only
// half a second later and the serving tasks' load may rise more than its trend tells.
const headroomAdmit = 1.8

// headroomAdmitLight replaces headroomAdmit for fillers with low pressure. It
// allows for changes in the serving tasks' own load only.
const headroomAdmitLight = 1.2

const (
	// careMax is the headroom that a filler whose job has all of its objective left leaves on
	// top. With time left it can wait for a worker where it disturbs nobody; as its slack
	// shrinks it takes more risk.
	careMax = 0.5
	// careLevels is the number of levels of care above none. Fillers of one level share their
	// unsuccessful searches.
	careLevels = 5
	// careWait is how long a filler waits at most for more headroom than any must leave, so
	// that a long objective keeps none from the room there is.
	careWait = 15 * time.Second
	// idleFillerWait is how long a job of fillers with nothing at work waits for the headroom
	// that any must leave. Then one of its tasks is placed where headroomAdmitLight is left:
	// the pace of fillers protects serving tasks, and a job must not wait for ever while most
	// of the room is free.
	idleFillerWait = 30 * time.Second
	// idleCare replaces what careOf returns for that task.
	idleCare = headroomAdmitLight - headroomAdmit
)

// careOf returns the headroom that fillers of a step leave beyond what any must.
func careOf(s *graph.StepState, b demand.Batch, nowMS int64) float64 {
	if !s.Filler || nowMS-max(s.Occurrence.DueMS, s.ReadyMS()) >= careWait.Milliseconds() {
		return 0
	}
	return careMax / careLevels * math.Round(careLevels*b.SlackShare(nowMS))
}

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
	// suspectApartWeight is the penalty of a crash suspect for each other one on the
	// worker, fewerRunsWeight its penalty for each run there. Apart from the others, the
	// task that crashes its workers soon differs from them by its count, and with fewer
	// runs beside it a crash hits fewer.
	suspectApartWeight = 100.0
	fewerRunsWeight    = 1.0
	// crashedUnderWeight is the penalty of a crash suspect for a machine that crashed under
	// it: a crash of another one tells whether the task or the machine is the cause.
	crashedUnderWeight = 1000.0
	// avoidSuspectWeight is the penalty of all other tasks for a worker with a crash
	// suspect.
	avoidSuspectWeight = 5.0
)

// score rates a worker for a task, without failedHereWeight; higher is better. It returns
// false if the task must not start there now.
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
	if s.DataRack != "" && w.HasLabel(s.DataRack) {
		v += dataRackWeight
	}
	return v - p.crashPenalty(task, cd), true
}

// crashPenalty keeps crash suspects away from the machines that crashed under them, and
// apart from each other and from other tasks, unless that would take too many workers.
func (p *placer) crashPenalty(task *graph.Task, cd *candidate) float64 {
	switch {
	case task.IsCrashSuspect() && p.c.crashedUnder(task, cd.ws.w):
		return crashedUnderWeight
	case p.candidates.hasManySuspects():
		return 0
	case task.IsCrashSuspect():
		return suspectApartWeight*float64(cd.crashSuspects) + fewerRunsWeight*float64(cd.runs)
	case cd.crashSuspects > 0:
		return avoidSuspectWeight
	}
	return 0
}

// fillerFits reports whether a candidate has enough idle processors and headroom
// for a filler. worst is the most headroom that the filler takes from any image.
func (p *placer) fillerFits(s *graph.StepState, cd *candidate) (worst float64, ok bool) {
	if float64(cd.spareMilli) < fillerIdleShare*float64(s.Need.CPUMilli) {
		return 0, false
	}
	share := float64(s.Need.CPUMilli) / float64(max(cd.ws.w.Capacity.CPUMilli, 1))
	for _, h := range cd.serving {
		if h.headroom < 1-headroomAdmit {
			return 0, false // a task already exceeds its target
		}
		image, headroom := h.image, h.headroom-p.care
		pressure := p.pressureOn(s, image)
		d := pressure * share
		if pressure < lightPressure {
			headroom += headroomAdmit - headroomAdmitLight
		}
		if d > headroom {
			return 0, false
		}
		worst = max(worst, d)
	}
	return worst, true
}
