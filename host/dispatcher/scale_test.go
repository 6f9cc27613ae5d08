package dispatcher

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"gooseberrypond/core/dispatch"
	"gooseberrypond/core/graph"
	"gooseberrypond/core/structs"
	"gooseberrypond/store/replica"
)

// simulatedFleet is a WorkerClient whose workers run tasks in real time, without a
// network. A task's payload is its duration; 0s never ends.
type simulatedFleet struct {
	start time.Time
	holds atomic.Int64
	// open counts the calls in progress, most is its highest value.
	open, most atomic.Int64
	// firstStart is when the first start since reset was received.
	firstStart atomic.Pointer[time.Time]

	mu      sync.Mutex
	workers map[graph.Handle]*simulatedWorker
}

type simulatedWorker struct {
	mu       sync.Mutex
	running  map[graph.TaskRef]*simulatedRun
	finished []dispatch.FinishedRow
	lastSeq  uint64
	ended    chan struct{}
}

type simulatedRun struct {
	run     int
	started time.Time
	lasts   time.Duration
}

func newSimulatedFleet() *simulatedFleet {
	return &simulatedFleet{start: time.Now(), workers: map[graph.Handle]*simulatedWorker{}}
}

func (f *simulatedFleet) worker(h graph.Handle) *simulatedWorker {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.workers[h]
	if w == nil {
		w = &simulatedWorker{running: map[graph.TaskRef]*simulatedRun{}, ended: make(chan struct{}, 1)}
		f.workers[h] = w
	}
	return w
}

func (f *simulatedFleet) clockMS() int64 { return time.Since(f.start).Milliseconds() + 1 }

// Hold implements WorkerClient.
func (f *simulatedFleet) Hold(ctx context.Context, h dispatch.Hold) (*dispatch.HoldReply, error) {
	f.holds.Add(1)
	f.most.Store(max(f.most.Load(), f.open.Add(1)))
	defer f.open.Add(-1)
	w := f.worker(h.Worker)
	if w.forget(h.AckCursor) && h.WaitMS > 0 {
		timer := time.NewTimer(time.Duration(h.WaitMS) * time.Millisecond)
		defer timer.Stop()
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-w.ended:
		case <-timer.C:
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	reply := &dispatch.HoldReply{Born: 1, ClockMS: f.clockMS(), Finished: append([]dispatch.FinishedRow(nil), w.finished...)}
	for ref, r := range w.running {
		row := dispatch.RunningRow{Task: ref, Run: r.run, Percent: 100, Measure: 4}
		if r.lasts > 0 {
			row.Percent = int(100 * time.Since(r.started) / r.lasts)
		}
		reply.Running = append(reply.Running, row)
	}
	return reply, nil
}

// forget drops the ends up to the cursor and reports whether none is left.
func (w *simulatedWorker) forget(cursor uint64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for len(w.finished) > 0 && w.finished[0].Seq <= cursor {
		w.finished = w.finished[1:]
	}
	return len(w.finished) == 0
}

// CloseConnections implements WorkerClient.
func (*simulatedFleet) CloseConnections() {}

// Order implements WorkerClient.
func (f *simulatedFleet) Order(_ context.Context, o dispatch.Order) dispatch.OrderReply {
	w := f.worker(o.Worker)
	switch o.Kind {
	case dispatch.OrderStart:
		now := time.Now()
		f.firstStart.CompareAndSwap(nil, &now)
		lasts, err := time.ParseDuration(o.Payload)
		if err != nil {
			return dispatch.OrderReply{Outcome: dispatch.RefusedBad}
		}
		w.begin(o, lasts)
	case dispatch.OrderStop:
		w.end(o.Task, o.Run, graph.EndStopped)
	}
	return dispatch.OrderReply{Outcome: dispatch.Accepted, ClockMS: f.clockMS()}
}

func (w *simulatedWorker) begin(o dispatch.Order, lasts time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.running[o.Task] = &simulatedRun{run: o.Run, started: time.Now(), lasts: lasts}
	if lasts > 0 {
		time.AfterFunc(lasts, func() { w.end(o.Task, o.Run, graph.EndDone) })
	}
}

func (w *simulatedWorker) end(task graph.TaskRef, run int, kind graph.EndKind) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if r := w.running[task]; r == nil || r.run != run {
		return
	}
	delete(w.running, task)
	w.lastSeq++
	w.finished = append(w.finished, dispatch.FinishedRow{Seq: w.lastSeq, Task: task, Run: run, Kind: kind})
	notify(w.ended)
}

// fleetLoad is the work that a fleet gets.
type fleetLoad struct {
	// standing is the number of long-running tasks.
	standing int
	// urgent and filling are the jobs a second, and their tasks in a step.
	urgent, filling           float64
	urgentTasks, fillingTasks int
}

// loadedFleet is a leader with its simulated workers and callers.
type loadedFleet struct {
	d     *Dispatcher
	fleet *simulatedFleet
	ctx   context.Context
	jobs  int
	// stop ends the leader.
	stop context.CancelFunc
}

func newLoadedFleet(ctx context.Context, workers int) *loadedFleet {
	f := &loadedFleet{fleet: newSimulatedFleet(), ctx: ctx}
	f.lead(nil)
	var queues []graph.Queue
	for name, priority := range map[string]int{"urgent": 0, "standing": 0, "filling": 2} {
		queues = append(queues, graph.Queue{Name: name, Host: "h", PathPrefix: "/" + name + "/", Pool: "p", Attempts: 3, DeadlineFactor: 2, TargetLatencyMS: 1000, TimeoutMS: 3000, Priority: priority})
	}
	f.d.PutConfig(ctx, &graph.Config{Version: 1, Queues: queues, Pools: []graph.Pool{{Name: "p", Guards: true}}})
	var wg sync.WaitGroup
	for i := range workers {
		wg.Go(func() {
			r := report(i)
			r.Capacity = structs.Resources{CPUMilli: 32000, MemoryMB: 128000}
			f.d.Beat(ctx, r)
		})
	}
	wg.Wait()
	return f
}

// lead starts a leader with the tables of a snapshot.
func (f *loadedFleet) lead(snapshot []byte) {
	f.d = New(Config{Workers: f.fleet, Logger: zerolog.Nop(), Limits: dispatch.Limits{LeaseMax: 10 * time.Second, StopTimeout: time.Second, Interference: 4 * time.Second}})
	if err := f.d.Restore(snapshot); err != nil {
		panic(err)
	}
	ctx, cancel := context.WithCancel(f.ctx)
	f.stop = cancel
	log := &singleReplicaLog{d: f.d, lease: true, changes: make(chan replica.LeaderChange, 1)}
	go f.d.Run(ctx, log)
	log.changes <- replica.LeaderChange{Leading: true, Term: 1}
	for !f.d.Dump().Leading {
		time.Sleep(time.Millisecond)
	}
}

// submit hands in a job of steps that depend on each other.
func (f *loadedFleet) submit(queue string, lasts time.Duration, step graph.Step, steps int) {
	f.jobs++
	s := graph.Spec{Payload: lasts.String()}
	for i := range steps {
		st := step
		if i > 0 {
			st.DependsOn = []int{i - 1}
		}
		s.Steps = append(s.Steps, st)
	}
	go f.d.Submit(f.ctx, "h", fmt.Sprintf("/%s/%016x", queue, f.jobs), s)
}

func (f *loadedFleet) placeStanding(tasks int) {
	const perJob, images = 24, 16
	for i := 0; i < tasks; i += perJob {
		f.submit("standing", 0, graph.Step{Count: perJob, Need: structs.Resources{CPUMilli: 6400, MemoryMB: 13000}, EstimateMS: 400, LongRunning: true, Image: fmt.Sprint("s", i/perJob%images), TailTargetMS: 10}, 1)
	}
	for waiting := 1; waiting > 0; {
		time.Sleep(200 * time.Millisecond)
		f.d.mu.Lock()
		waiting = len(f.d.tables.Waiting())
		f.d.mu.Unlock()
	}
}

// play hands in urgent and filling jobs for the given time.
func (f *loadedFleet) play(load fleetLoad, lasts time.Duration) {
	const ticksPerSecond, images = 100, 30
	ticker := time.NewTicker(time.Second / ticksPerSecond)
	defer ticker.Stop()
	var urgent, filling float64
	for begin := time.Now(); time.Since(begin) < lasts; <-ticker.C {
		for urgent += load.urgent / ticksPerSecond; urgent >= 1; urgent-- {
			f.submit("urgent", time.Duration(500+rand.IntN(1000))*time.Millisecond, graph.Step{Count: load.urgentTasks, Need: structs.Resources{CPUMilli: 9800, MemoryMB: 20000}, EstimateMS: 1000}, 1+rand.IntN(2))
		}
		for filling += load.filling / ticksPerSecond; filling >= 1; filling-- {
			f.submit("filling", time.Duration(1500+rand.IntN(2400))*time.Millisecond, graph.Step{Count: load.fillingTasks, Need: structs.Resources{CPUMilli: 3500, MemoryMB: 6400}, EstimateMS: 2700, Filler: true, Checkpoints: true, Image: fmt.Sprint("f", f.jobs%images)}, 2)
		}
	}
}

func (f *loadedFleet) stats() dispatch.Stats {
	f.d.mu.Lock()
	defer f.d.mu.Unlock()
	return f.d.lead.core.Stats
}

// processorTime returns the processor time that this process has used.
func processorTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkLeaderOfAFleet measures the processor time of the leader's decisions,
// with simulated workers and without a network, at a load that grows with the fleet.
func BenchmarkLeaderOfAFleet(b *testing.B) {
	const largest, runTime = 1800, 8 * time.Second
	for _, workers := range []int{100, 490, largest} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			share := float64(workers) / largest
			load := fleetLoad{standing: int(4500 * share), urgent: 16.5 * share, urgentTasks: 13, filling: 30.2 * share, fillingTasks: 40}
			for b.Loop() {
				ctx, cancel := context.WithCancel(context.Background())
				f := newLoadedFleet(ctx, workers)
				f.placeStanding(load.standing)
				before, beforeHolds, used := f.stats(), f.fleet.holds.Load(), processorTime(b)
				f.play(load, runTime)
				used = processorTime(b) - used
				after := f.stats()
				cancel()
				starts := float64(after.Starts - before.Starts)
				b.ReportMetric(starts/runTime.Seconds(), "starts/s")
				b.ReportMetric(float64(f.fleet.holds.Load()-beforeHolds)/runTime.Seconds(), "holds/s")
				b.ReportMetric(used.Seconds()/runTime.Seconds(), "cores")
				b.ReportMetric(float64(used.Microseconds())/max(starts, 1), "µs/start")
				b.ReportMetric(float64(after.Waiting), "waiting")
			}
		})
	}
}

// BenchmarkRestartOfAFleet measures what a new leader does from its snapshot until the
// first start, and until every worker has answered, without a network.
func BenchmarkRestartOfAFleet(b *testing.B) {
	const runsPerWorker = 10
	for _, workers := range []int{300, 1000, 3000} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			for b.Loop() {
				ctx, cancel := context.WithCancel(context.Background())
				f := newLoadedFleet(ctx, workers)
				f.placeSmall(workers * runsPerWorker)
				measureRestart(b, f, workers)
				cancel()
			}
		})
	}
}

// placeSmall hands in long-running tasks of which ten fit on a worker, and waits until
// they run.
func (f *loadedFleet) placeSmall(tasks int) {
	const perJob = 50
	for i := 0; i < tasks; i += perJob {
		f.submit("standing", 0, graph.Step{Count: perJob, Need: structs.Resources{CPUMilli: 2000, MemoryMB: 4000}, EstimateMS: 400, LongRunning: true}, 1)
	}
	for running := 0; running < tasks; time.Sleep(50 * time.Millisecond) {
		running = 0
		f.fleet.mu.Lock()
		for _, w := range f.fleet.workers {
			w.mu.Lock()
			running += len(w.running)
			w.mu.Unlock()
		}
		f.fleet.mu.Unlock()
	}
}

func measureRestart(b *testing.B, f *loadedFleet, workers int) {
	start := time.Now()
	snapshot, err := f.d.Snapshot()
	if err != nil {
		b.Fatal(err)
	}
	encoded := time.Since(start)
	f.stop()
	for f.fleet.open.Load() > 0 {
		time.Sleep(time.Millisecond)
	}
	f.fleet.most.Store(0)
	f.fleet.firstStart.Store(nil)
	holds, used, start := f.fleet.holds.Load(), processorTime(b), time.Now()
	f.lead(snapshot)
	led := time.Since(start)
	f.submit("urgent", time.Second, graph.Step{Count: 1, Need: structs.Resources{CPUMilli: 100, MemoryMB: 100}, EstimateMS: 1000}, 1)
	for f.fleet.firstStart.Load() == nil {
		time.Sleep(time.Millisecond)
	}
	b.ReportMetric(float64(f.fleet.holds.Load()-holds), "calls-to-first-start")
	b.ReportMetric(float64(f.fleet.firstStart.Load().Sub(start).Milliseconds()), "ms-to-first-start")
	for f.stats().Usable < workers {
		time.Sleep(time.Millisecond)
	}
	b.ReportMetric(float64(time.Since(start).Milliseconds()), "ms-to-last-worker")
	b.ReportMetric(float64((processorTime(b) - used).Milliseconds()), "cpu-ms-to-last-worker")
	b.ReportMetric(float64(f.fleet.most.Load()), "open-calls")
	b.ReportMetric(float64(led.Milliseconds()), "ms-to-lead")
	b.ReportMetric(float64(encoded.Milliseconds()), "ms-to-encode")
	b.ReportMetric(float64(len(snapshot))/1e6, "snapshot-MB")
}
