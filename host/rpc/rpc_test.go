package rpc

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"gooseberrypond/core/structs"
	"gooseberrypond/host/admission"
)

// testTimeout bounds the calls of a test, so that a failing test ends instead of
// hanging.
const testTimeout = 30 * time.Second

// fakeControl implements the calls that the tests make. All other calls panic,
// because the embedded Control is nil.
type fakeControl struct {
	Control
	leading atomic.Bool
	calls   atomic.Int64
	submit  func(ctx context.Context) (structs.SubmitResult, error)
	sync    func(ctx context.Context) (*structs.EntryView, error)
	change  func(ctx context.Context) error
	read    func(ctx context.Context) error
}

func (f *fakeControl) Submit(ctx context.Context, _ structs.SubmitJob) (structs.SubmitResult, error) {
	f.calls.Add(1)
	if !f.leading.Load() {
		return structs.SubmitResult{}, structs.Errorf(structs.CodeNotLeader, "test", "follower").WithOutcome(structs.OutcomeNotRun)
	}
	return f.submit(ctx)
}

func (f *fakeControl) Sync(ctx context.Context, _ *structs.EntrySync) (*structs.EntryView, error) {
	f.calls.Add(1)
	return f.sync(ctx)
}

// doChange serves the calls that change something and give no result.
func (f *fakeControl) doChange(ctx context.Context) error {
	f.calls.Add(1)
	return f.change(ctx)
}

func (f *fakeControl) Cancel(ctx context.Context, _ structs.CancelJob) error  { return f.doChange(ctx) }
func (f *fakeControl) Complete(ctx context.Context, _ structs.Complete) error { return f.doChange(ctx) }
func (f *fakeControl) Announce(ctx context.Context, _ structs.Upstream) error { return f.doChange(ctx) }
func (f *fakeControl) MemberChange(ctx context.Context, _ structs.MemberRequest) error {
	return f.doChange(ctx)
}

func (f *fakeControl) GetJob(ctx context.Context, _ GetJob) (*structs.JobView, error) {
	f.calls.Add(1)
	return &structs.JobView{}, f.read(ctx)
}

// serveFakes starts a server for each fake. hint is the leader's id that followers
// return.
func serveFakes(t *testing.T, hint string, fakes ...*fakeControl) []Peer {
	t.Helper()
	var peers []Peer
	for i, f := range fakes {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		port := newTestPort()
		s := NewServer("c", f, func() string { return hint }, port)
		go s.Serve(port.Listener(l), nil)
		t.Cleanup(func() { l.Close(); s.Close() })
		peers = append(peers, Peer{ID: string(rune('a' + i)), Address: l.Addr().String()})
	}
	return peers
}

func newTestPort() *admission.Port {
	return admission.NewPort("control", admission.Limits{Connections: 100, RequestBytes: 1 << 20, MessageBytes: 1 << 20}, zerolog.Nop())
}

func newTestClient(t *testing.T, cluster string, peers []Peer) (*Client, context.Context) {
	c := NewClient(ClientConfig{Cluster: cluster, Host: "h", Peers: peers})
	t.Cleanup(func() { c.Close() })
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	return c, ctx
}

// Guards against a client that stays with a follower instead of following its
// hint to the leader, or that leaves the leader once it has found it.
func TestClientFindsAndKeepsLeader(t *testing.T) {
	a, b, c := &fakeControl{}, &fakeControl{}, &fakeControl{}
	c.leading.Store(true)
	c.submit = func(context.Context) (structs.SubmitResult, error) { return structs.SubmitResult{Job: "j"}, nil }
	client, ctx := newTestClient(t, "c", serveFakes(t, "c", a, b, c))
	for range 5 {
		if res, err := client.Submit(ctx, structs.SubmitJob{}); err != nil || res.Job != "j" {
			t.Fatalf("Submit = %+v, %v", res, err)
		}
	}
	if n := a.calls.Load() + b.calls.Load(); n > 1 {
		t.Errorf("followers were called %d times, want at most once", n)
	}
}

// Guards against losing the result of a call with a key for good when the
// connection breaks during the call: the call must be retried. Also guards against
// retrying a numbered sync, which must not be retried.
func TestKeyedCallIsRetriedSyncIsNot(t *testing.T) {
	a := &fakeControl{}
	a.leading.Store(true)
	var client *Client
	broken := func(ctx context.Context) { // the connection breaks while the call runs
		client.mu.Lock()
		conn := client.conns[0]
		client.mu.Unlock()
		conn.rpc.Close()
		<-ctx.Done()
	}
	a.submit = func(ctx context.Context) (structs.SubmitResult, error) {
		if a.calls.Load() == 1 {
			broken(ctx)
		}
		return structs.SubmitResult{Job: "j"}, nil
	}
	a.sync = func(ctx context.Context) (*structs.EntryView, error) {
		broken(ctx)
		return &structs.EntryView{}, nil
	}
	client, ctx := newTestClient(t, "c", serveFakes(t, "a", a))
	if res, err := client.Submit(ctx, structs.SubmitJob{}); err != nil || res.Job != "j" || a.calls.Load() != 2 {
		t.Errorf("Submit = %+v, %v after %d calls, want success at the second", res, err, a.calls.Load())
	}
	a.calls.Store(0)
	_, err := client.Sync(ctx, &structs.EntrySync{})
	var e *structs.Error
	if !errors.As(err, &e) || e.Outcome != structs.OutcomeUnknown || e.Step == "" || e.Peer == "" || a.calls.Load() != 1 {
		t.Errorf("Sync error = %v after %d calls, want an unknown outcome after 1 call", err, a.calls.Load())
	}
}

// Guards against hosts of different clusters, or with different message formats,
// changing each other's state: such calls must be refused.
func TestOtherClusterIsRefused(t *testing.T) {
	a := &fakeControl{}
	a.leading.Store(true)
	peers := serveFakes(t, "a", a)
	client, ctx := newTestClient(t, "other", peers)
	_, err := client.Submit(ctx, structs.SubmitJob{})
	var e *structs.Error
	if !errors.As(err, &e) || e.Code != structs.CodeVersionMismatch || e.Outcome != structs.OutcomeNotRun {
		t.Errorf("call from another cluster: %v, want version_mismatch", err)
	}
	s := NewServer("c", a, func() string { return "" }, newTestPort())
	if err := s.check(Header{Cluster: "c", Format: FormatVersion + 1}); err == nil {
		t.Error("another message format was accepted")
	}
	if a.calls.Load() != 0 {
		t.Error("a refused call was passed to the control role")
	}
}

// Guards against an error without an outcome and a retry time while no control
// host can be reached. Nothing was sent, so the work has certainly not run.
func TestNoLeaderOutcome(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.Close() // connections are refused from now on
	client, _ := newTestClient(t, "c", []Peer{{ID: "a", Address: l.Addr().String()}})
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	_, err = client.Submit(ctx, structs.SubmitJob{})
	var e *structs.Error
	if !errors.As(err, &e) || e.Code != structs.CodeNoLeader || e.Outcome != structs.OutcomeNotRun || e.RetryAfterMS == 0 {
		t.Errorf("Submit error = %v, want no_leader with outcome not_run and a retry time", err)
	}
}

// Guards against a client that forgets the presumed leader whenever a caller
// cancels a long-running call: every next call would first go to a follower.
func TestCancelledCallKeepsLeader(t *testing.T) {
	a, b := &fakeControl{}, &fakeControl{}
	b.leading.Store(true)
	running := make(chan struct{})
	b.submit = func(ctx context.Context) (structs.SubmitResult, error) { return structs.SubmitResult{}, nil }
	b.sync = func(ctx context.Context) (*structs.EntryView, error) {
		close(running)
		<-ctx.Done()
		return nil, ctx.Err()
	}
	client, ctx := newTestClient(t, "c", serveFakes(t, "b", a, b))
	if _, err := client.Submit(ctx, structs.SubmitJob{}); err != nil {
		t.Fatal(err)
	}
	followers := a.calls.Load()
	held, cancel := context.WithCancel(ctx)
	go func() { <-running; cancel() }()
	if _, err := client.Sync(held, &structs.EntrySync{}); err == nil {
		t.Error("a cancelled call succeeded")
	}
	if _, err := client.Submit(ctx, structs.SubmitJob{}); err != nil || a.calls.Load() != followers {
		t.Errorf("Submit error = %v; %d calls to the follower, want 0", err, a.calls.Load()-followers)
	}
}

// Guards against a caller that is told that its call has certainly not run although an
// earlier attempt of it, which was sent and not answered, took effect. A read has no
// effect, so its answer holds, and so does the refusal of a first attempt.
func TestRefusalAfterAnUnansweredAttempt(t *testing.T) {
	refusal := structs.Errorf(structs.CodeNotFound, "test", "not there").WithOutcome(structs.OutcomeNotRun)
	calls := map[string]func(context.Context, *Client) error{
		"submit": func(ctx context.Context, c *Client) error {
			_, err := c.Submit(ctx, structs.SubmitJob{})
			return err
		},
		"cancel":   func(ctx context.Context, c *Client) error { return c.Cancel(ctx, structs.CancelJob{}) },
		"complete": func(ctx context.Context, c *Client) error { return c.Complete(ctx, structs.Complete{}) },
		"announce": func(ctx context.Context, c *Client) error { return c.Announce(ctx, structs.Upstream{}) },
		"member":   func(ctx context.Context, c *Client) error { return c.MemberChange(ctx, structs.MemberRequest{}) },
		"get job": func(ctx context.Context, c *Client) error {
			_, err := c.GetJob(ctx, GetJob{})
			return err
		},
	}
	for name, call := range calls {
		for _, lost := range []bool{false, true} {
			a := &fakeControl{}
			a.leading.Store(true)
			var client *Client
			a.change = func(ctx context.Context) error {
				if lost && a.calls.Load() == 1 {
					client.mu.Lock()
					conn := client.conns[0]
					client.mu.Unlock()
					conn.rpc.Close()
					<-ctx.Done()
				}
				return refusal
			}
			a.read = a.change
			a.submit = func(ctx context.Context) (structs.SubmitResult, error) { return structs.SubmitResult{}, a.change(ctx) }
			var ctx context.Context
			client, ctx = newTestClient(t, "c", serveFakes(t, "a", a))
			want := refusal
			if lost && name != "get job" {
				want = structs.Errorf(structs.CodeNoLeader, "", "").WithOutcome(structs.OutcomeUnknown).WithRetryAfter(1)
			}
			var e *structs.Error
			if err := call(ctx, client); !errors.As(err, &e) || e.Code != want.Code || e.Outcome != want.Outcome || (e.RetryAfterMS > 0) != (want.RetryAfterMS > 0) {
				t.Errorf("%s, first answer lost %t: %v, outcome %q; want %s, %q", name, lost, err, e.Outcome, want.Code, want.Outcome)
			}
		}
	}
}
