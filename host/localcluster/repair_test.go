package localcluster

import (
	"errors"
	"testing"

	"gooseberrypond/core/structs"
	"gooseberrypond/host/rpc"
)

// changeMembers makes a membership change and repeats it until it succeeds.
func (b *testbed) changeMembers(cl *rpc.Client, req structs.MemberRequest) {
	b.t.Helper()
	retry(b, func() (bool, error) { return true, cl.MemberChange(b.ctx, req) })
}

// Guards against a repair after which the group does not survive the loss of
// another host: a host whose disk is lost is replaced by one with a new replica
// id, and right after that the leader is killed.
func TestHostLossAfterReplacement(t *testing.T) {
	b := newTestbed(t, 3, 0)
	cl := b.Client()
	b.putCatalogue(cl)
	lost := (b.leader() + 1) % 3
	b.Kill(lost)
	joined, err := b.Join()
	if err != nil {
		t.Fatal(err)
	}
	id := b.Settings[joined].Self().Replica
	b.changeMembers(cl, structs.MemberRequest{Action: "add", ID: id, Address: b.Settings[joined].Self().Peer})
	b.changeMembers(cl, structs.MemberRequest{Action: "promote", ID: id})
	b.changeMembers(cl, structs.MemberRequest{Action: "remove", ID: uint64(lost + 1)})
	b.changeMembers(cl, structs.MemberRequest{Action: "remove", ID: uint64(lost + 1)}) // a resend
	err = cl.MemberChange(b.ctx, structs.MemberRequest{Action: "promote", ID: 99})
	var e *structs.Error
	if !errors.As(err, &e) || e.Code != structs.CodeNotFound {
		t.Errorf("promotion of an unknown replica: error %v, want not_found", err)
	}
	b.Kill(b.leader())
	cl = b.Client() // a client made now knows the new host
	res := retry(b, func() (*structs.ChangeResult, error) {
		return cl.ApplyCatalogue(b.ctx, &structs.PutCatalogue{ChangeID: "after", BaseVersion: 1, Catalogue: Catalogue()})
	})
	if !res.Accepted || res.Version != 2 {
		t.Errorf("change after the second loss: %+v, want it accepted as version 2", res)
	}
	list := retry(b, func() ([]structs.ReplicaInfo, error) { return cl.Members(b.ctx) })
	if len(list) != 3 {
		t.Errorf("members after the replacement: %+v, want 3", list)
	}
}

// Guards against tasks that run on two workers at once, or are lost, when their
// worker is isolated: the worker must stop them when its lease ends, and only then
// may they resume on another worker.
func TestTasksOfIsolatedWorkerResumeElsewhere(t *testing.T) {
	b := newTestbed(t, 1, 0)
	cl := b.Client()
	b.putCatalogue(cl)
	workers := b.Workers(2)
	job := structs.SubmitJob{Owner: "dev", Key: "k", Spec: structs.JobSpec{Entry: "report", Kind: structs.KindService, Count: 4, Payload: []byte(`{"run_ms":-1}`)}}
	res := retry(b, func() (structs.SubmitResult, error) { return cl.Submit(b.ctx, job) })
	waitUntil := func(what string, cond func() bool) {
		t.Helper()
		for !cond() {
			if err := Pause(b.ctx); err != nil {
				t.Fatalf("timed out waiting until %s: %v", what, err)
			}
		}
	}
	waitUntil("all tasks run", func() bool { return workers[0].Running()+workers[1].Running() == 4 })
	isolated, other := workers[0], workers[1]
	if isolated.Running() == 0 {
		isolated, other = other, isolated
	}
	isolated.SetIsolated(true)
	waitUntil("the isolated worker has stopped its tasks", func() bool { return isolated.Running() == 0 })
	waitUntil("the tasks run on the other worker", func() bool { return other.Running() == 4 })
	view := retry(b, func() (*structs.JobView, error) { return cl.GetJob(b.ctx, rpc.GetJob{Owner: "dev", Job: res.Job}) })
	if view.Counts[structs.StatusRunning]+view.Counts[structs.StatusPending] != 4 {
		t.Errorf("task counts %v, want 4 tasks running or pending", view.Counts)
	}
	if v := b.Ledger.Violations(); len(v) > 0 {
		t.Error(v)
	}
}
