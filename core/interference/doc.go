// Package interference learns how much fillers disturb tasks with a tail latency target. It
// does no I/O and reads no clock.
//
// The headroom of a task is its tail latency target divided by its tail latency; it is 1 at
// the target. As a worker fills up, the tail latency grows without bound, but the headroom
// falls linearly, so the effect of a filler can be learned as a slope: the pressure of a
// filler image on a serving image is the headroom that its fillers would take by using all
// processors of a worker. The effects of several fillers add up.
package interference
