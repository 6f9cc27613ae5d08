package node

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/rs/zerolog"

	"gooseberrypond/core/structs"
	"gooseberrypond/host/config"
	"gooseberrypond/host/rpc"
	"gooseberrypond/host/standin"
	"gooseberrypond/store/consensus"
	"gooseberrypond/store/replica"
	"gooseberrypond/store/transport"
)

// cluster runs hosts with both roles in this process.
type cluster struct {
	t        *testing.T
	settings []*config.Settings
	nodes    []*Node
	cut      []*atomic.Bool
	ledger   *standin.Ledger
	stop     context.CancelFunc
	workers  sync.WaitGroup
}

// cutTransport loses all messages of a replica while it is cut off.
type cutTransport struct {
	transport.Transport
	cut *atomic.Bool
}

func (c *cutTransport) Send(to consensus.ID, address string, ms []consensus.Message) {
	if !c.cut.Load() {
		c.Transport.Send(to, address, ms)
	}
}

func (c *cutTransport) Start(deliver func(from string, ms []consensus.Message)) error {
	return c.Transport.Start(func(from string, ms []consensus.Message) {
		if !c.cut.Load() {
			deliver(from, ms)
		}
	})
}

// newCluster starts size hosts on loopback addresses of their own.
func newCluster(t *testing.T, size int) *cluster {
	c := &cluster{t: t, nodes: make([]*Node, size), ledger: standin.NewLedger(), stop: func() {}}
	net := fmt.Sprintf("127.%d.%d", 64+rand.IntN(64), rand.IntN(256))
	folder := t.TempDir()
	roles := []config.Role{config.RoleControl, config.RoleEntry}
	var hosts []config.Host
	for i := range size {
		ip := fmt.Sprintf("%s.%d", net, i+1)
		hosts = append(hosts, config.Host{ID: fmt.Sprintf("h%d", i+1), Roles: roles, Replica: uint64(i + 1), Peer: ip + ":7405", Control: ip + ":7406"})
	}
	for i, h := range hosts {
		l := func(port int) config.Listener { return config.Listener{Address: fmt.Sprintf("%s.%d:%d", net, i+1, port)} }
		limits := config.DefaultLimits()
		limits.SnapshotEntries = 200
		c.settings = append(c.settings, &config.Settings{
			ClusterID: "test", HostID: h.ID, Roles: roles, FailureDomain: fmt.Sprintf("d%d", i+1), Region: "r",
			DataFolder: filepath.Join(folder, h.ID), Hosts: hosts, Limits: limits,
			Listeners: config.Listeners{Caller: l(7401), Upstream: l(7402), Platform: l(7403), Operator: l(7404), Peer: l(7405), Control: l(7406), Health: l(7407)},
		})
		c.cut = append(c.cut, new(atomic.Bool))
	}
	for i := range size {
		c.start(i)
	}
	t.Cleanup(c.close)
	return c
}

// start starts a host, also again after kill.
func (c *cluster) start(i int) {
	c.t.Helper()
	hooks := Hooks{Transport: func(cfg replica.Config) (transport.Transport, error) {
		tr, err := transport.NewRPC(transport.RPCConfig{ClusterID: cfg.ClusterID, Listen: cfg.Listen, Advertise: cfg.Advertise})
		return &cutTransport{tr, c.cut[i]}, err
	}}
	n, err := StartWith(c.settings[i], zerolog.New(zerolog.NewTestWriter(c.t)).Level(zerolog.WarnLevel), hooks)
	if err != nil {
		c.t.Fatal(err)
	}
	c.nodes[i] = n
}

// kill ends a host as a crash would.
func (c *cluster) kill(i int) {
	c.nodes[i].Kill()
	c.nodes[i] = nil
}

func (c *cluster) close() {
	c.stop()
	c.workers.Wait()
	for i, n := range c.nodes {
		if n != nil {
			c.kill(i)
		}
	}
}

// client returns a client of its own.
func (c *cluster) client() *rpc.Client {
	var peers []rpc.Peer
	for _, h := range c.settings[0].Hosts {
		peers = append(peers, rpc.Peer{ID: h.ID, Address: h.Control})
	}
	cl := rpc.NewClient(rpc.ClientConfig{Cluster: "test", Host: "test-client", Peers: peers})
	c.t.Cleanup(func() { cl.Close() })
	return cl
}

// leader waits for a leader that holds its lease.
func (c *cluster) leader(ctx context.Context) int {
	c.t.Helper()
	for ctx.Err() == nil {
		for i, n := range c.nodes {
			if n != nil && !c.cut[i].Load() && n.control.Leading() {
				return i
			}
		}
		wait(ctx)
	}
	c.t.Fatal("no leader")
	return -1
}

// runWorkers starts stand-in workers that use all hosts.
func (c *cluster) runWorkers(count int) []*standin.Worker {
	ctx, stop := context.WithCancel(context.Background())
	c.stop = stop
	var platform []string
	for _, s := range c.settings {
		platform = append(platform, "http://"+s.Listeners.Platform.Address)
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	var out []*standin.Worker
	for i := range count {
		w := standin.NewWorker(standin.WorkerConfig{
			ID: structs.WorkerID(fmt.Sprintf("w%d", i+1)), Rack: "r1", Domain: fmt.Sprintf("d%d", i%3+1),
			Capacity: structs.Resources{CPUMilli: 32_000, MemoryMB: 125 << 10},
			Platform: platform, Client: client, Ledger: c.ledger,
		})
		out = append(out, w)
		c.workers.Go(func() { w.Run(ctx) })
	}
	return out
}

// testCatalogue has one owner and one small batch entry.
func testCatalogue() structs.Catalogue {
	return structs.Catalogue{
		Owners: map[string]structs.Owner{"dev": {}},
		Entries: map[string]structs.Entry{
			"report": {Owner: "dev", Class: structs.ClassBatch, Resources: structs.Resources{CPUMilli: 500, MemoryMB: 512}},
		},
	}
}

// put applies a catalogue and fails the test unless it is accepted.
func (c *cluster) put(ctx context.Context, cl *rpc.Client, id string, base uint64) {
	c.t.Helper()
	res := ask(ctx, c.t, func() (*structs.ChangeResult, error) {
		return cl.ApplyCatalogue(ctx, &structs.PutCatalogue{ChangeID: id, BaseVersion: base, Catalogue: testCatalogue()})
	})
	if !res.Accepted {
		c.t.Fatalf("change %s: %+v", id, res)
	}
}

// ask repeats a call until it is answered.
func ask[R any](ctx context.Context, t *testing.T, fn func() (R, error)) R {
	t.Helper()
	for {
		r, err := fn()
		if err == nil {
			return r
		}
		if ctx.Err() != nil {
			t.Fatalf("no answer: %v", err)
		}
		wait(ctx)
	}
}
