package dispatch

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand"
	"slices"
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

// Guards against plans that search the whole pool again for work that found no room in the
// plan before (incident SHORT: a thousand failed searches a second, of 1,800 workers each).
func TestFailedSearchesLookAtChangedWorkersOnly(t *testing.T) {
	const workers, images, plans = 400, 20, 10
	r := newServingRig(t, workers)
	for i := range images {
		r.submit(rid(0xf0000+i), filler(40, 20000, fmt.Sprint("f", i)))
	}
	r.core.Plan(r.now, r.now.UnixMilli())
	before := r.core.Stats.Examined
	for range plans {
		r.advance(placeRetry)
		r.hold(1) // one worker changes
		r.core.Plan(r.now, r.now.UnixMilli())
	}
	if got := r.core.Stats.Examined - before; got > plans*images {
		t.Errorf("%d plans looked at %d workers for %d demands that found no room, one worker changed before each", plans, got, images)
	}
}

// Guards against work that waits beside room, because a worker on which it did not fit is
// not looked at again although more became possible there.
func TestFailedSearchesMissNoRoom(t *testing.T) {
	for seed := range int64(30) {
		var rigs [2]*rig
		for i := range rigs {
			rigs[i] = newRig(t)
		}
		rng := rand.New(rand.NewSource(seed))
		jobs, placed := 0, 0
		for at := range 150 {
			op, cpu, pick := rng.Intn(6), int64(1000+500*rng.Intn(12)), rng.Intn(1000)
			var starts [2]string
			for i, r := range rigs {
				changeAtRandom(r, op, cpu, pick, jobs)
				r.advance(placeRetry)
				if i == 1 {
					r.core.failed = nil
				}
				b := r.core.Plan(r.now, r.now.UnixMilli())
				starts[i] = fmt.Sprint(b.Starts)
				placed += len(b.Starts)
				r.apply(b)
				r.acceptOrders()
			}
			jobs++
			if starts[0] != starts[1] {
				t.Fatalf("seed %d, plan %d: placed %s, a search of all workers places %s", seed, at, starts[0], starts[1])
			}
		}
		if placed == 0 {
			t.Fatalf("seed %d: nothing was placed", seed)
		}
	}
}

// changeAtRandom adds a worker or a job, ends a run, or takes the domain out or in.
func changeAtRandom(r *rig, op int, cpu int64, pick, job int) {
	switch op {
	case 0:
		if len(r.lists) < 12 {
			r.register(fmt.Sprint("w", job), 1)
		}
	case 1:
		r.apply(&graph.Batch{Domains: []graph.DomainChange{{Name: "d1", Out: pick%2 == 0}}})
	case 2, 3:
		s := step(1+pick%4, cpu)
		s.Filler = op == 3
		r.submit(rid(0x1000+job), s)
	default:
		var handles []graph.Handle
		for h, l := range r.lists {
			if len(l.running) > 0 {
				handles = append(handles, h)
			}
		}
		slices.Sort(handles)
		if len(handles) == 0 {
			return
		}
		h := handles[pick%len(handles)]
		refs := slices.SortedFunc(maps.Keys(r.lists[h].running), func(a, b graph.TaskRef) int { return cmp.Compare(a.String(), b.String()) })
		r.endRun(h, refs[pick%len(refs)], graph.EndDone)
		r.hold(h)
	}
}
