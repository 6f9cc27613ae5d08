package dispatch

import (
	"cmp"
	"slices"

	"gooseberrypond/core/graph"
)

// Headroom is a tail target divided by the tail: 1 is at the target. It falls
// in a straight line as the worker fills up, while the tail itself rises
// without bound; so the effect of a filler can be learned as a slope.

const (
	// pressurePrior is the pressure of an image that has not been observed: the
	// headroom that it would take by using all processors of a worker.
	pressurePrior = 2.0
	// pressureMax bounds an estimate against a burst of noise.
	pressureMax = 12.0
	// pressureGain is the share of an error that one observation corrects.
	pressureGain = 0.2
	// pressureFloor keeps small changes of use, whose error is noise, from
	// moving an estimate: a square of a change of use, in shares of a worker.
	pressureFloor = 0.01
	// lightPressure is where fillers do not need to be slowed for others' sake.
	lightPressure = 0.7
	// headroomSeen caps the headroom that is observed: far from the target it
	// is dominated by the tasks' own load.
	headroomSeen = 4.0
)

// observation is what a worker's list said about interference.
type observation struct {
	// headroom is the mean over the serving tasks that both lists name.
	headroom map[*graph.Attempt]float64
	// use is the processor use of fillers by image, in shares of the worker.
	use map[string]float64
}

// observe takes a worker's list and learns from the difference to the one before.
func (c *Core) observe(ws *workerState) {
	o := observation{headroom: map[*graph.Attempt]float64{}, use: map[string]float64{}}
	whole := float64(max(ws.w.Capacity.CPUMilli, 1))
	for a, r := range ws.runs {
		switch {
		case !r.seen || r.measure <= 0:
		case a.Step.Filler:
			o.use[a.Step.Image] += r.measure / whole
		case a.Step.TailTargetMS > 0:
			o.headroom[a] = min(headroomSeen, float64(a.Step.TailTargetMS)/r.measure)
		}
	}
	c.learn(&ws.last, &o)
	ws.last = o
}

// learn moves the images' pressures towards what explains the change of headroom.
func (c *Core) learn(before, after *observation) {
	var change, n float64
	for a, h := range after.headroom {
		if old, ok := before.headroom[a]; ok {
			change += h - old
			n++
		}
	}
	if n == 0 {
		return
	}
	change /= n
	diff := map[string]float64{}
	for image, use := range after.use {
		diff[image] = use - before.use[image]
	}
	for image, use := range before.use {
		if _, ok := after.use[image]; !ok {
			diff[image] = -use
		}
	}
	predicted, norm := 0.0, pressureFloor
	for image, d := range diff {
		predicted -= c.pressureOf(image) * d
		norm += d * d
	}
	for image, d := range diff {
		k := c.pressureOf(image) - pressureGain*(change-predicted)*d/norm
		c.pressure[image] = min(pressureMax, max(0, k))
	}
}

// pressureOf returns the headroom that fillers of the image take by using all
// processors of a worker.
func (c *Core) pressureOf(image string) float64 {
	if k, ok := c.pressure[image]; ok {
		return k
	}
	return pressurePrior
}

// Pressures returns the learned pressures, the highest first, for dumps and logs.
func (c *Core) Pressures() []ImagePressure {
	out := make([]ImagePressure, 0, len(c.pressure))
	for image, k := range c.pressure {
		out = append(out, ImagePressure{image, k})
	}
	slices.SortFunc(out, func(a, b ImagePressure) int { return cmp.Compare(b.Pressure, a.Pressure) })
	return out
}

// ImagePressure is the learned pressure of one image.
type ImagePressure struct {
	Image    string
	Pressure float64
}
