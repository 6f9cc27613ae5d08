package leader

import (
	"testing"
	"time"

	"gooseberrypond/core/structs"
)

// Guards against a break anywhere on the way of one job from its submission to its end.
func TestJobRunsToEnd(t *testing.T) {
	b := newBed()
	b.apply(&structs.Command{PutCatalogue: &structs.PutCatalogue{ChangeID: "c1", Catalogue: testCatalogue()}})
	b.apply(&structs.Command{RegisterWorker: &structs.WorkerRegister{ID: "w1", Incarnation: 1, Domain: "a", Capacity: small}})
	res := b.apply(&structs.Command{SubmitJobs: &structs.SubmitJobs{Jobs: []structs.SubmitJob{
		{Owner: "desk", Key: "k", Spec: structs.JobSpec{Entry: "sheets", Kind: structs.KindBatch}},
	}}})
	if res.Submits[0].Error != nil {
		t.Fatal(res.Submits[0].Error)
	}
	if _, err := b.sync(&structs.WorkerSync{ID: "w1", Incarnation: 1, Seq: 1}); err != nil {
		t.Fatal(err)
	}
	b.tick(20 * time.Millisecond)
	reply, _ := b.core.WorkerPoll(b.now, &structs.WorkerSync{ID: "w1", Incarnation: 1, Seq: 1})
	if len(reply.Commands) != 1 || reply.Commands[0].Type != structs.CommandStart {
		t.Fatalf("commands = %+v, want one start", reply.Commands)
	}
	start := reply.Commands[0]
	ev := structs.TaskEvent{Seq: 1, Type: structs.EventStarted, Task: start.Task, Attempt: start.Attempt, Epoch: start.Epoch}
	run := structs.RunningTask{Task: start.Task, Attempt: start.Attempt, Epoch: start.Epoch}
	b.sync(&structs.WorkerSync{ID: "w1", Incarnation: 1, Seq: 2, Running: []structs.RunningTask{run}, Events: []structs.TaskEvent{ev}})
	if s := b.t.Job(res.Submits[0].Job).Status; s != structs.StatusRunning {
		t.Fatalf("status = %s after the start event", s)
	}
	ev.Seq, ev.Type = 2, structs.EventFinished
	b.sync(&structs.WorkerSync{ID: "w1", Incarnation: 1, Seq: 3, Events: []structs.TaskEvent{ev}})
	reply, _ = b.sync(&structs.WorkerSync{ID: "w1", Incarnation: 1, Seq: 4})
	if s := b.t.Job(res.Submits[0].Job).Status; s != structs.StatusDone || reply.AckedSeq != 2 {
		t.Fatalf("status = %s, acknowledged %d", s, reply.AckedSeq)
	}
	if len(b.sched.ended) != 1 || b.sched.ended[0].Task.Worker != "w1" {
		t.Errorf("ends told to the scheduler: %+v", b.sched.ended)
	}
	if err := b.t.Check(); err != nil {
		t.Error(err)
	}
}
