// Package policy measures scheduling policies against each other. Policies
// see only what the platform interface shows: the replicated tables, events
// and late usage reports of stand-in workers that run on a virtual clock.
package policy

import (
	"fmt"
	"math"
	"math/rand/v2"

	"gooseberrypond/core/structs"
)

// Size is one user's installation.
type Size struct {
	Name    string
	Domains int
	Workers int
	// PerRack is the number of workers in a rack.
	PerRack int
	// Upstreams is the number of tasks of the main service.
	Upstreams int
	// Seconds is the virtual duration of a run; 0 means runDuration.
	Seconds int
}

// Sizes are the current users' installations.
var Sizes = []Size{
	{Name: "siam-restful", Domains: 3, Workers: 65, PerRack: 8, Upstreams: 65},
	{Name: "pneumatica-aberta", Domains: 4, Workers: 50, PerRack: 6, Upstreams: 50},
}

var hostCapacity = structs.Resources{CPUMilli: 32000, MemoryMB: 125_000}

// Times of the run's phases and faults, in seconds of virtual time.
const (
	warmUp      = 240
	failFrom    = 300
	failUntil   = 900
	crashAt     = 600
	crashBack   = 780
	domainOut   = 1200
	domainOff   = 1290
	domainBack  = 1800
	domainEnd   = 2100
	runDuration = 2700
)

// truth is how tasks of one entry really behave, unlike what they declare.
type truth struct {
	name string
	structs.Entry
	kind structs.JobKind
	// use is the mean measured use; memory varies by task up to memorySpread times it.
	use structs.Resources
	// runtime is the mean time alone, in seconds.
	runtime float64
	// perMinute is the mean number of tasks submitted per minute and 10 workers.
	perMinute float64
	// noise and sensitivity scale what it adds to and suffers from neighbours.
	noise, sensitivity float64
	// waves restricts the noise to periods of noisy minutes.
	waves bool
	// services is the number of tasks of a service.
	services int
	// deadline is the time from submission to the deadline, in seconds.
	deadline float64
}

func resources(cores, gb float64) structs.Resources {
	return structs.Resources{CPUMilli: int64(cores * 1000), MemoryMB: int64(gb * 1000)}
}

// scenario is a size with its work and the true interference of each pair.
type scenario struct {
	size    Size
	truths  []truth
	byName  map[string]int
	pairs   [][]float64
	surges  []float64
	failing map[int]bool
	crashed map[int]bool
}

func newScenario(size Size, seed uint64) *scenario {
	rng := rand.New(rand.NewPCG(seed, 7))
	s := &scenario{size: size, byName: map[string]int{}, failing: map[int]bool{}, crashed: map[int]bool{}}
	s.truths = workload(size)
	for i, t := range s.truths {
		s.byName[t.name] = i
	}
	s.pairs = make([][]float64, len(s.truths))
	for v := range s.truths {
		s.pairs[v] = make([]float64, len(s.truths))
		for a := range s.truths {
			// The spread of the factor makes some pairs harmless and others bad.
			spread := math.Exp(1.2*rng.NormFloat64() - 0.72)
			s.pairs[v][a] = min(s.truths[v].sensitivity*s.truths[a].noise*spread, 0.6)
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

// workload lists the entries: the services, urgent checks, batch work with
// deadlines, noisy batch work and long batch work.
func workload(size Size) []truth {
	latency := func(t truth) truth { t.Class, t.kind = structs.ClassLatency, structs.KindService; return t }
	batch := func(t truth) truth { t.Class, t.kind = structs.ClassBatch, structs.KindBatch; return t }
	entry := func(owner string, declared structs.Resources, runtimeS float64) structs.Entry {
		return structs.Entry{Owner: owner, Resources: declared, ExpectedRuntimeMS: int64(runtimeS * 1000)}
	}
	urgent := entry("front", resources(2, 4), 20)
	urgent.Class, urgent.Urgent = structs.ClassLatency, true
	return []truth{
		latency(truth{name: "desk", Entry: entry("front", resources(4, 8), 0), use: resources(2.5, 5), noise: 0.4, sensitivity: 1.6, services: size.Upstreams}),
		latency(truth{name: "watch", Entry: entry("watches", resources(2, 6), 0), use: resources(1, 4), noise: 0.3, sensitivity: 1.2, services: size.Workers / 2}),
		{name: "check", Entry: urgent, kind: structs.KindBatch, use: resources(1.5, 3), runtime: 15, perMinute: 12, noise: 0.4, sensitivity: 1},
		batch(truth{name: "sheets", Entry: entry("plans", resources(4, 12), 60), use: resources(3, 6), runtime: 90, perMinute: 14, noise: 0.5, sensitivity: 0.5, deadline: 900}),
		batch(truth{name: "plans", Entry: entry("plans", resources(6, 24), 300), use: resources(3, 10), runtime: 150, perMinute: 9, noise: 0.4, sensitivity: 0.7}),
		batch(truth{name: "diagnosis", Entry: entry("lab", resources(2, 8), 120), use: resources(2.4, 7), runtime: 320, perMinute: 7, noise: 0.5, sensitivity: 0.6}),
		batch(truth{name: "scan", Entry: entry("lab", resources(4, 6), 60), use: resources(3.5, 3), runtime: 100, perMinute: 8, noise: 1.6, sensitivity: 0.3, waves: true}),
		batch(truth{name: "report", Entry: entry("desk-batch", resources(1, 4), 60), use: resources(0.5, 2), runtime: 40, perMinute: 20, noise: 0.3, sensitivity: 0.4}),
	}
}

// load is the demand on services at a time, relative to the mean: a daily
// wave in small with surges.
func (s *scenario) load(at float64) float64 {
	surge := s.surges[min(int(at/300), len(s.surges)-1)]
	return 1 + 0.35*math.Sin(2*math.Pi*at/1500) + surge
}

// intensity is how noisy an entry's tasks are at a time.
func (s *scenario) intensity(entry int, at float64) float64 {
	if !s.truths[entry].waves {
		return 1
	}
	if math.Mod(at, 420) < 210 {
		return 1.6
	}
	return 0.4
}

func (s *scenario) catalogue() structs.Catalogue {
	c := structs.Catalogue{Owners: map[string]structs.Owner{}, Entries: map[string]structs.Entry{}}
	for _, t := range s.truths {
		c.Owners[t.Owner] = structs.Owner{Weight: 1}
		c.Entries[t.name] = t.Entry
	}
	return c
}

func (s *scenario) domainOf(worker int) string {
	return fmt.Sprintf("domain-%d", worker*s.size.Domains/s.size.Workers)
}

// arrivals are the submissions of one second.
func (s *scenario) arrivals(at int, rng *rand.Rand) []structs.SubmitJob {
	var jobs []structs.SubmitJob
	add := func(t *truth, spec structs.JobSpec) {
		spec.Entry, spec.Kind = t.name, t.kind
		jobs = append(jobs, structs.SubmitJob{Owner: t.Owner, Key: fmt.Sprintf("%s-%d-%d", t.name, at, len(jobs)), Spec: spec})
	}
	for i := range s.truths {
		t := &s.truths[i]
		if t.kind == structs.KindService {
			if at == 0 {
				add(t, structs.JobSpec{Count: t.services})
			}
			continue
		}
		rate := t.perMinute * float64(s.size.Workers) / 10 / 60
		if t.name == "check" {
			rate *= s.load(float64(at))
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

func poisson(rng *rand.Rand, mean float64) int {
	n, p, limit := 0, rng.Float64(), math.Exp(-mean)
	for p > limit {
		p *= rng.Float64()
		n++
	}
	return n
}
