package sched

import (
	"math"
	"slices"
	"time"

	"gooseberrypond/core/state"
	"gooseberrypond/core/structs"
)

const (
	// confidenceSamples is k in the weight n/(n+k) of an observed mean of n
	// samples against the prior.
	confidenceSamples = 2
	// entrySamples and overallSamples are k for the means over many pairs. They
	// are larger because one report contributes to several of these means.
	entrySamples   = 5.0
	overallSamples = 10.0
	// maxPairWeight limits the weight of past samples, so that estimates follow
	// changes of load.
	maxPairWeight = 200.0
	// maxExcess limits the excess slowdown taken from one report; larger outliers
	// are caused by faults rather than by neighbours.
	maxExcess = 5.0
	// excessFloor is added to each neighbour's estimate when excess slowdown is
	// attributed, so that a pair with an estimate of zero can still rise later.
	excessFloor = 0.0005
	// reportHalfAgeMS is the age at which a report has half the weight of a new one.
	reportHalfAgeMS = 30_000.0
	// initialExcess is the excess slowdown assumed for a pair before any report.
	initialExcess = 0.02
)

// weightedMean is a running mean. Its weight is capped when samples are added, so
// that it keeps following new ones.
type weightedMean struct {
	weight float32
	mean   float32
}

func (m *weightedMean) add(x, weight float64, limit float32) {
	m.weight = min(m.weight+float32(weight), limit)
	m.mean += (float32(x) - m.mean) * float32(weight) / m.weight
}

// blend returns the mean blended with a prior; the mean has weight n/(n+k).
func (m *weightedMean) blend(prior, k float64) float64 {
	c := float64(m.weight) / (float64(m.weight) + k)
	return float64(m.mean)*c + prior*(1-c)
}

// interference estimates, for each ordered pair of entries, the excess slowdown
// that one task of the aggressor causes for a task of the victim. A slowdown of
// 1 means undisturbed; the excess is the amount above 1.
type interference struct {
	// plainMean uses observed means without a prior, for comparison.
	plainMean bool
	rows      []interferenceRow
	overall   weightedMean
	// noise is the mean excess that an entry causes for any victim, by aggressor.
	noise []weightedMean
	// table caches the estimates by victim and aggressor for ranking. One row is
	// recomputed each tick. Computing each estimate on demand took a fifth of the
	// time of a plan.
	table  [][]float32
	cursor int
	// errors is the sum of the absolute prediction errors of errorCount reports.
	errors     float64
	errorCount int
	// neighbourBuf is a buffer reused between reports.
	neighbourBuf []neighbour
}

// interferenceRow holds the observations of one victim, by aggressor.
type interferenceRow struct {
	pairs []weightedMean
	// all is the mean over all aggressors, i.e. the victim's sensitivity.
	all weightedMean
}

func grow[T any](list []T, id int32) []T {
	if int(id) < len(list) {
		return list
	}
	return append(list, make([]T, int(id)+1-len(list))...)
}

// excess returns the estimated excess slowdown that one task of the aggressor
// causes for the victim.
func (f *interference) excess(victim, aggressor int32) float64 {
	if int(victim) < len(f.rows) {
		if row := &f.rows[victim]; int(aggressor) < len(row.pairs) {
			pair := &row.pairs[aggressor]
			if f.plainMean && pair.weight > 0 {
				return float64(pair.mean)
			}
			return pair.blend(f.prior(victim, aggressor), confidenceSamples)
		}
	}
	return f.prior(victim, aggressor)
}

// refreshRow recomputes the next row of the table, which has one row and one
// column per entry.
func (f *interference) refreshRow(entries int) {
	if entries == 0 {
		return
	}
	f.table = grow(f.table, int32(entries-1))
	f.cursor = (f.cursor + 1) % entries
	row := grow(f.table[f.cursor], int32(entries-1))
	for a := range row {
		row[a] = float32(f.excess(int32(f.cursor), int32(a)))
	}
	f.table[f.cursor] = row
}

// lookup returns the value of excess cached in the table, or computes it if there is none.
func (f *interference) lookup(victim, aggressor int32) float64 {
	if int(victim) < len(f.table) {
		if row := f.table[victim]; int(aggressor) < len(row) {
			return float64(row[aggressor])
		}
	}
	return f.excess(victim, aggressor)
}

// prior estimates a pair from the victim's sensitivity and the aggressor's
// noise, both relative to the overall mean. The result is capped at the larger
// of the two, because with few reports both may derive from the same report and
// multiplying them would count it twice.
func (f *interference) prior(victim, aggressor int32) float64 {
	overall := f.overall.blend(initialExcess, overallSamples)
	if f.plainMean || overall <= 0 {
		return overall
	}
	sensitivity, noise := overall, overall
	if int(victim) < len(f.rows) {
		sensitivity = f.rows[victim].all.blend(overall, entrySamples)
	}
	if int(aggressor) < len(f.noise) {
		noise = f.noise[aggressor].blend(overall, entrySamples)
	}
	return min(sensitivity*noise/overall, max(sensitivity, noise))
}

// observe updates the estimates from one report. The excess slowdown is
// attributed to the neighbours in proportion to their current estimates.
func (f *interference) observe(victim int32, slowdown float64, ageMS int64, neighbours []int32) {
	if len(neighbours) == 0 || slowdown <= 0 {
		return
	}
	excess := min(max(slowdown-1, 0), maxExcess)
	weight := reportHalfAgeMS / (reportHalfAgeMS + float64(max(0, ageMS)))
	f.neighbourBuf = countOccurrences(f.neighbourBuf[:0], neighbours)
	sum := 0.0
	for i := range f.neighbourBuf {
		nb := &f.neighbourBuf[i]
		nb.estimate = f.excess(victim, nb.entry) + excessFloor
		sum += nb.n * nb.estimate
	}
	f.errors += math.Abs(sum - excess)
	f.errorCount++
	f.rows = grow(f.rows, victim)
	for _, nb := range f.neighbourBuf {
		f.record(victim, nb.entry, excess*nb.estimate/sum, weight)
	}
}

// neighbour is one entry among the neighbours in a report, with its number of tasks.
type neighbour struct {
	entry    int32
	n        float64
	estimate float64
}

// countOccurrences appends each distinct entry of the list with its number of
// occurrences to dst.
func countOccurrences(dst []neighbour, list []int32) []neighbour {
	for _, a := range list {
		i := slices.IndexFunc(dst, func(nb neighbour) bool { return nb.entry == a })
		if i < 0 {
			i = len(dst)
			dst = append(dst, neighbour{entry: a})
		}
		dst[i].n++
	}
	return dst
}

func (f *interference) record(victim, aggressor int32, excess, weight float64) {
	row := &f.rows[victim]
	row.pairs = grow(row.pairs, aggressor)
	f.noise = grow(f.noise, aggressor)
	row.pairs[aggressor].add(excess, weight, maxPairWeight)
	row.all.add(excess, weight, maxPairWeight)
	f.noise[aggressor].add(excess, weight, maxPairWeight)
	f.overall.add(excess, weight, 10*maxPairWeight)
}

// PredictionError returns the mean absolute difference between the estimated
// and the reported excess slowdown, and the number of reports. Each estimate was
// made before the report was learned from.
func (s *Scheduler) PredictionError() (mean float64, reports int) {
	n := s.interference.errorCount
	return s.interference.errors / float64(max(1, n)), n
}

// Observe learns from a worker's usage reports and adjusts its throttles.
func (s *Scheduler) Observe(now time.Time, worker structs.WorkerID, usage []structs.Usage, t *state.Tables) {
	n := s.nodes[worker]
	for i := range usage {
		u := &usage[i]
		task := t.Task(u.Task)
		job := t.Job(u.Task.Job)
		if task == nil || job == nil {
			continue
		}
		id := s.entryID(job.Spec.Entry)
		s.neighbours = s.neighbours[:0]
		for _, name := range u.Neighbours {
			s.neighbours = append(s.neighbours, s.entryID(name))
		}
		s.interference.observe(id, u.Slowdown, u.AgeMS, s.neighbours)
		info := s.entryInfos[job.Spec.Entry]
		if info == nil {
			continue
		}
		s.estimate(id).observe(declaredSize(info, job), u.Used, info.Class == structs.ClassLatency)
		if n != nil && info.Class == structs.ClassLatency && u.Slowdown > 0 {
			n.recordSlowdown(u.Task, u.Slowdown, now.Add(-time.Duration(u.AgeMS)*time.Millisecond))
		}
	}
	if n != nil {
		s.adjustThrottles(n, now, t)
	}
}
