package dispatch

import (
	"cmp"
	"slices"
	"time"

	"gooseberrypond/core/graph"
)

// workerState is the leader's state for one incarnation of a worker.
type workerState struct {
	w     *graph.Worker
	token uint64
	// tokenRaised is set while token is above that of all starts that were sent.
	tokenRaised bool
	// address is the key of the state in Core.byAddress.
	address string
	// inheritedEnd is when all leases granted by earlier leaders have expired.
	inheritedEnd time.Time

	// fenced is set once the worker has answered a call that carried token.
	fenced bool
	// predecessors are earlier incarnations with runs that are not yet released.
	predecessors []*workerState
	// inheritedEnds are attempts on predecessors whose end this worker lists and that is
	// not recorded yet.
	inheritedEnds []*graph.Attempt
	// clockMS is the worker's clock in the answer received at clockAt.
	clockMS int64
	clockAt time.Time
	// listedMS is the worker's clock in the newest list.
	listedMS int64
	// strayRuns counts the runs in the newest list that have no attempt on this worker.
	// Delayed orders started them, and they are being stopped.
	strayRuns int
	// deadlineMS is the latest lease deadline sent.
	deadlineMS int64
	// listSentAt is when the newest call was sent that this incarnation answered with its lists.
	listSentAt time.Time
	// superseded is set once a later incarnation with the same ID is known: this one has ended.
	superseded bool
	// otherAnsweredAt is when another incarnation seems to have answered a call to this one,
	// which has then ended, also if no report of the other arrives; zero if none has since
	// this one last answered with its lists.
	otherAnsweredAt time.Time

	// leftAt is when this leader found that the worker had left; leavesAt is the
	// earliest time at which a draining worker leaves.
	leftAt   time.Time
	leavesAt time.Time
	// noticeAt is when the worker's notice that it leaves arrived; see leave.go.
	noticeAt time.Time

	lastHeartbeat time.Time
	heartbeatSeq  int64
	// queuedReport is the last report that was queued, or the record if none was. It
	// differs from the record while that change is being committed.
	queuedReport graph.WorkerReport
	lastAnswer   time.Time
	// suspect is set when a call gets no answer and cleared by the next answer.
	suspect bool
	// incarnationKnown is set by a list of this incarnation and cleared when a call gets
	// no answer, or one with another clock. Until the next list a later incarnation may be
	// called in its place, and it numbers its ends anew, so no end is acknowledged.
	incarnationKnown bool
	// callFailedAt is when a call last got no answer, or a rival came. Answers to calls that
	// were sent before tell nothing about the incarnation that is called next.
	callFailedAt time.Time

	// ackCursor is the sequence number of the last recorded end; lastListed is
	// that of the last end listed by the worker.
	ackCursor, lastListed uint64
	// sentCursor is the cursor in the last call that had one, and heldAt when the last
	// hold call was sent.
	sentCursor uint64
	// answeredCursor is the highest cursor in a call that was answered.
	answeredCursor uint64
	heldAt         time.Time
	lastListedAt   time.Time
	failedCalls    int
	nextHold       time.Time
	// pollQueued is set while a poll of the run lists is queued for pollAt.
	pollQueued bool
	pollAt     time.Time

	// inFlight counts the orders in flight, startsInFlight the starts among them.
	inFlight, startsInFlight int
	health                   workerHealth
	// noNewWorkUntil is the end of the backoff after a refused start. Until then the
	// worker gets no new work.
	noNewWorkUntil time.Time

	// yieldedUntil is the time until which no long-running task is placed, because one
	// was stopped for batch work.
	yieldedUntil time.Time

	// serving holds the pace controller's state by image of the serving tasks.
	serving   map[string]*servingState
	paceSetAt time.Time
	// pacing is set while fillers run beside tasks with a tail target.
	pacing          bool
	lastObservation observation
	candidate       candidate
	// invalid is set if no worker can have sent the recorded report, which a former version
	// accepted.
	invalid bool
	// bornConfirmed is set once a list named the incarnation's start time.
	bornConfirmed bool
	// rival is a report of a later incarnation that has not displaced this one, because this
	// one answers; rivalAt is when it came.
	rival   *graph.WorkerReport
	rivalAt time.Time
	runs    map[*graph.Attempt]*runState
	// strays counts, by step, the runs in the newest list that have no attempt on this
	// worker. Only steps with MaxPerWorker are counted.
	strays map[*graph.StepState]int
	// strayTasks are the tasks of the runs that strayRuns counts.
	strayTasks []*graph.Task
	// strayStops has when the stops of runs without an attempt on this worker were answered.
	strayStops map[releasedRun]time.Time
}

// runState is the leader's state for one attempt.
type runState struct {
	a  *graph.Attempt
	ws *workerState
	// inherited means that an earlier leader may have sent the start.
	inherited bool
	sends     int
	// sentInTouch is set once a start was sent while the worker was not suspect.
	sentInTouch bool
	// listedBySuccessor is set if a later incarnation of the worker has listed the run,
	// which a delayed order started there.
	listedBySuccessor bool
	// startUnanswered is set once a start of the run got no answer, takenElsewhere once another
	// incarnation has answered that it has or had the run. firstSentAt and sentAt are when the
	// first and the last one were sent.
	startUnanswered, takenElsewhere bool
	firstSentAt, sentAt             time.Time
	// judged is set once it is decided how much its worker's crash counts against its task.
	judged bool
	// metSuccessor is set if the first start was answered by another worker at the address: this
	// one never received it.
	metSuccessor bool
	// waitedSinceMS is when the task had begun to wait when the run was placed.
	waitedSinceMS int64
	// trackedAt is when its start was committed under this leader.
	trackedAt  time.Time
	acceptedAt time.Time
	reported   bool
	// abandonReason is why the run is abandoned although its task is still wanted; empty
	// if it is not abandoned.
	abandonReason string
	stoppedAt     time.Time // when a stop was answered
	inFlight      bool
	nextAt        time.Time
	queued        bool

	checkpoint string
	percent    int     // progress, as last reported
	progressMS int64   // when percent last increased, by the worker's clock
	measure    float64 // see RunningRow.Measure
	pace       int     // as last accepted by the worker, or paceUnknown
	ending     bool    // the worker has listed its end, which is to be recorded
	releasing  bool    // its release is to be recorded
}

// addWorkers creates the state of recorded workers that have none, in the order in
// which they were recorded, so that a later incarnation gets a higher fencing token.
func (c *Core) addWorkers(now time.Time) []*workerState {
	var added []*graph.Worker
	for w := range c.tables.Workers {
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
		w: w, token: c.tokenFor(w.ID), address: w.Address, queuedReport: w.WorkerReport, lastHeartbeat: now, lastAnswer: now,
		serving: map[string]*servingState{}, runs: map[*graph.Attempt]*runState{},
		invalid: w.Check(time.Time{}) != nil,
	}
	// An incarnation leaves without draining only when a later one is recorded, which may
	// have been removed since.
	ws.superseded = w.Left && !w.Draining
	c.markSuperseded(w)
	for _, old := range c.sameHost(w.ID, w.Address) {
		if supersedes(w, old.w) {
			ws.predecessors = append(ws.predecessors, old)
		}
	}
	c.byID[w.ID] = append(c.byID[w.ID], ws)
	c.byAddress[w.Address] = append(c.byAddress[w.Address], ws)
	c.workers[w.Handle] = ws
	c.byHandle = append(c.byHandle, ws)
	c.newWorkers = append(c.newWorkers, w.Handle)
	return ws
}

// sameHost returns the workers with an ID or an address, without repetition.
func (c *Core) sameHost(id, address string) []*workerState {
	out := slices.Clone(c.byID[id])
	for _, ws := range c.byAddress[address] {
		if ws.w.ID != id {
			out = append(out, ws)
		}
	}
	return out
}

// forget removes the state of a worker.
func (c *Core) forget(ws *workerState) {
	delete(c.workers, ws.w.Handle)
	c.forgetStrays(ws)
	c.unindex(c.byID, ws.w.ID, ws)
	if len(c.byID[ws.w.ID]) == 0 {
		delete(c.deadlineSentAt, ws.w.ID)
		delete(c.lateStartAt, ws.w.ID)
	}
	c.unindex(c.byAddress, ws.address, ws)
}

func (c *Core) unindex(index map[string][]*workerState, key string, ws *workerState) {
	index[key] = slices.DeleteFunc(index[key], func(x *workerState) bool { return x == ws })
	if len(index[key]) == 0 {
		delete(index, key)
	}
}

// supersedes reports whether a worker is a later incarnation of another one: it has
// the same ID, or the same address, which only one incarnation uses at a time.
func supersedes(w, old *graph.Worker) bool {
	return w.Born > old.Born && (w.ID == old.ID || w.Address == old.Address)
}

// tokenFor returns the fencing token for a new incarnation of a worker. It is
// higher than the tokens of all earlier incarnations with this ID, so that the
// worker rejects orders for them once it has been called with the new token. Tokens of
// different IDs are not ordered. A worker rejects orders for another ID that used its
// address because each call names the ID of the worker (see Target).
func (c *Core) tokenFor(id string) uint64 {
	c.incarnations[id]++
	return c.term<<tokenIncarnationBits + c.incarnations[id]
}

// tokenIncarnationBits is the number of bits of a token that count the incarnations
// of one ID within a term. Up to term 2^37, tokens stay below 2^53, which JSON
// numbers represent exactly.
const tokenIncarnationBits = 16

// estimatedClock estimates the current reading of the worker's clock.
func (ws *workerState) estimatedClock(now time.Time) int64 {
	return ws.clockMS + now.Sub(ws.clockAt).Milliseconds()
}

// setClock records a reading of the worker's clock.
func (ws *workerState) setClock(now time.Time, clockMS int64) {
	if clockMS > 0 {
		ws.clockMS, ws.clockAt = clockMS, now
	}
}

// isOtherClock reports whether a reading of the clock in an answer cannot be this
// incarnation's: a later one begins anew, ahead or behind. After an answer that was long
// under way the incarnation's own clock may look the same.
func (ws *workerState) isOtherClock(now time.Time, clockMS int64) bool {
	if clockMS == 0 || ws.clockAt.IsZero() {
		return false
	}
	slow := time.Duration(float64(now.Sub(ws.clockAt)) * MaxClockSlow)
	ahead := clockMS - ws.estimatedClock(now)
	return ahead > clockTolerance.Milliseconds() || ahead < -(slow+clockTolerance).Milliseconds()
}

// nextDeadline returns the lease deadline for a call sent now, by the worker's
// clock, or 0 if that clock is not known.
func (ws *workerState) nextDeadline(now time.Time, lease time.Duration) int64 {
	if ws.clockAt.IsZero() {
		return 0
	}
	d := ws.estimatedClock(now) + lease.Milliseconds()
	ws.deadlineMS = max(ws.deadlineMS, d)
	return d
}

// leaseEnd returns the time by which all leases granted to the worker have
// certainly expired, even if its clock is slow by MaxClockSlow.
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

// usable reports whether new work may be placed on the worker.
func (c *Core) usable(now time.Time, ws *workerState) bool {
	return c.reachable(now, ws) && !ws.health.quarantined(now)
}

// reachable reports whether the worker takes orders and is in service. It may be
// quarantined. Stray runs take room, and places of their steps, that the tables do not show.
func (c *Core) reachable(now time.Time, ws *workerState) bool {
	return ws.fenced && !ws.invalid && !ws.suspect && ws.rival == nil && ws.strayRuns == 0 && !ws.w.Left && !ws.w.Draining && !ws.clockAt.IsZero() &&
		!now.Before(ws.noNewWorkUntil) && !c.tables.DomainOut(ws.w.Domain)
}

// callFailed records that a call to the worker got no answer. A report of a later incarnation
// then holds.
func (c *Core) callFailed(now time.Time, ws *workerState) {
	ws.suspect, ws.incarnationKnown, ws.callFailedAt = true, false, now
	c.noteSilence(now, ws)
	if ws.rival != nil {
		c.queueChange(graph.WorkerChange{Report: *ws.rival})
		ws.rival = nil
	}
}

// answersAsItself reports whether the worker's last call was answered by the incarnation
// itself.
func (ws *workerState) answersAsItself() bool {
	return ws.fenced && ws.bornConfirmed && !ws.suspect && !ws.w.Left
}

// doubt keeps the report of a later incarnation until the next call to this one: it may be
// another writer's.
func (c *Core) doubt(now time.Time, ws *workerState, r graph.WorkerReport) {
	if ws.rival != nil && (ws.rival.Born > r.Born || ws.rival.Born == r.Born && ws.rival.Seq >= r.Seq) {
		return
	}
	if ws.rival == nil || ws.rival.Born != r.Born {
		ws.rivalAt = now
	}
	ws.rival = &r
	c.raiseToken(now, ws)
	c.doubtIncarnation(now, ws)
}

// doubtIncarnation lets the worker acknowledge no end until a list shows which incarnation
// answers.
func (c *Core) doubtIncarnation(now time.Time, ws *workerState) {
	ws.incarnationKnown, ws.callFailedAt = false, now
	c.queuePoll(now, ws)
}

// refuteRival drops the report of a later incarnation if this one has answered a call that was
// sent after it.
func (c *Core) refuteRival(ws *workerState, sent time.Time) {
	if ws.rival != nil && sent.After(ws.rivalAt) {
		ws.rival = nil
		c.Stats.RefutedReports++
	}
}

// recordAnswer records that the worker has answered a call.
func (c *Core) recordAnswer(now time.Time, ws *workerState, clockMS int64) {
	delete(c.lapsed, ws.w)
	delete(c.silences, ws.w.Handle)
	ws.setClock(now, clockMS)
	ws.lastAnswer = now
	ws.suspect = false
	ws.failedCalls = 0
}
