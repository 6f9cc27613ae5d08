package dispatcher

import (
	"math"

	"gooseberrypond/core/graph"
)

const (
	// maxCallBytes bounds the changes of callers in one batch, except for a configuration.
	// A batch above the log's limit would be refused with all that is in it.
	maxCallBytes = 1 << 20
	// maxConfigBytes is the size of the largest configuration in the log: what is left of
	// the log's limit beside the other changes of a batch.
	maxConfigBytes = 4 << 20
	// manyCalls ends the search for a call with which no batch can be committed.
	manyCalls = 1 << 12
)

// queuedCall is the change that one caller waits for; one of its parts is set.
type queuedCall struct {
	submit *graph.Spec
	cancel graph.JobID
	// withdrawal is a cancel of a job that is not known.
	withdrawal *graph.Withdrawal
	domain     *graph.DomainChange
	waiter     *waiter
}

// bytes returns about how much the change takes in the log.
func (c *queuedCall) bytes() int {
	const overhead = 64
	switch {
	case c.submit != nil:
		return overhead + c.submit.Bytes()
	case c.domain != nil:
		return overhead + len(c.domain.Name)
	case c.withdrawal != nil:
		return overhead + len(c.withdrawal.Queue) + len(c.withdrawal.Organisation)
	}
	return overhead
}

func (c *queuedCall) addTo(b *graph.Batch) {
	switch {
	case c.submit != nil:
		b.Submits = append(b.Submits, *c.submit)
	case c.domain != nil:
		b.Domains = append(b.Domains, *c.domain)
	case c.withdrawal != nil:
		b.Withdrawals = append(b.Withdrawals, *c.withdrawal)
	default:
		b.Cancels = append(b.Cancels, c.cancel)
	}
}

// queuedChanges are the changes to propose for callers, and the callers that wait for the
// commit.
type queuedChanges struct {
	calls  []queuedCall
	config *graph.Config
	// waiters wait for the configuration or for records of the core.
	waiters []*waiter
	// leaves wait until a worker is recorded as left, by its ID.
	leaves map[string][]*waiter
	// leaving is the worker for which the waiter that is added next waits; empty if for none.
	leaving string
	// maxCalls is the largest number of calls in the next batch; 0 means that their size
	// alone limits them.
	maxCalls int
	// size is about what the calls take in the log, in bytes.
	size int64
	// unattended is set while the last call has no waiter yet.
	unattended bool
}

// add queues a call. The waiter that is added next waits for it.
func (q *queuedChanges) add(c queuedCall) {
	q.calls, q.unattended = append(q.calls, c), true
	q.size += int64(c.bytes())
}

// awaitLeave makes the waiter that is added next wait until the worker is recorded as left.
func (q *queuedChanges) awaitLeave(id string) { q.leaving = id }

func (q *queuedChanges) addWaiter(w *waiter) {
	switch {
	case q.unattended:
		q.calls[len(q.calls)-1].waiter, q.unattended = w, false
	case q.leaving != "":
		if q.leaves == nil {
			q.leaves = map[string][]*waiter{}
		}
		q.leaves[q.leaving], q.leaving = append(q.leaves[q.leaving], w), ""
	default:
		q.waiters = append(q.waiters, w)
	}
}

// takeLeaves returns who waits for the workers that the batch records as left, or that are
// recorded so by now.
func (q *queuedChanges) takeLeaves(b *graph.Batch, t *graph.Tables) []*waiter {
	if len(q.leaves) == 0 {
		return nil
	}
	var waiters []*waiter
	take := func(id string) {
		waiters = append(waiters, q.leaves[id]...)
		delete(q.leaves, id)
	}
	for i := range b.Workers {
		if b.Workers[i].Left {
			take(b.Workers[i].Report.ID)
		}
	}
	for id := range q.leaves {
		if w := t.WorkerByID(id); w == nil || w.Left {
			take(id)
		}
	}
	return waiters
}

// withdrawals returns the number of queued withdrawals.
func (q *queuedChanges) withdrawals() (n int) {
	for i := range q.calls {
		if q.calls[i].withdrawal != nil {
			n++
		}
	}
	return n
}

func (q *queuedChanges) allWaiters() []*waiter {
	out := q.waiters
	for _, waiters := range q.leaves {
		out = append(out, waiters...)
	}
	for i := range q.calls {
		out = append(out, q.calls[i].waiter)
	}
	return out
}

// take moves changes into the batch, in the order in which they came and as many as fit,
// and returns who waits for the batch. Whoever waits for a record waits on while the core
// keeps some for a later batch.
func (q *queuedChanges) take(b *graph.Batch, recordsLeft bool) []*waiter {
	var waiters []*waiter
	if !recordsLeft {
		waiters, q.waiters = q.waiters, nil
	}
	b.Config, q.config = q.config, nil
	most, bytes := q.maxCalls, 0
	if most == 0 {
		most = math.MaxInt
	}
	n := 0
	for n < len(q.calls) && n < most && bytes < maxCallBytes {
		bytes += q.calls[n].bytes()
		q.calls[n].addTo(b)
		waiters = append(waiters, q.calls[n].waiter)
		n++
	}
	q.calls = append([]queuedCall(nil), q.calls[n:]...)
	q.size -= int64(bytes)
	return waiters
}

// rejected limits the next batches after one that can never be committed, so that they
// end in one call alone. It returns the number of calls that the batch had, which are
// refused.
func (q *queuedChanges) rejected(b *graph.Batch) int {
	n := callsIn(b)
	if n > 0 {
		q.maxCalls = max(1, n/2)
	}
	return n
}

// committed lets later batches have more calls again.
func (q *queuedChanges) committed(b *graph.Batch) {
	if callsIn(b) == 0 {
		return
	}
	if q.maxCalls *= 2; q.maxCalls >= manyCalls {
		q.maxCalls = 0
	}
}

func callsIn(b *graph.Batch) int {
	return len(b.Submits) + len(b.Cancels) + len(b.Withdrawals) + len(b.Domains)
}
