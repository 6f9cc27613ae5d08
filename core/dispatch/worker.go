package dispatch

import (
	"cmp"
	"slices"
	"time"

	"gooseberrypond/core/graph"
)

// workerState is what the leader knows of one life of a worker.
type workerState struct {
	w     *graph.Worker
	token uint64
	// inheritedEnd is when every lease that an earlier leader gave has ended.
	inheritedEnd time.Time

	// fenced is set once the worker has answered a call with token.
	fenced bool
	// predecessors are earlier lives whose runs are not settled.
	predecessors []*workerState
	// clockMS is the worker's clock as read in an answer received at clockAt.
	clockMS int64
	clockAt time.Time
	// deadlineMS is the latest lease deadline sent.
	deadlineMS int64

	// leftAt is when the worker said that it was gone; leavesAt is, while it
	// drains, when it may be gone at the earliest.
	leftAt   time.Time
	leavesAt time.Time

	lastBeat   time.Time
	beatSeq    int64
	lastAnswer time.Time
	// suspect is set by a call without an answer and cleared by the next answer.
	suspect bool

	// ack is the last end that is recorded; listed the last one that was listed
	// and waits to be recorded.
	ack, listed uint64
	listedAt    time.Time
	failedCalls int
	nextHold    time.Time
	// look asks for the lists at once, not before lookAt.
	look   bool
	lookAt time.Time

	inFlight    int
	streak      int
	stuck       int
	asideFor    time.Duration
	pausedUntil time.Time

	// serving holds the state of the serving tasks here by image.
	serving map[string]*servingState
	pacedAt time.Time
	// paced is set while fillers run beside tasks with a tail target.
	paced bool
	last  observation
	// candidate is reused by each plan.
	candidate candidate
	runs      map[*graph.Attempt]*runState
}

// runState is what the leader knows of one attempt.
type runState struct {
	a  *graph.Attempt
	ws *workerState
	// inherited means that an earlier leader may have sent the start.
	inherited bool
	sends     int
	// unanswered is set once an order of the run got no answer.
	unanswered bool
	answeredAt time.Time
	seen       bool
	// giveUp says why the run is to be stopped although its task is wanted;
	// empty if it is not.
	giveUp    string
	stoppedAt time.Time // when a stop was answered
	inFlight  bool
	nextAt    time.Time
	open      bool

	checkpoint string
	percent    int
	progressAt time.Time // when percent was last seen to rise
	measure    float64
	pace       int // as last accepted by the worker
	ending     bool
	releasing  bool
}

// addWorkers adds the recorded workers that have no state yet, in the order in
// which they were recorded: a later life gets the higher fencing token.
func (c *Core) addWorkers(now time.Time) []*workerState {
	var added []*graph.Worker
	for w := range c.t.Workers {
		if c.workers[w.Handle] == nil {
			added = append(added, w)
		}
	}
	slices.SortFunc(added, func(a, b *graph.Worker) int { return cmp.Compare(a.Handle, b.Handle) })
	out := make([]*workerState, len(added))
	for i, w := range added {
		out[i] = c.newWorker(now, w)
	}
	return out
}

func (c *Core) newWorker(now time.Time, w *graph.Worker) *workerState {
	ws := &workerState{
		w: w, token: c.tokenFor(w.ID), lastBeat: now, lastAnswer: now,
		serving: map[string]*servingState{}, runs: map[*graph.Attempt]*runState{},
	}
	for _, old := range c.workers {
		if succeeds(w, old.w) {
			ws.predecessors = append(ws.predecessors, old)
		}
	}
	c.workers[w.Handle] = ws
	c.added = append(c.added, w.Handle)
	return ws
}

// succeeds reports whether a worker is a later life of another one: it has its
// id, or it answers at its address, under which only one life is at a time.
func succeeds(w, old *graph.Worker) bool {
	return w.Born > old.Born && (w.ID == old.ID || w.Address == old.Address)
}

// tokenFor returns the fencing token for a new life of a worker. It is higher
// than that of every earlier life under the id, so that an order meant for one
// of these is not obeyed once the new life has been called.
func (c *Core) tokenFor(id string) uint64 {
	c.lives[id]++
	return c.term<<tokenLifeBits + c.lives[id]
}

// tokenLifeBits leaves room for the lives of one id in one term. A token stays
// below 2^53, which JSON numbers hold exactly, up to term 2^37.
const tokenLifeBits = 16

// clockNow estimates the worker's clock.
func (ws *workerState) clockNow(now time.Time) int64 {
	return ws.clockMS + now.Sub(ws.clockAt).Milliseconds()
}

// readClock notes a reading of the worker's clock.
func (ws *workerState) readClock(now time.Time, clockMS int64) {
	if clockMS > 0 {
		ws.clockMS, ws.clockAt = clockMS, now
	}
}

// nextDeadline returns the deadline for an order sent now, or 0 if the
// worker's clock is not known.
func (ws *workerState) nextDeadline(now time.Time, lease time.Duration) int64 {
	if ws.clockAt.IsZero() {
		return 0
	}
	d := ws.clockNow(now) + lease.Milliseconds()
	ws.deadlineMS = max(ws.deadlineMS, d)
	return d
}

// leaseEnd returns when every lease given to the worker has certainly ended.
func (ws *workerState) leaseEnd() time.Time {
	end := ws.inheritedEnd
	if ws.deadlineMS > 0 {
		left := time.Duration(float64(ws.deadlineMS-ws.clockMS)/(1-MaxClockSlow)) * time.Millisecond
		if e := ws.clockAt.Add(left); e.After(end) {
			end = e
		}
	}
	return end.Add(leaseSlack)
}

// usable reports whether the worker may get new work.
func (c *Core) usable(now time.Time, ws *workerState) bool {
	return ws.fenced && !ws.suspect && !ws.w.Left && !ws.w.Draining && !ws.clockAt.IsZero() &&
		!now.Before(ws.pausedUntil) && !c.t.DomainOut(ws.w.Domain)
}

// answered notes an answer of the worker.
func (ws *workerState) answered(now time.Time, clockMS int64) {
	ws.readClock(now, clockMS)
	ws.lastAnswer = now
	ws.suspect = false
	ws.failedCalls = 0
}

// noteEnd learns from how a run ended here.
func (ws *workerState) noteEnd(now time.Time, kind graph.EndKind, task *graph.Task) {
	switch kind {
	case graph.EndDone:
		ws.streak, ws.stuck, ws.asideFor = 0, 0, 0
	case graph.EndFailed:
		if task.Failures > 0 {
			return // it failed elsewhere too
		}
		ws.streak++
		if ws.streak >= failStreak {
			ws.setAside(now)
			ws.streak = failStreak - 1 // the next failure sets it aside again
		}
	}
}
