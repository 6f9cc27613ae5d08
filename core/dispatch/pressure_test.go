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

// knownPressure returns a model that is certain of the pressure of one filler image.
func knownPressure(filler string, pressure float64) *pressureModel {
	const weight = 1e6
	return &pressureModel{
		fillers:  []string{filler},
		products: [][]float64{{weight}},
		targets:  []float64{weight * pressure},
		pressure: []float64{pressure},
		priors:   []prior{unknownPressure},
	}
}

// Guards against an election after which fillers disturb as if nothing had been
// learned, and against a leader that trusts a former one for ever.
func TestPressuresOutliveTheLeader(t *testing.T) {
	r := newRig(t)
	r.core.pressure["s1"] = knownPressure("f", 6)
	r.pass(pressureSaveInterval)
	r.turn()
	data, err := r.tables.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if r.tables, err = graph.Decode(data); err != nil {
		t.Fatal(err)
	}
	r.elect(2)
	if got := r.core.pressureOf("f", "s1"); got != 6 {
		t.Fatalf("the next leader takes the pressure for %.2f, want 6", got)
	}
	for range 500 {
		r.core.learn(r.now, "s1", -0.01, map[string]float64{"f": 0.1})
		r.core.learn(r.now, "s1", 0.01, map[string]float64{"f": -0.1})
	}
	if got := r.core.pressureOf("f", "s1"); got > 0.5 {
		t.Errorf("after 1,000 observations of 0.1 the pressure is %.2f", got)
	}
}

// Guards against treating all images alike: the pressure of each pair must be
// told from lists in which several fillers change at once, beside a noisy load.
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

// Guards against a burst that ends before it is known which fillers disturb:
// with six images beside a serving one and its load as noisy as the platform's,
// 300 changes (three seconds of fifty workers) must tell them apart.
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

// Guards against memory that grows with the images that ever ran, and against
// a new image that takes over the sums of the one that it replaces.
func TestPressureModelIsBounded(t *testing.T) {
	m := &pressureModel{}
	for i := range 3 * maxFillerImages {
		image := fmt.Sprint("f", i)
		m.add(-0.4, map[string]float64{"steady": 0.1, image: 0.01})
		if got := m.of(image); got > pressureMax {
			t.Fatalf("pressure of %s is %.2f", image, got)
		}
	}
	if n := len(m.fillers); n > maxFillerImages {
		t.Errorf("%d images are kept, want %d at the most", n, maxFillerImages)
	}
	if got := m.of("steady"); got < 3 || got > 4.5 {
		t.Errorf("pressure of the steady filler is %.2f, want about 4", got)
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
	r.core.pressure["s1"] = knownPressure("f", 6)
	r.core.pressure["s2"] = knownPressure("f", 0.2)
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
	r.submit(job1, filler(1, 1500, "f"))
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
	r.submit(job1, filler(1, 1500, "f"))
	r.turn()
	r.deliver()
	pace := 100
	for i := range 5 { // 2.5 s
		r.core.pressure["s1"] = knownPressure("f", 0.1)
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
