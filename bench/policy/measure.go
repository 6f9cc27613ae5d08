package policy

import (
	"github.com/HdrHistogram/hdrhistogram-go"

	"gooseberrypond/core/structs"
)

// Result holds the measurements of one policy in one run.
type Result struct {
	Policy string
	Seed   uint64
	// TailP99 is the 99th percentile of service slowdown over all seconds of
	// all service tasks. The running tasks of a service take over the load of
	// its stopped tasks, which counts as additional slowdown.
	TailP99 float64
	// Throughput is the batch work finished after warm-up, in core-hours.
	Throughput float64
	// Evictions counts running tasks that were stopped by the policy, by a memory
	// guard or by the power-off of their worker, either in a crash or together with
	// a failure domain that the policy had not drained completely.
	Evictions float64
	// Transition is the work finished plus the service time provided while a
	// failure domain is taken out and brought back, in core-hours.
	Transition float64
	// UrgentP99 is the 99th percentile wait of urgent tasks in seconds.
	UrgentP99 float64
	// Checkpoints, GuardStops and Lost add up to Evictions: tasks stopped by the
	// policy, by a memory guard and by a power-off.
	Checkpoints, GuardStops, Lost float64
	// EarlyError and LateError are the mean errors of predicted slowdown up to
	// earlyUntil and after it; 0 for a policy without predictions.
	EarlyError, LateError float64
	// Finished counts the batch tasks finished after warm-up.
	Finished float64
}

// recorder collects the measurements of a run.
type recorder struct {
	serviceSlowdown, urgentWait *hdrhistogram.Histogram
	batchWork                   float64
	transitionWork              float64
	guardStops                  int
	lostTasks                   int
	checkpoints                 int
	batchTasks                  int
	// slowdowns holds the slowdowns of the current second for each service entry,
	// one value for each running task.
	slowdowns map[string][]float64
}

func newRecorder() *recorder {
	return &recorder{
		serviceSlowdown: hdrhistogram.New(1, 1_000_000, 3), urgentWait: hdrhistogram.New(1, 10_000_000, 3),
		slowdowns: map[string][]float64{},
	}
}

func inTransition(at float64) bool { return at >= domainOut && at < domainEnd }

func coreHours(cpuMilli int64, seconds float64) float64 {
	return float64(cpuMilli) / 1000 * seconds / 3600
}

// addServiceSecond records one second of one running service task.
func (r *recorder) addServiceSecond(at float64, p *process, t *taskModel) {
	r.slowdowns[t.name] = append(r.slowdowns[t.name], p.slowdown)
	if inTransition(at) {
		r.transitionWork += coreHours(t.use.CPUMilli, 1/p.slowdown)
	}
}

// recordSlowdowns adds the slowdowns of this second to the histogram, scaled by the
// ratio of a service's tasks to its running tasks: the running ones carry the
// load of the others.
func (r *recorder) recordSlowdowns(s *scenario, at float64) {
	for i := range s.models {
		t := &s.models[i]
		if t.kind != structs.KindService {
			continue
		}
		running := r.slowdowns[t.name]
		if at >= warmUp {
			share := float64(t.serviceTasks) / float64(max(1, len(running)))
			for _, x := range running {
				// The value is clamped to the histogram's range, so there is no error.
				_ = r.serviceSlowdown.RecordValue(min(int64(x*share*1000), 1_000_000))
			}
		}
		r.slowdowns[t.name] = running[:0]
	}
}

// addFinished records the end of a task that did the given seconds of work.
func (r *recorder) addFinished(at float64, t *taskModel, seconds float64) {
	work := coreHours(t.use.CPUMilli, seconds)
	if at >= warmUp && t.Class == structs.ClassBatch {
		r.batchWork += work
		r.batchTasks++
	}
	if inTransition(at) {
		r.transitionWork += work
	}
}

func (r *recorder) result(policy string, seed uint64) Result {
	return Result{
		Policy: policy, Seed: seed,
		TailP99:    float64(r.serviceSlowdown.ValueAtQuantile(99)) / 1000,
		Throughput: r.batchWork, Transition: r.transitionWork,
		Evictions:   float64(r.checkpoints + r.guardStops + r.lostTasks),
		UrgentP99:   float64(r.urgentWait.ValueAtQuantile(99)) / 1000,
		Checkpoints: float64(r.checkpoints), GuardStops: float64(r.guardStops), Lost: float64(r.lostTasks),
		Finished: float64(r.batchTasks),
	}
}
