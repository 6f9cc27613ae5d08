package dispatch

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"gooseberrypond/core/graph"
)

const (
	// maxRecordBytes bounds the records of workers in one batch, and also those of runs.
	// Workers and whoever writes reports decide how many there are; a batch above the
	// log's limit would be refused at each try.
	maxRecordBytes = 1 << 20
	// recordOverhead is the size of a record besides its text, in bytes.
	recordOverhead = 64
	// maxCheckpointBytes is the largest checkpoint that is kept. It is stored with its task
	// and sent with each start.
	maxCheckpointBytes = 64 << 10
	// manyRecords ends an isolation: batches of this size are committed again.
	manyRecords = 1 << 12
)

// recordBudget is what a batch still has room for.
type recordBudget struct{ records, bytes int }

// takeWithin returns the first items that fit into the budget, at least one if it is not
// used up, and the others.
func takeWithin[T any](budget *recordBudget, items []T, size func(*T) int) (taken, rest []T) {
	n := 0
	for n < len(items) && budget.records > 0 && budget.bytes > 0 {
		budget.records--
		budget.bytes -= recordOverhead + size(&items[n])
		n++
	}
	return items[:n:n], items[n:]
}

// takeRecords moves records into the batch, as many as fit. Those of runs are taken in the
// order in which they are applied, since some rely on earlier ones.
func (c *Core) takeRecords(b *graph.Batch) {
	budget := recordBudget{records: cmp.Or(c.maxRecords, math.MaxInt), bytes: maxRecordBytes}
	b.Workers = c.takeChanges(&budget)
	budget.bytes = maxRecordBytes
	b.Ends, c.ends = takeWithin(&budget, c.ends, func(e *graph.End) int { return len(e.Checkpoint) })
	b.Crashes, c.crashes = takeWithin(&budget, c.crashes, func(*graph.Crash) int { return 0 })
	b.WeakCrashes, c.weakCrashes = takeWithin(&budget, c.weakCrashes, func(*graph.Crash) int { return 0 })
	b.Releases, c.releases = takeWithin(&budget, c.releases, func(r *graph.Release) int { return len(r.Checkpoint) })
	b.Waits, c.waits = takeWithin(&budget, c.waits, func(*graph.Wait) int { return 0 })
}

// takeChanges returns queued changes of workers in the order of their ids.
func (c *Core) takeChanges(budget *recordBudget) []graph.WorkerChange {
	queued := slices.SortedFunc(maps.Values(c.changes), func(a, b graph.WorkerChange) int {
		return cmp.Compare(a.Report.ID, b.Report.ID)
	})
	taken, _ := takeWithin(budget, queued, func(ch *graph.WorkerChange) int { return ch.Report.TextBytes() })
	for i := range taken {
		delete(c.changes, taken[i].Report.ID)
	}
	return taken
}

// HasRecords reports whether records wait for a batch.
func (c *Core) HasRecords() bool {
	return len(c.changes)+len(c.ends)+len(c.crashes)+len(c.weakCrashes)+len(c.releases)+len(c.waits) > 0
}

// ProposalFailed requeues the records of a batch that was not committed; the next
// plan contains them again.
func (c *Core) ProposalFailed(b *graph.Batch) {
	c.ends = append(b.Ends, c.ends...)
	c.releases = append(b.Releases, c.releases...)
	c.crashes = append(b.Crashes, c.crashes...)
	c.weakCrashes = append(b.WeakCrashes, c.weakCrashes...)
	c.waits = append(b.Waits, c.waits...)
	for _, ch := range b.Workers {
		c.queueChange(ch)
	}
	for _, id := range b.Begun {
		c.begun.ids[id] = struct{}{}
	}
}

// ProposalRejected requeues the records of a batch that can never be committed, whichever
// leader proposes it. Later batches have ever fewer records, until the one at fault is
// alone: it is dropped, since it would stop every later commit. ProposalRejected returns
// the number of dropped records.
func (c *Core) ProposalRejected(b *graph.Batch) (dropped int) {
	n := recordsIn(b)
	if n == 1 && c.maxRecords == 1 {
		return 1
	}
	c.ProposalFailed(b)
	if n > 0 {
		c.maxRecords = max(1, n/2)
	}
	return 0
}

// Isolating reports whether the core searches for a record with which no batch can be
// committed. The next batch then must not contain anything but records.
func (c *Core) Isolating() bool { return c.maxRecords > 0 && c.HasRecords() }

// recordsCommitted lets later batches have more records again.
func (c *Core) recordsCommitted(b *graph.Batch) {
	if c.maxRecords == 0 || recordsIn(b) == 0 {
		return
	}
	if c.maxRecords *= 2; c.maxRecords >= manyRecords {
		c.maxRecords = 0
	}
}

func recordsIn(b *graph.Batch) int {
	return len(b.Workers) + len(b.Ends) + len(b.Crashes) + len(b.WeakCrashes) + len(b.Releases) + len(b.Waits)
}

// keptCheckpoint returns the checkpoint; empty if it is too large to be kept.
func keptCheckpoint(checkpoint string) string {
	if len(checkpoint) > maxCheckpointBytes {
		return ""
	}
	return checkpoint
}
