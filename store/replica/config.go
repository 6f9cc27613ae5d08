package replica

import (
	"crypto/tls"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"gooseberrypond/core/structs"
	"gooseberrypond/store/consensus"
	"gooseberrypond/store/disk"
	"gooseberrypond/store/transport"
)

// StateMachine is what the log drives. Its methods are called from one
// goroutine at a time.
type StateMachine interface {
	// Apply applies a committed proposal. It must be deterministic.
	Apply(index uint64, data []byte) (result any)
	// Snapshot encodes the state.
	Snapshot() ([]byte, error)
	// Restore replaces the state by an encoded one.
	Restore(data []byte) error
}

// Forker is implemented by a StateMachine that can be encoded while it changes.
type Forker interface {
	// Fork returns quickly with a function that encodes the state as it is
	// now. The function is called once, from another goroutine.
	Fork() func() ([]byte, error)
}

// Member names an initial member and the address of its replica transport.
type Member struct {
	ID      string
	Address string
}

// Config holds the settings of a replica. ID, ClusterID, Dir and StateMachine
// are required.
type Config struct {
	ID        string
	ClusterID string
	// Dir is the data folder, used by this replica alone.
	Dir string
	// Members lists the initial members, this one included; it must be equal on
	// all of them. It is used only if the data folder is empty. An empty list
	// means that this replica joins: it waits to be added as a learner.
	Members      []Member
	StateMachine StateMachine

	// Listen and Advertise are the addresses of the default transport. Empty
	// means this replica's address in Members.
	Listen, Advertise string
	// TLS is optional and used by the default transport.
	TLS *tls.Config
	// Transport replaces the default one, net/rpc over TCP. The replica closes it.
	Transport transport.Transport

	// Logger takes log lines; the zero value discards them.
	Logger zerolog.Logger
	// FS replaces the operating system's files.
	FS disk.FS
	// Now replaces time.Now. It must never go back.
	Now func() time.Time

	// SnapshotEntries and SnapshotBytes are how many applied entries, or bytes
	// of them, bring about the next snapshot; by SnapshotEntries there is at
	// most one in SnapshotInterval.
	SnapshotEntries  int
	SnapshotBytes    int64
	SnapshotInterval time.Duration
	// MaxUncommittedBytes bounds the proposals that are queued or not yet
	// committed; more are refused with ErrBusy.
	MaxUncommittedBytes int64
}

// Defaults and limits.
const (
	// DefaultSnapshotEntries keeps the log that is read at a restart short.
	DefaultSnapshotEntries = 8192
	// DefaultSnapshotInterval keeps the cost of encoding a full-size state,
	// under a second, below a tenth of a core.
	DefaultSnapshotInterval = 10 * time.Second
	// DefaultSnapshotBytes bounds the memory of the entries kept, together
	// with the previous snapshot's, to about twice its value.
	DefaultSnapshotBytes = 16 << 20
	// DefaultMaxUncommittedBytes bounds memory while no quorum answers.
	DefaultMaxUncommittedBytes = 64 << 20
	// MaxProposalBytes is the largest proposal.
	MaxProposalBytes = 8 << 20

	// tickInterval is a fifth of the heartbeat interval, so that heartbeats are
	// at most a fifth late.
	tickInterval = structs.HeartbeatInterval / 5
	// maxBatchBytes bounds one append message so that a heartbeat behind it is
	// not delayed by more than a few milliseconds.
	maxBatchBytes = 1 << 20
	maxInflight   = 64
	// chunkBytes is the size of a snapshot chunk.
	chunkBytes = 256 << 10
	// maxInbox is the number of received messages that wait for the loop.
	maxInbox = 8192
)

func (c *Config) setDefaults() error {
	if c.ID == "" || c.ClusterID == "" || c.Dir == "" || c.StateMachine == nil {
		return errors.New("replica: ID, ClusterID, Dir and StateMachine are required")
	}
	if c.FS == nil {
		c.FS = disk.OS{}
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.SnapshotEntries <= 0 {
		c.SnapshotEntries = DefaultSnapshotEntries
	}
	if c.SnapshotBytes <= 0 {
		c.SnapshotBytes = DefaultSnapshotBytes
	}
	if c.SnapshotInterval <= 0 {
		c.SnapshotInterval = DefaultSnapshotInterval
	}
	if c.MaxUncommittedBytes <= 0 {
		c.MaxUncommittedBytes = DefaultMaxUncommittedBytes
	}
	return c.checkMembers()
}

func (c *Config) checkMembers() error {
	found := len(c.Members) == 0
	for _, m := range c.Members {
		if m.ID == c.ID {
			found = true
			if c.Advertise == "" {
				c.Advertise = m.Address
			}
		}
	}
	if !found {
		return errors.Newf("replica: %q is not in the list of initial members", c.ID)
	}
	if c.Listen == "" {
		c.Listen = c.Advertise
	}
	if c.Listen == "" && c.Transport == nil {
		return errors.New("replica: Listen is required for a replica that joins")
	}
	return nil
}

func (c *Config) openTransport() (transport.Transport, error) {
	if c.Transport != nil {
		return c.Transport, nil
	}
	return transport.NewRPC(transport.RPCConfig{
		ClusterID: c.ClusterID, Listen: c.Listen, Advertise: c.Advertise, TLS: c.TLS, Logger: c.Logger,
	})
}

func (c *Config) core(instance string, seed uint64) consensus.Config {
	return consensus.Config{
		ID: c.ID, Instance: instance, Seed: seed,
		Heartbeat:          structs.HeartbeatInterval,
		ElectionTimeoutMin: structs.ElectionTimeoutMin,
		ElectionTimeoutMax: structs.ElectionTimeoutMax,
		Lease:              structs.LeaderLease,
		MaxBatchBytes:      maxBatchBytes,
		MaxInflight:        maxInflight,
	}
}
