package standin

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"gooseberrypond/core/structs"
)

const (
	// usageAge is how late measurements arrive.
	usageAge = 5 * time.Second
	// usageEvery is the period of measurements.
	usageEvery = 5 * time.Second
	// workerRetry is the pause after a failed call.
	workerRetry = 50 * time.Millisecond
	// syncTimeout bounds one sync beyond the time that it may be held.
	syncTimeout = 3 * time.Second
)

// WorkerConfig describes a stand-in worker.
type WorkerConfig struct {
	ID       structs.WorkerID
	Rack     string
	Domain   string
	Capacity structs.Resources
	// Platform lists base URLs of platform listeners.
	Platform []string
	Client   *http.Client
	// Ledger may be nil.
	Ledger *Ledger
	// Incarnation is the first incarnation; 0 means the present time.
	Incarnation uint64
}

// Worker is a stand-in worker. It obeys leases, start windows and commands.
type Worker struct {
	cfg  WorkerConfig
	call caller
	wake chan struct{} // an event ends the held sync

	mu          sync.Mutex
	incarnation uint64
	seq         uint64
	session     uint64
	eventSeq    uint64
	events      []structs.TaskEvent
	tasks       map[structs.TaskID]*task
	leaseEnd    time.Time
	leaseTimer  *time.Timer
	lastUsage   time.Time
	failStarts  bool
	cutOff      bool
}

// NewWorker returns a worker; Run starts it.
func NewWorker(cfg WorkerConfig) *Worker {
	if cfg.Incarnation == 0 {
		cfg.Incarnation = uint64(time.Now().UnixMilli())
	}
	if cfg.Client == nil {
		cfg.Client = http.DefaultClient
	}
	return &Worker{
		cfg:         cfg,
		call:        caller{client: cfg.Client, bases: cfg.Platform},
		wake:        make(chan struct{}, 1),
		incarnation: cfg.Incarnation,
		tasks:       map[structs.TaskID]*task{},
	}
}

// SetFailStarts makes the worker fail everything that it starts.
func (w *Worker) SetFailStarts(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failStarts = on
}

// SetPartitioned makes the worker unable to reach the platform listeners.
func (w *Worker) SetPartitioned(on bool) {
	w.mu.Lock()
	w.cutOff = on
	w.mu.Unlock()
	w.notify()
}

// Running returns the number of tasks on the worker.
func (w *Worker) Running() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.tasks)
}

// Run registers the worker and syncs until ctx ends; the tasks end with it.
func (w *Worker) Run(ctx context.Context) {
	defer w.dropAll()
	registered := false
	for ctx.Err() == nil {
		var err error
		if !registered {
			err = w.register(ctx)
			registered = err == nil
		} else {
			registered, err = w.sync(ctx)
		}
		if err != nil {
			w.pause(ctx)
		}
	}
}

// pause waits before the next call.
func (w *Worker) pause(ctx context.Context) {
	t := time.NewTimer(workerRetry)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// errCutOff is returned while the worker is cut off.
var errCutOff = errors.New("cut off")

func (w *Worker) register(ctx context.Context) error {
	w.mu.Lock()
	req := structs.WorkerRegister{ID: w.cfg.ID, Incarnation: w.incarnation, Rack: w.cfg.Rack, Domain: w.cfg.Domain, Capacity: w.cfg.Capacity, Guards: true}
	cut := w.cutOff
	w.mu.Unlock()
	if cut {
		return errCutOff
	}
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	return w.call.post(ctx, "/v1/workers/"+string(w.cfg.ID)+"/register", req, nil)
}

// sync sends one report and carries out the answer. It reports whether the
// worker is still registered.
func (w *Worker) sync(ctx context.Context) (bool, error) {
	req, cut := w.report()
	if cut {
		return true, errCutOff
	}
	ctx, cancel := context.WithTimeout(ctx, syncTimeout+structs.WorkerSyncHold)
	defer cancel()
	stop := w.cancelOnEvent(ctx, cancel)
	sent := time.Now()
	var reply structs.WorkerSyncReply
	err := w.call.post(ctx, "/v1/workers/"+string(w.cfg.ID)+"/sync", req, &reply)
	if aborted := stop(); aborted && err != nil {
		return true, nil
	}
	if err != nil {
		return true, err
	}
	return w.obey(sent, &reply), nil
}

// cancelOnEvent ends a held sync when there is an event to report, so that
// events are not delayed by the hold. stop reports whether that happened.
func (w *Worker) cancelOnEvent(ctx context.Context, cancel func()) (stop func() bool) {
	done, aborted := make(chan struct{}), make(chan bool, 1)
	go func() {
		select {
		case <-w.wake:
			cancel()
			aborted <- true
		case <-ctx.Done():
			aborted <- false
		case <-done:
			aborted <- false
		}
	}()
	return func() bool {
		close(done)
		return <-aborted
	}
}

// report builds the next sync.
func (w *Worker) report() (*structs.WorkerSync, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	select {
	case <-w.wake: // covered by this report
	default:
	}
	w.seq++
	req := &structs.WorkerSync{ID: w.cfg.ID, Incarnation: w.incarnation, Seq: w.seq, Session: w.session, WaitMS: structs.WorkerSyncHold.Milliseconds()}
	req.Events = append(req.Events, w.events...)
	for _, t := range w.tasks {
		c := t.cmd
		req.Running = append(req.Running, structs.RunningTask{Task: c.Task, Attempt: c.Attempt, Epoch: c.Epoch, Throttled: t.throttled})
	}
	w.measure(req)
	return req, w.cutOff
}

// measure adds usage reports when they are due.
func (w *Worker) measure(req *structs.WorkerSync) {
	now := time.Now()
	if now.Sub(w.lastUsage) < usageEvery {
		return
	}
	w.lastUsage = now
	for _, t := range w.tasks {
		if now.Sub(t.changed) < usageAge {
			continue
		}
		var neighbours []string
		for _, o := range w.tasks {
			if o != t {
				neighbours = append(neighbours, o.cmd.Entry)
			}
		}
		req.Usage = append(req.Usage, t.usage(neighbours))
	}
}

// notify wakes the sync loop.
func (w *Worker) notify() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// event queues an event until it is acknowledged. The lock is held.
func (w *Worker) event(t structs.EventType, c structs.WorkerCommand, fill func(*structs.TaskEvent)) {
	w.eventSeq++
	ev := structs.TaskEvent{Seq: w.eventSeq, Type: t, Task: c.Task, Attempt: c.Attempt, Epoch: c.Epoch}
	if fill != nil {
		fill(&ev)
	}
	w.events = append(w.events, ev)
	w.notify()
}
