package dispatch

import (
	"slices"
	"time"

	"gooseberrypond/core/graph"
)

// Core is the leader's volatile state. Not safe for concurrent use.
type Core struct {
	t      *graph.Tables
	term   uint64
	limits Limits

	workers map[graph.Handle]*workerState
	lives   map[string]uint64
	// pressure is how much fillers disturb serving tasks, by the latter's image.
	pressure         map[string]*pressureModel
	pressuresSavedAt time.Time
	// added lists the workers whose calls have not begun.
	added []graph.Handle
	// openRuns are the runs with an order to send or to be settled.
	openRuns []*runState

	rooms    map[string]*poolRoom
	changes  map[string]graph.WorkerChange
	ends     []graph.End
	releases []graph.Release

	// triedAt is when steps with waiting tasks were last searched for.
	triedAt map[*graph.StepState]time.Time
	// looks are the workers to be asked for their lists.
	looks []*workerState

	sweptAt time.Time
	// measuredAt is when the rooms were last measured.
	measuredAt time.Time
	forgetAt   time.Time
	// Stats count what was decided since the election.
	Stats Stats
}

// Stats count decisions.
type Stats struct {
	Starts, Stops, Paces, Ends, Releases, LeaseEnds, Unanswered, RoomRefusals, Stuck uint64
	// Scans counts searches for a worker through a whole pool.
	Scans           uint64
	Waiting, Usable int
}

// New returns the core of the leader elected at now for a term. The tables
// contain every entry of earlier terms.
func New(now time.Time, t *graph.Tables, term uint64, limits Limits) *Core {
	c := &Core{
		t: t, term: term, limits: limits,
		workers: map[graph.Handle]*workerState{}, lives: map[string]uint64{}, pressure: map[string]*pressureModel{},
		changes: map[string]graph.WorkerChange{}, rooms: map[string]*poolRoom{}, triedAt: map[*graph.StepState]time.Time{}, forgetAt: now.Add(forgetEvery), pressuresSavedAt: now,
	}
	c.inheritPressures(now)
	inherited := now.Add(time.Duration(float64(limits.LeaseMax) / (1 - MaxClockSlow)))
	for _, ws := range c.addWorkers(now) {
		ws.inheritedEnd = inherited
		for a := range ws.w.Attempts {
			c.track(ws, a).inherited = true
		}
	}
	return c
}

func (c *Core) track(ws *workerState, a *graph.Attempt) *runState {
	r := &runState{a: a, ws: ws, pace: 100, checkpoint: a.Resumed}
	ws.runs[a] = r
	return r
}

// TakeAdded returns the workers that must be called from now on.
func (c *Core) TakeAdded() []graph.Handle {
	out := c.added
	c.added = nil
	return out
}

// Beat takes a worker's report of itself. It reports whether the report must
// be recorded before it is acknowledged.
func (c *Core) Beat(now time.Time, r graph.WorkerReport) (record bool) {
	w := c.t.WorkerByID(r.ID)
	if w == nil || w.Born < r.Born {
		if c.replacedAt(&r) {
			return false
		}
		c.change(graph.WorkerChange{Report: r})
		return true
	}
	ws := c.workers[w.Handle]
	if ws == nil || w.Born > r.Born || r.Seq < ws.beatSeq {
		return false // from an earlier life, or overtaken
	}
	ws.lastBeat, ws.beatSeq = now, r.Seq
	if r.Draining && r.RemainingMS > 0 {
		ws.leavesAt = now.Add(time.Duration(r.RemainingMS) * time.Millisecond)
	}
	r.Draining = r.Draining || w.Draining
	if r.SameRecord(&w.WorkerReport) && !w.Left {
		return false
	}
	c.change(graph.WorkerChange{Report: r})
	return true
}

// replacedAt reports whether a later life of another worker holds the address:
// then the report was delayed, and its sender is gone.
func (c *Core) replacedAt(r *graph.WorkerReport) bool {
	for _, ws := range c.workers {
		if ws.w.Address == r.Address && ws.w.ID != r.ID && ws.w.Born > r.Born && !ws.w.Left {
			return true
		}
	}
	return false
}

// Leave notes that a worker has said that it is gone. It reports whether that
// must be recorded before it is acknowledged.
func (c *Core) Leave(id string) (record bool) {
	w := c.t.WorkerByID(id)
	if w == nil || w.Left {
		return false
	}
	c.change(graph.WorkerChange{Report: w.WorkerReport, Left: true})
	return true
}

func (c *Core) change(ch graph.WorkerChange) {
	if old, ok := c.changes[ch.Report.ID]; ok && old.Report.Born == ch.Report.Born {
		ch.Report.Draining = ch.Report.Draining || old.Report.Draining
		ch.Left = ch.Left || old.Left
	}
	c.changes[ch.Report.ID] = ch
}

// Plan returns what is to be proposed: what is to be recorded of workers and
// runs, and new starts. Only one plan may be open at a time.
func (c *Core) Plan(now time.Time, nowMS int64) *graph.Batch {
	c.sweep(now)
	b := &graph.Batch{NowMS: nowMS, Ends: c.ends, Releases: c.releases}
	c.ends, c.releases = nil, nil
	for _, ch := range c.changes {
		b.Workers = append(b.Workers, ch)
	}
	slices.SortFunc(b.Workers, func(a, b graph.WorkerChange) int {
		if a.Report.ID < b.Report.ID {
			return -1
		}
		return 1
	})
	clear(c.changes)
	b.Occurrences = c.occurrences(nowMS)
	b.Starts = c.place(now, nowMS)
	b.Pressures = c.pressuresToSave(now)
	if !now.Before(c.forgetAt) {
		c.forgetAt = now.Add(forgetEvery)
		b.ForgetBeforeMS = nowMS - forgetAfter.Milliseconds()
	}
	return b
}

// occurrences returns the occurrences that are due.
func (c *Core) occurrences(nowMS int64) []graph.OccurrenceDue {
	var out []graph.OccurrenceDue
	for j := range c.t.Recurring {
		for k := len(j.Occurrences); k < j.Spec.Times; k++ {
			if j.Spec.StartAtMS+int64(k)*j.Spec.IntervalMS > nowMS {
				break
			}
			out = append(out, graph.OccurrenceDue{Job: j.Spec.ID, Number: k})
		}
	}
	return out
}

// Abandoned takes back what an unsuccessful proposal was to record; the next
// plan contains it again.
func (c *Core) Abandoned(b *graph.Batch) {
	c.ends = append(b.Ends, c.ends...)
	c.releases = append(b.Releases, c.releases...)
	for _, ch := range b.Workers {
		c.change(ch)
	}
}

// Applied notes an applied batch.
func (c *Core) Applied(now time.Time, b *graph.Batch, res *graph.Result) {
	if len(b.Workers) > 0 {
		c.addWorkers(now)
	}
	for _, a := range res.Started {
		c.openRun(c.track(c.workers[a.Worker.Handle], a))
		c.Stats.Starts++
	}
	for _, a := range res.ToStop {
		if ws := c.workers[a.Worker.Handle]; ws != nil && ws.runs[a] != nil {
			c.openRun(ws.runs[a])
		}
	}
	for i := range b.Ends {
		c.settled(b.Ends[i].Worker)
	}
	for i := range b.Releases {
		c.settled(b.Releases[i].Worker)
	}
}

// settled drops the runs of a worker that have ended and moves its cursor on.
func (c *Core) settled(h graph.Handle) {
	ws := c.workers[h]
	if ws == nil {
		return
	}
	ending := false
	for a, r := range ws.runs {
		if a.Ended() {
			delete(ws.runs, a)
			continue
		}
		ending = ending || r.ending
	}
	if !ending {
		ws.ack = max(ws.ack, ws.listed)
	}
}

func (c *Core) openRun(r *runState) {
	if !r.open {
		r.open = true
		c.openRuns = append(c.openRuns, r)
	}
}

// sweep releases what runs on workers whose leases have ended, and drops the
// records of workers that are gone.
func (c *Core) sweep(now time.Time) {
	if now.Sub(c.sweptAt) < sweepInterval {
		return
	}
	c.sweptAt = now
	for h, ws := range c.workers {
		if c.t.Worker(h) == nil {
			delete(c.workers, h)
			continue
		}
		if ws.w.Left && ws.leftAt.IsZero() {
			ws.leftAt = now
		}
		if len(ws.runs) > 0 && c.surelyIdle(now, ws) {
			c.releaseAll(ws)
		}
		if ws.w.Draining && !ws.w.Left {
			c.clear(now, ws)
		}
		silent := now.Sub(ws.lastBeat) > beatTimeout && now.Sub(ws.lastAnswer) > beatTimeout
		if silent && len(ws.runs) == 0 && !ws.w.Left {
			c.change(graph.WorkerChange{Report: ws.w.WorkerReport, Left: true})
		}
	}
}

// surelyIdle reports whether nothing runs on a worker any more: its lease has
// ended, or it has said that it is gone and has not answered since.
func (c *Core) surelyIdle(now time.Time, ws *workerState) bool {
	if !ws.suspect && ws.fenced && !ws.w.Left {
		return false
	}
	if next := c.t.WorkerByID(ws.w.ID); next != nil && next != ws.w {
		if s := c.workers[next.Handle]; s != nil && s.fenced {
			return false // the new life's lists settle what ran here
		}
	}
	if now.After(ws.leaseEnd()) {
		return true
	}
	return ws.w.Left && ws.suspect && now.Sub(ws.leftAt) > leaveGrace
}

// releaseAll records that nothing runs on a worker any more.
func (c *Core) releaseAll(ws *workerState) {
	for _, r := range ws.runs {
		if !r.releasing {
			c.Stats.LeaseEnds++
		}
		c.release(r)
	}
}

// release records that a run is certain not to be at work.
func (c *Core) release(r *runState) {
	if r.releasing || r.ending || r.a.Ended() {
		return
	}
	r.releasing = true
	c.Stats.Releases++
	c.releases = append(c.releases, graph.Release{
		Task: r.a.Ref(), Run: r.a.Run, Worker: r.ws.w.Handle, Checkpoint: r.checkpoint,
	})
}
