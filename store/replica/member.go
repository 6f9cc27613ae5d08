package replica

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"gooseberrypond/store/consensus"
)

// AddLearner adds a replica that receives the log but does not vote. It returns
// once the change is applied. The id must never have been used before.
func (r *Replica) AddLearner(ctx context.Context, id, address string) error {
	return r.changeMembership(ctx, func(now time.Time) (consensus.Position, error) {
		return r.core.AddLearner(now, id, address)
	})
}

// Promote makes a learner a voter. While the learner lacks committed entries, it
// changes nothing and returns consensus.ErrNotCaughtUp.
func (r *Replica) Promote(ctx context.Context, id string) error {
	return r.changeMembership(ctx, func(now time.Time) (consensus.Position, error) {
		return r.core.Promote(now, id)
	})
}

// Remove removes a replica. A leader that removes itself steps down.
func (r *Replica) Remove(ctx context.Context, id string) error {
	return r.changeMembership(ctx, func(now time.Time) (consensus.Position, error) {
		return r.core.Remove(now, id)
	})
}

// InitialVoterLost tells this replica that an initial voter has lost its data folder, if
// that was not known to the group yet, and that its host joins under another id. The first
// election then does without its vote.
func (r *Replica) InitialVoterLost(id string) error {
	return r.in.add(func(b *inputBatch) {
		b.calls = append(b.calls, func(time.Time) error {
			r.core.InitialVoterLost(id)
			return nil
		})
	})
}

// changeMembership runs a membership change in the event loop and waits until it
// is applied.
func (r *Replica) changeMembership(ctx context.Context, f func(now time.Time) (consensus.Position, error)) error {
	if err := r.checkLeader(); err != nil {
		return err
	}
	p := &proposal{done: make(chan outcome, 1), release: func() {}}
	call := func(now time.Time) error {
		if !p.taken.CompareAndSwap(false, true) {
			return nil
		}
		at, err := f(now)
		if err != nil {
			p.finish(nil, r.withLeaderHint(err))
			return nil
		}
		p.term = at.Term
		r.pendingProposals.add(at.Index, p)
		return nil
	}
	return r.runInLoopAndWait(ctx, p, call)
}

func (r *Replica) runInLoopAndWait(ctx context.Context, p *proposal, call func(now time.Time) error) error {
	if err := r.in.add(func(b *inputBatch) { b.calls = append(b.calls, call) }); err != nil {
		return err
	}
	select {
	case o := <-p.done:
		return o.err
	case <-r.stopped:
		return errors.Wrap(ErrUnknownOutcome, "replica stopped")
	case <-ctx.Done():
	}
	if p.taken.CompareAndSwap(false, true) {
		return errors.Wrap(ctx.Err(), "not started")
	}
	return errors.Wrapf(ErrUnknownOutcome, "stopped waiting: %v", ctx.Err())
}

// TransferLeadership transfers leadership to the voter with the longest log and
// returns once this replica is no longer the leader. Proposals are refused
// during the transfer.
func (r *Replica) TransferLeadership(ctx context.Context) error {
	if err := r.checkLeader(); err != nil {
		return err
	}
	term := r.status.Load().Term
	p := &proposal{done: make(chan outcome, 1), release: func() {}}
	call := func(now time.Time) error {
		if p.taken.CompareAndSwap(false, true) {
			err := r.withLeaderHint(r.core.TransferLeadership(now, ""))
			r.publishStatus(now) // awaitEndOfTerm reads Transferring from the status
			p.finish(nil, err)
		}
		return nil
	}
	if err := r.runInLoopAndWait(ctx, p, call); err != nil {
		return err
	}
	return r.awaitEndOfTerm(ctx, term)
}

// ErrTransferFailed means that no other voter became the leader in time.
var ErrTransferFailed = errors.New("leadership was not taken over")

func (r *Replica) awaitEndOfTerm(ctx context.Context, term uint64) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		s := r.status.Load()
		if s.Role != consensus.Leader || s.Term != term {
			return nil
		}
		if !s.Transferring {
			return ErrTransferFailed
		}
		select {
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "transfer leadership")
		case <-r.stopped:
			return nil
		case <-ticker.C:
		}
	}
}
