package leader

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gooseberrypond/core/structs"
)

var update = flag.Bool("update", false, "write the golden files")

// recorder is a testbed that writes its commands, results and replies to out.
type recorder struct {
	*testbed
	t   *testing.T
	out bytes.Buffer
	seq uint64
}

func (s *recorder) record(what string, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		s.t.Fatal(err)
	}
	fmt.Fprintf(&s.out, "%5dms %s %s\n", s.now.Sub(epoch).Milliseconds(), what, data)
}

func (s *recorder) commit(cmd *structs.Command) structs.Result {
	s.record("apply", cmd)
	res := s.apply(cmd)
	s.record("  result", res)
	return res
}

func (s *recorder) step(d time.Duration) {
	s.now = s.now.Add(d)
	for _, cmd := range s.core.Tick(s.now, s.now.UnixMilli()) {
		s.commit(cmd)
	}
}

// syncWorker sends the worker's next sync and returns the commands in the reply.
func (s *recorder) syncWorker(running []structs.RunningTask, events ...structs.TaskEvent) []structs.WorkerCommand {
	s.seq++
	req := &structs.WorkerSync{ID: "w1", Incarnation: 1, Seq: s.seq, Session: 1, Running: running, Events: events}
	s.record("sync", req)
	reply, cmd, err := s.core.WorkerSync(s.now, req)
	if err != nil {
		s.t.Fatal(err)
	}
	if cmd != nil {
		s.commit(cmd)
	}
	reply.Session = 1
	s.record("  reply", reply)
	return reply.Commands
}

// Guards against unintended changes in commands, results and replies. Replicas
// that run different versions must agree on them.
func TestSessionMatchesGolden(t *testing.T) {
	s := &recorder{testbed: newTestbed("h1"), t: t}
	s.commit(&structs.Command{PutCatalogue: &structs.PutCatalogue{ChangeID: "c1", Catalogue: testCatalogue()}})
	s.commit(&structs.Command{RegisterWorker: &structs.WorkerRegister{ID: "w1", Incarnation: 1, Rack: "r1", Domain: "a", Capacity: unitResources.Scale(2)}})
	s.commit(&structs.Command{SubmitJobs: &structs.SubmitJobs{Jobs: []structs.SubmitJob{
		{Owner: "desk", Key: "k1", Spec: structs.JobSpec{Entry: "sheets", Kind: structs.KindBatch, Payload: []byte("north")}},
		{Owner: "yard", Key: "k2", Spec: structs.JobSpec{Entry: "watch", Kind: structs.KindRecurring, EveryMS: 60_000}},
		{Owner: "desk", Key: "k1", Spec: structs.JobSpec{Entry: "sheets", Kind: structs.KindService}},
	}}})
	s.syncWorker(nil)
	s.step(20 * time.Millisecond)
	s.step(20 * time.Millisecond)
	var running []structs.RunningTask
	var started []structs.TaskEvent
	for i, cmd := range s.syncWorker(nil) {
		running = append(running, structs.RunningTask{Task: cmd.Task, Attempt: cmd.Attempt, Epoch: cmd.Epoch})
		started = append(started, structs.TaskEvent{Seq: uint64(i + 1), Type: structs.EventStarted, Task: cmd.Task, Attempt: cmd.Attempt, Epoch: cmd.Epoch})
	}
	s.syncWorker(running, started...)
	s.commit(&structs.Command{SetDomain: &structs.SetDomain{ChangeID: "d1", Domain: "a", Out: true}})
	s.step(20 * time.Millisecond)
	s.syncWorker(running)
	saved := started[0]
	saved.Seq, saved.Type, saved.Checkpoint = 3, structs.EventCheckpointed, "north-1"
	s.syncWorker(running[1:], saved)
	s.commit(&structs.Command{SetDomain: &structs.SetDomain{ChangeID: "d2", Domain: "a"}})
	s.step(20 * time.Millisecond)
	s.syncWorker(running[1:])
	s.commit(&structs.Command{CancelJob: &structs.CancelJob{Owner: "yard", Job: running[1].Task.Job}})
	s.syncWorker(running[1:])
	s.step(18 * time.Second)
	if err := s.testbed.t.Check(); err != nil {
		t.Fatal(err)
	}
	if ended := s.sched.ended; len(ended) != 1 || ended[0].Task.Worker != "w1" {
		t.Errorf("ends recorded by the scheduler: %+v, want 1 on worker w1", ended)
	}
	golden := filepath.Join("testdata", "session.golden")
	if *update {
		if err := os.MkdirAll("testdata", 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(golden, s.out.Bytes(), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(golden)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(s.out.Bytes(), want) {
		t.Errorf("record differs from %s; run with -update and review the change:\n%s", golden, s.out.Bytes())
	}
}
