package structs

import (
	"fmt"
	"math"
)

// Resources is an amount of host capacity.
type Resources struct {
	// CPUMilli is processor time in thousandths of a core.
	CPUMilli int64 `json:"cpu_milli"`
	// MemoryMB is memory in MiB.
	MemoryMB int64 `json:"memory_mb"`
	// Accelerators is a number of whole accelerators.
	Accelerators int64 `json:"accelerators"`
}

// Add returns the sum of r and o.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.CPUMilli + o.CPUMilli, r.MemoryMB + o.MemoryMB, r.Accelerators + o.Accelerators}
}

// Sub returns r minus o.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.CPUMilli - o.CPUMilli, r.MemoryMB - o.MemoryMB, r.Accelerators - o.Accelerators}
}

// Scale returns r multiplied by n.
func (r Resources) Scale(n int64) Resources {
	return Resources{r.CPUMilli * n, r.MemoryMB * n, r.Accelerators * n}
}

// Fits reports whether r is at most free in every dimension.
func (r Resources) Fits(free Resources) bool {
	return r.CPUMilli <= free.CPUMilli && r.MemoryMB <= free.MemoryMB && r.Accelerators <= free.Accelerators
}

// IsZero reports whether every dimension is zero.
func (r Resources) IsZero() bool {
	return r == Resources{}
}

// Max returns the larger of r and o in each dimension.
func (r Resources) Max(o Resources) Resources {
	return Resources{max(r.CPUMilli, o.CPUMilli), max(r.MemoryMB, o.MemoryMB), max(r.Accelerators, o.Accelerators)}
}

// ReservationFloor returns the smallest reservation allowed for a task of the
// declared size. Memory and accelerators are always reserved in full: a task
// that exceeds its memory would be stopped and lose work, and accelerators are
// indivisible. CPU of batch tasks can be shared for short periods; a
// latency-critical task needs all of its CPU at the next load peak.
func ReservationFloor(class Class, declared Resources) Resources {
	if class == ClassLatency {
		return declared
	}
	declared.CPUMilli = 0
	return declared
}

// HasNegative reports whether any dimension is below zero.
func (r Resources) HasNegative() bool {
	return r.CPUMilli < 0 || r.MemoryMB < 0 || r.Accelerators < 0
}

// String formats r with units.
func (r Resources) String() string {
	return fmt.Sprintf("cpu=%dm memory=%dMiB accelerators=%d", r.CPUMilli, r.MemoryMB, r.Accelerators)
}

// Left returns what may be added to use until it reaches the limit r. A dimension
// of 0 in r has no limit. A dimension in which use is above the limit is negative.
func (r Resources) Left(use Resources) Resources {
	left := func(limit, use int64) int64 {
		if limit == 0 {
			return math.MaxInt64
		}
		return limit - use
	}
	return Resources{left(r.CPUMilli, use.CPUMilli), left(r.MemoryMB, use.MemoryMB), left(r.Accelerators, use.Accelerators)}
}

// Within reports whether r is at most limit; a dimension of 0 in limit has no limit.
func (r Resources) Within(limit Resources) bool { return !limit.Left(r).HasNegative() }

// DominantShare returns the largest fraction of total that r has in any dimension.
func (r Resources) DominantShare(total Resources) float64 {
	return max(fraction(r.CPUMilli, total.CPUMilli), fraction(r.MemoryMB, total.MemoryMB), fraction(r.Accelerators, total.Accelerators))
}

func fraction(use, total int64) float64 {
	if total <= 0 {
		return 0
	}
	return float64(use) / float64(total)
}
