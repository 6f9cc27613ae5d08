package sched

import (
	"fmt"

	"github.com/HdrHistogram/hdrhistogram-go"

	"gooseberrypond/core/structs"
)

const (
	// ratioScale expresses measured/declared use as an integer.
	ratioScale = 1000
	// maxRatio bounds a measured ratio: 32 times the declared size.
	maxRatio = 32 * ratioScale
	// lowerSamples is the number of reports needed before a reservation goes below the declared size.
	lowerSamples = 60
	// raiseSamples is the number of reports needed before it goes above.
	raiseSamples = 5
	// windowSamples is the number of reports after which older ones begin to be forgotten.
	windowSamples = 2048
	// requantile is the number of reports between two computations of the quantiles.
	requantile = 16
	// memoryQuantile is high, since a task that exceeds its memory is stopped.
	memoryQuantile = 99.5
	memoryMargin   = 1.10
	// latencyCPUQuantile is high, since services need processors when load rises.
	latencyCPUQuantile = 95
	latencyCPUMargin   = 1.05
	// batchCPUQuantile is near the middle: processors are shared, the excesses of
	// many tasks even out, and a short excess only slows batch work.
	batchCPUQuantile = 60
	batchCPUMargin   = 1.0
	// maxCorrection bounds how far a reservation is raised: four times the
	// declared size. A program that uses whatever it is given would otherwise
	// raise its own reservation up to a whole worker.
	maxCorrection = 4 * ratioScale
	// minRatio bounds how far a reservation is lowered: a tenth of the declared size.
	minRatio = ratioScale / 10
	// runtimeSamples bounds the weight of past run times.
	runtimeSamples = 50
)

// ratioWindow is the distribution of measured over declared use in one
// dimension, over the last one to two windows of reports. A histogram takes
// about 9 KB and is made when it is needed, since a catalogue has many entries.
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
	// The value is within the histogram's range, so recording cannot fail.
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

// entryEstimate is what was learned of one entry's tasks.
type entryEstimate struct {
	cpu, memory ratioWindow
	samples     int64
	// cpuRatio and memoryRatio are the reservation per declared unit, by ratioScale.
	cpuRatio, memoryRatio int64
	// runtime is the run time of whole tasks in milliseconds.
	runtime meanStat
	// failedOn lists workers on which the entry failed since it last succeeded.
	failedOn map[structs.WorkerID]struct{}
}

// estimate returns the entry's estimate, creating it.
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

// observe takes in one measured use of a task, latency-critical or not.
func (e *entryEstimate) observe(declared, used structs.Resources, latency bool) {
	e.cpu.add(used.CPUMilli, declared.CPUMilli)
	e.memory.add(used.MemoryMB, declared.MemoryMB)
	e.samples++
	if e.samples%requantile == 0 || e.samples == raiseSamples {
		e.cpuRatio = e.ratio(e.cpuWanted(latency))
		e.memoryRatio = e.ratio(float64(e.memory.quantile(memoryQuantile)) * memoryMargin)
	}
}

// cpuWanted is the measured ratio of processors to reserve.
func (e *entryEstimate) cpuWanted(latency bool) float64 {
	if latency {
		return float64(e.cpu.quantile(latencyCPUQuantile)) * latencyCPUMargin
	}
	return float64(e.cpu.quantile(batchCPUQuantile)) * batchCPUMargin
}

// ratio bounds a measured ratio by what the number of reports allows.
func (e *entryEstimate) ratio(r float64) int64 {
	ratio := max(int64(r), minRatio)
	if ratio < ratioScale && e.samples < lowerSamples {
		return ratioScale
	}
	return ratio
}

// declaredSize is the size the job or its entry declares for one task.
func declaredSize(info *entryInfo, job *structs.Job) structs.Resources {
	if job.Spec.Resources.IsZero() {
		return info.Resources
	}
	return job.Spec.Resources
}

// ratios returns the reservation of an entry's tasks per declared unit, by
// ratioScale. It is never below structs.ReservationFloor.
func (s *Scheduler) ratios(info *entryInfo) (cpu, memory int64) {
	e := s.estimate(info.id)
	cpu, memory = min(e.cpuRatio, maxCorrection), min(max(e.memoryRatio, ratioScale), maxCorrection)
	if info.Class == structs.ClassLatency {
		cpu = max(cpu, ratioScale)
	}
	return cpu, memory
}

// reserve is the size to reserve for one task: the declared size corrected by
// what was measured. A correction that no kind of worker has room for, or that
// alone exceeds the owner's quota, is dropped, since the task could never start.
func (s *Scheduler) reserve(info *entryInfo, declared structs.Resources) structs.Resources {
	cpu, memory := s.ratios(info)
	if cpu == ratioScale && memory == ratioScale {
		return declared
	}
	need := declared
	need.CPUMilli = (declared.CPUMilli*cpu + ratioScale - 1) / ratioScale
	need.MemoryMB = (declared.MemoryMB*memory + ratioScale - 1) / ratioScale
	if !s.fitsSomeKind(need) || !fitsQuota(need, info.quota) {
		return declared
	}
	return need
}

// sizeNote describes the correction for the record; empty when there is none.
func (s *Scheduler) sizeNote(info *entryInfo) string {
	cpu, memory := s.ratios(info)
	if cpu == ratioScale && memory == ratioScale {
		return ""
	}
	return fmt.Sprintf("; reserved %d%% of declared processors and %d%% of memory after %d reports",
		cpu*100/ratioScale, memory*100/ratioScale, s.estimate(info.id).samples)
}

// runtimeMS is the expected run time of one whole task; 0 means unknown.
func (s *Scheduler) runtimeMS(info *entryInfo) int64 {
	e := s.estimate(info.id)
	if info.ExpectedRuntimeMS <= 0 {
		return int64(e.runtime.mean)
	}
	return int64(e.runtime.toward(float64(info.ExpectedRuntimeMS), confidenceSamples))
}
