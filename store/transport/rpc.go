package transport

import (
	"crypto/tls"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"gooseberrypond/store/consensus"
)

const (
	// dialTimeout limits the time to connect to another replica.
	dialTimeout = 500 * time.Millisecond
	// callTimeout limits the time of one call. The connection is closed when a
	// call exceeds it.
	callTimeout = time.Second
	// redialDelay is the delay between a failed call and the next attempt. It is
	// no longer than the heartbeat interval, so that a restarted replica is
	// reached within an election timeout.
	redialDelay = 50 * time.Millisecond
	// queueLimit is the maximum number of queued messages for one replica.
	queueLimit = 1024
	// refusalLogInterval is the minimum time between log messages about refused
	// envelopes. A misconfigured replica sends one at each heartbeat and would
	// fill the log.
	refusalLogInterval = time.Second
	// batchMessages and batchBytes limit the number of messages in one call and
	// their size in bytes. Heartbeats wait for the call before them: at 1 MiB/s one
	// ends well within an election timeout. A larger one might also exceed
	// callTimeout at every attempt.
	batchMessages = 128
	batchBytes    = 256 << 10

	serviceName = "Replica"
	methodName  = serviceName + ".Deliver"
)

// RPCConfig holds the settings of an RPC transport.
type RPCConfig struct {
	ClusterID string
	// Listen is the address to listen on. Advertise is the address announced to
	// other replicas; if empty, the listener's address is used.
	Listen, Advertise string
	// TLS is optional. It is used for both incoming and outgoing connections.
	TLS *tls.Config
	// Port bounds what incoming connections take; nil means no bounds.
	Port   Port
	Logger zerolog.Logger
}

// Port bounds the connections that it accepts, and the messages on them.
type Port interface {
	Listen(address string) (net.Listener, error)
	ServeRPC(srv *rpc.Server, conn net.Conn)
}

// unbounded is a Port without bounds.
type unbounded struct{}

func (unbounded) Listen(address string) (net.Listener, error) { return net.Listen("tcp", address) }
func (unbounded) ServeRPC(srv *rpc.Server, conn net.Conn)     { srv.ServeConn(conn) }

// RPC is a Transport over net/rpc.
type RPC struct {
	cfg      RPCConfig
	listener net.Listener
	deliver  func(from string, ms []consensus.Message)

	mu     sync.Mutex
	peers  map[consensus.ID]*peer
	conns  map[net.Conn]bool
	closed bool
	// refusedAt is when a refused envelope was last logged.
	refusedAt time.Time
	done      chan struct{}
	wg        sync.WaitGroup
}

// NewRPC listens on the configured address and returns a transport. No messages
// are received before Start is called.
func NewRPC(cfg RPCConfig) (*RPC, error) {
	if cfg.Port == nil {
		cfg.Port = unbounded{}
	}
	ln, err := cfg.Port.Listen(cfg.Listen)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", cfg.Listen)
	}
	if cfg.TLS != nil {
		ln = tls.NewListener(ln, cfg.TLS)
	}
	if cfg.Advertise == "" {
		cfg.Advertise = ln.Addr().String()
	}
	return &RPC{
		cfg: cfg, listener: ln, done: make(chan struct{}),
		peers: map[consensus.ID]*peer{}, conns: map[net.Conn]bool{},
	}, nil
}

// Address returns the address announced to other replicas.
func (t *RPC) Address() string { return t.cfg.Advertise }

// Start implements Transport.
func (t *RPC) Start(deliver func(from string, ms []consensus.Message)) error {
	t.deliver = deliver
	srv := rpc.NewServer()
	if err := srv.RegisterName(serviceName, &service{t}); err != nil {
		return errors.Wrap(err, "register replica service")
	}
	t.wg.Add(1)
	go t.accept(srv)
	return nil
}

func (t *RPC) accept(srv *rpc.Server) {
	defer t.wg.Done()
	for {
		conn, err := t.listener.Accept()
		if err != nil {
			select {
			case <-t.done:
				return
			case <-time.After(redialDelay):
			}
			t.cfg.Logger.Error().Err(err).Str("step", "accept").Msg("replica transport failed to accept a connection")
			continue
		}
		if !t.track(conn) {
			conn.Close()
			return
		}
		t.wg.Add(1)
		go func() {
			defer t.wg.Done()
			defer t.untrack(conn)
			t.cfg.Port.ServeRPC(srv, conn)
		}()
	}
}

// track registers a connection so that Close can close it. It returns false if
// the transport is already closed.
func (t *RPC) track(conn net.Conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.closed {
		t.conns[conn] = true
	}
	return !t.closed
}

func (t *RPC) untrack(conn net.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.conns, conn)
	conn.Close()
}

// service is the net/rpc receiver.
type service struct{ t *RPC }

// Deliver receives messages from another replica.
func (s *service) Deliver(e *Envelope, ack *Ack) error {
	t := s.t
	switch {
	case e.Version != FormatVersion:
		ack.Refused = errors.Newf("message version %d, want %d", e.Version, FormatVersion).Error()
	case e.ClusterID != t.cfg.ClusterID:
		ack.Refused = errors.Newf("message of cluster %q, this is %q", e.ClusterID, t.cfg.ClusterID).Error()
	default:
		t.deliver(e.FromAddress, e.Messages)
		return nil
	}
	t.logRefusal(e.FromAddress, ack.Refused)
	return nil
}

// logRefusal logs at most one refusal per refusalLogInterval.
func (t *RPC) logRefusal(peer, reason string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now := time.Now(); now.Sub(t.refusedAt) >= refusalLogInterval {
		t.refusedAt = now
		t.cfg.Logger.Error().Str("peer", peer).Str("reason", reason).Msg("refused message from replica")
	}
}

// Send implements Transport.
func (t *RPC) Send(to consensus.ID, address string, ms []consensus.Message) {
	if len(ms) == 0 || address == "" {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return
	}
	p := t.peers[to]
	if p == nil {
		p = &peer{t: t, id: to, wake: make(chan struct{}, 1)}
		t.peers[to] = p
		t.wg.Add(1)
		go p.run()
	}
	p.enqueue(address, ms)
}

// Close implements Transport.
func (t *RPC) Close() error {
	t.mu.Lock()
	if t.closed {
		t.mu.Unlock()
		return nil
	}
	t.closed = true
	close(t.done)
	for conn := range t.conns {
		conn.Close()
	}
	t.mu.Unlock()
	err := t.listener.Close()
	t.wg.Wait()
	return err
}
