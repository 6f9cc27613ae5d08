package dispatch

import "time"

const (
	// headroomSet is the controller's setpoint for headroom, which is the tail
	// latency target divided by the tail latency. As a worker fills up, the tail
	// latency grows without bound, but its inverse falls linearly, so a linear
	// controller can follow it.
	headroomSet = 1.2
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
	// guardShare is the fraction of Limits.Interference for which a task may exceed
	// its target before all fillers on its worker are paused.
	guardShare = 0.4
	// minPace is the pace, in percent, below which fillers are paused instead: at
	// such a pace a filler makes little progress and still causes interference.
	minPace = 5
	// pacedHoldWait replaces HoldWait for workers that run fillers beside tasks
	// with a tail target. It limits the age of their measurements.
	pacedHoldWait = 500 * time.Millisecond
)

// servingState is the pace controller's state for the serving tasks of one image
// on a worker.
type servingState struct {
	// headroom is the lowest headroom among the tasks in the last list.
	headroom float64
	// pace is the pace, in percent, of fillers that interfere with these tasks.
	// Below 0 those fillers are paused and fillers with low pressure are slowed.
	pace float64
	// overSince is the start of the current period in which every list showed a
	// task over its target; zero if the last list showed none.
	overSince time.Time
	// guarded is set once a task has been over its target for too long, and
	// cleared when headroom reaches headroomSet again. It pauses all fillers.
	guarded bool
}

// guard updates overSince and guarded. A task may be over its target for the
// duration after.
func (s *servingState) guard(now time.Time, after time.Duration) {
	switch {
	case s.headroom >= 1:
		s.overSince = time.Time{}
	case s.overSince.IsZero():
		s.overSince = now
	}
	if s.headroom >= headroomSet {
		s.guarded = false
	} else if !s.overSince.IsZero() && now.Sub(s.overSince) >= after {
		s.guarded = true
	}
}

// adjustPace sets the pace of a worker's fillers, so that its serving tasks stay
// below their tail latency targets.
func (c *Core) adjustPace(now time.Time, ws *workerState) {
	fillers := ws.updateServing()
	ws.paced = fillers && len(ws.serving) > 0
	if ws.paced && now.Sub(ws.pacedAt) >= paceInterval {
		ws.pacedAt = now
		for _, s := range ws.serving {
			s.pace = nextPace(s.pace, min(s.headroom, headroomMax))
			s.guard(now, time.Duration(guardShare*float64(c.limits.Interference)))
		}
	}
	for a, r := range ws.runs {
		if a.Step.Filler && (r.seen || !r.answeredAt.IsZero()) && c.wantPace(r) != r.pace {
			c.openRun(r)
		}
	}
}

// updateServing updates the headroom of the serving tasks from the last list and
// reports whether the worker runs fillers.
func (ws *workerState) updateServing() (fillers bool) {
	for _, s := range ws.serving {
		s.headroom = 0
	}
	for a, r := range ws.runs {
		if a.Step.Filler {
			fillers = true
		}
		if a.Step.TailTargetMS <= 0 || !r.seen || r.measure <= 0 {
			continue
		}
		h := min(headroomSeen, float64(a.Step.TailTargetMS)/r.measure)
		s := ws.serving[a.Step.Image]
		if s == nil {
			s = &servingState{pace: 100}
			ws.serving[a.Step.Image] = s
		}
		if s.headroom == 0 || h < s.headroom {
			s.headroom = h
		}
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
	pace += paceGain * (headroom - headroomSet)
	if headroom < 1 && pace > 0 {
		pace /= 2
	}
	return min(100, max(-100, pace))
}

// wantPace returns the pace that a run should have. Fillers with low pressure are
// slowed only after the other fillers on the worker have been paused.
func (c *Core) wantPace(r *runState) int {
	if !r.a.Step.Filler {
		return 100
	}
	want := 100.0
	for image, s := range r.ws.serving {
		if s.guarded {
			return 0
		}
		p := s.pace
		if c.pressureOf(r.a.Step.Image, image) < lightPressure {
			p += 100
		}
		want = min(want, p)
	}
	return paceOrder(max(0, want), r.pace)
}

// paceOrder returns the pace to order, given the last accepted one. It applies
// minPace and paceTolerance.
func paceOrder(want float64, accepted int) int {
	w := int(want)
	if w < minPace {
		return 0
	}
	if diff := w - accepted; w < 100 && diff < paceTolerance && diff > -paceTolerance {
		return accepted
	}
	return w
}
