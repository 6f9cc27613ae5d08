package rpc

import (
	"context"
	"crypto/tls"
	"errors"
	"math/rand/v2"
	"net"
	netrpc "net/rpc"
	"sync"
	"time"

	"gooseberrypond/core/structs"
)

// Peer is one control host.
type Peer struct {
	ID      string
	Address string
}

// Dialer opens a connection to a peer.
type Dialer func(ctx context.Context, address string) (net.Conn, error)

// ClientConfig configures a Client.
type ClientConfig struct {
	Cluster string
	// Host is the id of the calling host.
	Host  string
	Peers []Peer
	// TLS is nil for plain TCP.
	TLS *tls.Config
	// Dial opens connections; nil means TCP.
	Dial Dialer
}

// Client finds the leader among the control hosts and calls it.
type Client struct {
	cfg ClientConfig

	mu     sync.Mutex
	conns  []*conn // by peer; nil when not connected
	leader int     // index of the presumed leader, or -1
	next   int     // last peer of the round-robin order used while no leader is known
	closed bool
}

// conn is one connection to a peer.
type conn struct {
	rpc       *netrpc.Client
	lastReply time.Time // time of the last reply
}

// NewClient returns a client. It connects on first use.
func NewClient(cfg ClientConfig) *Client {
	if cfg.Dial == nil {
		cfg.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			var d net.Dialer
			return d.DialContext(ctx, "tcp", address)
		}
	}
	return &Client{cfg: cfg, conns: make([]*conn, len(cfg.Peers)), leader: -1, next: rand.IntN(max(len(cfg.Peers), 1))}
}

// Close closes all connections. Calls in flight fail.
func (c *Client) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for i, cn := range c.conns {
		if cn != nil {
			cn.rpc.Close()
			c.conns[i] = nil
		}
	}
	return nil
}

// target returns the index of the presumed leader. If there is none, it returns
// the next peer in round-robin order.
func (c *Client) target() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader >= 0 {
		return c.leader
	}
	c.next = (c.next + 1) % len(c.cfg.Peers)
	return c.next
}

// setLeader makes the peer with this id the presumed leader. It reports whether
// there is such a peer; if not, no leader is presumed.
func (c *Client) setLeader(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, p := range c.cfg.Peers {
		if p.ID == id {
			c.leader = i
			return true
		}
	}
	c.leader = -1
	return false
}

// clearLeader clears the presumed leader if it is peer.
func (c *Client) clearLeader(peer int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader == peer {
		c.leader = -1
	}
}

// presumesOtherLeader reports whether a peer other than this one is the presumed
// leader.
func (c *Client) presumesOtherLeader(peer int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leader >= 0 && c.leader != peer
}

// connect returns the connection to peer, and opens it if there is none.
func (c *Client) connect(ctx context.Context, peer int) (*conn, *structs.Error) {
	c.mu.Lock()
	cn, closed := c.conns[peer], c.closed
	c.mu.Unlock()
	address := c.cfg.Peers[peer].Address
	if closed {
		return nil, structs.Errorf(structs.CodeShuttingDown, "rpc.connect", "client is closed").WithOutcome(structs.OutcomeNotRun)
	}
	if cn != nil {
		return cn, nil
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	nc, err := c.cfg.Dial(ctx, address)
	if err == nil && c.cfg.TLS != nil {
		nc, err = startTLS(ctx, nc, c.cfg.TLS, address)
	}
	if err != nil {
		return nil, structs.Errorf(structs.CodeNoLeader, "rpc.connect", "%v", err).WithPeer(address).WithOutcome(structs.OutcomeNotRun)
	}
	return c.install(peer, &conn{rpc: netrpc.NewClient(nc), lastReply: time.Now()}), nil
}

// startTLS makes the TLS handshake on nc. It closes nc on failure.
func startTLS(ctx context.Context, nc net.Conn, cfg *tls.Config, address string) (net.Conn, error) {
	cfg = cfg.Clone()
	if cfg.ServerName == "" {
		cfg.ServerName, _, _ = net.SplitHostPort(address)
	}
	t := tls.Client(nc, cfg)
	if err := t.HandshakeContext(ctx); err != nil {
		nc.Close()
		return nil, err
	}
	return t, nil
}

// install makes cn the connection to peer and returns it. If another call has
// installed one meanwhile, cn is closed and that one returned.
func (c *Client) install(peer int, cn *conn) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	if old := c.conns[peer]; old != nil {
		cn.rpc.Close()
		return old
	}
	if c.closed {
		cn.rpc.Close()
		return cn
	}
	c.conns[peer] = cn
	return cn
}

// drop closes a connection that failed, so that the next call opens a new one.
func (c *Client) drop(peer int, cn *conn) {
	c.mu.Lock()
	if c.conns[peer] == cn {
		c.conns[peer] = nil
	}
	c.mu.Unlock()
	cn.rpc.Close()
}

// closeIfUnresponsive is called when a call has timed out. It closes the
// connection if no reply has arrived on it for unresponsiveLimit.
func (c *Client) closeIfUnresponsive(peer int, cn *conn) {
	c.mu.Lock()
	unresponsive := time.Since(cn.lastReply) > unresponsiveLimit
	c.mu.Unlock()
	if unresponsive {
		c.drop(peer, cn)
	}
}

// recordReply records that a reply has arrived on cn, and so that the peer is alive.
func (c *Client) recordReply(cn *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cn.lastReply = time.Now()
}

// callOptions holds the options of a call.
type callOptions struct {
	method string
	// timeout bounds one attempt.
	timeout time.Duration
	// retryUnknown allows a retry after an attempt whose outcome is unknown. It
	// is set for calls that may safely be processed twice: reads, announcements and
	// departures of upstreams, and calls that carry a key. It is not set for
	// syncs: the leader refuses a repeated sequence number, so their caller
	// sends the next number instead.
	retryUnknown bool
	// read is set for calls that change nothing. The answer to any attempt then holds
	// for the call.
	read bool
}

// call sends body to the leader, and retries as opts allow until it gets a reply
// or ctx ends. A refusal after an attempt without an answer leaves the outcome of a change
// unknown: that attempt may have taken effect before the reason for the refusal arose.
func call[T, R any](ctx context.Context, c *Client, opts callOptions, body T) (R, error) {
	var zero R
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, callTimeout+opts.timeout)
		defer cancel()
	}
	last := structs.Errorf(structs.CodeNoLeader, opts.method, "no control host is configured").WithOutcome(structs.OutcomeNotRun)
	outcomeUnknown, redirects := false, 0
	for len(c.cfg.Peers) > 0 && ctx.Err() == nil {
		peer := c.target()
		rep, err := attempt[T, R](ctx, c, peer, opts, body)
		if err == nil {
			return rep, nil
		}
		switch {
		case err.Code == structs.CodeNotLeader, err.Code == structs.CodeNoLeader && err.Outcome == structs.OutcomeNotRun:
			// The call was not processed, so it may be sent to another peer.
		case err.Code == structs.CodeNoLeader && opts.retryUnknown:
			outcomeUnknown = true
		case outcomeUnknown && !opts.read:
			return zero, refusedAfterUnknown(opts, err)
		default:
			return zero, err
		}
		last = err
		if redirects < maxRedirects && err.Code == structs.CodeNotLeader && c.presumesOtherLeader(peer) {
			redirects++
			continue
		}
		pause(ctx)
	}
	e := last.WithRetryAfter(structs.ElectionTimeoutMax.Milliseconds())
	e.Code = structs.CodeNoLeader
	e.Step = "rpc." + opts.method
	if outcomeUnknown {
		e.Outcome = structs.OutcomeUnknown
	}
	return zero, e
}

// refusedAfterUnknown returns the error of a call that was refused after an attempt
// without an answer. Its code asks the caller to repeat the call, which then gets a first
// answer.
func refusedAfterUnknown(opts callOptions, refusal *structs.Error) *structs.Error {
	return structs.Errorf(structs.CodeNoLeader, "rpc."+opts.method, "refused after an attempt without an answer: %s: %s", refusal.Code, refusal.Message).
		WithPeer(refusal.Peer).WithOutcome(structs.OutcomeUnknown).WithRetryAfter(retryPause.Milliseconds())
}

// pause waits before the next attempt. The random part keeps hosts from retrying
// at the same time.
func pause(ctx context.Context) {
	t := time.NewTimer(retryPause/2 + rand.N(retryPause))
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// attempt sends body to one peer. Transport failures are reported as
// CodeNoLeader, with OutcomeNotRun only if nothing was sent.
func attempt[T, R any](ctx context.Context, c *Client, peer int, opts callOptions, body T) (R, *structs.Error) {
	var zero R
	address := c.cfg.Peers[peer].Address
	cn, cerr := c.connect(ctx, peer)
	if cerr != nil {
		c.clearLeader(peer)
		return zero, cerr
	}
	ctx, cancel := context.WithTimeout(ctx, opts.timeout)
	defer cancel()
	deadline, _ := ctx.Deadline()
	req := Request[T]{Header: Header{Cluster: c.cfg.Cluster, Format: FormatVersion, From: c.cfg.Host, TimeoutMS: max(time.Until(deadline).Milliseconds(), 1)}, Body: body}
	rep := new(Reply[R])
	pending := cn.rpc.Go("Control."+opts.method, &req, rep, make(chan *netrpc.Call, 1))
	select {
	case <-pending.Done:
	case <-ctx.Done():
		// A cancelled call does not mean that the peer is at fault.
		if !errors.Is(ctx.Err(), context.Canceled) {
			c.clearLeader(peer)
			c.closeIfUnresponsive(peer, cn)
		}
		return zero, structs.Errorf(structs.CodeNoLeader, "rpc."+opts.method, "no answer within %s", opts.timeout).WithPeer(address).WithOutcome(structs.OutcomeUnknown)
	}
	if pending.Error != nil {
		c.clearLeader(peer)
		c.drop(peer, cn)
		return zero, structs.Errorf(structs.CodeNoLeader, "rpc."+opts.method, "%v", pending.Error).WithPeer(address).WithOutcome(structs.OutcomeUnknown)
	}
	c.recordReply(cn)
	if rep.Error == nil {
		c.setLeader(c.cfg.Peers[peer].ID)
		return rep.Body, nil
	}
	switch rep.Error.Code {
	case structs.CodeNotLeader:
		c.setLeader(rep.Leader)
	case structs.CodeNoLeader:
		c.clearLeader(peer)
	}
	if rep.Error.Peer == "" {
		return zero, rep.Error.WithPeer(address)
	}
	return zero, rep.Error
}
