package dispatch

import "time"

const (
	// headroomSet is the headroom, tail target divided by tail, at which fillers
	// are held. A tail rises without bound as its worker fills up, but its
	// inverse falls in a straight line, which a linear controller can follow.
	headroomSet = 1.2
	// headroomMax caps the headroom that counts, so that an idle task does not
	// bring a long time of full pace before the first reaction.
	headroomMax = 2.5
	// paceGain is the change of pace, in percent, for each unit of headroom.
	paceGain = 30.0
	// paceInterval is the least time between two changes: a measure covers half a second.
	paceInterval = 450 * time.Millisecond
	// paceTolerance is the difference, in percent, that is not worth an order.
	paceTolerance = 8
	// guardShare is the part of the time for which a task may be over
	// its target after which all fillers beside it stand still.
	guardShare = 0.4
	// minPace is the share, in percent, below which fillers stand still: a
	// filler hardly works there and still disturbs.
	minPace = 5
	// pacedHoldWait bounds how old a measure is where fillers run beside tasks
	// with a tail target.
	pacedHoldWait = 500 * time.Millisecond
)

// servingState is the state of the serving tasks of one image on a worker.
type servingState struct {
	// headroom is the least of the tasks', as last listed.
	headroom float64
	// pace is the share of work, in percent, that fillers which disturb them
	// may do. Below 0 these stand still and the others are slowed.
	pace float64
	// overSince is when a task was first listed over its target, without a list
	// in between that showed all below; zero if none is.
	overSince time.Time
	// guarded is set from when a task has been over its target for too long
	// until there is headroom again.
	guarded bool
}

// guard updates overSince and guarded.
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

// adjustPace sets how fast the fillers of a worker may work, so that the tasks
// that serve there stay below their tail targets.
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

// updateServing reads the headroom of the serving tasks from the last list, and
// reports whether there are fillers.
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

// wantPace returns the pace of a run. Fillers that hardly disturb are slowed
// only once the others on the worker stand still.
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

// paceOrder returns the pace to order, given the one last accepted.
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
