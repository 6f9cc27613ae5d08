// Package control implements the control role of a host: a replica of the log
// with the scheduler's tables, the periodic tick of the leader, and the calls
// that rpc.Control defines.
//
// Only a leader that holds its lease answers calls; Dump is answered by every
// replica. All changes of the tables go through the log. A call that changes
// the tables is answered after its command has been applied on this replica.
package control

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"gooseberrypond/core/leader"
	"gooseberrypond/core/state"
	"gooseberrypond/core/structs"
	"gooseberrypond/host/rpc"
	"gooseberrypond/store/consensus"
	"gooseberrypond/store/replica"
)

var _ rpc.Control = (*Host)(nil)

// roleLeader is the value of replica.Status.Role on the leader.
var roleLeader = consensus.Leader.String()

// Config configures a Host.
type Config struct {
	Cluster string
	HostID  string
	// EntryHosts are the ids of all hosts with role entry.
	EntryHosts []string
	// HostOf maps replica ids to host ids.
	HostOf map[string]string
	// Replica configures the log; StateMachine is set by Open.
	Replica  replica.Config
	Log      zerolog.Logger
	Registry prometheus.Registerer
}

// Host runs the control role of a host.
type Host struct {
	cfg          Config
	stateMachine *stateMachine
	replica      *replica.Replica
	submissions  *batcher
	metrics      *metrics

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// Open opens the replica and starts the tick loop and the proposers of submissions.
// It waits while the replica's disk is full.
func Open(cfg Config) (*Host, error) {
	h := &Host{cfg: cfg, stateMachine: newStateMachine()}
	h.ctx, h.cancel = context.WithCancel(context.Background())
	h.metrics = newMetrics(cfg.Registry, h)
	h.stateMachine.applied = h.metrics.applied
	h.stateMachine.log = cfg.Log
	cfg.Replica.StateMachine = h.stateMachine
	rep, err := replica.OpenWhenWritable(h.ctx, cfg.Replica)
	if err != nil {
		h.cancel()
		return nil, errors.Wrap(err, "open replica")
	}
	h.replica = rep
	h.submissions = newBatcher(h.propose)
	h.spawn(h.tickLoop)
	for range maxBatchesInFlight {
		h.spawn(func() { h.submissions.run(h.ctx) })
	}
	return h, nil
}

func (h *Host) spawn(fn func()) {
	h.wg.Add(1)
	go func() {
		defer h.wg.Done()
		fn()
	}()
}

// Close stops the host. If this replica leads, Close first transfers leadership,
// within the deadline of ctx.
func (h *Host) Close(ctx context.Context) error {
	if h.replica.HoldsLease() && h.voters() > 1 {
		if err := h.replica.TransferLeadership(ctx); err != nil {
			h.cfg.Log.Warn().Err(err).Msg("leadership transfer failed; the other replicas must elect a leader after this one stops")
		}
	}
	return h.Kill()
}

// voters returns the number of voting members.
func (h *Host) voters() int {
	n := 0
	for _, m := range h.replica.Status().Members {
		if m.Voter {
			n++
		}
	}
	return n
}

// Kill stops the host without transferring leadership.
func (h *Host) Kill() error {
	h.cancel()
	err := h.replica.Close()
	h.wg.Wait()
	return err
}

// Leading reports whether this replica leads and holds its lease.
func (h *Host) Leading() bool { return h.replica.HoldsLease() }

// LeaderHost returns the id of the host that this replica believes to be the
// leader, or "" if it knows none.
func (h *Host) LeaderHost() string { return h.cfg.HostOf[h.replica.Status().LeaderID] }

// tickLoop runs a tick every structs.TickInterval. A tick starts only after all
// commands of the previous tick have completed, because each plan must see the
// effects of the previous plan.
func (h *Host) tickLoop() {
	tick := time.NewTicker(structs.TickInterval)
	defer tick.Stop()
	for {
		select {
		case <-h.ctx.Done():
			return
		case <-tick.C:
			h.runTick()
		}
	}
}

// runTick runs one tick if this replica leads and holds its lease.
func (h *Host) runTick() {
	if !h.refreshLeadership() {
		return
	}
	start := time.Now()
	var cmds []*structs.Command
	err := h.withLeader("control.tick", func(core *leader.Core, _ *state.Tables) {
		cmds = core.Tick(time.Now(), time.Now().UnixMilli())
	})
	if err != nil {
		return
	}
	h.metrics.tickDuration.Observe(time.Since(start).Seconds())
	proposeAll(cmds, h.proposeTickCommand)
}

// proposeTickCommand proposes one command of a tick and counts the parts of it that
// were dropped when it was applied.
func (h *Host) proposeTickCommand(cmd *structs.Command) {
	res, err := h.propose(h.ctx, cmd)
	if err != nil {
		h.cfg.Log.Warn().Str("command", commandName(cmd)).Err(err).Msg("scheduling command failed or its outcome is unknown; the next tick plans again")
		return
	}
	h.metrics.planPartsDropped.Add(float64(res.Dropped))
}

// proposeAll proposes the commands of a tick concurrently, so that they share
// disk syncs of the log, and waits for all of them. The loss of a failure domain
// ends the leases of hundreds of workers at once; one sync for each would delay
// the next plan.
func proposeAll(cmds []*structs.Command, propose func(*structs.Command)) {
	var wg sync.WaitGroup
	for _, cmd := range cmds {
		wg.Go(func() { propose(cmd) })
	}
	wg.Wait()
}

// refreshLeadership creates or discards the leader's state according to the role
// of the replica, and reports whether this replica leads and holds its lease.
// Each term starts with new state, because state from an earlier term lacks the
// actions of leaders in between.
func (h *Host) refreshLeadership() bool {
	before := h.replica.Status()
	holds := h.replica.HoldsLease()
	after := h.replica.Status()
	leads := before.Term == after.Term && before.Role == roleLeader && after.Role == roleLeader
	m := h.stateMachine
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.core != nil && (!leads || m.term != after.Term) {
		m.core = nil
		m.wakeAll()
		h.cfg.Log.Info().Uint64("term", m.term).Msg("leadership of this term ended")
	}
	if !leads || !holds {
		return false
	}
	if m.core == nil {
		m.core, m.term = leader.New(time.Now(), m.tables, h.cfg.EntryHosts), after.Term
		h.cfg.Log.Info().Uint64("term", m.term).Msg("this replica became leader: it holds the leader's lease and starts scheduling")
	}
	return true
}

// withLeader runs fn on the leader's state and the tables. The lease is checked
// before and after fn, so that fn read current state. The term is checked too:
// if leadership is lost and regained between two ticks, the leader's state
// still belongs to the old term until the next tick replaces it.
func (h *Host) withLeader(step string, fn func(core *leader.Core, t *state.Tables)) error {
	m := h.stateMachine
	m.mu.Lock()
	term := m.term
	if m.core == nil || !h.leadsTerm(term) {
		m.mu.Unlock()
		return h.notLeader(step)
	}
	fn(m.core, m.tables)
	m.mu.Unlock()
	if !h.leadsTerm(term) {
		return h.notLeader(step)
	}
	return nil
}

// leadsTerm reports whether this replica leads in the term and holds its lease.
func (h *Host) leadsTerm(term uint64) bool {
	return h.replica.HoldsLease() && h.replica.Status().Term == term
}

func (h *Host) notLeader(step string) *structs.Error {
	return structs.Errorf(structs.CodeNotLeader, step, "this replica does not lead").
		WithPeer(h.cfg.HostID).WithOutcome(structs.OutcomeNotRun).WithRetryAfter(int64(structs.ElectionTimeoutMax / time.Millisecond))
}

// unknownOutcome returns the error for a command whose outcome is unknown: it may
// still be committed.
func unknownOutcome(step string, err error) *structs.Error {
	return structs.Errorf(structs.CodeNoLeader, step, "outcome unknown: %v", err).WithOutcome(structs.OutcomeUnknown)
}

// propose appends a command to the log and returns the result of applying it.
func (h *Host) propose(ctx context.Context, cmd *structs.Command) (structs.Result, error) {
	const step = "control.propose"
	cmd.Version, cmd.NowMS = structs.CommandVersion, time.Now().UnixMilli()
	data, err := encodeCommand(cmd)
	if err != nil {
		return structs.Result{}, structs.Errorf(structs.CodeInternal, step, "%v", err).WithOutcome(structs.OutcomeNotRun)
	}
	if !h.replica.HoldsLease() {
		return structs.Result{}, h.notLeader(step)
	}
	start := time.Now()
	out, err := h.replica.Propose(ctx, data)
	h.metrics.observeProposal(cmd, time.Since(start), err)
	if err == nil {
		return out.(structs.Result), nil
	}
	return structs.Result{}, h.proposeError(err)
}

// proposeError converts an error of replica.Propose to a structs.Error. Only after
// ErrUnknownOutcome may the command still be committed; after other errors it was
// not run.
func (h *Host) proposeError(err error) *structs.Error {
	const step = "control.propose"
	switch {
	case errors.Is(err, replica.ErrNotLeader):
		return h.notLeader(step)
	case errors.Is(err, replica.ErrUnknownOutcome):
		return unknownOutcome(step, err).WithPeer(h.cfg.HostID)
	case errors.Is(err, replica.ErrTooLarge):
		return structs.Errorf(structs.CodeTooLarge, step, "%v", err).WithOutcome(structs.OutcomeNotRun)
	case errors.Is(err, replica.ErrBusy):
		return structs.Errorf(structs.CodeQueueFull, step, "%v", err).WithOutcome(structs.OutcomeNotRun).WithRetryAfter(1000)
	}
	return structs.Errorf(structs.CodeNoLeader, step, "%v", err).WithPeer(h.cfg.HostID).WithOutcome(structs.OutcomeNotRun)
}

// memberError converts an error of a membership change to a structs.Error.
func (h *Host) memberError(err error) *structs.Error {
	const step = "control.member_change"
	for cause, code := range map[error]structs.ErrorCode{
		consensus.ErrChangePending:   structs.CodeConflict,
		consensus.ErrNotReady:        structs.CodeConflict,
		consensus.ErrNotCaughtUp:     structs.CodeConflict,
		consensus.ErrMemberExists:    structs.CodeConflict,
		consensus.ErrLastVoter:       structs.CodeConflict,
		consensus.ErrWouldLoseQuorum: structs.CodeConflict,
		consensus.ErrUnknownMember:   structs.CodeNotFound,
	} {
		if errors.Is(err, cause) {
			return structs.Errorf(code, step, "%v", err).WithPeer(h.cfg.HostID).WithOutcome(structs.OutcomeNotRun).WithRetryAfter(1000)
		}
	}
	return h.proposeError(err)
}

// proposeChange proposes a command and returns the error in its result, if any, as
// an error.
func (h *Host) proposeChange(ctx context.Context, cmd *structs.Command) (structs.Result, error) {
	res, err := h.propose(ctx, cmd)
	if err == nil && res.Error != nil {
		err = res.Error
	}
	return res, err
}

// LastApplied returns the index of the last log entry applied on this replica.
func (h *Host) LastApplied() uint64 { return h.replica.AppliedIndex() }
