package control

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"

	"gooseberrypond/core/leader"
	"gooseberrypond/core/state"
	"gooseberrypond/core/structs"
	"gooseberrypond/store/replica"
)

// recentDecisions is the number of applied commands kept for the dump.
const recentDecisions = 200

var _ replica.Forker = (*machine)(nil)

// machine applies the log to the tables and holds the leader's volatile state.
// One lock guards both, because the leader's systems read the tables.
type machine struct {
	mu     sync.Mutex
	tables *state.Tables
	// core is set while this replica leads, from its election on.
	core *leader.Core
	term uint64

	workers map[structs.WorkerID]*poll
	jobs    map[structs.JobID]map[chan struct{}]bool
	// changed is closed and replaced when the catalogue or a domain changes.
	changed chan struct{}
	recent  []decision
	log     zerolog.Logger
	applied func(cmd *structs.Command, res *structs.Result, took time.Duration)
}

// decision is one applied command as the dump shows it.
type decision struct {
	Index   uint64           `json:"index"`
	Command *structs.Command `json:"command"`
	Error   *structs.Error   `json:"error,omitempty"`
	Dropped int              `json:"dropped,omitempty"`
}

// poll is a worker's held sync.
type poll struct {
	wake chan struct{}
	// over is closed when a newer sync of the worker takes its place.
	over chan struct{}
}

func newMachine() *machine {
	return &machine{
		tables:  state.New(),
		workers: map[structs.WorkerID]*poll{},
		jobs:    map[structs.JobID]map[chan struct{}]bool{},
		changed: make(chan struct{}),
		log:     zerolog.Nop(),
		applied: func(*structs.Command, *structs.Result, time.Duration) {},
	}
}

// encodeCommand returns the log form of a command.
func encodeCommand(cmd *structs.Command) ([]byte, error) {
	return cbor.Marshal(cmd)
}

// Apply implements replica.StateMachine. The result is a structs.Result. An
// entry that this program cannot read stops the process: going on would make
// its tables differ from those of the other replicas.
func (m *machine) Apply(index uint64, data []byte) any {
	cmd := new(structs.Command)
	if err := cbor.Unmarshal(data, cmd); err != nil {
		panic(errors.Wrapf(err, "log entry %d cannot be decoded", index))
	}
	start := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	touched := m.touched(cmd)
	res := m.tables.Apply(index, cmd)
	if res.Error != nil && res.Error.Code == structs.CodeVersionMismatch {
		panic(errors.Wrapf(res.Error, "log entry %d was written by a newer program", index))
	}
	if m.core != nil {
		m.core.Applied(cmd, res)
	}
	m.remember(index, cmd, &res)
	if cmd.PutCatalogue != nil || cmd.SetDomain != nil {
		m.wakeWatches()
	}
	m.wake(touched)
	m.trace(cmd)
	m.applied(cmd, &res, time.Since(start))
	return res
}

// trace logs what a command did to single tasks, so that one can be followed
// over hosts. It costs nothing unless the level is debug.
func (m *machine) trace(cmd *structs.Command) {
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
func (m *machine) Snapshot() ([]byte, error) { return m.Fork()() }

// Fork implements replica.Forker. Only the copy is made under the lock, so
// that ticks go on while the copy is encoded.
func (m *machine) Fork() func() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.tables.Fork().Encode
}

// Restore implements replica.StateMachine.
func (m *machine) Restore(data []byte) error {
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

// remember keeps the command for the dump, without payloads and answers.
func (m *machine) remember(index uint64, cmd *structs.Command, res *structs.Result) {
	d := decision{Index: index, Command: summary(cmd), Error: res.Error, Dropped: res.Dropped}
	m.recent = append(m.recent, d)
	if len(m.recent) >= 2*recentDecisions {
		m.recent = append([]decision(nil), m.recent[recentDecisions:]...)
	}
}

// summary returns cmd without the parts that are large or belong to callers.
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

// touched lists whom a command concerns.
type touchedSet struct {
	workers []structs.WorkerID
	jobs    []structs.JobID
}

// touched finds the workers and jobs of a command before it is applied, while
// the tables still say where the attempts are.
func (m *machine) touched(cmd *structs.Command) touchedSet {
	var s touchedSet
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

// wake ends the waits of those concerned.
func (m *machine) wake(s touchedSet) {
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

// wakeWatches ends the waits for a new catalogue or domain state.
func (m *machine) wakeWatches() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// wakeAll ends every wait, after a change of leadership.
func (m *machine) wakeAll() {
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

func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// watchJob returns a channel that signals when the job may have changed. The
// lock is held.
func (m *machine) watchJob(id structs.JobID) (ch chan struct{}, stop func()) {
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

// watchWorker registers a held sync and ends the worker's earlier one. The
// lock is held.
func (m *machine) watchWorker(id structs.WorkerID) (p *poll, stop func()) {
	if old := m.workers[id]; old != nil {
		close(old.over)
	}
	p = &poll{wake: make(chan struct{}, 1), over: make(chan struct{})}
	m.workers[id] = p
	return p, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		if m.workers[id] == p {
			delete(m.workers, id)
		}
	}
}
