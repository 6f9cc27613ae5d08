package dispatcher

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"

	"gooseberrypond/core/dispatch"
	"gooseberrypond/core/graph"
	"gooseberrypond/core/structs"
	"gooseberrypond/store/replica"
)

// partlySilent is a WorkerClient. While silent is set, the calls to its other workers than
// sound get no answer until their leadership ends.
type partlySilent struct {
	fakeWorkers
	silent atomic.Bool
	sound  string
	closed atomic.Int64

	mu sync.Mutex
	// called has the workers that were called, waiting counts their open calls.
	called  map[string]bool
	waiting int
}

func (w *partlySilent) Hold(ctx context.Context, h dispatch.Hold) (*dispatch.HoldReply, error) {
	if !w.silent.Load() || h.ID == w.sound {
		return w.fakeWorkers.Hold(ctx, h)
	}
	w.note(h.ID, 1)
	<-ctx.Done()
	w.note(h.ID, -1)
	return nil, ctx.Err()
}

func (w *partlySilent) note(id string, k int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.called[id] = true
	w.waiting += k
}

func (w *partlySilent) calledWorkers() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.called)
}

func (w *partlySilent) CloseConnections() { w.closed.Add(1) }

// Guards against a new leader that answers heartbeats, or places work, only once all
// workers have answered it.
func TestRecoveryDoesNotWaitForAllWorkers(t *testing.T) {
	const workers = 10 * maxNewWorkers
	w := &partlySilent{sound: "w7", called: map[string]bool{}}
	d, log := startSingleReplicaWith(t, w)
	ctx := context.Background()
	d.PutConfig(ctx, &graph.Config{Version: 1, Pools: []graph.Pool{{Name: "p", Guards: true}},
		Queues: []graph.Queue{{Name: "q", Host: "h", PathPrefix: "/q/", Pool: "p", Attempts: 3, DeadlineFactor: 2, TargetLatencyMS: 1000, TimeoutMS: 1}}})
	reports := make([]graph.WorkerReport, workers)
	for i := range reports {
		reports[i] = report(i)
	}
	if a := d.Beats(ctx, reports); a.Code != Done {
		t.Fatalf("heartbeats answered %s, want done", a.Code)
	}
	w.silent.Store(true)
	log.changes <- replica.LeaderChange{}
	waitUntil(t, "leadership ends", func() bool { return !d.Dump().Leading })
	log.changes <- replica.LeaderChange{Leading: true, Term: 1}
	waitUntil(t, "this replica leads again", func() bool { return d.Dump().Leading })

	for i := range reports {
		reports[i].Seq++
		if a := d.Beat(ctx, reports[i]); a.Code != Done {
			t.Fatalf("heartbeat of a worker that has not answered: %s, want done", a.Code)
		}
	}
	if a := d.PutConfig(ctx, &graph.Config{Version: 2, Pools: []graph.Pool{{Name: "p", Guards: true}},
		Queues: []graph.Queue{{Name: "q", Host: "h", PathPrefix: "/q/", Pool: "p", Attempts: 3, DeadlineFactor: 2, TargetLatencyMS: 1000, TimeoutMS: 1}}}); a.Code != Done {
		t.Errorf("configuration answered %s, want done", a.Code)
	}
	if a := d.Submit(ctx, "h", fmt.Sprintf("/q/%016x", 1), graph.Spec{Steps: []graph.Step{{Count: 1, Need: structs.Resources{CPUMilli: 1000, MemoryMB: 1000}, EstimateMS: 60_000}}}); a.Code != Done {
		t.Errorf("submit answered %s, want done", a.Code)
	}
	waitUntil(t, "the worker that answers has the task", func() bool {
		d.Beats(ctx, reports) // without them the silent workers would count as having left
		d.mu.Lock()
		defer d.mu.Unlock()
		return len(d.tables.WorkerByID("w7").Attempts) == 1
	})
	waitUntil(t, "all workers are called", func() bool { return w.calledWorkers() == workers-1 })
}

// Guards against a deposed leader that keeps its connections to workers, and calls on
// them, beside those of its successor.
func TestDeposedLeaderClosesConnections(t *testing.T) {
	w := &partlySilent{called: map[string]bool{}}
	w.silent.Store(true)
	d, log := startSingleReplicaWith(t, w)
	d.Beat(context.Background(), report(1))
	waitUntil(t, "the worker is called", func() bool { return w.calledWorkers() == 1 })
	if n := w.closed.Load(); n != 0 {
		t.Errorf("connections were closed %d times while this replica leads", n)
	}
	log.changes <- replica.LeaderChange{}
	waitUntil(t, "connections are closed", func() bool { return w.closed.Load() == 1 })
	waitUntil(t, "the open call has ended", func() bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		return w.waiting == 0
	})
}
