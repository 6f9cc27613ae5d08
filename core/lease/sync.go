package lease

import (
	"time"

	"gooseberrypond/core/state"
	"gooseberrypond/core/structs"
)

const stepSync = "worker sync"

// Sync processes a worker's report and renews its lease. It returns the reply
// with the commands for the worker and the command with the events to propose,
// which is nil if there are none. The tasks in throttle are to be throttled.
func (l *Table) Sync(now time.Time, t *state.Tables, req *structs.WorkerSync, throttle ...structs.TaskID) (structs.WorkerSyncReply, *structs.Command, *structs.Error) {
	w := t.Worker(req.ID)
	if w == nil || !w.Live || w.Incarnation != req.Incarnation {
		return structs.WorkerSyncReply{Reregister: true, Session: l.session}, nil, nil
	}
	r := l.record(now, w)
	if !r.clearAppliedEnd(t) {
		err := structs.Errorf(structs.CodeConflict, stepSync, "the lease of worker %s has ended and its tasks are being moved", req.ID)
		return structs.WorkerSyncReply{}, nil, err.WithRetryAfter(structs.TickInterval.Milliseconds())
	}
	if req.Seq <= r.seq {
		return structs.WorkerSyncReply{}, nil, structs.Errorf(structs.CodeConflict, stepSync, "sync %d of worker %s is not newer than %d", req.Seq, req.ID, r.seq)
	}
	r.update(now, req)
	events := l.events(now, t, r, req)
	return l.reply(now, t, w, r, throttle), events, nil
}

// Poll returns the current commands for a worker whose sync is held open. A sync
// that is not the worker's latest is refused.
func (l *Table) Poll(now time.Time, t *state.Tables, req *structs.WorkerSync, throttle ...structs.TaskID) (structs.WorkerSyncReply, *structs.Error) {
	w := t.Worker(req.ID)
	if w == nil || !w.Live || w.Incarnation != req.Incarnation {
		return structs.WorkerSyncReply{Reregister: true, Session: l.session}, nil
	}
	r := l.record(now, w)
	if r.seq != req.Seq || !r.clearAppliedEnd(t) {
		return structs.WorkerSyncReply{}, structs.Errorf(structs.CodeConflict, stepSync, "sync %d of worker %s is no longer open", req.Seq, req.ID)
	}
	return l.reply(now, t, w, r, throttle), nil
}

// update renews the lease and replaces the recorded state by a newer report.
func (r *record) update(now time.Time, req *structs.WorkerSync) {
	r.seq, r.renewed, r.synced = req.Seq, now, true
	r.running = make(map[structs.TaskID]structs.RunningTask, len(req.Running))
	for _, run := range req.Running {
		r.running[run.Task] = run
	}
	r.reported = make(map[structs.TaskID]uint64, len(req.Events))
	for _, ev := range req.Events {
		if ev.Type != structs.EventStarted {
			r.reported[ev.Task] = ev.Epoch
		}
	}
}

// events returns the command with the worker's events that are not yet in the
// log, followed by stopped events for attempts that are proved not to run. Each
// proposal contains all unacknowledged events, so that a lost proposal leaves no
// gap below an acknowledged number. Events are proposed only if one of them is
// new or the last proposal is at least proposalTimeout old.
func (l *Table) events(now time.Time, t *state.Tables, r *record, req *structs.WorkerSync) *structs.Command {
	var pending []structs.TaskEvent
	propose := now.Sub(r.proposedAt) >= proposalTimeout
	for _, ev := range req.Events {
		if ev.Seq <= r.acked {
			continue
		}
		pending = append(pending, ev)
		propose = propose || ev.Seq > r.proposed
	}
	if !propose {
		pending = nil
	}
	for _, ev := range pending {
		r.proposed = max(r.proposed, ev.Seq)
		r.proposedAt = now
	}
	pending = append(pending, l.inferredStops(now, t, r, req)...)
	if len(pending) == 0 {
		return nil
	}
	c := &structs.WorkerEvents{Worker: req.ID, Incarnation: req.Incarnation, Events: pending}
	return &structs.Command{WorkerEvents: c}
}

// inferredStops returns stopped events for the attempts that the worker does not run,
// if the sync proves that: attempts that should not start any more, or whose
// start the worker has ignored for startTimeout.
func (l *Table) inferredStops(now time.Time, t *state.Tables, r *record, req *structs.WorkerSync) []structs.TaskEvent {
	var out []structs.TaskEvent
	if !l.provesAbsence(now, req) {
		return nil
	}
	domainOut := t.DomainOut(t.Worker(req.ID).Domain)
	for _, task := range t.AttemptsOn(req.ID) {
		if r.lists(task) || r.reported[task.ID] == task.Epoch {
			continue
		}
		v := r.stopProposed[task.ID]
		first := r.started[task.ID]
		ignored := first.epoch == task.Epoch && now.Sub(first.at) >= startTimeout
		wanted := task.State == structs.AttemptAssigned && !domainOut && v.epoch != task.Epoch
		if wanted && !ignored {
			continue
		}
		if v.epoch == task.Epoch && now.Sub(v.at) < proposalTimeout {
			continue
		}
		r.stopProposed[task.ID] = attemptTime{task.Epoch, now}
		out = append(out, structs.TaskEvent{
			Type: structs.EventStopped, Task: task.ID, Attempt: task.Attempt, Epoch: task.Epoch,
		})
	}
	return out
}

// provesAbsence reports whether an attempt that the sync does not list is proved not to
// run on the worker. A delayed duplicate of a sync to an earlier leader may show
// the worker as it was before a start. Only a sync with this leader's session
// was certainly sent after one of its replies.
func (l *Table) provesAbsence(now time.Time, req *structs.WorkerSync) bool {
	if req.Session != 0 {
		return req.Session == l.session
	}
	return now.Sub(l.electedAt) >= noSessionTrustAge
}

// lists reports whether the worker's last sync lists the attempt as running.
func (r *record) lists(task *structs.Task) bool {
	run, ok := r.running[task.ID]
	return ok && run.Attempt == task.Attempt && run.Epoch == task.Epoch
}

// reply compares the worker's report with the log and returns the commands that
// bring the worker to the state in the log.
func (l *Table) reply(now time.Time, t *state.Tables, w *structs.Worker, r *record, throttle []structs.TaskID) structs.WorkerSyncReply {
	out := structs.WorkerSyncReply{
		LeaseMS:       structs.WorkerLease.Milliseconds(),
		StartWithinMS: structs.StartWindow.Milliseconds(),
		AckedSeq:      r.acked,
		Session:       l.session,
	}
	throttled := make(map[structs.TaskID]bool, len(throttle))
	for _, id := range throttle {
		throttled[id] = true
	}
	attempts := t.AttemptsOn(w.ID)
	r.pruneEnded(attempts)
	out.Commands = r.stopsForUnknown(t, attempts)
	domainOut := t.DomainOut(w.Domain)
	for _, task := range attempts {
		if cmd, ok := r.command(now, t, task, domainOut, throttled[task.ID]); ok {
			out.Commands = append(out.Commands, cmd)
		}
	}
	return out
}

// pruneEnded removes the times of attempts that are no longer on the worker once
// there are many more times than attempts.
func (r *record) pruneEnded(attempts []*structs.Task) {
	if len(r.started)+len(r.stopProposed) <= 2*len(attempts)+16 {
		return
	}
	started, stopProposed := map[structs.TaskID]attemptTime{}, map[structs.TaskID]attemptTime{}
	for _, task := range attempts {
		if e, ok := r.started[task.ID]; ok {
			started[task.ID] = e
		}
		if v, ok := r.stopProposed[task.ID]; ok {
			stopProposed[task.ID] = v
		}
	}
	r.started, r.stopProposed = started, stopProposed
}
