package replica

import (
	"io"
	"math/rand/v2"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"gooseberrypond/store/consensus"
	"gooseberrypond/store/snapshot"
	"gooseberrypond/store/transport"
	"gooseberrypond/store/wal"
)

// Replica is one replica of the log. Its methods are safe for concurrent use.
type Replica struct {
	cfg      Config
	lock     io.Closer
	net      transport.Transport
	instance string

	// The following fields are used by the event loop only.
	core  *consensus.Core
	log   *wal.Log
	snaps *snapshot.Store
	// ledTerm is the term in which this replica was the leader when its status was
	// last published; 0 if it was not the leader.
	ledTerm      uint64
	lastChange   LeaderChange
	lastReadID   uint64
	pendingReads map[uint64]*readRequest

	in               *inputQueue
	pendingProposals *pendingProposals
	apply            *applier

	counters counters

	// suspended is set while the disk is full.
	suspended     atomic.Bool
	status        atomic.Pointer[consensus.Status]
	lease         atomic.Pointer[lease]
	leaderChanges chan LeaderChange

	stopOnce sync.Once
	stopping chan struct{}
	stopped  chan struct{}
	err      error // the error that stopped the replica; read only after stopping is closed
}

// lease is the published state of the leader lease.
type lease struct {
	until           time.Time
	term, termStart uint64
}

// LeaderChange describes a change of leader or term.
type LeaderChange struct {
	// LeaderID is empty while no leader is known.
	LeaderID string
	Term     uint64
	// Leading is true if this replica is the leader.
	Leading bool
	// ElectedAt is when this replica was elected; zero if it is not the leader.
	ElectedAt time.Time
}

// Open starts a replica. It returns once the data folder has been read. The log
// entries after the snapshot are applied in the background.
func Open(cfg Config) (*Replica, error) {
	if err := cfg.setDefaults(); err != nil {
		return nil, err
	}
	if err := cfg.FS.MkdirAll(cfg.Dir); err != nil {
		return nil, errors.Wrapf(err, "create %s", cfg.Dir)
	}
	lock, err := cfg.FS.Lock(filepath.Join(cfg.Dir, lockName))
	if err != nil {
		return nil, err
	}
	r, err := open(cfg)
	if err != nil {
		lock.Close()
		return nil, errors.Wrapf(err, "open replica %s", cfg.ID)
	}
	r.lock = lock
	if err := r.net.Start(r.deliver); err != nil {
		r.Close()
		return nil, err
	}
	return r, nil
}

func open(cfg Config) (*Replica, error) {
	f, err := openDataFolder(&cfg)
	if err != nil {
		return nil, err
	}
	if f.state != nil {
		if err := cfg.StateMachine.Restore(f.state); err != nil {
			return nil, errors.Wrapf(err, "restore snapshot at %d", f.persisted.Snapshot.Last.Index)
		}
	}
	core, err := consensus.New(cfg.Now(), cfg.core(f.Instance, rand.Uint64()), f.persisted)
	if err != nil {
		return nil, errors.CombineErrors(err, f.log.Close())
	}
	net, err := cfg.openTransport()
	if err != nil {
		return nil, errors.CombineErrors(err, f.log.Close())
	}
	r := &Replica{
		cfg: cfg, net: net, instance: f.Instance, core: core, log: f.log, snaps: f.snaps,
		pendingReads: map[uint64]*readRequest{},
		in:           newInputQueue(), pendingProposals: newPendingProposals(),
		leaderChanges: make(chan LeaderChange, 1),
		stopping:      make(chan struct{}), stopped: make(chan struct{}),
	}
	r.apply = newApplier(r, f.persisted.Snapshot)
	r.publishStatus(cfg.Now())
	cfg.Logger.Info().Str("replica", cfg.ID).Uint64("term", f.persisted.State.Term).
		Uint64("snapshot", f.persisted.Snapshot.Last.Index).Int("entries", len(f.persisted.Entries)).
		Msg("replica started")
	go r.run()
	return r, nil
}

// deliver queues messages received by the transport.
func (r *Replica) deliver(from string, ms []consensus.Message) { r.in.addMessages(from, ms) }

// run is the event loop.
func (r *Replica) run() {
	defer close(r.stopped)
	applied := make(chan struct{})
	go func() {
		defer close(applied)
		r.apply.run()
	}()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for r.running() {
		select {
		case <-r.stopping:
		case <-ticker.C:
			r.processInputsOrFail()
		case <-r.in.wake:
			r.processInputsOrFail()
		}
	}
	r.shutDown(applied)
}

func (r *Replica) running() bool {
	select {
	case <-r.stopping:
		return false
	default:
		return true
	}
}

func (r *Replica) processInputsOrFail() {
	if err := r.processInputs(); err != nil {
		r.fail(err)
	}
}

// processInputs processes all queued inputs and their effects. The clock is read
// after the inputs were dequeued: the leader lease is safe only if no message is
// recorded as received before it was sent.
func (r *Replica) processInputs() error {
	in := r.in.dequeue()
	now := r.cfg.Now()
	for id, address := range in.addresses {
		r.in.senderAddresses[id] = address
	}
	for _, m := range in.messages {
		if err := r.core.Step(now, m); err != nil {
			return errors.Wrapf(err, "message from replica %s", m.From)
		}
	}
	r.core.Tick(now)
	for _, f := range in.calls {
		if err := f(now); err != nil {
			return err
		}
	}
	r.startReads(now, in.reads)
	r.propose(now, in.proposals)
	return r.processEffects(now)
}

// fail stops the replica because of an error. Waiting callers get ErrStopped or
// ErrUnknownOutcome.
func (r *Replica) fail(err error) {
	r.stopOnce.Do(func() {
		r.cfg.Logger.Error().Err(err).Str("replica", r.cfg.ID).Msg("replica stopped because of an error")
		r.err = err // closing the channel makes it visible to readers
		close(r.stopping)
	})
}

// Close stops the replica and waits until it has stopped.
func (r *Replica) Close() error {
	r.stopOnce.Do(func() { close(r.stopping) })
	<-r.stopped
	return nil
}

// Done returns a channel that is closed when the replica begins to stop, because
// of Close or an error.
func (r *Replica) Done() <-chan struct{} { return r.stopping }

// Err returns the error that stopped the replica; nil if it is running or was
// stopped by Close.
func (r *Replica) Err() error {
	select {
	case <-r.stopping:
		return r.err
	default:
		return nil
	}
}

func (r *Replica) shutDown(applied <-chan struct{}) {
	r.lease.Store(&lease{})
	r.net.Close()
	r.apply.stop()
	<-applied
	r.apply.background.Wait()
	r.pendingProposals.failAbove(0, errors.Wrap(ErrUnknownOutcome, "replica stopped"))
	r.in.close(r.stopError())
	for _, q := range r.pendingReads {
		q.done <- r.stopError()
	}
	r.snaps.DiscardIncoming()
	r.log.Close()
	if r.lock != nil {
		r.lock.Close()
	}
}

func (r *Replica) stopError() error {
	if r.err != nil {
		return errors.Wrapf(ErrStopped, "after: %v", r.err)
	}
	return ErrStopped
}
