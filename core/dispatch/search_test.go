package dispatch

import (
	"fmt"
	"math/rand"
	"testing"

	"gooseberrypond/core/graph"
	"gooseberrypond/core/organisation"
)

// newServingRig returns a rig whose workers run as many serving tasks of each of three images.
func newServingRig(t *testing.T, workers int) *rig {
	t.Helper()
	r := newRig(t)
	for i := range workers {
		r.register(fmt.Sprintf("w%04d", i), 1)
	}
	for i := range 3 {
		r.submit(rid(i+1), serving(workers, 1500, fmt.Sprint("s", i)))
	}
	for len(r.tables.Waiting()) > 0 {
		r.advance(placeRetry)
		r.commitPlan()
		r.acceptOrders()
	}
	for h := range r.lists {
		r.hold(h)
	}
	return r
}

// Guards against plans that cost tasks times workers (incident SHORT: at 1,800 workers the
// leader spent its processor on searches, and wide jobs waited for their turn until they were
// late). All tasks of a step may look at each worker once.
func TestTasksOfAStepShareASearch(t *testing.T) {
	const workers, jobs, width = 400, 4, 40
	for name, s := range map[string]graph.Step{"fillers": filler(width, 300, "f"), "batch": step(width, 500)} {
		r := newServingRig(t, workers)
		for i := range jobs {
			r.submit(rid(0xf0000+i), s)
		}
		before := r.core.Stats.Examined
		b := r.core.Plan(r.now, r.now.UnixMilli())
		if len(b.Starts) != jobs*width {
			t.Fatalf("%s: %d of %d tasks were placed", name, len(b.Starts), jobs*width)
		}
		if got := r.core.Stats.Examined - before; got > jobs*workers {
			t.Errorf("%s: %d steps looked at %d workers, the pool has %d", name, jobs, got, workers)
		}
	}
}

// Guards against a ranking that is out of date after a start, and then chooses worse than a
// search for each task.
func TestRankingEqualsASearchForEachTask(t *testing.T) {
	for seed := range int64(20) {
		var workers [2][]graph.Handle
		for i, each := range []bool{false, true} {
			r := newRig(t)
			for w := range 30 {
				r.registerReport(workerOf(fmt.Sprintf("w%02d", w), 4000+int64(w*977%5)*1000))
			}
			r.submit(rid(1), serving(25, 1500, "s1"))
			r.submit(rid(2), serving(25, 1500, "s2"))
			r.commitPlan()
			r.acceptOrders()
			s := r.submit(rid(3), step(20, 700+100*int64(seed%5))).Occurrences[0].Steps[0]
			rng := rand.New(rand.NewSource(seed))
			for k := range s.Tasks {
				if rng.Intn(3) == 0 {
					s.Tasks[k].Failures, s.Tasks[k].LastWorker = 1, graph.Handle(1+rng.Intn(30))
				}
			}
			workers[i] = placeEach(r, s, each)
		}
		if fmt.Sprint(workers[0]) != fmt.Sprint(workers[1]) {
			t.Errorf("seed %d: the ranking chose %d, a search for each task %d", seed, workers[0], workers[1])
		}
	}
}

// placeEach returns the workers chosen for a step's tasks, with a new search for each task
// if each is set.
func placeEach(r *rig, s *graph.StepState, each bool) []graph.Handle {
	pools := r.core.candidates(r.now)
	r.core.measureCapacity(r.now, r.now.UnixMilli(), pools)
	r.core.ledger = organisation.New(r.tables, capacityOf(pools))
	p := r.core.newPlacer(r.now, r.now.UnixMilli(), nil)
	p.pool, p.candidates = r.core.poolStates["p"], pools["p"]
	p.dropRanking()
	var out []graph.Handle
	for i := range s.Tasks {
		cd := p.pick(s, &s.Tasks[i])
		if cd == nil {
			break
		}
		p.start(s, i, 1, cd)
		if each {
			p.dropRanking()
		}
		out = append(out, cd.ws.w.Handle)
	}
	return out
}
