package arrival

import (
	"context"
	"net"
	"testing"
	"time"
)

// accepted returns both ends of a connection.
func accepted(t *testing.T) (caller, served net.Conn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	if caller, err = net.Dial("tcp", ln.Addr().String()); err != nil {
		t.Fatal(err)
	}
	if served, err = ln.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { caller.Close(); served.Close() })
	return caller, served
}

func waitUntil(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("waited too long until %s", what)
		}
	}
}

// Guards against a caller that has closed its connection and counts as waiting, since what
// it sent before has not been read, or while a read is in progress.
func TestCallerGone(t *testing.T) {
	for _, sent := range []string{"", "request"} {
		caller, served := accepted(t)
		ctx := ConnContext(t.Context(), served)
		if _, err := caller.Write([]byte(sent)); err != nil {
			t.Fatal(err)
		}
		if CallerGone(ctx) {
			t.Errorf("a caller that has sent %q and waits counts as gone", sent)
		}
		caller.Close()
		waitUntil(t, "the caller counts as gone", func() bool { return CallerGone(ctx) })
		if n, _ := served.Read(make([]byte, 100)); n != len(sent) {
			t.Errorf("%d bytes can be read, want %d", n, len(sent))
		}
	}
	caller, served := accepted(t)
	go served.Read(make([]byte, 1))
	time.Sleep(10 * time.Millisecond)
	if PeerGone(served) {
		t.Error("a caller counts as gone while its next bytes are awaited")
	}
	caller.Close()
	waitUntil(t, "the caller counts as gone", func() bool { return PeerGone(served) })
}

// Guards against an age that begins when the process reads the call.
func TestAgeCountsFromTheArrival(t *testing.T) {
	caller, served := accepted(t)
	if _, err := caller.Write([]byte("request")); err != nil {
		t.Fatal(err)
	}
	sent := time.Now()
	ctx := ConnContext(t.Context(), served)
	waitUntil(t, "the call is 200 ms old", func() bool { return Age(ctx) >= 200*time.Millisecond })
	if _, err := caller.Write([]byte("more")); err != nil {
		t.Fatal(err)
	}
	waitUntil(t, "the later bytes count", func() bool { return Age(ctx) < 200*time.Millisecond || time.Since(sent) > 10*time.Second })
	if Age(context.Background()) != 0 || CallerGone(context.Background()) {
		t.Error("a call without a connection has an age, or its caller counts as gone")
	}
}
