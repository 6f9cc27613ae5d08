package dispatch

import "time"

// An order without an answer may be carried out seconds later, and nothing on the wire binds it to
// the incarnation that it was meant for: the next one under the same ID carries it out if it has
// seen no higher token by then. So while a start may be under way to a worker, a call to the worker
// is always open, whose end tells of a crash at once. From then on calls carry a token above those
// of the starts, and are repeated soon until the worker answers. What remains open is the time from
// the first instant of an incarnation to the arrival of the next such call.

const (
	// lateRetryMin is the delay after a failed call to a worker to which a start may be under way.
	lateRetryMin = 50 * time.Millisecond
	// lateRetryPart bounds these calls by time: the delay is this part of the time for which the
	// worker has been silent.
	lateRetryPart = 20
	// lateRetryEach bounds them by number: the delay is this much for each worker to which a
	// start may be under way and that is silent.
	lateRetryEach = 2500 * time.Microsecond
	// maxRaisedTokens is the largest count of incarnations up to which tokens are raised for
	// workers whose incarnation is not known to have changed. It leaves room for those that have.
	maxRaisedTokens = 1 << (tokenIncarnationBits - 1)
)

// noteLateStart records that a start to the worker ID that was sent at the given time may still
// be under way.
func (c *Core) noteLateStart(id string, sent time.Time) {
	c.lateStartAt[id] = later(c.lateStartAt[id], sent)
}

// mayStartLate reports whether a start may be under way to the worker without an answer. If its
// incarnation was replaced, it would reach the next one.
func (c *Core) mayStartLate(now time.Time, ws *workerState) bool {
	sent, known := c.lateStartAt[ws.w.ID]
	return (ws.startsInFlight > 0 || known && now.Before(sent.Add(lateOrderMax))) && c.tables.WorkerByID(ws.w.ID) == ws.w
}

// countLateSilent counts the silent workers to which a start may be under way.
func (c *Core) countLateSilent(now time.Time) {
	c.lateSilent = 0
	for _, ws := range c.byHandle {
		if ws.suspect && c.mayStartLate(now, ws) {
			c.lateSilent++
		}
	}
}

// raiseToken gives later calls to the worker a token above that of all starts that were sent to it,
// unless none may be under way or the token is that high already. The record of an incarnation that
// was replaced keeps its token, which must stay below that of the next one.
func (c *Core) raiseToken(now time.Time, ws *workerState) {
	if ws.tokenRaised || !c.mayStartLate(now, ws) || c.incarnations[ws.w.ID] >= maxRaisedTokens {
		return
	}
	ws.token, ws.tokenRaised = c.tokenFor(ws.w.ID), true
}

// holdRetryDelay returns the delay after a failed call to a worker.
func (c *Core) holdRetryDelay(now time.Time, ws *workerState) time.Duration {
	delay := min(holdRetryMin<<min(ws.failedCalls-1, 8), holdRetryMax)
	if !c.mayStartLate(now, ws) {
		return delay
	}
	silent := now.Sub(c.silentSince(now, ws.w))
	return min(delay, max(lateRetryMin, silent/lateRetryPart, time.Duration(c.lateSilent)*lateRetryEach))
}
