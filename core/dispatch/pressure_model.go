package dispatch

import (
	"math"
	"slices"
	"time"
)

const (
	// pressurePrior is the pressure assumed for a pair of images without
	// observations: the headroom that the filler would take by using all
	// processors of a worker.
	pressurePrior = 2.0
	// pressurePriorWeight is the weight of the prior relative to observations, in
	// units of the square of a change in use. It equals about nine starts of a
	// filler that uses a tenth of a worker.
	pressurePriorWeight = 0.09
	// inheritedWeight is the weight of an estimate saved by an earlier leader.
	inheritedWeight = 4 * pressurePriorWeight
	// pressureMax limits the effect of a burst of noise on an estimate.
	pressureMax = 12.0
	// pressureWindow is the time constant with which observations decay.
	pressureWindow = time.Minute
	// maxFillerImages limits the filler images in one model; the image with the
	// least recent observations is replaced. maxServingImages limits the models;
	// the least recently updated one is evicted.
	maxFillerImages  = 48
	maxServingImages = 256
)

// pressureModel estimates the pressures of filler images on the serving tasks of
// one image. It is a least-squares fit of the changes in headroom to the changes in
// use. Unlike a gradient step for each observation, which follows the noise of that
// observation, the fit separates fillers that change at the same time and weighs
// all observations equally, apart from their decay.
type pressureModel struct {
	fillers []string
	// products and targets are the normal equations, in the order of fillers:
	// products holds the sums of products of two changes in use, targets the sums
	// of products of a change in use and the loss of headroom.
	products [][]float64
	targets  []float64
	pressure []float64
	// priors are the estimates before any observation.
	priors []prior
	at     time.Time
}

// prior is an initial estimate and its weight relative to observations.
type prior struct{ pressure, weight float64 }

var defaultPrior = prior{pressurePrior, pressurePriorWeight}

// setPrior sets the prior of a filler image to an earlier leader's estimate.
func (m *pressureModel) setPrior(filler string, pressure float64) {
	i := m.index(filler)
	m.priors[i] = prior{pressure, inheritedWeight}
	m.pressure[i] = pressure
}

// estimate returns the estimated pressure of a filler image.
func (m *pressureModel) estimate(filler string) float64 {
	if i := slices.Index(m.fillers, filler); i >= 0 {
		return m.pressure[i]
	}
	return pressurePrior
}

// decay reduces the weight of earlier observations.
func (m *pressureModel) decay(now time.Time) {
	keep := math.Exp(-now.Sub(m.at).Seconds() / pressureWindow.Seconds())
	m.at = now
	for i := range m.products {
		m.targets[i] *= keep
		for j := range m.products[i] {
			m.products[i][j] *= keep
		}
	}
}

// index returns the index of a filler image and adds the image if it is missing.
func (m *pressureModel) index(filler string) int {
	if i := slices.Index(m.fillers, filler); i >= 0 {
		return i
	}
	if len(m.fillers) >= maxFillerImages {
		return m.replaceLeastObserved(filler)
	}
	for i := range m.products {
		m.products[i] = append(m.products[i], 0)
	}
	m.fillers = append(m.fillers, filler)
	m.products = append(m.products, make([]float64, len(m.fillers)))
	m.targets = append(m.targets, 0)
	m.pressure = append(m.pressure, pressurePrior)
	m.priors = append(m.priors, defaultPrior)
	return len(m.fillers) - 1
}

// replaceLeastObserved replaces the image with the lowest weight of observations and
// returns its index.
func (m *pressureModel) replaceLeastObserved(filler string) int {
	least := 0
	for i := range m.products {
		if m.products[i][i] < m.products[least][least] {
			least = i
		}
	}
	for i := range m.products {
		m.products[i][least], m.products[least][i] = 0, 0
	}
	m.fillers[least], m.targets[least], m.pressure[least] = filler, 0, pressurePrior
	m.priors[least] = defaultPrior
	return least
}

// add adds an observation: a change in headroom and the simultaneous changes in
// use by filler image.
func (m *pressureModel) add(change float64, diff map[string]float64) {
	for image := range diff {
		m.index(image)
	}
	for a, da := range diff {
		i := m.index(a)
		m.targets[i] -= change * da
		for b, db := range diff {
			m.products[i][m.index(b)] += da * db
		}
	}
	m.solve()
}

// solve moves the pressures towards the least-squares solution by one Gauss-Seidel
// sweep that clamps each pressure to its bounds.
func (m *pressureModel) solve() {
	for i, row := range m.products {
		rest := m.targets[i] + m.priors[i].weight*m.priors[i].pressure
		for j, p := range row {
			if j != i {
				rest -= p * m.pressure[j]
			}
		}
		m.pressure[i] = min(pressureMax, max(0, rest/(row[i]+m.priors[i].weight)))
	}
}
