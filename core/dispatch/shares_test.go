package dispatch

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gooseberrypond/core/graph"
	"gooseberrypond/core/organisation"
	"gooseberrypond/core/structs"
)

// sharePolicy is how a load is ordered.
type sharePolicy int

const (
	byShares   sharePolicy = iota
	byPriority             // as one owner: priority, class, time due
	firstCome              // as one owner, with equal objectives that cannot be missed
)

func (p sharePolicy) String() string {
	return [...]string{"shares", "plain priority", "first come"}[p]
}

// shareLoad plays jobs of several organisations on a pool. Tasks end after their estimate.
type shareLoad struct {
	*rig
	policy  sharePolicy
	buckets *organisation.Buckets
	weights map[string]float64
	jobs    int
	sent    map[string][]graph.JobID
	sentAt  map[graph.JobID]time.Time
}

const shareTick = 100 * time.Millisecond

func newShareLoad(t *testing.T, policy sharePolicy, workers int, orgs ...graph.Organisation) *shareLoad {
	t.Helper()
	l := &shareLoad{rig: newRig(t), policy: policy, buckets: organisation.NewBuckets(), weights: map[string]float64{},
		sent: map[string][]graph.JobID{}, sentAt: map[graph.JobID]time.Time{}}
	for i := range workers {
		l.register(fmt.Sprintf("w%03d", i), 1)
	}
	for _, o := range orgs {
		l.weights[o.Name] = o.Weight
	}
	if policy == byShares {
		l.configure(orgs...)
	}
	if policy == firstCome {
		c := *l.tables.Config()
		c.Version++
		c.Queues = slices.Clone(c.Queues)
		c.Queues[0].DeadlineFactor, c.Queues[0].TargetLatencyMS = 0, time.Hour.Milliseconds()
		l.apply(&graph.Batch{Config: &c})
	}
	return l
}

func (l *shareLoad) send(org string, steps ...graph.Step) graph.JobID {
	l.jobs++
	spec := graph.Spec{ID: rid(l.jobs), Queue: "q", Payload: "x", Steps: steps}
	if l.policy == byShares {
		spec.Organisation, spec.Excess = org, l.buckets.Excess(l.now, org, l.weights[org])
	}
	l.apply(&graph.Batch{Submits: []graph.Spec{spec}})
	l.sent[org], l.sentAt[spec.ID] = append(l.sent[org], spec.ID), l.now
	return spec.ID
}

// tick carries out a plan and ends what has run for its estimate.
func (l *shareLoad) tick() {
	l.commitPlan()
	l.acceptOrders()
	l.advance(shareTick)
	for _, ws := range l.core.byHandle {
		h := ws.w.Handle
		for _, row := range l.lists[h].running {
			a := l.tables.Attempt(row.Task, row.Run)
			if a != nil && !a.Step.LongRunning && l.now.UnixMilli()-a.StartedMS >= a.Step.EstimateMS {
				l.endRun(h, row.Task, graph.EndDone)
			}
		}
		l.hold(h)
	}
}

// inTime returns the fraction of an organisation's jobs that were complete within the
// given time, of those that were sent so long ago.
func (l *shareLoad) inTime(org string, objective time.Duration) float64 {
	good, all := 0, 0
	for _, id := range l.sent[org] {
		j := l.tables.Job(id)
		if l.now.Sub(l.sentAt[id]) < objective {
			continue
		}
		all++
		if j.State == graph.JobCompleted && j.EndedMS-l.sentAt[id].UnixMilli() <= objective.Milliseconds() {
			good++
		}
	}
	return float64(good) / float64(max(1, all))
}

// Guards against an organisation that waits behind another's burst: one sends four times
// what the pool can do, the other one job a second. First-come and plain priority let both
// wait alike.
func TestOneOrganisationFloods(t *testing.T) {
	got := map[sharePolicy]float64{}
	for _, policy := range []sharePolicy{byShares, byPriority, firstCome} {
		l := newShareLoad(t, policy, 4, graph.Organisation{Name: "flood", Weight: 1}, graph.Organisation{Name: "calm", Weight: 1})
		for i := range 200 {
			for range 3 {
				l.send("flood", step(4, 1000))
			}
			if i%10 == 0 {
				l.send("calm", step(4, 1000))
			}
			l.tick()
		}
		got[policy] = l.inTime("calm", 3*time.Second)
		t.Logf("%v: calm %.2f, flood %.2f in time", policy, got[policy], l.inTime("flood", 3*time.Second))
	}
	if got[byShares] < 0.95 {
		t.Fatalf("%.2f of the calm organisation's jobs are in time beside a flood", got[byShares])
	}
	if got[byShares] <= got[byPriority] || got[byShares] <= got[firstCome] {
		t.Fatalf("shares %v are no better than the baselines", got)
	}
}

// Guards against room that does not follow the weights: twenty organisations with weights
// of 1 to 20 that each want the whole pool.
func TestTwentyUnevenWeights(t *testing.T) {
	worst := map[sharePolicy]float64{}
	for _, policy := range []sharePolicy{byShares, byPriority, firstCome} {
		var orgs []graph.Organisation
		var weights float64
		for i := range 20 {
			orgs = append(orgs, graph.Organisation{Name: fmt.Sprint("o", i), Weight: float64(i + 1)})
			weights += float64(i + 1)
		}
		l := newShareLoad(t, policy, 26, orgs...) // 208 cores, 210 in weights
		for _, o := range orgs {
			for range 60 {
				l.send(o.Name, step(10, 1000))
			}
		}
		done := map[string]float64{}
		for range 200 {
			l.tick()
		}
		var sum float64
		for _, o := range orgs {
			for _, id := range l.sent[o.Name] {
				for _, s := range l.tables.Job(id).Occurrences[0].Steps {
					done[o.Name] += float64(len(s.Tasks) - s.Open)
				}
			}
			sum += done[o.Name]
		}
		worst[policy] = 100
		for _, o := range orgs {
			worst[policy] = min(worst[policy], done[o.Name]/sum*weights/o.Weight)
		}
		t.Logf("%v: the worst organisation got %.2f of its share", policy, worst[policy])
	}
	if worst[byShares] < 0.75 {
		t.Fatalf("the worst organisation got %.2f of its share", worst[byShares])
	}
	if worst[byShares] <= worst[byPriority] || worst[byShares] <= worst[firstCome] {
		t.Fatalf("shares %v are no better than the baselines", worst)
	}
}

// Guards against a large job of a small organisation that never gets room: one job as wide
// as the pool beside an organisation of four times the weight that always has work.
func TestLargeJobOfASmallOrganisation(t *testing.T) {
	took := map[sharePolicy]time.Duration{}
	for _, policy := range []sharePolicy{byShares, byPriority, firstCome} {
		l := newShareLoad(t, policy, 4, graph.Organisation{Name: "large", Weight: 40}, graph.Organisation{Name: "small", Weight: 10})
		for i := range 300 {
			for range 2 {
				l.send("large", step(4, 1000))
			}
			if i == 50 {
				l.send("small", step(32, 1000))
			}
			l.tick()
		}
		id := l.sent["small"][0]
		took[policy] = time.Hour
		if j := l.tables.Job(id); j.State == graph.JobCompleted {
			took[policy] = time.Duration(j.EndedMS-l.sentAt[id].UnixMilli()) * time.Millisecond
		}
		t.Logf("%v: took %v, large %.2f in time", policy, took[policy], l.inTime("large", 3*time.Second))
	}
	if took[byShares] > 8*time.Second {
		t.Fatalf("the large job took %v with a fifth of the pool, 5 s of work", took[byShares])
	}
	if took[byShares] >= took[byPriority] || took[byShares] >= took[firstCome] {
		t.Fatalf("shares are no better than the baselines: %v", took)
	}
}

// Guards against lent share that does not come back: one organisation's standing tasks
// fill the pool before another's come; and against tasks that are stopped in turn without
// end. First-come and plain priority give nothing back.
func TestLentShareIsCalledBack(t *testing.T) {
	for _, kind := range []string{"standing", "batch"} {
		held := map[sharePolicy]int64{}
		for _, policy := range []sharePolicy{byShares, byPriority, firstCome} {
			l := newShareLoad(t, policy, 4, graph.Organisation{Name: "x", Weight: 30}, graph.Organisation{Name: "y", Weight: 10})
			for range 10 {
				l.send("x", standing(4, 1000))
			}
			for range 20 {
				l.tick()
			}
			owed := func() int64 { // what y's jobs hold
				var milli int64
				for _, id := range l.sent["y"] {
					for _, a := range l.attempts(id) {
						milli += a.Step.Need.CPUMilli
					}
				}
				return milli
			}
			wide := longStep(60, 1000, time.Second)
			if kind == "standing" {
				wide = standing(8, 1000)
			}
			l.send("y", wide)
			for i := range 50 { // 5 s
				l.tick()
				if i >= 30 {
					held[policy] += owed() / 20
				}
			}
			stops := l.core.Stats.Stops
			for range 100 {
				l.tick()
			}
			t.Logf("%s, %v: y holds %d of 32000 from 3 to 5 s; %d stops in 5 s, %d in the next 10 s", kind, policy, held[policy], stops, l.core.Stats.Stops-stops)
			if kind == "standing" && policy == byShares && l.core.Stats.Stops > stops {
				t.Fatalf("%d more runs were stopped after the share was back", l.core.Stats.Stops-stops)
			}
		}
		if held[byShares] < 6000 {
			t.Fatalf("%s: y holds %d, its share is 8000", kind, held[byShares])
		}
		if held[byShares] <= held[byPriority] || held[byShares] <= held[firstCome] {
			t.Fatalf("%s: shares %v are no better than the baselines", kind, held)
		}
	}
}

// Guards against more tasks of a step on one worker than it allows, if the step has two
// entries in a plan: a step wider than its organisation's share of a pool that has room.
func TestSplitStepKeepsMaxPerWorker(t *testing.T) {
	r := newOwnedRig(t, 8, graph.Organisation{Name: "x", Weight: 1}, graph.Organisation{Name: "y", Weight: 20})
	r.submitOf("y", rid(1), step(2, 1000))
	r.commitPlan()
	r.acceptOrders()
	wide := step(8, 1000)
	wide.MaxPerWorker = 1
	r.submitOf("x", rid(2), wide)
	r.submitOf("y", rid(3), step(1, 1000))
	r.advance(placeRetry)
	r.commitPlan()
	on := map[graph.Handle]int{}
	for _, a := range r.attempts(rid(2)) {
		on[a.Worker.Handle]++
		if on[a.Worker.Handle] > 1 {
			t.Fatalf("%d tasks on worker %d, the step allows 1", on[a.Worker.Handle], a.Worker.Handle)
		}
	}
	if len(on) != 8 {
		t.Fatalf("only %d tasks were placed", len(on))
	}
}

// Guards against work beyond an organisation's weight that comes before work within it,
// also after an election.
func TestExcessRanksLast(t *testing.T) {
	r := newOwnedRig(t, 1, graph.Organisation{Name: "x", Weight: 1}, graph.Organisation{Name: "y", Weight: 1})
	r.submitOf("y", rid(9), step(4, 1000))
	r.commitPlan() // y is above x
	r.apply(&graph.Batch{Submits: []graph.Spec{{ID: rid(1), Queue: "q", Steps: []graph.Step{step(4, 1000)}, Organisation: "x", Excess: true}}})
	r.submitOf("y", rid(2), step(4, 1000))
	data, err := r.tables.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if r.tables, err = graph.Decode(data); err != nil {
		t.Fatal(err)
	}
	r.elect(2)
	for h := range r.lists {
		r.hold(h)
	}
	r.advance(placeRetry)
	r.commitPlan()
	if len(r.attempts(rid(1))) != 0 || len(r.attempts(rid(2))) != 4 {
		t.Fatalf("%d tasks of the excess job were placed, %d of the other", len(r.attempts(rid(1))), len(r.attempts(rid(2))))
	}
}

// Guards against a configuration with one organisation without a limit deciding otherwise
// than one without organisations: random batch jobs, or standing tasks, with gangs and
// fillers on a pool that is at times full, the same for both. Batch work and standing tasks
// do not come together, since which runs are preempted is not the same in two plays of
// one load.
func TestOneOrganisationDecidesAsNone(t *testing.T) {
	for seed := range uint64(6) {
		with, without := newReplay(t, seed), newReplay(t, seed)
		with.org = "x"
		with.configure(graph.Organisation{Name: "x", Weight: 1})
		without.configure()
		starts, hash := 0, fnv.New64a()
		for i := range 400 {
			a, b := with.play(), without.play()
			starts += len(a)
			fmt.Fprint(hash, a)
			if !slices.Equal(a, b) {
				t.Fatalf("seed %d, plan %d: %v with an organisation, %v without", seed, i, a, b)
			}
		}
		if starts < 100 {
			t.Fatalf("seed %d: the load led to %d starts only", seed, starts)
		}
		if with.core.Stats != without.core.Stats {
			t.Fatalf("seed %d: counts %+v with an organisation, %+v without", seed, with.core.Stats, without.core.Stats)
		}
		t.Logf("seed %d: %d starts (hash %x), %d steps wait at the end", seed, starts, hash.Sum64(), with.core.Stats.Waiting)
	}
}

// replay plays a load that depends only on its seed and on the plans.
type replay struct {
	*rig
	rng  *rand.Rand
	org  string
	jobs int
	// standing replaces batch jobs by standing tasks.
	standing bool
}

func newReplay(t *testing.T, seed uint64) *replay {
	r := &replay{rig: newRig(t), rng: rand.New(rand.NewPCG(seed, 7)), standing: seed%2 == 1}
	for i := range 6 {
		r.register(fmt.Sprintf("w%d", i), 1)
	}
	return r
}

// play submits random work, returns the starts of the next plan and ends some runs.
func (r *replay) play() []graph.Start {
	for range r.rng.IntN(3) {
		s := step(1+r.rng.IntN(4), int64(500+100*r.rng.IntN(20)))
		s.EstimateMS = int64(500 + r.rng.IntN(3000))
		s.LongRunning = r.standing
		switch r.rng.IntN(6) {
		case 1:
			s.LongRunning = false
			s.Filler, s.Image = true, "f"
		case 2:
			s.LongRunning, s.Gang = false, true
		}
		r.jobs++
		r.apply(&graph.Batch{Submits: []graph.Spec{{ID: rid(r.jobs), Queue: "q", Payload: "x", Steps: []graph.Step{s}, Organisation: r.org}}})
	}
	if r.rng.IntN(4) == 0 {
		r.apply(&graph.Batch{Cancels: []graph.JobID{rid(1 + r.rng.IntN(r.jobs+1))}})
	}
	b := r.core.Plan(r.now, r.now.UnixMilli())
	starts := slices.Clone(b.Starts)
	r.apply(b)
	r.acceptOrders()
	r.advance(50 * time.Millisecond)
	for h := graph.Handle(1); int(h) <= len(r.lists); h++ {
		refs := make([]graph.TaskRef, 0, len(r.lists[h].running))
		for ref := range r.lists[h].running {
			refs = append(refs, ref)
		}
		slices.SortFunc(refs, func(a, b graph.TaskRef) int { return slices.Compare([]byte(a.String()), []byte(b.String())) })
		for _, ref := range refs {
			a := r.tables.Attempt(ref, r.lists[h].running[ref].Run)
			if a != nil && !a.Step.LongRunning && r.now.UnixMilli()-a.StartedMS >= a.Step.EstimateMS {
				r.endRun(h, ref, graph.EndDone)
			}
		}
		r.hold(h)
	}
	return starts
}

// BenchmarkPlanOfOrganisations measures a plan at 1,800 workers with 390 waiting steps of
// as many organisations as the name says: one that finds no room, and one that starts 200
// tasks.
func BenchmarkPlanOfOrganisations(b *testing.B) {
	for _, free := range []int{0, 40} {
		for _, n := range []int{1, 130} {
			b.Run(fmt.Sprintf("%d free workers/%d", free, n), func(b *testing.B) {
				r := newOrganisationsRig(n, free)
				b.ReportAllocs()
				for b.Loop() {
					r.advance(placeRetry)
					r.core.Plan(r.now, r.now.UnixMilli())
				}
			})
		}
	}
}

// newOrganisationsRig returns a rig with 1,800 workers, of which so many are free, and
// with waiting work of n organisations.
func newOrganisationsRig(n, free int) *rig {
	r := newRig(&testing.T{})
	const workers = 1800
	for i := range workers {
		r.register(fmt.Sprintf("w%04d", i), 1)
	}
	var orgs []graph.Organisation
	for i := range n {
		orgs = append(orgs, graph.Organisation{Name: fmt.Sprint("o", i), Weight: float64(1 + i%7), Limit: structs.Resources{CPUMilli: 20_000_000}})
	}
	r.configure(orgs...)
	for i := range (workers - free) / 2 {
		r.submitOf(fmt.Sprint("o", i%n), rid(i+1), longStep(16, 1000, time.Minute))
	}
	for len(r.tables.Waiting()) > 0 {
		r.advance(placeRetry)
		r.commitPlan()
		r.acceptOrders()
	}
	for i := range 390 {
		r.submitOf(fmt.Sprint("o", i%n), rid(1000+i), longStep(8, int64(1000+800*(i%3)), time.Second))
	}
	return r
}
