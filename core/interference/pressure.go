package interference

import (
	"math"
	"slices"
	"time"
)

const (
	// PressurePrior is the pressure assumed for a pair of images without observations.
	PressurePrior = 2.0
	// priorWeight is the weight of the prior relative to observations, in units of the square
	// of a change in use. It is below that of one start of a filler that uses a tenth of a
	// worker: pressures differ far more from pair to pair than the noise of an observation.
	priorWeight = 0.004
	// InheritedWeight is the weight of an estimate saved by an earlier leader.
	InheritedWeight = 20 * priorWeight
	// pressureMax limits the effect of a burst of noise on an estimate.
	pressureMax = 20.0
	// outlier is the square of a residual at which an observation counts half. Its worker may
	// have turned slow, which says nothing about the fillers there.
	outlier = 0.54
	// pressureWindow is the time constant with which observations decay.
	pressureWindow = time.Minute
	// maxFillers limits the filler images that are kept; the one with the least weight of
	// observations is replaced.
	maxFillers = 48
)

// Pressures estimates the pressures of filler images on the serving tasks of one image. It is
// a least-squares fit of the changes in headroom to the changes in use. Unlike a gradient step
// for each observation, which follows the noise of that observation, the fit separates fillers
// that change at the same time and weighs all observations equally, apart from their decay and
// from outliers.
type Pressures struct {
	fillers []string
	// products and targets are the normal equations, in the order of fillers: products holds
	// the sums of products of two changes in use, targets the sums of products of a change in
	// use and the loss of headroom.
	products [][]float64
	targets  []float64
	estimate []float64
	// priors are the estimates before any observation.
	priors []prior
	at     time.Time
}

// prior is an initial estimate and its weight relative to observations.
type prior struct{ pressure, weight float64 }

var defaultPrior = prior{PressurePrior, priorWeight}

// NewPressures returns a model without observations.
func NewPressures(now time.Time) *Pressures { return &Pressures{at: now} }

// UpdatedAt returns the time of the last Decay.
func (p *Pressures) UpdatedAt() time.Time { return p.at }

// Inherit sets the estimate for a filler image to that of an earlier leader. One that is not a
// possible pressure is ignored.
func (p *Pressures) Inherit(filler string, pressure float64) {
	if !(pressure >= 0 && pressure <= pressureMax) {
		return // an earlier version could learn from a measurement that is no number
	}
	i := p.index(filler)
	p.priors[i] = prior{pressure, InheritedWeight}
	p.estimate[i] = pressure
}

// Estimate returns the estimated pressure of a filler image.
func (p *Pressures) Estimate(filler string) float64 {
	if i := slices.Index(p.fillers, filler); i >= 0 {
		return p.estimate[i]
	}
	return PressurePrior
}

// Known is an estimate and the weight of the observations that it rests on, here or under an
// earlier leader.
type Known struct {
	Filler           string
	Pressure, Weight float64
}

// Known returns the estimates for all filler images that are kept.
func (p *Pressures) Known() []Known {
	out := make([]Known, len(p.fillers))
	for i, filler := range p.fillers {
		out[i] = Known{filler, p.estimate[i], p.products[i][i]}
		if p.priors[i].weight == InheritedWeight {
			out[i].Weight += InheritedWeight
		}
	}
	return out
}

// Decay reduces the weight of earlier observations.
func (p *Pressures) Decay(now time.Time) {
	keep := math.Exp(-now.Sub(p.at).Seconds() / pressureWindow.Seconds())
	p.at = now
	for i := range p.products {
		p.targets[i] *= keep
		for j := range p.products[i] {
			p.products[i][j] *= keep
		}
	}
}

// Observe adds an observation: a change in headroom and the simultaneous changes in use by
// filler image, as fractions of a worker's processors.
func (p *Pressures) Observe(change float64, use map[string]float64) {
	for filler := range use {
		p.index(filler)
	}
	weight := p.weightOf(change, use)
	for a, da := range use {
		i := p.index(a)
		p.targets[i] -= weight * change * da
		for b, db := range use {
			p.products[i][p.index(b)] += weight * da * db
		}
	}
	p.solve()
}

// weightOf returns the weight of an observation, less the farther it is from what is expected
// and the better the pressures of its fillers are known.
func (p *Pressures) weightOf(change float64, use map[string]float64) float64 {
	residual, unknown := change, 0.0
	for filler, d := range use {
		i := p.index(filler)
		residual += p.estimate[i] * d
		unknown += d * d / (p.products[i][i] + p.priors[i].weight)
	}
	return 1 / (1 + residual*residual/(outlier*(1+unknown)))
}

// solve moves the estimates towards the least-squares solution by one Gauss-Seidel sweep that
// clamps each to its bounds.
func (p *Pressures) solve() {
	for i, row := range p.products {
		rest := p.targets[i] + p.priors[i].weight*p.priors[i].pressure
		for j, product := range row {
			if j != i {
				rest -= product * p.estimate[j]
			}
		}
		p.estimate[i] = min(pressureMax, max(0, rest/(row[i]+p.priors[i].weight)))
	}
}

// index returns the index of a filler image and adds the image if it is missing.
func (p *Pressures) index(filler string) int {
	if i := slices.Index(p.fillers, filler); i >= 0 {
		return i
	}
	if len(p.fillers) >= maxFillers {
		return p.replaceLeastObserved(filler)
	}
	for i := range p.products {
		p.products[i] = append(p.products[i], 0)
	}
	p.fillers = append(p.fillers, filler)
	p.products = append(p.products, make([]float64, len(p.fillers)))
	p.targets = append(p.targets, 0)
	p.estimate = append(p.estimate, PressurePrior)
	p.priors = append(p.priors, defaultPrior)
	return len(p.fillers) - 1
}

// replaceLeastObserved replaces the image with the lowest weight of observations and returns
// its index.
func (p *Pressures) replaceLeastObserved(filler string) int {
	least := 0
	for i := range p.products {
		if p.products[i][i] < p.products[least][least] {
			least = i
		}
	}
	for i := range p.products {
		p.products[i][least], p.products[least][i] = 0, 0
	}
	p.fillers[least], p.targets[least], p.estimate[least] = filler, 0, PressurePrior
	p.priors[least] = defaultPrior
	return least
}
