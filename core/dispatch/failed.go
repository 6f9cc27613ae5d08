package dispatch

import (
	"slices"
	"time"
)

// While there is too little room, most searches find no worker. A search that failed is not
// repeated as a whole: only the workers that have changed since can take what it was for.

const (
	// failedSearchLife is the time after which all workers are searched again. Pressures, which
	// belong to no worker, change slowly.
	failedSearchLife = 500 * time.Millisecond
	// maxFailedSearches limits the searches that are remembered; the oldest is replaced.
	maxFailedSearches = 128
)

// failedSearch is a demand for which no worker was found.
type failedSearch struct {
	taskDemand
	// plan is the number of the last plan that found none.
	plan uint64
	// wholeAt is when all workers were last compared.
	wholeAt time.Time
}

// failedSearches are the latest unsuccessful searches, one for each demand.
type failedSearches []failedSearch

// easier returns the latest search, with its age below failedSearchLife, for a demand that asks
// for no more than d; nil if there is none.
func (f failedSearches) easier(now time.Time, d taskDemand) *failedSearch {
	var latest *failedSearch
	for i := range f {
		if s := &f[i]; (latest == nil || s.plan > latest.plan) && now.Sub(s.wholeAt) < failedSearchLife && d.atLeast(s.taskDemand) {
			latest = s
		}
	}
	return latest
}

// since returns the number of the plan up to which workers that have not changed cannot meet
// the demand; 0 if none is known.
func (f failedSearches) since(now time.Time, d taskDemand) uint64 {
	if s := f.easier(now, d); s != nil {
		return s.plan
	}
	return 0
}

// add records that the plan with the given number found no worker for a demand.
func (f *failedSearches) add(now time.Time, plan uint64, d taskDemand) {
	s := failedSearch{taskDemand: d, plan: plan, wholeAt: now}
	if known := f.easier(now, d); known != nil {
		s.wholeAt = known.wholeAt // only the workers that changed were compared
	}
	i := slices.IndexFunc(*f, func(x failedSearch) bool { return x.taskDemand == d })
	switch {
	case i >= 0:
		(*f)[i] = s
	case len(*f) < maxFailedSearches:
		*f = append(*f, s)
	default:
		(*f)[f.oldest()] = s
	}
}

func (f failedSearches) oldest() int {
	oldest := 0
	for i := range f {
		if f[i].wholeAt.Before(f[oldest].wholeAt) {
			oldest = i
		}
	}
	return oldest
}

// forget drops the searches that are too old to be used.
func (f *failedSearches) forget(now time.Time) {
	*f = slices.DeleteFunc(*f, func(s failedSearch) bool { return now.Sub(s.wholeAt) >= failedSearchLife })
}
