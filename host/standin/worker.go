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
	// usageAge is the age reported for usage measurements. A task that was
	// started, throttled or unthrottled more recently is not reported.
	usageAge = 5 * time.Second
	// usageInterval is the interval between usage measurements.
	usageInterval = 5 * time.Second
	// retryDelay is the delay before a failed call is retried.
	retryDelay = 50 * time.Millisecond
	// syncTimeout is the time limit of a call. For a sync, the time for which
	// the server may hold it is added.
	syncTimeout = 3 * time.Second
)

// WorkerConfig describes a stand-in worker.
type WorkerConfig struct {
	ID       structs.WorkerID
	Rack     string
	Domain   string
	Capacity structs.Resources
	// Platform lists the base URLs of the hosts' platform listeners.
	Platform []string
	Client   *http.Client
	// Ledger records what the worker runs; it may be nil.
	Ledger *Ledger
	// Incarnation is the first incarnation; 0 means the current time in
	// milliseconds.
	Incarnation uint64
}

// Worker is a stand-in worker. Its tasks only run timers, but it honours leases,
// start windows and commands as a real worker does.
type Worker struct {
	cfg  WorkerConfig
	api  apiClient
	wake chan struct{} // interrupts a sync that the server holds open

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
	isolated    bool
}

// NewWorker returns a worker that has not been started; call Run to register it.
func NewWorker(cfg WorkerConfig) *Worker {
	if cfg.Incarnation == 0 {
		cfg.Incarnation = uint64(time.Now().UnixMilli())
	}
	if cfg.Client == nil {
		cfg.Client = http.DefaultClient
	}
	return &Worker{
		cfg:         cfg,
		api:         apiClient{client: cfg.Client, bases: cfg.Platform},
		wake:        make(chan struct{}, 1),
		incarnation: cfg.Incarnation,
		tasks:       map[structs.TaskID]*task{},
	}
}

// SetFailStarts sets whether the worker fails every task that it is told to
// start.
func (w *Worker) SetFailStarts(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failStarts = on
}

// SetIsolated isolates the worker from the platform listeners, as a network
// partition does, or ends the isolation. Its tasks keep running until their lease
// ends.
func (w *Worker) SetIsolated(on bool) {
	w.mu.Lock()
	w.isolated = on
	w.mu.Unlock()
	w.interruptSync()
}

// Running returns the number of tasks on the worker.
func (w *Worker) Running() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.tasks)
}

// Run registers the worker and syncs until ctx is cancelled. The tasks that are
// then still running end without being reported, as after a crash.
func (w *Worker) Run(ctx context.Context) {
	defer w.discardTasks()
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
			w.waitRetry(ctx)
		}
	}
}

// waitRetry waits for retryDelay or until ctx is cancelled.
func (w *Worker) waitRetry(ctx context.Context) {
	t := time.NewTimer(retryDelay)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// errIsolated is the result of calls while the worker is isolated.
var errIsolated = errors.New("isolated from the platform listeners")

func (w *Worker) register(ctx context.Context) error {
	w.mu.Lock()
	req := structs.WorkerRegister{ID: w.cfg.ID, Incarnation: w.incarnation, Rack: w.cfg.Rack, Domain: w.cfg.Domain, Capacity: w.cfg.Capacity, Guards: true}
	isIsolated := w.isolated
	w.mu.Unlock()
	if isIsolated {
		return errIsolated
	}
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	return w.api.post(ctx, "/v1/workers/"+string(w.cfg.ID)+"/register", req, nil)
}

// sync sends one report and applies the reply. It reports whether the worker is
// still registered.
func (w *Worker) sync(ctx context.Context) (bool, error) {
	req, isIsolated := w.buildReport()
	if isIsolated {
		return true, errIsolated
	}
	ctx, cancel := context.WithTimeout(ctx, syncTimeout+structs.WorkerSyncHold)
	defer cancel()
	stop := w.cancelOnEvent(ctx, cancel)
	sent := time.Now()
	var reply structs.WorkerSyncReply
	err := w.api.post(ctx, "/v1/workers/"+string(w.cfg.ID)+"/sync", req, &reply)
	if aborted := stop(); aborted && err != nil {
		return true, nil
	}
	if err != nil {
		return true, err
	}
	return w.applyReply(sent, &reply), nil
}

// cancelOnEvent cancels the running sync as soon as there is an event to report,
// so that events need not wait until the server answers a sync that it holds
// open. stop ends the watch and reports whether the sync was cancelled by it.
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

// buildReport builds the next sync request and reports whether the worker is
// isolated.
func (w *Worker) buildReport() (*structs.WorkerSync, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	select {
	case <-w.wake: // this report contains the events that were signalled
	default:
	}
	w.seq++
	req := &structs.WorkerSync{ID: w.cfg.ID, Incarnation: w.incarnation, Seq: w.seq, Session: w.session, WaitMS: structs.WorkerSyncHold.Milliseconds()}
	req.Events = append(req.Events, w.events...)
	for _, t := range w.tasks {
		c := t.cmd
		req.Running = append(req.Running, structs.RunningTask{Task: c.Task, Attempt: c.Attempt, Epoch: c.Epoch, Throttled: t.throttled})
	}
	w.addUsage(req)
	return req, w.isolated
}

// addUsage adds usage reports to req if usageInterval has passed. The caller
// holds mu.
func (w *Worker) addUsage(req *structs.WorkerSync) {
	now := time.Now()
	if now.Sub(w.lastUsage) < usageInterval {
		return
	}
	w.lastUsage = now
	for _, t := range w.tasks {
		if now.Sub(t.lastUpdate) < usageAge {
			continue
		}
		var neighbours []string
		for _, other := range w.tasks {
			if other != t {
				neighbours = append(neighbours, other.cmd.Entry)
			}
		}
		req.Usage = append(req.Usage, t.usageReport(neighbours))
	}
}

// interruptSync interrupts a held sync, so that the next report is sent at once.
func (w *Worker) interruptSync() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// queueEvent queues an event, which is sent with every sync until it is
// acknowledged. The caller holds mu.
func (w *Worker) queueEvent(t structs.EventType, c structs.WorkerCommand, fill func(*structs.TaskEvent)) {
	w.eventSeq++
	ev := structs.TaskEvent{Seq: w.eventSeq, Type: t, Task: c.Task, Attempt: c.Attempt, Epoch: c.Epoch}
	if fill != nil {
		fill(&ev)
	}
	w.events = append(w.events, ev)
	w.interruptSync()
}
