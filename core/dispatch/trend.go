package dispatch

import (
	"math"
	"time"

	"gooseberrypond/core/graph"
)

// The tasks of a serving step share the load of their users, which rises and falls
// within seconds. Their common trend tells how much headroom each of them will have
// soon, earlier and with less noise than the lists of one worker.

const (
	// trendWindow is the time constant with which changes of headroom lose weight. It
	// covers two lists of each worker.
	trendWindow = time.Second
	// trendPriorWeight is the weight, in seconds of observed change, of the assumption
	// that the load is constant.
	trendPriorWeight = 0.5
	// trendDamping is the time constant with which a trend is expected to end: a load
	// that rises now soon stops rising.
	trendDamping = 2500 * time.Millisecond
	// trendGapMax is the longest time between two lists from which a trend is learned.
	trendGapMax = 1500 * time.Millisecond
	// trendDisturbance is the change of headroom by fillers at which an observation
	// counts half: how much they changed is only estimated.
	trendDisturbance = 0.2
	// paceAhead is how far ahead the pace controller looks: half the measurement
	// window, plus the time until the next list and until a new pace takes effect.
	paceAhead = 700 * time.Millisecond
	// admitAhead is how far ahead headroom must suffice when a filler starts. It is
	// about the time in which the controller could not end the interference.
	admitAhead = 1500 * time.Millisecond
)

// loadTrend is the trend of the headroom that the tasks of a step have without
// fillers. It is the mean of their observed changes, which decay within trendWindow.
type loadTrend struct {
	// change is the sum of the changes of headroom, seconds that of the times in
	// which they happened.
	change, seconds float64
	at              time.Time
}

// add adds a change of one task's headroom within a time, with a weight.
func (l *loadTrend) add(now time.Time, change float64, within time.Duration, weight float64) {
	keep := math.Exp(-now.Sub(l.at).Seconds() / trendWindow.Seconds())
	l.change = l.change*keep + weight*change
	l.seconds = l.seconds*keep + weight*within.Seconds()
	l.at = now
}

// slope returns the change of headroom per second.
func (l *loadTrend) slope() float64 {
	if l == nil {
		return 0
	}
	return l.change / (l.seconds + trendPriorWeight)
}

// ahead returns the expected change of headroom within a time.
func (l *loadTrend) ahead(d time.Duration) float64 {
	damping := trendDamping.Seconds()
	return l.slope() * damping * (1 - math.Exp(-d.Seconds()/damping))
}

// trendOf returns the trend of a step; nil if none has been observed.
func (c *Core) trendOf(s *graph.StepState) *loadTrend { return c.trends[s] }

// observeTrends updates the trends of the steps with tasks in two lists of a worker.
// What fillers have changed, by the pressure models, is left out.
func (c *Core) observeTrends(now time.Time, before, after *observation, diff map[string]float64) {
	within := after.at.Sub(before.at)
	if within <= 0 || within > trendGapMax {
		return
	}
	for image, tasks := range after.headroom {
		var taken, uncertain float64
		for filler, change := range diff {
			p := c.pressureOf(filler, image) * change
			taken += p
			uncertain += math.Abs(p)
		}
		weight := 1 / (1 + (uncertain/trendDisturbance)*(uncertain/trendDisturbance))
		for _, x := range tasks {
			for _, old := range before.headroom[image] {
				if old.run != x.run || x.headroom >= headroomObservedMax || old.headroom >= headroomObservedMax {
					continue
				}
				l := c.trends[x.run.a.Step]
				if l == nil {
					l = &loadTrend{at: now}
					c.trends[x.run.a.Step] = l
				}
				l.add(now, x.headroom-old.headroom+taken, within, weight)
			}
		}
	}
}

// forgetTrends removes the trends of steps whose job has ended.
func (c *Core) forgetTrends() {
	for s := range c.trends {
		if !s.Occurrence.Job.Live() {
			delete(c.trends, s)
		}
	}
}
