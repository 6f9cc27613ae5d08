package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gooseberrypond/core/graph"
)

func serving(count int, cpu int64, image string) graph.Step {
	s := step(count, cpu)
	s.LongRunning, s.Image, s.TailTargetMS = true, image, 50
	return s
}

func filler(count int, cpu int64, image string) graph.Step {
	s := step(count, cpu)
	s.Filler, s.Image = true, image
	return s
}

// Guards against treating all images alike: the pressure of each pair must be
// told from lists in which several fillers change at once, beside a noisy load.
func TestPressureOfPairsIsLearned(t *testing.T) {
	truth := map[imagePair]float64{{"x", "s1"}: 5, {"y", "s1"}: 0.3, {"x", "s2"}: 0.3, {"y", "s2"}: 5}
	c := &Core{pressure: map[imagePair]float64{}}
	rng := rand.New(rand.NewPCG(1, 2))
	use := map[string]float64{}
	for range 400 {
		next := map[string]float64{"x": float64(rng.IntN(4)) * 0.1, "y": float64(rng.IntN(4)) * 0.1}
		for _, s := range []string{"s1", "s2"} {
			change := rng.NormFloat64() * 0.05
			for f, u := range next {
				change -= truth[imagePair{f, s}] * (u - use[f])
			}
			c.learn(s, change, useChange(use, next))
		}
		use = next
	}
	for p, k := range truth {
		if got := c.pressureOf(p.filler, p.serving); got < k-0.5 || got > k+0.5 {
			t.Errorf("pressure of %s on %s is %.2f, want %.1f", p.filler, p.serving, got, k)
		}
	}
}

// Guards against fillers beside the tasks that they disturb while another
// worker's tasks would hardly notice them.
func TestFillerAvoidsTasksItDisturbs(t *testing.T) {
	r := newRig(t)
	a, b := r.register("a", 1), r.register("b", 1)
	r.submit("00000000000000b1", serving(1, 4000, "s1"))
	r.submit("00000000000000b2", serving(1, 4000, "s2"))
	r.turn()
	r.deliver()
	r.hold(a)
	r.hold(b)
	on1, on2 := r.started("00000000000000b1")[0].Worker, r.started("00000000000000b2")[0].Worker
	if on1 == on2 {
		t.Fatal("tasks of two images share a worker although another one is free")
	}
	r.core.pressure[imagePair{"f", "s1"}] = 6
	r.core.pressure[imagePair{"f", "s2"}] = 0.2
	r.submit(job1, filler(2, 2000, "f"))
	r.turn()
	for _, at := range r.started(job1) {
		if at.Worker != on2 {
			t.Errorf("filler %s is on worker %s beside the tasks that it disturbs", at.Ref(), at.Worker.ID)
		}
	}
	if n := len(r.started(job1)); n != 2 {
		t.Errorf("%d fillers started, want 2", n)
	}
}

// Guards against a serving task that stays over its target because of fillers
// (the platform allows it for a few seconds only), and against fillers that
// stay slowed once it is well below.
func TestFillersAreSlowedAndReleased(t *testing.T) {
	r := newRig(t)
	a := r.register("a", 1)
	r.submit("00000000000000b1", serving(1, 4000, "s1"))
	r.submit(job1, filler(1, 2000, "f"))
	r.turn()
	r.deliver()
	list := func(tailMS float64) int {
		for ref, row := range r.lists[a].running {
			row.Measure = 1500
			if ref.Job != job1 {
				row.Measure = tailMS
			}
			r.lists[a].running[ref] = row
		}
		last := -1
		for range 6 { // 3 s, within the 4 s that are allowed
			r.pass(500 * time.Millisecond)
			r.hold(a)
			for _, o := range r.deliver() {
				if o.Kind == OrderPace {
					last = o.Percent
				}
			}
		}
		return last
	}
	if got := list(120); got != 0 {
		t.Errorf("after 3 s over the target the filler is at %d%%, want 0", got)
	}
	if got := list(15); got < 90 {
		t.Errorf("after 3 s well below the target the filler is at %d%%, want 90 or more", got)
	}
}

// Guards against a serving task that stays over its target because of fillers
// whose pressure is underestimated: they must stand still, and no other may
// start there, well within the 4 s that the platform allows.
func TestUnderestimatedFillersStandStill(t *testing.T) {
	r := newRig(t)
	a := r.register("a", 1)
	r.submit("00000000000000b1", serving(1, 4000, "s1"))
	r.submit(job1, filler(1, 2000, "f"))
	r.turn()
	r.deliver()
	pace := 100
	for i := range 5 { // 2.5 s
		r.core.pressure[imagePair{"f", "s1"}] = 0.1
		for ref, row := range r.lists[a].running {
			row.Measure = 60
			r.lists[a].running[ref] = row
		}
		r.pass(500 * time.Millisecond)
		r.hold(a)
		for _, o := range r.deliver() {
			if o.Kind == OrderPace {
				pace = o.Percent
			}
		}
		r.submit(graph.JobID(fmt.Sprintf("00000000000000c%d", i)), filler(1, 100, "f"))
		r.turn()
		r.deliver()
	}
	if pace != 0 {
		t.Errorf("after 2.5 s over the target the filler is at %d%%, want 0", pace)
	}
	if n := len(r.started("00000000000000c4")); n != 0 {
		t.Error("a filler started beside a task that is over its target")
	}
}
