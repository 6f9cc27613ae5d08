package admission

import (
	"encoding/binary"
	"net"
	"net/rpc"
	"strings"
	"testing"

	"github.com/rs/zerolog"
)

// Echo is a net/rpc service for the tests.
type Echo struct{ release chan struct{} }

// Length returns the length of a text.
func (e *Echo) Length(text string, n *int) error {
	*n = len(text)
	return nil
}

// Wait returns once the test lets it.
func (e *Echo) Wait(_ string, _ *int) error {
	<-e.release
	return nil
}

// newRPCServer returns a server for net/rpc on a port with small limits.
func newRPCServer(t *testing.T, limits Limits) (*testServer, *Echo) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	s := &testServer{t: t, port: NewPort("test", limits, zerolog.Nop()), address: ln.Addr().String()}
	e, srv := &Echo{make(chan struct{})}, rpc.NewServer()
	if err := srv.Register(e); err != nil {
		t.Fatal(err)
	}
	go func() {
		for l := s.port.Listener(ln); ; {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go s.port.ServeRPC(srv, conn)
		}
	}()
	return s, e
}

func (s *testServer) dialRPC() *rpc.Client {
	s.t.Helper()
	c, err := rpc.Dial("tcp", s.address)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { c.Close() })
	return c
}

func wantLength(t *testing.T, c *rpc.Client, length int) {
	t.Helper()
	var n int
	if err := c.Call("Echo.Length", strings.Repeat("x", length), &n); err != nil || n != length {
		t.Fatalf("length %d, error %v, want %d", n, err, length)
	}
}

// announce returns the length of a gob message that has four bytes.
func announce(length uint32) string {
	return string(binary.BigEndian.AppendUint32([]byte{lengthByteRange - 4}, length))
}

// Guards against messages that are announced or begun, never finished, and take all the
// room for others.
func TestUnfinishedMessagesGiveTheirPlaces(t *testing.T) {
	s, _ := newRPCServer(t, Limits{Connections: 100, RequestBytes: 300 << 10, MessageBytes: 200 << 10})
	ordinary := s.dialRPC()
	wantLength(t, ordinary, 100)
	for range 20 {
		s.dial().send(announce(100<<10) + "begun")
	}
	// A message that is begun later than the ordinary one may take its place.
	waitUntil(t, "all messages are begun", func() bool { return s.unfinished() == 18 }) // there is room for two
	wantLength(t, ordinary, 180<<10)
	wantLength(t, ordinary, 180<<10)
	// Until then its call is being answered, and keeps its place.
	waitUntil(t, "the ordinary connection is idle", func() bool { return s.open(idle) == 1 })
	if s.held() > 300<<10 {
		t.Errorf("%d bytes are held, at most %d are allowed", s.held(), 300<<10)
	}
	wantLength(t, s.dialRPC(), 180<<10)
}

// Guards against a message of any length.
func TestMessageAboveTheLimit(t *testing.T) {
	s, _ := newRPCServer(t, Limits{Connections: 100, RequestBytes: 1 << 20, MessageBytes: 200 << 10})
	for _, start := range []string{announce(200<<10 + 1), string([]byte{0xF8, 0xFF, 0xFF, 0xFF, 0xFF, 0xFF, 0xFF, 0xFF, 0xFF}), "\x80"} {
		c := s.dial()
		c.send(start)
		if _, err := c.in.ReadByte(); err == nil {
			t.Errorf("message that begins with %x was answered", start)
		}
	}
	wantLength(t, s.dialRPC(), 100)
}

// Guards against calls in progress whose number nothing bounds, and against a port that
// keeps counting them afterwards.
func TestCallsInProgressAreCounted(t *testing.T) {
	s, e := newRPCServer(t, Limits{Connections: 100, RequestBytes: 20 * callBytes, MessageBytes: 20 * callBytes})
	flood, refused := s.dialRPC(), 0
	calls := make(chan *rpc.Call, 100)
	for range cap(calls) {
		flood.Go("Echo.Wait", "", new(int), calls)
	}
	for range cap(calls) {
		if call := <-calls; call.Error != nil { // the connection is closed
			refused++
		}
	}
	if refused != cap(calls) {
		t.Errorf("%d of %d calls were refused, want all of a connection with too many", refused, cap(calls))
	}
	close(e.release)
	waitUntil(t, "nothing is held", func() bool { return s.held() == 0 })
	wantLength(t, s.dialRPC(), 100)
}

// Guards against a connection between hosts that loses its place while its call is answered.
func TestCallsInProgressKeepTheirPlaces(t *testing.T) {
	s, e := newRPCServer(t, Limits{Connections: 4, RequestBytes: 1 << 20, MessageBytes: 1 << 20})
	caller := s.dialRPC()
	call := caller.Go("Echo.Wait", "", new(int), nil)
	waitUntil(t, "the call is in progress", func() bool { return s.open(answering) == 1 })
	for range 20 {
		s.dial()
	}
	wantLength(t, s.dialRPC(), 100)
	close(e.release)
	if <-call.Done; call.Error != nil {
		t.Errorf("the call failed: %v", call.Error)
	}
}
