package transport

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"io"
	"math/big"
	"net"
	"net/rpc"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gooseberrypond/core/structs"
	"gooseberrypond/store/consensus"
)

// hangLimit is the time after which a test that hangs is failed. No other check
// depends on it.
const hangLimit = 30 * time.Second

// received carries the terms of the messages that a transport delivered.
type received chan uint64

// startTransport starts a transport that is closed at the end of the test.
func startTransport(t *testing.T, cfg RPCConfig) (*RPC, received) {
	t.Helper()
	if cfg.Listen == "" {
		cfg.Listen = "127.0.0.1:0"
	}
	tr, err := NewRPC(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { tr.Close() })
	got := make(received, 1000)
	err = tr.Start(func(_ string, ms []consensus.Message) {
		for _, m := range ms {
			select {
			case got <- m.Term:
			default: // do not block Close after the test has ended
			}
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	return tr, got
}

// sendUntil sends a message repeatedly until one with that term arrives.
func sendUntil(t *testing.T, from *RPC, address string, got received, term uint64) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), hangLimit)
	defer cancel()
	for {
		from.Send("b", address, []consensus.Message{{Term: term}})
		select {
		case x := <-got:
			if x == term {
				return
			}
		case <-time.After(10 * time.Millisecond):
		case <-ctx.Done():
			t.Fatal("message did not arrive")
		}
	}
}

// Guards against a peer that does not reconnect after the other replica was
// restarted or moved to another address.
func TestReconnect(t *testing.T) {
	a, _ := startTransport(t, RPCConfig{ClusterID: "x"})
	b, got := startTransport(t, RPCConfig{ClusterID: "x"})
	sendUntil(t, a, b.Address(), got, 1)
	address := b.Address()
	b.Close()
	a.Send("b", address, []consensus.Message{{Term: 2}})
	_, got = startTransport(t, RPCConfig{ClusterID: "x", Listen: address})
	sendUntil(t, a, address, got, 3)
	c, got := startTransport(t, RPCConfig{ClusterID: "x"})
	sendUntil(t, a, c.Address(), got, 4)
}

// Guards against messages that are delivered out of order on one connection:
// appends would be rejected and sent again.
func TestOrder(t *testing.T) {
	a, _ := startTransport(t, RPCConfig{ClusterID: "x"})
	b, got := startTransport(t, RPCConfig{ClusterID: "x"})
	for i := range uint64(500) {
		a.Send("b", b.Address(), []consensus.Message{{Term: i}})
	}
	for i := range uint64(500) {
		select {
		case x := <-got:
			if x != i {
				t.Fatalf("got message %d, want %d", x, i)
			}
		case <-time.After(hangLimit):
			t.Fatalf("message %d did not arrive", i)
		}
	}
}

// Guards against the delivery of messages from another cluster or with another
// format version.
func TestMismatchIsRefused(t *testing.T) {
	b, got := startTransport(t, RPCConfig{ClusterID: "x"})
	client, err := rpc.Dial("tcp", b.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	for _, x := range []struct {
		e    Envelope
		want string
	}{
		{Envelope{Version: FormatVersion, ClusterID: "x"}, ""},
		{Envelope{Version: FormatVersion, ClusterID: "y"}, `cluster "y"`},
		{Envelope{Version: FormatVersion + 1, ClusterID: "x"}, "version 2"},
	} {
		x.e.Messages = []consensus.Message{{Term: 1}}
		var ack Ack
		if err := client.Call(methodName, &x.e, &ack); err != nil {
			t.Fatal(err)
		}
		if (x.want == "") != (ack.Refused == "") || !strings.Contains(ack.Refused, x.want) {
			t.Fatalf("refused with %q, want %q", ack.Refused, x.want)
		}
		if n := len(got); n != 1 {
			t.Fatalf("%d messages delivered, want only the first", n)
		}
	}
}

// Guards against a replica that accepts connections but never answers, and so
// blocks Send or Close or makes the queue grow without limit.
func TestUnresponsivePeer(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	a, _ := startTransport(t, RPCConfig{ClusterID: "x"})
	for range 3 * queueLimit {
		a.Send("b", ln.Addr().String(), []consensus.Message{{}})
	}
	p := a.peers["b"]
	p.mu.Lock()
	n := len(p.queue)
	p.mu.Unlock()
	if n > queueLimit {
		t.Fatalf("%d messages are queued, limit %d", n, queueLimit)
	}
	a.Close()
}

// Guards against calls so large that they always exceed callTimeout, or that a heartbeat
// behind them comes too late over a link of 1 MiB/s.
func TestCallsAreBounded(t *testing.T) {
	if longest := time.Duration(batchBytes) * time.Second / (1 << 20); longest >= structs.ElectionTimeoutMin {
		t.Errorf("a call takes %v at 1 MiB/s, the shortest election timeout is %v", longest, structs.ElectionTimeoutMin)
	}
	big := consensus.Message{Entries: []consensus.Entry{{Data: make([]byte, batchBytes*3/4)}}}
	p := &peer{wake: make(chan struct{}, 1)}
	p.enqueue("", []consensus.Message{big, big, big})
	for _, want := range []int{2, 1, 0} {
		if _, ms := p.nextBatch(); len(ms) != want {
			t.Fatalf("%d messages in a call, want %d", len(ms), want)
		}
	}
}

// slowLink forwards connections to an address at a rate in bytes a second, and counts them.
type slowLink struct {
	ln    net.Listener
	rate  int
	conns atomic.Int64
}

func newSlowLink(t *testing.T, address string, rate int) *slowLink {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	l := &slowLink{ln: ln, rate: rate}
	go func() {
		for {
			from, err := ln.Accept()
			if err != nil {
				return
			}
			l.conns.Add(1)
			go l.forward(from, address)
		}
	}()
	return l
}

func (l *slowLink) forward(from net.Conn, address string) {
	defer from.Close()
	to, err := net.Dial("tcp", address)
	if err != nil {
		return
	}
	defer to.Close()
	go io.Copy(from, to)
	buf := make([]byte, 8<<10)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		time.Sleep(time.Duration(n) * time.Second / time.Duration(l.rate))
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

// Guards against a replica that never catches up over a slow link, since each call exceeds
// its time-out and its entries are lost.
func TestEntriesOverASlowLink(t *testing.T) {
	a, _ := startTransport(t, RPCConfig{ClusterID: "x"})
	b, got := startTransport(t, RPCConfig{ClusterID: "x"})
	link := newSlowLink(t, b.Address(), 3<<19)
	const messages, bytes = 20, 128 << 10
	for i := range messages {
		a.Send("b", link.ln.Addr().String(), []consensus.Message{{Term: uint64(i + 1), Entries: []consensus.Entry{{Data: make([]byte, bytes)}}}})
	}
	for i := range messages {
		select {
		case term := <-got:
			if term != uint64(i+1) {
				t.Fatalf("message %d arrived, want %d: others were lost", term, i+1)
			}
		case <-time.After(hangLimit):
			t.Fatalf("message %d did not arrive", i+1)
		}
	}
	if n := link.conns.Load(); n != 1 {
		t.Errorf("%d connections were opened, want 1", n)
	}
}

// Guards against a transport that ignores its TLS settings and accepts plaintext
// connections.
func TestTLS(t *testing.T) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	tmpl := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true,
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	pool := x509.NewCertPool()
	pool.AddCert(cert)
	cfg := &tls.Config{
		Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}},
		RootCAs:      pool, ClientCAs: pool, ClientAuth: tls.RequireAndVerifyClientCert,
	}
	a, _ := startTransport(t, RPCConfig{ClusterID: "x", TLS: cfg})
	b, got := startTransport(t, RPCConfig{ClusterID: "x", TLS: cfg})
	sendUntil(t, a, b.Address(), got, 1)
	client, err := rpc.Dial("tcp", b.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	e := Envelope{Version: FormatVersion, ClusterID: "x", Messages: []consensus.Message{{Term: 9}}}
	if err := client.Call(methodName, &e, &Ack{}); err == nil {
		t.Fatal("a plaintext connection was served")
	}
}

// Guards against a group that elects nobody for seconds: a leader gave up, but its messages to
// replicas behind slow links were still queued, ahead of its request for votes, and each that
// arrived counted as contact with a leader.
func TestMessagesOfALeaderThatGaveUpAreNotSent(t *testing.T) {
	p := &peer{wake: make(chan struct{}, 1)}
	for range 300 {
		p.enqueue("a", []consensus.Message{{Kind: consensus.MsgAppend, Term: 3}, {Kind: consensus.MsgSnapshot, Term: 3}})
	}
	p.enqueue("a", []consensus.Message{{Kind: consensus.MsgVoteReply, Term: 3}}) // leaders refuse votes too
	if n := len(p.queue); n != 601 {
		t.Fatalf("%d messages of the leader are queued, want 601", n)
	}
	p.enqueue("a", []consensus.Message{{Kind: consensus.MsgPreVote, Term: 4}})
	_, ms := p.nextBatch()
	if len(ms) != 2 || ms[0].Kind != consensus.MsgVoteReply || ms[1].Kind != consensus.MsgPreVote {
		t.Errorf("the next call carries %d messages, want the refused vote and the request for votes", len(ms))
	}
	p.enqueue("a", []consensus.Message{{Kind: consensus.MsgAppend, Term: 5}}) // it leads again
	if _, ms = p.nextBatch(); len(ms) != 1 {
		t.Errorf("%d messages of the new term are sent, want 1", len(ms))
	}
}
