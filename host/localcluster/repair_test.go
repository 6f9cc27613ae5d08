package localcluster

import (
	"errors"
	"testing"

	"gooseberrypond/core/structs"
	"gooseberrypond/host/rpc"
)

// members makes a change of the members, repeated while it is refused for now.
func (b *testbed) members(cl *rpc.Client, req structs.MemberRequest) {
	b.t.Helper()
	ask(b, func() (bool, error) { return true, cl.MemberChange(b.ctx, req) })
}

// Guards against a repair that leaves the group unable to lose another host:
// a host whose disk is gone is replaced under a new id, and the next loss follows at once.
func TestSecondLossAfterRepair(t *testing.T) {
	b := newTestbed(t, 3, 0)
	cl := b.Client()
	b.put(cl)
	lost := (b.leader() + 1) % 3
	b.Kill(lost)
	joined, err := b.Join()
	if err != nil {
		t.Fatal(err)
	}
	id := b.Settings[joined].Self().Replica
	b.members(cl, structs.MemberRequest{Action: "add", ID: id, Address: b.Settings[joined].Self().Peer})
	b.members(cl, structs.MemberRequest{Action: "promote", ID: id})
	b.members(cl, structs.MemberRequest{Action: "remove", ID: uint64(lost + 1)})
	b.members(cl, structs.MemberRequest{Action: "remove", ID: uint64(lost + 1)}) // a resend
	err = cl.MemberChange(b.ctx, structs.MemberRequest{Action: "promote", ID: 99})
	var e *structs.Error
	if !errors.As(err, &e) || e.Code != structs.CodeNotFound {
		t.Errorf("promotion of an unknown replica: %v", err)
	}
	b.Kill(b.leader())
	cl = b.Client() // knows the new host
	res := ask(b, func() (*structs.ChangeResult, error) {
		return cl.ApplyCatalogue(b.ctx, &structs.PutCatalogue{ChangeID: "after", BaseVersion: 1, Catalogue: Catalogue()})
	})
	if !res.Accepted || res.Version != 2 {
		t.Errorf("change after the second loss: %+v", res)
	}
	list := ask(b, func() ([]structs.ReplicaInfo, error) { return cl.Members(b.ctx) })
	if len(list) != 3 {
		t.Errorf("members: %+v", list)
	}
}

// Guards against a task that runs in two places, or is lost, when its worker
// is cut off: the worker stops it at the end of its lease, and only later does
// it resume elsewhere.
func TestCutOffWorkerLosesItsTasks(t *testing.T) {
	b := newTestbed(t, 1, 0)
	cl := b.Client()
	b.put(cl)
	workers := b.Workers(2)
	job := structs.SubmitJob{Owner: "dev", Key: "k", Spec: structs.JobSpec{Entry: "report", Kind: structs.KindService, Count: 4, Payload: []byte(`{"run_ms":-1}`)}}
	res := ask(b, func() (structs.SubmitResult, error) { return cl.Submit(b.ctx, job) })
	until := func(what string, cond func() bool) {
		t.Helper()
		for !cond() {
			if err := Pause(b.ctx); err != nil {
				t.Fatalf("%s: %v", what, err)
			}
		}
	}
	until("all tasks run", func() bool { return workers[0].Running()+workers[1].Running() == 4 })
	cut, other := workers[0], workers[1]
	if cut.Running() == 0 {
		cut, other = other, cut
	}
	cut.SetPartitioned(true)
	until("the cut-off worker stops", func() bool { return cut.Running() == 0 })
	until("the tasks resume", func() bool { return other.Running() == 4 })
	view := ask(b, func() (*structs.JobView, error) { return cl.GetJob(b.ctx, rpc.GetJob{Owner: "dev", Job: res.Job}) })
	if view.Counts[structs.StatusRunning]+view.Counts[structs.StatusPending] != 4 {
		t.Errorf("tasks: %v", view.Counts)
	}
	if v := b.Ledger.Violations(); len(v) > 0 {
		t.Error(v)
	}
}
