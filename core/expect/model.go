// Package expect learns what the tasks of each kind of work take, from runs that ended
// done. It does no I/O and reads no clock.
package expect

import (
	"cmp"
	"math"
	"math/bits"
	"slices"

	"gooseberrypond/core/graph"
)

const (
	// maxKinds limits what is kept and saved, about 10 KB; the kind that was recorded
	// longest ago is forgotten first.
	maxKinds = 256
	// decay is the factor on the weight of earlier runs at each run of a kind.
	decay = 0.98
	// priorWeight is how many runs the caller's estimate counts for, priorVariance the
	// variance of the logarithm of its error that is assumed.
	priorWeight, priorVariance = 4.0, 0.25
	// highQuantile is the distance of the high quantile, which nine of ten tasks do not
	// exceed, from the mean of the logarithm, in standard deviations.
	highQuantile = 1.28
)

// Kind is what tasks have in common that are expected to take alike.
type Kind struct {
	Queue string
	Step  int
	// Size is the logarithm to base 2 of the thousandths of a core that a task requests.
	Size uint8
}

// KindOf returns the kind of the tasks of a step.
func KindOf(s *graph.StepState) Kind {
	return Kind{Queue: s.Occurrence.Job.Spec.Queue, Step: s.Number, Size: sizeClass(s.Need.CPUMilli)}
}

func sizeClass(cpuMilli int64) uint8 { return uint8(bits.Len64(uint64(max(cpuMilli, 0)))) }

// Work is the expected duration of a task on a worker of speed 1, in milliseconds: on
// average, and what nine of ten tasks do not exceed.
type Work struct{ MeanMS, HighMS int64 }

// LongestOf returns what the longest of n tasks is expected to take: of ten, about what
// nine do not exceed.
func (w Work) LongestOf(n int) int64 {
	share := min(1, math.Log(float64(max(n, 1)))/math.Ln10)
	return w.MeanMS + int64(share*float64(w.HighMS-w.MeanMS))
}

// normal is a decaying mean and variance of the logarithm of a quantity.
type normal struct{ mean, variance float64 }

// add adds a value to n, which has the given weight.
func (n *normal) add(x, weight float64) {
	d := x - n.mean
	share := 1 / (weight + 1)
	n.mean += share * d
	n.variance = (1 - share) * (n.variance + share*d*d)
}

// known is what is known of a kind: the logarithms of the duration in milliseconds, and
// of its ratio to the estimate.
type known struct {
	weight      float64
	took, ratio normal
	// at is the number of the last record.
	at uint64
}

// Model is what is known of each kind of work. The zero value knows nothing.
type Model struct {
	kinds   map[Kind]*known
	records uint64
	saved   uint64 // records at the last Save
}

// Work returns what a task of a kind is expected to take, given its caller's estimate.
// The estimate is believed with the error that estimates of this kind have had, unless
// the tasks' durations differ less from each other than from their estimates.
func (m *Model) Work(kind Kind, estimateMS int64) Work {
	k := m.kinds[kind]
	switch {
	case k == nil && estimateMS <= 0:
		return Work{}
	case k == nil:
		return workOf(math.Log(float64(estimateMS)), priorVariance)
	case estimateMS <= 0, k.took.variance < k.ratio.variance && k.weight >= priorWeight:
		return workOf(k.took.mean, k.took.variance)
	}
	trust := k.weight / (k.weight + priorWeight)
	return workOf(math.Log(float64(estimateMS))+trust*k.ratio.mean, trust*k.ratio.variance+(1-trust)*priorVariance)
}

func workOf(mean, variance float64) Work {
	return Work{
		MeanMS: int64(math.Round(math.Exp(mean + variance/2))),
		HighMS: int64(math.Round(math.Exp(mean + max(highQuantile*math.Sqrt(variance), variance/2)))),
	}
}

// Record adds a run that ended done and took the given time on a worker of speed 1.
func (m *Model) Record(kind Kind, estimateMS, tookMS int64) {
	took := math.Log(float64(max(tookMS, 1)))
	k := m.kinds[kind]
	if k == nil {
		k = m.add(kind)
		k.took.mean = took
	}
	m.records++
	k.at = m.records
	k.weight *= decay
	k.took.add(took, k.weight)
	if estimateMS > 0 {
		k.ratio.add(took-math.Log(float64(estimateMS)), k.weight)
	}
	k.weight++
}

func (m *Model) add(kind Kind) *known {
	if m.kinds == nil {
		m.kinds = map[Kind]*known{}
	}
	if len(m.kinds) >= maxKinds {
		delete(m.kinds, m.oldest())
	}
	k := &known{}
	m.kinds[kind] = k
	return k
}

func (m *Model) oldest() Kind {
	var oldest Kind
	at := uint64(math.MaxUint64)
	for kind, k := range m.kinds {
		if k.at < at {
			oldest, at = kind, k.at
		}
	}
	return oldest
}

// Save returns what is known, to be recorded in the log, and nil if nothing was recorded
// since the last call.
func (m *Model) Save() []graph.Expected {
	if m.records == m.saved {
		return nil
	}
	m.saved = m.records
	out := make([]graph.Expected, 0, len(m.kinds))
	for kind, k := range m.kinds {
		out = append(out, graph.Expected{
			Queue: kind.Queue, Step: kind.Step, Size: kind.Size, Weight: float32(k.weight),
			TookMean: float32(k.took.mean), TookVariance: float32(k.took.variance),
			RatioMean: float32(k.ratio.mean), RatioVariance: float32(k.ratio.variance),
		})
	}
	slices.SortFunc(out, func(a, b graph.Expected) int {
		return cmp.Or(cmp.Compare(a.Queue, b.Queue), cmp.Compare(a.Step, b.Step), cmp.Compare(a.Size, b.Size))
	})
	return out
}

// Restore returns the model that an earlier leader saved.
func Restore(saved []graph.Expected) *Model {
	m := &Model{}
	for i := range saved {
		e := &saved[i]
		*m.add(Kind{Queue: e.Queue, Step: e.Step, Size: e.Size}) = known{
			weight: float64(e.Weight),
			took:   normal{float64(e.TookMean), float64(e.TookVariance)},
			ratio:  normal{float64(e.RatioMean), float64(e.RatioVariance)},
		}
	}
	return m
}
