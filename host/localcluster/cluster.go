// Package localcluster runs the hosts of a cluster in one process, each on its own
// loopback address, with stand-in workers. Tests and benchmark commands use it to
// kill hosts and to isolate replicas from each other.
package localcluster

import (
	"context"
	"crypto/tls"
	"fmt"
	"math/rand/v2"
	"net/http"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"gooseberrypond/core/structs"
	"gooseberrypond/host/config"
	"gooseberrypond/host/node"
	"gooseberrypond/host/rpc"
	"gooseberrypond/host/standin"
	"gooseberrypond/store/consensus"
	"gooseberrypond/store/replica"
	"gooseberrypond/store/transport"
)

// Cluster is a running cluster. Its methods are called from one goroutine.
type Cluster struct {
	// Settings holds the settings of each host.
	Settings []*config.Settings
	// Nodes holds the running hosts; a host that is down is nil.
	Nodes  []*node.Node
	Ledger *standin.Ledger

	log           zerolog.Logger
	folder        string
	tls           config.TLS
	addressPrefix string
	// isolated tells for each host whether its replica is isolated.
	isolated []*atomic.Bool
	clients  []*rpc.Client
	ctx      context.Context
	stop     context.CancelFunc
	workers  sync.WaitGroup
}

// Options configure a cluster.
type Options struct {
	Folder string
	// Control is the number of hosts with both roles, which come first; Entry
	// is the number of hosts with the entry role only.
	Control, Entry int
	// SnapshotEntries is the number of log entries between snapshots; 0 means the default.
	SnapshotEntries int
	// AddressPrefix is the first three bytes of the hosts' addresses, as in
	// 127.63.7; empty means a random prefix.
	AddressPrefix string
	// TLS protects the connections between hosts.
	TLS config.TLS
	Log zerolog.Logger
}

// Start starts all hosts.
func Start(o Options) (*Cluster, error) {
	c := &Cluster{Nodes: make([]*node.Node, o.Control+o.Entry), Ledger: standin.NewLedger(), log: o.Log, folder: o.Folder, tls: o.TLS}
	c.ctx, c.stop = context.WithCancel(context.Background())
	c.makeSettings(o)
	for i := range c.Settings {
		c.isolated = append(c.isolated, new(atomic.Bool))
		if err := c.StartHost(i); err != nil {
			c.Close()
			return nil, err
		}
	}
	return c, nil
}

// makeSettings makes the settings of all hosts. The ports are fixed. The addresses
// are outside 127.0.0.x, so that the ports do not collide with those that the
// system assigns to other programs.
func (c *Cluster) makeSettings(o Options) {
	if c.addressPrefix = o.AddressPrefix; c.addressPrefix == "" {
		c.addressPrefix = fmt.Sprintf("127.%d.%d", 64+rand.IntN(64), rand.IntN(256))
	}
	both := []config.Role{config.RoleControl, config.RoleEntry}
	var hosts []config.Host
	for i := range o.Control + o.Entry {
		h := config.Host{ID: fmt.Sprintf("h%d", i+1), Roles: []config.Role{config.RoleEntry}}
		if i < o.Control {
			h.Roles, h.Replica = both, uint64(i+1)
			h.Peer, h.Control = c.address(i, 7405), c.address(i, 7406)
		}
		hosts = append(hosts, h)
	}
	for i, h := range hosts {
		c.Settings = append(c.Settings, c.hostSettings(i, h, hosts, o.SnapshotEntries))
	}
}

// address returns the address of a host's listener with the given port.
func (c *Cluster) address(i, port int) string {
	return fmt.Sprintf("%s.%d:%d", c.addressPrefix, i+1, port)
}

func (c *Cluster) hostSettings(i int, h config.Host, hosts []config.Host, snapshotEntries int) *config.Settings {
	l := func(port int) config.Listener { return config.Listener{Address: c.address(i, port)} }
	s := &config.Settings{
		ClusterID: "local", HostID: h.ID, Roles: h.Roles, FailureDomain: fmt.Sprintf("d%d", i%3+1), Region: "r",
		Hosts: hosts, Limits: config.DefaultLimits(), ControlTLS: c.tls,
		Listeners: config.Listeners{Platform: l(7403), Operator: l(7404), Health: l(7407)},
	}
	if s.Has(config.RoleEntry) {
		s.Listeners.Caller, s.Listeners.Upstream = l(7401), l(7402)
	}
	if s.Has(config.RoleControl) {
		s.DataFolder = filepath.Join(c.folder, h.ID)
		s.Listeners.Peer, s.Listeners.Control = l(7405), l(7406)
		s.Listeners.Peer.TLS, s.Listeners.Control.TLS = c.tls, c.tls
	}
	if snapshotEntries > 0 {
		s.Limits.SnapshotEntries = snapshotEntries
	}
	return s
}

// Join starts a new control host with an empty data folder and a replica id that
// was never used, and returns its index in Nodes. Its replica waits to be added
// as a member.
func (c *Cluster) Join() (int, error) {
	i := len(c.Settings)
	h := config.Host{
		ID: fmt.Sprintf("h%d", i+1), Roles: []config.Role{config.RoleControl}, Joining: true,
		Replica: uint64(i + 1), Peer: c.address(i, 7405), Control: c.address(i, 7406),
	}
	hosts := append(append([]config.Host(nil), c.Settings[0].Hosts...), h)
	for _, s := range c.Settings {
		s.Hosts = hosts
	}
	c.Settings = append(c.Settings, c.hostSettings(i, h, hosts, c.Settings[0].Limits.SnapshotEntries))
	c.Nodes = append(c.Nodes, nil)
	c.isolated = append(c.isolated, new(atomic.Bool))
	return i, c.StartHost(i)
}

// StartHost starts a host for the first time or again after Kill.
func (c *Cluster) StartHost(i int) error {
	hooks := node.Hooks{Transport: func(cfg replica.Config) (transport.Transport, error) {
		tr, err := transport.NewRPC(transport.RPCConfig{ClusterID: cfg.ClusterID, Listen: cfg.Listen, Advertise: cfg.Advertise, TLS: cfg.TLS})
		if err != nil {
			return nil, err
		}
		return &isolatingTransport{tr, c.isolated[i]}, nil
	}}
	n, err := node.StartWith(c.Settings[i], c.log, hooks)
	if err != nil {
		return errors.Wrapf(err, "start host %s", c.Settings[i].HostID)
	}
	c.Nodes[i] = n
	return nil
}

// Kill stops a host without a drain, as a crash would.
func (c *Cluster) Kill(i int) {
	c.Nodes[i].Kill()
	c.Nodes[i] = nil
}

// SetIsolated isolates the replica of a host from the other replicas or ends the
// isolation. Clients and workers still reach the host.
func (c *Cluster) SetIsolated(i int, on bool) { c.isolated[i].Store(on) }

// Close stops the workers, the clients and all hosts.
func (c *Cluster) Close() {
	c.stop()
	c.workers.Wait()
	for _, cl := range c.clients {
		cl.Close()
	}
	for i, n := range c.Nodes {
		if n != nil {
			c.Kill(i)
		}
	}
}

// Client returns a new client over plain TCP, which Close closes.
func (c *Cluster) Client() *rpc.Client { return c.ClientWith(nil) }

// ClientWith returns a new client with a TLS configuration; nil means plain TCP.
func (c *Cluster) ClientWith(tlsConfig *tls.Config) *rpc.Client {
	var peers []rpc.Peer
	for _, h := range c.Settings[0].With(config.RoleControl) {
		peers = append(peers, rpc.Peer{ID: h.ID, Address: h.Control})
	}
	cl := rpc.NewClient(rpc.ClientConfig{Cluster: "local", Host: "client", Peers: peers, TLS: tlsConfig})
	c.clients = append(c.clients, cl)
	return cl
}

// Leader waits for a leader that holds its lease and is not isolated, and returns
// its index in Nodes.
func (c *Cluster) Leader(ctx context.Context) (int, error) {
	for {
		for i, n := range c.Nodes {
			if n != nil && n.Control() != nil && !c.isolated[i].Load() && n.Control().Leading() {
				return i, nil
			}
		}
		if err := Pause(ctx); err != nil {
			return 0, errors.Wrap(err, "wait for a leader")
		}
	}
}

// Workers starts stand-in workers that use the platform listeners of all hosts.
func (c *Cluster) Workers(count int) []*standin.Worker {
	return c.startWorkers(count, c.Settings)
}

// startWorkers starts stand-in workers that use the platform listeners of some hosts.
func (c *Cluster) startWorkers(count int, hosts []*config.Settings) []*standin.Worker {
	var platform []string
	for _, s := range hosts {
		platform = append(platform, "http://"+s.Listeners.Platform.Address)
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2 * count}}
	var out []*standin.Worker
	for i := range count {
		w := standin.NewWorker(standin.WorkerConfig{
			ID: structs.WorkerID(fmt.Sprintf("w%d", i+1)), Rack: fmt.Sprintf("r%d", i/8+1), Domain: fmt.Sprintf("d%d", i%3+1),
			Capacity: structs.Resources{CPUMilli: 32_000, MemoryMB: 125 << 10},
			Platform: platform, Client: client, Ledger: c.Ledger,
		})
		out = append(out, w)
		c.workers.Go(func() { w.Run(c.ctx) })
	}
	return out
}

// Pause waits between two polls of a condition.
func Pause(ctx context.Context) error {
	t := time.NewTimer(5 * time.Millisecond)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}

// Catalogue returns a small catalogue with the owner "dev", the batch entry
// "report" and the urgent batch entry "urgent".
func Catalogue() structs.Catalogue {
	size := structs.Resources{CPUMilli: 500, MemoryMB: 512}
	return structs.Catalogue{
		Owners: map[string]structs.Owner{"dev": {}},
		Entries: map[string]structs.Entry{
			"report": {Owner: "dev", Class: structs.ClassBatch, Resources: size},
			"urgent": {Owner: "dev", Class: structs.ClassBatch, Resources: size, Urgent: true, Priority: 100},
		},
	}
}

// isolatingTransport drops all messages from and to a replica while it is isolated.
type isolatingTransport struct {
	transport.Transport
	isolated *atomic.Bool
}

// Send implements transport.Transport.
func (c *isolatingTransport) Send(to consensus.ID, address string, ms []consensus.Message) {
	if !c.isolated.Load() {
		c.Transport.Send(to, address, ms)
	}
}

// Start implements transport.Transport.
func (c *isolatingTransport) Start(deliver func(from string, ms []consensus.Message)) error {
	return c.Transport.Start(func(from string, ms []consensus.Message) {
		if !c.isolated.Load() {
			deliver(from, ms)
		}
	})
}
