package admission

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
)

// testServer is an HTTP server on a port with small limits.
type testServer struct {
	t       *testing.T
	port    *Port
	address string
	// release lets requests for /wait be answered.
	release chan struct{}
}

const testBodyLimit = 1 << 20

func newTestServer(t *testing.T, limits Limits) *testServer {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &testServer{t: t, port: NewPort("test", limits, zerolog.Nop()), address: ln.Addr().String(), release: make(chan struct{})}
	srv := &http.Server{Handler: http.HandlerFunc(s.serve)}
	go Serve(srv, s.port.Listener(ln))
	t.Cleanup(func() { srv.Close() })
	return s
}

func (s *testServer) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/unread" {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	body, err := ReadBody(w, r, testBodyLimit)
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	case errors.Is(err, ErrOverloaded):
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case err != nil:
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if r.URL.Path == "/wait" {
		<-s.release
	}
	fmt.Fprint(w, len(body))
}

// client is one connection to a testServer.
type client struct {
	t    *testing.T
	conn net.Conn
	in   *bufio.Reader
}

func (s *testServer) dial() *client {
	s.t.Helper()
	conn, err := net.Dial("tcp", s.address)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { conn.Close() })
	if err := conn.SetDeadline(time.Now().Add(20 * time.Second)); err != nil {
		s.t.Fatal(err)
	}
	return &client{s.t, conn, bufio.NewReader(conn)}
}

func (c *client) send(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c.conn, text); err != nil {
		c.t.Fatal(err)
	}
}

// post sends a request of which the last bytes are missing.
func (c *client) post(path string, length, missing int) {
	c.t.Helper()
	c.send(fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", path, length, strings.Repeat("x", length-missing)))
}

// status returns the status of the next answer; 0 if the connection is closed without one.
func (c *client) status() int {
	c.t.Helper()
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return 0
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		c.t.Fatal(err)
	}
	return resp.StatusCode
}

func (c *client) want(status int) {
	c.t.Helper()
	if got := c.status(); got != status {
		c.t.Fatalf("status %d, want %d", got, status)
	}
}

// open returns the number of connections in a state, and held the counted bytes.
func (s *testServer) open(in state) (n int) {
	s.port.mu.Lock()
	defer s.port.mu.Unlock()
	for c := range s.port.conns {
		if c.state.load() == in {
			n++
		}
	}
	return n
}

// unfinished returns how many clients lost their places with an unfinished request.
func (s *testServer) unfinished() uint64 {
	s.port.mu.Lock()
	defer s.port.mu.Unlock()
	return s.port.stats.unfinished
}

func (s *testServer) held() int64 {
	s.port.mu.Lock()
	defer s.port.mu.Unlock()
	return s.port.held
}

func waitUntil(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("waited too long until %s", what)
		}
	}
}

// Guards against silent clients that keep others out, or displace those that are idle
// between two requests.
func TestSilentClientsGiveTheirPlaces(t *testing.T) {
	s := newTestServer(t, Limits{Connections: 8, RequestBytes: 1 << 20})
	ordinary := s.dial()
	ordinary.post("/", 10, 0)
	ordinary.want(http.StatusOK)
	waitUntil(t, "the ordinary client is idle", func() bool { return s.open(idle) == 1 })
	for i := range 40 {
		s.dial().send("POST / HT")
		waitUntil(t, "the client is admitted", func() bool { return s.open(receiving) == min(i+1, 7) })
	}
	ordinary.post("/", 10, 0)
	ordinary.want(http.StatusOK)
	other := s.dial()
	other.post("/", 10, 0)
	other.want(http.StatusOK)
}

// Guards against idle clients that keep others out.
func TestIdleClientsGiveTheirPlaces(t *testing.T) {
	s := newTestServer(t, Limits{Connections: 8, RequestBytes: 1 << 20})
	for range 40 {
		c := s.dial()
		c.post("/", 10, 0)
		c.want(http.StatusOK)
	}
	if n := s.open(idle) + s.open(receiving) + s.open(answering); n > 8 {
		t.Errorf("%d connections, at most 8 are allowed", n)
	}
}

// Guards against a request that is cut off while it is answered.
func TestAnsweredRequestsKeepTheirPlaces(t *testing.T) {
	s := newTestServer(t, Limits{Connections: 4, RequestBytes: 1 << 20})
	var waiting []*client
	for range 4 {
		c := s.dial()
		c.post("/wait", 10, 0)
		waiting = append(waiting, c)
	}
	waitUntil(t, "all are answered", func() bool { return s.open(answering) == 4 })
	for range 4 {
		if got := s.dial().status(); got != 0 {
			t.Errorf("a connection too many got status %d, want none", got)
		}
	}
	close(s.release)
	for _, c := range waiting {
		c.want(http.StatusOK)
	}
}

// Guards against bodies that are never finished and take all the room for others.
func TestUnfinishedBodiesGiveTheirPlaces(t *testing.T) {
	s := newTestServer(t, Limits{Connections: 100, RequestBytes: 300 << 10})
	for i := range 20 {
		s.dial().post("/", 100<<10, 1)
		waitUntil(t, "the body is counted", func() bool { return s.held() >= int64(min(i+1, 3))*(100<<10-freeBytes-1) })
		if s.held() > 300<<10 {
			t.Fatalf("%d bytes are held, at most %d are allowed", s.held(), 300<<10)
		}
	}
	large := s.dial()
	large.post("/", 250<<10, 0)
	large.want(http.StatusOK)
	large.post("/", 250<<10, 0) // the first one no longer counts
	large.want(http.StatusOK)
}

// Guards against large requests that wait for their answers and keep small ones from being
// served, and against a large one that waits for its own refusal.
func TestLargeRequestsLeaveRoomForSmallOnes(t *testing.T) {
	s := newTestServer(t, Limits{Connections: 100, RequestBytes: 300 << 10})
	for range 3 {
		s.dial().post("/wait", 100<<10, 0)
	}
	waitUntil(t, "all are answered", func() bool { return s.open(answering) == 3 })
	for range 5 {
		c := s.dial()
		c.post("/", 100<<10, 1)
		c.want(http.StatusServiceUnavailable)
		small := s.dial()
		small.post("/", freeBytes/2, 0)
		small.want(http.StatusOK)
	}
	close(s.release)
	waitUntil(t, "nothing is held", func() bool { return s.held() == 0 })
}

// Guards against headers whose sum is not counted.
func TestHeadersAreCounted(t *testing.T) {
	s := newTestServer(t, Limits{Connections: 100, RequestBytes: 100 << 10})
	for range 30 {
		s.dial().send("GET / HTTP/1.1\r\nX: " + strings.Repeat("x", 30<<10))
	}
	waitUntil(t, "headers are counted", func() bool { return s.held() > 60<<10 })
	if s.held() > 100<<10 {
		t.Errorf("%d bytes are held, at most %d are allowed", s.held(), 100<<10)
	}
	c := s.dial()
	c.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	c.want(http.StatusOK)
}

// Guards against an answer to too large a body that waits for the rest of it, and against a
// body in many chunks that is refused for the bytes between them.
func TestReadBody(t *testing.T) {
	s := newTestServer(t, Limits{Connections: 100, RequestBytes: 4 << 20})
	declared := s.dial()
	declared.send(fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", testBodyLimit+1))
	declared.want(http.StatusRequestEntityTooLarge)
	chunked := s.dial()
	chunked.send("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("2\r\nxx\r\n", 100_000) + "0\r\n\r\n")
	chunked.want(http.StatusOK)
	for _, length := range []int{0, 1, firstBuffer - 1, firstBuffer, firstBuffer + 1, testBodyLimit} {
		c := s.dial()
		c.post("/", length, 0)
		c.want(http.StatusOK)
	}
}

// Guards against an answer that waits for the rest of a body that nobody needs.
func TestAnswerDoesNotWaitForTheRestOfTheBody(t *testing.T) {
	s := newTestServer(t, Limits{Connections: 100, RequestBytes: 1 << 20})
	c := s.dial()
	c.post("/unread", 1000, 1)
	c.want(http.StatusNoContent)
}

// Guards against a buffer that is much larger than the body.
func TestBufferOfKnownLength(t *testing.T) {
	full := make([]byte, 768)
	if got := cap(grow(full, 1000)); got != 1001 {
		t.Errorf("capacity %d for a body of 1000 bytes, want 1001", got)
	}
	if got := cap(grow(full, -1)); got != 1536 {
		t.Errorf("capacity %d for a body of unknown length, want 1536", got)
	}
}

// Guards against the receive buffer of the system's default, which grows to megabytes on
// each connection.
func TestReceiveBufferIsBounded(t *testing.T) {
	const bytes = 32 << 10
	ln, err := NewPort("test", Limits{Connections: 2, ReceiveBuffer: bytes}, zerolog.Nop()).Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	caller, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer caller.Close()
	served, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer served.Close()
	raw, err := served.(syscall.Conn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	got := 0
	if err := raw.Control(func(fd uintptr) { got, err = syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF) }); err != nil {
		t.Fatal(err)
	}
	if err != nil || got > 2*bytes { // the kernel doubles it
		t.Errorf("receive buffer of %d bytes, error %v, want at most %d", got, err, 2*bytes)
	}
}

// Guards against an answer that is not read and keeps its place for good.
func TestUnreadAnswerGivesItsPlace(t *testing.T) {
	large := make([]byte, 64<<20)
	srv := httptest.NewServer(Concurrent(1, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/large" {
			w.Write(large)
		}
	})))
	defer srv.Close()
	c, err := net.Dial("tcp", srv.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if _, err := io.WriteString(c, "GET /large HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	status := func() int {
		resp, err := http.Get(srv.URL)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		return resp.StatusCode
	}
	waitUntil(t, "the place is taken", func() bool { return status() == http.StatusServiceUnavailable })
	waitUntil(t, "the place is free again", func() bool { return status() == http.StatusOK })
}
