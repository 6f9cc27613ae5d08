package policy

import (
	"testing"

	"gooseberrypond/core/sched"
)

// small is a short run that includes every kind of work.
var small = Size{Name: "small", Domains: 3, Workers: 9, PerRack: 3, Upstreams: 6, Seconds: 420}

// Guards against runs that are not deterministic, violate an invariant of the
// tables or finish no work.
func TestRunIsRepeatable(t *testing.T) {
	for name, policy := range map[string]func() Policy{
		"scheduler":    func() Policy { return sched.New(sched.Options{Seed: 2}) },
		"first-fit":    func() Policy { return &Baseline{} },
		"least-loaded": func() Policy { return &Baseline{LeastLoaded: true} },
	} {
		t.Run(name, func(t *testing.T) {
			a, err := Run(small, 2, name, policy())
			if err != nil {
				t.Fatal(err)
			}
			b, err := Run(small, 2, name, policy())
			if err != nil {
				t.Fatal(err)
			}
			if a != b {
				t.Errorf("runs with equal arguments differ:\n%+v\n%+v", a, b)
			}
			if a.Finished == 0 || a.Throughput == 0 || a.TailP99 < 1 {
				t.Errorf("no work finished or no slowdown measured: %+v", a)
			}
		})
	}
}

// Guards against an outage that improves the measured slowdown: stopped service
// tasks have no slowdown of their own, so their load must count for the running
// tasks. With 3 of 6 tasks running without interference, the slowdown is 2.
func TestStoppedTasksRaiseTail(t *testing.T) {
	s := newScenario(small, 1)
	recorded := newRecorder()
	for range 100 {
		recorded.slowdowns["desk"] = []float64{1, 1, 1}
		recorded.recordSlowdowns(s, warmUp)
	}
	if got := recorded.result("x", 1).TailP99; got < 1.99 || got > 2.01 {
		t.Errorf("p99 slowdown with half of the tasks stopped is %.3f, want 2", got)
	}
}
