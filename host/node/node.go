// Package node assembles one host from its settings: its listeners, the control
// and entry roles, health checks and metrics. It also implements the graceful
// stop.
package node

import (
	"context"
	"net"
	"net/http"
	"path/filepath"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/rs/zerolog"

	"gooseberrypond/host/admission"
	"gooseberrypond/host/config"
	"gooseberrypond/host/control"
	"gooseberrypond/host/edge/web"
	"gooseberrypond/host/rpc"
	"gooseberrypond/store/replica"
	"gooseberrypond/store/transport"
)

// Hooks replace the connections of a host to other hosts. localcluster sets only
// Transport, to isolate replicas; no code sets Dial.
type Hooks struct {
	// Transport makes the transport between replicas, if set.
	Transport func(cfg replica.Config) (transport.Transport, error)
	// Dial opens the connections to control hosts, if set.
	Dial rpc.Dialer
}

// Node is a running host.
type Node struct {
	settings *config.Settings
	hooks    Hooks
	baseLog  zerolog.Logger
	log      zerolog.Logger
	registry *prometheus.Registry

	listeners map[string]net.Listener
	ports     map[string]*admission.Port
	servers   []*http.Server
	control   *control.Host
	rpcServer *rpc.Server
	client    *rpc.Client
	entry     *entryRole

	draining atomic.Bool
	failed   chan error
}

// Start opens all listeners, then starts the roles. If it returns an error,
// everything that it started has been stopped.
func Start(s *config.Settings, log zerolog.Logger) (*Node, error) {
	return StartWith(s, log, Hooks{})
}

// StartWith is like Start, but with hooks.
func StartWith(s *config.Settings, log zerolog.Logger, hooks Hooks) (*Node, error) {
	n := &Node{
		settings:  s,
		hooks:     hooks,
		baseLog:   log,
		log:       log.With().Str("host", s.HostID).Logger(),
		registry:  prometheus.NewRegistry(),
		listeners: map[string]net.Listener{},
		ports:     map[string]*admission.Port{},
		failed:    make(chan error, 16),
	}
	n.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	err := n.start()
	if err != nil {
		n.Kill()
		return nil, err
	}
	n.log.Info().Str("cluster", s.ClusterID).Strs("addresses", n.addresses()).Msg("host started")
	return n, nil
}

func (n *Node) start() error {
	if err := n.listen(); err != nil {
		return err
	}
	if err := n.newClient(); err != nil {
		return err
	}
	if n.settings.Has(config.RoleControl) {
		if err := n.startControl(); err != nil {
			return err
		}
	}
	if n.settings.Has(config.RoleEntry) {
		n.startEntry()
	}
	n.serveEdges()
	return nil
}

// listen opens all enabled listeners except the peer listener, which the replica
// opens itself.
func (n *Node) listen() error {
	l := &n.settings.Listeners
	for name, listener := range map[string]*config.Listener{
		"caller": &l.Caller, "upstream": &l.Upstream, "platform": &l.Platform,
		"operator": &l.Operator, "control": &l.Control, "health": &l.Health,
	} {
		if !listener.Enabled() {
			continue
		}
		nl, err := web.Listen(listener, n.port(name))
		if err != nil {
			return errors.Wrapf(err, "listeners.%s", name)
		}
		n.listeners[name] = nl
	}
	return nil
}

// port returns the port of the named listener.
func (n *Node) port(name string) *admission.Port {
	p := n.ports[name]
	if p == nil {
		p = admission.NewPort(name, n.settings.PortLimits(name), n.log)
		n.ports[name] = p
		n.registry.MustRegister(p)
	}
	return p
}

// newClient sets n.client, the client for calls to the control hosts.
func (n *Node) newClient() error {
	files := n.settings.ControlTLS
	if !files.Enabled() {
		files = n.settings.Listeners.Control.TLS
	}
	tlsConfig, err := files.ClientConfig()
	if err != nil {
		return errors.Wrap(err, "control_tls")
	}
	var peers []rpc.Peer
	for _, h := range n.settings.With(config.RoleControl) {
		peers = append(peers, rpc.Peer{ID: h.ID, Address: h.Control})
	}
	n.client = rpc.NewClient(rpc.ClientConfig{Cluster: n.settings.ClusterID, Host: n.settings.HostID, Peers: peers, TLS: tlsConfig, Dial: n.hooks.Dial})
	return nil
}

// startControl opens the replica and serves rpc.Control on the control listener.
func (n *Node) startControl() error {
	rc, err := n.replicaConfig()
	if err != nil {
		return err
	}
	hostOf := map[string]string{}
	for _, h := range n.settings.With(config.RoleControl) {
		hostOf[replicaID(h)] = h.ID
	}
	n.control, err = control.Open(control.Config{
		Cluster:    n.settings.ClusterID,
		HostID:     n.settings.HostID,
		EntryHosts: n.settings.EntryHosts(),
		HostOf:     hostOf,
		Replica:    rc,
		Log:        n.log.With().Str("role", "control").Logger(),
		Registry:   n.registry,
	})
	if err != nil {
		return err
	}
	n.rpcServer = rpc.NewServer(n.settings.ClusterID, n.control, n.control.LeaderHost, n.port("control"))
	go func() { n.reportFailure("control listener", n.rpcServer.Serve(n.listeners["control"], nil)) }()
	return nil
}

// replicaID returns the id of a host's replica.
func replicaID(h config.Host) string { return strconv.FormatUint(h.Replica, 10) }

// dataFolder returns the folder of the replica's files.
func (n *Node) dataFolder() string { return filepath.Join(n.settings.DataFolder, "replica") }

// reportFailure logs an error that ended the serving of a listener and sends it to
// the channel of Failed. It ignores errors that come from closing a listener or
// happen during a stop.
func (n *Node) reportFailure(what string, err error) {
	if err == nil || errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) || n.draining.Load() {
		return
	}
	n.log.Error().Err(err).Str("step", what).Msg("listener failed; the host cannot continue")
	select {
	case n.failed <- errors.Wrap(err, what):
	default:
	}
}

// Failed returns a channel that receives an error when a listener of the host has
// failed. The host should then be stopped.
func (n *Node) Failed() <-chan error { return n.failed }

// Address returns the address of the named listener, or "" if the host has none.
func (n *Node) Address(name string) string {
	if l := n.listeners[name]; l != nil {
		return l.Addr().String()
	}
	return ""
}

// Control returns the control role, or nil if the host does not have it.
func (n *Node) Control() *control.Host { return n.control }

// Versions returns the versions of the catalogue and of the domain states in
// force on the entry role; 0 without that role.
func (n *Node) Versions() (catalogue, domains uint64) {
	if n.entry == nil {
		return 0, 0
	}
	return n.entry.versions()
}

// Client returns the client for calls to the control hosts.
func (n *Node) Client() *rpc.Client { return n.client }

func (n *Node) addresses() []string {
	var out []string
	for name, l := range n.listeners {
		out = append(out, name+"="+l.Addr().String())
	}
	return out
}

// Drain stops the host gracefully: it makes readiness fail, waits for the entry
// role to finish the requests in flight and to return its grants, transfers
// leadership if this host leads, and closes all listeners. It logs each step. ctx
// bounds the wait.
func (n *Node) Drain(ctx context.Context) error {
	start := time.Now()
	n.draining.Store(true)
	n.log.Info().Msg("stopping: readiness checks now fail; waiting for requests in flight")
	if n.entry != nil {
		n.entry.drain(ctx, n.log)
	}
	n.log.Info().Msg("stopping: waiting for open HTTP requests")
	for _, s := range n.servers {
		if err := s.Shutdown(ctx); err != nil {
			n.log.Warn().Err(err).Msg("HTTP server not shut down in time; its open connections will be closed")
		}
	}
	var err error
	if n.control != nil {
		n.log.Info().Bool("leader", n.control.Leading()).Msg("stopping: closing the replica; a leader first transfers leadership")
		err = n.control.Close(ctx)
		n.control = nil
	}
	n.Kill()
	n.log.Info().Dur("took", time.Since(start)).Msg("host stopped")
	return err
}

// Kill stops the host without a drain, as a crash would, except that it leaves no
// goroutines behind.
func (n *Node) Kill() {
	n.draining.Store(true)
	for _, s := range n.servers {
		s.Close()
	}
	for _, l := range n.listeners {
		l.Close()
	}
	if n.rpcServer != nil {
		n.rpcServer.Close()
	}
	if n.client != nil {
		n.client.Close()
	}
	if n.entry != nil {
		n.entry.close()
	}
	if n.control != nil {
		if err := n.control.Kill(); err != nil {
			n.log.Warn().Err(err).Msg("replica closed with an error")
		}
	}
}
