package relay

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"gooseberrypond/core/dispatch"
	"gooseberrypond/core/graph"
	"gooseberrypond/host/admission"
	"gooseberrypond/host/dispatcher"
	"gooseberrypond/store/replica"
)

// soleLog is the Log of a single replica, which leads. It commits at once.
type soleLog struct {
	d       *dispatcher.Dispatcher
	index   atomic.Uint64
	changes chan replica.LeaderChange
}

func (l *soleLog) Propose(_ context.Context, data []byte) (any, error) {
	return l.d.Apply(l.index.Add(1), data), nil
}

func (l *soleLog) ReadBarrier(context.Context) error          { return nil }
func (l *soleLog) LeaseTerm() (uint64, bool)                  { return 1, true }
func (l *soleLog) LeaderChanges() <-chan replica.LeaderChange { return l.changes }
func (l *soleLog) Hold(context.Context, dispatch.Hold) (*dispatch.HoldReply, error) {
	return nil, errors.New("there are no workers")
}
func (l *soleLog) Order(context.Context, dispatch.Order) dispatch.OrderReply {
	return dispatch.OrderReply{Outcome: dispatch.NotSent}
}
func (l *soleLog) CloseConnections() {}

// startLeader starts the only replica of a group and returns the address of its server.
func startLeader(t *testing.T) (*dispatcher.Dispatcher, string) {
	t.Helper()
	log := &soleLog{changes: make(chan replica.LeaderChange, 1)}
	d := dispatcher.New(dispatcher.Config{Workers: log, Logger: zerolog.Nop(), Limits: dispatch.Limits{LeaseMax: time.Second}})
	log.d = d
	go d.Run(t.Context(), log)
	log.changes <- replica.LeaderChange{Leading: true, Term: 1}
	for !d.Dump().Leading {
		time.Sleep(time.Millisecond)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	port := admission.NewPort("relay", admission.Limits{Connections: 10, RequestBytes: 1 << 20, MessageBytes: 1 << 20}, zerolog.Nop())
	s := &Server{d: d, port: port, group: restartedGroup{}, logger: zerolog.Nop(), ln: port.Listener(ln), conns: map[net.Conn]struct{}{}}
	go s.accept()
	t.Cleanup(func() { s.Close() })
	return d, ln.Addr().String()
}

// cutLink passes bytes on to an address. While it is cut, what is sent there waits, and the
// connection stays open.
type cutLink struct {
	address string
	mu      sync.Mutex
	answers atomic.Int64
}

func newCutLink(t *testing.T, to string) *cutLink {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	l := &cutLink{address: ln.Addr().String()}
	go func() {
		near, err := ln.Accept()
		if err != nil {
			return // the test is over
		}
		far, err := net.Dial("tcp", to)
		if err != nil {
			near.Close()
			return
		}
		go l.pass(far, near, nil)
		l.pass(near, far, &l.answers)
	}()
	return l
}

// pass passes on the bytes of one direction and counts them.
func (l *cutLink) pass(to, from net.Conn, count *atomic.Int64) {
	defer to.Close()
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		l.mu.Lock() // held while the link is cut
		_, err = to.Write(buffer[:n])
		l.mu.Unlock()
		if err != nil && !errors.Is(err, io.EOF) {
			return
		}
		if count != nil {
			count.Add(int64(n))
		}
	}
}

// Guards against an order for a failure domain that a cut holds up on its way to the leader, while
// the operator repeats it at another host and gives a newer one: it arrives last, and would undo
// what was acknowledged.
func TestHeldUpOrderDoesNotUndoNewerOnes(t *testing.T) {
	for _, out := range []bool{false, true} {
		d, address := startLeader(t)
		link := newCutLink(t, address)
		far := NewClient(func() []string { return nil }, zerolog.Nop())
		far.setLeader(link.address, Info{Term: 1})
		near := NewClient(func() []string { return nil }, zerolog.Nop())
		near.setLeader(address, Info{Term: 1})
		order := func(c *Client, patience time.Duration, out bool) bool {
			ctx, cancel := context.WithTimeout(t.Context(), patience)
			defer cancel()
			a, err := c.SetDomain(ctx, "z", out)
			return err == nil && a.Code == dispatcher.Done
		}
		if !order(near, 20*time.Second, !out) {
			t.Fatal("setup: no order was acknowledged")
		}
		link.mu.Lock()
		if order(far, 200*time.Millisecond, out) {
			t.Fatal("setup: an order was acknowledged although the link is cut")
		}
		if !order(near, 20*time.Second, out) || !order(near, 20*time.Second, !out) {
			t.Fatal("the repeated order or the newer one was not acknowledged")
		}
		link.mu.Unlock()
		for deadline := time.Now().Add(20 * time.Second); link.answers.Load() == 0; time.Sleep(time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatal("the leader has not answered to the order that was held up")
			}
		}
		data, err := d.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		tables, err := graph.Decode(data)
		if err != nil {
			t.Fatal(err)
		}
		if tables.DomainOut("z") == out {
			t.Errorf("the order with out=%t, which was held up, has undone a newer one", out)
		}
	}
}
