package leader

import (
	"bytes"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"gooseberrypond/core/state"
	"gooseberrypond/core/structs"
)

const (
	// dayStep is the virtual time between two ticks of a scenario.
	dayStep = 200 * time.Millisecond
	// daySyncSteps is the number of steps between two regular syncs of a worker.
	daySyncSteps = 5
	// deskSteps is the number of steps between two syncs of the entry hosts.
	deskSteps = 3
)

var dayCapacity = structs.Resources{CPUMilli: 32_000, MemoryMB: 125 << 10, Accelerators: 7}

// day runs a scripted scenario in virtual time: a Core with package sched and
// package grant, on real tables, with simulated workers and entry hosts in the
// numbers of a real deployment. A scenario always gives the same summary.
type day struct {
	t       *testing.T
	tables  *state.Tables
	core    *Core
	now     time.Time
	index   uint64
	step    int
	workers []*dayWorker
	jobs    map[string]structs.JobID
	// hosts and upstreams are the simulated routing side, set by addDesk.
	hosts                []*dayHost
	upstreams            []structs.Upstream
	electedAt, changedAt time.Time
	// runMS is the mean run time of a task by entry; tasks of entries without
	// one run until they are stopped.
	runMS map[string]int64
	// noisy is the entry whose tasks slow down the other tasks on their worker.
	noisy string
	// out is the summary that compare checks against a golden file.
	out bytes.Buffer

	// outSince is the time since which each domain has been out of service.
	outSince map[string]time.Time
	// startsIn counts the starts by domain since the last line of the summary.
	startsIn map[string]int
	// outIn counts the starts in each domain while it is out.
	outIn map[string]int
	// starts counts the starts by task and attempt.
	starts map[structs.TaskID]map[int64]int
	// ckpt is the newest checkpoint of each task in the log.
	ckpt map[structs.TaskID]string
	// saved lists the checkpointed attempts of each task.
	saved    map[structs.TaskID][]int64
	finished map[structs.TaskID]int
	// evicted counts evictions by reason, and failed counts failed attempts,
	// since the last line of the summary.
	evicted map[string]int
	failed  int
}

// dayWorker simulates a worker: its syncs and its running tasks.
type dayWorker struct {
	id          structs.WorkerID
	rack        string
	domain      string
	incarnation uint64
	seq, event  uint64
	session     uint64
	// down is set while the worker is lost; fails makes every start fail.
	down, fails bool
	// delay postpones replies, as a partitioned control or entry host would.
	delay time.Duration
	// late holds at most one postponed reply, to be delivered at lateAt.
	late   []simReply
	lateAt time.Time
	// open is the sync that the leader holds open.
	open    *structs.WorkerSync
	sentAt  time.Time
	running map[structs.TaskID]*dayTask
	events  []structs.TaskEvent
	starts  int
}

type dayTask struct {
	run            structs.RunningTask
	entry          string
	size           structs.Resources
	doneMS, fullMS int64
}

func newDay(t *testing.T, domains []string, workers, perRack int, cat structs.Catalogue) *day {
	d := &day{
		t: t, tables: state.New(), now: epoch, jobs: map[string]structs.JobID{},
		outSince: map[string]time.Time{}, startsIn: map[string]int{}, outIn: map[string]int{},
		starts: map[structs.TaskID]map[int64]int{}, ckpt: map[structs.TaskID]string{},
		saved: map[structs.TaskID][]int64{}, finished: map[structs.TaskID]int{},
		evicted: map[string]int{},
	}
	d.newCore()
	d.put("start", cat)
	for i := range workers {
		rack := i / perRack
		w := &dayWorker{id: structs.WorkerID(fmt.Sprintf("w%02d", i)), rack: fmt.Sprint("rack", rack), domain: domains[rack%len(domains)]}
		d.workers = append(d.workers, w)
		d.register(w)
	}
	return d
}

// note appends a line with the virtual time to the summary.
func (d *day) note(format string, args ...any) {
	fmt.Fprintf(&d.out, "%6.1fs  %s\n", d.now.Sub(epoch).Seconds(), fmt.Sprintf(format, args...))
}

// apply commits and applies a command at once.
func (d *day) apply(cmd *structs.Command) structs.Result {
	d.index++
	cmd.Version, cmd.NowMS = structs.CommandVersion, d.now.UnixMilli()
	res := d.tables.Apply(d.index, cmd)
	d.core.Applied(cmd, res)
	if cmd.Plan != nil {
		for _, e := range cmd.Plan.Evict {
			reason, _, _ := strings.Cut(e.Reason, ";")
			d.evicted[reason]++
		}
	}
	if res.Change != nil && res.Change.Accepted {
		d.changedAt = d.now
	}
	for _, e := range res.Ended {
		d.ended(e.Event)
	}
	return res
}

// ended records the end of an attempt that the tables have accepted.
func (d *day) ended(ev structs.TaskEvent) {
	switch ev.Type {
	case structs.EventCheckpointed:
		d.ckpt[ev.Task] = ev.Checkpoint
		d.saved[ev.Task] = append(d.saved[ev.Task], ev.Attempt)
	case structs.EventFinished:
		d.finished[ev.Task]++
	case structs.EventFailed:
		d.failed++
	}
}

// elect replaces the leader. The new one starts with the replicated tables only.
func (d *day) elect() {
	d.newCore()
	d.note("a new leader is elected")
}

func (d *day) put(id string, cat structs.Catalogue) *structs.ChangeResult {
	base := uint64(0)
	if c := d.tables.Catalogue(); c != nil {
		base = c.Version
	}
	return d.apply(&structs.Command{PutCatalogue: &structs.PutCatalogue{ChangeID: id, BaseVersion: base, Catalogue: cat}}).Change
}

func (d *day) register(w *dayWorker) {
	w.incarnation++
	w.seq, w.event, w.session, w.down = 0, 0, 0, false
	w.running, w.events, w.late, w.open = map[structs.TaskID]*dayTask{}, nil, nil, nil
	d.apply(&structs.Command{RegisterWorker: &structs.WorkerRegister{
		ID: w.id, Incarnation: w.incarnation, Rack: w.rack, Domain: w.domain, Capacity: dayCapacity, Guards: true,
	}})
}

// submit submits a job and requires the same job ID for each use of its key.
func (d *day) submit(owner, key string, spec structs.JobSpec) structs.JobID {
	res := d.apply(&structs.Command{SubmitJobs: &structs.SubmitJobs{Jobs: []structs.SubmitJob{{Owner: owner, Key: key, Spec: spec}}}}).Submits[0]
	if res.Error != nil {
		d.t.Fatalf("submit %s: %v", key, res.Error)
	}
	if first, ok := d.jobs[key]; ok != res.Existing || ok && first != res.Job {
		d.t.Errorf("key %s named job %q, now %+v", key, first, res)
	}
	d.jobs[key] = res.Job
	return res.Job
}

// domain takes a domain out of service or returns it to service.
func (d *day) domain(name string, out bool) {
	d.apply(&structs.Command{SetDomain: &structs.SetDomain{ChangeID: fmt.Sprint(name, d.step), Domain: name, Out: out}})
	if out {
		d.outSince[name], d.outIn[name] = d.now, 0
		d.note("domain %s out", name)
		return
	}
	d.note("domain %s back; %d starts in it while it was out", name, d.outIn[name])
	delete(d.outSince, name)
}

// run advances the virtual time to the given number of seconds since the start.
// It adds a line to the summary each minute and checks the tables every 20 s.
func (d *day) run(until float64) {
	for d.now.Sub(epoch).Seconds() < until {
		d.now = d.now.Add(dayStep)
		d.step++
		for _, cmd := range d.core.Tick(d.now, d.now.UnixMilli()) {
			d.apply(cmd)
		}
		for i, w := range d.workers {
			if !w.down {
				d.work(w)
				d.talk(w, (d.step+i)%daySyncSteps == 0)
			}
		}
		if d.step%deskSteps == 0 {
			d.syncDesk()
		}
		if d.step%int(20*time.Second/dayStep) == 0 {
			if err := d.tables.Check(); err != nil {
				d.t.Fatal(err)
			}
		}
		if d.step%int(time.Minute/dayStep) == 0 {
			d.minute()
		}
	}
}

// minute adds the counts of the past minute to the summary and resets them.
func (d *day) minute() {
	counts := map[structs.JobStatus]int{}
	for _, key := range slices.Sorted(maps.Keys(d.jobs)) {
		for _, task := range d.tables.TasksOf(d.jobs[key]) {
			counts[task.Status]++
		}
	}
	d.note("tasks %v, failures %d, starts %v, evictions %v, slots %v", counts, d.failed, d.startsIn, d.evicted, d.deskLine())
	d.failed = 0
	clear(d.evicted)
	clear(d.startsIn)
}

// work advances the worker's tasks by one step and ends those that are done.
func (d *day) work(w *dayWorker) {
	for _, id := range w.ids() {
		task := w.running[id]
		if task.doneMS += dayStep.Milliseconds(); task.fullMS > 0 && task.doneMS >= task.fullMS {
			w.end(id, structs.EventFinished, "")
		}
	}
}

// ids returns the running tasks in a fixed order.
func (w *dayWorker) ids() []structs.TaskID {
	return slices.SortedFunc(maps.Keys(w.running), func(a, b structs.TaskID) int {
		if a.Job != b.Job {
			return bytes.Compare([]byte(a.Job), []byte(b.Job))
		}
		return int(a.Index - b.Index)
	})
}

func (w *dayWorker) end(id structs.TaskID, kind structs.EventType, checkpoint string) {
	w.record(w.running[id].run, kind, checkpoint)
	delete(w.running, id)
}

func (w *dayWorker) record(run structs.RunningTask, kind structs.EventType, checkpoint string) {
	w.event++
	w.events = append(w.events, structs.TaskEvent{Seq: w.event, Type: kind, Task: run.Task, Attempt: run.Attempt, Epoch: run.Epoch, Checkpoint: checkpoint})
}

// talk delivers a postponed reply when it is due. Otherwise the worker sends a
// sync if one is due, if it has events or if no sync is open; else it polls the
// open sync for commands.
func (d *day) talk(w *dayWorker, due bool) {
	switch {
	case len(w.late) > 0:
		if !d.now.Before(w.lateAt) {
			m := w.late[0]
			w.late = nil
			d.take(w, m.reply, d.now.Sub(w.sentAt) > structs.StartWindow)
		}
	case due || len(w.events) > 0 || w.open == nil:
		d.sync(w)
	default:
		if reply, err := d.core.WorkerPoll(d.now, w.open); err == nil && len(reply.Commands) > 0 {
			w.open = nil
			d.take(w, reply, d.now.Sub(w.sentAt) > structs.StartWindow)
		}
	}
}

func (d *day) sync(w *dayWorker) {
	w.seq++
	req := &structs.WorkerSync{ID: w.id, Incarnation: w.incarnation, Seq: w.seq, Session: w.session, Events: slices.Clone(w.events)}
	for _, id := range w.ids() {
		req.Running = append(req.Running, w.running[id].run)
	}
	if w.seq%10 == 0 {
		req.Usage = d.usage(w)
	}
	w.open, w.sentAt = req, d.now
	_, cmd, err := d.core.WorkerSync(d.now, req)
	if err != nil {
		d.t.Fatalf("sync of %s: %v", w.id, err)
	}
	if cmd != nil {
		d.apply(cmd)
	}
	reply, err := d.core.WorkerPoll(d.now, req)
	if err != nil {
		d.t.Fatalf("poll of %s: %v", w.id, err)
	}
	if w.delay > 0 {
		w.late, w.lateAt = []simReply{{req, reply}}, d.now.Add(w.delay)
		return
	}
	if len(reply.Commands) > 0 {
		w.open = nil
	}
	d.take(w, reply, false)
}

// usage returns a report on every task. Each noisy neighbour adds 0.15 to the
// slowdown, and a task uses 90% of its entry's resources whatever its
// reservation is.
func (d *day) usage(w *dayWorker) []structs.Usage {
	var out []structs.Usage
	for _, id := range w.ids() {
		declared := d.tables.Catalogue().Entries[w.running[id].entry].Resources
		u := structs.Usage{Task: id, AgeMS: 15_000, Slowdown: 1, Used: structs.Resources{CPUMilli: declared.CPUMilli * 9 / 10, MemoryMB: declared.MemoryMB * 9 / 10, Accelerators: declared.Accelerators}}
		for _, other := range w.ids() {
			if other == id {
				continue
			}
			u.Neighbours = append(u.Neighbours, w.running[other].entry)
			if w.running[other].entry == d.noisy {
				u.Slowdown += 0.15
			}
		}
		out = append(out, u)
	}
	return out
}

// take handles a reply. A late reply starts no tasks.
func (d *day) take(w *dayWorker, reply structs.WorkerSyncReply, late bool) {
	if reply.Reregister {
		d.note("worker %s registers again", w.id)
		d.register(w)
		return
	}
	w.session = reply.Session
	w.events = slices.DeleteFunc(w.events, func(e structs.TaskEvent) bool { return e.Seq <= reply.AckedSeq })
	for _, cmd := range reply.Commands {
		task := w.running[cmd.Task]
		same := task != nil && task.run.Epoch == cmd.Epoch
		switch {
		case cmd.Type == structs.CommandStart && !same && !late:
			d.start(w, cmd)
		case cmd.Type == structs.CommandCheckpoint && same:
			w.end(cmd.Task, structs.EventCheckpointed, fmt.Sprintf("%d/%d", task.doneMS, cmd.Epoch))
		case cmd.Type == structs.CommandStop && same:
			w.end(cmd.Task, structs.EventStopped, "")
		}
	}
}

// start starts an attempt on a worker. It checks the start against the tasks
// that run on all workers, not against the leader's tables.
func (d *day) start(w *dayWorker, cmd structs.WorkerCommand) {
	for _, o := range d.workers {
		if !o.down && o.running[cmd.Task] != nil {
			d.t.Fatalf("task %s starts on %s while it runs on %s", cmd.Task, w.id, o.id)
		}
	}
	if since, isOut := d.outSince[w.domain]; isOut {
		d.outIn[w.domain]++
		if age := d.now.Sub(since); age > 3*time.Second {
			d.t.Errorf("task %s starts in domain %s, %v after it went out", cmd.Task, w.domain, age)
		}
	}
	if d.starts[cmd.Task] == nil {
		d.starts[cmd.Task] = map[int64]int{}
	}
	if d.starts[cmd.Task][cmd.Attempt]++; d.starts[cmd.Task][cmd.Attempt] > 1 {
		d.t.Errorf("task %s attempt %d starts twice", cmd.Task, cmd.Attempt)
	}
	if cmd.Checkpoint != d.ckpt[cmd.Task] {
		d.t.Errorf("task %s resumes from %q, the log has %q", cmd.Task, cmd.Checkpoint, d.ckpt[cmd.Task])
	}
	d.startsIn[w.domain]++
	w.starts++
	run := structs.RunningTask{Task: cmd.Task, Attempt: cmd.Attempt, Epoch: cmd.Epoch}
	if w.fails {
		w.record(run, structs.EventFailed, "")
		return
	}
	done, _, _ := bytes.Cut([]byte(cmd.Checkpoint), []byte("/"))
	doneMS, _ := strconv.ParseInt(string(done), 10, 64)
	w.running[cmd.Task] = &dayTask{run: run, entry: cmd.Entry, size: cmd.Reserved, doneMS: doneMS, fullMS: d.fullMS(cmd)}
	w.record(run, structs.EventStarted, "")
	var sum structs.Resources
	for _, task := range w.running {
		sum = sum.Add(task.size)
	}
	if !sum.Fits(dayCapacity) {
		d.t.Errorf("worker %s runs %v of %v", w.id, sum, dayCapacity)
	}
}

// fullMS returns the run time of a task: 80% to 120% of its entry's run time. A
// task with 0 runs until it is stopped.
func (d *day) fullMS(cmd structs.WorkerCommand) int64 {
	return d.runMS[cmd.Entry] * (80 + cmd.Task.Index*7%41) / 100
}

// checkResumed requires exactly one start of the attempt that follows each
// checkpointed attempt, unless the job was cancelled.
func (d *day) checkResumed() {
	n := 0
	for id, attempts := range d.saved {
		for _, attempt := range attempts {
			n++
			later := 0
			for a, k := range d.starts[id] {
				if a == attempt+1 {
					later += k
				}
			}
			if job := d.tables.Job(id.Job); later != 1 && !job.Cancelled {
				d.t.Errorf("task %s was checkpointed in attempt %d and resumed %d times: %+v", id, attempt, later, d.tables.Task(id))
			}
		}
	}
	d.note("%d checkpoints, each resumed once", n)
}

// checkDone requires the job to be done by its deadline, if it has one, and each
// of its tasks to have finished exactly once.
func (d *day) checkDone(key string) {
	job := d.tables.Job(d.jobs[key])
	if job.Status != structs.StatusDone || job.Spec.DeadlineMS > 0 && job.FinishedMS > job.Spec.DeadlineMS {
		d.t.Errorf("job %s: %+v", key, job)
	}
	for _, task := range d.tables.TasksOf(job.ID) {
		if d.finished[task.ID] != 1 {
			d.t.Errorf("task %s of %s finished %d times", task.ID, key, d.finished[task.ID])
		}
	}
}

// checkOccurrences requires every due occurrence to have finished once, to be
// unfinished or to be skipped.
func (d *day) checkOccurrences(key string) {
	job := d.tables.Job(d.jobs[key])
	due := (d.now.UnixMilli()-job.Spec.FirstMS)/job.Spec.EveryMS + 1
	ran, running := int64(0), int64(0)
	for n := range job.NextOccurrence {
		id := structs.TaskID{Job: job.ID, Index: n}
		task := d.tables.Task(id)
		switch {
		case d.finished[id] > 1 || d.finished[id] == 1 && task != nil && task.Status == structs.StatusSkipped:
			d.t.Errorf("occurrence %d of %s ran %d times: %+v", n, key, d.finished[id], task)
		case d.finished[id] == 1:
			ran++
		case task != nil && !task.Status.Finished():
			running++
		}
	}
	if job.NextOccurrence != due || ran+running+job.Skipped != due {
		d.t.Errorf("%s: %d due, next %d, %d ran, %d open, %d skipped", key, due, job.NextOccurrence, ran, running, job.Skipped)
	}
	d.note("%s: job %s, owner %s, %s, %d ran, %d open, %d skipped", key, job.ID, job.Owner, job.Status, ran, running, job.Skipped)
}

// compare compares the summary with a golden file.
func (d *day) compare(name string) {
	golden := filepath.Join("testdata", name)
	if *update {
		if err := os.WriteFile(golden, d.out.Bytes(), 0o644); err != nil {
			d.t.Fatal(err)
		}
	}
	want, err := os.ReadFile(golden)
	if err != nil {
		d.t.Fatal(err)
	}
	if !bytes.Equal(d.out.Bytes(), want) {
		d.t.Errorf("the session differs from %s; run with -update and review the change:\n%s", golden, d.out.Bytes())
	}
}
