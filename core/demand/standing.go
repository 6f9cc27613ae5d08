// Package demand decides which waiting work goes first when there is too little room
// for all of it. It does no I/O and reads no clock.
package demand

import (
	"cmp"
	"time"
)

const (
	// UrgentAfter is how long a task that ran before may be away before it goes ahead
	// of batch work although others of its job are at work.
	UrgentAfter = 5 * time.Second
	// ClaimAfter is how long the first task of a job waits before a worker is kept free
	// for it. Most find one at once.
	ClaimAfter = time.Second
	// GiveUpAfter is how long a job has nothing at work before another one that has all
	// its tasks gives one up.
	GiveUpAfter = 3 * time.Second
	// GiveUpRest is how long a job that gave a task up is not asked for another one, so
	// that the same tasks are not moved over and over.
	GiveUpRest = 30 * time.Second
	// ReserveMax is the longest time for which a long-running task leaves capacity free
	// for batch work.
	ReserveMax = 15 * time.Second
	// oldestFirst is the wait from which the tasks that have waited longest go first
	// instead of those that are easiest to place, so that large ones do not starve.
	oldestFirst = 3 * time.Second
)

// Standing is a waiting task of a long-running job.
type Standing struct {
	// AtWork is the number of the job's tasks in this step that are at work or on their
	// way to it.
	AtWork int
	// RanBefore means that the task has had a run.
	RanBefore bool
	// Waited is how long the task has waited.
	Waited time.Duration
	// CPUMilli is what it reserves, in thousandths of a core.
	CPUMilli int64
}

// First reports whether the task would be the only one of its job at work.
func (s Standing) First() bool { return s.AtWork == 0 }

// MayClaim reports whether a worker may be kept free for the task.
func (s Standing) MayClaim() bool { return s.Waited >= ClaimAfter }

// Compare orders urgent tasks: the first of a job before others; of the first ones those
// that have waited for oldestFirst, by their wait, then the easiest to place; the others
// by their wait.
func (s Standing) Compare(o Standing) int {
	if s.First() != o.First() {
		return compareTrueFirst(s.First(), o.First())
	}
	old, oldOther := !s.First() || s.Waited >= oldestFirst, !o.First() || o.Waited >= oldestFirst
	switch {
	case old != oldOther:
		return compareTrueFirst(old, oldOther)
	case old:
		return cmp.Compare(o.Waited, s.Waited)
	}
	return cmp.Or(cmp.Compare(s.CPUMilli, o.CPUMilli), cmp.Compare(o.Waited, s.Waited))
}

func compareTrueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// Holder is a long-running job that could give up a task.
type Holder struct {
	// Tasks are the tasks of the step, Away those that do not serve.
	Tasks, Away int
	// Rested is how long ago the job last gave a task up.
	Rested time.Duration
}

// GivesUp reports whether a job gives up a task for one that has had nothing at work for
// the given time.
func (h Holder) GivesUp(waited time.Duration) bool {
	return waited >= GiveUpAfter && h.Tasks > 1 && h.Away == 0 && h.Rested >= GiveUpRest
}
