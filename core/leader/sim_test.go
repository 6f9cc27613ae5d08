package leader

import (
	"bytes"
	"flag"
	"fmt"
	"maps"
	"math/rand"
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"gooseberrypond/core/sched"
	"gooseberrypond/core/state"
	"gooseberrypond/core/structs"
)

var simCapacity = structs.Resources{CPUMilli: 3000, MemoryMB: 8192}

// sim runs a leader with simulated workers that it reaches over a lossy network.
// A leader's proposals wait in queue; they are committed in order, or are lost
// at the next election.
type sim struct {
	rt  *rapid.T
	rnd *rand.Rand
	now time.Time
	// tables holds the leader's tables. follower holds those of another replica,
	// which is restored from a snapshot at each election.
	tables, follower *state.Tables
	index            uint64
	core             *Core
	sched            *firstFit
	// real selects the scheduler of package sched instead of firstFit.
	real    bool
	queue   []*structs.Command
	workers []*simWorker
	// sentSyncs are the syncs on the network, pastSyncs the last ones received
	// and heldSyncs those that the leader holds open. replies are on the
	// network.
	sentSyncs, pastSyncs, heldSyncs []*structs.WorkerSync
	replies                         []simReply

	outSince   map[string]time.Time
	started    map[structs.AttemptRef]bool
	checkpoint map[structs.TaskID]string
	// freshStarts counts the starts of each task without a checkpoint.
	freshStarts, finished map[structs.TaskID]int
	// jobs holds the job IDs by owner, key and specification.
	jobs map[string]structs.JobID
	// changes holds the first answer to each catalogue edit by change ID.
	changes     map[string]*structs.ChangeResult
	version     uint64
	changeCount int
}

type simReply struct {
	req   *structs.WorkerSync
	reply structs.WorkerSyncReply
}

func newSim(rt *rapid.T) *sim {
	s := &sim{
		rt: rt, rnd: rand.New(rand.NewSource(rapid.Int64().Draw(rt, "seed"))), real: rapid.Bool().Draw(rt, "package sched"),
		now: epoch, tables: state.New(), follower: state.New(), sched: &firstFit{},
		outSince: map[string]time.Time{}, started: map[structs.AttemptRef]bool{}, checkpoint: map[structs.TaskID]string{},
		freshStarts: map[structs.TaskID]int{}, finished: map[structs.TaskID]int{},
		jobs: map[string]structs.JobID{}, changes: map[string]*structs.ChangeResult{},
	}
	s.elect()
	s.apply(&structs.Command{PutCatalogue: &structs.PutCatalogue{ChangeID: "c0", Catalogue: testCatalogue()}})
	for i := range 4 {
		w := &simWorker{id: structs.WorkerID(fmt.Sprint("w", i)), domain: fmt.Sprint("d", i%2), clockRate: 0.991 + 0.006*float64(i)}
		w.restart()
		s.workers = append(s.workers, w)
	}
	return s
}

// elect replaces the leader. A random number of its open proposals is committed,
// and the others are lost.
func (s *sim) elect() {
	for range s.rnd.Intn(len(s.queue) + 1) {
		s.commit()
	}
	s.queue, s.heldSyncs = nil, nil
	s.compareReplicas()
	// Delayed duplicates of syncs to the former leader reach the new one.
	s.sentSyncs = append(s.sentSyncs, s.pastSyncs[max(0, len(s.pastSyncs)-8*s.rnd.Intn(3)):]...)
	var scheduler Scheduler = s.sched
	if s.real {
		scheduler = schedWithEvictions{sched.New(sched.Options{}), s.sched}
	}
	s.core = NewWith(s.now, s.tables, nil, scheduler, newRecordingGrants())
}

// compareReplicas requires equal snapshots of both replicas and restores the
// follower from the leader's snapshot.
func (s *sim) compareReplicas() {
	own, err := s.tables.Encode()
	other, err2 := s.follower.Encode()
	if err != nil || err2 != nil || !bytes.Equal(own, other) {
		s.rt.Fatalf("snapshots of the replicas differ after command %d (encode errors %v, %v)", s.index, err, err2)
	}
	if s.follower, err = state.Decode(own); err != nil {
		s.rt.Fatal(err)
	}
}

// commit applies the oldest open proposal.
func (s *sim) commit() {
	cmd := s.queue[0]
	s.queue = s.queue[1:]
	s.apply(cmd)
}

// apply applies a command on both replicas and requires equal results.
func (s *sim) apply(cmd *structs.Command) structs.Result {
	s.index++
	cmd.Version, cmd.NowMS = structs.CommandVersion, s.now.UnixMilli()
	res := s.tables.Apply(s.index, cmd)
	if other := s.follower.Apply(s.index, cmd); !reflect.DeepEqual(other, res) {
		s.rt.Fatalf("command %d: result %+v on the leader, %+v on the follower", s.index, res, other)
	}
	if s.core != nil {
		s.core.Applied(cmd, res)
	}
	for _, e := range res.Ended {
		if e.Event.Checkpoint != "" {
			s.checkpoint[e.Event.Task] = e.Event.Checkpoint
		}
		if e.Event.Type == structs.EventFinished {
			s.finished[e.Event.Task]++
		}
	}
	return res
}

// round advances the time and runs the leader, the workers and the network once.
// fault is the chance in percent that commits stop until the next round, and the
// rate of the network's faults in deliver.
func (s *sim) round(d time.Duration, fault int) {
	s.now = s.now.Add(d)
	for _, w := range s.workers {
		w.stopExpired(s.now)
	}
	s.queue = append(s.queue, s.core.Tick(s.now, s.now.UnixMilli())...)
	for len(s.queue) > 0 && s.rnd.Intn(100) >= fault {
		s.commit()
	}
	for _, w := range s.workers {
		s.stepWorker(w)
	}
	s.pollHeldSyncs()
	s.sentSyncs = deliver(s, s.sentSyncs, fault, s.receive)
	s.replies = deliver(s, s.replies, fault, func(m simReply) {
		if w := s.worker(m.req.ID); !w.partitioned {
			s.handleReply(w, m)
		}
	})
}

// deliver passes messages to their receiver in random order. Of the messages,
// fault/2 percent are lost, as many are delayed, and fault percent are delivered
// now and again later. It returns the messages to be delivered later.
func deliver[M any](s *sim, messages []M, fault int, handle func(M)) []M {
	var later []M
	for _, i := range s.rnd.Perm(len(messages)) {
		switch n := s.rnd.Intn(100); {
		case n < fault/2:
		case n < fault:
			later = append(later, messages[i])
		case n < fault*2:
			later = append(later, messages[i])
			handle(messages[i])
		default:
			handle(messages[i])
		}
	}
	return later
}

func (s *sim) worker(id structs.WorkerID) *simWorker {
	i := slices.IndexFunc(s.workers, func(w *simWorker) bool { return w.id == id })
	return s.workers[i]
}

// stepWorker registers the worker if necessary and sends its next sync when it
// is due.
func (s *sim) stepWorker(w *simWorker) {
	if w.partitioned {
		return
	}
	if !w.registered {
		known := s.tables.Worker(w.id)
		w.registered = known != nil && known.Incarnation == w.incarnation && known.Live
		if known != nil && known.Incarnation >= w.incarnation && !w.registered {
			w.incarnation = known.Incarnation + 1
		}
		if !w.registered {
			s.queue = append(s.queue, &structs.Command{RegisterWorker: &structs.WorkerRegister{
				ID: w.id, Incarnation: w.incarnation, Domain: w.domain, Capacity: simCapacity,
			}})
			return
		}
	}
	if !w.syncOpen || w.clock(s.now)-w.sentAt > 2500*time.Millisecond {
		s.sentSyncs = append(s.sentSyncs, w.report(s.now))
	}
}

// receive handles a sync at the leader. It replies at once or holds the sync open
// until pollHeldSyncs, at random.
func (s *sim) receive(req *structs.WorkerSync) {
	s.pastSyncs = append(s.pastSyncs[max(0, len(s.pastSyncs)-20):], req)
	reply, cmd, err := s.core.WorkerSync(s.now, req)
	if cmd != nil {
		s.queue = append(s.queue, cmd)
	}
	switch {
	case err != nil:
	case s.rnd.Intn(2) == 0:
		s.heldSyncs = append(s.heldSyncs, req)
	default:
		s.replies = append(s.replies, simReply{req, reply})
	}
}

func (s *sim) pollHeldSyncs() {
	for _, req := range s.heldSyncs {
		if reply, err := s.core.WorkerPoll(s.now, req); err == nil {
			s.replies = append(s.replies, simReply{req, reply})
		}
	}
	s.heldSyncs = nil
}

// submit submits a job under a random key and requires the same job ID for each
// submission with the same owner, key and specification.
func (s *sim) submit(kind structs.JobKind, nonIdempotent bool) {
	key := fmt.Sprint("k", s.rnd.Intn(30))
	owner, entry := "desk", "sheets"
	if s.rnd.Intn(2) == 0 {
		owner, entry = "yard", "watch"
	}
	spec := structs.JobSpec{Entry: entry, Kind: kind, NonIdempotent: nonIdempotent, Count: 1 + s.rnd.Intn(3)}
	if kind == structs.KindRecurring {
		spec.Count, spec.EveryMS = 1, 2000
	}
	res := s.apply(&structs.Command{SubmitJobs: &structs.SubmitJobs{Jobs: []structs.SubmitJob{{Owner: owner, Key: key, Spec: spec}}}}).Submits[0]
	if res.Error != nil {
		return
	}
	jobKey := fmt.Sprintf("%s %s %v", owner, key, spec)
	if first, ok := s.jobs[jobKey]; ok && (first != res.Job || !res.Existing) {
		s.rt.Fatalf("key %s: first job %s, now %s", jobKey, first, res.Job)
	}
	s.jobs[jobKey] = res.Job
}

// editCatalogue submits a random catalogue edit: a merge of the owner "desk"
// into "yard", the removal of the entry "watch" (added again afterwards) or
// new priorities. Change IDs may repeat; a repeated one must get the first
// answer.
func (s *sim) editCatalogue() {
	s.changeCount++
	id := fmt.Sprint("c", s.rnd.Intn(s.changeCount)+1)
	cat := structs.Catalogue{Owners: map[string]structs.Owner{}, Entries: map[string]structs.Entry{}}
	for name, o := range s.tables.Catalogue().Owners {
		cat.Owners[name] = o
	}
	for name, e := range s.tables.Catalogue().Entries {
		e.Priority = s.changeCount
		cat.Entries[name] = e
	}
	switch s.rnd.Intn(6) {
	case 0:
		delete(cat.Owners, "desk")
		cat.Owners["yard"] = structs.Owner{MergedFrom: []string{"desk"}}
		cat.Entries["sheets"] = structs.Entry{Owner: "yard", Class: structs.ClassBatch, Resources: unitResources}
	case 1:
		delete(cat.Entries, "watch")
	}
	base := s.tables.Catalogue().Version - uint64(s.rnd.Intn(2))
	res := s.apply(&structs.Command{PutCatalogue: &structs.PutCatalogue{ChangeID: id, BaseVersion: base, Catalogue: cat}}).Change
	if first := s.changes[id]; first != nil && !reflect.DeepEqual(first, res) {
		s.rt.Fatalf("change %s: first answer %+v, now %+v", id, first, res)
	}
	s.changes[id] = res
	if _, ok := s.tables.Catalogue().Entries["watch"]; !ok {
		cat.Entries["watch"] = testCatalogue().Entries["watch"]
		s.apply(&structs.Command{PutCatalogue: &structs.PutCatalogue{ChangeID: id + "r", BaseVersion: s.tables.Catalogue().Version, Catalogue: cat}})
	}
}

func (s *sim) toggleDomain() {
	d := fmt.Sprint("d", s.rnd.Intn(2))
	out := s.outSince[d].IsZero()
	s.changeCount++
	s.apply(&structs.Command{SetDomain: &structs.SetDomain{ChangeID: fmt.Sprint("d", s.changeCount), Domain: d, Out: out}})
	s.outSince[d] = time.Time{}
	if out {
		s.outSince[d] = s.now
	}
}

// randomTask returns a random running task of a random worker.
func (s *sim) randomTask() (*simWorker, structs.TaskID, bool) {
	w := s.workers[s.rnd.Intn(len(s.workers))]
	ids := w.ids()
	if len(ids) == 0 {
		return w, structs.TaskID{}, false
	}
	return w, ids[s.rnd.Intn(len(ids))], true
}

func (s *sim) endRandomTask(kind structs.EventType) {
	if w, id, ok := s.randomTask(); ok {
		w.end(id, kind)
	}
}

func (s *sim) evictRandomTask() {
	if w, id, ok := s.randomTask(); ok {
		r := w.running[id].run
		s.sched.evict = append(s.sched.evict, structs.Eviction{Ref: structs.AttemptRef{Task: id, Attempt: r.Attempt, Epoch: r.Epoch}})
	}
}

func (s *sim) cancelRandomJob() {
	if keys := slices.Sorted(maps.Keys(s.jobs)); len(keys) > 0 {
		id := s.jobs[keys[s.rnd.Intn(len(keys))]]
		s.apply(&structs.Command{CancelJob: &structs.CancelJob{Owner: s.tables.Job(id).Owner, Job: id}})
	}
}

// check requires consistent tables, a catalogue version that never decreases and
// at most one finish of each task that is not part of a service.
func (s *sim) check() {
	if err := s.tables.Check(); err != nil {
		s.rt.Fatal(err)
	}
	if v := s.tables.Catalogue().Version; v < s.version {
		s.rt.Fatalf("catalogue version went back from %d to %d", s.version, v)
	}
	s.version = s.tables.Catalogue().Version
	for id, n := range s.finished {
		if job := s.tables.Job(id.Job); n > 1 && job.Spec.Kind != structs.KindService {
			s.rt.Fatalf("task %s finished %d times, want at most once", id, n)
		}
	}
}

// settle ends all faults, cancels services and recurring jobs, and requires every
// job to finish.
func (s *sim) settle() {
	for _, d := range slices.Sorted(maps.Keys(s.outSince)) {
		if !s.outSince[d].IsZero() {
			s.changeCount++
			s.apply(&structs.Command{SetDomain: &structs.SetDomain{ChangeID: fmt.Sprint("d", s.changeCount), Domain: d}})
			s.outSince[d] = time.Time{}
		}
	}
	for _, jobKey := range slices.Sorted(maps.Keys(s.jobs)) {
		id := s.jobs[jobKey]
		if job := s.tables.Job(id); job.Spec.Kind != structs.KindBatch {
			s.apply(&structs.Command{CancelJob: &structs.CancelJob{Owner: job.Owner, Job: id}})
		}
	}
	for _, w := range s.workers {
		w.partitioned = false
	}
	for range 600 {
		s.round(500*time.Millisecond, 0)
		for _, w := range s.workers {
			for _, id := range w.ids() {
				w.end(id, structs.EventFinished)
			}
		}
	}
	s.check()
	s.compareReplicas()
	for _, jobKey := range slices.Sorted(maps.Keys(s.jobs)) {
		id := s.jobs[jobKey]
		if job := s.tables.Job(id); !job.Status.Finished() {
			s.rt.Fatalf("job %s (%s) is still %s after all faults ended: %+v", id, jobKey, job.Status, s.tables.TasksOf(id)[0])
		}
	}
}

// Runs random sequences of faults. Guards against a task that runs twice at the
// same time, evicted tasks that are lost or start over, overcommitted workers and
// accepted changes that are reverted.
func TestInvariantsUnderRandomFaults(t *testing.T) {
	// The seed is fixed so that every run has the same result; the flag
	// -rapid.seed overrides it.
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		if err := seed.Value.Set("20261204"); err != nil {
			t.Fatal(err)
		}
	}
	rapid.Check(t, func(rt *rapid.T) {
		s := newSim(rt)
		act := func(f func()) func(*rapid.T) { return func(*rapid.T) { f() } }
		kinds := []structs.JobKind{structs.KindBatch, structs.KindBatch, structs.KindService, structs.KindRecurring}
		run := func(fault int) func(*rapid.T) {
			return func(rt *rapid.T) {
				d := rapid.SampledFrom([]time.Duration{50, 300, 900}).Draw(rt, "step") * time.Millisecond
				for range rapid.IntRange(1, 15).Draw(rt, "rounds") {
					s.round(d, fault)
				}
			}
		}
		rt.Repeat(map[string]func(*rapid.T){
			"":          func(*rapid.T) { s.check() },
			"run":       run(5),
			"run badly": run(30),
			"submit":    act(func() { s.submit(kinds[s.rnd.Intn(len(kinds))], s.rnd.Intn(3) == 0) }),
			"elect":     act(s.elect),
			"crash":     act(func() { s.workers[s.rnd.Intn(4)].restart() }),
			"pause":     act(func() { s.round(9600*time.Millisecond, 50) }),
			"cut":       act(func() { w := s.workers[s.rnd.Intn(4)]; w.partitioned = !w.partitioned }),
			"finish":    act(func() { s.endRandomTask(structs.EventFinished) }),
			"fail":      act(func() { s.endRandomTask(structs.EventFailed) }),
			"evict":     act(s.evictRandomTask),
			"cancel":    act(s.cancelRandomJob),
			"domain":    act(s.toggleDomain),
			"edit":      act(s.editCatalogue),
		})
		s.settle()
	})
}
