package replica

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/cockroachdb/errors"
)

// registerOp is a write of value, or a read if write is false.
type registerOp struct {
	write bool
	value int
}

var registerModel = porcupine.Model{
	Init: func() any { return 0 },
	Step: func(state, in, out any) (bool, any) {
		op := in.(registerOp)
		if op.write {
			return true, op.value
		}
		return out == state, state
	},
}

// history records the operations of the clients.
type history struct {
	mu    sync.Mutex
	start time.Time
	ops   []porcupine.Operation
}

func (h *history) now() int64 { return int64(time.Since(h.start)) }

// add records an operation. One with an unknown outcome gets no end time, since it
// may take effect at any time after its call.
func (h *history) add(client int, op registerOp, call int64, out int, known bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	end := int64(1 << 60)
	if known {
		end = h.now()
	}
	h.ops = append(h.ops, porcupine.Operation{ClientId: client, Input: op, Call: call, Output: out, Return: end})
}

func (h *history) count() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.ops)
}

// hostClock is the clock of a replica whose machine can be suspended.
type hostClock struct {
	mu        sync.Mutex
	suspended bool
	last      time.Time
}

func (c *hostClock) now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.suspended {
		c.last = time.Now()
	}
	return c.last
}

func (c *hostClock) suspend(suspended bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.suspended = suspended
}

// Guards against stale reads, lost writes and refused writes that take effect
// nevertheless, while leaders are stopped, partitioned, suspended together with their
// clocks or transferred, voters are replaced, and messages are lost. The result depends
// only on the order of events, not on their timing.
func TestLinearizable(t *testing.T) {
	clocks := map[string]*hostClock{}
	g := newTestGroup(t, 3, func(c *Config) {
		if clocks[c.ID] == nil {
			clocks[c.ID] = &hostClock{}
		}
		c.SnapshotEntries, c.SnapshotInterval, c.Now = 20, 1, clocks[c.ID].now
	})
	g.net.withLock(func() { g.net.loss, g.net.delay = 0.02, 5*time.Millisecond })
	h := &history{start: time.Now()}
	var clients sync.WaitGroup
	stop := make(chan struct{})
	for c := range 5 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			runClient(g, h, c, stop)
		}()
	}
	for i := range 12 {
		before := h.count()
		await(g.ctx, t, "operations between faults", func() bool { return h.count() >= before+60 })
		injectFault(g, h, clocks, i)
	}
	close(stop)
	clients.Wait()
	t.Logf("%d operations", len(h.ops))
	switch porcupine.CheckOperationsTimeout(registerModel, h.ops, testTimeout) {
	case porcupine.Illegal:
		t.Fatal("history is not linearizable")
	case porcupine.Unknown:
		t.Fatal("the check for linearizability timed out")
	}
}

// injectFault brings about one fault, chosen by n, and ends it.
func injectFault(g *testGroup, h *history, clocks map[string]*hostClock, n int) {
	leader := g.leader()
	id := leader.cfg.ID
	switch n % 5 {
	case 0:
		g.stop(id)
		g.leader()
		g.start(id, nil) // its folder has its members
	case 1:
		ctx, cancel := context.WithTimeout(g.ctx, time.Second)
		defer cancel()
		if err := leader.TransferLeadership(ctx); err != nil {
			g.t.Logf("transfer: %v", err) // it may fail while messages are lost
		}
	case 2:
		replaceVoter(g, id, fmt.Sprint("n", n))
	default:
		clocks[id].suspend(n%5 == 4)
		g.net.withLock(func() { g.net.partition[id] = 1 })
		await(g.ctx, g.t, "another leader", func() bool { return anotherLeads(g, id) })
		during := h.count()
		await(g.ctx, g.t, "operations during the fault", func() bool { return h.count() >= during+20 })
		g.net.withLock(func() { g.net.partition[id] = 0 })
		clocks[id].suspend(false)
	}
}

// anotherLeads reports whether a replica other than the given one holds the lease. A
// suspended leader believes that it does.
func anotherLeads(g *testGroup, id string) bool {
	for _, r := range g.running() {
		if r.cfg.ID != id && r.HoldsLease() {
			return true
		}
	}
	return false
}

// replaceVoter adds a replica, promotes it and removes the given one, which leads.
func replaceVoter(g *testGroup, old, id string) {
	g.start(id, nil)
	member := func(l *Replica, id string) (MemberStatus, bool) {
		for _, m := range l.Status().Members {
			if m.ID == id {
				return m, true
			}
		}
		return MemberStatus{}, false
	}
	g.retry("a replica to be added", func(l *Replica) error {
		if _, ok := member(l, id); ok {
			return nil
		}
		return l.AddLearner(g.ctx, id, id)
	})
	g.retry("a replica to be promoted", func(l *Replica) error {
		if m, _ := member(l, id); m.Voter {
			return nil
		}
		return l.Promote(g.ctx, id)
	})
	g.retry("a replica to be removed", func(l *Replica) error {
		if _, ok := member(l, old); !ok {
			return nil
		}
		return l.Remove(g.ctx, old)
	})
	g.stop(old)
}

func runClient(g *testGroup, h *history, c int, stop chan struct{}) {
	for n := 1; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(rand.IntN(20)) * time.Millisecond):
		}
		rs := g.running()
		if len(rs) == 0 {
			continue
		}
		r := rs[rand.IntN(len(rs))]
		ctx, cancel := context.WithTimeout(g.ctx, 2*time.Second)
		call := h.now()
		if rand.IntN(2) == 0 {
			op := registerOp{write: true, value: c*1_000_000 + n}
			_, err := r.Propose(ctx, write(op.value))
			if err == nil || errors.Is(err, ErrUnknownOutcome) {
				h.add(c, op, call, 0, err == nil)
			}
		} else if r.ReadBarrier(ctx) == nil {
			h.add(c, registerOp{}, call, r.cfg.StateMachine.(*register).get(), true)
		}
		cancel()
	}
}
