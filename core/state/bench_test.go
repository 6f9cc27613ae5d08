package state

import (
	"fmt"
	"runtime"
	"testing"

	"gooseberrypond/core/structs"
)

const (
	benchWorkers = 1600
	benchTasks   = 36_000
	benchOwners  = 130
)

// fullTables returns tables of the planned size: every task runs, and
// pending more tasks wait.
func fullTables(tb testing.TB, pending int) (*Tables, *uint64) {
	t, index := New(), new(uint64)
	do := func(cmd *structs.Command) structs.Result {
		*index++
		cmd.NowMS = int64(*index)
		res := t.Apply(*index, cmd)
		if res.Error != nil {
			tb.Fatal(res.Error)
		}
		return res
	}
	cat := structs.Catalogue{Owners: map[string]structs.Owner{}, Entries: map[string]structs.Entry{}}
	for i := range benchOwners {
		cat.Owners[fmt.Sprint("o", i)] = structs.Owner{Quota: structs.Resources{CPUMilli: 1 << 30}}
		cat.Entries[fmt.Sprint("e", i)] = structs.Entry{Owner: fmt.Sprint("o", i), Class: structs.ClassBatch, Resources: size}
	}
	do(&structs.Command{PutCatalogue: &structs.PutCatalogue{ChangeID: "c", Catalogue: cat}})
	for i := range benchWorkers {
		do(&structs.Command{RegisterWorker: &structs.WorkerRegister{
			ID: structs.WorkerID(fmt.Sprintf("w%04d", i)), Incarnation: 1, Domain: fmt.Sprint("d", i%6), Capacity: size.Scale(32),
		}})
	}
	for n := 0; n < benchTasks+pending; n += 4 {
		do(&structs.Command{SubmitJobs: &structs.SubmitJobs{Jobs: []structs.SubmitJob{{
			Owner: fmt.Sprint("o", n/4%benchOwners), Key: fmt.Sprint("k", n),
			Spec: structs.JobSpec{Entry: fmt.Sprint("e", n/4%benchOwners), Kind: structs.KindBatch, Count: 4, Payload: []byte("payload")},
		}}}})
	}
	for n := 0; n < benchTasks; n += 28 {
		do(&structs.Command{Plan: nextPlan(t, n, min(28, benchTasks-n))})
	}
	return t, index
}

// nextPlan assigns the first pending tasks to workers in turn.
func nextPlan(t *Tables, from, count int) *structs.Plan {
	p := &structs.Plan{}
	for task := range t.PendingTasks() {
		if len(p.Assign) == count {
			break
		}
		w := t.Workers()[(from+len(p.Assign))%benchWorkers]
		p.Assign = append(p.Assign, structs.Assignment{Task: task.ID, Worker: w.ID, Incarnation: 1, Reserved: size})
	}
	return p
}

// BenchmarkApplyPlan measures a plan of one tick at the peak of 1,400 starts
// per second, and the events that end its tasks.
func BenchmarkApplyPlan(b *testing.B) {
	t, index := fullTables(b, 4000)
	b.ReportAllocs()
	for b.Loop() {
		b.StopTimer()
		p := nextPlan(t, int(*index), 28)
		b.StartTimer()
		*index++
		if res := t.Apply(*index, &structs.Command{Plan: p}); res.Dropped > 0 {
			b.Fatal("assignments were dropped")
		}
		b.StopTimer()
		for _, a := range p.Assign {
			task := t.Task(a.Task)
			ev := structs.TaskEvent{Type: structs.EventStopped, Task: task.ID, Attempt: task.Attempt, Epoch: task.Epoch}
			*index++
			t.Apply(*index, &structs.Command{WorkerEvents: &structs.WorkerEvents{Worker: a.Worker, Incarnation: 1, Events: []structs.TaskEvent{ev}}})
		}
		b.StartTimer()
	}
}

// withFinished adds as many finished jobs as are kept.
func withFinished(b *testing.B, t *Tables, index *uint64) {
	for n := range structs.MaxFinishedJobs {
		owner := fmt.Sprint("o", n%benchOwners)
		*index++
		res := t.Apply(*index, &structs.Command{SubmitJobs: &structs.SubmitJobs{Jobs: []structs.SubmitJob{{
			Owner: owner, Key: fmt.Sprint("f", n), Spec: structs.JobSpec{Entry: fmt.Sprint("e", n%benchOwners), Kind: structs.KindBatch},
		}}}})
		*index++
		t.Apply(*index, &structs.Command{CancelJob: &structs.CancelJob{Owner: owner, Job: res.Submits[0].Job}})
	}
	if t.Counts().LiveJobs != benchTasks/4 {
		b.Fatalf("counts = %+v", t.Counts())
	}
}

// BenchmarkFork measures how long a snapshot stops the caller, at full size
// with all finished jobs that are kept.
func BenchmarkFork(b *testing.B) {
	t, index := fullTables(b, 0)
	withFinished(b, t, index)
	for b.Loop() {
		t.Fork()
	}
}

func heapMB() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc) / 1e6
}

// BenchmarkEncode measures a full-size snapshot and reports its size and the
// memory of the tables, without and with finished jobs.
func BenchmarkEncode(b *testing.B) {
	before := heapMB()
	t, index := fullTables(b, 0)
	running := heapMB() - before
	withFinished(b, t, index)
	all := heapMB() - before
	im := t.Fork()
	var data []byte
	for b.Loop() {
		data, _ = im.Encode()
	}
	b.ReportMetric(running, "MB_running")
	b.ReportMetric(all, "MB_all")
	b.ReportMetric(float64(len(data))/1e6, "MB_snapshot")
	runtime.KeepAlive(t)
}

// BenchmarkDecode measures the restart from a full-size snapshot.
func BenchmarkDecode(b *testing.B) {
	t, index := fullTables(b, 0)
	withFinished(b, t, index)
	data, err := t.Encode()
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		if _, err := Decode(data); err != nil {
			b.Fatal(err)
		}
	}
}
