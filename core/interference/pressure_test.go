package interference

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

var start = time.Unix(1_700_000_000, 0)

// useChange returns the change in use of each filler image.
func useChange(before, after map[string]float64) map[string]float64 {
	diff := map[string]float64{}
	for image, use := range after {
		diff[image] = use - before[image]
	}
	for image, use := range before {
		if _, ok := after[image]; !ok {
			diff[image] = -use
		}
	}
	return diff
}

// Guards against a model that cannot tell image pairs apart. It must learn the
// pressure of each pair from lists in which several fillers change at once and the
// serving load is noisy.
func TestPressureOfPairsIsLearned(t *testing.T) {
	type pair struct{ filler, serving string }
	truth := map[pair]float64{{"x", "s1"}: 5, {"y", "s1"}: 0.3, {"x", "s2"}: 0.3, {"y", "s2"}: 5}
	models := map[string]*Pressures{"s1": NewPressures(start), "s2": NewPressures(start)}
	rng := rand.New(rand.NewPCG(1, 2))
	use := map[string]float64{}
	for range 400 {
		next := map[string]float64{"x": float64(rng.IntN(4)) * 0.1, "y": float64(rng.IntN(4)) * 0.1}
		for _, s := range []string{"s1", "s2"} {
			change := rng.NormFloat64() * 0.05
			for f, u := range next {
				change -= truth[pair{f, s}] * (u - use[f])
			}
			models[s].Observe(change, useChange(use, next))
		}
		use = next
	}
	for p, k := range truth {
		if got := models[p.serving].Estimate(p.filler); got < k-0.5 || got > k+0.5 {
			t.Errorf("pressure of %s on %s is %.2f, want %.1f", p.filler, p.serving, got, k)
		}
	}
}

// Guards against a model that learns too slowly to help within a burst. With six
// filler images beside a serving image whose load is as noisy as on the platform,
// 300 observations (three seconds of 50 workers) must suffice.
func TestPressureIsLearnedWithinABurst(t *testing.T) {
	truth := map[string]float64{"a": 5, "b": 0, "c": 4, "d": 0.2, "e": 0, "f": 6}
	m := NewPressures(start)
	rng := rand.New(rand.NewPCG(3, 4))
	now := start
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
		m.Decay(now)
		m.Observe(change, useChange(use, next))
		use = next
	}
	for f, k := range truth {
		if got := m.Estimate(f); got < k-1.5 || got > k+1.5 {
			t.Errorf("pressure of %s is %.2f, want %.1f within 1.5", f, got, k)
		}
	}
}

// Guards against memory that grows with the number of images that have ever run, and
// against a new image that inherits the observations of the image that it replaces.
func TestPressuresAreBounded(t *testing.T) {
	m := NewPressures(start)
	for i := range 3 * maxFillers {
		image := fmt.Sprint("f", i)
		m.Observe(-0.4, map[string]float64{"steady": 0.1, image: 0.01})
		if got := m.Estimate(image); got > pressureMax {
			t.Fatalf("pressure of %s is %.2f", image, got)
		}
	}
	if n := len(m.fillers); n > maxFillers {
		t.Errorf("%d images are kept, want at most %d", n, maxFillers)
	}
	if got := m.Estimate("steady"); got < 3 || got > 4.5 {
		t.Errorf("pressure of the steady filler is %.2f, want about 4", got)
	}
}

// Guards against a strong filler that many more start beside before its pressure is known:
// the lists of two workers with a start each must show half of it.
func TestStrongPressureShowsAtOnce(t *testing.T) {
	for _, pressure := range []float64{8, 15} {
		m := NewPressures(start)
		for range 2 {
			m.Observe(-pressure*0.1, map[string]float64{"f": 0.1})
		}
		if got := m.Estimate("f"); got < pressure/2 {
			t.Errorf("pressure is %.1f after two starts, want half of %.0f at least", got, pressure)
		}
	}
}

// Guards against a weak filler that is taken for a strong one, and kept from most workers,
// because workers turned slow while some started there.
func TestSlowWorkerDoesNotTeachPressure(t *testing.T) {
	m := NewPressures(start)
	for i := range 100 {
		change, use := -0.08, 0.1
		if i%2 == 1 {
			change, use = 0.08, -0.1
		}
		if i%20 == 10 {
			change = -3 // the worker turned slow
		}
		m.Observe(change, map[string]float64{"f": use})
	}
	if got := m.Estimate("f"); got > 1.6 {
		t.Errorf("pressure is %.2f, want about 0.8", got)
	}
}

// Guards against an estimate that is no number, which spreads to all pressures of its image.
func TestImpossibleEstimateIsNotInherited(t *testing.T) {
	for _, x := range []float64{math.NaN(), math.Inf(1), -1, pressureMax + 1} {
		p := NewPressures(time.Unix(0, 0))
		p.Inherit("f", x)
		if got := p.Estimate("f"); got != PressurePrior {
			t.Errorf("%g was inherited as %g", x, got)
		}
	}
}
