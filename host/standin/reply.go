package standin

import (
	"time"

	"gooseberrypond/core/structs"
)

// applyReply applies the reply to the sync that was sent at sent. It returns
// false if the worker has to register again.
//
// The lease and the start window count from the time of sending, so that a slow
// reply cannot extend them.
func (w *Worker) applyReply(sent time.Time, reply *structs.WorkerSyncReply) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if reply.Reregister {
		w.startNewIncarnation()
		return false
	}
	w.session = reply.Session
	w.dropAckedEvents(reply.AckedSeq)
	w.renewLease(sent.Add(time.Duration(reply.LeaseMS) * time.Millisecond))
	startUntil := sent.Add(time.Duration(reply.StartWithinMS) * time.Millisecond)
	for _, c := range reply.Commands {
		if c.Type == structs.CommandStart {
			w.startTask(c, startUntil)
			continue
		}
		w.applyCommand(c)
	}
	return true
}

// startNewIncarnation ends every task and begins the next incarnation, as a
// restart of the worker does.
func (w *Worker) startNewIncarnation() {
	w.removeAllTasks()
	w.incarnation++
	w.seq, w.eventSeq, w.session, w.events = 0, 0, 0, nil
}

// dropAckedEvents drops the events up to seq, which are committed to the
// replicated log.
func (w *Worker) dropAckedEvents(seq uint64) {
	for len(w.events) > 0 && w.events[0].Seq <= seq {
		w.events = w.events[1:]
	}
}

// renewLease extends the lease to end. It never shortens the lease.
func (w *Worker) renewLease(end time.Time) {
	if end.After(w.leaseEnd) {
		w.leaseEnd = end
	}
	w.resetLeaseTimer()
}

// resetLeaseTimer sets the timer to the earliest time at which a task must be
// stopped.
func (w *Worker) resetLeaseTimer() {
	if w.leaseTimer != nil {
		w.leaseTimer.Stop()
	}
	var next time.Time
	for _, t := range w.tasks {
		if at := w.stopDeadline(t); next.IsZero() || at.Before(next) {
			next = at
		}
	}
	if !next.IsZero() {
		w.leaseTimer = time.AfterFunc(time.Until(next), w.stopExpiredTasks)
	}
}

// stopDeadline returns when a task must be stopped if the lease is not renewed
// before: at the end of the lease plus the lease hold of the task's entry
// (LeaseHoldMS), less LeaseStopLead.
func (w *Worker) stopDeadline(t *task) time.Time {
	hold := time.Duration(t.cmd.LeaseHoldMS) * time.Millisecond
	return w.leaseEnd.Add(hold - structs.LeaseStopLead)
}

// stopExpiredTasks stops the tasks whose lease has ended, including the lease hold
// of their entry (LeaseHoldMS).
func (w *Worker) stopExpiredTasks() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	for _, t := range w.tasks {
		if !now.Before(w.stopDeadline(t)) {
			w.removeTask(t, now, false)
			w.queueEvent(structs.EventStopped, t.cmd, func(ev *structs.TaskEvent) { ev.Message = "lease ended" })
		}
	}
	w.resetLeaseTimer()
}

// startTask begins an attempt unless the start window has passed, the command
// is a repetition, or the lease is about to end. An attempt that does not fit
// into the worker's capacity fails and is recorded as a violation, as is a
// start of a task that another attempt still runs here.
func (w *Worker) startTask(c structs.WorkerCommand, until time.Time) {
	now := time.Now()
	if t, ok := w.tasks[c.Task]; ok {
		if t.cmd.Epoch != c.Epoch {
			w.cfg.Ledger.recordViolation("worker %s told to start task %s twice", w.cfg.ID, c.Task)
		}
		return
	}
	if now.After(until) || w.hasPendingEvent(c) || !now.Before(w.leaseEnd.Add(-structs.LeaseStopLead)) {
		return
	}
	if w.failStarts {
		w.queueEvent(structs.EventFailed, c, func(ev *structs.TaskEvent) { ev.ExitCode, ev.Message = 1, "worker fails everything" })
		return
	}
	if !w.reservedTotal().Add(c.Reserved).Fits(w.cfg.Capacity) {
		w.cfg.Ledger.recordViolation("worker %s told to start task %s beyond its capacity", w.cfg.ID, c.Task)
		w.queueEvent(structs.EventFailed, c, func(ev *structs.TaskEvent) { ev.ExitCode, ev.Message = 1, "would overcommit the worker" })
		return
	}
	t := newTask(c, now)
	w.tasks[c.Task] = t
	w.cfg.Ledger.recordStart(c.Task, string(w.cfg.ID))
	w.queueEvent(structs.EventStarted, c, nil)
	w.scheduleCompletion(t)
	w.resetLeaseTimer()
}

// hasPendingEvent reports whether an event of the attempt waits for
// acknowledgement. If so, a repeated command for it is stale.
func (w *Worker) hasPendingEvent(c structs.WorkerCommand) bool {
	for _, ev := range w.events {
		if ev.Task == c.Task && ev.Epoch == c.Epoch {
			return true
		}
	}
	return false
}

// reservedTotal returns the sum of the resources that the worker's tasks reserve.
func (w *Worker) reservedTotal() structs.Resources {
	var sum structs.Resources
	for _, t := range w.tasks {
		sum = sum.Add(t.cmd.Reserved)
	}
	return sum
}

// scheduleCompletion sets the timer for the completion of the task.
func (w *Worker) scheduleCompletion(t *task) {
	if t.timer != nil {
		t.timer.Stop()
	}
	if left, ends := t.remaining(); ends {
		t.timer = time.AfterFunc(left, func() { w.completeTask(t) })
	}
}

// completeTask ends a task whose run time is over. A task that was throttled
// while the timer fired is not complete yet and is scheduled again.
func (w *Worker) completeTask(t *task) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.tasks[t.cmd.Task] != t {
		return
	}
	if t.updateProgress(time.Now()); t.progress < t.runTime {
		w.scheduleCompletion(t)
		return
	}
	code := t.payload.ExitCode
	w.removeTask(t, time.Now(), code == 0)
	kind := structs.EventFinished
	if code != 0 {
		kind = structs.EventFailed
	}
	w.queueEvent(kind, t.cmd, func(ev *structs.TaskEvent) { ev.ExitCode = code })
}

// applyCommand applies a command to a running attempt. A stop or checkpoint of an
// attempt that is not on this worker is reported as EventStopped, unless an event
// of it already waits for acknowledgement.
func (w *Worker) applyCommand(c structs.WorkerCommand) {
	now := time.Now()
	t, ok := w.tasks[c.Task]
	if !ok || t.cmd.Epoch != c.Epoch {
		if !w.hasPendingEvent(c) && (c.Type == structs.CommandStop || c.Type == structs.CommandCheckpoint) {
			w.queueEvent(structs.EventStopped, c, func(ev *structs.TaskEvent) { ev.Message = "not on this worker" })
		}
		return
	}
	switch c.Type {
	case structs.CommandCheckpoint:
		w.removeTask(t, now, false)
		w.queueEvent(structs.EventCheckpointed, t.cmd, func(ev *structs.TaskEvent) { ev.Checkpoint = t.checkpoint() })
	case structs.CommandStop:
		w.removeTask(t, now, false)
		w.queueEvent(structs.EventStopped, t.cmd, nil)
	case structs.CommandThrottle, structs.CommandUnthrottle:
		t.updateProgress(now)
		t.throttled = c.Type == structs.CommandThrottle
		w.scheduleCompletion(t)
	}
}

// removeTask ends a task. finished tells whether it ran to completion.
func (w *Worker) removeTask(t *task, now time.Time, finished bool) {
	t.updateProgress(now)
	if t.timer != nil {
		t.timer.Stop()
	}
	delete(w.tasks, t.cmd.Task)
	w.cfg.Ledger.recordEnd(t.cmd.Task, string(w.cfg.ID), finished)
}

// removeAllTasks ends every task without reporting an event.
func (w *Worker) removeAllTasks() {
	for _, t := range w.tasks {
		w.removeTask(t, time.Now(), false)
	}
}

// discardTasks simulates a crash of the worker: its tasks end and nothing is
// reported.
func (w *Worker) discardTasks() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.removeAllTasks()
	if w.leaseTimer != nil {
		w.leaseTimer.Stop()
	}
}
