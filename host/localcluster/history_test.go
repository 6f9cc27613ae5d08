package localcluster

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"gooseberrypond/core/structs"
	"gooseberrypond/host/rpc"
)

// input is the input of one operation on the control hosts. Operations on the
// catalogue and operations on each submission key are checked separately.
type input struct {
	key    string // key of a submission; empty for an operation on the catalogue
	change string // id of a catalogue change; empty for a read
	base   uint64 // catalogue version that the change is based on
}

// output is the result of an operation.
type output struct {
	job      structs.JobID
	accepted bool
	version  uint64
	winner   string
}

// modelState is the state of the model: of the catalogue or of one submission key.
type modelState struct {
	version uint64
	winner  string
	job     structs.JobID
}

// model is the sequential specification that the history is checked against.
var model = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, op := range history {
			key := op.Input.(input).key
			byKey[key] = append(byKey[key], op)
		}
		var out [][]porcupine.Operation
		for _, ops := range byKey {
			out = append(out, ops)
		}
		return out
	},
	Init: func() any { return modelState{} },
	Step: func(state, in, out any) (bool, any) {
		s, i, o := state.(modelState), in.(input), out.(output)
		switch {
		case i.key != "":
			ok := s.job == "" || s.job == o.job
			s.job = o.job
			return ok, s
		case i.change == "":
			return s.version == o.version, s
		case s.version == i.base:
			return o.accepted && o.version == i.base+1, modelState{version: i.base + 1, winner: i.change}
		}
		return !o.accepted && o.version == s.version && o.winner == s.winner, s
	},
}

// historyRecorder records the operations of concurrent clients.
type historyRecorder struct {
	start time.Time
	mu    sync.Mutex
	ops   []porcupine.Operation
	done  atomic.Int64
}

func (h *historyRecorder) record(client int, in input, fn func() output) output {
	call := time.Since(h.start).Nanoseconds()
	out := fn()
	op := porcupine.Operation{ClientId: client, Input: in, Call: call, Output: out, Return: time.Since(h.start).Nanoseconds()}
	h.mu.Lock()
	h.ops = append(h.ops, op)
	h.mu.Unlock()
	h.done.Add(1)
	return out
}

// waitOperations waits until n more operations have completed.
func (h *historyRecorder) waitOperations(ctx context.Context, n int64) {
	for until := h.done.Load() + n; h.done.Load() < until; {
		if Pause(ctx) != nil {
			return
		}
	}
}

// Guards against stale reads, lost catalogue changes and duplicate jobs while
// leaders are killed, and while the leader is isolated from the other replicas but
// still reachable for clients.
func TestHistoryIsLinearizable(t *testing.T) {
	b := newTestbed(t, 3, 0)
	b.leader()
	h := &historyRecorder{start: time.Now()}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for n := range 7 {
		cl := b.Client()
		// The last two clients only read. A client stays with a leader for as
		// long as it answers, so these would see stale reads of an isolated one.
		wg.Go(func() { runClient(b, cl, h, n, n >= 5, stop) })
	}
	for range 2 {
		h.waitOperations(b.ctx, 60)
		isolated := b.leader()
		b.SetIsolated(isolated, true)
		b.leader() // waits for a new leader among the others
		h.waitOperations(b.ctx, 60)
		b.SetIsolated(isolated, false)
		h.waitOperations(b.ctx, 60)
		killed := b.leader()
		b.Kill(killed)
		b.leader()
		h.waitOperations(b.ctx, 60)
		b.start(killed)
	}
	close(stop)
	wg.Wait()
	if res := porcupine.CheckOperationsTimeout(model, h.ops, testTimeout); res != porcupine.Ok {
		t.Errorf("linearizability check of %d operations: %v", len(h.ops), res)
	}
}

// runClient alternates reads, catalogue changes based on the last version read,
// and submissions with keys that all clients share.
func runClient(b *testbed, cl *rpc.Client, h *historyRecorder, n int, readOnly bool, stop chan struct{}) {
	var version uint64
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		default:
		}
		if readOnly {
			i = 0
			_ = Pause(b.ctx) // limits the size of the history
		}
		switch i % 3 {
		case 0:
			version = h.record(n, input{}, func() output {
				cat := retry(b, func() (*structs.Catalogue, error) { return cl.Catalogue(b.ctx) })
				return output{version: cat.Version}
			}).version
		case 1:
			in := input{change: fmt.Sprintf("c%d-%d", n, i), base: version}
			h.record(n, in, func() output {
				put := &structs.PutCatalogue{ChangeID: in.change, BaseVersion: in.base, Catalogue: Catalogue()}
				res := retry(b, func() (*structs.ChangeResult, error) { return cl.ApplyCatalogue(b.ctx, put) })
				return output{accepted: res.Accepted, version: res.Version, winner: res.Winner}
			})
		case 2:
			if version == 0 {
				continue // the entry is not in the catalogue yet
			}
			in := input{key: fmt.Sprintf("key-%d", i/6)}
			h.record(n, in, func() output {
				job := structs.SubmitJob{Owner: "dev", Key: in.key, Spec: structs.JobSpec{Entry: "report", Kind: structs.KindBatch}}
				res := retry(b, func() (structs.SubmitResult, error) { return cl.Submit(b.ctx, job) })
				return output{job: res.Job}
			})
		}
	}
}
