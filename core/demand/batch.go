package demand

import "cmp"

// LateFactor is up to how many times its objective a job's result is still of use.
const LateFactor = 3

const (
	// shortWorkWeight is how much later a job ranks for each unit of what is left to do.
	shortWorkWeight = 4
	// shortWorkMaxMS limits that, so that long work does not starve.
	shortWorkMaxMS = 60_000
)

// Use is what the result of a batch job can still be to its caller.
type Use uint8

const (
	// InTime can be there within the objective.
	InTime Use = iota
	// Late can be there within LateFactor times the objective.
	Late
	// TooLate cannot.
	TooLate
)

// Batch is the waiting work of a batch job.
type Batch struct {
	// DueMS is when the job was due to begin, ObjectiveMS within which time it should be
	// complete, RemainingMS what its longest chain of steps still takes, from now on.
	DueMS, ObjectiveMS, RemainingMS int64
	// Started means that a task of the job has had a run.
	Started bool
}

// UseAt returns what the job's result can still be if its work starts at the given time.
func (b Batch) UseAt(nowMS int64) Use {
	took := nowMS + b.RemainingMS - b.DueMS
	switch {
	case took <= b.ObjectiveMS:
		return InTime
	case took <= LateFactor*b.ObjectiveMS:
		return Late
	}
	return TooLate
}

// SlackShare returns the share of the objective, from 0 to 1, for which the job's work may
// still wait and be in time.
func (b Batch) SlackShare(nowMS int64) float64 {
	slackMS := b.DueMS + b.ObjectiveMS - nowMS - b.RemainingMS
	return max(0, min(1, float64(slackMS)/float64(max(b.ObjectiveMS, 1))))
}

// dueMS is when the job should be complete. A started job counts as due by half of its
// objective earlier, so that it is finished before another one is begun that is due then.
func (b Batch) dueMS() int64 {
	due := b.DueMS + b.ObjectiveMS
	if b.Started {
		due -= b.ObjectiveMS / 2
	}
	return due
}

// Compare orders jobs of the same use: those that should be complete first, but short work
// before long work that is due a little earlier, so that more jobs are served while there is
// too little room. All of them come first in the end, so that none starves.
func (b Batch) Compare(o Batch) int { return cmp.Compare(b.rankMS(), o.rankMS()) }

func (b Batch) rankMS() int64 { return b.dueMS() + min(shortWorkWeight*b.RemainingMS, shortWorkMaxMS) }
