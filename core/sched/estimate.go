package sched

import (
	"fmt"

	"github.com/HdrHistogram/hdrhistogram-go"

	"gooseberrypond/core/structs"
)

const (
	// ratioScale is the fixed-point scale of the ratio of measured to declared use.
	ratioScale = 1000
	// maxRatio is the highest recorded ratio: 32 times the declared size.
	maxRatio = 32 * ratioScale
	// minSamplesToLower is the number of reports required before a reservation is
	// lowered below the declared size.
	minSamplesToLower = 60
	// minSamplesToRaise is the number of reports required before it is raised above.
	minSamplesToRaise = 5
	// windowSamples is the number of reports in one window of a ratioWindow, which
	// keeps the last one to two windows and drops older reports.
	windowSamples = 2048
	// ratioUpdateInterval is the number of reports between updates of the ratios.
	ratioUpdateInterval = 16
	// memoryQuantile is high because a task that exceeds its memory is stopped.
	memoryQuantile = 99.5
	memoryMargin   = 1.10
	// latencyCPUQuantile is high because services need processors when load rises.
	latencyCPUQuantile = 95
	latencyCPUMargin   = 1.05
	// batchCPUQuantile is near the median: processors are shared, the peaks of
	// many tasks average out, and a short overload only slows batch work.
	batchCPUQuantile = 60
	batchCPUMargin   = 1.0
	// maxCorrection limits a raised reservation to four times the declared size.
	// Without a limit, a program that uses all available capacity would raise
	// its own reservation up to a whole worker.
	maxCorrection = 4 * ratioScale
	// minRatio limits a lowered reservation to a tenth of the declared size.
	minRatio = ratioScale / 10
	// runtimeSamples limits the weight of past run times in the mean.
	runtimeSamples = 50
)

// ratioWindow is the distribution of the ratio of measured to declared use in
// one dimension, over the last one to two windows of reports. Histograms are
// allocated on demand, because each takes about 9 KB and a catalogue has many entries.
type ratioWindow struct {
	current, previous *hdrhistogram.Histogram
}

func (w *ratioWindow) add(used, declared int64) {
	if declared <= 0 {
		return
	}
	if w.current != nil && w.current.TotalCount() >= windowSamples {
		w.current, w.previous = w.previous, w.current
		if w.current != nil {
			w.current.Reset()
		}
	}
	if w.current == nil {
		w.current = hdrhistogram.New(1, maxRatio, 2)
	}
	// The value is clamped to the histogram's range, so recording cannot fail.
	_ = w.current.RecordValue(min(max(used*ratioScale/declared, 1), maxRatio))
}

func (w *ratioWindow) quantile(q float64) int64 {
	high := int64(0)
	for _, h := range []*hdrhistogram.Histogram{w.current, w.previous} {
		if h != nil {
			high = max(high, h.ValueAtQuantile(q))
		}
	}
	return high
}

// entryEstimate holds the learned estimates for one entry's tasks.
type entryEstimate struct {
	cpu, memory ratioWindow
	samples     int64
	// cpuRatio and memoryRatio are the reservation per declared unit, scaled by ratioScale.
	cpuRatio, memoryRatio int64
	// runtime is the mean total run time of a task in milliseconds.
	runtime weightedMean
	// failedOn is the set of workers on which the entry failed since its last
	// success on any worker.
	failedOn map[structs.WorkerID]struct{}
}

// estimate returns the entry's estimate and creates it if necessary.
func (s *Scheduler) estimate(entry int32) *entryEstimate {
	s.estimates = grow(s.estimates, entry)
	if s.estimates[entry] == nil {
		s.estimates[entry] = &entryEstimate{
			cpuRatio: ratioScale, memoryRatio: ratioScale,
			failedOn: map[structs.WorkerID]struct{}{},
		}
	}
	return s.estimates[entry]
}

// observe records one usage report of a task; latency tells whether the task
// is latency-critical.
func (e *entryEstimate) observe(declared, used structs.Resources, latency bool) {
	e.cpu.add(used.CPUMilli, declared.CPUMilli)
	e.memory.add(used.MemoryMB, declared.MemoryMB)
	e.samples++
	if e.samples%ratioUpdateInterval == 0 || e.samples == minSamplesToRaise {
		e.cpuRatio = e.boundedRatio(e.measuredCPURatio(latency))
		e.memoryRatio = e.boundedRatio(float64(e.memory.quantile(memoryQuantile)) * memoryMargin)
	}
}

// measuredCPURatio returns the ratio of processors to reserve, from measured use alone.
func (e *entryEstimate) measuredCPURatio(latency bool) float64 {
	if latency {
		return float64(e.cpu.quantile(latencyCPUQuantile)) * latencyCPUMargin
	}
	return float64(e.cpu.quantile(batchCPUQuantile)) * batchCPUMargin
}

// boundedRatio applies the lower limits to a measured ratio: minRatio, and the
// declared size while there are fewer than minSamplesToLower reports.
func (e *entryEstimate) boundedRatio(r float64) int64 {
	boundedRatio := max(int64(r), minRatio)
	if boundedRatio < ratioScale && e.samples < minSamplesToLower {
		return ratioScale
	}
	return boundedRatio
}

// declaredSize returns the size declared for one task by the job or, if it
// declares none, by its entry.
func declaredSize(info *entryInfo, job *structs.Job) structs.Resources {
	if job.Spec.Resources.IsZero() {
		return info.Resources
	}
	return job.Spec.Resources
}

// ratios returns the reservation of an entry's tasks per declared unit, scaled
// by ratioScale. It is never below structs.ReservationFloor.
func (s *Scheduler) ratios(info *entryInfo) (cpu, memory int64) {
	e := s.estimate(info.id)
	cpu, memory = min(e.cpuRatio, maxCorrection), min(max(e.memoryRatio, ratioScale), maxCorrection)
	if info.Class == structs.ClassLatency {
		cpu = max(cpu, ratioScale)
	}
	return cpu, memory
}

// reservedSize returns the size to reserve for one task: the declared size
// corrected by measured use. A corrected size that is larger than
// every worker, or that alone exceeds the owner's quota is ignored, because the
// task could never start.
func (s *Scheduler) reservedSize(info *entryInfo, declared structs.Resources) structs.Resources {
	cpu, memory := s.ratios(info)
	if cpu == ratioScale && memory == ratioScale {
		return declared
	}
	need := declared
	need.CPUMilli = (declared.CPUMilli*cpu + ratioScale - 1) / ratioScale
	need.MemoryMB = (declared.MemoryMB*memory + ratioScale - 1) / ratioScale
	if !s.fitsAnyWorkerShape(need) || !need.Within(info.quota) {
		return declared
	}
	return need
}

// correctionNote describes the correction for explanations; empty if there is none.
func (s *Scheduler) correctionNote(info *entryInfo) string {
	cpu, memory := s.ratios(info)
	if cpu == ratioScale && memory == ratioScale {
		return ""
	}
	return fmt.Sprintf("; reserved %d%% of declared processors and %d%% of memory after %d reports",
		cpu*100/ratioScale, memory*100/ratioScale, s.estimate(info.id).samples)
}

// runtimeMS returns the expected total run time of a task; 0 means unknown.
func (s *Scheduler) runtimeMS(info *entryInfo) int64 {
	e := s.estimate(info.id)
	if info.ExpectedRuntimeMS <= 0 {
		return int64(e.runtime.mean)
	}
	return int64(e.runtime.blend(float64(info.ExpectedRuntimeMS), confidenceSamples))
}
