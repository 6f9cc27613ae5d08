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

// populatedTables returns tables of the planned size: 36,000 tasks run, the given
// number of tasks are pending, and the given number of jobs are finished.
func populatedTables(b *testing.B, pending, finished int) (*Tables, *uint64) {
	t, index := New(), new(uint64)
	apply := func(cmd *structs.Command) structs.Result {
		*index++
		cmd.NowMS = int64(*index)
		res := t.Apply(*index, cmd)
		if res.Error != nil || res.Dropped > 0 {
			b.Fatalf("%+v", res)
		}
		return res
	}
	cat := structs.Catalogue{Owners: map[string]structs.Owner{}, Entries: map[string]structs.Entry{}}
	for i := range benchOwners {
		cat.Owners[fmt.Sprint("o", i)] = structs.Owner{Quota: structs.Resources{CPUMilli: 1 << 30}}
		cat.Entries[fmt.Sprint("e", i)] = structs.Entry{Owner: fmt.Sprint("o", i), Class: structs.ClassBatch, Resources: size}
	}
	apply(&structs.Command{PutCatalogue: &structs.PutCatalogue{ChangeID: "c", Catalogue: cat}})
	for i := range benchWorkers {
		id := structs.WorkerID(fmt.Sprintf("w%04d", i))
		apply(&structs.Command{RegisterWorker: &structs.WorkerRegister{ID: id, Incarnation: 1, Domain: fmt.Sprint("d", i%6), Capacity: size.Scale(32)}})
	}
	submit := func(n, count int) structs.JobID {
		owner := fmt.Sprint("o", n%benchOwners)
		spec := structs.JobSpec{Entry: fmt.Sprint("e", n%benchOwners), Kind: structs.KindBatch, Count: count, Payload: []byte("payload")}
		return apply(&structs.Command{SubmitJobs: &structs.SubmitJobs{Jobs: []structs.SubmitJob{{Owner: owner, Key: fmt.Sprint(n), Spec: spec}}}}).Submits[0].Job
	}
	for n := range (benchTasks + pending) / 4 {
		submit(n, 4)
	}
	for n := 0; n < benchTasks; n += 28 {
		apply(&structs.Command{Plan: nextPlan(t, n, min(28, benchTasks-n))})
	}
	for n := range finished {
		id := submit(benchTasks+n, 1)
		apply(&structs.Command{CancelJob: &structs.CancelJob{Owner: t.Job(id).Owner, Job: id}})
	}
	return t, index
}

// nextPlan assigns the first pending tasks to the workers round-robin.
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

// BenchmarkApplyPlan measures the plan of one tick at 1,400 starts per second.
func BenchmarkApplyPlan(b *testing.B) {
	t, index := populatedTables(b, 4000, 0)
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

// BenchmarkSnapshot measures how long a snapshot blocks the caller (fork), how
// long encoding takes in the background and decoding at a restart, and the
// memory used by the tables.
func BenchmarkSnapshot(b *testing.B) {
	for _, finished := range []int{0, structs.MaxFinishedJobs} {
		before := heapMB()
		t, _ := populatedTables(b, 0, finished)
		tables := heapMB() - before
		data, err := t.Encode()
		if err != nil {
			b.Fatal(err)
		}
		run := func(name string, step func()) {
			b.Run(fmt.Sprintf("%s/finished=%d", name, finished), func(b *testing.B) {
				for b.Loop() {
					step()
				}
				b.ReportMetric(tables, "MB_tables")
				b.ReportMetric(float64(len(data))/1e6, "MB_snapshot")
			})
		}
		run("fork", func() { t.Fork() })
		run("encode", func() { _, _ = t.Encode() })
		run("decode", func() { _, _ = Decode(data) })
	}
}

func heapMB() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc) / 1e6
}
