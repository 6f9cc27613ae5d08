package replica

import (
	"context"
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

// Guards against stale reads, lost writes and refused writes that take effect
// nevertheless, while leaders are stopped or partitioned and messages are lost.
// The result depends only on the order of events, not on their timing.
func TestLinearizable(t *testing.T) {
	g := newTestGroup(t, 3, func(c *Config) { c.SnapshotEntries, c.SnapshotInterval = 20, 1 })
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
	for range 6 {
		before := h.count()
		await(g.ctx, t, "operations between faults", func() bool { return h.count() >= before+60 })
		injectFault(g)
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

// injectFault stops or partitions the leader, waits for a new leader, and then
// restarts or reconnects the old one.
func injectFault(g *testGroup) {
	id := g.leader().cfg.ID
	if rand.IntN(2) == 0 {
		g.stop(id)
		g.leader()
		g.start(id, g.members)
		return
	}
	g.net.withLock(func() { g.net.partition[id] = 1 })
	await(g.ctx, g.t, "another leader", func() bool { return g.leader().cfg.ID != id })
	g.net.withLock(func() { g.net.partition[id] = 0 })
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
