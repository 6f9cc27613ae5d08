// Package outage decides what a host does with calls that need a leader while none
// answers: wait, and for how long, or refuse, and when the caller should come back. It
// learns from the recoveries that the host has seen. It does no I/O; time and chance
// are parameters.
package outage

import (
	"math"
	"slices"
	"time"
)

const (
	// remembered is the number of recoveries that count. Older ones say little about a
	// group whose hosts and links have changed since.
	remembered = 16
	// waitChance is the least chance of a return within the wait for which a call is held.
	// It is low, because a refused caller stays away for a second or more, and one with
	// less than that left may not come back at all.
	waitChance = 0.2
	// MinLeft is the least time left in which a call can still be sent and answered.
	MinLeft = 30 * time.Millisecond
	// maxRetryAfter bounds the pause asked of a caller, in case the estimate is far off.
	maxRetryAfter = 30 * time.Second
	// Callers come back spread over these quantiles of the return. The earliest is the
	// median: one that comes sooner would more likely than not be refused again.
	earliestQuantile, latestQuantile = 0.5, 0.9
	// tailWeight is how many recoveries the heavy tail counts as. It keeps an outage that
	// is longer than any seen from looking as if it ended at once.
	tailWeight = 1.0
)

// prior are recoveries that a host assumes before it has seen any: elections.
var prior = []time.Duration{700 * time.Millisecond, time.Second, 1400 * time.Millisecond}

// Tracker follows the leader's absences as seen from one host. The zero value knows of
// none.
type Tracker struct {
	// seen has the lengths of the last recoveries, the oldest first.
	seen []time.Duration
	// lastContact is when a leader last answered.
	lastContact time.Time
	lost        bool
}

// Contact records that a leader has answered. The first answer after Lost ends an
// absence, which counts from the last answer before it; Contact returns its length, else 0.
func (t *Tracker) Contact(now time.Time) (away time.Duration) {
	if t.lost && !t.lastContact.IsZero() {
		away = max(0, now.Sub(t.lastContact))
		t.seen = append(t.seen, away)
		t.seen = t.seen[max(0, len(t.seen)-remembered):]
	}
	t.lastContact, t.lost = now, false
	return away
}

// Lost records that no leader is known any more.
func (t *Tracker) Lost() { t.lost = true }

// LastContact returns when a leader last answered; zero if none has.
func (t *Tracker) LastContact() time.Time { return t.lastContact }

// Recoveries returns the number of recoveries that count and the length of the last.
func (t *Tracker) Recoveries() (n int, last time.Duration) {
	if n = len(t.seen); n > 0 {
		last = t.seen[n-1]
	}
	return n, last
}

// Call is a call that needs a leader.
type Call struct {
	// Left is the time until its caller gives up, Waited the time for which it has been
	// held.
	Left, Waited time.Duration
	// Sent is set if a leader may have received it. Its outcome is then unknown until a
	// leader answers, and a refusal would be untrue.
	Sent bool
}

// holdShare is the share of its caller's time, from its arrival, for which a call is held.
const holdShare = 0.25

// Wait returns how much longer a call is held for a leader to return; zero or less if it
// is to be answered now. A call that may have taken effect is held in any case, since
// only a leader can tell its outcome, and so is one whose caller has less time left than
// the shortest pause that it can be asked for.
func (t *Tracker) Wait(now time.Time, c Call) time.Duration {
	hold := time.Duration(holdShare*float64(c.Left+c.Waited)) - c.Waited
	if c.Left-hold < MinLeft {
		return 0
	}
	if c.Sent || c.Left < time.Second || t.chance(now, hold) >= waitChance {
		return hold
	}
	return 0
}

// RetryAfter returns when a refused caller should come back, in whole seconds and at
// least one, which is also the answer while a leader is known. left is the time until the
// caller gives up: it is not told to come back later than that. spread is uniform in
// [0, 1) and independent between callers, so that they don't return together.
func (t *Tracker) RetryAfter(now time.Time, left time.Duration, spread float64) int {
	if !t.lost {
		return 1
	}
	pause := t.remaining(now, earliestQuantile+(latestQuantile-earliestQuantile)*spread)
	pause = min(pause, maxRetryAfter)
	// Rounded down or up by chance, so that callers of one moment differ.
	seconds, part := math.Modf(pause.Seconds())
	if _, chance := math.Modf(spread * roundingSlices); chance < part {
		seconds++
	}
	latest := math.Floor((1 - holdShare) * left.Seconds()) // the last try can still be held
	return int(max(1, min(seconds, latest)))
}

// roundingSlices makes the chance by which a pause is rounded nearly independent of that
// by which it is chosen.
const roundingSlices = 16

// chance returns the probability that a leader returns within the given time.
func (t *Tracker) chance(now time.Time, within time.Duration) float64 {
	if within <= 0 {
		return 0
	}
	away := t.away(now)
	longer, ended := 0, 0
	for _, d := range t.recoveries() {
		if d > away {
			longer++
			if d <= away+within {
				ended++
			}
		}
	}
	tail := tailWeight * float64(within) / float64(max(away, prior[0])+within)
	return (float64(ended) + tail) / (float64(longer) + tailWeight)
}

// remaining returns the time from now within which a leader returns with probability q.
func (t *Tracker) remaining(now time.Time, q float64) time.Duration {
	lo, hi := time.Duration(0), maxRetryAfter
	for hi-lo > 10*time.Millisecond {
		if mid := lo + (hi-lo)/2; t.chance(now, mid) < q {
			lo = mid
		} else {
			hi = mid
		}
	}
	return hi
}

// away returns for how long no leader has answered.
func (t *Tracker) away(now time.Time) time.Duration {
	if t.lastContact.IsZero() {
		return 0
	}
	return max(0, now.Sub(t.lastContact))
}

// recoveries returns the recoveries seen and, while they are few, the prior.
func (t *Tracker) recoveries() []time.Duration {
	if len(t.seen) >= len(prior) {
		return t.seen
	}
	return slices.Concat(t.seen, prior[len(t.seen):])
}
