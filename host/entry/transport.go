package entry

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"gooseberrypond/core/structs"
)

const (
	// dialTimeout bounds the dialling of an upstream. Together with ViewMaxAge
	// it bounds how long a leaving upstream may still get new requests.
	dialTimeout = time.Second
	// idleTimeout is how long an unused connection to an upstream is kept open.
	idleTimeout = 30 * time.Second
	// maxResponseHeader bounds the header of an upstream's response, in bytes.
	maxResponseHeader = 64 << 10
)

// transports holds one transport per upstream address, each with its own limit
// on connections.
type transports struct {
	mu        sync.Mutex
	byAddress map[string]*cappedTransport
}

type cappedTransport struct {
	*http.Transport
	connections int
}

// get returns a transport to address that opens at most the given number of
// connections. 0 means that the upstream accepts fewer connections than there
// are entry hosts: one connection may then be open at a time, and it is closed
// after use.
func (t *transports) get(address string, connections int) *http.Transport {
	t.mu.Lock()
	defer t.mu.Unlock()
	c, ok := t.byAddress[address]
	if ok && c.connections == connections {
		return c.Transport
	}
	if ok {
		c.CloseIdleConnections()
	}
	if t.byAddress == nil {
		t.byAddress = make(map[string]*cappedTransport)
	}
	c = &cappedTransport{Transport: newTransport(connections), connections: connections}
	t.byAddress[address] = c
	return c.Transport
}

// retain removes the transports to addresses that are not in list, and closes
// their idle connections.
func (t *transports) retain(list []structs.Upstream) {
	t.mu.Lock()
	defer t.mu.Unlock()
	announced := make(map[string]bool, len(list))
	for _, u := range list {
		announced[u.Address] = true
	}
	for address, c := range t.byAddress {
		if !announced[address] {
			c.CloseIdleConnections()
			delete(t.byAddress, address)
		}
	}
}

func (t *transports) closeIdle() { t.retain(nil) }

func newTransport(connections int) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &guardedConn{Conn: c}, nil
		},
		DisableCompression:     true,
		DisableKeepAlives:      connections == 0,
		MaxConnsPerHost:        max(connections, 1),
		MaxIdleConns:           connections,
		MaxIdleConnsPerHost:    connections,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxResponseHeader,
	}
}

// guardedConn counts writes, which shows whether any byte of a request may have
// been sent, and refuses writes once it is sealed.
type guardedConn struct {
	net.Conn
	mu     sync.Mutex
	writes uint64
	sealed bool
}

// Write implements net.Conn.
func (c *guardedConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, net.ErrClosed
	}
	c.writes++
	c.mu.Unlock()
	return c.Conn.Write(b)
}

// writeCount returns the number of writes started.
func (c *guardedConn) writeCount() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// seal makes all further writes fail and returns the number of writes started.
func (c *guardedConn) seal() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.writes
}
