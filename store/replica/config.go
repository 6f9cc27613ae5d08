package replica

import (
	"crypto/tls"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"gooseberrypond/core/structs"
	"gooseberrypond/store/clock"
	"gooseberrypond/store/consensus"
	"gooseberrypond/store/disk"
	"gooseberrypond/store/transport"
)

// StateMachine is the state to which committed entries are applied. Its methods
// are never called concurrently.
type StateMachine interface {
	// Apply applies a committed proposal. It must be deterministic.
	Apply(index uint64, data []byte) (result any)
	// Snapshot returns the encoded state.
	Snapshot() ([]byte, error)
	// Restore replaces the state with one encoded by Snapshot or Fork.
	Restore(data []byte) error
}

// Forker is implemented by a StateMachine that can encode a consistent copy of
// its state while entries continue to be applied.
type Forker interface {
	// Fork must return quickly, since no entry is applied meanwhile. The returned
	// function encodes the state as of the call to Fork. It is called once, from
	// another goroutine.
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
	// Dir is the data folder. No other replica may use it.
	Dir string
	// Members lists the initial members, including this replica. All initial
	// members must have the same list. It is used only if the data folder is
	// empty. With an empty list the replica joins an existing group: it waits
	// until it is added as a learner.
	Members      []Member
	StateMachine StateMachine

	// Listen and Advertise are the addresses of the default transport. Advertise
	// defaults to this replica's address in Members, Listen to Advertise.
	Listen, Advertise string
	// TLS configures the default transport; nil disables TLS.
	TLS *tls.Config
	// Port bounds the connections of others to the default transport; nil means no bounds.
	Port transport.Port
	// Transport replaces the default one, net/rpc over TCP. The replica closes it.
	Transport transport.Transport

	// Logger receives log messages; the zero value discards them.
	Logger zerolog.Logger
	// FS replaces the operating system's file system, for tests.
	FS disk.FS
	// Now replaces clock.Now. It must be monotonic, and count the time during which
	// the machine is suspended: the leader lease relies on it.
	Now func() time.Time

	// A snapshot is taken after SnapshotEntries entries or SnapshotBytes bytes of
	// entries were applied since the previous one. SnapshotEntries triggers at
	// most one snapshot per SnapshotInterval, SnapshotBytes at any time.
	SnapshotEntries  int
	SnapshotBytes    int64
	SnapshotInterval time.Duration
	// MaxUncommittedBytes limits the total size of the proposals that are queued
	// or not yet applied; further ones are refused with ErrBusy.
	MaxUncommittedBytes int64
}

// Defaults and limits.
const (
	// DefaultSnapshotEntries limits the number of log entries read at a restart.
	DefaultSnapshotEntries = 8192
	// DefaultSnapshotInterval limits the CPU time spent on snapshots to less than
	// a tenth of a core: encoding a full-size state takes less than a second.
	DefaultSnapshotInterval = 10 * time.Second
	// DefaultSnapshotBytes limits the memory of the log entries to about twice
	// its value, because the entries since the previous snapshot are kept too.
	DefaultSnapshotBytes = 16 << 20
	// DefaultMaxUncommittedBytes limits memory use while there is no quorum.
	DefaultMaxUncommittedBytes = 64 << 20
	// MaxProposalBytes is the maximum size of one proposal.
	MaxProposalBytes = 8 << 20

	// tickInterval is a fifth of the heartbeat interval, so that a heartbeat is
	// late by at most a fifth of the interval.
	tickInterval = structs.HeartbeatInterval / 5
	// maxBatchBytes limits the size of an append message. A replica that catches up
	// over a slow link, or from a busy leader, still gets heartbeats between them.
	maxBatchBytes = 128 << 10
	// maxInflight limits the number of unacknowledged append messages to one
	// replica, and with maxBatchBytes their total size to 2 MiB.
	maxInflight = 16
	// maxSyncBytes limits the proposals written with one sync, so that the sync
	// ends before the next heartbeat is due.
	maxSyncBytes = 4 << 20
	// chunkBytes is the size of the chunks in which a snapshot is sent.
	chunkBytes = 256 << 10
	// maxInbox is the maximum number of received messages queued for the loop.
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
		c.Now = clock.Now
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
		ClusterID: c.ClusterID, Listen: c.Listen, Advertise: c.Advertise, TLS: c.TLS, Port: c.Port, Logger: c.Logger,
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
