package replica

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"gooseberrypond/store/disk"
)

const (
	// fullDiskRetryInterval is the pause between two attempts to write to a full
	// disk. It bounds the time until the replica takes part again.
	fullDiskRetryInterval = 100 * time.Millisecond
	// snapshotRetryInterval is the pause after a snapshot that did not fit on the
	// disk. Each attempt encodes the whole state.
	snapshotRetryInterval = 5 * time.Second
)

// OpenWhenWritable is Open, but waits while the disk is full. It fails when ctx ends.
func OpenWhenWritable(ctx context.Context, cfg Config) (*Replica, error) {
	for logged := false; ; logged = true {
		r, err := Open(cfg)
		if !disk.IsFull(err) {
			return r, err
		}
		if !logged {
			cfg.Logger.Error().Err(err).Str("replica", cfg.ID).Str("step", "open").Msg("disk is full: the replica is opened once it has space")
		}
		select {
		case <-ctx.Done():
			return nil, err
		case <-time.After(fullDiskRetryInterval):
		}
	}
}

// retryWhileFull repeats a write until it does not fail for lack of disk space, or
// the replica stops. The replica is suspended meanwhile: to the group it looks like
// one that does not answer, so a leader loses its lease and another one is elected.
func (r *Replica) retryWhileFull(step string, write func() error) error {
	err := write()
	if !disk.IsFull(err) {
		return err
	}
	start := r.cfg.Now()
	r.suspended.Store(true)
	r.counters.suspensions.Add(1)
	r.cfg.Logger.Error().Err(err).Str("replica", r.cfg.ID).Str("step", step).
		Msg("disk is full: the replica is suspended until it can write")
	defer r.suspended.Store(false)
	r.failWaiting()
	for ; disk.IsFull(err); err = write() {
		r.refuseInputs()
		select {
		case <-r.stopping:
			return err
		case <-time.After(fullDiskRetryInterval):
		}
	}
	if err == nil {
		r.cfg.Logger.Info().Str("replica", r.cfg.ID).Str("step", step).Dur("after", r.cfg.Now().Sub(start)).
			Msg("disk has space again: the replica continues")
	}
	return err
}

// failWaiting answers the callers of proposals in progress, which may still be
// committed by another leader, and of reads.
func (r *Replica) failWaiting() {
	r.pendingProposals.failAbove(r.status.Load().Commit, errors.Wrap(ErrUnknownOutcome, "disk is full"))
	for id, q := range r.pendingReads {
		delete(r.pendingReads, id)
		q.done <- r.notLeader()
	}
}

// refuseInputs refuses the queued proposals and reads, so that their callers turn to
// another replica, and drops received messages, which are sent again.
func (r *Replica) refuseInputs() {
	in := r.in.dequeue()
	for _, p := range in.proposals {
		if p.taken.CompareAndSwap(false, true) {
			p.finish(nil, r.notLeader())
		}
	}
	for _, q := range in.reads {
		q.done <- r.notLeader()
	}
	if len(in.calls) > 0 {
		r.in.putBackCalls(in.calls)
	}
}
