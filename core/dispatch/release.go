package dispatch

import "gooseberrypond/core/graph"

// Reasons for which a run is certainly not running.
const (
	releaseNeverSent      = "its start was never sent"
	releaseFenced         = "the worker answers this leader without it, and rejects the starts of earlier ones"
	releaseStopped        = "the worker has answered a stop and no longer lists it"
	releaseNotOnSuccessor = "a later incarnation has answered without it"
	releaseLeaseOver      = "the worker's lease is over"
	releaseAnyLeaseOver   = "the lease that any incarnation of the worker can have given it is over"
	releaseStopOver       = "the worker that leaves has answered a stop, and the time that a stop may take is over"
	releaseSuperseded     = "only an incarnation that a later one has replaced can have had it"
)

// releasedRun identifies a run by its task and number.
type releasedRun struct {
	task graph.TaskRef
	run  int
}

// TakeReleaseReason returns why this leader released a run, once; empty if it did not.
func (c *Core) TakeReleaseReason(x *graph.Release) string {
	key := releasedRun{x.Task, x.Run}
	reason := c.releaseReasons[key]
	delete(c.releaseReasons, key)
	return reason
}
