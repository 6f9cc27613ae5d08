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

// BenchmarkFork measures how long a snapshot stops the caller.
func BenchmarkFork(b *testing.B) {
	t, _ := fullTables(b, 0)
	for b.Loop() {
		t.Fork()
	}
}

// BenchmarkEncode measures a full-size snapshot and reports its size and the tables' memory.
func BenchmarkEncode(b *testing.B) {
	t, _ := fullTables(b, 0)
	var with, without runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&with)
	im := t.Fork()
	var data []byte
	for b.Loop() {
		data, _ = im.Encode()
	}
	b.ReportMetric(float64(len(data))/1e6, "MB_snapshot")
	t, im = nil, nil
	runtime.GC()
	runtime.ReadMemStats(&without)
	b.ReportMetric(float64(with.HeapAlloc-without.HeapAlloc)/1e6, "MB_heap")
	_, _ = t, im
}

// BenchmarkDecode measures the restart from a full-size snapshot.
func BenchmarkDecode(b *testing.B) {
	t, _ := fullTables(b, 0)
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
