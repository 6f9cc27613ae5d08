package admission

import (
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// state is what a connection's client is doing.
type state int32

const (
	// receiving means that a request has begun and has not arrived whole. A new connection
	// is in this state too.
	receiving state = iota
	// idle means that the last request has been answered and the next has not begun.
	idle
	// answering means that a request has arrived whole.
	answering
)

type atomicState struct{ v atomic.Int32 }

func (a *atomicState) load() state   { return state(a.v.Load()) }
func (a *atomicState) store(s state) { a.v.Store(int32(s)) }

// conn is a connection that counts for a port.
type conn struct {
	net.Conn
	port  *Port
	state atomicState
	// inBody is set once the header has been read. The body is counted where it is read.
	inBody atomic.Bool
	// received is how much of the request has been read. Reads do not overlap.
	received int64
	closed   sync.Once

	// The fields below are guarded by port.mu.

	// since is when the state began.
	since time.Time
	// held is how much of the request is counted.
	held int64
	// evicted is set once the connection no longer counts.
	evicted bool
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && !c.inBody.Load() {
		if c.state.load() == idle {
			c.port.enter(c, receiving)
		}
		if overload := c.count(n); overload != nil {
			return 0, overload
		}
	}
	return n, err
}

// count counts n more bytes of the request.
func (c *conn) count(n int) error {
	before := max(c.received, freeBytes)
	c.received += int64(n)
	if c.received <= before {
		return nil
	}
	return c.port.hold(c, c.received-before)
}

// handled begins the body of a request, or its answer if it has none.
func (c *conn) handled(hasBody bool) {
	c.inBody.Store(true)
	if hasBody {
		if c.state.load() == idle { // the whole header came with the request before it
			c.port.enter(c, receiving)
		}
		return
	}
	c.port.enter(c, answering)
}

// answered ends a request.
func (c *conn) answered() {
	c.port.release(c, max(0, c.received-freeBytes))
	c.received = 0
	c.inBody.Store(false)
	c.port.enter(c, idle)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	err := c.Conn.Close()
	c.closed.Do(func() { c.port.remove(c) })
	return err
}

// CloseWrite closes the direction to the client, so that an answer arrives although the
// rest of its request is not read.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// SyscallConn implements syscall.Conn.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	if s, ok := c.Conn.(syscall.Conn); ok {
		return s.SyscallConn()
	}
	return nil, errors.New("the connection has no socket")
}
