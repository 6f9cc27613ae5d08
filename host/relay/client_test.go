package relay

import (
	"context"
	"net"
	"net/rpc"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"gooseberrypond/host/dispatcher"
)

// fakeControl answers Info when the test allows it.
type fakeControl struct {
	entered, release chan struct{}
}

func (f *fakeControl) Info(_ *None, r *Info) error {
	f.entered <- struct{}{}
	<-f.release
	r.Hosts, r.Members = []string{"127.0.0.1:1"}, []string{"a", "b", "c"}
	return nil
}

func serveFake(t *testing.T, f *fakeControl) string { return serveControl(t, f) }

// serveControl serves the calls of a control host on a local address.
func serveControl(t *testing.T, f any) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	srv := rpc.NewServer()
	if err := srv.RegisterName(serviceName, f); err != nil {
		t.Fatal(err)
	}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go srv.ServeConn(conn)
		}
	}()
	return ln.Addr().String()
}

func newTestClient(address string) *Client {
	return NewClient(func() []string { return []string{address} }, zerolog.Nop())
}

// Guards against a reply that is read while net/rpc still decodes a late answer
// into it: the call ends first, and the answer arrives at the same moment as the
// caller reads what it got. The race detector reports such a read.
func TestLateAnswerIsNotReadByItsCaller(t *testing.T) {
	f := &fakeControl{entered: make(chan struct{}, 1), release: make(chan struct{}, 1)}
	c := newTestClient(serveFake(t, f))
	address := c.seeds()[0]
	for range 200 {
		ctx, cancel := context.WithCancel(context.Background())
		go func() {
			<-f.entered
			f.release <- struct{}{}
			cancel()
		}()
		info, err := callHost[Info](ctx, c, address, "Info", &None{}, nil)
		if err != nil && (len(info.Hosts) != 0 || len(info.Members) != 0) {
			t.Fatalf("call that failed with %v returned %+v, want nothing", err, info)
		}
	}
}

// Guards against a check of the leader that hangs on a connection whose peer no
// longer reads: sending blocks once the buffers are full, and no other host is
// asked.
func TestSilentConnectionDoesNotBlockTheCaller(t *testing.T) {
	near, far := net.Pipe() // nobody reads far
	defer far.Close()
	const address = "127.0.0.1:1"
	c := newTestClient(address)
	c.conns[address] = rpc.NewClient(near)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	returned := make(chan error, 1)
	go func() {
		_, err := callHost[Info](ctx, c, address, "Info", &None{}, nil)
		returned <- err
	}()
	select {
	case err := <-returned:
		if !errors.Is(err, context.DeadlineExceeded) {
			t.Fatalf("call on a silent connection returned %v, want the end of its context", err)
		}
	case <-time.After(10 * time.Second):
		t.Fatal("call on a silent connection has not returned after its context ended")
	}
	if c.conns[address] != nil {
		t.Fatal("the silent connection is kept for the next call")
	}
}

// Guards against a process that ends because one call cannot be handled: the call must
// end with an error that leaves its outcome open.
func TestPanicEndsOneCall(t *testing.T) {
	s := &Server{d: dispatcher.New(dispatcher.Config{Logger: zerolog.Nop()}), logger: zerolog.Nop()}
	var missing *JobArgs
	if _, err := s.execute(t.Context(), "Submit", missing); err == nil {
		t.Fatal("a call without arguments succeeded")
	}
}
