package dispatch

import (
	"flag"
	"fmt"
	"math"
	"math/rand"
	"slices"
	"strings"
	"testing"
	"time"

	"gooseberrypond/core/graph"
	"gooseberrypond/core/structs"
)

const (
	standingTick    = 25 * time.Millisecond
	standingBeat    = time.Second
	standingStartup = 600 * time.Millisecond
	// standingAway is how long a long-running task may be absent while a worker has
	// room for it: the platform's 6 s after its last run and 3 s of room.
	standingAway = 9 * time.Second
	// standingRoom is how long a worker must have had room for the task without a break.
	standingRoom = 3 * time.Second
	// standingCalm is how long no fault may have been active.
	standingCalm = 7 * time.Second
	// standingShrinkGrace is how long after a report of a smaller capacity a start may
	// still exceed it.
	standingShrinkGrace = 4 * time.Second
	// standingFaults is the length of each of the two periods with faults, standingPause
	// that of the calm after each.
	standingFaults = 12 * time.Second
	standingPause  = 24 * time.Second
	// standingBacklog is the number of waiting steps above which no batch work is accepted.
	standingBacklog = 40
	// standingLeaseEnd is when the lease of a lost worker has certainly been found to be over.
	standingLeaseEnd = 11 * time.Second
)

var (
	standingSeeds = flag.Int("standing.seeds", 6, "number of seeds of the simulation of long-running tasks")
	standingFirst = flag.Int64("standing.first", 1, "first seed of the simulation of long-running tasks")
	standingOff   = flag.String("standing.off", "", "comma-separated kinds of faults to leave out")
	standingShow  = flag.Bool("standing.show", false, "log the faults of each seed")
)

// standingTask is what the checks know of one long-running task.
type standingTask struct {
	ref  graph.TaskRef
	step *graph.Step
	// absentSince is when its last run ended on a worker, or when it was accepted.
	absentSince time.Time
	on          *standIn
	reported    bool
}

type standingEvent struct {
	at time.Time
	do func()
}

// standingSim simulates a pool with long-running and batch tasks, including the delays
// of calls and commits.
type standingSim struct {
	*rig
	rng    *rand.Rand
	guards bool
	begin  time.Time
	events []standingEvent

	workers []*standIn // the incarnations that are up
	born    int64
	calls   map[graph.Handle]bool
	waits   []*standingHold
	submits []graph.Spec
	domains []graph.DomainChange
	out     map[string]bool
	// proposing is set while a batch is being committed.
	proposing bool

	tasks []*standingTask
	byRef map[graph.TaskRef]*standingTask
	batch map[graph.TaskRef]*standIn
	// hopeless are the jobs whose tasks always fail.
	hopeless map[graph.JobID]bool
	// roomSince and fitSince are since when a worker has had room for a step's tasks,
	// twice over and once.
	roomSince, fitSince map[*graph.Step]map[*standIn]time.Time
	// faultUntil is the end of the last fault that has begun.
	faultUntil time.Time
	maxDelay   int
	jobs       int
	term       uint64
	load       float64
	// lastingLoad replaces the changing loads unless it is 0.
	lastingLoad float64
	// workScale is the factor on the duration of batch tasks.
	workScale float64
	failures  map[string][]string
	log       []string
}

// standingHold is a hold call that a worker holds open.
type standingHold struct {
	hold       Hold
	core       *Core
	w          *standIn
	sent, till time.Time
	// loop is set for the call that is always open, and not for a poll beside it.
	loop bool
}

func (s *standingSim) between(minMS, maxMS int) time.Duration {
	return time.Duration(minMS+s.rng.Intn(maxMS-minMS+1)) * time.Millisecond
}

func (s *standingSim) latency() time.Duration { return s.between(1, s.maxDelay) }

func (s *standingSim) after(d time.Duration, do func()) {
	at := s.now.Add(d)
	i := len(s.events)
	for i > 0 && s.events[i-1].at.After(at) {
		i--
	}
	s.events = slices.Insert(s.events, i, standingEvent{at, do})
}

func (s *standingSim) at() time.Duration { return s.now.Sub(s.begin) }

func (s *standingSim) logf(format string, args ...any) {
	s.log = append(s.log, fmt.Sprintf("%7.3f ", s.at().Seconds())+fmt.Sprintf(format, args...))
}

func (s *standingSim) fail(kind, format string, args ...any) {
	s.failures[kind] = append(s.failures[kind], fmt.Sprintf("at %.3f s: ", s.at().Seconds())+fmt.Sprintf(format, args...))
}

// fault notes that a fault lasts for d.
func (s *standingSim) fault(d time.Duration, format string, args ...any) {
	s.logf(format, args...)
	if until := s.now.Add(d); until.After(s.faultUntil) {
		s.faultUntil = until
	}
}

func (s *standingSim) worker(id string) *standIn {
	for _, w := range s.workers {
		if w.id == id && w.up {
			return w
		}
	}
	return nil
}

func (s *standingSim) addWorker(id, domain string, labels []string, capacity structs.Resources) *standIn {
	s.born++
	w := &standIn{s: s, id: id, born: s.born, domain: domain, labels: labels, capacity: capacity, reported: capacity,
		clockRate: 1 - MaxClockSlow*s.rng.Float64(), bornAt: s.now, up: true,
		runs: map[graph.TaskRef]*standInRun{}, highest: map[graph.TaskRef]int{}}
	s.workers = append(s.workers, w)
	return w
}

// restart starts a new incarnation of a worker that is down.
func (s *standingSim) restart(w *standIn, capacity structs.Resources) {
	if s.worker(w.id) == nil {
		s.fault(time.Second, "%s is back", w.id)
		s.addWorker(w.id, w.domain, w.labels, capacity)
	}
}

func (s *standingSim) runStarted(ref graph.TaskRef, run int, w *standIn) {
	if st := s.byRef[ref]; st != nil {
		if st.on != nil {
			s.fail("twice", "%s run %d starts on %s while the task runs on %s", ref, run, w.id, st.on.id)
		}
		st.on = w
		return
	}
	if on := s.batch[ref]; on != nil {
		s.fail("twice", "%s run %d starts on %s while the task runs on %s", ref, run, w.id, on.id)
	}
	s.batch[ref] = w
}

func (s *standingSim) runEnded(ref graph.TaskRef) {
	if st := s.byRef[ref]; st != nil {
		st.on, st.absentSince = nil, s.now
		return
	}
	delete(s.batch, ref)
}

// fate returns when and how a run that starts now ends by itself.
func (s *standingSim) fate(st *graph.StepState, w *standIn) (time.Time, graph.EndKind) {
	switch {
	case s.now.Before(w.failsUntil), s.hopeless[st.Occurrence.Job.Spec.ID]:
		return s.now.Add(s.between(50, 400)), graph.EndFailed
	case st.LongRunning && s.rng.Intn(8) == 0 && !s.without("ends"):
		return s.now.Add(s.between(3000, 20000)), graph.EndFailed
	case st.LongRunning:
		return time.Time{}, 0
	}
	return s.now.Add(time.Duration(float64(st.EstimateMS)*(0.6+0.8*s.rng.Float64())) * time.Millisecond), graph.EndDone
}

func (s *standingSim) submitJob(steps ...graph.Step) graph.JobID {
	s.jobs++
	id := graph.JobID(fmt.Sprintf("%016x", s.jobs))
	queue := "q"
	if s.rng.Intn(4) == 0 {
		queue = "low"
	}
	s.submits = append(s.submits, graph.Spec{ID: id, Queue: queue, Payload: "x", Steps: steps})
	return id
}

// submitStanding submits a long-running job; its tasks are absent from its acceptance on.
func (s *standingSim) submitStanding(count int, cpu int64, maxPerWorker int, label string) {
	st := serving(count, cpu, "s")
	st.MaxPerWorker, st.Label = maxPerWorker, label
	s.submitJob(st)
}

func (s *standingSim) accepted(j *graph.Job) {
	if j == nil || !j.Spec.LongRunning() {
		return
	}
	for i := range j.Spec.Steps[0].Count {
		st := &standingTask{ref: graph.TaskRef{Job: j.Spec.ID, Index: i}, step: &j.Spec.Steps[0], absentSince: s.now}
		s.tasks = append(s.tasks, st)
		s.byRef[st.ref] = st
	}
}

// submitBatch submits batch work with the mean that load says.
func (s *standingSim) submitBatch() {
	if len(s.tables.Waiting()) > standingBacklog {
		return // the hosts refuse further jobs
	}
	meanMilliMS := 2.5 * 1250 * 800 * s.workScale // tasks, thousandths of a core, milliseconds
	var capacity int64
	for _, w := range s.workers {
		capacity += w.capacity.CPUMilli
	}
	perTick := s.load * float64(capacity) * float64(standingTick.Milliseconds()) / meanMilliMS
	for ; perTick > 0; perTick-- {
		if s.rng.Float64() >= perTick {
			continue
		}
		st := step(1+s.rng.Intn(4), int64(500*(1+s.rng.Intn(4))))
		st.EstimateMS = int64(s.workScale * float64(300+s.rng.Intn(1000)))
		id := s.submitJob(st)
		if s.rng.Intn(5) == 0 && !s.without("hopeless") {
			s.hopeless[id] = true
		}
	}
}

func (s *standingSim) without(kind string) bool {
	return slices.Contains(strings.Split(*standingOff, ","), kind)
}

func newStandingSim(t *testing.T, seed int64) *standingSim {
	s := &standingSim{rig: newRig(t), rng: rand.New(rand.NewSource(seed)), term: 1, calls: map[graph.Handle]bool{},
		byRef: map[graph.TaskRef]*standingTask{}, batch: map[graph.TaskRef]*standIn{}, hopeless: map[graph.JobID]bool{},
		roomSince: map[*graph.Step]map[*standIn]time.Time{}, fitSince: map[*graph.Step]map[*standIn]time.Time{}, failures: map[string][]string{}, out: map[string]bool{}}
	s.begin = s.now
	s.guards = s.rng.Intn(2) == 0
	s.maxDelay = []int{10, 40, 120}[s.rng.Intn(3)]
	config := *s.tables.Config()
	config.Version++
	low := config.Queues[0]
	low.Name, low.PathPrefix, low.Priority = "low", "/low/", 1
	config.Queues = append(slices.Clone(config.Queues), low)
	s.lastingLoad = []float64{0, 0, 0.5, 2}[s.rng.Intn(4)]
	s.workScale = []float64{1, 0.3}[s.rng.Intn(2)]
	config.Pools = []graph.Pool{{Name: "p", Guards: s.guards}}
	s.apply(&graph.Batch{Config: &config})
	n := 5 + s.rng.Intn(5)
	for i := range n {
		labels := []string{"a"}
		if i%3 == 0 {
			labels = append(labels, "x")
		}
		s.addWorker(fmt.Sprintf("w%d", i), fmt.Sprintf("d%d", i%3), labels, structs.Resources{CPUMilli: 8000, MemoryMB: 16000})
	}
	left := int64(n) * 8000 * 55 / 100
	for left > 2000 {
		count, cpu, most, label := 1+s.rng.Intn(5), int64(250*(1+s.rng.Intn(12))), 0, ""
		if s.rng.Intn(3) == 0 {
			most = 1 + s.rng.Intn(2)
		}
		if s.rng.Intn(6) == 0 {
			count, label = 1+s.rng.Intn(2), "x"
		}
		left -= int64(count) * cpu
		s.after(s.between(500, 60_000/(1+3*s.rng.Intn(2))), func() { s.submitStanding(count, cpu, most, label) })
	}
	return s
}

func (s *standingSim) run() {
	total := 2 * (standingFaults + standingPause)
	for s.at() < total {
		s.step()
		s.check()
	}
	s.checkEnd()
}

// phase sets the load and causes faults.
func (s *standingSim) phase() {
	period := standingFaults + standingPause
	in := s.at() % period
	last := s.at() >= period
	if s.at()%(4*time.Second) == 0 {
		s.load = []float64{0.1, 0.25, 0.4, 0.9, 2}[s.rng.Intn(5)]
		if s.lastingLoad > 0 {
			s.load = s.lastingLoad
		}
		if last && in >= standingFaults {
			s.load = 0.15
		}
		s.logf("load %.2f", s.load)
	}
	if last && in == standingFaults && s.rng.Intn(2) == 0 {
		for _, w := range s.workers {
			w.capacity.CPUMilli = 8000
		}
		s.logf("all workers have their full capacity")
	}
	if s.at() > 2*time.Second && in < standingFaults && s.rng.Intn(40) == 0 {
		s.randomFault()
	}
}

var standingKinds = []string{"lost", "crash", "drain", "domain", "shrink", "shrink", "grow", "grow", "failing", "unhealthy", "silent", "failover", "unproposed"}

func (s *standingSim) randomFault() {
	kind := standingKinds[s.rng.Intn(len(standingKinds))]
	w := s.workers[s.rng.Intn(len(s.workers))]
	d := s.between(500, 5000)
	half := s.rng.Intn(2)
	if s.without(kind) || !w.up {
		return
	}
	switch kind {
	case "lost":
		if len(s.workers) > 4 {
			s.fault(standingLeaseEnd, "%s is lost", w.id)
			w.crash()
		}
	case "crash":
		s.fault(d+time.Second, "%s crashes for %s", w.id, d)
		w.crash()
		s.after(d, func() { s.restart(w, w.capacity) })
	case "drain":
		if !w.draining {
			w.draining, w.leavesAt, w.nextBeat = true, s.now.Add(d+2*time.Second), s.now
			s.fault(d+3*time.Second, "%s drains until it leaves in %s", w.id, d+2*time.Second)
			s.after(d+4*time.Second, func() { s.restart(w, structs.Resources{CPUMilli: 8000, MemoryMB: 16000}) })
		}
	case "domain":
		if len(s.out) == 0 {
			name := w.domain
			s.fault(d, "domain %s is out for %s", name, d)
			s.out[name] = true
			s.domains = append(s.domains, graph.DomainChange{Name: name, Out: true})
			s.after(d, func() {
				delete(s.out, name)
				s.domains = append(s.domains, graph.DomainChange{Name: name})
			})
		}
	case "shrink":
		w.capacity.CPUMilli = w.capacity.CPUMilli * int64(2+s.rng.Intn(5)) / 8
		s.fault(0, "%s shrinks to %d", w.id, w.capacity.CPUMilli)
	case "grow":
		w.capacity.CPUMilli = 8000
		s.fault(0, "%s grows to %d", w.id, w.capacity.CPUMilli)
	case "failing":
		w.failsUntil = s.now.Add(d)
		s.fault(d, "%s fails all its runs for %s", w.id, d)
	case "unhealthy":
		w.unhealthyUntil = s.now.Add(d)
		s.fault(d, "%s is unhealthy for %s", w.id, d)
	case "silent":
		w.noStartAnswerUntil = s.now.Add(d)
		s.fault(d, "%s answers no start for %s, half %d", w.id, d, half)
	case "failover":
		s.fault(time.Second, "failover")
		s.term++
		s.elect(s.term)
		s.calls, s.proposing, s.waits = map[graph.Handle]bool{}, false, nil
	case "unproposed":
		s.fault(0, "a proposal fails")
		if !s.proposing {
			b := s.core.Plan(s.now, s.now.UnixMilli())
			s.core.ProposalFailed(b)
		}
	}
}

func (s *standingSim) step() {
	s.phase()
	s.submitBatch()
	for len(s.events) > 0 && !s.events[0].at.After(s.now) {
		e := s.events[0]
		s.events = s.events[1:]
		e.do()
	}
	for _, w := range s.workers {
		w.tick()
		if w.up {
			w.beat()
		}
	}
	s.workers = slices.DeleteFunc(s.workers, func(w *standIn) bool { return !w.up })
	s.answerHolds()
	s.propose()
	for _, o := range s.core.Orders(s.now) {
		s.send(o)
	}
	for _, h := range s.core.DuePolls(s.now) {
		s.sendHold(h, false)
	}
	for _, h := range s.core.TakeNewWorkers(math.MaxInt) {
		s.calls[h] = false
	}
	handles := make([]graph.Handle, 0, len(s.calls))
	for h := range s.calls {
		handles = append(handles, h)
	}
	slices.Sort(handles)
	for _, h := range handles {
		if s.calls[h] {
			continue
		}
		hold, wait, ok := s.core.NextHold(s.now, h)
		if !ok {
			delete(s.calls, h)
		} else if wait == 0 {
			s.calls[h] = true
			s.sendHold(hold, true)
		}
	}
	s.advance(standingTick)
}

func (s *standingSim) propose() {
	if s.proposing {
		return
	}
	core := s.core
	b := core.Plan(s.now, s.now.UnixMilli())
	b.Submits, b.Domains = s.submits, s.domains
	s.submits, s.domains = nil, nil
	if b.Empty() {
		return
	}
	s.proposing = true
	s.after(s.between(1, s.maxDelay), func() {
		if s.core != core { // the leader was replaced; the callers submit again
			s.submits, s.domains = append(b.Submits, s.submits...), append(b.Domains, s.domains...)
			return
		}
		s.proposing = false
		s.apply(b)
		for i := range b.Submits {
			s.accepted(s.tables.Job(b.Submits[i].ID))
		}
	})
}

func (s *standingSim) send(o Order) {
	core, sent := s.core, s.now
	s.after(s.latency(), func() {
		w := s.worker(o.ID)
		reply, d := OrderReply{Outcome: NoAnswer}, 400*time.Millisecond
		silent := w != nil && o.Kind == OrderStart && s.now.Before(w.noStartAnswerUntil)
		if silent && s.rng.Intn(2) == 0 {
			w.order(o, sent)
		}
		if w != nil && !silent {
			reply, d = OrderReply{Outcome: w.order(o, sent), ClockMS: w.clockMS()}, s.latency()
		}
		s.after(d, func() {
			if s.core == core {
				core.OrderDone(s.now, o, reply)
			}
		})
	})
}

func (s *standingSim) sendHold(h Hold, loop bool) {
	core, sent := s.core, s.now
	failed := func() {
		s.after(s.between(20, 600), func() {
			if s.core == core {
				core.HoldFailed(s.now, h)
				s.callEnded(h, loop)
			}
		})
	}
	s.after(s.latency(), func() {
		w := s.worker(h.ID)
		if s.core != core {
			return
		}
		if w == nil || h.Token < w.token {
			failed()
			return
		}
		w.token = h.Token
		w.extend(h.DeadlineMS)
		wait := &standingHold{hold: h, core: core, w: w, sent: sent, loop: loop, till: s.now.Add(time.Duration(h.WaitMS) * time.Millisecond)}
		s.waits = append(s.waits, wait)
	})
}

// callEnded makes the next call to a worker due after the one that is always open.
func (s *standingSim) callEnded(h Hold, loop bool) {
	if _, known := s.calls[h.Worker]; known && loop {
		s.calls[h.Worker] = false
	}
}

// answerHolds answers the open hold calls whose wait is over or that have an end to list.
func (s *standingSim) answerHolds() {
	s.waits = slices.DeleteFunc(s.waits, func(x *standingHold) bool {
		if !x.w.up {
			s.after(s.latency(), func() {
				if s.core == x.core {
					x.core.HoldFailed(s.now, x.hold)
					s.callEnded(x.hold, x.loop)
				}
			})
			return true
		}
		ended := slices.ContainsFunc(x.w.finished, func(f FinishedRow) bool { return f.Seq > x.hold.AckCursor })
		if !ended && s.now.Before(x.till) {
			return false
		}
		reply := x.w.lists(x.hold.AckCursor)
		s.after(s.latency(), func() {
			if s.core == x.core {
				x.core.HoldDone(s.now, x.sent, x.hold, reply)
				s.callEnded(x.hold, x.loop)
			}
		})
		return true
	})
}

// hasRoom reports whether a worker could run a task of the step that needs this much.
func (s *standingSim) hasRoom(w *standIn, st *graph.Step, job graph.JobID, need structs.Resources) bool {
	if !w.sound() || s.out[w.domain] || st.Label != "" && !slices.Contains(w.labels, st.Label) || !need.Fits(w.free()) {
		return false
	}
	n := 0
	for ref := range w.runs {
		if ref.Job == job {
			n++
		}
	}
	return st.MaxPerWorker <= 0 || n < st.MaxPerWorker
}

func (s *standingSim) check() {
	for i, t := range s.tasks {
		if i > 0 && s.tasks[i-1].step == t.step {
			continue
		}
		s.updateRoom(s.roomSince, t, 2)
		s.updateRoom(s.fitSince, t, 1)
	}
	if s.now.Before(s.faultUntil.Add(standingCalm)) {
		return
	}
	for _, t := range s.tasks {
		if t.on != nil {
			t.reported = false
			continue
		}
		if t.reported || s.now.Sub(t.absentSince) <= standingAway {
			continue
		}
		for _, w := range s.workers {
			if at := s.roomSince[t.step][w]; !at.IsZero() && s.now.Sub(at) >= standingRoom {
				t.reported = true
				s.fail("lost", "%s", s.describe(t, w))
				break
			}
		}
	}
}

// updateRoom updates since when each worker has had room for the task this many times.
func (s *standingSim) updateRoom(room map[*graph.Step]map[*standIn]time.Time, t *standingTask, times int64) {
	since := room[t.step]
	if since == nil {
		since = map[*standIn]time.Time{}
		room[t.step] = since
	}
	for _, w := range s.workers {
		if !s.hasRoom(w, t.step, t.ref.Job, t.step.Need.Scale(times)) {
			delete(since, w)
		} else if since[w].IsZero() {
			since[w] = s.now
		}
	}
}

// checkEnd reports the long-running tasks that do not run although they fit.
func (s *standingSim) checkEnd() {
	for _, t := range s.tasks {
		if t.on != nil || s.now.Sub(t.absentSince) <= standingAway {
			continue
		}
		for _, w := range s.workers {
			if at := s.fitSince[t.step][w]; !at.IsZero() && s.now.Sub(at) >= standingRoom {
				s.fail("end", "%s", s.describe(t, w))
				break
			}
		}
	}
}

// describe returns what the leader knows of an absent task and a worker with room.
func (s *standingSim) describe(t *standingTask, w *standIn) string {
	st, task := s.core.findTask(t.ref)
	p := s.core.poolStates["p"]
	out := fmt.Sprintf("%s (need %d, max per worker %d, label %q) absent for %s; last run %d, failures %d, ended %d ms ago, %d attempts, can place %t, batch lacks share %t, pool %d free of %d, reserve %d, batch %d",
		t.ref, t.step.Need.CPUMilli, t.step.MaxPerWorker, t.step.Label, s.now.Sub(t.absentSince), task.LastRun, task.Failures, s.now.UnixMilli()-task.EndedMS,
		len(task.Attempts), p.canPlace(st, task, s.now.UnixMilli()-s.core.waitingSince(st, task)), s.core.batchLacksShare("p"), p.free, p.capacity, p.reserve(), p.batch)
	for _, a := range task.Attempts {
		ws := s.core.workers[a.Worker.Handle]
		out += fmt.Sprintf("; attempt %d on %s", a.Run, a.Worker.ID)
		if ws != nil && ws.runs[a] != nil {
			r := ws.runs[a]
			out += fmt.Sprintf(" (sends %d, in flight %t, abandoned %q, releasing %t, ending %t, usable %t)", r.sends, r.inFlight, r.abandonReason, r.releasing, r.ending, s.core.usable(s.now, ws))
		}
	}
	if tw := s.tables.WorkerByID(w.id); tw != nil {
		ws := s.core.workers[tw.Handle]
		out += fmt.Sprintf("; %s: really free %d, in the tables %d, usable %t, fenced %t, suspect %t, left %t, draining %t, no new work for %s, quarantine %s", w.id, w.free().CPUMilli, tw.Free().CPUMilli, s.core.usable(s.now, ws), ws.fenced, ws.suspect, tw.Left, tw.Draining, max(0, ws.noNewWorkUntil.Sub(s.now)), ws.health.quarantineFor)
		out += fmt.Sprintf(", claimed %t, yielded for %s, %d claims, overdue %t", ws.candidate.claimed, max(0, ws.yieldedUntil.Sub(s.now)), len(s.core.claims), s.core.isOverdue(st, task, s.now.UnixMilli()))
		out += fmt.Sprintf(", quarantined for %s, probed %s ago, answered %s ago", max(0, ws.health.quarantinedUntil.Sub(s.now)), s.now.Sub(ws.health.probedAt), s.now.Sub(ws.lastAnswer))
		on := 0
		for a := range ws.w.Attempts {
			if a.Step == st {
				on++
			}
		}
		at, searched := s.core.searchedAt[st]
		out += fmt.Sprintf(", candidate free %d, reported %d, recorded %d, %d attempts of the step there, searched %t %s ago, measured %s ago, %d usable, %d quarantined", ws.candidate.free.CPUMilli, ws.queuedReport.Capacity.CPUMilli, ws.w.Capacity.CPUMilli, on, searched, s.now.Sub(at), s.now.Sub(s.core.measuredAt), s.core.Stats.Usable, s.core.Stats.Quarantined)
		for t, cl := range s.core.claims {
			out += fmt.Sprintf(" claim of task with run %d on %s (free %d batch %d)", t.LastRun, cl.ws.w.ID, cl.ws.candidate.free.CPUMilli, cl.ws.candidate.batchMilli)
		}
	} else {
		out += fmt.Sprintf("; %s has no record", w.id)
	}
	return out
}

// Guards against a long-running task that stays away although a worker has room for
// it, against starts that exceed the capacity of a worker that does not guard it, and
// against tasks that run twice, while workers and their capacity come and go.
func TestLongRunningTasksReturnAfterFaults(t *testing.T) {
	testStandingSim(t, "lost", "limit", "twice", "end")
}

// Guards against starts that exceed the capacity of a worker that does not guard it, and
// against tasks that run twice, in the same simulation.
func TestStartsDuringFaultsKeepCapacityAndRunOnce(t *testing.T) {
	testStandingSim(t, "limit", "twice")
}

// testStandingSim plays the seeds and reports the failures of the given kinds.
func testStandingSim(t *testing.T, kinds ...string) {
	counts := map[string]int{}
	for seed := *standingFirst; seed < *standingFirst+int64(*standingSeeds); seed++ {
		s := newStandingSim(t, seed)
		s.run()
		for _, kind := range kinds {
			for i, f := range s.failures[kind] {
				if i == 0 {
					counts[kind]++
				}
				if i < 3 {
					t.Errorf("seed %d: %s: %s", seed, kind, f)
				}
			}
		}
		if *standingShow {
			for _, l := range s.log {
				t.Log(l)
			}
		}
	}
	t.Logf("seeds with failures: %v", counts)
}
