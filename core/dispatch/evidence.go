package dispatch

import (
	"slices"
	"time"

	"gooseberrypond/core/graph"
)

// How much a crash says about a run is judged by how likely one was by chance: the rate at
// which such workers crash without the task, times the time that the run was exposed to it.

const (
	// strongChance and fairChance are the largest chances of a crash without the task with
	// which it counts like that of an unsettled run, and like that of a settled one. A crash
	// with a larger chance is weak.
	strongChance, fairChance = 0.02, 0.07
	// crashRateWindow is the period over which crashes of a pool's and of a machine's
	// workers are counted.
	crashRateWindow = time.Minute
	// burstWindow is how far apart workers that crash together are found silent at most, and
	// momentWindow if their connections break: a crash of many at one moment meets runs that
	// have just started more often than the same number in seconds.
	burstWindow, momentWindow = 2 * time.Second, 250 * time.Millisecond
	// priorExposure is the time of workers, in seconds, in which one crash is assumed
	// before any were seen.
	priorExposure = 60.0
	// silenceMemory is how long the end of a worker's answers is remembered: until the
	// crash of its lapsed runs can be counted no more.
	silenceMemory = lapsedMemory + crashRateWindow
)

// silence is when a worker stopped answering.
type silence struct {
	at time.Time
	w  *graph.Worker
}

// suspectRun is a run that may have crashed its worker.
type suspectRun struct {
	graph.Crash
	// exposure is the longest time for which the run can have executed.
	exposure time.Duration
	// unanswered means that nothing shows that the worker received the start.
	unanswered bool
	// counted is the number of counted crashes of its task before; weak means that this
	// one does not count.
	counted int
	weak    bool
}

// noteSilence records that a call to a worker got no answer. An answer of the same
// incarnation removes the record.
func (c *Core) noteSilence(now time.Time, ws *workerState) {
	if _, known := c.silences[ws.w.Handle]; known || !ws.fenced && (ws.inheritedEnd.IsZero() || c.isSuperseded(ws.w)) {
		return // anyone can report a worker that never answers, and one replaced before fell silent earlier
	}
	c.silences[ws.w.Handle] = silence{now, ws.w}
}

// isSuperseded reports whether a later incarnation of the worker is recorded.
func (c *Core) isSuperseded(w *graph.Worker) bool {
	return slices.ContainsFunc(c.sameHost(w.ID, w.Address), func(ws *workerState) bool { return supersedes(ws.w, w) })
}

func (c *Core) forgetSilences(now time.Time) {
	for h, s := range c.silences {
		if now.Sub(s.at) >= silenceMemory {
			delete(c.silences, h)
		}
	}
}

// silentSince returns when a worker stopped answering, or now if that is not known.
func (c *Core) silentSince(now time.Time, w *graph.Worker) time.Time {
	if s, known := c.silences[w.Handle]; known {
		return s.at
	}
	return now
}

func (c *Core) suspectRun(now time.Time, r *runState) suspectRun {
	s := suspectRun{Crash: graph.Crash{Task: r.a.Ref(), Run: r.a.Run, Worker: r.ws.w.Handle, Settled: r.settled()}}
	silent := c.silentSince(now, r.ws.w)
	switch {
	case r.inherited:
		// The start time is of another host's clock.
		s.exposure = max(silent.Sub(c.electedAt), silent.Sub(time.UnixMilli(r.a.StartedMS)))
	case r.acceptedAt.IsZero() && !r.reported:
		s.unanswered = true
		s.exposure = max(silent.Sub(r.ws.lastAnswer), silent.Sub(r.firstSentAt)) // it may have crashed before
	default:
		s.exposure = silent.Sub(r.firstSentAt)
	}
	return s
}

// countCrashes queues records that a worker crashed during the given runs, which a later
// incarnation of it has proven.
func (c *Core) countCrashes(now time.Time, w *graph.Worker, runs []suspectRun) {
	if len(runs) == 0 {
		return
	}
	b := c.backgroundOf(now, w)
	for i := range runs {
		c.judge(&b, &runs[i])
	}
	preferKnownSuspects(runs)
	for i := range runs {
		if runs[i].weak {
			c.weakCrashes = append(c.weakCrashes, runs[i].Crash)
		} else {
			c.crashes = append(c.crashes, runs[i].Crash)
		}
	}
}

// judge decides how much a crash counts against a run, as if it had been alone.
func (c *Core) judge(b *background, r *suspectRun) {
	_, task := c.findTask(r.Task)
	if task == nil {
		return
	}
	r.counted = len(task.CountedCrashes())
	chance := b.chance(c.silencesUnder(task, r.Worker, b), r.exposure)
	r.weak = chance >= fairChance
	if chance >= strongChance || r.unanswered && b.mostSilent() {
		r.Settled = true
	}
}

// preferKnownSuspects decides between the runs on a crashed worker: of the unsettled ones, one
// of the tasks with the most crashes is the likely cause, and those with fewer are neighbours.
// Where several have as many, the crash that would fail their jobs counts less, since at most
// one of them is at fault.
func preferKnownSuspects(runs []suspectRun) {
	most, ties := 0, 0
	for i := range runs {
		switch r := &runs[i]; {
		case r.weak || r.Settled || r.counted < most:
		case r.counted > most:
			most, ties = r.counted, 1
		default:
			ties++
		}
	}
	for i := range runs {
		switch r := &runs[i]; {
		case r.counted < most:
			r.weak = true
		case ties > 1 && r.counted > 1:
			r.Settled = true
		}
	}
}

// background is how often workers like one that crashed do so.
type background struct {
	// silent counts the others of its pool that stopped answering in the period, workers
	// all of the pool, and exposed is their time in it, in seconds.
	silent, workers int
	exposed         float64
	from, to        time.Time
	// burst and machine are the rates, per second, at which the workers beside it crashed
	// at about that time, and its machine in the time before.
	burst, machine float64
}

// chance returns the probability that the worker crashed within the given time without a
// task under which so many others did.
func (b *background) chance(under int, exposure time.Duration) float64 {
	rate := float64(b.silent-under+1)/(priorExposure+b.exposed) + b.burst + b.machine
	return rate * max(0, exposure.Seconds())
}

// mostSilent reports whether most workers of the pool stopped answering in the period.
func (b *background) mostSilent() bool { return 2*(b.silent+1) > b.workers }

// silencesUnder counts the workers, except the given one, that stopped answering in the
// period while they had a run of the task.
func (c *Core) silencesUnder(task *graph.Task, except graph.Handle, b *background) int {
	n := 0
	for _, x := range task.Crashes {
		if s, known := c.silences[x.Worker]; known && x.Worker != except && b.covers(s.at) {
			n++
		}
	}
	return n
}

func (b *background) covers(at time.Time) bool { return !at.Before(b.from) && !at.After(b.to) }

func (c *Core) backgroundOf(now time.Time, w *graph.Worker) background {
	at := c.silentSince(now, w)
	b := background{from: at.Add(-crashRateWindow), to: at.Add(burstWindow)}
	groups := groupsOf(w)
	c.measureGroups(w.Pool, groups)
	machine, first := 0, at
	for _, s := range c.silences {
		if s.w == w || s.w.Draining || s.w.Pool != w.Pool || !b.covers(s.at) {
			continue
		}
		b.silent++
		switch {
		case sameMachine(s.w, w) && s.at.Before(at):
			machine++
			if s.at.Before(first) {
				first = s.at
			}
		case s.at.Sub(at).Abs() <= burstWindow:
			addSilent(groups, s.w, s.at.Sub(at).Abs() <= momentWindow)
		}
	}
	for _, g := range groups {
		b.burst = max(b.burst, g.rate())
	}
	if machine > 0 {
		b.machine = float64(machine) / max(at.Sub(first), time.Second).Seconds()
	}
	b.workers = groups[0].workers
	b.exposed = float64(b.workers) * c.observed(now, &b).Seconds()
	return b
}

// observed returns for how much of the period this leader has watched the workers.
func (c *Core) observed(now time.Time, b *background) time.Duration {
	from, to := b.from, b.to
	if from.Before(c.electedAt) {
		from = c.electedAt
	}
	if now.Before(to) {
		to = now
	}
	return max(0, to.Sub(from))
}

// workerGroup is a set of workers of a pool that may crash together. Empty names match all.
type workerGroup struct {
	domain, label string
	// workers counts its workers, silent those that stopped answering within burstWindow,
	// moment those within momentWindow.
	workers, silent, moment int
}

// groupsOf returns the groups of a worker: its pool, its domain and those with each label.
func groupsOf(w *graph.Worker) []workerGroup {
	out := []workerGroup{{}, {domain: w.Domain}}
	for _, label := range w.Labels {
		out = append(out, workerGroup{label: label})
	}
	return out
}

func (g *workerGroup) has(w *graph.Worker) bool {
	return (g.domain == "" || w.Domain == g.domain) && (g.label == "" || w.HasLabel(g.label))
}

// rate returns the rate, per second, at which the group's workers crashed.
func (g *workerGroup) rate() float64 {
	return max(float64(g.silent)/burstWindow.Seconds(), float64(g.moment)/momentWindow.Seconds()) / (2 * float64(max(g.workers, g.silent+1)))
}

// measureGroups counts the workers of the groups, the latest incarnation at each address.
func (c *Core) measureGroups(pool string, groups []workerGroup) {
	for _, incarnations := range c.byAddress {
		w := incarnations[len(incarnations)-1].w
		if w.Left || w.Draining || w.Pool != pool {
			continue
		}
		for i := range groups {
			if groups[i].has(w) {
				groups[i].workers++
			}
		}
	}
}

func addSilent(groups []workerGroup, w *graph.Worker, moment bool) {
	for i := range groups {
		if !groups[i].has(w) {
			continue
		}
		groups[i].silent++
		if moment {
			groups[i].moment++
		}
	}
}

func sameMachine(a, b *graph.Worker) bool { return a.ID == b.ID || a.Address == b.Address }

// crashedUnder reports whether the worker's machine crashed under a run of the task that
// was counted for it.
func (c *Core) crashedUnder(task *graph.Task, w *graph.Worker) bool {
	return slices.ContainsFunc(task.Crashes, func(x graph.WorkerCrash) bool {
		s, known := c.silences[x.Worker]
		return known && !x.Weak && sameMachine(s.w, w)
	})
}
