package consensus

import (
	"time"

	"github.com/cockroachdb/errors"
)

// ID identifies a replica. An ID must not be reused with another data folder.
type ID = string

// EntryKind is the kind of content of a log entry.
type EntryKind uint8

// Entry kinds.
const (
	// EntryNormal holds a proposal for the state machine.
	EntryNormal EntryKind = iota
	// EntryEmpty has no content. A new leader appends it as the first entry of
	// its term, unless it appends an EntryConfig instead.
	EntryEmpty
	// EntryConfig holds an encoded Membership.
	EntryConfig
)

// Entry is one entry of the replicated log.
type Entry struct {
	Index uint64    `cbor:"1,keyasint"`
	Term  uint64    `cbor:"2,keyasint"`
	Kind  EntryKind `cbor:"3,keyasint"`
	Data  []byte    `cbor:"4,keyasint"`
}

// HardState is the part of a replica's state that must be synced to disk before
// any message that depends on it is sent.
type HardState struct {
	Term   uint64 `cbor:"1,keyasint"`
	Vote   ID     `cbor:"2,keyasint"`
	Commit uint64 `cbor:"3,keyasint"`
}

// Position identifies a log entry by its index and term.
type Position struct {
	Index uint64 `cbor:"1,keyasint"`
	Term  uint64 `cbor:"2,keyasint"`
}

// SnapshotMeta describes a snapshot: the last entry it contains and the
// membership in force there.
type SnapshotMeta struct {
	Last       Position   `cbor:"1,keyasint"`
	Membership Membership `cbor:"2,keyasint"`
}

// PersistedState is the state that a replica reads from disk when it starts.
type PersistedState struct {
	State    HardState
	Snapshot SnapshotMeta
	// Base is the position right before the first of Entries. It is at or below
	// Snapshot.Last.
	Base    Position
	Entries []Entry
}

type Kind uint8

// Message kinds.
const (
	MsgPreVote Kind = iota + 1
	MsgPreVoteReply
	MsgVote
	MsgVoteReply
	// MsgAppend replicates entries; without entries it is a heartbeat.
	MsgAppend
	MsgAppendReply
	// MsgSnapshot carries one chunk of a snapshot file.
	MsgSnapshot
	MsgSnapshotReply
	// MsgTimeoutNow asks the receiver to start an election for a leadership transfer.
	MsgTimeoutNow
)

// Message is sent between replicas. Which fields are set depends on Kind.
type Message struct {
	Kind     Kind
	From, To ID
	Term     uint64
	// FromInstance identifies the sender's data folder.
	FromInstance string
	// ToInstance identifies the receiver's data folder as recorded in the
	// sender's membership. It is empty for learners and until an instance is
	// recorded.
	ToInstance string

	// Index and LogTerm are, in a vote request, the position of the candidate's
	// last entry; in an append, the position before Entries; in a snapshot
	// message, the last entry of the snapshot. In an append reply, Index is the
	// matched or rejected entry.
	Index, LogTerm uint64
	Entries        []Entry
	Commit         uint64
	// Reject is set in a reply that rejects a vote, an append or a chunk.
	Reject bool
	// Hint is, in the rejection of an append, the last index at which the logs
	// may agree.
	Hint uint64
	// Sent is the leader's timestamp of the request; a reply echoes it.
	Sent int64
	// Transfer marks a vote request of a leadership transfer, which voters may
	// grant even if they heard from the leader recently.
	Transfer bool

	// Offset is the offset of Data in the snapshot file; in a reply, the next
	// offset that the receiver expects.
	Offset int64
	Data   []byte
	// Done marks the last chunk of a snapshot; in a reply, it says that the
	// snapshot is installed or not needed.
	Done bool
}

// Role is the role of a replica in its current term.
type Role uint8

// Roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the name of the role.
func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// ReadState is the result of ReadIndex: the read may be served once Index is applied.
type ReadState struct {
	ID    uint64
	Index uint64
	// OK is false if this replica lost leadership before a quorum confirmed the read.
	OK bool
}

// Chunk is a received part of a snapshot file, to be written at Offset. A chunk
// with offset 0 starts a new file.
type Chunk struct {
	From   ID
	Last   Position
	Offset int64
	Data   []byte
	Done   bool
}

// Effects holds the actions that the caller must carry out, in this order: send
// Early; write and sync State and Entries; call Persisted; write Chunks; send
// Messages; apply Committed; serve Reads. After the last chunk of a snapshot,
// the caller must verify, sync and install the snapshot and then call
// SnapshotInstalled or SnapshotFailed.
type Effects struct {
	// State is nil if the hard state need not be written.
	State *HardState
	// Entries replace all log entries from the index of the first one on.
	Entries []Entry
	// Early are messages that may be sent before State and Entries are synced.
	Early []Message
	// Messages may be sent only after State and Entries are synced.
	Messages  []Message
	Committed []Entry
	Reads     []ReadState
	Chunks    []Chunk
}

// Empty reports whether there are no effects to carry out.
func (e *Effects) Empty() bool {
	return e.State == nil && len(e.Entries) == 0 && len(e.Early) == 0 &&
		len(e.Messages) == 0 && len(e.Committed) == 0 && len(e.Reads) == 0 && len(e.Chunks) == 0
}

// Config holds the settings of a Core. A duration of zero is used as is; there
// are no defaults.
type Config struct {
	ID ID
	// Instance identifies the data folder. It is a random value generated when
	// the folder is created.
	Instance string
	// Seed seeds the random election timeouts.
	Seed uint64

	Heartbeat          time.Duration
	ElectionTimeoutMin time.Duration
	ElectionTimeoutMax time.Duration
	// Lease is the duration of the leader lease. It must be shorter than
	// ElectionTimeoutMin by more than the clocks of two replicas can drift apart
	// in that time.
	Lease time.Duration

	// MaxBatchBytes limits the total size of the entries in one message. A
	// single larger entry is still sent.
	MaxBatchBytes int
	// MaxInflight is the maximum number of unacknowledged appends to one replica.
	MaxInflight int
}

var (
	// ErrNotLeader is returned for an operation that only a leader can perform.
	ErrNotLeader = errors.New("replica is not the leader")
	// ErrTransferring is returned for proposals and changes during a leadership
	// transfer.
	ErrTransferring = errors.New("leadership is being transferred")
	// ErrChangePending is returned for a membership change while the previous
	// one is not committed.
	ErrChangePending = errors.New("another membership change is in progress")
	// ErrNotReady is returned for a membership change before the leader has
	// committed an entry of its own term.
	ErrNotReady = errors.New("leader has not committed an entry of its term")
	// ErrNotCaughtUp is returned for the promotion of a learner that lacks
	// committed entries or has not replied recently.
	ErrNotCaughtUp = errors.New("learner has not caught up")
	// ErrUnknownMember is returned if the replica is not a member, or cannot be
	// the target of a leadership transfer.
	ErrUnknownMember = errors.New("no such member")
	// ErrMemberExists is returned if the added id is already a member, or the
	// promoted one already a voter.
	ErrMemberExists = errors.New("member exists")
	// ErrLastVoter is returned for the removal of the only voter.
	ErrLastVoter = errors.New("cannot remove the last voter")
	// ErrInstanceMismatch is returned if the cluster has recorded another data
	// folder for this replica's id. The replica must not continue: votes and
	// entries that it acknowledged with the old folder may be lost.
	ErrInstanceMismatch = errors.New("this id belongs to another data folder, which was lost or replaced; " +
		"add this replica under a new id and remove the old one")
)
