package main

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"gooseberrypond/core/leader"
	"gooseberrypond/core/route"
	"gooseberrypond/core/state"
	"gooseberrypond/core/structs"
)

const (
	ticksPerSecond = int(time.Second / structs.TickInterval)
	// usageEvery is the period of usage reports in seconds, as in package standin.
	usageEvery = 5
	// shortRun is the run time of the tasks that are started at peak rate.
	shortRun = 2 * time.Second
	// inFlight is the number of requests that each entry host keeps in flight.
	inFlight = 30
	// fillPerTick is the number of tasks submitted per tick while filling.
	fillPerTick = 400
	// perJob is the number of tasks in a job.
	perJob = 14
)

// worker is a simulated worker: the state that it reports to the leader.
type worker struct {
	number int
	reg    structs.WorkerRegister
	// due requests a sync ahead of the regular one.
	up, due bool
	// held is set while the leader holds the last sync without an answer.
	held     bool
	last     *structs.WorkerSync
	session  uint64
	running  []structs.WorkerCommand
	events   []structs.TaskEvent
	eventSeq uint64
}

// ending is a short task that is to finish at a known tick.
type ending struct {
	wk  *worker
	cmd structs.WorkerCommand
}

// world is a leader with simulated workers and entry hosts on a virtual clock.
type world struct {
	meter
	t       *state.Tables
	core    *leader.Core
	now     time.Time
	tick    int
	index   uint64
	workers []*worker
	byID    map[structs.WorkerID]*worker
	hosts   []*route.Router
	// ends holds the short tasks by the tick at which they finish.
	ends map[int][]ending
	// rate is the number of short tasks to start per second, and owed the number
	// that is due but not yet submitted.
	rate   float64
	owed   float64
	jobs   int
	starts int
}

// newWorld returns a world of n workers after the long-running tasks have started.
// With urgent set, services are urgent and preempt batch work.
func newWorld(n int, urgent bool) (*world, error) {
	w := &world{t: state.New(), now: time.UnixMilli(1_800_000_000_000), byID: map[structs.WorkerID]*worker{}, ends: map[int][]ending{}}
	w.meter = newMeter()
	var names []string
	for i := range entryHosts {
		names = append(names, fmt.Sprintf("entry-%d", i+1))
		w.hosts = append(w.hosts, route.New(names[i], uint64(i+1)))
	}
	w.core = leader.New(w.now, w.t, names)
	w.propose(&structs.Command{PutCatalogue: &structs.PutCatalogue{ChangeID: "first", Catalogue: catalogue(urgent)}})
	for i := range n {
		wk := &worker{number: i, reg: structs.WorkerRegister{
			ID: structs.WorkerID(fmt.Sprintf("worker-%04d", i)), Rack: fmt.Sprintf("rack-%d", i/perRack), Domain: fmt.Sprintf("domain-%d", i*domains/n),
			Capacity: structs.Resources{CPUMilli: 32_000, MemoryMB: 125_000, Accelerators: int64(1 + i%2)}, Guards: true,
		}}
		w.workers, w.byID[wk.reg.ID] = append(w.workers, wk), wk
		w.register(wk)
	}
	w.run(time.Second)
	return w, w.fill(n)
}

// catalogue returns a catalogue with three entries for each owner: a service, long
// batch work and short batch work.
func catalogue(urgent bool) structs.Catalogue {
	c := structs.Catalogue{Owners: map[string]structs.Owner{}, Entries: map[string]structs.Entry{}}
	for i := range owners {
		owner := fmt.Sprintf("team-%03d", i)
		c.Owners[owner] = structs.Owner{TokenSHA256: []string{strings.Repeat("0123456789abcdef", 4)}, Quota: structs.Resources{CPUMilli: 1 << 30}, Concurrency: 200}
		size := structs.Resources{CPUMilli: int64(500 + 100*(i%10)), MemoryMB: int64(1000 + 300*(i%10))}
		service, batch := size, size
		if i%20 == 0 {
			batch.Accelerators = 1
		}
		c.Entries["service-"+owner] = structs.Entry{Owner: owner, Class: structs.ClassLatency, Resources: service, Urgent: urgent}
		c.Entries["batch-"+owner] = structs.Entry{Owner: owner, Class: structs.ClassBatch, Resources: batch, ExpectedRuntimeMS: 3_600_000}
		c.Entries["short-"+owner] = structs.Entry{Owner: owner, Class: structs.ClassBatch, Resources: size, ExpectedRuntimeMS: shortRun.Milliseconds()}
	}
	return c
}

// submit submits a job of count tasks for the next owner in turn. kind selects the
// owner's entry: service, batch or short.
func (w *world) submit(kind string, count int) {
	w.jobs++
	owner := fmt.Sprintf("team-%03d", w.jobs%owners)
	spec := structs.JobSpec{Entry: kind + "-" + owner, Kind: structs.KindBatch, Count: count, Payload: []byte(`{"run_ms":2000}`)}
	if kind == "service" {
		spec.Kind = structs.KindService
	}
	job := structs.SubmitJob{Owner: owner, Key: fmt.Sprint("job-", w.jobs), Spec: spec}
	w.propose(&structs.Command{SubmitJobs: &structs.SubmitJobs{Jobs: []structs.SubmitJob{job}}})
}

// fill submits the long-running tasks in portions and waits until all run.
func (w *world) fill(n int) error {
	services, all := n*fullServices/fullWorkers, n*fullTasks/fullWorkers
	for done := 0; done < all; {
		for batch := 0; batch < fillPerTick && done < all; {
			kind, left := "service", services-done
			if done >= services {
				kind, left = "batch", all-done
			}
			count := min(perJob, left)
			w.submit(kind, count)
			done, batch = done+count, batch+count
		}
		w.step()
	}
	for range 120 * ticksPerSecond {
		if w.step(); w.running() >= all {
			return nil
		}
	}
	return fmt.Errorf("%d of %d tasks run after two minutes", w.running(), all)
}

// running returns the number of tasks on all workers.
func (w *world) running() int {
	n := 0
	for _, wk := range w.workers {
		n += len(wk.running)
	}
	return n
}

// run simulates the given time.
func (w *world) run(d time.Duration) {
	for range int(d / structs.TickInterval) {
		w.step()
	}
}

// step simulates one tick.
func (w *world) step() {
	w.tick++
	w.now = w.now.Add(structs.TickInterval)
	for w.owed += w.rate / float64(ticksPerSecond); w.owed >= perJob; w.owed -= perJob {
		w.submit("short", perJob)
	}
	var cmds []*structs.Command
	w.ticks = append(w.ticks, w.timed("leader tick", func() { cmds = w.core.Tick(w.now, w.now.UnixMilli()) }))
	for _, cmd := range cmds {
		w.propose(cmd)
	}
	for _, e := range w.ends[w.tick] {
		w.finish(e)
	}
	delete(w.ends, w.tick)
	for _, wk := range w.workers {
		if wk.up && (wk.due || w.tick%ticksPerSecond == wk.number%ticksPerSecond) {
			w.sync(wk)
		}
	}
	for i := range w.hosts {
		if w.tick%(int(structs.EntrySyncInterval/structs.TickInterval)) == i%10 {
			w.entrySync(i)
		}
	}
	if w.tick%ticksPerSecond == 0 {
		w.announce()
	}
}

// propose encodes a command as it is stored in the log, decodes it again and
// applies it. Workers with new assignments or evictions become due for a sync, as
// the leader then answers the sync that it holds.
func (w *world) propose(cmd *structs.Command) {
	w.index++
	cmd.Version, cmd.NowMS = structs.CommandVersion, w.now.UnixMilli()
	var data []byte
	w.timed("leader encode", func() { data, _ = cbor.Marshal(cmd) })
	w.count("log", len(data))
	var read structs.Command
	var res structs.Result
	w.timed("decode and apply", func() {
		if err := cbor.Unmarshal(data, &read); err != nil {
			panic(err) // the encoding was produced above
		}
		res = w.t.Apply(w.index, &read)
	})
	w.timed("leader applied", func() { w.core.Applied(&read, res) })
	if cmd.Plan == nil {
		return
	}
	for _, a := range cmd.Plan.Assign {
		w.byID[a.Worker].due = true
	}
	for _, e := range cmd.Plan.Evict {
		if task := w.t.Task(e.Ref.Task); task != nil && task.Worker != "" {
			w.byID[task.Worker].due = true
		}
	}
}

// register starts a new incarnation of a worker.
func (w *world) register(wk *worker) {
	wk.reg.Incarnation++
	wk.up, wk.held, wk.events, wk.eventSeq, wk.running = true, false, nil, 0, nil
	reg := wk.reg
	w.propose(&structs.Command{RegisterWorker: &reg})
}

// sync ends the held sync of a worker, if any, and sends the next one.
func (w *world) sync(wk *worker) {
	wk.due = false
	if wk.held {
		w.poll(wk, true)
	}
	req := w.report(wk)
	w.encodeWorker(req)
	var events *structs.Command
	var reply structs.WorkerSyncReply
	var refused *structs.Error
	w.timed("leader worker sync", func() { reply, events, refused = w.core.WorkerSync(w.now, req) })
	if refused != nil || reply.Reregister {
		wk.up, wk.running = false, nil
		return
	}
	wk.last = req
	if events != nil {
		w.propose(events)
	}
	w.poll(wk, false)
}

// poll asks the leader for the commands that answer a worker's sync, as a control
// host does when it receives the sync and when it stops holding it. Without
// commands, the sync stays held unless over is set.
func (w *world) poll(wk *worker, over bool) {
	var reply structs.WorkerSyncReply
	w.timed("leader worker sync", func() { reply, _ = w.core.WorkerPoll(w.now, wk.last) })
	wk.held = !over && len(reply.Commands) == 0
	if wk.held {
		return
	}
	w.encodeReply(&reply)
	wk.session = reply.Session
	wk.events = slices.DeleteFunc(wk.events, func(e structs.TaskEvent) bool { return e.Seq <= reply.AckedSeq })
	for _, c := range reply.Commands {
		w.obey(wk, c)
	}
}

// report returns the next sync of a worker.
func (w *world) report(wk *worker) *structs.WorkerSync {
	req := &structs.WorkerSync{ID: wk.reg.ID, Incarnation: wk.reg.Incarnation, Seq: uint64(w.tick), Session: wk.session, WaitMS: 1000}
	req.Events = append(req.Events, wk.events...)
	var entries []string
	for _, c := range wk.running {
		req.Running = append(req.Running, structs.RunningTask{Task: c.Task, Attempt: c.Attempt, Epoch: c.Epoch})
		entries = append(entries, c.Entry)
	}
	if w.tick/ticksPerSecond%usageEvery == wk.number%usageEvery && w.tick%ticksPerSecond == wk.number%ticksPerSecond {
		for i, c := range wk.running {
			others := slices.Delete(slices.Clone(entries), i, i+1)
			req.Usage = append(req.Usage, structs.Usage{Task: c.Task, AgeMS: 5000, Used: c.Reserved, Slowdown: 1.02, Neighbours: others})
		}
	}
	return req
}

// obey executes a command of the leader on a worker.
func (w *world) obey(wk *worker, c structs.WorkerCommand) {
	at := slices.IndexFunc(wk.running, func(r structs.WorkerCommand) bool { return r.Task == c.Task })
	switch c.Type {
	case structs.CommandStart:
		if at >= 0 {
			return
		}
		wk.running = append(wk.running, c)
		w.starts++
		wk.event(structs.EventStarted, c)
		if strings.HasPrefix(c.Entry, "short") {
			end := w.tick + int(shortRun/structs.TickInterval)
			w.ends[end] = append(w.ends[end], ending{wk, c})
		}
	case structs.CommandCheckpoint, structs.CommandStop:
		if at >= 0 {
			wk.running = slices.Delete(wk.running, at, at+1)
			wk.event(structs.EventCheckpointed, c)
		}
	}
	wk.due = true
}

// finish ends a short task, unless its worker no longer runs this attempt.
func (w *world) finish(e ending) {
	for i, c := range e.wk.running {
		if c.Task == e.cmd.Task && c.Epoch == e.cmd.Epoch {
			e.wk.running = slices.Delete(e.wk.running, i, i+1)
			e.wk.event(structs.EventFinished, c)
			e.wk.due = true
			return
		}
	}
}

// event queues a task event for the next sync.
func (wk *worker) event(kind structs.EventType, c structs.WorkerCommand) {
	wk.eventSeq++
	wk.events = append(wk.events, structs.TaskEvent{Seq: wk.eventSeq, Type: kind, Task: c.Task, Attempt: c.Attempt, Epoch: c.Epoch})
}

// announce renews the announcement of one upstream for each worker that is up.
func (w *world) announce() {
	for _, wk := range w.workers {
		if !wk.up {
			continue
		}
		owner := fmt.Sprintf("team-%03d", wk.number%owners)
		u := structs.Upstream{Name: fmt.Sprintf("upstream-%04d", wk.number), Entry: "service-" + owner, Address: fmt.Sprintf("10.0.%d.%d:8080", wk.number/250, wk.number%250),
			Domain: wk.reg.Domain, Slots: 8, Connections: 60}
		w.timed("leader announce", func() { _ = w.core.Announce(w.now, u) })
	}
}

// entrySync syncs an entry host with the leader and admits requests until the
// host has inFlight of them.
func (w *world) entrySync(i int) {
	r := w.hosts[i]
	var req *structs.EntrySync
	w.timed("entry host", func() { req = r.PrepareSync(w.now) })
	var view structs.EntryView
	var refused *structs.Error
	w.timed("leader entry sync", func() { view, refused = w.core.EntrySync(w.now, 1, req) })
	if refused != nil {
		panic(refused)
	}
	w.encodeView(req, &view)
	w.timed("entry host", func() {
		r.ApplyView(w.now, &view)
		r.Tick(w.now)
	})
	for k := 0; r.InFlight() < inFlight && k < inFlight; k++ {
		owner := fmt.Sprintf("team-%03d", k*7%owners)
		r.Admit(w.now, route.Request{Owner: owner, Entry: "service-" + owner})
	}
}
