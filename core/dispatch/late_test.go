package dispatch

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gooseberrypond/core/graph"
)

// lateStart is a start of a task that gets no answer and is carried out late by the next
// incarnation of worker "a"; meanwhile the task is done on a second start and its end acknowledged.
type lateStart struct {
	// late is how late the start is carried out, down how long the worker is away, and ahead how
	// long before the start's arrival it is back.
	late, down, ahead time.Duration
	// elects is set if the leader fails once the end is acknowledged.
	elects bool
}

func (l lateStart) play(t *testing.T) *incWorld {
	const placing = 100 * time.Millisecond
	w := newIncWorld(t)
	w.start("a", MaxClockSlow, 100*time.Second)
	w.play(500 * time.Millisecond)
	w.fault(incLate, "a", placing, l.late)
	w.submitJob(job1, 1, 200*time.Millisecond)
	for w.startSent["a"] == nil {
		w.step()
	}
	arrives := w.startSent["a"][incTask].Add(l.late + incLatency)
	for !w.notedDone[incTask] {
		w.step()
	}
	if l.elects {
		w.fail(500*time.Millisecond, true)
	}
	w.play(arrives.Add(-l.ahead - l.down).Sub(w.now))
	w.crash("a")
	w.after(l.down, func() { w.start("a", MaxClockSlow, 0).nextBeat = w.now.Add(900 * time.Millisecond) })
	w.play(l.ahead + l.down + incLateness)
	return w
}

// Guards against a second start of a task that is done: a late start arrives at the next
// incarnation of its worker, before the first report of that, and no call has reached it. The
// worker is idle when it crashes.
func TestLateStartIsRefusedByTheNextIncarnation(t *testing.T) {
	for _, late := range []time.Duration{2100 * time.Millisecond, 5 * time.Second, 11 * time.Second} {
		for _, down := range []time.Duration{50 * time.Millisecond, 400 * time.Millisecond, time.Second} {
			for _, ahead := range []time.Duration{200 * time.Millisecond, 500 * time.Millisecond} {
				for _, elects := range []bool{false, true} {
					l := lateStart{late, down, ahead, elects}
					if l.elects && late < 4*time.Second {
						continue // the worker crashes before the new leader has called anyone
					}
					t.Run(fmt.Sprintf("%+v", l), func(t *testing.T) {
						w := l.play(t)
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

// Guards against a token of an incarnation that is not above all starts that were sent before: on
// the next incarnation they would count as new. A worker that answers again keeps the higher one.
func TestTokenRisesAboveStartsUnderWay(t *testing.T) {
	r := newRig(t)
	a := r.register("a", 1)
	r.submit(job1, step(1, 1000))
	r.commitPlan()
	sent := r.dropOrders()
	if len(sent) != 1 || sent[0].Kind != OrderStart {
		t.Fatalf("setup: orders %+v", sent)
	}
	ws := r.core.workers[a]
	next := func() Hold {
		for {
			hold, wait, _ := r.core.NextHold(r.now, a)
			if wait == 0 {
				return hold
			}
			r.advance(wait)
		}
	}
	r.core.HoldFailed(r.now, next())
	h := next()
	if h.Token <= sent[0].Token {
		t.Errorf("call with token %d after a start with %d that may be under way", h.Token, sent[0].Token)
	}
	r.core.HoldFailed(r.now, h)
	if again := next(); again.Token != h.Token {
		t.Errorf("token %d after %d, although no start was sent in between", again.Token, h.Token)
	}
	r.answer(next())
	r.advance(orderRetryDelay)
	if o := r.core.Orders(r.now); len(o) != 1 || o[0].Token != h.Token {
		t.Errorf("orders %+v, want one with token %d", o, h.Token)
	}
	r.restart(worker("a", 2))
	r.commitPlan()
	if w := r.core.workers[r.tables.WorkerByID("a").Handle]; w.token <= ws.token {
		t.Errorf("the next incarnation has token %d, the former one %d", w.token, ws.token)
	}
}

// Guards against an idle worker whose crash is not noticed for a second while a start may be under
// way to it, and against calls without a pause: to one that is idle or to many that are silent.
func TestCallsWhileAStartIsUnderWay(t *testing.T) {
	r := newRig(t)
	var workers []graph.Handle
	for i := range 50 {
		workers = append(workers, r.register(fmt.Sprint("w", i), 1))
	}
	a := workers[0]
	calls := func(h graph.Handle, d time.Duration, answered bool) (n int) {
		for end := r.now.Add(d); r.now.Before(end); r.advance(5 * time.Millisecond) {
			hold, wait, ok := r.core.NextHold(r.now, h)
			if !ok {
				t.Fatal("the worker's record is gone")
			}
			if wait > 0 {
				continue
			}
			n++
			if answered {
				if hold.WaitMS == 0 && r.core.mayStartLate(r.now, r.core.workers[h]) {
					t.Fatal("a call that does not stay open while a start may be under way")
				}
				r.answer(hold) // at once
			} else {
				r.core.HoldFailed(r.now, hold)
			}
			r.commitPlan()
		}
		return n
	}
	for _, h := range workers {
		r.core.noteLateStart(r.core.workers[h].w.ID, r.now)
	}
	if n := calls(a, 2*time.Second, true); n > int(2*time.Second/holdRetryMin)+1 {
		t.Errorf("%d calls in 2 s to an idle worker", n)
	}
	if n := calls(a, time.Second, false); n < 15 || n > int(time.Second/lateRetryMin)+1 {
		t.Errorf("%d calls in 1 s to a silent worker to which a start is under way, want about %d", n, time.Second/lateRetryMin)
	}
	for _, h := range workers {
		r.core.HoldFailed(r.now, r.core.hold(r.now, r.core.workers[h], 0))
	}
	r.advance(sweepInterval)
	r.commitPlan()
	if n := calls(a, time.Second, false); n > int(time.Second/(50*lateRetryEach))+1 {
		t.Errorf("%d calls in 1 s to each of 50 silent workers", n)
	}
	r.advance(lateOrderMax)
	for i := range workers { // their reports still arrive
		r.core.Beat(r.now, worker(fmt.Sprint("w", i), 1))
	}
	if n := calls(a, 3*time.Second, false); n > int(3*time.Second/holdRetryMax)+1 {
		t.Errorf("%d calls in 3 s to a silent worker, %s after the last start was sent", n, lateOrderMax)
	}
}
