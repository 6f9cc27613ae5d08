package replica

import (
	"fmt"

	"github.com/cockroachdb/errors"

	"gooseberrypond/store/consensus"
)

// Errors returned by a Replica. Test for them with errors.Is.
var (
	// ErrNotLeader says that this replica does not lead; nothing was done.
	// errors.As with *NotLeaderError gives the leader.
	ErrNotLeader = consensus.ErrNotLeader
	// ErrUnknownOutcome says that the outcome is unknown: the proposal was in the log when
	// leadership or the replica ended, or when the caller stopped waiting. It
	// may or may not take effect.
	ErrUnknownOutcome = errors.New("outcome of the proposal is unknown")
	// ErrStopped says that the replica is closed or failed; nothing was done.
	ErrStopped = errors.New("replica is stopped")
	// ErrBusy says that too many proposals are waiting; nothing was done.
	ErrBusy = errors.New("too many proposals are waiting")
	// ErrTooLarge refuses a proposal above MaxProposalBytes.
	ErrTooLarge = errors.New("proposal is too large")
)

// NotLeaderError is an ErrNotLeader that names the leader, if it is known.
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

// Is makes errors.Is(err, ErrNotLeader) true.
func (e *NotLeaderError) Is(target error) bool { return target == ErrNotLeader }
