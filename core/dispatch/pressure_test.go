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

// knownPressure returns a model with a fixed, heavily weighted pressure for one
// filler image.
func knownPressure(filler string, pressure float64) *pressureModel {
	const weight = 1e6
	return &pressureModel{
		fillers:  []string{filler},
		products: [][]float64{{weight}},
		targets:  []float64{weight * pressure},
		pressure: []float64{pressure},
		priors:   []prior{defaultPrior},
	}
}

// Guards against the loss of learned pressures on an election, and against a leader
// that never corrects the estimates of its predecessor.
func TestPressuresSurviveElection(t *testing.T) {
	r := newRig(t)
	r.core.pressure["s1"] = knownPressure("f", 6)
	r.advance(pressureSaveInterval)
	r.commitPlan()
	data, err := r.tables.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if r.tables, err = graph.Decode(data); err != nil {
		t.Fatal(err)
	}
	r.elect(2)
	if got := r.core.pressureOf("f", "s1"); got != 6 {
		t.Fatalf("the next leader estimates the pressure as %.2f, want 6", got)
	}
	for range 500 {
		r.core.learn(r.now, "s1", -0.01, map[string]float64{"f": 0.1})
		r.core.learn(r.now, "s1", 0.01, map[string]float64{"f": -0.1})
	}
	if got := r.core.pressureOf("f", "s1"); got > 0.5 {
		t.Errorf("after 1,000 observations of a pressure of 0.1 the estimate is %.2f, want at most 0.5", got)
	}
}

// Guards against a model that cannot tell image pairs apart. It must learn the
// pressure of each pair from lists in which several fillers change at once and the
// serving load is noisy.
func TestPressureOfPairsIsLearned(t *testing.T) {
	type pair struct{ filler, serving string }
	truth := map[pair]float64{{"x", "s1"}: 5, {"y", "s1"}: 0.3, {"x", "s2"}: 0.3, {"y", "s2"}: 5}
	c := &Core{pressure: map[string]*pressureModel{}}
	now := time.Unix(1_700_000_000, 0)
	rng := rand.New(rand.NewPCG(1, 2))
	use := map[string]float64{}
	for range 400 {
		next := map[string]float64{"x": float64(rng.IntN(4)) * 0.1, "y": float64(rng.IntN(4)) * 0.1}
		for _, s := range []string{"s1", "s2"} {
			change := rng.NormFloat64() * 0.05
			for f, u := range next {
				change -= truth[pair{f, s}] * (u - use[f])
			}
			c.learn(now, s, change, useChange(use, next))
		}
		use = next
	}
	for p, k := range truth {
		if got := c.pressureOf(p.filler, p.serving); got < k-0.5 || got > k+0.5 {
			t.Errorf("pressure of %s on %s is %.2f, want %.1f", p.filler, p.serving, got, k)
		}
	}
}

// Guards against a model that learns too slowly to help within a burst. With six
// filler images beside a serving image whose load is as noisy as on the platform,
// 300 observations (three seconds of 50 workers) must suffice.
func TestPressureIsLearnedWithinABurst(t *testing.T) {
	truth := map[string]float64{"a": 5, "b": 0, "c": 4, "d": 0.2, "e": 0, "f": 6}
	c := &Core{pressure: map[string]*pressureModel{}}
	rng := rand.New(rand.NewPCG(3, 4))
	now := time.Unix(1_700_000_000, 0)
	use := map[string]float64{}
	for range 300 {
		next := map[string]float64{}
		for f := range truth {
			if rng.IntN(3) == 0 {
				next[f] = 0.1
			}
		}
		change := rng.NormFloat64() * 0.5
		for f, k := range truth {
			change -= k * (next[f] - use[f])
		}
		now = now.Add(10 * time.Millisecond)
		c.learn(now, "s", change, useChange(use, next))
		use = next
	}
	for f, k := range truth {
		if got := c.pressureOf(f, "s"); got < k-1.5 || got > k+1.5 {
			t.Errorf("pressure of %s is %.2f, want %.1f within 1.5", f, got, k)
		}
	}
}

// Guards against memory that grows with the number of images that have ever run, and
// against a new image that inherits the observations of the image that it replaces.
func TestPressureModelIsBounded(t *testing.T) {
	m := &pressureModel{}
	for i := range 3 * maxFillerImages {
		image := fmt.Sprint("f", i)
		m.add(-0.4, map[string]float64{"steady": 0.1, image: 0.01})
		if got := m.estimate(image); got > pressureMax {
			t.Fatalf("pressure of %s is %.2f", image, got)
		}
	}
	if n := len(m.fillers); n > maxFillerImages {
		t.Errorf("%d images are kept, want at most %d", n, maxFillerImages)
	}
	if got := m.estimate("steady"); got < 3 || got > 4.5 {
		t.Errorf("pressure of the steady filler is %.2f, want about 4", got)
	}
}

// Guards against fillers placed beside tasks with which they interfere while the
// tasks of another worker would hardly be affected.
func TestFillerAvoidsTasksItDisturbs(t *testing.T) {
	r := newRig(t)
	a, b := r.register("a", 1), r.register("b", 1)
	r.submit("00000000000000b1", serving(1, 4000, "s1"))
	r.submit("00000000000000b2", serving(1, 4000, "s2"))
	r.commitPlan()
	r.acceptOrders()
	r.hold(a)
	r.hold(b)
	on1, on2 := r.attempts("00000000000000b1")[0].Worker, r.attempts("00000000000000b2")[0].Worker
	if on1 == on2 {
		t.Fatal("tasks of two images share a worker although another one is free")
	}
	r.core.pressure["s1"] = knownPressure("f", 6)
	r.core.pressure["s2"] = knownPressure("f", 0.2)
	r.submit(job1, filler(2, 2000, "f"))
	r.commitPlan()
	for _, at := range r.attempts(job1) {
		if at.Worker != on2 {
			t.Errorf("filler %s is on worker %s beside tasks with which it interferes", at.Ref(), at.Worker.ID)
		}
	}
	if n := len(r.attempts(job1)); n != 2 {
		t.Errorf("%d fillers started, want 2", n)
	}
}

// Guards against fillers that keep a serving task over its target, which the platform
// allows for a few seconds only, and against fillers that stay slowed once the task is
// well below its target.
func TestFillersAreSlowedAndResumed(t *testing.T) {
	r := newRig(t)
	a := r.register("a", 1)
	r.submit("00000000000000b1", serving(1, 4000, "s1"))
	r.submit(job1, filler(1, 1500, "f"))
	r.commitPlan()
	r.acceptOrders()
	list := func(tailMS float64) int {
		for ref, row := range r.lists[a].running {
			row.Measure = 1500
			if ref.Job != job1 {
				row.Measure = tailMS
			}
			r.lists[a].running[ref] = row
		}
		last := -1
		for range 6 { // 3 s, within the limit of 4 s
			r.advance(500 * time.Millisecond)
			r.hold(a)
			for _, o := range r.acceptOrders() {
				if o.Kind == OrderPace {
					last = o.Percent
				}
			}
		}
		return last
	}
	if got := list(120); got != 0 {
		t.Errorf("after 3 s over the target, the filler's pace is %d%%, want 0", got)
	}
	if got := list(15); got < 90 {
		t.Errorf("after 3 s well below the target, the filler's pace is %d%%, want 90 or more", got)
	}
}

// Guards against fillers with an underestimated pressure that keep a serving task
// over its target. Well within the platform's limit of 4 s they must be paused and no
// other filler may start on the worker.
func TestUnderestimatedFillersArePaused(t *testing.T) {
	r := newRig(t)
	a := r.register("a", 1)
	r.submit("00000000000000b1", serving(1, 4000, "s1"))
	r.submit(job1, filler(1, 1500, "f"))
	r.commitPlan()
	r.acceptOrders()
	pace := 100
	for i := range 5 { // 2.5 s
		r.core.pressure["s1"] = knownPressure("f", 0.1)
		for ref, row := range r.lists[a].running {
			row.Measure = 60
			r.lists[a].running[ref] = row
		}
		r.advance(500 * time.Millisecond)
		r.hold(a)
		for _, o := range r.acceptOrders() {
			if o.Kind == OrderPace {
				pace = o.Percent
			}
		}
		r.submit(graph.JobID(fmt.Sprintf("00000000000000c%d", i)), filler(1, 100, "f"))
		r.commitPlan()
		r.acceptOrders()
	}
	if pace != 0 {
		t.Errorf("after 2.5 s over the target, the filler's pace is %d%%, want 0", pace)
	}
	if n := len(r.attempts("00000000000000c4")); n != 0 {
		t.Error("a filler started beside a task that is over its target")
	}
}
