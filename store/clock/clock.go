// Package clock reads a clock that also counts the time during which the machine
// was suspended. time.Now does not on Linux: its monotonic clock stands still
// meanwhile, so what was granted for a time before a suspension looks valid after it.
package clock

import "time"

// started is the reading of both clocks when the process started.
var started = struct {
	steady time.Time
	boot   time.Duration
}{time.Now(), mustSinceBoot()}

// Now returns a reading of the clock. Only the difference between two readings of
// the same process means anything.
func Now() time.Time { return time.Unix(0, int64(mustSinceBoot())) }

// Suspended returns for how long the machine has been suspended since the process
// started.
func Suspended() time.Duration {
	steady := time.Since(started.steady)
	return max(0, mustSinceBoot()-started.boot-steady)
}

// mustSinceBoot panics if the clock cannot be read, which the kernel documents for
// clocks that it does not have only: the process then ends as it starts.
func mustSinceBoot() time.Duration {
	d, err := sinceBoot()
	if err != nil {
		panic(err)
	}
	return d
}
