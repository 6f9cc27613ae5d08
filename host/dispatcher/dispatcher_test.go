package dispatcher

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"gooseberrypond/core/dispatch"
	"gooseberrypond/core/graph"
	"gooseberrypond/core/structs"
	"gooseberrypond/store/replica"
)

// singleReplicaLog is a Log with a single replica. It commits immediately.
type singleReplicaLog struct {
	mu    sync.Mutex
	d     *Dispatcher
	index uint64
	lease bool
	// term is the term of the lease; 0 means 1.
	term uint64
	fail error
	// rejects makes Propose refuse a batch for its content.
	rejects func(*graph.Batch) bool
	// unknown makes Propose report an unknown outcome of the batches for which it is
	// true, although they are committed.
	unknown func(*graph.Batch) bool
	changes chan replica.LeaderChange
}

func (l *singleReplicaLog) Propose(_ context.Context, data []byte) (any, error) {
	l.mu.Lock()
	fail, unknown, rejects := l.fail, l.unknown, l.rejects
	l.index++
	index := l.index
	l.mu.Unlock()
	if fail != nil {
		return nil, fail
	}
	if len(data) > replica.MaxProposalBytes {
		return nil, replica.ErrTooLarge
	}
	if b, err := graph.DecodeBatch(data); err == nil && rejects != nil && rejects(b) {
		return nil, replica.ErrTooLarge
	}
	res := l.d.Apply(index, data)
	if b, err := graph.DecodeBatch(data); err == nil && unknown != nil && unknown(b) {
		return nil, errors.Wrap(replica.ErrUnknownOutcome, "stopped waiting for the commit")
	}
	return res, nil
}

func (l *singleReplicaLog) ReadBarrier(context.Context) error {
	if _, ok := l.LeaseTerm(); !ok {
		return replica.ErrNotLeader
	}
	return nil
}

func (l *singleReplicaLog) LeaseTerm() (uint64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(1, l.term), l.lease
}

func (l *singleReplicaLog) LeaderChanges() <-chan replica.LeaderChange { return l.changes }

func (l *singleReplicaLog) set(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f()
}

// fakeWorkers is a WorkerClient whose workers accept every order and run nothing.
type fakeWorkers struct{}

func (fakeWorkers) Hold(ctx context.Context, h dispatch.Hold) (*dispatch.HoldReply, error) {
	if h.WaitMS > 0 {
		select {
		case <-ctx.Done():
		case <-time.After(time.Millisecond):
		}
	}
	return &dispatch.HoldReply{Born: 1, ClockMS: time.Now().UnixMilli()}, nil
}

// CloseConnections implements WorkerClient.
func (fakeWorkers) CloseConnections() {}

func (fakeWorkers) Order(context.Context, dispatch.Order) dispatch.OrderReply {
	return dispatch.OrderReply{Outcome: dispatch.Accepted, ClockMS: time.Now().UnixMilli()}
}

func startSingleReplica(t *testing.T) (*Dispatcher, *singleReplicaLog) {
	t.Helper()
	return startSingleReplicaWith(t, fakeWorkers{})
}

func startSingleReplicaWith(t *testing.T, workers WorkerClient) (*Dispatcher, *singleReplicaLog) {
	t.Helper()
	d := New(Config{Workers: workers, Logger: zerolog.Nop(), Limits: dispatch.Limits{LeaseMax: 10 * time.Second, Interference: 4 * time.Second}})
	log := &singleReplicaLog{d: d, lease: true, changes: make(chan replica.LeaderChange, 1)}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		d.Run(ctx, log)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	log.changes <- replica.LeaderChange{Leading: true, Term: 1}
	for !d.Dump().Leading {
		time.Sleep(time.Millisecond)
	}
	return d, log
}

func report(i int) graph.WorkerReport {
	id := fmt.Sprintf("w%d", i)
	return graph.WorkerReport{ID: id, Born: 1, Address: id + ":80", Pool: "p", Domain: "d", Capacity: structs.Resources{CPUMilli: 1000, MemoryMB: 1000}, Seq: 1}
}

// Guards against a crash of the leader by unsynchronized access to its state
// while workers register and leave concurrently. Needs the race detector to
// fail.
func TestConcurrentHeartbeatsAndLeaves(t *testing.T) {
	d, _ := startSingleReplica(t)
	ctx := context.Background()
	var wg sync.WaitGroup
	for i := range 20 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for round := range 20 {
				r := report(100*i + round)
				if a := d.Beat(ctx, r); a.Code != Done {
					t.Errorf("heartbeat answered %s, want done", a.Code)
				}
				time.Sleep(time.Duration(i%5) * time.Millisecond) // lets the hold loop of the worker start
				if a := d.Leave(ctx, r.ID); a.Code != Done {
					t.Errorf("leave answered %s, want done", a.Code)
				}
			}
		}()
	}
	wg.Wait()
}

// Guards against refusing a change that may be in the log, and against
// acknowledging one that may not be: only a change that cannot be in the log is
// refused, and nothing is answered without the leader's lease.
func TestAnswerCodesMatchOutcome(t *testing.T) {
	d, log := startSingleReplica(t)
	ctx := context.Background()
	spec := graph.Spec{Steps: []graph.Step{{Count: 1}}}
	if a := d.Submit(ctx, "h", "/q/00000000000000aa", spec); a.Code != NoConfig {
		t.Errorf("submit without a configuration answered %s, want no config", a.Code)
	}
	cfg := &graph.Config{Version: 5, Document: []byte("five"), Queues: []graph.Queue{{Name: "q", Host: "h", PathPrefix: "/q/", Pool: "p", TimeoutMS: 1}}}
	if a := d.PutConfig(ctx, cfg); a.Code != Done {
		t.Fatalf("configuration answered %s, want done", a.Code)
	}
	if a := d.PutConfig(ctx, &graph.Config{Version: 4, Document: []byte("four")}); a.Code != Done {
		t.Errorf("older configuration answered %s, want done", a.Code)
	}
	if a := d.GetConfig(t.Context()); string(a.Config) != "five" {
		t.Errorf("configuration read back is %q, want \"five\"", a.Config)
	}
	log.set(func() { log.fail = errors.Wrap(replica.ErrBusy, "full") })
	if a := d.Submit(ctx, "h", "/q/00000000000000aa", spec); a.Code != NotApplied {
		t.Errorf("submit that was not appended answered %s, want not taken", a.Code)
	}
	log.set(func() { log.fail = errors.Wrap(replica.ErrUnknownOutcome, "leadership ended") })
	if a := d.Submit(ctx, "h", "/q/00000000000000aa", spec); a.Code != Unknown {
		t.Errorf("submit that may be in the log answered %s, want unknown", a.Code)
	}
	log.set(func() { log.fail = nil })
	if a := d.Submit(ctx, "h", "/q/00000000000000aa", spec); a.Code != Done {
		t.Errorf("submit answered %s, want done", a.Code)
	}
	if a := d.Look("h", "/q/00000000000000aa"); a.State != graph.JobQueued {
		t.Errorf("job state is %q, want queued", a.State)
	}
	if a := d.Submit(ctx, "h", "/q/short", spec); a.Code != Invalid {
		t.Errorf("submit with a malformed id answered %s, want invalid", a.Code)
	}
	log.set(func() { log.lease = false })
	if a := d.Look("h", "/q/00000000000000aa"); a.Code != NotLeader {
		t.Errorf("job read without the lease answered %s, want not leader", a.Code)
	}
	if a := d.GetConfig(t.Context()); a.Code != NotLeader {
		t.Errorf("configuration read without the lease answered %s, want not leader", a.Code)
	}
}

// Guards against answers from stale tables: if the lease ends during a call,
// another leader may have changed them. An example is a 404 for a queue that has
// been configured in the meantime.
func TestNoAnswerAfterLeaseEnds(t *testing.T) {
	d, log := startSingleReplica(t)
	for _, code := range []Code{NoQueue, NoConfig, NoJob, Invalid, Done} {
		log.set(func() { log.lease = true })
		a := d.withLeader(context.Background(), func(*leadership) (Answer, bool) {
			log.set(func() { log.lease = false })
			return answer(code, ""), false
		})
		if a.Code != NotLeader {
			t.Errorf("%s was answered although the lease had ended, want not leader", code)
		}
	}
}

// recordingWorkers accepts every order and passes it on.
type recordingWorkers struct {
	fakeWorkers
	orders chan dispatch.Order
}

func (w *recordingWorkers) Order(ctx context.Context, o dispatch.Order) dispatch.OrderReply {
	select {
	case w.orders <- o:
	default:
	}
	return w.fakeWorkers.Order(ctx, o)
}

// Guards against a task that never runs: the proposal that contains its start ends
// without a known outcome, is committed after all, and the leader that stays in office
// neither sends the start nor gives the task another worker.
func TestStartOfProposalWithUnknownOutcomeIsSent(t *testing.T) {
	workers := &recordingWorkers{orders: make(chan dispatch.Order, 16)}
	d, log := startSingleReplicaWith(t, workers)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	lost := make(chan struct{}, 1)
	log.set(func() {
		log.unknown = func(b *graph.Batch) bool {
			if len(b.Starts) == 0 || len(lost) > 0 {
				return false
			}
			lost <- struct{}{}
			return true
		}
	})
	d.PutConfig(ctx, &graph.Config{Version: 1, Pools: []graph.Pool{{Name: "p", Guards: true}},
		Queues: []graph.Queue{{Name: "q", Host: "h", PathPrefix: "/q/", Pool: "p", Attempts: 3, DeadlineFactor: 2, TargetLatencyMS: 1000, TimeoutMS: 1}}})
	d.Beat(ctx, report(1))
	d.Submit(ctx, "h", "/q/00000000000000aa", graph.Spec{Steps: []graph.Step{{Count: 1, EstimateMS: 1000}}})
	select {
	case o := <-workers.orders:
		if o.Kind != dispatch.OrderStart {
			t.Errorf("first order is %s, want start", o.Kind)
		}
	case <-ctx.Done():
		t.Error("no start was sent for a task whose start is in the log")
	}
	if len(lost) == 0 {
		t.Error("no proposal with a start ended without a known outcome")
	}
}

// Guards against one report that no worker can have sent, among those that a host relays
// together, which takes the others with it.
func TestImpossibleReportLeavesTheOthers(t *testing.T) {
	d, _ := startSingleReplica(t)
	odd, far := report(2), report(3)
	odd.Address = "w2:99999"
	far.Born = time.Now().Add(48 * time.Hour).UnixMilli()
	if a := d.Beats(t.Context(), []graph.WorkerReport{odd, report(1), far}); a.Code != Done {
		t.Fatalf("heartbeats answered %s, want done", a.Code)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.tables.WorkerByID("w1") == nil || d.tables.WorkerByID("w2") != nil || d.tables.WorkerByID("w3") != nil {
		t.Error("recorded workers are not just the possible one")
	}
}

// Guards against an explanation of another job, or by a host that does not know.
func TestExplainNamesWhatAJobWaitsFor(t *testing.T) {
	d, _ := startSingleReplica(t)
	submitPending(t, d)
	if _, ok := d.Explain("ffffffffffffffff"); ok {
		t.Error("an unknown job is explained")
	}
	x, ok := d.Explain("0000000000000003")
	if !ok || x.ID != "0000000000000003" || x.Queue != "q" || len(x.Steps) != 1 || x.Steps[0].Tasks != 1 {
		t.Errorf("explained as %+v, %t", x, ok)
	}
	d.stopLeading()
	if _, ok := d.Explain("0000000000000003"); ok {
		t.Error("a host that does not lead explains a job")
	}
}
