package route

import (
	"math"
	"time"
)

// owner is the state of one owner's limits on this host.
type owner struct {
	name            string
	concurrency     int
	nextConcurrency int
	nextRate        int
	rate            bucket
	running         int // requests with an attempt in flight; excludes queued ones that never started
	queued          int
	peak            int // highest sum of running and queued since the last sync
	arrivals        rateMeter
}

func (r *Router) owner(name string) *owner {
	o, ok := r.owners[name]
	if !ok {
		o = &owner{name: name, rate: bucket{tokens: 1}}
		r.owners[name] = o
	}
	return o
}

// updatePeak updates the peak with the current use.
func (o *owner) updatePeak() { o.peak = max(o.peak, o.running+o.queued) }

// burstWindow is the time over which unused tokens of a rate share accumulate.
// It is short so that the hosts together stay near the owner's rate when shares
// move between them.
const burstWindow = 250 * time.Millisecond

// bucket is a token bucket.
type bucket struct {
	share  int // tokens per second
	tokens float64
	at     time.Time
}

// set changes the rate, after adding the tokens that accumulated at the old rate.
func (b *bucket) set(now time.Time, share int) {
	b.refill(now)
	b.share = share
	b.tokens = min(b.tokens, b.burst())
}

// burst returns the capacity of the bucket. It is at least one token, even
// without a share, so that no token is lost or created when a share is withdrawn
// and granted again.
func (b *bucket) burst() float64 {
	return max(1, float64(b.share)*burstWindow.Seconds())
}

func (b *bucket) refill(now time.Time) {
	if dt := now.Sub(b.at); dt > 0 && !b.at.IsZero() {
		b.tokens = min(b.tokens+dt.Seconds()*float64(b.share), b.burst())
	}
	if now.After(b.at) {
		b.at = now
	}
}

// ready reports whether a token is available.
func (b *bucket) ready(now time.Time) bool {
	b.refill(now)
	return b.share > 0 && b.tokens >= 1
}

// wait estimates the time until n tokens are available. It returns 0 if there
// is no share to estimate it from.
func (b *bucket) wait(now time.Time, n int) time.Duration {
	b.refill(now)
	missing := float64(n) - b.tokens
	if missing <= 0 || b.share == 0 {
		return 0
	}
	return time.Duration(missing / float64(b.share) * float64(time.Second))
}

// rateMeterWindow is the time constant of the decay in rateMeter.
const rateMeterWindow = time.Second

// rateMeter estimates events per second with exponential decay.
type rateMeter struct {
	value float64
	at    time.Time
}

func (m *rateMeter) add(now time.Time, n float64) {
	if dt := now.Sub(m.at); dt > 0 {
		m.value *= math.Exp(-dt.Seconds() / rateMeterWindow.Seconds())
		m.at = now
	}
	m.value += n / rateMeterWindow.Seconds()
}

// latency estimates the duration of the answered requests of one entry.
type latency struct {
	mean time.Duration
	tail time.Duration // about the 95th percentile
}

const (
	// meanDivisor is the divisor of the moving average: a new sample has the
	// weight 1/meanDivisor.
	meanDivisor = 16
	// tailQuantile is the quantile that latency.tail estimates.
	tailQuantile = 0.95
	// tailStep scales the adjustment of latency.tail per sample, relative to
	// its value.
	tailStep = 0.1
)

func (l *latency) add(d time.Duration) {
	if l.mean == 0 {
		l.mean, l.tail = d, 2*d
		return
	}
	l.mean += (d - l.mean) / meanDivisor
	if d > l.tail {
		l.tail += time.Duration(float64(l.tail) * tailStep * tailQuantile)
	} else {
		l.tail -= time.Duration(float64(l.tail) * tailStep * (1 - tailQuantile))
	}
	l.tail = max(l.tail, l.mean)
}

const (
	// budgetRatio is the number of retries and hedges allowed per recent request.
	budgetRatio = 0.1
	// budgetMin is the number of retries allowed per window regardless of
	// traffic, so that entries with few requests can retry too.
	budgetMin = 3
	// budgetSlice is the length of one of the ten slices of the window in which
	// requests count as recent.
	budgetSlice = time.Second
)

// budget limits the retries and hedges of an entry to a fraction of its recent
// requests. A fixed number of retries per request would multiply the load on
// failing upstreams.
type budget struct {
	requests [10]int
	retries  [10]int
	slice    int64
}

// advance clears the slices that have left the window and returns the index of
// the current one.
func (b *budget) advance(now time.Time) int {
	s := now.UnixNano() / int64(budgetSlice)
	for n := 0; b.slice < s; n++ {
		if n == len(b.requests) {
			b.slice = s
			break
		}
		b.slice++
		i := int(b.slice % int64(len(b.requests)))
		b.requests[i], b.retries[i] = 0, 0
	}
	return int(b.slice % int64(len(b.requests)))
}

// countRequest counts a new request.
func (b *budget) countRequest(now time.Time) { b.requests[b.advance(now)]++ }

// take takes one retry or hedge from the budget. It returns false if the budget
// is used up.
func (b *budget) take(now time.Time) bool {
	i := b.advance(now)
	requests, retries := 0, 0
	for k := range b.requests {
		requests += b.requests[k]
		retries += b.retries[k]
	}
	if float64(retries+1) > budgetMin+budgetRatio*float64(requests) {
		return false
	}
	b.retries[i]++
	return true
}
