package dispatch

import "time"

const (
	// headroomSetpoint is the controller's setpoint for headroom, which is the tail
	// latency target divided by the tail latency. As a worker fills up, the tail
	// latency grows without bound, but its inverse falls linearly, so a linear
	// controller can follow it.
	headroomSetpoint = 1.2
	// headroomMax caps the headroom that the controller sees, so that the large
	// headroom of an idle task does not delay the reaction to rising latency.
	headroomMax = 2.5
	// paceGain is the change of pace, in percent, per unit of headroom error.
	paceGain = 30.0
	// paceInterval is the minimum time between two changes of pace, since a
	// measurement covers half a second.
	paceInterval = 450 * time.Millisecond
	// paceTolerance is the difference, in percent, below which no order is sent.
	paceTolerance = 8
	// pauseShare is the fraction of Limits.Interference for which a task may exceed
	// its target before all fillers on its worker are paused.
	pauseShare = 0.4
	// minPace is the pace, in percent, below which fillers are paused instead: at
	// such a pace a filler makes little progress and still causes interference.
	minPace = 5
	// paceUnknown stands for the pace of a filler that an earlier leader may have slowed or
	// paused.
	paceUnknown = -1
	// fullUse is the share of its processor request that a filler uses, by its worker's
	// list, only at full pace.
	fullUse = 0.9
	// pacingHoldWait replaces HoldWait for workers that run fillers beside tasks
	// with a tail target. It limits the age of their measurements.
	pacingHoldWait = 500 * time.Millisecond
)

// servingState is the pace controller's state for the serving tasks of one image
// on a worker.
type servingState struct {
	// headroom is the lowest headroom among the tasks in the last list, soon the lowest
	// that is expected within paceAhead, and later that within admitAhead.
	headroom, soon, later float64
	// pace is the pace, in percent, of fillers that interfere with these tasks.
	// Below 0 those fillers are paused and fillers with low pressure are slowed.
	pace float64
	// overTargetSince is the start of the current period in which every list showed a
	// task over its target; zero if the last list showed none.
	overTargetSince time.Time
	// fillersPaused is set once a task has been over its target for too long, and
	// cleared when headroom reaches headroomSetpoint again. It pauses all fillers.
	fillersPaused bool
}

// updatePause updates overTargetSince and fillersPaused. after is how long a task
// may be over its target before fillers are paused.
func (s *servingState) updatePause(now time.Time, after time.Duration) {
	switch {
	case s.headroom >= 1:
		s.overTargetSince = time.Time{}
	case s.overTargetSince.IsZero():
		s.overTargetSince = now
	}
	if s.headroom >= headroomSetpoint {
		s.fillersPaused = false
	} else if !s.overTargetSince.IsZero() && now.Sub(s.overTargetSince) >= after {
		s.fillersPaused = true
	}
}

// adjustPace sets the pace of a worker's fillers, so that its serving tasks stay
// below their tail latency targets.
func (c *Core) adjustPace(now time.Time, ws *workerState) {
	fillers := c.updateServing(ws)
	ws.pacing = fillers && len(ws.serving) > 0
	if ws.pacing && now.Sub(ws.paceSetAt) >= paceInterval {
		ws.paceSetAt = now
		for _, s := range ws.serving {
			s.pace = nextPace(s.pace, min(s.soon, headroomMax))
			s.updatePause(now, time.Duration(pauseShare*float64(c.limits.Interference)))
		}
	}
	for a, r := range ws.runs {
		r.inferPace()
		if a.Step.Filler && (r.reported || !r.acceptedAt.IsZero()) && c.targetPace(r) != r.pace {
			c.queueRun(r)
		}
	}
}

// inferPace sets the pace of an inherited filler that uses the processors it requested, so
// that only those need an order that an earlier leader has slowed.
func (r *runState) inferPace() {
	if r.pace == paceUnknown && r.reported && r.measure >= fullUse*float64(r.a.Step.Need.CPUMilli) {
		r.pace = 100
	}
}

// paceAccepted records the pace that the worker has accepted at a time on its clock. A run
// that was paused could make no progress before.
func (r *runState) paceAccepted(percent int, clockMS int64) {
	if r.pace < minPace && percent >= minPace {
		r.progressMS = max(r.progressMS, clockMS)
	}
	r.pace = percent
}

// updateServing updates the headroom of the serving tasks from the last list and
// reports whether the worker runs fillers.
func (c *Core) updateServing(ws *workerState) (fillers bool) {
	for _, s := range ws.serving {
		s.headroom = 0
	}
	for a, r := range ws.runs {
		if a.Step.Filler {
			fillers = true
		}
		if a.Step.TailTargetMS <= 0 || !r.reported || r.measure <= 0 {
			continue
		}
		h := min(headroomObservedMax, float64(a.Step.TailTargetMS)/r.measure)
		s := ws.serving[a.Step.Image]
		if s == nil {
			s = &servingState{pace: 100}
			ws.serving[a.Step.Image] = s
		}
		trend := c.trendOf(a.Step)
		soon, later := h+trend.ahead(paceAhead), h+min(0, trend.ahead(admitAhead))
		if s.headroom == 0 {
			s.headroom, s.soon, s.later = h, soon, later
			continue
		}
		s.headroom, s.soon, s.later = min(s.headroom, h), min(s.soon, soon), min(s.later, later)
	}
	for image, s := range ws.serving {
		if s.headroom == 0 {
			delete(ws.serving, image)
		}
	}
	return fillers
}

// nextPace returns the pace after one step of the controller.
func nextPace(pace, headroom float64) float64 {
	pace += paceGain * (headroom - headroomSetpoint)
	if headroom < 1 && pace > 0 {
		pace /= 2
	}
	return min(100, max(-100, pace))
}

// targetPace returns the pace that a run should have. Fillers with low pressure are
// slowed only after the other fillers on the worker have been paused.
func (c *Core) targetPace(r *runState) int {
	if !r.a.Step.Filler {
		return 100
	}
	want := 100.0
	for image, s := range r.ws.serving {
		if s.fillersPaused {
			return 0
		}
		p := s.pace
		if c.pressureOf(r.a.Step.Image, image) < lightPressure {
			p += 100
		}
		want = min(want, p)
	}
	return paceToOrder(max(0, want), r.pace)
}

// paceToOrder returns the pace to order, given the last accepted one. It applies
// minPace and paceTolerance.
func paceToOrder(target float64, accepted int) int {
	w := int(target)
	if w < minPace {
		return 0
	}
	if diff := w - accepted; accepted != paceUnknown && w < 100 && diff < paceTolerance && diff > -paceTolerance {
		return accepted
	}
	return w
}
