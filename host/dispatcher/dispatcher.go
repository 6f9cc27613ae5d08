// Package dispatcher runs the jobs of graphs of steps: it drives the tables
// from the replicated log, and on the leader it calls the workers and answers
// callers, workers and operators. What to do is decided in core/dispatch; this
// package carries it out.
package dispatcher

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"gooseberrypond/core/dispatch"
	"gooseberrypond/core/graph"
	"gooseberrypond/store/replica"
)

const (
	// tickInterval is the period at which leases, retries and due occurrences
	// are looked at when nothing else wakes the leader.
	tickInterval = 40 * time.Millisecond
	// leaseWait is the pause before the leader's lease is looked at again.
	leaseWait = 5 * time.Millisecond
	// holdGrace is how much longer than its wait a call for lists may take.
	holdGrace = 600 * time.Millisecond
	// orderTimeout bounds an order; a worker answers within milliseconds.
	orderTimeout = 400 * time.Millisecond
	// proposeTimeout bounds a proposal; the outcome is unknown after it.
	proposeTimeout = 3 * time.Second
)

// WorkerClient sends calls to workers.
type WorkerClient interface {
	// Hold renews a worker's lease and returns its lists.
	Hold(ctx context.Context, h dispatch.Hold) (*dispatch.HoldReply, error)
	// Order sends an order. A failure of any kind after which the order may
	// still be carried out is an outcome of NoAnswer.
	Order(ctx context.Context, o dispatch.Order) dispatch.OrderReply
}

// Log is the replicated log.
type Log interface {
	Propose(ctx context.Context, data []byte) (any, error)
	LeaseTerm() (term uint64, ok bool)
	LeaderChanges() <-chan replica.LeaderChange
}

// Config holds the parts of a Dispatcher.
type Config struct {
	Workers WorkerClient
	Limits  dispatch.Limits
	Logger  zerolog.Logger
	// Now replaces time.Now.
	Now func() time.Time
}

// Dispatcher is one replica's part. Its methods are safe for concurrent use.
type Dispatcher struct {
	cfg     Config
	log     Log
	metrics *metrics

	mu     sync.Mutex
	tables *graph.Tables
	// lead is set while this replica leads.
	lead *leadership
}

// New returns a dispatcher with empty tables.
func New(cfg Config) *Dispatcher {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	return &Dispatcher{cfg: cfg, tables: graph.New(), metrics: newMetrics()}
}

// Run follows the log's changes of leader until ctx ends.
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
		wake: make(chan struct{}, 1), holds: map[graph.Handle]chan struct{}{},
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
		<-l.ended
	}
}

// Apply implements replica.StateMachine.
func (d *Dispatcher) Apply(index uint64, data []byte) any {
	b, err := graph.DecodeBatch(data)
	if err != nil {
		// The same bytes fail on every replica, so the tables stay equal.
		d.cfg.Logger.Error().Err(err).Uint64("index", index).Str("step", "apply").Msg("log entry is skipped")
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.tables.Apply(index, b)
}

// Snapshot implements replica.StateMachine.
func (d *Dispatcher) Snapshot() ([]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.tables.Encode()
}

// Restore implements replica.StateMachine. Without data the tables are empty.
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

// leading returns the leadership whose core may be used, with d.mu held. It is
// nil unless this replica holds the leader's lease and has begun to lead.
func (d *Dispatcher) leading() *leadership {
	l := d.lead
	if l == nil || l.core == nil || !l.holdsLease() {
		return nil
	}
	return l
}
