package consensus

import (
	"time"

	"github.com/cockroachdb/errors"
)

// ID names a replica. An id is never reused for another data folder.
type ID = string

// EntryKind says what a log entry holds.
type EntryKind uint8

// Entry kinds.
const (
	// EntryNormal holds a proposal for the state machine.
	EntryNormal EntryKind = iota
	// EntryEmpty is the first entry of a leader's term.
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

// HardState is the part of a replica's state that must be synced before any
// message that depends on it is sent.
type HardState struct {
	Term   uint64 `cbor:"1,keyasint"`
	Vote   ID     `cbor:"2,keyasint"`
	Commit uint64 `cbor:"3,keyasint"`
}

// Position is the position of an entry.
type Position struct {
	Index uint64 `cbor:"1,keyasint"`
	Term  uint64 `cbor:"2,keyasint"`
}

// SnapshotMeta describes a snapshot: the last entry it contains and the
// membership in force there.
type SnapshotMeta struct {
	Last       Position     `cbor:"1,keyasint"`
	Membership Membership `cbor:"2,keyasint"`
}

// PersistedState is what a replica has on disk when it starts.
type PersistedState struct {
	State    HardState
	Snapshot SnapshotMeta
	// Base precedes the first entry of Entries; it is at or below Snapshot.Last.
	Base    Position
	Entries []Entry
}

// Kind is the kind of a message.
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
	// sender's membership; empty for learners and before the first record.
	ToInstance string

	// Index and LogTerm: for votes the candidate's last entry; for appends the
	// entry before Entries; for an append reply the matched or refused entry;
	// for snapshots the last entry of the snapshot.
	Index, LogTerm uint64
	Entries        []Entry
	Commit         uint64
	// Reject refuses a vote, an append or a chunk.
	Reject bool
	// Hint is, in a refused append, the last index at which the logs may agree.
	Hint uint64
	// Sent is the leader's time of sending; a reply returns it unchanged.
	Sent int64
	// Transfer marks a vote for a leadership transfer, which voters grant even
	// though they hear from the leader.
	Transfer bool

	// Offset is the position of Data in a snapshot file; in a reply, the next
	// position wanted.
	Offset int64
	Data   []byte
	// Done marks the last chunk of a snapshot, or a snapshot that is installed.
	Done bool
}

// Role is the role of a replica.
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

// ReadState says that a read may be served once Index is applied.
type ReadState struct {
	ID    uint64
	Index uint64
	// OK is false if leadership ended before the read was confirmed.
	OK bool
}

// Chunk is a received part of a snapshot file, to be written at Offset. Offset
// 0 starts a new file.
type Chunk struct {
	From   ID
	Last   Position
	Offset int64
	Data   []byte
	Done   bool
}

// Effects are what the caller must carry out, in this order: send Early;
// persist State and Entries and sync them; call Persisted; write Chunks; send
// Messages; apply Committed; serve Reads. After the last chunk of a snapshot,
// the snapshot must be checked, synced and installed, and then
// SnapshotInstalled or SnapshotFailed called.
type Effects struct {
	// State is set if it must be written.
	State *HardState
	// Entries replace all entries at and after the first of them.
	Entries []Entry
	Early   []Message
	// Messages may be sent only after State and Entries are synced.
	Messages  []Message
	Committed []Entry
	Reads     []ReadState
	Chunks    []Chunk
}

// Empty reports whether there is nothing to do.
func (e *Effects) Empty() bool {
	return e.State == nil && len(e.Entries) == 0 && len(e.Early) == 0 &&
		len(e.Messages) == 0 && len(e.Committed) == 0 && len(e.Reads) == 0 && len(e.Chunks) == 0
}

// Config holds the settings of a Core. Durations of zero take no default.
type Config struct {
	ID ID
	// Instance identifies the data folder; it is random and made with the folder.
	Instance string
	// Seed seeds the election timeouts.
	Seed uint64

	Heartbeat          time.Duration
	ElectionTimeoutMin time.Duration
	ElectionTimeoutMax time.Duration
	// Lease must be shorter than ElectionTimeoutMin by more than the
	// difference in clock rates.
	Lease time.Duration

	// MaxBatchBytes bounds the entries in one message; at least one is sent.
	MaxBatchBytes int
	// MaxInflight is the number of unanswered append messages to one replica.
	MaxInflight int
}

// Errors of a Core.
var (
	// ErrNotLeader refuses an operation that only a leader may do.
	ErrNotLeader = errors.New("replica is not the leader")
	// ErrTransferring refuses proposals during a leadership transfer.
	ErrTransferring = errors.New("leadership is being transferred")
	// ErrChangePending refuses a membership change while another one is not committed.
	ErrChangePending = errors.New("another membership change is in progress")
	// ErrNotReady refuses a membership change before the leader has committed
	// an entry of its own term.
	ErrNotReady = errors.New("leader has not committed an entry of its term")
	// ErrNotCaughtUp refuses to promote a learner that lacks committed entries.
	ErrNotCaughtUp = errors.New("learner has not caught up")
	// ErrUnknownMember refuses a change of a replica that is not a member.
	ErrUnknownMember = errors.New("no such member")
	// ErrMemberExists refuses to add an id that is already a member.
	ErrMemberExists = errors.New("member exists")
	// ErrLastVoter refuses to remove the only voter.
	ErrLastVoter = errors.New("cannot remove the last voter")
	// ErrInstanceMismatch says that the cluster knows this id with another data folder.
	ErrInstanceMismatch = errors.New("this id belongs to another data folder, which was lost or replaced; " +
		"add this replica under a new id and remove the old one")
)
