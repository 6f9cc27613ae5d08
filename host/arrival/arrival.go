// Package arrival tells how old a call of another process is when this process reads it,
// and whether the caller still waits. The kernel accepts connections and keeps what arrives
// on them while the process stands still, so the time at which a call is read says nothing
// about when it was sent.
package arrival

import (
	"context"
	"crypto/tls"
	"net"
	"syscall"
	"time"
)

// connKey is the context key of a call's connection.
type connKey struct{}

// ConnContext adds the connection to the context of its requests, as the ConnContext of an
// http.Server.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// Age returns how long ago this host received the latest bytes of the call in whose context
// ctx lies; 0 if that is not known. A call is not younger than its latest bytes.
func Age(ctx context.Context) time.Duration {
	if raw := rawConn(connOf(ctx)); raw != nil {
		return sinceReceived(raw)
	}
	return 0
}

// CallerGone reports whether the caller in whose context ctx lies has closed its
// connection. It is false if that is not known.
func CallerGone(ctx context.Context) bool { return PeerGone(connOf(ctx)) }

// PeerGone reports whether the other end of a connection has closed it.
func PeerGone(c net.Conn) bool {
	raw := rawConn(c)
	return raw != nil && isClosedByPeer(raw)
}

func connOf(ctx context.Context) net.Conn {
	c, _ := ctx.Value(connKey{}).(net.Conn)
	return c
}

// rawConn returns the socket of a connection; nil if it has none.
func rawConn(c net.Conn) syscall.RawConn {
	if t, ok := c.(*tls.Conn); ok {
		c = t.NetConn()
	}
	s, ok := c.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return nil
	}
	return raw
}
