package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gooseberrypond/core/graph"
	"gooseberrypond/core/structs"
)

// rig is a leader's core with its tables. Proposals are committed immediately.
type rig struct {
	t      *testing.T
	now    time.Time
	tables *graph.Tables
	core   *Core
	index  uint64
	lists  map[graph.Handle]*fakeLists
}

// fakeLists holds the runs that a simulated worker lists.
type fakeLists struct {
	running  map[graph.TaskRef]RunningRow
	finished []FinishedRow
	next     uint64
	token    uint64
}

var testLimits = Limits{LeaseMax: 10 * time.Second, StopTimeout: time.Second, Interference: 4 * time.Second}

func newRig(t *testing.T) *rig {
	t.Helper()
	r := &rig{t: t, now: time.Unix(1_700_000_000, 0), tables: graph.New(), lists: map[graph.Handle]*fakeLists{}}
	r.apply(&graph.Batch{Config: &graph.Config{
		Version: 1,
		Queues:  []graph.Queue{{Name: "q", Host: "h", PathPrefix: "/q/", Pool: "p", Attempts: 3, DeadlineFactor: 2, TargetLatencyMS: 1000, TimeoutMS: 3000}},
		Pools:   []graph.Pool{{Name: "p", Guards: true}},
	}})
	r.elect(1)
	return r
}

// newDueRig returns a rig with a second queue, whose jobs must start at once to be in time.
func newDueRig(t *testing.T) *rig {
	t.Helper()
	r := newRig(t)
	config := *r.tables.Config()
	due := config.Queues[0]
	due.Name, due.PathPrefix, due.DeadlineFactor, due.TargetLatencyMS = "due", "/due/", 1, 0
	config.Version, config.Queues = config.Version+1, append(slices.Clone(config.Queues), due)
	r.apply(&graph.Batch{Config: &config})
	return r
}

func (r *rig) elect(term uint64) { r.core = New(r.now, r.tables, term, testLimits) }

func (r *rig) apply(b *graph.Batch) *graph.Result {
	r.index++
	b.NowMS = r.now.UnixMilli()
	data, err := b.Encode()
	if err != nil {
		r.t.Fatal(err)
	}
	if b, err = graph.DecodeBatch(data); err != nil {
		r.t.Fatal(err)
	}
	res := r.tables.Apply(r.index, b)
	if r.core != nil {
		r.core.Applied(r.now, b, res)
	}
	return res
}

// commitPlan makes a plan and commits it.
func (r *rig) commitPlan() *graph.Result { return r.apply(r.core.Plan(r.now, r.now.UnixMilli())) }

func (r *rig) advance(d time.Duration) { r.now = r.now.Add(d) }

func worker(id string, born int64) graph.WorkerReport {
	return graph.WorkerReport{ID: id, Born: born, Address: id + ":80", Pool: "p", Domain: "d1",
		Labels: []string{"a", "r1"}, Capacity: structs.Resources{CPUMilli: 8000, MemoryMB: 8000}}
}

// register adds a worker and answers its first call.
func (r *rig) register(id string, born int64) graph.Handle {
	r.t.Helper()
	r.core.Beat(r.now, worker(id, born))
	r.commitPlan()
	w := r.tables.WorkerByID(id)
	if w == nil {
		r.t.Fatalf("worker %s was not recorded", id)
	}
	r.lists[w.Handle] = &fakeLists{running: map[graph.TaskRef]RunningRow{}}
	r.hold(w.Handle)
	return w.Handle
}

// restart sends the report of a later incarnation. The open call to the one before broke
// when that ended.
func (r *rig) restart(rep graph.WorkerReport) {
	if w := r.tables.WorkerByID(rep.ID); w != nil && r.core.workers[w.Handle] != nil {
		r.core.HoldFailed(r.now, Hold{Target: Target{Worker: w.Handle}})
	}
	r.core.Beat(r.now, rep)
}

// hold answers the next hold call to a worker with its lists.
func (r *rig) hold(h graph.Handle) {
	r.t.Helper()
	hold, _, ok := r.core.NextHold(r.now, h)
	if !ok {
		r.t.Fatalf("no call to worker %d", h)
	}
	if hold.Address == "" {
		hold = r.core.hold(r.now, r.core.workers[h], 0)
	}
	r.answer(hold)
}

func (r *rig) answer(hold Hold) {
	l := r.lists[hold.Worker]
	l.token = max(l.token, hold.Token)
	reply := &HoldReply{Born: r.tables.Worker(hold.Worker).Born, ClockMS: r.now.UnixMilli()}
	for _, row := range l.running {
		reply.Running = append(reply.Running, row)
	}
	for _, row := range l.finished {
		if row.Seq > hold.AckCursor {
			reply.Finished = append(reply.Finished, row)
		}
	}
	r.core.HoldDone(r.now, r.now, hold, reply)
}

// endRun ends a run on its worker.
func (r *rig) endRun(h graph.Handle, ref graph.TaskRef, kind graph.EndKind) {
	l := r.lists[h]
	row := l.running[ref]
	delete(l.running, ref)
	l.next++
	l.finished = append(l.finished, FinishedRow{Seq: l.next, Task: ref, Run: row.Run, Kind: kind})
}

// acceptOrders carries out and accepts all due orders, also those that wait for
// another order to the same worker.
func (r *rig) acceptOrders() []Order {
	var all []Order
	for {
		orders := r.core.Orders(r.now)
		if len(orders) == 0 {
			return all
		}
		for _, o := range orders {
			r.accept(o)
		}
		all = append(all, orders...)
	}
}

func (r *rig) accept(o Order) {
	l := r.lists[o.Worker]
	switch o.Kind {
	case OrderStart:
		l.running[o.Task] = RunningRow{Task: o.Task, Run: o.Run, Percent: 100}
	case OrderStop:
		if _, ok := l.running[o.Task]; ok {
			r.endRun(o.Worker, o.Task, graph.EndStopped)
		}
	}
	r.core.OrderDone(r.now, o, OrderReply{Outcome: Accepted, ClockMS: r.now.UnixMilli()})
}

// dropOrders leaves all due orders unanswered.
func (r *rig) dropOrders() []Order {
	orders := r.core.Orders(r.now)
	for _, o := range orders {
		r.core.OrderDone(r.now, o, OrderReply{Outcome: NoAnswer})
	}
	return orders
}

func step(count int, cpu int64) graph.Step {
	return graph.Step{Count: count, Need: structs.Resources{CPUMilli: cpu, MemoryMB: 100}, EstimateMS: 1000}
}

func (r *rig) submit(id graph.JobID, steps ...graph.Step) *graph.Job {
	r.apply(&graph.Batch{Submits: []graph.Spec{{ID: id, Queue: "q", Payload: "x", Steps: steps}}})
	return r.tables.Job(id)
}

// attempts returns the job's attempts.
func (r *rig) attempts(id graph.JobID) []*graph.Attempt {
	var out []*graph.Attempt
	for _, o := range r.tables.Job(id).Occurrences {
		for _, s := range o.Steps {
			for i := range s.Tasks {
				out = append(out, s.Tasks[i].Attempts...)
			}
		}
	}
	return out
}

func rid(i int) graph.JobID { return graph.JobID(fmt.Sprintf("%016x", i)) }

// leave makes a worker leave at once; its runs are released.
func (r *rig) leave(h graph.Handle) {
	ws := r.core.workers[h]
	r.apply(&graph.Batch{Workers: []graph.WorkerChange{{Report: ws.w.WorkerReport, Left: true}}, Releases: releasesOf(ws)})
	delete(r.lists, h)
}

// play lets time pass in ticks of 50 ms; each order is carried out, nothing ends.
func (r *rig) play(d time.Duration) {
	for end := r.now.Add(d); r.now.Before(end); {
		r.commitPlan()
		r.acceptOrders()
		r.advance(50 * time.Millisecond)
		for h := range r.lists {
			r.hold(h)
		}
	}
}

func workerOf(id string, cpu int64, labels ...string) graph.WorkerReport {
	w := worker(id, 1)
	w.Capacity = structs.Resources{CPUMilli: cpu, MemoryMB: 8000}
	w.Labels = labels
	return w
}

func (r *rig) registerReport(rep graph.WorkerReport) graph.Handle {
	r.core.Beat(r.now, rep)
	r.commitPlan()
	w := r.tables.WorkerByID(rep.ID)
	r.lists[w.Handle] = &fakeLists{running: map[graph.TaskRef]RunningRow{}}
	r.hold(w.Handle)
	return w.Handle
}

// put places all tasks of a job's only step on a worker.
func (r *rig) put(id graph.JobID, h graph.Handle) {
	r.t.Helper()
	var b graph.Batch
	s := r.tables.Job(id).Occurrences[0].Steps[0]
	for i := range s.Tasks {
		b.Starts = append(b.Starts, graph.Start{Task: s.Ref(i), Run: s.Tasks[i].LastRun + 1, Worker: h})
	}
	if n := len(r.apply(&b).Started); n != len(s.Tasks) {
		r.t.Fatalf("%d of %d starts", n, len(s.Tasks))
	}
	r.acceptOrders()
	r.hold(h)
}

func (r *rig) submitTo(queue string, id graph.JobID, steps ...graph.Step) {
	r.apply(&graph.Batch{Submits: []graph.Spec{{ID: id, Queue: queue, Payload: "x", Steps: steps}}})
}

func longStep(count int, cpu int64, estimate time.Duration) graph.Step {
	s := step(count, cpu)
	s.EstimateMS = estimate.Milliseconds()
	return s
}

// objectiveMS returns the time within which a job should complete: its critical
// path by the caller's estimates times the queue's deadline factor, plus the
// queue's target latency.
func objectiveMS(j *graph.Job) int64 {
	ends := make([]int64, len(j.Spec.Steps))
	var chain int64
	for i := range j.Spec.Steps {
		s := &j.Spec.Steps[i]
		for _, d := range s.DependsOn {
			ends[i] = max(ends[i], ends[d])
		}
		ends[i] += s.EstimateMS
		chain = max(chain, ends[i])
	}
	return int64(j.Queue.DeadlineFactor*float64(chain)) + j.Queue.TargetLatencyMS
}
