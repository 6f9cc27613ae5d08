package policy

import (
	"github.com/HdrHistogram/hdrhistogram-go"

	"gooseberrypond/core/structs"
)

// Result is what one policy achieved in one run.
type Result struct {
	Policy string
	Seed   uint64
	// TailP99 is the 99th percentile of service slowdown over all seconds of
	// all service tasks; it counts the load that stopped tasks leave to others.
	TailP99 float64
	// Throughput is the finished batch work in core-hours.
	Throughput float64
	// Evictions counts running tasks stopped by the policy, by a memory guard
	// or by the power-off of a domain that was not drained.
	Evictions float64
	// Transition is the work finished, and the service time provided, while a
	// domain leaves and returns, in core-hours.
	Transition float64
	// UrgentP99 is the 99th percentile wait of urgent tasks in seconds.
	UrgentP99 float64
	// Checkpoints, GuardStops and Lost are the parts of Evictions.
	Checkpoints, GuardStops, Lost float64
	// EarlyError and LateError are the mean errors of predicted slowdown in the
	// first minutes and after them; 0 for a policy that predicts nothing.
	EarlyError, LateError float64
	// Finished counts batch tasks.
	Finished float64
}

// measures collects figures during a run.
type measures struct {
	tail, urgent *hdrhistogram.Histogram
	batch        float64
	transition   float64
	guardStops   int
	lost         int
	checkpoints  int
	tasks        int
	// slowdowns are this second's service slowdowns by entry.
	slowdowns map[string][]float64
}

func newMeasures() *measures {
	return &measures{
		tail: hdrhistogram.New(1, 1_000_000, 3), urgent: hdrhistogram.New(1, 10_000_000, 3),
		slowdowns: map[string][]float64{},
	}
}

func inTransition(at float64) bool { return at >= domainOut && at < domainEnd }

func coreHours(cpuMilli int64, seconds float64) float64 {
	return float64(cpuMilli) / 1000 * seconds / 3600
}

// serviceSecond counts one second of one service task.
func (m *measures) serviceSecond(at float64, p *process, t *truth) {
	m.slowdowns[t.name] = append(m.slowdowns[t.name], p.slowdown)
	if inTransition(at) {
		m.transition += coreHours(t.use.CPUMilli, 1/p.slowdown)
	}
}

// endSecond records the service slowdowns; the running tasks of a service
// carry the load of those that do not run.
func (m *measures) endSecond(s *scenario, at float64) {
	for i := range s.truths {
		t := &s.truths[i]
		if t.kind != structs.KindService {
			continue
		}
		running := m.slowdowns[t.name]
		if at >= warmUp {
			share := float64(t.services) / float64(max(1, len(running)))
			for _, x := range running {
				// Values are bounded by the histogram's range.
				_ = m.tail.RecordValue(min(int64(x*share*1000), 1_000_000))
			}
		}
		m.slowdowns[t.name] = running[:0]
	}
}

func (m *measures) finished(at float64, t *truth, seconds float64) {
	work := coreHours(t.use.CPUMilli, seconds)
	if at >= warmUp && t.Class == structs.ClassBatch {
		m.batch += work
		m.tasks++
	}
	if inTransition(at) {
		m.transition += work
	}
}

func (m *measures) result(policy string, seed uint64) Result {
	return Result{
		Policy: policy, Seed: seed,
		TailP99:    float64(m.tail.ValueAtQuantile(99)) / 1000,
		Throughput: m.batch, Transition: m.transition,
		Evictions:   float64(m.checkpoints + m.guardStops + m.lost),
		UrgentP99:   float64(m.urgent.ValueAtQuantile(99)) / 1000,
		Checkpoints: float64(m.checkpoints), GuardStops: float64(m.guardStops), Lost: float64(m.lost),
		Finished: float64(m.tasks),
	}
}
