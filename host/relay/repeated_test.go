package relay

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"gooseberrypond/core/graph"
	"gooseberrypond/host/dispatcher"
)

// scriptedLeader gives each call the next answer of its script. An answer without a code
// is held back until the test ends.
type scriptedLeader struct {
	script  chan dispatcher.Answer
	entered chan struct{}
	ended   <-chan struct{}
}

func (f *scriptedLeader) next(r *Reply) error {
	a := <-f.script
	f.entered <- struct{}{}
	if a.Code == 0 {
		<-f.ended
	}
	r.Answer = a
	return nil
}

func (f *scriptedLeader) Submit(_ *JobArgs, r *Reply) error       { return f.next(r) }
func (f *scriptedLeader) Cancel(_ *JobArgs, r *Reply) error       { return f.next(r) }
func (f *scriptedLeader) PutConfig(_ *ConfigArgs, r *Reply) error { return f.next(r) }
func (f *scriptedLeader) SetDomain(_ *DomainArgs, r *Reply) error { return f.next(r) }
func (f *scriptedLeader) Leave(_ *LeaveArgs, r *Reply) error      { return f.next(r) }
func (f *scriptedLeader) Beats(_ *BeatsArgs, r *Reply) error      { return f.next(r) }

// calls are the calls that change something.
var calls = map[string]func(context.Context, *Client) (dispatcher.Answer, error){
	"submit": func(ctx context.Context, c *Client) (dispatcher.Answer, error) {
		return c.Submit(ctx, graph.KeyHash{}, "h", "/q/1", graph.Spec{})
	},
	"cancel": func(ctx context.Context, c *Client) (dispatcher.Answer, error) {
		return c.Cancel(ctx, graph.KeyHash{}, "h", "/q/1")
	},
	"put config": func(ctx context.Context, c *Client) (dispatcher.Answer, error) {
		return c.PutConfig(ctx, &graph.Config{})
	},
	"set domain": func(ctx context.Context, c *Client) (dispatcher.Answer, error) { return c.SetDomain(ctx, "z", true) },
	"leave":      func(ctx context.Context, c *Client) (dispatcher.Answer, error) { return c.Leave(ctx, "w") },
	"beat": func(ctx context.Context, c *Client) (dispatcher.Answer, error) {
		return c.Beat(ctx, graph.WorkerReport{ID: "w"})
	},
}

// clientOfScript returns a client of a scripted leader, which serves at two addresses.
func clientOfScript(t *testing.T) (c *Client, f *scriptedLeader, addresses []string) {
	ended := make(chan struct{})
	t.Cleanup(func() { close(ended) })
	f = &scriptedLeader{script: make(chan dispatcher.Answer, 2), entered: make(chan struct{}, 2), ended: ended}
	addresses = []string{serveControl(t, f), serveControl(t, f)}
	c = NewClient(func() []string { return addresses }, zerolog.Nop())
	c.setLeader(addresses[0], Info{Term: 1})
	return c, f, addresses
}

// answersOf returns an answer of each code that a leader gives, and one that this version
// does not know.
func answersOf() []dispatcher.Answer {
	answers := []dispatcher.Answer{{Code: 200}, {Code: dispatcher.NoJob, Settled: true}}
	for code := dispatcher.Done; code <= dispatcher.Withdrawn; code++ {
		if code != dispatcher.NotLeader {
			answers = append(answers, dispatcher.Answer{Code: code})
		}
	}
	return answers
}

// Guards against a caller that is told that its call was refused although an earlier
// attempt of it, which was sent and not answered, took effect. A call that was sent once
// gets its leader's answer as it is.
func TestRefusalAfterAnUnansweredAttempt(t *testing.T) {
	for name, call := range calls {
		for _, want := range answersOf() {
			t.Run(fmt.Sprintf("%s/%s/%t", name, want.Code, want.Settled), func(t *testing.T) {
				c, f, addresses := clientOfScript(t)
				f.script <- want
				if a, err := call(t.Context(), c); err != nil || a.Code != want.Code {
					t.Errorf("first attempt answered %s, the caller was told %s, %v", want.Code, a.Code, err)
				}
				<-f.entered
				f.script <- dispatcher.Answer{}
				f.script <- want
				go func() {
					<-f.entered
					c.setLeader(addresses[1], Info{Term: 2})
				}()
				a, err := call(t.Context(), c)
				if want.Code == dispatcher.Done || want.Settled {
					if err != nil || a.Code != want.Code {
						t.Errorf("second attempt answered %s for good, the caller was told %s, %v", want.Code, a.Code, err)
					}
				} else if !errors.Is(err, ErrNoAnswer) {
					t.Errorf("second attempt answered %s, the caller was told %s, %v; want that the outcome is unknown", want.Code, a.Code, err)
				}
			})
		}
	}
}

// Guards against calls that lose a leader which has just been found again, at the same
// host in another term: all calls in flight there then end, and are repeated, once more.
func TestLeaderFoundAgainIsKept(t *testing.T) {
	c, f, addresses := clientOfScript(t)
	f.script <- dispatcher.Answer{}
	f.script <- dispatcher.Answer{Code: dispatcher.Done}
	go func() {
		<-f.entered
		c.setLeader(addresses[0], Info{Term: 2})
	}()
	if a, err := calls["submit"](t.Context(), c); err != nil || a.Code != dispatcher.Done {
		t.Errorf("the caller was told %s, %v, want done", a.Code, err)
	}
	if c.Leader() != addresses[0] {
		t.Errorf("the leader is %q, want the host that was found again", c.Leader())
	}
}

// failingLeader fails in the called method.
type failingLeader struct{ calls int }

func (f *failingLeader) Submit(*JobArgs, *Reply) error {
	f.calls++
	return errors.New("internal error")
}

// Guards against a call that failed in its method and counts as not sent: it may be in the
// log. The leader is not lost by it, since that would end the calls of others.
func TestFailedMethodLeavesTheOutcomeOpen(t *testing.T) {
	f := &failingLeader{}
	address := serveControl(t, f)
	c := NewClient(func() []string { return []string{address} }, zerolog.Nop())
	c.setLeader(address, Info{Term: 1})
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	if _, err := c.Submit(ctx, graph.KeyHash{}, "h", "/q/1", graph.Spec{}); !errors.Is(err, ErrNoAnswer) {
		t.Errorf("the caller was told %v, want that the outcome is unknown", err)
	}
	if f.calls != 1 || c.Leader() != address {
		t.Errorf("%d calls, want one; the leader is now %q", f.calls, c.Leader())
	}
}

// As TestFailedMethodLeavesTheOutcomeOpen, on the host that leads.
func TestFailedMethodOnTheOwnHost(t *testing.T) {
	s := &Server{d: dispatcher.New(dispatcher.Config{Logger: zerolog.Nop()}), logger: zerolog.Nop()}
	c := NewClient(func() []string { return nil }, zerolog.Nop())
	c.SetLocal("own", s)
	c.setLeader("own", Info{Term: 1})
	var missing *JobArgs
	if _, err := c.callLeader(t.Context(), "Submit", missing); !errors.Is(err, ErrNoAnswer) {
		t.Errorf("the caller was told %v, want that the outcome is unknown", err)
	}
	if c.Leader() != "own" {
		t.Error("the leader counts as lost because a call failed")
	}
}
