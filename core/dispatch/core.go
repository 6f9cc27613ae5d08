package dispatch

import (
	"cmp"
	"slices"
	"time"

	"gooseberrypond/core/expect"
	"gooseberrypond/core/graph"
	"gooseberrypond/core/interference"
	"gooseberrypond/core/organisation"
)

// Core is the leader's in-memory scheduling state. It is not safe for concurrent use.
type Core struct {
	tables *graph.Tables
	term   uint64
	limits Limits

	workers map[graph.Handle]*workerState
	// byHandle lists workers in ascending order of their handles.
	byHandle []*workerState
	// byID and byAddress hold the incarnations with an ID, and at an address.
	byID, byAddress map[string][]*workerState
	// candidatePools holds the usable workers by pool, as of the last plan.
	candidatePools map[string]*candidatePool
	// incarnations counts the incarnations by worker ID, for fencing tokens.
	incarnations map[string]uint64
	// deadlineSentAt is when a call that carried a lease deadline was last sent to any
	// incarnation, by worker ID.
	deadlineSentAt map[string]time.Time
	// lateStartAt is when a start without an answer was last sent, by worker ID, and lateSilent
	// counts the silent workers to which one may be under way; see late.go.
	lateStartAt map[string]time.Time
	lateSilent  int
	// pressure holds, by image of the serving tasks, a model of how much headroom
	// fillers take from them.
	pressure         map[string]*interference.Pressures
	pressuresSavedAt time.Time
	// work is what is known of the work that tasks take.
	work *expect.Model
	// trends holds the load trends of serving steps.
	trends map[*graph.StepState]*loadTrend
	// newWorkers lists the workers that TakeNewWorkers has not returned yet.
	newWorkers []graph.Handle
	// queuedRuns are the runs with an order to send or in flight.
	queuedRuns []*runState

	poolStates map[string]*poolState
	// ledger has what organisations hold, with the starts of the last plan.
	ledger *organisation.Ledger
	// claims holds the workers that are kept free for long-running tasks that have been
	// away for long.
	claims map[*graph.Task]*claim
	// preempted are the runs that were stopped for other work and have not ended.
	preempted map[*runState]struct{}
	// calledBack are those among them that gave way to an organisation below its share.
	calledBack   map[*runState]string
	calledBackAt time.Time
	// givingUp is the run that was last stopped for a job with nothing at work.
	givingUp *runState
	// givenUpAt is when a long-running step last gave up a task for another job.
	givenUpAt map[*graph.StepState]time.Time
	changes   map[string]graph.WorkerChange
	ends      []graph.End
	releases  []graph.Release
	// releaseReasons tells why the runs in releases are over, until that is logged.
	releaseReasons map[releasedRun]string
	begun          begunJobs
	// crashes count against their tasks, weakCrashes do not.
	crashes, weakCrashes []graph.Crash
	waits                []graph.Wait
	// maxRecords is the largest number of records in the next batch; 0 means that their
	// size alone limits them.
	maxRecords int
	// strayOn holds the workers whose newest list has a run of the task without an attempt.
	strayOn map[*graph.Task]*workerState
	// silences holds the workers that have stopped answering, also those since replaced.
	silences map[graph.Handle]silence
	// lapsed holds, by worker, the runs that were released because its lease expired
	// and during which it may have crashed.
	lapsed map[*graph.Worker]lapsedRuns

	// searchedAt is the time of the last unsuccessful worker search for a step with
	// waiting tasks.
	searchedAt map[*graph.StepState]time.Time
	// delays is what the steps of live jobs have waited for since electedAt.
	delays    map[*graph.StepState]*stepDelays
	electedAt time.Time
	// plans counts the plans that searched for workers.
	plans uint64
	// failed are the latest unsuccessful searches, of earlier plans too.
	failed failedSearches
	// ranking is that of the plan being made. It is kept for its memory.
	ranking workerRanking
	// polls are the workers to be polled for their run lists.
	polls []*workerState
	// leaving are the workers that have given notice that is not recorded yet.
	leaving []*workerState

	// withdrawalMarks tell how old withdrawals are, the oldest first.
	withdrawalMarks []withdrawalMark
	sweptAt         time.Time
	// measuredAt is when the pools' free capacity was last measured.
	measuredAt time.Time
	forgetAt   time.Time
	// Stats counts the decisions since the election.
	Stats Stats
}

// Stats counts scheduling decisions. Waiting and Usable are current values.
//   - Starts counts the attempts whose start was committed.
//   - Stops and Paces count the stop and pace orders, including repeated ones.
//   - Ends counts the run ends that workers listed.
//   - Releases counts the runs found to be certainly not running.
//   - LeaseEnds counts the runs that were found to be over on workers that do not
//     answer. A run whose end is not yet recorded is counted at each sweep.
//   - Unanswered counts the orders without an answer from the worker's incarnation.
//   - RoomRefusals counts the starts that a worker refused for lack of free capacity.
//   - Stuck counts the runs that were abandoned for lack of progress.
//   - RefutedReports counts the reports of later incarnations of workers that answered
//     as themselves afterwards.
//   - UnnamedPools counts the ignored reports that name a pool which the configuration
//     does not.
//   - Crashes counts the runs during which a worker crashed soon after their start,
//     WeakCrashes those during which it may well have crashed for another reason, and
//     CrashLoops the jobs that failed because of the former.
//   - GivenUp counts the long-running runs that were stopped for a job with nothing at work.
//   - WorkRuns counts the runs by which expected work was judged, and WorkError and
//     EstimateError sum the error, as the absolute logarithm of the ratio to the time
//     taken, of the expectation and of the caller's estimate.
//   - Waiting is the number of ready steps with tasks that have no attempt.
//   - Usable is the number of workers that may get new work, and Quarantined that of
//     the workers that get only probes, at the last search.
type Stats struct {
	Starts, Stops, Paces, Ends, Releases, LeaseEnds, Unanswered, RoomRefusals, Stuck uint64
	Crashes, WeakCrashes, CrashLoops                                                 uint64
	GivenUp, RefutedReports, UnnamedPools                                            uint64
	WorkRuns                                                                         uint64
	WorkError, EstimateError                                                         float64
	// Scans counts searches of a pool for workers, Examined the workers that they compared.
	Scans, Examined uint64
	// Delays sums what ready steps have waited for, by cause.
	Delays                       Delays
	Waiting, Usable, Quarantined int
}

// New returns the core of the leader elected at now for the given term. The
// tables must contain every entry of earlier terms.
func New(now time.Time, tables *graph.Tables, term uint64, limits Limits) *Core {
	c := &Core{
		tables:           tables,
		term:             term,
		limits:           limits,
		workers:          map[graph.Handle]*workerState{},
		byID:             map[string][]*workerState{},
		byAddress:        map[string][]*workerState{},
		candidatePools:   map[string]*candidatePool{},
		incarnations:     map[string]uint64{},
		deadlineSentAt:   map[string]time.Time{},
		lateStartAt:      map[string]time.Time{},
		pressure:         map[string]*interference.Pressures{},
		trends:           map[*graph.StepState]*loadTrend{},
		changes:          map[string]graph.WorkerChange{},
		begun:            begunJobs{ids: map[graph.JobID]struct{}{}},
		poolStates:       map[string]*poolState{},
		givenUpAt:        map[*graph.StepState]time.Time{},
		claims:           map[*graph.Task]*claim{},
		preempted:        map[*runState]struct{}{},
		calledBack:       map[*runState]string{},
		silences:         map[graph.Handle]silence{},
		lapsed:           map[*graph.Worker]lapsedRuns{},
		releaseReasons:   map[releasedRun]string{},
		strayOn:          map[*graph.Task]*workerState{},
		searchedAt:       map[*graph.StepState]time.Time{},
		delays:           map[*graph.StepState]*stepDelays{},
		electedAt:        now,
		forgetAt:         now.Add(forgetEvery),
		pressuresSavedAt: now,
	}
	c.inheritPressures(now)
	c.work = expect.Restore(tables.Expected())
	for _, ws := range c.addWorkers(now) {
		ws.inheritedEnd, c.deadlineSentAt[ws.w.ID] = now.Add(longestLease(limits.LeaseMax)), now
		c.noteLateStart(ws.w.ID, now)
		for a := range ws.w.Attempts {
			r := c.track(ws, a)
			r.inherited, r.startUnanswered, r.sentAt = true, true, now
			if a.Step.Filler {
				r.pace = paceUnknown
			}
		}
	}
	c.sortNewWorkers()
	return c
}

func (c *Core) track(ws *workerState, a *graph.Attempt) *runState {
	r := &runState{a: a, ws: ws, pace: 100, checkpoint: a.Resumed, waitedSinceMS: c.waitingSince(a.Step, a.Task())}
	ws.runs[a] = r
	return r
}

// TakeNewWorkers returns at most n of the workers that it has not returned yet, after an
// election the most urgent first. The caller must start calling them.
func (c *Core) TakeNewWorkers(n int) []graph.Handle {
	n = min(n, len(c.newWorkers))
	out := c.newWorkers[:n:n]
	c.newWorkers = c.newWorkers[n:]
	return out
}

// sortNewWorkers orders the workers that an earlier leader called by the urgency of their
// first call, those with the most runs first.
func (c *Core) sortNewWorkers() {
	urgency := make(map[graph.Handle]Urgency, len(c.newWorkers))
	for _, h := range c.newWorkers {
		urgency[h] = c.workers[h].holdUrgency()
	}
	slices.SortStableFunc(c.newWorkers, func(a, b graph.Handle) int {
		return cmp.Or(cmp.Compare(urgency[b], urgency[a]), cmp.Compare(len(c.workers[b].runs), len(c.workers[a].runs)))
	})
}

// Beat handles a worker's heartbeat report. It returns whether the report
// must be recorded before it is acknowledged.
func (c *Core) Beat(now time.Time, r graph.WorkerReport) (record bool) {
	w := c.tables.WorkerByID(r.ID)
	recorded := w != nil && w.Born == r.Born
	if !c.isPoolNamed(r.Pool) && !(recorded && w.Pool == r.Pool) {
		c.Stats.UnnamedPools++ // a worker whose pool was removed still reports; any other is another writer's
		return false
	}
	if w == nil || w.Born < r.Born {
		return c.beatOfNewWorker(now, w, r)
	}
	// The numbers of another writer do not order a worker's own reports.
	foreign := recorded && w.Pool != r.Pool && !c.isPoolNamed(w.Pool)
	ws := c.workers[w.Handle]
	if ws == nil || w.Born > r.Born || r.Seq < ws.heartbeatSeq && !foreign {
		return false // from an earlier incarnation, or out of order
	}
	ws.lastHeartbeat, ws.heartbeatSeq = now, r.Seq
	if r.Draining && r.RemainingMS > 0 {
		ws.leavesAt = now.Add(time.Duration(r.RemainingMS) * time.Millisecond)
	}
	r.Draining = r.Draining || w.Draining
	if r.SameRecord(&w.WorkerReport) && r.SameRecord(&ws.queuedReport) && !w.Left {
		return false
	}
	ws.queuedReport, ws.candidate.current = r, false
	c.queueChange(graph.WorkerChange{Report: r})
	return true
}

// beatOfNewWorker handles the first report of an incarnation; w is the one before it, nil
// if there is none.
func (c *Core) beatOfNewWorker(now time.Time, w *graph.Worker, r graph.WorkerReport) (record bool) {
	if c.addressTaken(&r) {
		return false
	}
	if ws := c.currentState(w); ws != nil && ws.answersAsItself() {
		c.doubt(now, ws, r)
		return false
	}
	c.queueChange(graph.WorkerChange{Report: r})
	return true
}

// isPoolNamed reports whether the configuration names the pool. Before the first one any
// pool may be named.
func (c *Core) isPoolNamed(pool string) bool {
	cfg := c.tables.Config()
	return cfg == nil || cfg.PoolByName(pool) != nil
}

// currentState returns the state of a recorded worker; nil if there is none.
func (c *Core) currentState(w *graph.Worker) *workerState {
	if w == nil {
		return nil
	}
	return c.workers[w.Handle]
}

// addressTaken reports whether a more recently started worker with another ID uses
// the report's address. The report was then delayed, and its sender has been replaced.
// A worker that has never answered there does not count: anyone can name an address.
func (c *Core) addressTaken(r *graph.WorkerReport) bool {
	for _, ws := range c.byAddress[r.Address] {
		if ws.w.ID != r.ID && ws.w.Born > r.Born && ws.fenced && !ws.w.Left {
			return true
		}
	}
	return false
}

// Leave handles a worker's notice that it leaves. It returns whether the notice
// must be recorded before it is acknowledged, which is up to leaveStopWait later.
//
// The notice names only the worker's ID, so it may come late from an earlier
// incarnation. It is believed if this incarnation has drained. Otherwise the worker
// gets no new work until it answers a call; if it does not, its lease decides.
func (c *Core) Leave(now time.Time, id string) (record bool) {
	w := c.tables.WorkerByID(id)
	if w == nil || w.Left {
		return false
	}
	if !w.Draining {
		if ws := c.workers[w.Handle]; ws != nil {
			ws.suspect = true
		}
		return false
	}
	if ws := c.workers[w.Handle]; ws != nil {
		c.leaveNoticeArrived(now, ws)
		return true
	}
	c.queueChange(graph.WorkerChange{Report: w.WorkerReport, Left: true})
	return true
}

// queueChange queues a change to be recorded. The newest report of the newest
// incarnation is kept; an incarnation that drains or has left never returns.
func (c *Core) queueChange(ch graph.WorkerChange) {
	old, ok := c.changes[ch.Report.ID]
	switch {
	case ok && old.Report.Born > ch.Report.Born:
		return
	case ok && old.Report.Born == ch.Report.Born:
		draining, left := ch.Report.Draining || old.Report.Draining, ch.Left || old.Left
		if old.Report.Seq > ch.Report.Seq {
			ch.Report = old.Report
		}
		ch.Report.Draining, ch.Left = draining, left
	}
	c.changes[ch.Report.ID] = ch
}

// Plan returns the next batch to propose: worker changes, ends, releases, due
// occurrences, new starts and jobs that have begun. Only one plan may be outstanding at
// a time. While the core isolates a record, a plan has records only.
func (c *Core) Plan(now time.Time, nowMS int64) *graph.Batch {
	c.sweep(now)
	c.recordLeaves(now)
	b := &graph.Batch{NowMS: nowMS}
	isolating := c.Isolating()
	c.takeRecords(b)
	if isolating {
		return b
	}
	b.Occurrences = c.dueOccurrences(nowMS)
	b.Starts = c.place(now, nowMS)
	if now.Sub(c.pressuresSavedAt) >= pressureSaveInterval {
		b.Expected = c.work.Save()
	}
	b.Pressures = c.pressuresToSave(now)
	if !now.Before(c.forgetAt) {
		c.forgetAt = now.Add(forgetEvery)
		c.forgetTrends()
		c.failed.forget(now)
		c.forgetDelays()
		c.forgetGivenUp(now)
		c.forgetLapsed(now)
		c.forgetSilences(now)
		b.ForgetBeforeMS = nowMS - forgetAfter.Milliseconds()
		b.ForgetWithdrawals = c.oldWithdrawals(now)
	}
	b.Begun = c.takeBegun(now, b)
	return b
}

// maxDueOccurrences is the largest number of occurrences that one plan creates, so that a
// job with many overdue times holds up no other decision for long. The next plan goes on.
const maxDueOccurrences = 1000

// dueOccurrences returns job occurrences that have become due.
func (c *Core) dueOccurrences(nowMS int64) []graph.OccurrenceDue {
	var out []graph.OccurrenceDue
	for j := range c.tables.Recurring {
		for k := len(j.Occurrences); k < j.Spec.Times && len(out) < maxDueOccurrences; k++ {
			if j.Spec.StartAtMS+int64(k)*j.Spec.IntervalMS > nowMS {
				break
			}
			out = append(out, graph.OccurrenceDue{Job: j.Spec.ID, Number: k})
		}
	}
	return out
}

// Applied updates the state after a batch has been applied to the tables.
func (c *Core) Applied(now time.Time, b *graph.Batch, res *graph.Result) {
	c.recordsCommitted(b)
	if len(b.Workers) > 0 {
		c.addWorkers(now)
	}
	for i := range b.Workers {
		if w := c.tables.WorkerByID(b.Workers[i].Report.ID); w != nil {
			c.workerChanged(w)
		}
	}
	for _, a := range res.Started {
		ws := c.workers[a.Worker.Handle]
		if ws == nil {
			continue // the tables were replaced by a snapshot: another replica leads
		}
		c.workerChanged(a.Worker)
		r := c.track(ws, a)
		r.trackedAt = now
		c.queueRun(r)
		c.stepPlaced(now, a.Step)
		c.Stats.Starts++
	}
	for _, a := range res.ToStop {
		if ws := c.workers[a.Worker.Handle]; ws != nil && ws.runs[a] != nil {
			c.queueRun(ws.runs[a])
		}
	}
	c.Stats.Crashes += uint64(res.Crashes)
	c.Stats.WeakCrashes += uint64(res.WeakCrashes)
	c.Stats.CrashLoops += uint64(len(res.CrashLoops))
	for i := range b.Ends {
		c.dropEndedRuns(b.Ends[i].Worker)
		c.dropInheritedEnds(b.Ends[i].Worker)
	}
	for i := range b.Releases {
		c.dropEndedRuns(b.Releases[i].Worker)
	}
}

// dropEndedRuns removes a worker's ended runs and, once all listed ends are
// recorded, advances its acknowledgement cursor.
func (c *Core) dropEndedRuns(h graph.Handle) {
	ws := c.workers[h]
	if ws == nil {
		return
	}
	ws.candidate.current = false
	for a := range ws.runs {
		if a.Ended() {
			delete(ws.runs, a)
		}
	}
	ws.inheritedEnds = slices.DeleteFunc(ws.inheritedEnds, (*graph.Attempt).Ended)
	ws.acknowledgeListed()
}

// acknowledgeListed advances the acknowledgement cursor past the listed ends if all of them
// are recorded.
func (ws *workerState) acknowledgeListed() {
	for _, r := range ws.runs {
		if r.ending {
			return
		}
	}
	if len(ws.inheritedEnds) == 0 {
		ws.ackCursor = max(ws.ackCursor, ws.lastListed)
	}
}

// dropInheritedEnds lets the successors of a worker acknowledge the ends of its runs that
// they have listed.
func (c *Core) dropInheritedEnds(h graph.Handle) {
	old := c.workers[h]
	if old == nil {
		return
	}
	for _, ws := range c.sameHost(old.w.ID, old.address) {
		if len(ws.inheritedEnds) > 0 {
			c.dropEndedRuns(ws.w.Handle)
		}
	}
}

func (c *Core) queueRun(r *runState) {
	if !r.queued {
		r.queued = true
		c.queuedRuns = append(c.queuedRuns, r)
	}
}

// sweep releases the runs of workers whose leases have expired, stops the runs of
// draining workers that must move, and marks silent workers without runs as left.
func (c *Core) sweep(now time.Time) {
	if now.Sub(c.sweptAt) < sweepInterval {
		return
	}
	c.sweptAt = now
	c.dropForgottenWorkers()
	c.countLateSilent(now)
	for _, ws := range c.byHandle {
		if ws.w.Left && ws.leftAt.IsZero() {
			ws.leftAt = now
		}
		c.releaseExpired(now, ws)
		if ws.w.Draining && !ws.w.Left {
			c.clear(now, ws)
		}
		silent := now.Sub(ws.lastHeartbeat) > heartbeatTimeout && now.Sub(ws.lastAnswer) > heartbeatTimeout
		if (silent || ws.invalid) && len(ws.runs) == 0 && !ws.w.Left {
			c.queueChange(graph.WorkerChange{Report: ws.w.WorkerReport, Left: true})
		}
	}
}

// dropForgottenWorkers removes the state of workers whose record was removed.
func (c *Core) dropForgottenWorkers() {
	c.byHandle = slices.DeleteFunc(c.byHandle, func(ws *workerState) bool {
		forgotten := c.tables.Worker(ws.w.Handle) == nil
		if forgotten {
			c.forget(ws)
		}
		return forgotten
	})
}

// release queues a record that a run is certainly not running, for the given reason, which
// frees its task for another attempt.
func (c *Core) release(r *runState, reason string) {
	if r.releasing || r.ending || r.a.Ended() {
		return
	}
	r.releasing = true
	c.releaseReasons[releasedRun{r.a.Ref(), r.a.Run}] = reason
	c.Stats.Releases++
	c.releases = append(c.releases, graph.Release{
		Task: r.a.Ref(), Run: r.a.Run, Worker: r.ws.w.Handle, Checkpoint: r.checkpoint,
	})
	if r.a.Step.LongRunning && !r.reported {
		c.waits = append(c.waits, graph.Wait{Task: r.a.Ref(), SinceMS: r.waitedSinceMS})
	}
}
