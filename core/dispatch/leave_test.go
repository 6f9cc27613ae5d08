package dispatch

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gooseberrypond/core/graph"
)

// leaver is a worker "a" that leaves while a task runs on it whose end nothing foretells.
type leaver struct {
	// ordersLost is set if no order is answered from its notice on; its lists are.
	ordersLost bool
	// cutAfter is when after its notice it is cut off, and runsOn when it ends.
	cutAfter, runsOn time.Duration
	// electsAfter is when after the cut the leader fails; 0 if it does not.
	electsAfter time.Duration
}

// play returns the world after all leases, and when the notice was sent.
func (l leaver) play(t *testing.T) (w *incWorld, notice time.Time) {
	const drain = 3 * time.Second
	w = newIncWorld(t)
	w.start("a", MaxClockSlow, 100*time.Second)
	w.play(500 * time.Millisecond)
	st := step(1, 1000)
	st.EstimateMS = 0
	w.durations[job1] = time.Minute
	w.submits = append(w.submits, graph.Spec{ID: job1, Queue: "q", Payload: "x", Steps: []graph.Step{st}})
	w.play(500 * time.Millisecond)
	w.start("b", 0, time.Second)
	w.play(500 * time.Millisecond)
	w.leave("a", drain, l.runsOn, 0, false)
	notice = w.now.Add(drain)
	w.play(drain)
	if l.ordersLost {
		w.fault(incLate, "a", incYear, incYear)
	}
	w.play(l.cutAfter)
	w.cutOff("a")
	if l.electsAfter > 0 {
		w.play(l.electsAfter)
		w.fail(500*time.Millisecond, true)
	}
	w.play(incLease() + incMargin + 2*time.Second)
	return w, notice
}

// Guards against two runs of a task: a worker that leaves is cut off before the acknowledgement
// reaches it, and works on, although it has answered a call after its notice.
func TestLeaverIsCutOffBeforeItsAcknowledgement(t *testing.T) {
	for _, ordersLost := range []bool{false, true} {
		for _, cutAfter := range []time.Duration{0, 25 * time.Millisecond, 50 * time.Millisecond, 300 * time.Millisecond, 700 * time.Millisecond} {
			for _, runsOn := range []time.Duration{time.Second, 4 * time.Second, 6 * time.Second, 9 * time.Second} {
				for _, electsAfter := range []time.Duration{0, 300 * time.Millisecond} {
					l := leaver{ordersLost, cutAfter, runsOn, electsAfter}
					t.Run(fmt.Sprintf("%+v", l), func(t *testing.T) {
						w, notice := l.play(t)
						at, ok := w.restarted()
						switch {
						case !ok:
							t.Error("LOST: the task has not run elsewhere")
						case !ordersLost && electsAfter == 0 && cutAfter >= 300*time.Millisecond && at.Sub(notice) > 2500*time.Millisecond:
							t.Errorf("the task is away until %s after the notice, although its stop was answered", at.Sub(notice))
						}
						for _, v := range w.violations {
							t.Error(strings.TrimSpace(v))
						}
						if t.Failed() {
							t.Log("\n" + strings.Join(w.log, "\n"))
						}
					})
				}
			}
		}
	}
}

// Guards against a worker that ends before its runs are known to end: its notice is recorded,
// and with that acknowledged, once their stops are answered, but not later than leaveStopWait
// after it came.
func TestNoticeIsRecordedOnceTheRunsAreStopped(t *testing.T) {
	for _, answered := range []bool{true, false} {
		r := newRig(t)
		a := r.register("a", 1)
		r.submit(job1, step(3, 1000))
		r.commitPlan()
		r.acceptOrders()
		r.hold(a)
		draining := worker("a", 1)
		draining.Draining, draining.Seq, draining.RemainingMS = true, 1, 5000
		r.core.Beat(r.now, draining)
		r.commitPlan()
		r.core.Leave(r.now, "a")
		noticed := r.now
		r.commitPlan()
		if r.core.workers[a].w.Left {
			t.Fatal("the notice is recorded before the runs are stopped")
		}
		if answered {
			if n := len(r.acceptOrders()); n != 3 {
				t.Fatalf("%d orders upon the notice, want a stop for each of 3 runs", n)
			}
			r.core.Leave(r.now, "a") // repeated by another host
			r.commitPlan()
		}
		for !r.core.workers[a].w.Left && r.now.Sub(noticed) < time.Second {
			r.dropOrders()
			r.advance(50 * time.Millisecond)
			r.commitPlan()
		}
		switch took := r.now.Sub(noticed); {
		case answered && took > 0:
			t.Errorf("the notice is recorded %s after all stops were answered", took)
		case !answered && (took < leaveStopWait || took > leaveStopWait+50*time.Millisecond):
			t.Errorf("without an answer the notice is recorded after %s, want %s", took, leaveStopWait)
		}
	}
}
