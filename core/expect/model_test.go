package expect

import (
	"math"
	"math/rand"
	"testing"

	"pgregory.net/rapid"
)

// play records runs of a kind whose estimates are off by a factor and by chance, and
// returns the mean error of the logarithm, of the model and of the estimates.
func play(rng *rand.Rand, m *Model, bias, noise, spread float64, runs int) (model, estimates float64) {
	kind := Kind{Queue: "q", Size: sizeClass(7000)}
	n := 0.0
	for i := range runs {
		took := math.Exp(math.Log(2700) + spread*rng.NormFloat64())
		estimate := int64(took * bias * math.Exp(noise*rng.NormFloat64()))
		if i >= runs/2 {
			model += math.Abs(math.Log(float64(m.Work(kind, estimate).MeanMS) / took))
			estimates += math.Abs(math.Log(float64(estimate) / took))
			n++
		}
		m.Record(kind, estimate, int64(took))
	}
	return model / n, estimates / n
}

// Guards against expectations that are worse than the callers' estimates, which everything
// else used before: estimates that are far off on average, that are off by chance where
// the work is alike, and that are right where the work differs.
func TestErrorAgainstTheEstimate(t *testing.T) {
	for _, c := range []struct {
		name                string
		bias, noise, spread float64
		most                float64 // of the estimates' error
	}{
		{"estimates of a half", 0.5, 0.2, 0.5, 0.5},
		{"estimates of the triple", 3, 0.2, 0.5, 0.35},
		{"estimates by chance", 1, 0.9, 0.3, 0.5},
		{"good estimates", 1, 0.1, 0.8, 1.2},
	} {
		model, estimates := play(rand.New(rand.NewSource(1)), &Model{}, c.bias, c.noise, c.spread, 400)
		t.Logf("%s: error %.3f, of the estimates %.3f", c.name, model, estimates)
		if model > c.most*estimates {
			t.Errorf("%s: error %.3f, want %.2f of the estimates' %.3f at most", c.name, model, c.most, estimates)
		}
	}
}

// Guards against a quantile that does not hold for nine tasks of ten.
func TestHighQuantile(t *testing.T) {
	rng, m, kind := rand.New(rand.NewSource(2)), &Model{}, Kind{Queue: "q"}
	within := 0
	for i := range 2000 {
		took := math.Exp(math.Log(1000) + 0.5*rng.NormFloat64())
		if i >= 1000 && int64(took) <= m.Work(kind, 500).HighMS {
			within++
		}
		m.Record(kind, 500, int64(took))
	}
	if within < 850 || within > 950 {
		t.Errorf("%d of 1000 tasks within the high quantile, want about 900", within)
	}
}

// Guards against a model that grows without bound, forgets what it has just learned, or is
// not the same for the next leader.
func TestBoundedAndRestored(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &Model{}
		n := rapid.IntRange(1, 2*maxKinds).Draw(t, "kinds")
		for i := range n {
			m.Record(Kind{Queue: "q", Step: i}, 1000, 500)
		}
		if len(m.kinds) > maxKinds || m.kinds[Kind{Queue: "q", Step: n - 1}] == nil {
			t.Fatalf("%d kinds are known", len(m.kinds))
		}
		next := Restore(m.Save())
		for kind := range m.kinds {
			a, b := m.Work(kind, 1000), next.Work(kind, 1000)
			if math.Abs(float64(a.MeanMS-b.MeanMS)) > 1 || math.Abs(float64(a.HighMS-b.HighMS)) > 1 {
				t.Fatalf("%+v is expected before an election, %+v after it", a, b)
			}
		}
		if m.Save() != nil || next.Save() != nil {
			t.Fatal("saved again without a new record")
		}
	})
}

// Guards against an estimate that is not used while nothing is known.
func TestUnknownKind(t *testing.T) {
	var m Model
	if w := m.Work(Kind{Queue: "q"}, 1000); w.MeanMS < 1000 || w.MeanMS > 1200 || w.HighMS < w.MeanMS {
		t.Errorf("%+v is expected of an estimate of 1 s", w)
	}
	if w := m.Work(Kind{Queue: "q"}, 0); w != (Work{}) {
		t.Errorf("%+v is expected without an estimate", w)
	}
}

// Guards against a step that counts as done with its average task, or a single task that
// counts as the longest of many.
func TestLongestOf(t *testing.T) {
	w := Work{MeanMS: 1000, HighMS: 2000}
	for n, want := range map[int]int64{0: 1000, 1: 1000, 3: 1477, 10: 2000, 100: 2000} {
		if got := w.LongestOf(n); got != want {
			t.Errorf("%d ms for the longest of %d tasks, want %d", got, n, want)
		}
	}
}
