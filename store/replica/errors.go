package replica

import (
	"fmt"

	"github.com/cockroachdb/errors"

	"gooseberrypond/store/consensus"
)

// Errors returned by a Replica. Test for them with errors.Is.
var (
	// ErrNotLeader is returned by a replica that is not the leader; the request
	// had no effect. errors.As with *NotLeaderError gives the leader.
	ErrNotLeader = consensus.ErrNotLeader
	// ErrUnknownOutcome means that the proposal was appended to the log, but this
	// replica lost leadership or stopped, or the caller stopped waiting, before
	// the proposal was applied. It may or may not take effect.
	ErrUnknownOutcome = errors.New("outcome of the proposal is unknown")
	// ErrStopped means that the replica was closed or stopped by an error; the
	// request had no effect.
	ErrStopped = errors.New("replica is stopped")
	// ErrBusy refuses a proposal that would exceed Config.MaxUncommittedBytes; it
	// was not appended.
	ErrBusy = errors.New("too many proposals are waiting")
	// ErrTooLarge refuses a proposal larger than MaxProposalBytes.
	ErrTooLarge = errors.New("proposal is too large")
)

// NotLeaderError is an ErrNotLeader with the id and address of the leader. Both
// are empty if no leader is known.
type NotLeaderError struct {
	LeaderID      string
	LeaderAddress string
}

// Error implements error.
func (e *NotLeaderError) Error() string {
	if e.LeaderID == "" {
		return "replica is not the leader; no leader is known"
	}
	return fmt.Sprintf("replica is not the leader; the leader is %s at %s", e.LeaderID, e.LeaderAddress)
}

// Is reports whether target is ErrNotLeader, for errors.Is.
func (e *NotLeaderError) Is(target error) bool { return target == ErrNotLeader }
