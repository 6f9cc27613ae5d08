package standin

import (
	"time"

	"gooseberrypond/core/structs"
)

// obey carries out an answer to the sync sent at sent. It returns false when
// the worker has to register again.
func (w *Worker) obey(sent time.Time, reply *structs.WorkerSyncReply) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if reply.Reregister {
		w.restart()
		return false
	}
	w.session = reply.Session
	w.acknowledge(reply.AckedSeq)
	w.renew(sent.Add(time.Duration(reply.LeaseMS) * time.Millisecond))
	startUntil := sent.Add(time.Duration(reply.StartWithinMS) * time.Millisecond)
	for _, c := range reply.Commands {
		if c.Type == structs.CommandStart {
			w.start(c, startUntil)
			continue
		}
		w.control(c)
	}
	return true
}

// restart ends every task and takes the next incarnation.
func (w *Worker) restart() {
	w.endAll()
	w.incarnation++
	w.seq, w.eventSeq, w.session, w.events = 0, 0, 0, nil
}

// acknowledge drops events that are in the log.
func (w *Worker) acknowledge(seq uint64) {
	for len(w.events) > 0 && w.events[0].Seq <= seq {
		w.events = w.events[1:]
	}
}

// renew moves the end of the lease. A lower end never replaces a higher one.
func (w *Worker) renew(end time.Time) {
	if end.After(w.leaseEnd) {
		w.leaseEnd = end
	}
	w.watchLease()
}

// watchLease sets the timer to the next time at which a task must be stopped.
func (w *Worker) watchLease() {
	if w.leaseTimer != nil {
		w.leaseTimer.Stop()
	}
	var next time.Time
	for _, t := range w.tasks {
		if at := w.stopAt(t); next.IsZero() || at.Before(next) {
			next = at
		}
	}
	if !next.IsZero() {
		w.leaseTimer = time.AfterFunc(time.Until(next), w.leaseEnded)
	}
}

// stopAt is when a task must be stopped unless the lease is renewed.
func (w *Worker) stopAt(t *task) time.Time {
	hold := time.Duration(t.cmd.LeaseHoldMS) * time.Millisecond
	return w.leaseEnd.Add(hold - structs.LeaseStopLead)
}

// leaseEnded stops the tasks whose lease and hold have ended.
func (w *Worker) leaseEnded() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	for _, t := range w.tasks {
		if !now.Before(w.stopAt(t)) {
			w.remove(t, now, false)
			w.event(structs.EventStopped, t.cmd, func(ev *structs.TaskEvent) { ev.Message = "lease ended" })
		}
	}
	w.watchLease()
}

// start begins an attempt unless its window has passed or it would overcommit the worker.
func (w *Worker) start(c structs.WorkerCommand, until time.Time) {
	now := time.Now()
	if t, ok := w.tasks[c.Task]; ok {
		if t.cmd.Epoch != c.Epoch {
			w.cfg.Ledger.violate("worker %s told to start task %s twice", w.cfg.ID, c.Task)
		}
		return
	}
	if now.After(until) || w.reported(c) || !now.Before(w.leaseEnd.Add(-structs.LeaseStopLead)) {
		return
	}
	if w.failStarts {
		w.event(structs.EventFailed, c, func(ev *structs.TaskEvent) { ev.ExitCode, ev.Message = 1, "worker fails everything" })
		return
	}
	if !w.committed().Add(c.Reserved).Fits(w.cfg.Capacity) {
		w.cfg.Ledger.violate("worker %s told to start task %s beyond its capacity", w.cfg.ID, c.Task)
		w.event(structs.EventFailed, c, func(ev *structs.TaskEvent) { ev.ExitCode, ev.Message = 1, "would overcommit the worker" })
		return
	}
	t := newTask(c, now)
	w.tasks[c.Task] = t
	w.cfg.Ledger.begin(c.Task, string(w.cfg.ID))
	w.event(structs.EventStarted, c, nil)
	w.schedule(t)
	w.watchLease()
}

// reported says whether an event of the attempt waits for acknowledgement;
// then a repeated start is stale.
func (w *Worker) reported(c structs.WorkerCommand) bool {
	for _, ev := range w.events {
		if ev.Task == c.Task && ev.Epoch == c.Epoch {
			return true
		}
	}
	return false
}

// committed sums what the tasks on the worker reserve.
func (w *Worker) committed() structs.Resources {
	var sum structs.Resources
	for _, t := range w.tasks {
		sum = sum.Add(t.cmd.Reserved)
	}
	return sum
}

// schedule sets the timer for the end of the task.
func (w *Worker) schedule(t *task) {
	if t.timer != nil {
		t.timer.Stop()
	}
	if left, ends := t.remaining(); ends {
		t.timer = time.AfterFunc(left, func() { w.finish(t) })
	}
}

// finish ends a task that has run to its end.
func (w *Worker) finish(t *task) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.tasks[t.cmd.Task] != t {
		return
	}
	if t.advance(time.Now()); t.progress < t.total {
		w.schedule(t)
		return
	}
	code := t.payload.ExitCode
	w.remove(t, time.Now(), code == 0)
	kind := structs.EventFinished
	if code != 0 {
		kind = structs.EventFailed
	}
	w.event(kind, t.cmd, func(ev *structs.TaskEvent) { ev.ExitCode = code })
}

// control carries out a command on a running attempt. Commands for attempts
// that are not here are answered with EventStopped.
func (w *Worker) control(c structs.WorkerCommand) {
	now := time.Now()
	t, ok := w.tasks[c.Task]
	if !ok || t.cmd.Epoch != c.Epoch {
		if !w.reported(c) && (c.Type == structs.CommandStop || c.Type == structs.CommandCheckpoint) {
			w.event(structs.EventStopped, c, func(ev *structs.TaskEvent) { ev.Message = "not on this worker" })
		}
		return
	}
	switch c.Type {
	case structs.CommandCheckpoint:
		w.remove(t, now, false)
		w.event(structs.EventCheckpointed, t.cmd, func(ev *structs.TaskEvent) { ev.Checkpoint = t.checkpoint() })
	case structs.CommandStop:
		w.remove(t, now, false)
		w.event(structs.EventStopped, t.cmd, nil)
	case structs.CommandThrottle, structs.CommandUnthrottle:
		t.advance(now)
		t.throttled = c.Type == structs.CommandThrottle
		w.schedule(t)
	}
}

// remove takes a task off the worker.
func (w *Worker) remove(t *task, now time.Time, finished bool) {
	t.advance(now)
	if t.timer != nil {
		t.timer.Stop()
	}
	delete(w.tasks, t.cmd.Task)
	w.cfg.Ledger.end(t.cmd.Task, string(w.cfg.ID), finished)
}

// endAll ends every task without an event.
func (w *Worker) endAll() {
	for _, t := range w.tasks {
		w.remove(t, time.Now(), false)
	}
}

// dropAll is the crash of the worker: its tasks end without a word.
func (w *Worker) dropAll() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endAll()
	if w.leaseTimer != nil {
		w.leaseTimer.Stop()
	}
}
