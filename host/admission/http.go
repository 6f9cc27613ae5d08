package admission

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// connKey is the context key of a request's connection.
type connKey struct{}

// connOf returns the port's form of a connection; nil if it has none.
func connOf(c net.Conn) *conn {
	if t, ok := c.(*tls.Conn); ok {
		c = t.NetConn()
	}
	own, _ := c.(*conn)
	return own
}

// Serve serves HTTP on a listener of the port until it fails. Of the server's hooks it
// keeps ConnState and ConnContext.
func Serve(srv *http.Server, l net.Listener) error {
	srv.Handler = &handler{srv.Handler}
	onState, onContext := srv.ConnState, srv.ConnContext
	srv.ConnState = func(raw net.Conn, s http.ConnState) {
		if c := connOf(raw); c != nil && s == http.StateIdle {
			c.answered()
		}
		if onState != nil {
			onState(raw, s)
		}
	}
	srv.ConnContext = func(ctx context.Context, raw net.Conn) context.Context {
		if onContext != nil {
			ctx = onContext(ctx, raw)
		}
		return context.WithValue(ctx, connKey{}, connOf(raw))
	}
	return srv.Serve(l)
}

// handler counts the bodies of requests.
type handler struct{ next http.Handler }

// ServeHTTP implements http.Handler.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if c, _ := r.Context().Value(connKey{}).(*conn); c != nil {
		hasBody := r.Body != nil && r.Body != http.NoBody
		c.handled(hasBody)
		if hasBody {
			b := &body{ReadCloser: r.Body, conn: c}
			r.Body = b
			defer b.discard()
		}
	}
	h.next.ServeHTTP(w, r)
}

// body is the body of a request.
type body struct {
	io.ReadCloser
	conn *conn
	// atEnd is set once the body has been read to its end.
	atEnd bool
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		if overload := b.conn.count(n); overload != nil {
			return 0, overload
		}
	}
	if err == io.EOF && !b.atEnd {
		b.atEnd = true
		b.conn.port.enter(b.conn, answering)
	}
	return n, err
}

// discardTime is how long the rest of a body is read and dropped once its request has been
// handled. net/http reads it before it sends the answer, and unread bytes would reset the
// connection, with the answer, when it is closed.
const discardTime = 500 * time.Millisecond

// discard bounds the time that the rest of a body may take.
func (b *body) discard() {
	if !b.atEnd {
		_ = b.conn.SetReadDeadline(time.Now().Add(discardTime)) // it fails only after a close
	}
}

// firstBuffer is the size of the first buffer for a body.
const firstBuffer = 512

// ReadBody reads the body of a request into one buffer. Its errors are
// *http.MaxBytesError for a body of more than limit bytes, ErrOverloaded, and those of the
// connection. After an error the connection is closed with the answer.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	body, err := readBody(w, r, limit)
	if err != nil {
		w.Header().Set("Connection", "close")
	}
	return body, errors.Wrap(err, "read body")
}

func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	if r.ContentLength > limit {
		return nil, &http.MaxBytesError{Limit: limit}
	}
	from := http.MaxBytesReader(w, r.Body, limit)
	out := make([]byte, 0, firstBuffer)
	for {
		n, err := from.Read(out[len(out):cap(out)])
		out = out[:len(out)+n]
		switch {
		case err == io.EOF:
			return out, nil
		case err != nil:
			return nil, err
		case len(out) == cap(out):
			out = grow(out, r.ContentLength)
		}
	}
}

// grow doubles a full buffer. It does not make it larger than the body is known to be: the
// last byte of room is for the end of the body.
func grow(full []byte, length int64) []byte {
	size := int64(2 * cap(full))
	if length > int64(len(full)) {
		size = min(size, length+1)
	}
	return append(make([]byte, 0, size), full...)
}
