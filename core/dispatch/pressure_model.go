package dispatch

import (
	"math"
	"slices"
	"time"
)

const (
	// pressurePrior is the pressure of a pair that has not been observed: the
	// headroom that the filler would take by using all processors of a worker.
	pressurePrior = 2.0
	// pressurePriorWeight is how much the prior counts against observations, as
	// the square of a change of use: about nine starts on a tenth of a worker.
	pressurePriorWeight = 0.09
	// inheritedWeight is how much the estimate of a former leader counts.
	inheritedWeight = 4 * pressurePriorWeight
	// pressureMax bounds an estimate against a burst of noise.
	pressureMax = 12.0
	// pressureWindow is how long observations count.
	pressureWindow = time.Minute
	// maxFillerImages bounds the images of fillers that one model tells apart,
	// and maxServingImages the models; those seen least lately give way.
	maxFillerImages  = 48
	maxServingImages = 256
)

// pressureModel holds the pressures on the serving tasks of one image: the
// least squares that explain the changes of headroom by the changes of use.
// They tell apart fillers that change at once, and weigh all observations
// alike, where a step along the error of each follows its noise.
type pressureModel struct {
	fillers []string
	// products holds the sums of products of changes of use, targets those of
	// changes of use and of headroom, in the order of fillers.
	products [][]float64
	targets  []float64
	pressure []float64
	// priors are what the pressures are taken for before any observation.
	priors []prior
	at     time.Time
}

// prior is an estimate and how much it counts against observations.
type prior struct{ pressure, weight float64 }

var unknownPressure = prior{pressurePrior, pressurePriorWeight}

// inherit takes the estimate of a former leader.
func (m *pressureModel) inherit(filler string, pressure float64) {
	i := m.index(filler)
	m.priors[i] = prior{pressure, inheritedWeight}
	m.pressure[i] = pressure
}

// of returns the pressure of a filler image.
func (m *pressureModel) of(filler string) float64 {
	if i := slices.Index(m.fillers, filler); i >= 0 {
		return m.pressure[i]
	}
	return pressurePrior
}

// fade lets older observations count less.
func (m *pressureModel) fade(now time.Time) {
	keep := math.Exp(-now.Sub(m.at).Seconds() / pressureWindow.Seconds())
	m.at = now
	for i := range m.products {
		m.targets[i] *= keep
		for j := range m.products[i] {
			m.products[i][j] *= keep
		}
	}
}

// index returns the place of an image, which it adds if need be.
func (m *pressureModel) index(filler string) int {
	if i := slices.Index(m.fillers, filler); i >= 0 {
		return i
	}
	if len(m.fillers) >= maxFillerImages {
		return m.replaceLeastSeen(filler)
	}
	for i := range m.products {
		m.products[i] = append(m.products[i], 0)
	}
	m.fillers = append(m.fillers, filler)
	m.products = append(m.products, make([]float64, len(m.fillers)))
	m.targets = append(m.targets, 0)
	m.pressure = append(m.pressure, pressurePrior)
	m.priors = append(m.priors, unknownPressure)
	return len(m.fillers) - 1
}

// replaceLeastSeen gives the place of the image that is observed least to another.
func (m *pressureModel) replaceLeastSeen(filler string) int {
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
	m.priors[least] = unknownPressure
	return least
}

// add takes a change of headroom and the changes of use that go with it.
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

// solve moves the pressures towards the least squares by one sweep of the
// Gauss-Seidel method, which keeps each of them within its bounds.
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
