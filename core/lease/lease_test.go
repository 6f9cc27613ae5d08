package lease

import (
	"testing"
	"time"

	"gooseberrypond/core/state"
	"gooseberrypond/core/structs"
)

var (
	elected = time.Unix(1_000_000, 0)
	size    = structs.Resources{CPUMilli: 1000}
)

// testbed has the replicated tables, one worker w1 and the lease table of one
// leader.
type testbed struct {
	*testing.T
	t     *state.Tables
	l     *Table
	now   time.Time
	index uint64
	seq   uint64
}

func newTestbed(t *testing.T, holdMS int64) *testbed {
	b := &testbed{T: t, t: state.New(), l: New(elected), now: elected}
	b.apply(&structs.Command{PutCatalogue: &structs.PutCatalogue{ChangeID: "c", Catalogue: structs.Catalogue{
		Owners: map[string]structs.Owner{"o": {}},
		Entries: map[string]structs.Entry{
			"e": {Owner: "o", Class: structs.ClassBatch, Resources: size},
			"h": {Owner: "o", Class: structs.ClassBatch, Resources: size, LeaseHoldMS: holdMS},
		},
	}}})
	b.apply(&structs.Command{RegisterWorker: &structs.WorkerRegister{ID: "w1", Incarnation: 1, Domain: "d", Capacity: size.Scale(9)}})
	b.l.SetElectedIndex(b.index)
	return b
}

func (b *testbed) apply(cmd *structs.Command) structs.Result {
	b.index++
	cmd.NowMS = b.now.UnixMilli()
	res := b.t.Apply(b.index, cmd)
	b.l.Applied(cmd)
	return res
}

// place submits a job of one task for the entry and assigns the task to w1.
func (b *testbed) place(entry string) *structs.Task {
	b.Helper()
	spec := structs.JobSpec{Entry: entry, Kind: structs.KindBatch, NonIdempotent: true}
	res := b.apply(&structs.Command{SubmitJobs: &structs.SubmitJobs{Jobs: []structs.SubmitJob{{Owner: "o", Key: entry, Spec: spec}}}})
	id := structs.TaskID{Job: res.Submits[0].Job}
	a := structs.Assignment{Task: id, Worker: "w1", Incarnation: 1, Reserved: size}
	if b.apply(&structs.Command{Plan: &structs.Plan{Assign: []structs.Assignment{a}}}).Dropped > 0 {
		b.Fatal("assignment dropped")
	}
	return b.t.Task(id)
}

// sync processes the next sync of w1 with the running tasks and events.
func (b *testbed) sync(running []*structs.Task, events ...structs.TaskEvent) (structs.WorkerSyncReply, *structs.Command, *structs.Error) {
	b.seq++
	req := &structs.WorkerSync{ID: "w1", Incarnation: 1, Seq: b.seq, Session: b.l.Session(), Events: events}
	for _, task := range running {
		req.Running = append(req.Running, structs.RunningTask{Task: task.ID, Attempt: task.Attempt, Epoch: task.Epoch})
	}
	return b.l.Sync(b.now, b.t, req)
}

func event(seq uint64, kind structs.EventType, task *structs.Task) structs.TaskEvent {
	return structs.TaskEvent{Seq: seq, Type: kind, Task: task.ID, Attempt: task.Attempt, Epoch: task.Epoch}
}

func (b *testbed) setDomainOut(out bool) {
	b.apply(&structs.Command{SetDomain: &structs.SetDomain{ChangeID: b.now.String() + time.Duration(b.index).String(), Domain: "d", Out: out}})
}

func (b *testbed) expiredAfter(after time.Duration) []*structs.Command {
	b.now = b.now.Add(after)
	return b.l.Expired(b.now, b.t)
}

func (b *testbed) wantCommands(got []structs.WorkerCommand, want ...structs.CommandType) {
	b.Helper()
	if len(got) != len(want) {
		b.Fatalf("commands = %+v, want %v", got, want)
	}
	for i := range got {
		if got[i].Type != want[i] {
			b.Fatalf("commands = %+v, want %v", got, want)
		}
	}
}

// Guards against starting a replacement while the worker may still run the task,
// because its clock is slow or because of a lease hold.
func TestExpiredWaitsForLeaseAndHold(t *testing.T) {
	const margin = structs.WorkerLease + structs.LeaseMargin
	b := newTestbed(t, 100_000)
	plain, held := b.place("e"), b.place("h")
	b.l.Expired(b.now, b.t)
	if got := b.expiredAfter(margin - time.Millisecond); got != nil {
		t.Fatalf("attempts ended before the lease and margin passed: %+v", got[0].EndAttempts)
	}
	got := b.expiredAfter(time.Millisecond)
	if len(got) != 1 || got[0].EndAttempts.WorkerDead || len(got[0].EndAttempts.Attempts) != 1 || got[0].EndAttempts.Attempts[0].Task != plain.ID {
		t.Fatalf("want only the task without a lease hold to end, got %+v", got)
	}
	if again := b.l.Expired(b.now, b.t); again != nil {
		t.Fatal("an outstanding proposal was repeated immediately")
	}
	b.apply(got[0])
	// Two clocks that are each off by 1% differ by 2 s over the 100 s hold.
	if got := b.expiredAfter(101 * time.Second); got != nil {
		t.Fatalf("task ended within its lease hold: %+v", got[0].EndAttempts)
	}
	got = b.expiredAfter(time.Second)
	if len(got) != 1 || !got[0].EndAttempts.WorkerDead || got[0].EndAttempts.Attempts[0].Task != held.ID {
		t.Fatalf("want the end of the held task and of the worker, got %+v", got)
	}
	b.apply(got[0])
	if reply, _, _ := b.sync(nil); !reply.Reregister {
		t.Error("a worker that was declared dead need not register again")
	}
}

// Guards against a lost proposal that is never repeated.
func TestExpiredRepeatsLostProposal(t *testing.T) {
	b := newTestbed(t, 0)
	b.place("e")
	b.l.Expired(b.now, b.t)
	if len(b.expiredAfter(12*time.Second)) != 1 || len(b.expiredAfter(proposalTimeout)) != 1 {
		t.Error("want the proposal, and the same again after it was lost")
	}
}

// Guards against sending a start after the end of the attempt was proposed: the
// attempt and its replacement would run at the same time.
func TestNoStartWhileEnding(t *testing.T) {
	b := newTestbed(t, 0)
	b.place("e")
	b.l.Expired(b.now, b.t)
	end := b.expiredAfter(12 * time.Second)
	if _, _, err := b.sync(nil); err == nil {
		t.Fatal("a sync was accepted while the end of its worker's attempts was not applied")
	}
	b.place("h")
	b.apply(end[0])
	if got := b.expiredAfter(time.Second); len(got) != 1 || len(got[0].EndAttempts.Attempts) != 1 || !got[0].EndAttempts.Attempts[0].NeverStarted {
		t.Errorf("want the end of the attempt that was assigned in the meantime, got %+v", got)
	}
}

// Guards against running non-idempotent work twice: an attempt counts as never
// started only if neither this leader nor an earlier one may have sent its start.
func TestNeverStartedOnlyIfCertain(t *testing.T) {
	for _, tt := range []struct {
		name string
		run  func(b *testbed)
		want bool
	}{
		{"no sync", func(*testbed) {}, true},
		{"start sent", func(b *testbed) { b.sync(nil) }, false},
		{"assigned under a former leader", func(b *testbed) { b.l.SetElectedIndex(b.index) }, false},
	} {
		b := newTestbed(t, 0)
		b.place("e")
		tt.run(b)
		b.l.Expired(b.now, b.t)
		if got := b.expiredAfter(12 * time.Second); len(got) != 1 || got[0].EndAttempts.Attempts[0].NeverStarted != tt.want {
			t.Errorf("%s: %+v, want never started %v", tt.name, got[0].EndAttempts, tt.want)
		}
	}
}

// Guards against ending the task of a worker that reconnects within the lease
// hold after a partition.
func TestHeldTaskSurvivesPartition(t *testing.T) {
	b := newTestbed(t, 60_000)
	held := b.place("h")
	b.sync(nil)
	b.sync([]*structs.Task{held}, event(1, structs.EventStarted, held))
	if got := b.expiredAfter(30 * time.Second); got != nil {
		t.Fatalf("attempts ended within the lease hold: %+v", got[0].EndAttempts)
	}
	reply, _, err := b.sync([]*structs.Task{held})
	if err != nil || reply.Reregister || reply.LeaseMS == 0 {
		t.Errorf("reply = %+v, %v", reply, err)
	}
}

// Guards against starting an attempt after a stopped event was proposed for it.
func TestAbsentAttemptIsNotStarted(t *testing.T) {
	b := newTestbed(t, 0)
	task := b.place("e")
	b.setDomainOut(true)
	reply, cmd, _ := b.sync(nil)
	b.wantCommands(reply.Commands)
	if cmd == nil || cmd.WorkerEvents.Events[0].Type != structs.EventStopped {
		t.Fatalf("want a stopped event, got %+v", cmd)
	}
	b.setDomainOut(false)
	reply, _, _ = b.sync(nil)
	b.wantCommands(reply.Commands)
	b.apply(cmd)
	if task.State != structs.AttemptNone || task.Status != structs.StatusPending {
		t.Errorf("task = %+v", task)
	}
}

// Guards against a task that stays assigned for ever to a worker that ignores
// starts, and against a start in a domain that is out of service before the sync
// proves that the attempt is not running.
func TestIgnoredStartIsPlacedAgain(t *testing.T) {
	b := newTestbed(t, 0)
	b.place("e")
	b.sync(nil)
	b.now = b.now.Add(startTimeout - 1)
	if reply, cmd, _ := b.sync(nil); cmd != nil || len(reply.Commands) != 1 {
		t.Fatalf("before the start timeout: events %+v, commands %+v, want no events and one command", cmd, reply.Commands)
	}
	b.now = b.now.Add(1)
	if reply, cmd, _ := b.sync(nil); cmd == nil || len(reply.Commands) != 0 {
		t.Errorf("after the start timeout: events %+v, commands %+v, want events and no command", cmd, reply.Commands)
	}
	b = newTestbed(t, 0)
	b.place("e")
	b.setDomainOut(true)
	reply, _, _ := b.l.Sync(b.now, b.t, &structs.WorkerSync{ID: "w1", Incarnation: 1, Seq: 1})
	b.wantCommands(reply.Commands)
}

// Guards against accepting a delayed duplicate of a sync to a former leader as
// proof that an attempt is not running: it shows the worker as it was before a
// start.
func TestAbsenceRequiresSession(t *testing.T) {
	for _, tt := range []struct {
		name    string
		session uint64
		age     time.Duration
		want    bool
	}{
		{"this leader's", uint64(elected.UnixNano()), time.Second, true},
		{"a former leader's", 7, time.Hour, false},
		{"none, early", 0, time.Second, false},
		{"none, late", 0, noSessionTrustAge, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			b := newTestbed(t, 0)
			task := b.place("e")
			b.apply(&structs.Command{WorkerEvents: &structs.WorkerEvents{Worker: "w1", Incarnation: 1, Events: []structs.TaskEvent{event(1, structs.EventStarted, task)}}})
			b.now = elected.Add(tt.age)
			_, cmd, err := b.l.Sync(b.now, b.t, &structs.WorkerSync{ID: "w1", Incarnation: 1, Seq: 1, Session: tt.session})
			if err != nil || (cmd != nil) != tt.want {
				t.Errorf("command %+v, error %v, want a command: %t", cmd, err, tt.want)
			}
		})
	}
}

// Guards against losing an event for good because a later one is acknowledged
// after the proposal with the earlier one was lost.
func TestAcknowledgementLeavesNoGap(t *testing.T) {
	b := newTestbed(t, 0)
	task := b.place("e")
	first := event(1, structs.EventStarted, task)
	_, lost, _ := b.sync(nil, first)
	reply, second, _ := b.sync(nil, first, event(2, structs.EventFinished, task))
	if lost == nil || second == nil || len(second.WorkerEvents.Events) != 2 || reply.AckedSeq != 0 {
		t.Fatalf("second proposal %+v, acknowledged %d, want two events and 0", second, reply.AckedSeq)
	}
	if _, again, _ := b.sync(nil, first, event(2, structs.EventFinished, task)); again != nil {
		t.Error("the same events were proposed again immediately")
	}
	b.now = b.now.Add(proposalTimeout)
	if _, again, _ := b.sync(nil, first, event(2, structs.EventFinished, task)); again == nil {
		t.Error("a lost proposal was not repeated")
	}
	b.apply(second)
	if reply, _, _ = b.sync(nil); reply.AckedSeq != 2 {
		t.Errorf("acknowledged %d, want 2", reply.AckedSeq)
	}
}

// Guards against a wrong command for an attempt state, and against an attempt
// that is not in the log and keeps running.
func TestCommandsPerAttemptState(t *testing.T) {
	b := newTestbed(t, 0)
	task := b.place("e")
	reply, _, _ := b.sync(nil)
	b.wantCommands(reply.Commands, structs.CommandStart)
	run := []*structs.Task{task}
	_, cmd, _ := b.sync(run, event(1, structs.EventStarted, task))
	b.apply(cmd)
	reply, _ = b.l.Poll(b.now, b.t, &structs.WorkerSync{ID: "w1", Incarnation: 1, Seq: b.seq}, task.ID)
	b.wantCommands(reply.Commands, structs.CommandThrottle)
	ref := structs.AttemptRef{Task: task.ID, Attempt: task.Attempt, Epoch: task.Epoch}
	b.apply(&structs.Command{Plan: &structs.Plan{Evict: []structs.Eviction{{Ref: ref}}}})
	reply, _, _ = b.sync(run)
	b.wantCommands(reply.Commands, structs.CommandCheckpoint)
	b.apply(&structs.Command{CancelJob: &structs.CancelJob{Owner: "o", Job: task.ID.Job}})
	reply, _, _ = b.sync(run)
	b.wantCommands(reply.Commands, structs.CommandStop)
	stray := *task
	stray.Epoch = 1
	reply, _, _ = b.sync([]*structs.Task{&stray})
	b.wantCommands(reply.Commands, structs.CommandStop)
	if _, err := b.l.Poll(b.now, b.t, &structs.WorkerSync{ID: "w1", Incarnation: 1, Seq: 1}); err == nil {
		t.Error("a poll for an outdated sync was accepted")
	}
	if _, _, err := b.l.Sync(b.now, b.t, &structs.WorkerSync{ID: "w1", Incarnation: 1, Seq: b.seq}); err == nil {
		t.Error("a repeated sync was accepted")
	}
}
