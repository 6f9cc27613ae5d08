// Package group bootstraps the group of control hosts and maintains its
// membership. A host is configured only with the addresses of a few control
// hosts. At the very first start of the system these hosts, the founders, form
// the group; every other replica joins it. A replica's id is stored in its data
// folder: a replica that has lost the folder joins under a new id, and its old
// id is removed from the group.
package group

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"gooseberrypond/host/dispatcher"
	"gooseberrypond/host/relay"
	"gooseberrypond/store/clock"
	"gooseberrypond/store/consensus"
	"gooseberrypond/store/disk"
	"gooseberrypond/store/replica"
	"gooseberrypond/store/transport"
)

const (
	// clusterID identifies this kind of group in data folders and messages.
	clusterID = "gooseberrypond-graph"
	// membershipCheckInterval is how often the membership is checked.
	membershipCheckInterval = 150 * time.Millisecond
	// voterTimeout is how long a voter must have been silent before it may be
	// replaced. It is well above the duration of an election and of a pause of
	// a frozen process, and leaves time to complete the replacement within the
	// platform's catch-up limit of 4 s.
	voterTimeout = 2500 * time.Millisecond
	// minLosses is the number of hosts that a group survives if the settings name fewer,
	// or none: the loss of one host is what a group is for.
	minLosses = 1
	// leaderSilenceLimit is how long a replica goes without a leader before it
	// asks whether it is still a member.
	leaderSilenceLimit = time.Second
	// changeTimeout bounds one membership change.
	changeTimeout = time.Second
	// suspensionLogged is the length of a suspension that is logged. The two clocks
	// are read one after the other, so small differences say nothing.
	suspensionLogged = 50 * time.Millisecond
	// transferTimeout bounds the leadership transfer at a graceful stop.
	transferTimeout = 800 * time.Millisecond
)

// Config holds the settings of a control host's membership in the group.
type Config struct {
	// Dir is the data folder.
	Dir string
	// IP is the host's own address.
	IP string
	// RelayPort and ReplicaPort are the same on all control hosts.
	RelayPort, ReplicaPort int
	// Founders are the IP addresses of the hosts that form the group when the
	// whole system starts for the first time; empty at every other start.
	Founders []string
	// Losses is the number of control hosts that may be lost at once, with their data.
	Losses int
	// ReplicaLimits bounds the connections to the replica.
	ReplicaLimits transport.Port
	Logger        zerolog.Logger
}

// Group manages one control host's replica and, while that leads, the membership
// of the group.
type Group struct {
	cfg    Config
	d      *dispatcher.Dispatcher
	client *relay.Client

	rep atomic.Pointer[replica.Replica]
	id  string
	// leaderSeenAt is when this replica last had a leader or led itself; at
	// first, when it was opened.
	leaderSeenAt time.Time
	// changing is held while a membership change is chosen and made. It guards led.
	changing sync.Mutex
	joined   joinTimes
	// led is the last term that this replica led.
	led ledTerm
	// silences are the silences of the members as of the last observation as a leader.
	silences atomic.Pointer[map[string]time.Duration]
	// leaving has when hosts announced that they stop.
	leavingMu sync.Mutex
	leaving   map[string]time.Time
	// strength is what this replica knew of the group when it last led.
	strength atomic.Pointer[strength]
	// suspended is the total time of suspensions that were logged.
	suspended time.Duration
}

// New returns a Group; Run starts it.
func New(cfg Config, d *dispatcher.Dispatcher, client *relay.Client) *Group {
	cfg.Losses = max(cfg.Losses, minLosses)
	return &Group{cfg: cfg, d: d, client: client, leaving: map[string]time.Time{}}
}

// Run opens the replica and keeps it a member of the group until ctx ends. Then
// it transfers leadership, if it leads, tells the leader that it stops, and closes the
// replica. An error means
// that the replica failed.
func (g *Group) Run(ctx context.Context) error {
	for {
		if err := g.open(ctx); err != nil {
			if ctx.Err() != nil {
				return nil // stopped while the disk was full
			}
			return err
		}
		rejoin, err := g.serve(ctx)
		if err != nil || !rejoin {
			return err
		}
		if err := g.resetReplica(); err != nil {
			return err
		}
	}
}

// open opens the replica under the id stored in its data folder. Without one, a
// founder uses its founder id and any other host a new id.
func (g *Group) open(ctx context.Context) error {
	id, found, err := replica.StoredID(g.cfg.Dir)
	if err != nil {
		return err
	}
	cfg := replica.Config{
		ClusterID: clusterID, Dir: g.cfg.Dir, StateMachine: g.d, Logger: g.cfg.Logger,
		Listen: g.replicaAddress(g.cfg.IP), Advertise: g.replicaAddress(g.cfg.IP), Port: g.cfg.ReplicaLimits,
	}
	switch {
	case found:
		cfg.ID = id
	case slices.Contains(g.cfg.Founders, g.cfg.IP):
		cfg.ID = founderID(g.cfg.IP)
		for _, ip := range g.cfg.Founders {
			cfg.Members = append(cfg.Members, replica.Member{ID: founderID(ip), Address: g.replicaAddress(ip)})
		}
	default:
		cfg.ID = newID(g.cfg.IP)
	}
	rep, err := replica.OpenWhenWritable(ctx, cfg)
	if err != nil {
		return err
	}
	g.id, g.leaderSeenAt = cfg.ID, time.Now()
	g.rep.Store(rep)
	g.cfg.Logger.Info().Str("replica", g.id).Bool("stored", found).Int("founders", len(cfg.Members)).Msg("replica opened")
	return nil
}

func founderID(ip string) string { return "founder-" + ip }

// newID returns an id that was never used before, for a replica that joins the
// group. The id of a removed replica must not come back.
func newID(ip string) string {
	b := make([]byte, 6)
	rand.Read(b) // documented never to return an error
	return "joined-" + ip + "-" + hex.EncodeToString(b)
}

func (g *Group) replicaAddress(ip string) string {
	return net.JoinHostPort(ip, strconv.Itoa(g.cfg.ReplicaPort))
}

// relayAddress returns the relay address of the host with the given replica
// address, or an empty string if that is malformed.
func (g *Group) relayAddress(replicaAddress string) string {
	ip, _, err := net.SplitHostPort(replicaAddress)
	if err != nil {
		return ""
	}
	return net.JoinHostPort(ip, strconv.Itoa(g.cfg.RelayPort))
}

// serve runs the replica. It returns true if the group has removed the replica,
// which must then rejoin with an empty data folder.
func (g *Group) serve(ctx context.Context) (rejoin bool, err error) {
	rep := g.rep.Load()
	runCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		g.d.Run(runCtx, rep)
	}()
	ticker := time.NewTicker(membershipCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			g.transferLeadership(rep)
			g.announceStop()
			cancel()
			<-done
			return false, rep.Close()
		case <-rep.Done():
			return false, errors.Wrap(rep.Err(), "replica stopped")
		case <-ticker.C:
		}
		g.logSuspension()
		if rep.HoldsLease() {
			g.leaderSeenAt = time.Now()
			g.maintainMembership(ctx, rep)
		} else if g.joinOrCheckRemoved(ctx, rep) {
			cancel()
			<-done
			return true, rep.Close()
		}
	}
}

// logSuspension logs that the machine was suspended since the last call. Other hosts
// may have elected a leader meanwhile.
func (g *Group) logSuspension() {
	total := clock.Suspended()
	if d := total - g.suspended; d > suspensionLogged {
		g.suspended = total
		g.cfg.Logger.Warn().Dur("for", d).Str("replica", g.id).Msg("this host was suspended")
	}
}

// transferLeadership transfers leadership before a stop, if this replica leads. The
// step "hand over" in its log line is the leadership transfer.
func (g *Group) transferLeadership(rep *replica.Replica) {
	if !rep.HoldsLease() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), transferTimeout)
	defer cancel()
	if err := rep.TransferLeadership(ctx); err != nil {
		g.cfg.Logger.Warn().Err(err).Str("step", "hand over").Msg("leadership transfer failed: stopping without it")
	}
}

// resetReplica empties the data folder of a replica that is no longer a member.
// The group holds everything this replica has, as the leader confirmed under its
// lease. resetReplica also clears the founders: the group exists, so a host that
// founded it must now join like any other.
func (g *Group) resetReplica() error {
	g.cfg.Founders = nil
	g.cfg.Logger.Warn().Str("replica", g.id).Msg("replica was removed from the group: emptying its data folder and rejoining under a new id")
	if err := replica.Discard(disk.OS{}, g.cfg.Dir); err != nil {
		return err
	}
	return g.d.Restore(nil)
}

// Info implements relay.Group.
func (g *Group) Info() relay.Info {
	rep := g.rep.Load()
	if rep == nil {
		return relay.Info{}
	}
	s := rep.Status()
	info := relay.Info{Leading: rep.HoldsLease(), Term: s.Term, Commit: s.Commit, Members: s.Committed}
	if silences := g.silences.Load(); info.Leading && silences != nil {
		info.Silence = *silences
	}
	for _, m := range s.Members {
		info.Hosts = append(info.Hosts, g.relayAddress(m.Address))
		if !slices.Contains(info.Members, m.ID) {
			info.Members = append(info.Members, m.ID)
		}
	}
	if s.LeaderAddress != "" {
		info.Leader = g.relayAddress(s.LeaderAddress)
	}
	return info
}

// Suspended reports whether this host's replica takes no part in the group: it is
// not open yet, or its disk is full.
func (g *Group) Suspended() bool {
	rep := g.rep.Load()
	return rep == nil || rep.Status().DiskFull
}

// IsVoter reports whether this replica is a voter according to its own, possibly
// outdated, view of the group.
func (g *Group) IsVoter() bool {
	rep := g.rep.Load()
	if rep == nil {
		return false
	}
	s := rep.Status()
	return slices.ContainsFunc(s.Members, func(m replica.MemberStatus) bool { return m.ID == s.ID && m.Voter })
}

// Join implements relay.Group: it adds a replica as a learner. A host that does not lead
// learns from it which founder has lost its data folder.
func (g *Group) Join(ctx context.Context, id, address string) error {
	rep := g.rep.Load()
	if rep == nil {
		return replica.ErrNotLeader
	}
	if !rep.HoldsLease() {
		return errors.CombineErrors(replica.ErrNotLeader, g.founderLost(rep, id, address))
	}
	if isMember(rep, id) {
		return nil
	}
	g.joined.add(id, time.Now())
	if err := rep.AddLearner(ctx, id, address); err != nil {
		return errors.Wrapf(err, "add replica %s", id)
	}
	g.cfg.Logger.Info().Str("replica", id).Str("address", address).Msg("replica added as a learner")
	return nil
}

func isMember(rep *replica.Replica, id string) bool {
	return slices.ContainsFunc(rep.Status().Members, func(m replica.MemberStatus) bool { return m.ID == id })
}

// maintainMembership makes the membership changes that are due, on the leader.
func (g *Group) maintainMembership(ctx context.Context, rep *replica.Replica) {
	g.changing.Lock()
	defer g.changing.Unlock()
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	for ctx.Err() == nil && rep.HoldsLease() {
		c := nextChange(g.observeMembers(rep.Status()), g.cfg.Losses)
		if c.kind == noChange || !g.makeChange(ctx, rep, c) {
			return
		}
	}
}

// makeChange reports whether the change was made.
func (g *Group) makeChange(ctx context.Context, rep *replica.Replica, c change) bool {
	var err error
	if c.kind == promote {
		err = rep.Promote(ctx, c.id)
	} else {
		err = rep.Remove(ctx, c.id)
	}
	switch {
	case errors.Is(err, consensus.ErrNotCaughtUp):
		return false
	case err != nil:
		g.cfg.Logger.Warn().Err(err).Str("replica", c.id).Str("step", "heal").Msg("membership change failed; it will be retried")
		return false
	case c.kind == promote:
		g.cfg.Logger.Info().Str("replica", c.id).Msg("replica promoted to voter")
	default:
		g.cfg.Logger.Info().Str("replica", c.id).Msg("replica removed: " + c.reason)
	}
	return true
}

// joinOrCheckRemoved reports whether the group has removed this replica. While the
// replica has no leader or is not a member, it asks the leader found by the relay
// client for the members. If the replica has never been a member, joinOrCheckRemoved
// asks that leader to add it to the group.
func (g *Group) joinOrCheckRemoved(ctx context.Context, rep *replica.Replica) bool {
	s := rep.Status()
	member := slices.ContainsFunc(s.Members, func(m replica.MemberStatus) bool { return m.ID == s.ID })
	if s.LeaderID != "" && member && !s.Removed {
		g.leaderSeenAt = time.Now()
		return false
	}
	if member && !s.Removed && time.Since(g.leaderSeenAt) < leaderSilenceLimit {
		return false
	}
	leader := g.client.Leader()
	if leader == "" {
		if len(s.Members) == 0 && s.Applied == 0 {
			g.announceEmpty(ctx, s.ID)
		}
		return false
	}
	info, err := g.client.Info(ctx, leader)
	if err != nil || !info.Leading || slices.Contains(info.Members, s.ID) {
		return false
	}
	if len(s.Members) > 0 || s.Applied > 0 {
		// An answer from before this replica was added says nothing about its removal.
		return info.Commit >= s.MemberAt
	}
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	if err := g.client.Join(ctx, leader, s.ID, g.replicaAddress(g.cfg.IP)); err != nil {
		g.cfg.Logger.Warn().Err(err).Str("peer", leader).Str("step", "join").Msg("joining the group failed; it will be retried")
	}
	return false
}
