package organisation

import "time"

// excessBurst is for how long an organisation may send at once what its weight lets it
// send in that time.
const excessBurst = 3 * time.Second

// Buckets tells which jobs organisations send beyond their weight in jobs a second.
type Buckets struct {
	byName map[string]*bucket
}

type bucket struct {
	jobs float64
	at   time.Time
}

// NewBuckets returns buckets that are full.
func NewBuckets() *Buckets { return &Buckets{byName: map[string]*bucket{}} }

// Excess takes a job from the bucket of an organisation with the given weight, and reports
// whether the bucket was empty.
func (b *Buckets) Excess(now time.Time, name string, weight float64) bool {
	full := max(1, weight*excessBurst.Seconds())
	x := b.byName[name]
	if x == nil {
		x = &bucket{jobs: full, at: now}
		b.byName[name] = x
	}
	if passed := now.Sub(x.at).Seconds(); passed > 0 {
		x.jobs, x.at = x.jobs+passed*weight, now
	}
	x.jobs = min(x.jobs, full)
	if x.jobs < 1 {
		return true
	}
	x.jobs--
	return false
}
