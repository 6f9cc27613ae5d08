// Package dispatcher runs jobs that are graphs of steps. On every replica it
// applies the replicated log to the tables; on the leader it also calls the
// workers and answers callers, workers and operators. Decisions are made by
// core/dispatch; this package does the I/O.
package dispatcher

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"gooseberrypond/core/dispatch"
	"gooseberrypond/core/graph"
	"gooseberrypond/core/organisation"
	"gooseberrypond/store/replica"
)

const (
	// tickInterval is how often the leader checks leases, retries and due
	// occurrences when nothing else wakes it.
	tickInterval = 40 * time.Millisecond
	// minRunInterval is the shortest time between two passes of the leader's loop.
	// Thousands of answers a second share the passes.
	minRunInterval = 2 * time.Millisecond
	// maxNewWorkers is the number of workers that a pass begins to call. After an election
	// all workers are new, and other work must get its turn between them.
	maxNewWorkers = 64
	// leaseCheckInterval is the pause before the leader's lease is checked again.
	leaseCheckInterval = 5 * time.Millisecond
	// longWaitsInterval is the time between two log lines about long-running tasks that
	// wait.
	longWaitsInterval = time.Second
	// proposeTimeout bounds a proposal. After a timeout the outcome is unknown.
	proposeTimeout = 3 * time.Second
)

// WorkerClient sends calls to workers. Each call ends in bounded time. The time that it
// waits for a connection does not count as the worker's.
type WorkerClient interface {
	// Hold renews a worker's lease and returns its lists of running and
	// finished runs. An error that is dispatch.ErrNotSent says nothing about the
	// worker.
	Hold(ctx context.Context, h dispatch.Hold) (*dispatch.HoldReply, error)
	// Order sends an order. It returns the outcome NoAnswer for every failure
	// after which the worker may still carry out the order, and NotSent only if
	// nothing was sent for a reason that is not the worker's.
	Order(ctx context.Context, o dispatch.Order) dispatch.OrderReply
	// CloseConnections closes all connections to workers and ends the calls that use them.
	CloseConnections()
}

// Log is the replicated log.
type Log interface {
	Propose(ctx context.Context, data []byte) (any, error)
	// ReadBarrier returns once every entry that was committed before the call is
	// applied here. It fails if a quorum does not confirm that this replica leads.
	ReadBarrier(ctx context.Context) error
	LeaseTerm() (term uint64, ok bool)
	LeaderChanges() <-chan replica.LeaderChange
}

// Config holds the dependencies and limits of a Dispatcher.
type Config struct {
	Workers WorkerClient
	Limits  dispatch.Limits
	// JobBytes is about how many bytes the jobs may take that are accepted and not forgotten;
	// 0 means DefaultJobBytes.
	JobBytes int64
	Logger   zerolog.Logger
	// Now is the clock; the default is time.Now.
	Now func() time.Time
}

// DefaultJobBytes is the Config's JobBytes if it names none.
const DefaultJobBytes = 64 << 20

// Dispatcher runs on every replica of the control plane. Its methods are safe
// for concurrent use.
type Dispatcher struct {
	cfg     Config
	log     Log
	metrics *metrics

	mu     sync.Mutex
	tables *graph.Tables
	// lead is non-nil while this replica is the leader.
	lead *leadership
}

// New returns a dispatcher with empty tables.
func New(cfg Config) *Dispatcher {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.JobBytes <= 0 {
		cfg.JobBytes = DefaultJobBytes
	}
	return &Dispatcher{cfg: cfg, tables: graph.New(), metrics: newMetrics()}
}

// Run starts and stops leading as the log reports changes of leader, until ctx
// ends.
func (d *Dispatcher) Run(ctx context.Context, log Log) {
	d.mu.Lock()
	d.log = log
	d.mu.Unlock()
	defer d.stopLeading()
	for {
		select {
		case <-ctx.Done():
			return
		case ch := <-log.LeaderChanges():
			d.stopLeading()
			if ch.Leading {
				d.startLeading(ctx, ch.Term)
			}
		}
	}
}

func (d *Dispatcher) startLeading(ctx context.Context, term uint64) {
	ctx, cancel := context.WithCancel(ctx)
	l := &leadership{
		d: d, term: term, cancel: cancel, ended: make(chan struct{}),
		wake: make(chan struct{}, 1), holdWakes: map[graph.Handle]chan struct{}{}, buckets: organisation.NewBuckets(),
	}
	d.mu.Lock()
	d.lead = l
	d.mu.Unlock()
	go l.run(ctx)
}

func (d *Dispatcher) stopLeading() {
	d.mu.Lock()
	l := d.lead
	d.lead = nil
	d.mu.Unlock()
	if l != nil {
		l.cancel()
		d.cfg.Workers.CloseConnections()
		<-l.ended
	}
}

// Apply implements replica.StateMachine.
func (d *Dispatcher) Apply(index uint64, data []byte) any {
	b, err := graph.DecodeBatch(data)
	if err != nil {
		// Decoding is deterministic: every replica skips the same entry, so the
		// tables stay identical.
		d.cfg.Logger.Error().Err(err).Uint64("index", index).Str("step", "apply").Msg("log entry cannot be decoded: all replicas skip it and its changes are lost")
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	res := d.tables.Apply(index, b)
	// The core learns of each entry here, not from its proposal, which may have ended
	// without a known outcome.
	if res.DomainsOutdated {
		d.cfg.Logger.Warn().Uint64("index", index).Uint64("term", b.DomainTerm).Str("step", "apply").Msg("changes of failure domains have no effect: they were decided in a former term")
	}
	if l := d.lead; l != nil && l.core != nil {
		l.core.Applied(d.cfg.Now(), b, res)
		if l.holdsLease() { // otherwise the entry may be another leader's
			l.logApplied(b, res)
		}
	}
	return res
}

// Snapshot implements replica.StateMachine.
func (d *Dispatcher) Snapshot() ([]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.tables.Encode()
}

// Restore implements replica.StateMachine. Empty data resets the tables.
func (d *Dispatcher) Restore(data []byte) error {
	t := graph.New()
	if len(data) > 0 {
		var err error
		if t, err = graph.Decode(data); err != nil {
			return err
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.tables = t
	return nil
}

// activeLeadership returns the current leadership if this replica holds the
// leader's lease and the core has been created; otherwise nil. The caller must
// hold d.mu.
func (d *Dispatcher) activeLeadership() *leadership {
	l := d.lead
	if l == nil || l.core == nil || !l.holdsLease() {
		return nil
	}
	return l
}
