package sched

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gooseberrypond/core/structs"
)

// Guards against attributing a slowdown to the wrong neighbour when several
// share a worker.
func TestInterferenceSeparatesPairs(t *testing.T) {
	truth := []float64{0, 0.02, 0.10, 0.30}
	rng := rand.New(rand.NewPCG(1, 1))
	var f interference
	for range 3000 {
		var neighbours []int32
		sum := 0.0
		for range 5 {
			a := rng.IntN(len(truth))
			neighbours = append(neighbours, int32(a))
			sum += truth[a]
		}
		f.observe(0, 1+sum+0.02*rng.NormFloat64(), 5000, neighbours)
	}
	for a, want := range truth {
		if got := f.excess(0, int32(a)); math.Abs(got-want) > 0.04 {
			t.Errorf("excess slowdown caused by entry %d is %.3f, want %.3f", a, got, want)
		}
	}
}

// Guards against one report outweighing the prior from other pairs, and against
// giving old reports the same weight as new ones.
func TestFewSamplesHaveLowWeight(t *testing.T) {
	var fresh, old interference
	fresh.observe(0, 3, 0, []int32{1})
	old.observe(0, 3, 120_000, []int32{1})
	if got := fresh.excess(0, 1); got > 1 {
		t.Errorf("estimate after one report of excess 2 is %.2f, want at most 1", got)
	}
	if old.excess(0, 1) >= fresh.excess(0, 1) {
		t.Errorf("estimate from a report 2 min old is %.3f, want less than %.3f from a new one", old.excess(0, 1), fresh.excess(0, 1))
	}
}

// Guards against reservations that are below measured use, exceed the quota or
// every worker, or are lowered after too few reports.
func TestReserve(t *testing.T) {
	declared := structs.Resources{CPUMilli: 4000, MemoryMB: 10_000, Accelerators: 1}
	tests := []struct {
		name    string
		class   structs.Class
		reports int
		used    structs.Resources
		low     structs.Resources
		high    structs.Resources
	}{
		{"no report", structs.ClassBatch, 0, structs.Resources{}, declared, declared},
		{"too few to lower", structs.ClassBatch, minSamplesToLower - 1, structs.Resources{CPUMilli: 1000, MemoryMB: 2000}, declared, declared},
		{"processors lowered, memory not", structs.ClassBatch, 500, structs.Resources{CPUMilli: 1000, MemoryMB: 2000}, structs.Resources{CPUMilli: 1000, MemoryMB: 10_000}, structs.Resources{CPUMilli: 1300, MemoryMB: 10_000}},
		{"latency-critical not lowered", structs.ClassLatency, 500, structs.Resources{CPUMilli: 1000, MemoryMB: 2000}, declared, declared},
		{"raised", structs.ClassBatch, 20, structs.Resources{CPUMilli: 6000, MemoryMB: 15_000}, structs.Resources{CPUMilli: 6000, MemoryMB: 15_000}, structs.Resources{CPUMilli: 7500, MemoryMB: 18_000}},
		{"raised to the bound", structs.ClassBatch, 20, structs.Resources{CPUMilli: 28_000, MemoryMB: 10_000}, structs.Resources{CPUMilli: 16_000, MemoryMB: 10_000}, structs.Resources{CPUMilli: 16_000, MemoryMB: 12_000}},
		{"above the quota", structs.ClassBatch, 20, structs.Resources{CPUMilli: 6000, MemoryMB: 30_000}, declared, declared},
		{"above every worker", structs.ClassBatch, 20, structs.Resources{CPUMilli: 6000, MemoryMB: 60_000}, declared, declared},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := New(Options{})
			s.workerShapes = []workerShape{{capacity: structs.Resources{CPUMilli: 32000, MemoryMB: 36_000, Accelerators: 2}}}
			info := &entryInfo{id: s.entryID("e")}
			info.Class = tt.class
			if tt.name == "above the quota" {
				info.quota.MemoryMB = 20_000
			}
			for range tt.reports {
				s.estimate(info.id).observe(declared, tt.used, false)
			}
			got := s.reservedSize(info, declared)
			if !tt.low.Fits(got) && tt.low.CPUMilli > got.CPUMilli || got.MemoryMB < tt.low.MemoryMB || got.CPUMilli > tt.high.CPUMilli || got.MemoryMB > tt.high.MemoryMB || got.Accelerators != declared.Accelerators {
				t.Errorf("reserved %s, want between %s and %s", got, tt.low, tt.high)
			}
		})
	}
}

// Guards against leaving the neighbours of a slowed service unthrottled,
// throttling all of them at once because reports arrive late, and never releasing
// a throttle.
func TestThrottleStepByStep(t *testing.T) {
	c, s := newTestCluster(1)
	service := c.submit("service", structs.JobSpec{Kind: structs.KindService})
	c.submit("batch", structs.JobSpec{Count: 2})
	c.tick(t, s, time.Second)
	report := func(slowdown float64) int {
		c.now = c.now.Add(throttleInterval)
		s.Observe(c.now, "w0000", []structs.Usage{{Task: structs.TaskID{Job: service}, AgeMS: 5000, Slowdown: slowdown, Neighbours: []string{"batch", "batch"}}}, c.t)
		s.Observe(c.now, "w0000", nil, c.t)
		return len(s.Throttles("w0000"))
	}
	for i, tt := range []struct {
		slowdown float64
		want     int
	}{{1.1, 0}, {4, 1}, {4, 2}, {4, 2}, {1, 2}, {1, 2}, {1, 2}, {1, 1}, {1, 0}} {
		if got := report(tt.slowdown); got != tt.want {
			t.Errorf("step %d, slowdown %.1f: %d throttled, want %d", i, tt.slowdown, got, tt.want)
		}
	}
}

// predictionError feeds generated reports about a catalogue of the given number
// of entries to a scheduler and returns its mean prediction error.
func predictionError(plain bool, seed uint64, entries, reports int) float64 {
	rng := rand.New(rand.NewPCG(seed, 9))
	truth := make([][]float64, entries)
	noise, sensitivity := make([]float64, entries), make([]float64, entries)
	for i := range entries {
		noise[i], sensitivity[i] = 0.3*rng.Float64(), rng.Float64()
	}
	for v := range entries {
		truth[v] = make([]float64, entries)
		for a := range entries {
			truth[v][a] = sensitivity[v] * noise[a] * math.Exp(0.8*rng.NormFloat64()-0.32)
		}
	}
	s := New(Options{PlainMean: plain})
	for range reports {
		victim, sum := rng.IntN(entries), 0.0
		var neighbours []int32
		for range 12 {
			a := rng.IntN(entries)
			neighbours = append(neighbours, int32(a))
			sum += truth[victim][a]
		}
		s.interference.observe(int32(victim), 1+max(0, sum*(1+0.1*rng.NormFloat64())), 15_000, neighbours)
	}
	mean, _ := s.PredictionError()
	return mean
}

// Guards against a higher prediction error with the confidence weight than with
// the plain mean when each pair has few reports. The confidence weight is used
// instead of the plain mean.
func TestConfidencePredictsBetterThanPlainMean(t *testing.T) {
	for _, reports := range []int{300, 2000} {
		confidence, plain := 0.0, 0.0
		for seed := range uint64(5) {
			confidence += predictionError(false, seed, 60, reports) / 5
			plain += predictionError(true, seed, 60, reports) / 5
		}
		t.Logf("%d reports, 60 entries: mean error %.4f with the confidence weight, %.4f with the plain mean", reports, confidence, plain)
		if confidence > plain {
			t.Errorf("%d reports: error %.4f with the confidence weight, %.4f with the plain mean", reports, confidence, plain)
		}
	}
}
