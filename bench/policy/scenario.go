// Package policy compares scheduling policies in a simulation on a virtual clock.
// A policy sees only what it would see in production: the replicated tables,
// task events and delayed usage reports, here of simulated workers.
package policy

import (
	"fmt"
	"math"
	"math/rand/v2"

	"gooseberrypond/core/structs"
)

// Size is the size of one installation.
type Size struct {
	Name    string
	Domains int
	Workers int
	// PerRack is the number of workers in a rack.
	PerRack int
	// Upstreams is the number of tasks of the "desk" service.
	Upstreams int
	// Seconds is the virtual duration of a run; 0 means runDuration.
	Seconds int
}

// Sizes are the sizes of the installations in use.
var Sizes = []Size{
	{Name: "siam-restful", Domains: 3, Workers: 65, PerRack: 8, Upstreams: 65},
	{Name: "pneumatica-aberta", Domains: 4, Workers: 50, PerRack: 6, Upstreams: 50},
}

var hostCapacity = structs.Resources{CPUMilli: 32000, MemoryMB: 125_000}

// Phases and faults of a run, in seconds of virtual time: some workers fail every
// attempt from failFrom to failUntil, some are down from crashAt to crashEnd, and
// the first failure domain is taken out at domainOut, powered off at domainOff and
// brought back at domainBack. The transition is measured until domainEnd.
const (
	warmUp      = 240
	failFrom    = 300
	failUntil   = 900
	crashAt     = 600
	crashEnd    = 780
	domainOut   = 1200
	domainOff   = 1290
	domainBack  = 1800
	domainEnd   = 2100
	runDuration = 2700
)

// taskModel is the actual behaviour of the tasks of one entry, which differs from
// what the entry declares.
type taskModel struct {
	name string
	structs.Entry
	kind structs.JobKind
	// use is the mean resource use; the memory of a task is 0.85 to 1.15 times it.
	use structs.Resources
	// runtime is the mean run time without interference, in seconds.
	runtime float64
	// arrivalsPerMinute is the mean number of tasks submitted per minute for every 10 workers.
	arrivalsPerMinute float64
	// noise scales the interference that a task causes on its neighbours, and
	// sensitivity the interference that it suffers from them.
	noise, sensitivity float64
	// alternating makes the noise alternate between high and low periods.
	alternating bool
	// serviceTasks is the number of tasks if the entry is a service.
	serviceTasks int
	// deadline is the time from submission to the deadline in seconds; 0 means none.
	deadline float64
}

func resources(cores, gb float64) structs.Resources {
	return structs.Resources{CPUMilli: int64(cores * 1000), MemoryMB: int64(gb * 1000)}
}

// scenario is an installation with its workload, interference and faults.
type scenario struct {
	size   Size
	models []taskModel
	// modelIndex maps the name of an entry to its index in models.
	modelIndex map[string]int
	// interference holds the relative interference that a task of the second entry
	// causes on one of the first, before noiseFactor and noiseScale are applied.
	interference [][]float64
	// surges is the additional load on services in each period of 300 s.
	surges []float64
	// failing and crashed are the numbers of the workers with these faults.
	failing map[int]bool
	crashed map[int]bool
}

func newScenario(size Size, seed uint64) *scenario {
	rng := rand.New(rand.NewPCG(seed, 7))
	s := &scenario{size: size, modelIndex: map[string]int{}, failing: map[int]bool{}, crashed: map[int]bool{}}
	s.models = workload(size)
	for i, t := range s.models {
		s.modelIndex[t.name] = i
	}
	s.interference = make([][]float64, len(s.models))
	for v := range s.models {
		s.interference[v] = make([]float64, len(s.models))
		for a := range s.models {
			// The log-normal factor makes interference negligible for some pairs
			// and severe for others. Its mean is 1.
			spread := math.Exp(1.2*rng.NormFloat64() - 0.72)
			s.interference[v][a] = min(s.models[v].sensitivity*s.models[a].noise*spread, 0.6)
		}
	}
	for range runDuration / 300 {
		s.surges = append(s.surges, rng.Float64()*0.4)
	}
	for _, set := range []map[int]bool{s.failing, s.crashed} {
		for len(set) < 2 {
			set[rng.IntN(size.Workers)] = true
		}
	}
	return s
}

// workload returns the entries: services, urgent tasks, and batch work with
// deadlines, with high interference and with long run times.
func workload(size Size) []taskModel {
	latency := func(t taskModel) taskModel { t.Class, t.kind = structs.ClassLatency, structs.KindService; return t }
	batch := func(t taskModel) taskModel { t.Class, t.kind = structs.ClassBatch, structs.KindBatch; return t }
	entry := func(owner string, declared structs.Resources, runtimeS float64) structs.Entry {
		return structs.Entry{Owner: owner, Resources: declared, ExpectedRuntimeMS: int64(runtimeS * 1000)}
	}
	urgent := entry("front", resources(2, 4), 20)
	urgent.Class, urgent.Urgent = structs.ClassLatency, true
	return []taskModel{
		latency(taskModel{name: "desk", Entry: entry("front", resources(4, 8), 0), use: resources(2.5, 5), noise: 0.4, sensitivity: 1.6, serviceTasks: size.Upstreams}),
		latency(taskModel{name: "watch", Entry: entry("watches", resources(2, 6), 0), use: resources(1, 4), noise: 0.3, sensitivity: 1.2, serviceTasks: size.Workers / 2}),
		{name: "check", Entry: urgent, kind: structs.KindBatch, use: resources(1.5, 3), runtime: 15, arrivalsPerMinute: 12, noise: 0.4, sensitivity: 1},
		batch(taskModel{name: "sheets", Entry: entry("plans", resources(4, 12), 60), use: resources(3, 6), runtime: 90, arrivalsPerMinute: 14, noise: 0.5, sensitivity: 0.5, deadline: 900}),
		batch(taskModel{name: "plans", Entry: entry("plans", resources(6, 24), 300), use: resources(3, 10), runtime: 150, arrivalsPerMinute: 9, noise: 0.4, sensitivity: 0.7}),
		batch(taskModel{name: "diagnosis", Entry: entry("lab", resources(2, 8), 120), use: resources(2.4, 7), runtime: 320, arrivalsPerMinute: 7, noise: 0.5, sensitivity: 0.6}),
		batch(taskModel{name: "scan", Entry: entry("lab", resources(4, 6), 60), use: resources(3.5, 3), runtime: 100, arrivalsPerMinute: 8, noise: 1.6, sensitivity: 0.3, alternating: true}),
		batch(taskModel{name: "report", Entry: entry("desk-batch", resources(1, 4), 60), use: resources(0.5, 2), runtime: 40, arrivalsPerMinute: 20, noise: 0.3, sensitivity: 0.4}),
	}
}

// loadFactor returns the demand on services relative to the base load: a sine with a
// period of 1500 s, which stands for the daily cycle, plus surges.
func (s *scenario) loadFactor(at float64) float64 {
	surge := s.surges[min(int(at/300), len(s.surges)-1)]
	return 1 + 0.35*math.Sin(2*math.Pi*at/1500) + surge
}

// noiseFactor returns the factor for the noise of an entry's tasks at a time.
func (s *scenario) noiseFactor(entry int, at float64) float64 {
	if !s.models[entry].alternating {
		return 1
	}
	if math.Mod(at, 420) < 210 {
		return 1.6
	}
	return 0.4
}

func (s *scenario) catalogue() structs.Catalogue {
	c := structs.Catalogue{Owners: map[string]structs.Owner{}, Entries: map[string]structs.Entry{}}
	for _, t := range s.models {
		c.Owners[t.Owner] = structs.Owner{Weight: 1}
		c.Entries[t.name] = t.Entry
	}
	return c
}

func (s *scenario) domainOf(worker int) string {
	return fmt.Sprintf("domain-%d", worker*s.size.Domains/s.size.Workers)
}

// arrivals returns the jobs that are submitted in one second.
func (s *scenario) arrivals(at int, rng *rand.Rand) []structs.SubmitJob {
	var jobs []structs.SubmitJob
	add := func(t *taskModel, spec structs.JobSpec) {
		spec.Entry, spec.Kind = t.name, t.kind
		jobs = append(jobs, structs.SubmitJob{Owner: t.Owner, Key: fmt.Sprintf("%s-%d-%d", t.name, at, len(jobs)), Spec: spec})
	}
	for i := range s.models {
		t := &s.models[i]
		if t.kind == structs.KindService {
			if at == 0 {
				add(t, structs.JobSpec{Count: t.serviceTasks})
			}
			continue
		}
		rate := t.arrivalsPerMinute * float64(s.size.Workers) / 10 / 60
		if t.name == "check" {
			rate *= s.loadFactor(float64(at))
		}
		for range poisson(rng, rate) {
			spec := structs.JobSpec{Count: 1}
			if t.deadline > 0 {
				spec.DeadlineMS = startMS + int64(at)*1000 + int64(t.deadline*1000)
			}
			add(t, spec)
		}
	}
	return jobs
}

// poisson returns a Poisson-distributed number, by Knuth's method.
func poisson(rng *rand.Rand, mean float64) int {
	n, p, limit := 0, rng.Float64(), math.Exp(-mean)
	for p > limit {
		p *= rng.Float64()
		n++
	}
	return n
}
