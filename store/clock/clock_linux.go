package clock

import (
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// sinceBoot returns the time since the machine was started, suspensions included.
func sinceBoot() (time.Duration, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0, errors.Wrap(err, "read CLOCK_BOOTTIME")
	}
	return time.Duration(t.Nano()), nil
}
