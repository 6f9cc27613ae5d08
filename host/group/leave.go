package group

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"gooseberrypond/store/replica"
)

const (
	// leavingPeriod is how long an announcement to stop holds. A host that has not
	// come back by then is silent; one that has come back answers.
	leavingPeriod = voterTimeout
	// leaveTimeout bounds what a host that stops does for the group after it has
	// transferred its leadership.
	leaveTimeout = time.Second
	// leaveRetryInterval is the pause between two attempts to announce a stop.
	leaveRetryInterval = 50 * time.Millisecond
)

// Leave implements relay.Group: the host of the replica stops, perhaps for good. Leave
// returns once the replica is no longer a voter or the group has to keep it.
func (g *Group) Leave(ctx context.Context, id string) error {
	rep := g.rep.Load()
	if rep == nil || !rep.HoldsLease() {
		return replica.ErrNotLeader
	}
	g.leavingMu.Lock()
	g.leaving[id] = time.Now()
	g.leavingMu.Unlock()
	g.maintainMembership(ctx, rep)
	g.cfg.Logger.Info().Str("replica", id).Bool("member", isMember(rep, id)).Msg("host announced that it stops")
	return nil
}

// isLeaving reports whether the host of the replica has announced lately that it stops.
func (g *Group) isLeaving(id string, now time.Time) bool {
	g.leavingMu.Lock()
	defer g.leavingMu.Unlock()
	at, ok := g.leaving[id]
	if ok && now.Sub(at) > leavingPeriod {
		delete(g.leaving, id)
		return false
	}
	return ok
}

// announceStop tells the leader that this host stops, so that the group does not count on
// a voter that may never return. It runs while the replica still answers: the group never
// has a voter too few.
func (g *Group) announceStop() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	err := errors.New("no leader is known")
	for ctx.Err() == nil {
		if leader := g.client.Leader(); leader != "" {
			if err = g.client.LeaveGroup(ctx, leader, g.id); err == nil {
				return
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(leaveRetryInterval):
		}
	}
	g.cfg.Logger.Warn().Err(err).Str("replica", g.id).Str("step", "leave").Msg("the group was not told that this host stops; it will notice the silence")
}
