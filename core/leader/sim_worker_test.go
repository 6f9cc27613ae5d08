package leader

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"gooseberrypond/core/structs"
)

// simWorker is a simulated worker. Its clock may run up to 1% fast or slow.
type simWorker struct {
	id          structs.WorkerID
	domain      string
	clockRate   float64
	incarnation uint64
	registered  bool
	partitioned bool

	seq, eventSeq uint64
	session       uint64
	// leaseStart and sentAt are times of the worker's own clock: the start of its
	// lease and the send of its last sync.
	leaseStart time.Duration
	sentAt     time.Duration
	// syncOpen is set while the last sync has no reply.
	syncOpen bool
	running  map[structs.TaskID]*simTask
	events   []structs.TaskEvent
}

type simTask struct {
	run       structs.RunningTask
	reserved  structs.Resources
	leaseHold time.Duration
}

// clock returns the time since the start of the test by the worker's clock.
func (w *simWorker) clock(now time.Time) time.Duration {
	return time.Duration(float64(now.Sub(epoch)) * w.clockRate)
}

// restart starts a new incarnation without tasks and without pending events.
func (w *simWorker) restart() {
	w.incarnation++
	w.registered, w.syncOpen = false, false
	w.seq, w.eventSeq, w.session = 0, 0, 0
	w.running = map[structs.TaskID]*simTask{}
	w.events = nil
}

// stopExpired stops the tasks whose lease hold has passed since the end of the
// lease, by the worker's clock.
func (w *simWorker) stopExpired(now time.Time) {
	for _, id := range w.ids() {
		if w.clock(now)-w.leaseStart >= structs.WorkerLease+w.running[id].leaseHold {
			w.end(id, structs.EventStopped)
		}
	}
}

// ids returns the running tasks in a fixed order.
func (w *simWorker) ids() []structs.TaskID {
	return slices.SortedFunc(maps.Keys(w.running), func(a, b structs.TaskID) int {
		return cmp.Compare(a.String(), b.String())
	})
}

func (w *simWorker) end(id structs.TaskID, kind structs.EventType) {
	run := w.running[id].run
	delete(w.running, id)
	ev := w.event(run, kind)
	if kind == structs.EventCheckpointed {
		ev.Checkpoint = fmt.Sprintf("%s@%d", id, run.Epoch)
	}
	w.events = append(w.events, ev)
}

func (w *simWorker) event(run structs.RunningTask, kind structs.EventType) structs.TaskEvent {
	w.eventSeq++
	return structs.TaskEvent{Seq: w.eventSeq, Type: kind, Task: run.Task, Attempt: run.Attempt, Epoch: run.Epoch}
}

// report returns the next sync. The reply to an earlier sync is then ignored.
func (w *simWorker) report(now time.Time) *structs.WorkerSync {
	w.seq++
	w.syncOpen, w.sentAt = true, w.clock(now)
	req := &structs.WorkerSync{ID: w.id, Incarnation: w.incarnation, Seq: w.seq, Session: w.session}
	for _, id := range w.ids() {
		req.Running = append(req.Running, w.running[id].run)
	}
	req.Events = append(req.Events, w.events...)
	return req
}

// handleReply handles a reply. Replies to any sync but the last one are ignored.
func (s *sim) handleReply(w *simWorker, m simReply) {
	if !w.syncOpen || m.req.Seq != w.seq || m.req.Incarnation != w.incarnation {
		return
	}
	w.syncOpen = false
	if m.reply.Reregister {
		w.restart()
		return
	}
	w.leaseStart, w.session = w.sentAt, m.reply.Session
	w.stopExpired(s.now)
	for len(w.events) > 0 && w.events[0].Seq <= m.reply.AckedSeq {
		w.events = w.events[1:]
	}
	late := w.clock(s.now)-w.sentAt > structs.StartWindow
	for _, cmd := range m.reply.Commands {
		task := w.running[cmd.Task]
		same := task != nil && task.run.Epoch == cmd.Epoch
		switch {
		case cmd.Type == structs.CommandStart && !same && !late:
			s.start(w, cmd)
		case cmd.Type == structs.CommandCheckpoint && same:
			w.end(cmd.Task, structs.EventCheckpointed)
		case cmd.Type == structs.CommandStop && same:
			w.end(cmd.Task, structs.EventStopped)
		}
	}
}

// start starts an attempt on a worker. It checks the start against the tasks
// that run on all workers, not against the leader's tables.
func (s *sim) start(w *simWorker, cmd structs.WorkerCommand) {
	for _, o := range s.workers {
		if o.running[cmd.Task] != nil {
			s.rt.Fatalf("task %s starts on worker %s while it is running on %s", cmd.Task, w.id, o.id)
		}
	}
	if out := s.outSince[w.domain]; !out.IsZero() && s.now.Sub(out) > 3*time.Second {
		s.rt.Fatalf("task %s starts in domain %s, %v after it went out", cmd.Task, w.domain, s.now.Sub(out))
	}
	ref := structs.AttemptRef{Task: cmd.Task, Attempt: cmd.Attempt, Epoch: cmd.Epoch}
	if s.started[ref] {
		s.rt.Fatalf("task %s: attempt %d started twice", cmd.Task, cmd.Attempt)
	}
	s.started[ref] = true
	if cmd.Checkpoint != s.checkpoint[cmd.Task] {
		s.rt.Fatalf("task %s resumes from checkpoint %q, want %q", cmd.Task, cmd.Checkpoint, s.checkpoint[cmd.Task])
	}
	if s.freshStarts[cmd.Task]++; cmd.Checkpoint != "" {
		s.freshStarts[cmd.Task]--
	}
	if job := s.tables.Job(cmd.Task.Job); job.Spec.NonIdempotent && job.Spec.Kind != structs.KindService && s.freshStarts[cmd.Task] > 1 {
		s.rt.Fatalf("non-idempotent task %s started without a checkpoint twice", cmd.Task)
	}
	run := structs.RunningTask{Task: cmd.Task, Attempt: cmd.Attempt, Epoch: cmd.Epoch}
	leaseHold := time.Duration(cmd.LeaseHoldMS) * time.Millisecond
	w.running[cmd.Task] = &simTask{run, cmd.Reserved, leaseHold}
	w.events = append(w.events, w.event(run, structs.EventStarted))
	var sum structs.Resources
	for _, task := range w.running {
		sum = sum.Add(task.reserved)
	}
	if !sum.Fits(simCapacity) {
		s.rt.Fatalf("worker %s is overcommitted: reserved %v, capacity %v", w.id, sum, simCapacity)
	}
}
