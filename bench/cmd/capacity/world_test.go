package main

import (
	"testing"
	"time"
)

// TestLostWorkersTasksRunAgain guards against figures from a world whose
// workers don't obey: after a twelfth of them is lost, all tasks must run again
// within the lease, its margin and 3 s, and no sooner than the lease ends.
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
