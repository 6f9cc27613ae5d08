package route

import (
	"math"
	"time"
)

// owner is one owner's limits and use on this host.
type owner struct {
	name           string
	concurrency    int
	newConcurrency int
	newRate        int
	rate           bucket
	running        int // requests in flight, queued ones excluded
	queued         int
	peak           int // highest running and queued since the last sync
	arrivals       rateMeter
}

func (r *Router) owner(name string) *owner {
	o, ok := r.owners[name]
	if !ok {
		o = &owner{name: name, rate: bucket{tokens: 1}}
		r.owners[name] = o
	}
	return o
}

// notePeak records the highest use since the last sync.
func (o *owner) notePeak() { o.peak = max(o.peak, o.running+o.queued) }

// burstWindow is the time for which unused tokens of a rate share accumulate.
// It is short so that hosts together stay near the rate when shares move.
const burstWindow = 250 * time.Millisecond

// bucket is a token bucket.
type bucket struct {
	share  int // tokens per second
	tokens float64
	at     time.Time
}

// set changes the rate after adding what accumulated at the earlier one.
func (b *bucket) set(now time.Time, share int) {
	b.fill(now)
	b.share = share
	b.tokens = min(b.tokens, b.burst())
}

// burst is at least one token, also without a share: a share that comes and
// goes must neither lose nor create tokens.
func (b *bucket) burst() float64 {
	return max(1, float64(b.share)*burstWindow.Seconds())
}

func (b *bucket) fill(now time.Time) {
	if dt := now.Sub(b.at); dt > 0 && !b.at.IsZero() {
		b.tokens = min(b.tokens+dt.Seconds()*float64(b.share), b.burst())
	}
	if now.After(b.at) {
		b.at = now
	}
}

// ready reports whether a token is there.
func (b *bucket) ready(now time.Time) bool {
	b.fill(now)
	return b.share > 0 && b.tokens >= 1
}

// wait estimates when the n-th token from now is there.
func (b *bucket) wait(now time.Time, n int) time.Duration {
	b.fill(now)
	missing := float64(n) - b.tokens
	if missing <= 0 || b.share == 0 {
		return 0
	}
	return time.Duration(missing / float64(b.share) * float64(time.Second))
}

// rateMeterWindow is the time constant of the arrival rate.
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

// latency estimates the run time of requests of one entry.
type latency struct {
	mean time.Duration
	high time.Duration // about the 95th percentile
}

const (
	// meanWeight is the weight of a new sample in the mean.
	meanWeight = 16
	// highQuantile is the quantile that latency.high follows.
	highQuantile = 0.95
	// highStep is the relative step of latency.high.
	highStep = 0.1
)

func (l *latency) add(d time.Duration) {
	if l.mean == 0 {
		l.mean, l.high = d, 2*d
		return
	}
	l.mean += (d - l.mean) / meanWeight
	if d > l.high {
		l.high += time.Duration(float64(l.high) * highStep * highQuantile)
	} else {
		l.high -= time.Duration(float64(l.high) * highStep * (1 - highQuantile))
	}
	l.high = max(l.high, l.mean)
}

const (
	// budgetShare is the number of retries and hedges per recent request.
	budgetShare = 0.1
	// budgetFloor is the number of retries that is always allowed per window,
	// so that an entry with little traffic can retry at all.
	budgetFloor = 3
	// budgetSlice is a tenth of the window over which requests count as recent.
	budgetSlice = time.Second
)

// budget bounds retries to a share of recent requests. A fixed number of
// retries per request would multiply the load on upstreams that are failing.
type budget struct {
	requests [10]int
	retries  [10]int
	slice    int64
}

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

// note counts a request.
func (b *budget) note(now time.Time) { b.requests[b.advance(now)]++ }

// take uses one retry if the budget allows it.
func (b *budget) take(now time.Time) bool {
	i := b.advance(now)
	requests, retries := 0, 0
	for k := range b.requests {
		requests += b.requests[k]
		retries += b.retries[k]
	}
	if float64(retries+1) > budgetFloor+budgetShare*float64(requests) {
		return false
	}
	b.retries[i]++
	return true
}
