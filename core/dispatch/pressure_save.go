package dispatch

import (
	"cmp"
	"slices"
	"time"

	"gooseberrypond/core/graph"
)

const (
	// pressureSaveInterval limits how much learned data is lost on an election.
	pressureSaveInterval = 5 * time.Second
	// maxSavedPressures limits the log entry with the estimates to about 10 KB.
	maxSavedPressures = 256
	// minSavedWeight is the minimum weight of observations for an estimate to be saved: that
	// of two starts of a filler that uses a tenth of a worker.
	minSavedWeight = 0.02
)

// inheritPressures loads the estimates saved by earlier leaders.
func (c *Core) inheritPressures(now time.Time) {
	for _, p := range c.tables.Pressures() {
		c.model(now, p.Serving).Inherit(p.Filler, float64(p.Headroom))
	}
}

// pressuresToSave returns the estimates with the highest weight of observations if
// pressureSaveInterval has passed, and nil otherwise.
func (c *Core) pressuresToSave(now time.Time) []graph.Pressure {
	if now.Sub(c.pressuresSavedAt) < pressureSaveInterval {
		return nil
	}
	c.pressuresSavedAt = now
	type weightedPressure struct {
		p      graph.Pressure
		weight float64
	}
	var all []weightedPressure
	for serving, m := range c.pressure {
		for _, k := range m.Known() {
			if k.Weight >= minSavedWeight {
				all = append(all, weightedPressure{graph.Pressure{Filler: k.Filler, Serving: serving, Headroom: float32(k.Pressure)}, k.Weight})
			}
		}
	}
	slices.SortFunc(all, func(a, b weightedPressure) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.p.Serving, b.p.Serving), cmp.Compare(a.p.Filler, b.p.Filler))
	})
	out := make([]graph.Pressure, min(len(all), maxSavedPressures))
	for i := range out {
		out[i] = all[i].p
	}
	return out
}
