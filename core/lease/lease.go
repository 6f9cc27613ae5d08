// Package lease holds the leader's view of worker leases and turns worker
// syncs into events for the log and commands for the worker. It does no I/O
// and reads no clock; receipt times are passed in.
//
// A worker counts its lease from the send of a sync, the leader from the
// receipt, and the leader waits LeaseMargin longer. An attempt is ended only
// when that time has passed or when the worker's own report shows that the
// attempt is not running.
package lease

import (
	"time"

	"gooseberrypond/core/state"
	"gooseberrypond/core/structs"
)

const (
	// LiveWindow is the age of the last sync up to which a worker is offered
	// new work. Syncs are held for at most WorkerSyncHold.
	LiveWindow = 3 * time.Second
	// retryAfter is how long a proposal may take before it is made again.
	retryAfter = time.Second
	// legacyTrust is the age of a leader from which it accepts absence in a sync
	// without a session. Delayed duplicates of syncs to an earlier leader have
	// been dropped by their carriers by then.
	legacyTrust = structs.GrantReclaim
	// startGiveUp is how long a worker may sync without taking up a start before the
	// task is placed again; its replies may always come later than StartWindow.
	startGiveUp = 15 * time.Second
	// driftDivisor bounds clock drift over a lease hold: two clocks that are each
	// off by 1% differ by one part in 50.
	driftDivisor = 50
)

// Table is the leader's volatile view of worker leases. Not safe for concurrent use.
type Table struct {
	electedAt time.Time
	session   uint64
	// electedIndex is the last log index before this leader's own commands;
	// only for later attempts does the table know whether a start was sent.
	electedIndex uint64
	recs         map[structs.WorkerID]*rec
}

// rec is what the leader knows of one worker incarnation.
type rec struct {
	incarnation uint64
	synced      bool
	seq         uint64
	renewed     time.Time
	acked       uint64
	proposed    uint64
	proposedAt  time.Time
	running     map[structs.TaskID]structs.RunningTask
	// reported holds the attempts with an event in the last sync; an attempt
	// that has ended on the worker is not started again.
	reported map[structs.TaskID]uint64
	// started tells for which attempts a start was sent, and when the first was.
	started map[structs.TaskID]mark
	// voided tells which attempts were last proposed as not running; no start may follow.
	voided   map[structs.TaskID]mark
	ending   *structs.EndAttempts
	endingAt time.Time
}

// mark notes a time for one attempt of a task.
type mark struct {
	epoch uint64
	at    time.Time
}

// New returns the table of a leader elected at electedAt. All leases count as
// renewed at that time, because earlier leaders did not log renewals.
func New(electedAt time.Time) *Table {
	return &Table{
		electedAt: electedAt,
		session:   uint64(electedAt.UnixNano()),
		recs:      map[structs.WorkerID]*rec{},
	}
}

// SetElectedIndex tells the last log index applied before this leader's own
// commands. Without it no attempt is certain never to have been started.
func (l *Table) SetElectedIndex(index uint64) { l.electedIndex = index }

// Session returns the number that workers copy from replies to syncs.
func (l *Table) Session() uint64 { return l.session }

// rec returns the record of a worker's current incarnation.
func (l *Table) rec(now time.Time, w *structs.Worker) *rec {
	r := l.recs[w.ID]
	if r == nil || r.incarnation != w.Incarnation {
		r = &rec{
			incarnation: w.Incarnation, renewed: now,
			started: map[structs.TaskID]mark{}, voided: map[structs.TaskID]mark{},
		}
		l.recs[w.ID] = r
	}
	return r
}

// Live reports whether a worker has synced recently enough to be offered new work.
func (l *Table) Live(now time.Time, id structs.WorkerID) bool {
	r := l.recs[id]
	return r != nil && r.synced && r.ending == nil && now.Sub(r.renewed) <= LiveWindow
}

// Applied tells the table of an applied command. Events are acknowledged from here on.
func (l *Table) Applied(cmd *structs.Command) {
	c := cmd.WorkerEvents
	if c == nil {
		return
	}
	r := l.recs[c.Worker]
	if r == nil || r.incarnation != c.Incarnation {
		return
	}
	for _, ev := range c.Events {
		r.acked = max(r.acked, ev.Seq)
	}
}

// Expired returns the commands that end attempts whose worker's lease and own
// hold have certainly ended. A proposal is repeated until it is applied.
func (l *Table) Expired(now time.Time, t *state.Tables) []*structs.Command {
	var out []*structs.Command
	for _, w := range t.Workers() {
		if !w.Live && len(t.AttemptsOn(w.ID)) == 0 {
			delete(l.recs, w.ID)
			continue
		}
		r := l.rec(now, w)
		if now.Sub(r.renewed) < structs.WorkerLease+structs.LeaseMargin {
			continue
		}
		if r.settle(t) || now.Sub(r.endingAt) >= retryAfter {
			out = l.end(now, t, w, r, out)
		}
	}
	return out
}

// settle clears a proposed end that has been applied and reports whether none is left open.
func (r *rec) settle(t *state.Tables) bool {
	c := r.ending
	if c == nil {
		return true
	}
	w := t.Worker(c.Worker)
	if w == nil || w.Incarnation != c.Incarnation {
		r.ending = nil
		return true
	}
	if c.WorkerDead && w.Live {
		return false
	}
	for _, ref := range c.Attempts {
		if task := t.Task(ref.Task); task != nil && task.State != structs.AttemptNone && task.Epoch == ref.Epoch {
			return false
		}
	}
	r.ending = nil
	return true
}

// end proposes to end the attempts on a worker whose lease has ended. The
// worker counts as dead only once no attempt is held, so that a worker that
// comes back within the hold keeps its held tasks.
func (l *Table) end(now time.Time, t *state.Tables, w *structs.Worker, r *rec, out []*structs.Command) []*structs.Command {
	c := &structs.EndAttempts{Worker: w.ID, Incarnation: w.Incarnation}
	attempts := t.AttemptsOn(w.ID)
	for _, task := range attempts {
		if now.Sub(r.renewed) < leaseEnd(task) {
			continue
		}
		ref := structs.AttemptRef{Task: task.ID, Attempt: task.Attempt, Epoch: task.Epoch}
		ref.NeverStarted = l.neverStarted(r, task)
		c.Attempts = append(c.Attempts, ref)
	}
	c.WorkerDead = w.Live && len(c.Attempts) == len(attempts)
	if len(c.Attempts) == 0 && !c.WorkerDead {
		return out
	}
	r.ending, r.endingAt = c, now
	return append(out, &structs.Command{EndAttempts: c})
}

// leaseEnd returns the time from the last renewal to the certain end of an attempt.
func leaseEnd(task *structs.Task) time.Duration {
	hold := time.Duration(task.LeaseHoldMS) * time.Millisecond
	return structs.WorkerLease + structs.LeaseMargin + hold + hold/driftDivisor
}

// neverStarted reports whether no start of the attempt was ever sent, by this
// leader or an earlier one.
func (l *Table) neverStarted(r *rec, task *structs.Task) bool {
	return l.electedIndex > 0 && task.Epoch > l.electedIndex && r.started[task.ID].epoch != task.Epoch &&
		task.State != structs.AttemptRunning && task.Status != structs.StatusRunning
}
