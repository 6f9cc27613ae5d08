// Package admission bounds what the clients of one port take together. Each request has
// limits of its own; here their sum has one: open connections, and the bytes of requests
// that this process holds. A client that would exceed the sum takes the place of one that
// has kept its request unfinished, or its connection idle, for the longest time. A request
// that has arrived whole is not cut off.
package admission

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
)

const (
	// freeBytes of each request are part of what its connection takes, and are not
	// counted. Requests of ordinary size need no more, so they never wait for others.
	freeBytes = 8 << 10
	// ConnectionBytes is about the memory that an open connection takes: the stack of its
	// goroutine, the buffers of both directions and freeBytes.
	ConnectionBytes = 32 << 10
	// HeldFactor is about the memory that each counted byte of a request takes while the
	// request is read, decoded and answered.
	HeldFactor = 4
	// RetrySeconds is when a client comes back that found no room. Clients with unfinished
	// requests give way at once, so room is short only while requests that have arrived
	// whole are answered.
	RetrySeconds = 1
	// reportInterval is the minimum time between two log lines about clients that lost
	// their place.
	reportInterval = time.Second
)

// ErrOverloaded means that the requests of all clients together hold as much as the port
// may, and that none of them is older than this one and unfinished. The request has not
// been handled.
var ErrOverloaded = errors.New("the requests of all clients together are too large")

// Limits bound what all clients of a port take together.
type Limits struct {
	// Connections is the largest number of open connections.
	Connections int
	// RequestBytes is the largest sum of the sizes of the requests that are being received
	// or answered, without the first 8 KiB of each.
	RequestBytes int64
	// ReceiveBuffer is about how many bytes the kernel keeps for a connection until they are
	// read. They take memory that is not the process's own.
	ReceiveBuffer int
	// MessageBytes is the largest message of a port that is served with ServeRPC.
	MessageBytes int64
}

// ConnectionsIn returns how many connections have room in so many bytes of memory, each
// with what the process and the kernel keep for it.
func ConnectionsIn(memory int64, receiveBuffer int) int {
	return int(memory / int64(ConnectionBytes+receiveBuffer))
}

// Port keeps the limits of one port.
type Port struct {
	name   string
	limits Limits
	logger zerolog.Logger
	now    func() time.Time

	mu    sync.Mutex
	conns map[*conn]struct{}
	// held is the sum of the counted bytes.
	held  int64
	stats stats
	// reported has the stats of the latest log line, which was written at reportedAt.
	reported   stats
	reportedAt time.Time
}

// stats count what has happened to clients.
type stats struct {
	// unfinished and idle are the connections that were closed for others; refused are
	// those that were closed at once and the requests that were refused.
	unfinished, idle, refused uint64
}

// NewPort returns the limits of a port, which has the given name in logs and metrics.
func NewPort(name string, limits Limits, logger zerolog.Logger) *Port {
	return &Port{name: name, limits: limits, logger: logger, now: time.Now, conns: map[*conn]struct{}{}}
}

// Listen listens on a TCP address. The connections count for the port.
func (p *Port) Listen(address string) (net.Listener, error) {
	lc := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return setReceiveBuffer(raw, p.limits.ReceiveBuffer) // connections inherit it
	}}
	l, err := lc.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", address)
	}
	return p.Listener(l), nil
}

// Listener returns a listener whose connections count for the port.
func (p *Port) Listener(l net.Listener) net.Listener { return &listener{l, p} }

type listener struct {
	net.Listener
	port *Port
}

// Accept implements net.Listener. It never waits for a place: the kernel would keep the
// connections of ordinary clients waiting as well.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.port.admit(raw); c != nil {
			return c, nil
		}
	}
}

// admit adds a connection. It closes the one that loses its place to it, which is the new
// one itself, and then returns nil, if all others are being answered.
func (p *Port) admit(raw net.Conn) *conn {
	c := &conn{Conn: raw, port: p}
	p.mu.Lock()
	var loser net.Conn
	c.since = p.now()
	if len(p.conns) >= p.limits.Connections {
		if v := p.leastUseful(); v != nil {
			loser = p.evict(v)
		} else {
			p.stats.refused++
			loser, c = raw, nil
		}
	}
	if c != nil {
		p.conns[c] = struct{}{}
	}
	lost := p.unreported()
	p.mu.Unlock()
	if loser != nil {
		loser.Close()
	}
	p.report(lost)
	return c
}

// leastUseful returns the connection that gives its place to another client: of those with
// an unfinished request and those without a request, whichever are more, the one that has
// been so for the longest time. Neither silent clients nor idle ones can so displace all of
// the others. It returns nil if all requests have arrived. The caller must hold p.mu.
func (p *Port) leastUseful() *conn {
	var oldest [answering]*conn
	var count [answering]int
	for c := range p.conns {
		s := c.state.load()
		if s == answering {
			continue
		}
		count[s]++
		if o := oldest[s]; o == nil || c.since.Before(o.since) {
			oldest[s] = c
		}
	}
	if count[idle] > count[receiving] {
		return oldest[idle]
	}
	return oldest[receiving]
}

// hold counts n more bytes of a connection's request. Older requests that have not arrived
// whole are cut off to make room for them.
func (p *Port) hold(c *conn, n int64) error {
	p.mu.Lock()
	var losers []net.Conn
	err := error(nil)
	for p.held+n > p.limits.RequestBytes && err == nil {
		if v := p.oldestHolder(); v != nil && v != c && !c.evicted {
			losers = append(losers, p.evict(v))
			continue
		}
		p.stats.refused++
		err = ErrOverloaded
	}
	if err == nil && !c.evicted {
		p.held += n
		c.held += n
	}
	lost := p.unreported()
	p.mu.Unlock()
	for _, l := range losers {
		l.Close()
	}
	p.report(lost)
	return err
}

// oldestHolder returns the connection with counted bytes whose request has been unfinished,
// or which has been idle, for the longest time; nil if there is none. The caller must hold
// p.mu.
func (p *Port) oldestHolder() (oldest *conn) {
	for c := range p.conns {
		if c.held > 0 && c.state.load() != answering && (oldest == nil || c.since.Before(oldest.since)) {
			oldest = c
		}
	}
	return oldest
}

// evict takes a connection's place and returns what must be closed once p.mu is free. The
// caller must hold p.mu.
func (p *Port) evict(c *conn) net.Conn {
	if c.state.load() == idle {
		p.stats.idle++
	} else {
		p.stats.unfinished++
	}
	p.forget(c)
	return c.Conn
}

// forget removes a connection and what its request holds. The caller must hold p.mu.
func (p *Port) forget(c *conn) {
	p.held -= c.held
	c.held, c.evicted = 0, true
	delete(p.conns, c)
}

// remove removes a connection that is closed.
func (p *Port) remove(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !c.evicted {
		p.forget(c)
	}
}

// enter records that a connection is in another state from now on.
func (p *Port) enter(c *conn, s state) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.since = p.now()
	c.state.store(s)
}

// release ends the counting of n bytes of a connection.
func (p *Port) release(c *conn, n int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	n = min(n, c.held) // nothing is left of a connection that has lost its place
	p.held -= n
	c.held -= n
}

// unreported returns what has happened since the latest log line, or nothing if that was
// less than reportInterval ago. The caller must hold p.mu.
func (p *Port) unreported() (lost stats) {
	now := p.now()
	if p.stats == p.reported || now.Sub(p.reportedAt) < reportInterval {
		return stats{}
	}
	lost = stats{p.stats.unfinished - p.reported.unfinished, p.stats.idle - p.reported.idle, p.stats.refused - p.reported.refused}
	p.reported, p.reportedAt = p.stats, now
	return lost
}

// report logs how many clients have lost their places. The caller must not hold p.mu: the
// log may be slow.
func (p *Port) report(lost stats) {
	if lost == (stats{}) {
		return
	}
	p.logger.Warn().Str("port", p.name).Uint64("unfinished", lost.unfinished).Uint64("idle", lost.idle).Uint64("refused", lost.refused).
		Msg("clients lost their places to others: the port is at its limits")
}
