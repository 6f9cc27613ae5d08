package replica

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"gooseberrypond/store/consensus"
)

// proposal is a proposal or membership change whose caller is waiting.
type proposal struct {
	data []byte
	term uint64
	// taken decides the race between the event loop, which sets it before it
	// appends the proposal, and a caller that stops waiting. A caller that sets it
	// first knows that the proposal is never appended.
	taken atomic.Bool
	done  chan outcome
	// release subtracts the proposal's size from the total of waiting proposals.
	release func()
}

type outcome struct {
	result any
	err    error
}

func (p *proposal) finish(result any, err error) {
	if p.release != nil {
		p.release()
	}
	p.done <- outcome{result, err}
}

// pendingProposals holds the appended proposals whose callers wait for the result,
// by log index. bytes also counts proposals that are not yet appended.
type pendingProposals struct {
	mu      sync.Mutex
	byIndex map[uint64]*proposal
	bytes   atomic.Int64
}

func newPendingProposals() *pendingProposals {
	return &pendingProposals{byIndex: map[uint64]*proposal{}}
}

func (pp *pendingProposals) add(index uint64, p *proposal) {
	pp.mu.Lock()
	defer pp.mu.Unlock()
	pp.byIndex[index] = p
}

func (pp *pendingProposals) remove(index uint64) *proposal {
	pp.mu.Lock()
	defer pp.mu.Unlock()
	p := pp.byIndex[index]
	delete(pp.byIndex, index)
	return p
}

// applied returns the result to the caller of the proposal at the entry's index.
func (pp *pendingProposals) applied(e consensus.Entry, result any) {
	p := pp.remove(e.Index)
	if p == nil {
		return
	}
	if p.term != e.Term {
		p.finish(nil, errors.Wrap(ErrUnknownOutcome, "another leader's entry took its place"))
		return
	}
	p.finish(result, nil)
}

// failAbove returns err to the callers of all proposals after the commit index.
func (pp *pendingProposals) failAbove(commit uint64, err error) {
	pp.mu.Lock()
	var ps []*proposal
	for i, p := range pp.byIndex {
		if i > commit {
			ps = append(ps, p)
			delete(pp.byIndex, i)
		}
	}
	pp.mu.Unlock()
	for _, p := range ps {
		p.finish(nil, err)
	}
}

// Propose appends data to the log and returns the state machine's result once
// the entry is committed, synced and applied on this replica. ErrNotLeader,
// ErrBusy, ErrTooLarge, ErrStopped and a context error mean that data was not
// appended. ErrUnknownOutcome means that it may or may not take effect.
func (r *Replica) Propose(ctx context.Context, data []byte) (any, error) {
	if len(data) > MaxProposalBytes {
		return nil, errors.Wrapf(ErrTooLarge, "%d bytes, limit %d", len(data), MaxProposalBytes)
	}
	if err := r.checkLeader(); err != nil {
		return nil, err
	}
	size := int64(len(data) + entryOverhead)
	if r.pendingProposals.bytes.Add(size) > r.cfg.MaxUncommittedBytes {
		r.pendingProposals.bytes.Add(-size)
		r.counters.refused.Add(1)
		return nil, ErrBusy
	}
	p := &proposal{
		data: data, done: make(chan outcome, 1),
		release: func() { r.pendingProposals.bytes.Add(-size) },
	}
	if err := r.in.add(func(b *inputBatch) { b.proposals = append(b.proposals, p) }); err != nil {
		p.release()
		return nil, err
	}
	return p.wait(ctx)
}

func (p *proposal) wait(ctx context.Context) (any, error) {
	select {
	case o := <-p.done:
		return o.result, o.err
	case <-ctx.Done():
	}
	if p.taken.CompareAndSwap(false, true) {
		p.release()
		return nil, errors.Wrap(ctx.Err(), "not proposed")
	}
	return nil, errors.Wrapf(ErrUnknownOutcome, "stopped waiting: %v", ctx.Err())
}

// checkLeader returns an error if this replica is stopped, suspended or not the leader,
// so that a request fails without passing through the event loop.
func (r *Replica) checkLeader() error {
	select {
	case <-r.stopping:
		return r.stopError()
	default:
	}
	if r.suspended.Load() || r.status.Load().Role != consensus.Leader {
		return r.notLeader()
	}
	return nil
}

func (r *Replica) notLeader() error {
	s := r.status.Load()
	e := &NotLeaderError{}
	if s.Leader != "" && s.Leader != r.cfg.ID {
		e.LeaderID = s.Leader
		x, _ := s.Membership.Get(s.Leader)
		e.LeaderAddress = x.Address
	}
	return e
}

// propose appends the proposals of one loop iteration, which share a sync. Those
// that exceed maxSyncBytes are put back for the next iteration.
func (r *Replica) propose(now time.Time, ps []*proposal) {
	ps, rest := splitBySize(ps)
	if len(rest) > 0 {
		r.in.putBack(rest)
	}
	live := ps[:0]
	var data [][]byte
	for _, p := range ps {
		if p.taken.CompareAndSwap(false, true) {
			live = append(live, p)
			data = append(data, p.data)
		}
	}
	if len(live) == 0 {
		return
	}
	first, err := r.core.Propose(now, data...)
	if err != nil {
		err = r.withLeaderHint(err)
		for _, p := range live {
			p.finish(nil, err)
		}
		return
	}
	r.counters.proposals.Add(uint64(len(live)))
	r.counters.batches.Add(1)
	for i, p := range live {
		p.term = first.Term
		r.pendingProposals.add(first.Index+uint64(i), p)
	}
}

// splitBySize splits proposals into those that fit into maxSyncBytes, at least one,
// and the rest.
func splitBySize(ps []*proposal) (batch, rest []*proposal) {
	size := 0
	for i, p := range ps {
		size += len(p.data) + entryOverhead
		if size > maxSyncBytes && i > 0 {
			return ps[:i:i], ps[i:]
		}
	}
	return ps, nil
}

// withLeaderHint replaces a consensus error caused by the replica's role with a
// NotLeaderError; it returns other errors unchanged.
func (r *Replica) withLeaderHint(err error) error {
	if errors.Is(err, consensus.ErrNotLeader) || errors.Is(err, consensus.ErrTransferring) {
		return r.notLeader()
	}
	return err
}

// readRequest is a read barrier whose caller is waiting.
type readRequest struct{ done chan error }

// ReadBarrier returns once this replica, which must be the leader, has applied
// every entry that was committed before the call. A read of the state machine
// after it returns is linearizable.
func (r *Replica) ReadBarrier(ctx context.Context) error {
	if err := r.checkLeader(); err != nil {
		return err
	}
	q := &readRequest{done: make(chan error, 1)}
	if err := r.in.add(func(b *inputBatch) { b.reads = append(b.reads, q) }); err != nil {
		return err
	}
	select {
	case err := <-q.done:
		return err
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "read barrier")
	}
}

// startReads starts the reads of one loop iteration, which share a round of
// heartbeats.
func (r *Replica) startReads(now time.Time, qs []*readRequest) {
	if len(qs) == 0 {
		return
	}
	ids := make([]uint64, len(qs))
	for i, q := range qs {
		r.lastReadID++
		ids[i] = r.lastReadID
		r.pendingReads[r.lastReadID] = q
	}
	if err := r.core.ReadIndex(now, ids...); err != nil {
		for i, q := range qs {
			delete(r.pendingReads, ids[i])
			q.done <- r.withLeaderHint(err)
		}
	}
}

func (r *Replica) finishReads(reads []consensus.ReadState) {
	for _, x := range reads {
		q := r.pendingReads[x.ID]
		if q == nil {
			continue // refused while the disk was full
		}
		delete(r.pendingReads, x.ID)
		switch {
		case !x.OK:
			q.done <- r.notLeader()
		case r.apply.applied.Load() >= x.Index:
			q.done <- nil
		default:
			r.apply.enqueue(applyItem{read: q})
		}
	}
}
