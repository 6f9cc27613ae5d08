package dispatcher

import (
	"context"
	"sync"
	"testing"
	"time"

	"gooseberrypond/core/dispatch"
	"gooseberrypond/core/graph"
)

// runningWorker is a worker that lists a run as running from its start until a stop of it is
// answered.
type runningWorker struct {
	fakeWorkers
	mu      sync.Mutex
	running []dispatch.RunningRow
	started chan struct{}
	stopped bool
}

func (w *runningWorker) Hold(ctx context.Context, h dispatch.Hold) (*dispatch.HoldReply, error) {
	reply, err := w.fakeWorkers.Hold(ctx, h)
	w.mu.Lock()
	defer w.mu.Unlock()
	reply.Running = w.running
	return reply, err
}

func (w *runningWorker) Order(ctx context.Context, o dispatch.Order) dispatch.OrderReply {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch o.Kind {
	case dispatch.OrderStart:
		w.running = append(w.running, dispatch.RunningRow{Task: o.Task, Run: o.Run})
		close(w.started)
	case dispatch.OrderStop:
		w.running, w.stopped = nil, true
	}
	return w.fakeWorkers.Order(ctx, o)
}

// Guards against a worker whose notice that it leaves is acknowledged while its runs go on: once
// it has the acknowledgement it ends, and if that is lost it works on. A repeated notice is
// acknowledged too, also after the first.
func TestNoticeIsAcknowledgedOnceTheRunsAreStopped(t *testing.T) {
	w := &runningWorker{started: make(chan struct{})}
	d, _ := startSingleReplicaWith(t, w)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	d.PutConfig(ctx, &graph.Config{Version: 1, Pools: []graph.Pool{{Name: "p", Guards: true}},
		Queues: []graph.Queue{{Name: "q", Host: "h", PathPrefix: "/q/", Pool: "p", Attempts: 3, DeadlineFactor: 2, TargetLatencyMS: 1000, TimeoutMS: 1}}})
	r := report(1)
	d.Beat(ctx, r)
	d.Submit(ctx, "h", "/q/00000000000000aa", graph.Spec{Steps: []graph.Step{{Count: 1}}})
	select {
	case <-w.started:
	case <-ctx.Done():
		t.Fatal("setup: no start")
	}
	r.Draining, r.RemainingMS, r.Seq = true, time.Minute.Milliseconds(), 2
	d.Beat(ctx, r)
	began := time.Now()
	var notices sync.WaitGroup
	for range 3 {
		notices.Go(func() {
			if a := d.Leave(ctx, r.ID); a.Code != Done {
				t.Errorf("notice answered %s, want done", a.Code)
			}
			w.mu.Lock()
			defer w.mu.Unlock()
			// On a machine that is too busy the bound ends the wait.
			if took := time.Since(began); !w.stopped && took < 700*time.Millisecond {
				t.Errorf("notice acknowledged after %s, while a run goes on", took)
			}
		})
	}
	notices.Wait()
	if a := d.Leave(ctx, r.ID); a.Code != Done {
		t.Errorf("repeated notice answered %s, want done", a.Code)
	}
}
