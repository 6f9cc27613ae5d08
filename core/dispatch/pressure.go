package dispatch

import (
	"cmp"
	"slices"
	"time"

	"gooseberrypond/core/graph"
)

// Headroom is a tail target divided by the tail: 1 is at the target. It falls
// in a straight line as the worker fills up, while the tail itself rises
// without bound; so the effect of a filler can be learned as a slope.

const (
	// lightPressure is where fillers do not need to be slowed for others' sake.
	lightPressure = 1.2
	// headroomSeen caps the headroom that is observed: far from the target it
	// is dominated by the tasks' own load.
	headroomSeen = 4.0
)

// observation is what a worker's list said about interference.
type observation struct {
	// headroom holds the headroom of each serving task, by image.
	headroom map[string][]taskHeadroom
	// use is the processor use of fillers by image, in shares of the worker.
	use map[string]float64
	at  time.Time
}

// taskHeadroom is the headroom of one serving task.
type taskHeadroom struct {
	run      *runState
	headroom float64
}

// observe takes a worker's list and learns from the difference to the one before.
func (c *Core) observe(now time.Time, ws *workerState) {
	o := observation{headroom: map[string][]taskHeadroom{}, use: map[string]float64{}, at: now}
	whole := float64(max(ws.w.Capacity.CPUMilli, 1))
	for a, r := range ws.runs {
		switch {
		case !r.seen || r.measure <= 0:
		case a.Step.Filler:
			o.use[a.Step.Image] += r.measure / whole
		case a.Step.TailTargetMS > 0:
			h := min(headroomSeen, float64(a.Step.TailTargetMS)/r.measure)
			o.headroom[a.Step.Image] = append(o.headroom[a.Step.Image], taskHeadroom{r, h})
		}
	}
	if diff := useChange(ws.last.use, o.use); len(diff) > 0 {
		for image, after := range o.headroom {
			if change, ok := headroomChange(ws.last.headroom[image], after); ok {
				c.learn(now, image, change, diff)
			}
		}
	}
	ws.last = o
}

// useChange returns how much the use of each filler image has changed.
func useChange(before, after map[string]float64) map[string]float64 {
	diff := map[string]float64{}
	for image, use := range after {
		diff[image] = use - before[image]
	}
	for image, use := range before {
		if _, ok := after[image]; !ok {
			diff[image] = -use
		}
	}
	return diff
}

// headroomChange returns the mean change over the tasks that both lists name.
func headroomChange(before, after []taskHeadroom) (float64, bool) {
	var sum, n float64
	for _, x := range after {
		for _, old := range before {
			if old.run == x.run {
				sum += x.headroom - old.headroom
				n++
			}
		}
	}
	if n == 0 {
		return 0, false
	}
	return sum / n, true
}

// learn takes a change of the headroom of serving tasks of an image and the
// changes of the fillers' use that go with it.
func (c *Core) learn(now time.Time, serving string, change float64, diff map[string]float64) {
	m := c.model(now, serving)
	m.fade(now)
	m.add(change, diff)
}

// model returns the model of a serving image, which it adds if need be.
func (c *Core) model(now time.Time, serving string) *pressureModel {
	m := c.pressure[serving]
	if m == nil {
		c.forgetOldestModel()
		m = &pressureModel{at: now}
		c.pressure[serving] = m
	}
	return m
}

func (c *Core) forgetOldestModel() {
	if len(c.pressure) < maxServingImages {
		return
	}
	oldest := ""
	for image, m := range c.pressure {
		if oldest == "" || m.at.Before(c.pressure[oldest].at) {
			oldest = image
		}
	}
	delete(c.pressure, oldest)
}

// pressureOf returns the headroom that fillers of an image take from serving
// tasks of another by using all processors of a worker.
func (c *Core) pressureOf(filler, serving string) float64 {
	if m := c.pressure[serving]; m != nil {
		return m.of(filler)
	}
	return pressurePrior
}

// Pressures returns the learned pressures, the highest first, for dumps and logs.
func (c *Core) Pressures() []graph.Pressure {
	out := make([]graph.Pressure, 0, 8*len(c.pressure))
	for serving, m := range c.pressure {
		for i, filler := range m.fillers {
			out = append(out, graph.Pressure{Filler: filler, Serving: serving, Headroom: float32(m.pressure[i])})
		}
	}
	slices.SortFunc(out, func(a, b graph.Pressure) int { return cmp.Compare(b.Headroom, a.Headroom) })
	return out
}
