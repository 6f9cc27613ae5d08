package main

import (
	"testing"
	"time"
)

// Guards against measurements of a simulation that does not place the tasks of lost
// workers again. After the loss of a twelfth of the workers, all tasks must run
// again within the lease, its margin and 3 s, but not before the lease has expired.
func TestLostWorkersTasksRunAgain(t *testing.T) {
	const workers, lost = 48, 4
	w, err := newWorld(workers, false)
	if err != nil {
		t.Fatal(err)
	}
	all := w.running()
	if want := workers * fullTasks / fullWorkers; all != want {
		t.Fatalf("%d tasks run, want %d", all, want)
	}
	w.run(5 * time.Second)
	for _, wk := range w.workers[:lost] {
		wk.up, wk.running = false, nil
	}
	w.run(9 * time.Second)
	if w.running() == all {
		t.Fatal("tasks run again before the lease of their worker has ended")
	}
	w.run(5 * time.Second)
	if w.running() != all {
		t.Fatalf("%d of %d tasks run 14 s after the loss", w.running(), all)
	}
	if err := w.t.Check(); err != nil {
		t.Fatal(err)
	}
}
