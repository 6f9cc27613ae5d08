// Package lease tracks worker leases on the leader and turns worker syncs into
// events for the log and commands for the worker. It does no I/O and reads no
// clock; receipt times are passed in.
//
// A worker measures its lease from the time it sends a sync, the leader from the
// time it receives the sync, and the leader waits LeaseMargin longer. An attempt
// is ended only after that time, or when the worker's own report shows that the
// attempt is not running.
package lease

import (
	"time"

	"gooseberrypond/core/state"
	"gooseberrypond/core/structs"
)

const (
	// LiveWindow is the maximum age of a worker's last sync for the worker to get
	// new work. It exceeds WorkerSyncHold, the longest time a sync is held open.
	LiveWindow = 3 * time.Second
	// proposalTimeout is the time after which a proposal that was not applied is
	// repeated.
	proposalTimeout = time.Second
	// noSessionTrustAge is the time after the election from which a sync without a
	// session is accepted as proof that an attempt is not running. Delayed
	// duplicates of syncs to an earlier leader have been dropped by the transport
	// by then.
	noSessionTrustAge = structs.GrantReclaim
	// startTimeout is how long a worker may keep syncing without running a task
	// that it was told to start, before the task is placed again. A worker ignores
	// starts that arrive later than StartWindow, which may be the case for every
	// reply.
	startTimeout = 15 * time.Second
	// driftDivisor is the allowance for clock drift over a lease hold: two clocks
	// that are each off by 1% differ by up to one part in 50.
	driftDivisor = 50
)

// Table is the leader's volatile state of worker leases. It is not safe for
// concurrent use.
type Table struct {
	electedAt time.Time
	session   uint64
	// electedIndex is the last log index before this leader's own commands. The
	// table knows whether a start was sent only for attempts after it.
	electedIndex uint64
	records      map[structs.WorkerID]*record
}

// record is the leader's record of one worker incarnation.
type record struct {
	incarnation uint64
	synced      bool      // has synced with this leader
	seq         uint64    // of the last sync
	renewed     time.Time // receipt of the last sync
	acked       uint64    // highest event number that was applied
	proposed    uint64    // highest event number that was proposed
	proposedAt  time.Time // last proposal of events
	running     map[structs.TaskID]structs.RunningTask
	// reported holds the epochs of the attempts whose end is reported in the last
	// sync. An attempt that has ended on the worker is not started again.
	reported map[structs.TaskID]uint64
	// started holds the attempts for which a start was sent, with the time of the
	// first.
	started map[structs.TaskID]attemptTime
	// stopProposed holds the attempts for which a stopped event was proposed
	// because the worker does not run them, with the time of the last proposal. No
	// start may be sent for them.
	stopProposed map[structs.TaskID]attemptTime
	ending       *structs.EndAttempts // proposed and not applied yet, or nil
	endingAt     time.Time            // when ending was last proposed
}

// attemptTime is a time that belongs to the attempt of a task with the given epoch.
type attemptTime struct {
	epoch uint64
	at    time.Time
}

// New returns the table of a leader elected at electedAt. Earlier leaders did
// not log renewals, so all leases count as renewed when the leader takes over.
func New(electedAt time.Time) *Table {
	return &Table{
		electedAt: electedAt,
		session:   uint64(electedAt.UnixNano()),
		records:   map[structs.WorkerID]*record{},
	}
}

// SetElectedIndex sets the last log index applied before this leader's own
// commands. Without it no attempt is known to have never been started.
func (l *Table) SetElectedIndex(index uint64) { l.electedIndex = index }

// Session returns the number that identifies this leader. Workers copy it from
// a reply into their next sync.
func (l *Table) Session() uint64 { return l.session }

// record returns the record of a worker's current incarnation. A new record counts
// as renewed at now.
func (l *Table) record(now time.Time, w *structs.Worker) *record {
	r := l.records[w.ID]
	if r == nil || r.incarnation != w.Incarnation {
		r = &record{
			incarnation: w.Incarnation, renewed: now,
			started: map[structs.TaskID]attemptTime{}, stopProposed: map[structs.TaskID]attemptTime{},
		}
		l.records[w.ID] = r
	}
	return r
}

// Live reports whether a worker has synced recently enough to get new work.
func (l *Table) Live(now time.Time, id structs.WorkerID) bool {
	r := l.records[id]
	return r != nil && r.synced && r.ending == nil && now.Sub(r.renewed) <= LiveWindow
}

// Applied informs the table of a command that was applied. The worker's events
// in it are acknowledged from then on.
func (l *Table) Applied(cmd *structs.Command) {
	c := cmd.WorkerEvents
	if c == nil {
		return
	}
	r := l.records[c.Worker]
	if r == nil || r.incarnation != c.Incarnation {
		return
	}
	for _, ev := range c.Events {
		r.acked = max(r.acked, ev.Seq)
	}
}

// Expired returns the commands that end the attempts whose worker's lease and
// whose own lease hold have certainly ended. A command that is not applied is
// returned again after proposalTimeout.
func (l *Table) Expired(now time.Time, t *state.Tables) []*structs.Command {
	var out []*structs.Command
	for _, w := range t.Workers() {
		if !w.Live && len(t.AttemptsOn(w.ID)) == 0 {
			delete(l.records, w.ID)
			continue
		}
		r := l.record(now, w)
		if now.Sub(r.renewed) < structs.WorkerLease+structs.LeaseMargin {
			continue
		}
		if r.clearAppliedEnd(t) || now.Sub(r.endingAt) >= proposalTimeout {
			out = l.proposeEnd(now, t, w, r, out)
		}
	}
	return out
}

// clearAppliedEnd clears a proposed end that has been applied. It reports whether no
// proposed end is outstanding.
func (r *record) clearAppliedEnd(t *state.Tables) bool {
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

// proposeEnd appends the command that ends the attempts on a worker whose lease has
// ended. The worker is declared dead only once no attempt is within its lease
// hold, so that a worker that reconnects within the hold keeps those tasks.
func (l *Table) proposeEnd(now time.Time, t *state.Tables, w *structs.Worker, r *record, out []*structs.Command) []*structs.Command {
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

// leaseEnd returns the time after the last renewal at which an attempt has
// certainly ended, including its lease hold and clock drift over it.
func leaseEnd(task *structs.Task) time.Duration {
	hold := time.Duration(task.LeaseHoldMS) * time.Millisecond
	return structs.WorkerLease + structs.LeaseMargin + hold + hold/driftDivisor
}

// neverStarted reports whether it is certain that neither this leader nor an
// earlier one sent a start of the attempt.
func (l *Table) neverStarted(r *record, task *structs.Task) bool {
	return l.electedIndex > 0 && task.Epoch > l.electedIndex && r.started[task.ID].epoch != task.Epoch &&
		task.State != structs.AttemptRunning && task.Status != structs.StatusRunning
}
