package dispatch

import (
	"cmp"
	"slices"
	"time"

	"gooseberrypond/core/graph"
	"gooseberrypond/core/interference"
)

const (
	// lightPressure is the pressure below which a filler counts as low-pressure: it
	// is slowed only after all other fillers have been paused.
	lightPressure = 1.2
	// headroomObservedMax caps the observed headroom. Far from the target, headroom
	// depends mainly on the task's own load.
	headroomObservedMax = 4.0
	// maxServingImages limits the models of pressures; the least recently updated one is
	// evicted.
	maxServingImages = 256
)

// observation is the interference data from one answer of a worker.
type observation struct {
	// headroom holds the headroom of each serving task by image.
	headroom map[string][]taskHeadroom
	// use is the processor use of fillers by image, as a fraction of the worker's
	// capacity.
	use map[string]float64
	at  time.Time
}

type taskHeadroom struct {
	run      *runState
	headroom float64
}

// observe updates the pressure models from the difference between a worker's
// current and previous lists.
func (c *Core) observe(now time.Time, ws *workerState) {
	o := observation{headroom: map[string][]taskHeadroom{}, use: map[string]float64{}, at: now}
	capacityMilli := float64(max(ws.w.Capacity.CPUMilli, 1))
	for a, r := range ws.runs {
		switch {
		case !r.reported || r.measure <= 0:
		case a.Step.Filler:
			o.use[a.Step.Image] += r.measure / capacityMilli
		case a.Step.TailTargetMS > 0:
			h := min(headroomObservedMax, float64(a.Step.TailTargetMS)/r.measure)
			o.headroom[a.Step.Image] = append(o.headroom[a.Step.Image], taskHeadroom{r, h})
		}
	}
	diff := useChange(ws.lastObservation.use, o.use)
	if len(diff) > 0 {
		for image, after := range o.headroom {
			if change, ok := c.headroomChange(&ws.lastObservation, &o, image, after); ok {
				c.learn(now, image, change, diff)
			}
		}
	}
	c.observeTrends(now, &ws.lastObservation, &o, diff)
	ws.lastObservation = o
}

// useChange returns the change in processor use of each filler image.
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

// headroomChange returns the mean change of headroom, beyond the trend of their load,
// over the tasks of an image that are in both observations. It returns false if there
// are none.
func (c *Core) headroomChange(before, now *observation, image string, after []taskHeadroom) (float64, bool) {
	var sum, n float64
	within := min(now.at.Sub(before.at), trendGapMax)
	for _, x := range after {
		for _, old := range before.headroom[image] {
			if old.run == x.run {
				sum += x.headroom - old.headroom - c.trendOf(x.run.a.Step).slope()*within.Seconds()
				n++
			}
		}
	}
	if n == 0 {
		return 0, false
	}
	return sum / n, true
}

// learn adds an observation to the model of a serving image: a change in headroom
// and the simultaneous changes in processor use by filler image.
func (c *Core) learn(now time.Time, serving string, change float64, diff map[string]float64) {
	m := c.model(now, serving)
	m.Decay(now)
	m.Observe(change, diff)
}

// model returns the model of a serving image and creates it if there is none.
func (c *Core) model(now time.Time, serving string) *interference.Pressures {
	m := c.pressure[serving]
	if m == nil {
		c.evictOldestModel()
		m = interference.NewPressures(now)
		c.pressure[serving] = m
	}
	return m
}

func (c *Core) evictOldestModel() {
	if len(c.pressure) < maxServingImages {
		return
	}
	oldest := ""
	for image, m := range c.pressure {
		if oldest == "" || m.UpdatedAt().Before(c.pressure[oldest].UpdatedAt()) {
			oldest = image
		}
	}
	delete(c.pressure, oldest)
}

// pressureOf returns the estimated headroom that fillers of one image would take
// from serving tasks of another by using all processors of a worker.
func (c *Core) pressureOf(filler, serving string) float64 {
	if m := c.pressure[serving]; m != nil {
		return m.Estimate(filler)
	}
	return interference.PressurePrior
}

// Pressures returns the learned pressures in descending order, for dumps and logs.
func (c *Core) Pressures() []graph.Pressure {
	out := make([]graph.Pressure, 0, 8*len(c.pressure))
	for serving, m := range c.pressure {
		for _, k := range m.Known() {
			out = append(out, graph.Pressure{Filler: k.Filler, Serving: serving, Headroom: float32(k.Pressure)})
		}
	}
	slices.SortFunc(out, func(a, b graph.Pressure) int { return cmp.Compare(b.Headroom, a.Headroom) })
	return out
}
