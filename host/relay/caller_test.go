package relay

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"gooseberrypond/core/graph"
	"gooseberrypond/host/dispatcher"
)

// slowLeader answers submissions when the test allows it.
type slowLeader struct{ entered, release chan struct{} }

func (f *slowLeader) Submit(_ *JobArgs, r *Reply) error {
	f.entered <- struct{}{}
	<-f.release
	r.Code = dispatcher.Done
	return nil
}

func clientOfSlowLeader(t *testing.T) (*Client, *slowLeader) {
	f := &slowLeader{entered: make(chan struct{}, 10), release: make(chan struct{}, 10)}
	t.Cleanup(func() { close(f.release) })
	address := serveControl(t, f)
	c := NewClient(func() []string { return []string{address} }, zerolog.Nop())
	c.setLeader(address, Info{Term: 1})
	return c, f
}

// Guards against a caller that leaves or runs out of time and takes the host's leader and
// the connection to it with it: all other calls in flight there then end with an unknown
// outcome.
func TestCallerThatLeavesDoesNotEndOtherCalls(t *testing.T) {
	deadline := func() (context.Context, context.CancelFunc) {
		return context.WithTimeout(context.Background(), 100*time.Millisecond)
	}
	leave := func() (context.Context, context.CancelFunc) {
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(100*time.Millisecond, cancel)
		return ctx, cancel
	}
	for name, end := range map[string]func() (context.Context, context.CancelFunc){"deadline": deadline, "leave": leave} {
		t.Run(name, func(t *testing.T) {
			c, f := clientOfSlowLeader(t)
			type result struct {
				a   dispatcher.Answer
				err error
			}
			other := make(chan result, 1)
			go func() {
				a, err := c.Submit(t.Context(), graph.KeyHash{}, "h", "/q/1", graph.Spec{})
				other <- result{a, err}
			}()
			<-f.entered
			ctx, cancel := end()
			defer cancel()
			if _, err := c.Submit(ctx, graph.KeyHash{}, "h", "/q/2", graph.Spec{}); !errors.Is(err, ErrNoAnswer) {
				t.Fatalf("a call that was sent and not answered returned %v, want that its outcome is unknown", err)
			}
			if c.Leader() == "" {
				t.Error("the leader counts as lost because a caller has gone")
			}
			f.release <- struct{}{}
			f.release <- struct{}{}
			if r := <-other; r.err != nil || r.a.Code != dispatcher.Done {
				t.Errorf("the other call returned %v, %v, want its answer", r.a.Code, r.err)
			}
		})
	}
}

// Guards against an answer that leaves the outcome open although nothing was sent.
func TestCallWithoutTimeIsNotSent(t *testing.T) {
	c, f := clientOfSlowLeader(t)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if _, err := c.Submit(ctx, graph.KeyHash{}, "h", "/q/1", graph.Spec{}); !errors.Is(err, ErrTooLate) {
		t.Fatalf("a call without time left returned %v, want %v", err, ErrTooLate)
	}
	if len(f.entered) != 0 {
		t.Fatal("a call without time left was sent")
	}
}
