package control

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"

	"gooseberrypond/core/codec"
	"gooseberrypond/core/leader"
	"gooseberrypond/core/state"
	"gooseberrypond/core/structs"
	"gooseberrypond/store/replica"
)

// minRecentCommands is the minimum number of applied commands kept for the dump,
// once that many have been applied. Up to twice as many are kept.
const minRecentCommands = 200

var _ replica.Forker = (*stateMachine)(nil)

// stateMachine is the replicated state machine: it applies log entries to the tables.
// It also holds the leader's volatile state. One lock guards both, because the
// leader's components read the tables.
type stateMachine struct {
	mu     sync.Mutex
	tables *state.Tables
	// core is the leader's state of term. It is nil until the first tick in which
	// this replica leads and holds its lease, and after the end of the term.
	core *leader.Core
	term uint64

	// workers holds the pending sync of each worker.
	workers map[structs.WorkerID]*heldSync
	// jobs holds the channels of the calls that wait for a change of a job.
	jobs map[structs.JobID]map[chan struct{}]bool
	// changed is closed and replaced when the catalogue or a domain state changes.
	changed chan struct{}
	// recent lists the last applied commands, oldest first.
	recent []recentCommand
	log    zerolog.Logger
	// applied is called, with mu held, after each applied command.
	applied func(cmd *structs.Command, res *structs.Result, took time.Duration)
}

// recentCommand is the record of one applied command in the dump.
type recentCommand struct {
	Index   uint64           `json:"index"`
	Command *structs.Command `json:"command"`
	Error   *structs.Error   `json:"error,omitempty"`
	Dropped int              `json:"dropped,omitempty"`
}

// heldSync is a worker's sync whose answer is held until there is a command for the
// worker.
type heldSync struct {
	// wake is signalled when there may be new commands for the worker.
	wake chan struct{}
	// done is closed when a newer sync of the worker replaces this one.
	done chan struct{}
}

func newStateMachine() *stateMachine {
	return &stateMachine{
		tables:  state.New(),
		workers: map[structs.WorkerID]*heldSync{},
		jobs:    map[structs.JobID]map[chan struct{}]bool{},
		changed: make(chan struct{}),
		log:     zerolog.Nop(),
		applied: func(*structs.Command, *structs.Result, time.Duration) {},
	}
}

// encodeCommand encodes a command as the data of a log entry.
func encodeCommand(cmd *structs.Command) ([]byte, error) {
	return cbor.Marshal(cmd)
}

// Apply implements replica.StateMachine. The result is a structs.Result. Apply
// panics on an entry that this version of the program cannot read, because
// skipping it would make the tables diverge from those of the other replicas.
func (m *stateMachine) Apply(index uint64, data []byte) any {
	cmd := new(structs.Command)
	if err := codec.Unmarshal(data, cmd); err != nil {
		panic(errors.Wrapf(err, "log entry %d cannot be decoded", index))
	}
	start := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	affected := m.affected(cmd)
	res := m.tables.Apply(index, cmd)
	if res.Error != nil && res.Error.Code == structs.CodeVersionMismatch {
		panic(errors.Wrapf(res.Error, "log entry %d needs a newer version of this program", index))
	}
	if m.core != nil {
		m.core.Applied(cmd, res)
	}
	m.recordCommand(index, cmd, &res)
	if cmd.PutCatalogue != nil || cmd.SetDomain != nil {
		m.wakeWatches()
	}
	m.wake(affected)
	m.logTasks(cmd)
	m.applied(cmd, &res, time.Since(start))
	return res
}

// logTasks logs the assignments, evictions and events of single tasks, so that a
// task can be followed across hosts. It returns at once unless the log level is
// debug or lower.
func (m *stateMachine) logTasks(cmd *structs.Command) {
	if m.log.GetLevel() > zerolog.DebugLevel {
		return
	}
	if cmd.Plan != nil {
		for _, a := range cmd.Plan.Assign {
			m.log.Debug().Stringer("task", a.Task).Str("worker", string(a.Worker)).Str("reason", a.Reason).Msg("task assigned")
		}
		for _, e := range cmd.Plan.Evict {
			m.log.Debug().Stringer("task", e.Ref.Task).Int64("attempt", e.Ref.Attempt).Str("reason", e.Reason).Msg("task evicted")
		}
	}
	if cmd.WorkerEvents != nil {
		for _, ev := range cmd.WorkerEvents.Events {
			m.log.Debug().Stringer("task", ev.Task).Int64("attempt", ev.Attempt).Str("event", string(ev.Type)).
				Str("worker", string(cmd.WorkerEvents.Worker)).Msg("task event")
		}
	}
}

// Snapshot implements replica.StateMachine.
func (m *stateMachine) Snapshot() ([]byte, error) { return m.Fork()() }

// Fork implements replica.Forker. The tables are copied under the lock, but
// encoded outside it, so that ticks continue during the encoding.
func (m *stateMachine) Fork() func() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.tables.Fork().Encode
}

// Restore implements replica.StateMachine.
func (m *stateMachine) Restore(data []byte) error {
	tables, err := state.Decode(data)
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.tables = tables
	m.core = nil
	m.wakeAll()
	return nil
}

// recordCommand records an applied command for the dump, without payloads and answers.
func (m *stateMachine) recordCommand(index uint64, cmd *structs.Command, res *structs.Result) {
	d := recentCommand{Index: index, Command: summary(cmd), Error: res.Error, Dropped: res.Dropped}
	m.recent = append(m.recent, d)
	if len(m.recent) >= 2*minRecentCommands {
		m.recent = append([]recentCommand(nil), m.recent[minRecentCommands:]...)
	}
}

// summary returns a copy of cmd without payloads, answers and catalogues: they
// may be large, and payloads and answers are callers' data.
func summary(cmd *structs.Command) *structs.Command {
	c := *cmd
	switch {
	case c.SubmitJobs != nil:
		jobs := make([]structs.SubmitJob, len(c.SubmitJobs.Jobs))
		for i, j := range c.SubmitJobs.Jobs {
			j.Spec.Payload = nil
			jobs[i] = j
		}
		c.SubmitJobs = &structs.SubmitJobs{Jobs: jobs}
	case c.Complete != nil:
		done := *c.Complete
		done.Answer = nil
		c.Complete = &done
	case c.PutCatalogue != nil:
		c.PutCatalogue = &structs.PutCatalogue{ChangeID: c.PutCatalogue.ChangeID, BaseVersion: c.PutCatalogue.BaseVersion}
	}
	return &c
}

// affectedSet lists the workers and jobs that a command affects.
type affectedSet struct {
	workers []structs.WorkerID
	jobs    []structs.JobID
}

// affected returns the workers and jobs that a command affects. It must be called
// before the command is applied, while the tables still hold the workers of the
// attempts that the command ends.
func (m *stateMachine) affected(cmd *structs.Command) affectedSet {
	var s affectedSet
	switch {
	case cmd.Plan != nil:
		for _, a := range cmd.Plan.Assign {
			s.workers = append(s.workers, a.Worker)
			s.jobs = append(s.jobs, a.Task.Job)
		}
		for _, e := range cmd.Plan.Evict {
			if t := m.tables.Task(e.Ref.Task); t != nil {
				s.workers = append(s.workers, t.Worker)
			}
		}
		for _, n := range cmd.Plan.Notes {
			s.jobs = append(s.jobs, n.Job)
		}
	case cmd.WorkerEvents != nil:
		for _, ev := range cmd.WorkerEvents.Events {
			s.jobs = append(s.jobs, ev.Task.Job)
		}
	case cmd.EndAttempts != nil:
		for _, ref := range cmd.EndAttempts.Attempts {
			s.jobs = append(s.jobs, ref.Task.Job)
		}
	case cmd.CancelJob != nil:
		s.jobs = append(s.jobs, cmd.CancelJob.Job)
		for _, t := range m.tables.TasksOf(cmd.CancelJob.Job) {
			if t.Worker != "" {
				s.workers = append(s.workers, t.Worker)
			}
		}
	}
	return s
}

// wake signals the held syncs and the waiting calls of the affected workers and
// jobs.
func (m *stateMachine) wake(s affectedSet) {
	for _, id := range s.workers {
		if p := m.workers[id]; p != nil {
			signal(p.wake)
		}
	}
	for _, id := range s.jobs {
		for ch := range m.jobs[id] {
			signal(ch)
		}
	}
}

// wakeWatches wakes the Watch calls, which wait for a new catalogue or domain state.
func (m *stateMachine) wakeWatches() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// wakeAll wakes every waiting call when the leader's state is discarded.
func (m *stateMachine) wakeAll() {
	m.wakeWatches()
	for _, p := range m.workers {
		signal(p.wake)
	}
	for _, waits := range m.jobs {
		for ch := range waits {
			signal(ch)
		}
	}
}

// signal sends to a channel of capacity 1 without blocking.
func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// watchJob returns a channel that is signalled when the job may have changed.
// The caller holds mu and calls stop, without mu, when it no longer waits.
func (m *stateMachine) watchJob(id structs.JobID) (ch chan struct{}, stop func()) {
	ch = make(chan struct{}, 1)
	if m.jobs[id] == nil {
		m.jobs[id] = map[chan struct{}]bool{}
	}
	m.jobs[id][ch] = true
	return ch, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		delete(m.jobs[id], ch)
		if len(m.jobs[id]) == 0 {
			delete(m.jobs, id)
		}
	}
}

// registerHeldSync registers a held sync and ends the worker's earlier one. The
// caller holds mu and calls stop, without mu, when the sync is answered.
func (m *stateMachine) registerHeldSync(id structs.WorkerID) (p *heldSync, stop func()) {
	if old := m.workers[id]; old != nil {
		close(old.done)
	}
	p = &heldSync{wake: make(chan struct{}, 1), done: make(chan struct{})}
	m.workers[id] = p
	return p, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		if m.workers[id] == p {
			delete(m.workers, id)
		}
	}
}
