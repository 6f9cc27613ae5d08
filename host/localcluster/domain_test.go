package localcluster

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gooseberrypond/core/structs"
	"gooseberrypond/host/config"
)

// domainOutTimeout is the time after which no task may start in a domain that was taken
// out of service.
const domainOutTimeout = 3 * time.Second

// Guards against an isolated host that still lets workers start tasks in domains
// that were taken out of service meanwhile, and against tasks that are lost or run
// twice for that reason. The workers still reach the host. It is either a leader
// that is isolated from the other replicas, or an entry host that is isolated from
// all control hosts.
func TestNoStartThroughIsolatedHost(t *testing.T) {
	t.Run("leader", func(t *testing.T) {
		b := newTestbed(t, 3, 0)
		checkNoStarts(b, b.Settings, func() func(bool) {
			leader := b.leader()
			return func(on bool) { b.SetIsolated(leader, on) }
		})
	})
	t.Run("entry host", func(t *testing.T) {
		b := newTestbed(t, 3, 1)
		isolate := b.behindRelays(3)
		checkNoStarts(b, b.Settings[3:], func() func(bool) { return isolate })
	})
}

// checkNoStarts runs tasks on workers that use the given hosts, isolates the host
// that choose selects, and takes all domains out of service.
func checkNoStarts(b *testbed, hosts []*config.Settings, choose func() (isolate func(bool))) {
	t := b.t
	cl := b.Client()
	b.putCatalogue(cl)
	b.startWorkers(6, hosts)
	var starts atomic.Int64
	b.Ledger.OnStart(func(structs.TaskID, time.Time) { starts.Add(1) })
	var jobs []structs.JobID
	submit := func(n int) {
		for range n {
			spec := structs.JobSpec{Entry: "report", Kind: structs.KindBatch, Payload: []byte(`{"run_ms":50}`)}
			job := structs.SubmitJob{Owner: "dev", Key: fmt.Sprint("k", len(jobs)), Spec: spec}
			res := retry(b, func() (structs.SubmitResult, error) { return cl.Submit(b.ctx, job) })
			jobs = append(jobs, res.Job)
		}
	}
	submit(20)
	b.waitUntil("tasks have started", func() bool { return starts.Load() > 0 })
	isolate := choose()
	isolate(true)
	b.leader() // waits for a leader that is not isolated
	setDomains := func(out bool) {
		for i := range 3 {
			c := structs.SetDomain{ChangeID: fmt.Sprint("d", i, out), Domain: fmt.Sprint("d", i+1), Out: out}
			if res := retry(b, func() (*structs.ChangeResult, error) { return cl.SetDomain(b.ctx, c) }); !res.Accepted {
				t.Fatalf("change of a domain was refused: %+v", res)
			}
		}
	}
	setDomains(true)
	accepted := time.Now()
	submit(20) // none of these can be placed
	b.waitUntil("the time limit for starts has passed", func() bool { return time.Since(accepted) > domainOutTimeout })
	before := starts.Load()
	submit(20)
	isolate(false)
	submit(20) // the host is no longer isolated
	b.waitUntil("the time limit for starts has passed again", func() bool { return time.Since(accepted) > 2*domainOutTimeout })
	if n := starts.Load(); n != before {
		t.Errorf("%d tasks started later than %v after all domains were taken out of service", n-before, domainOutTimeout)
	}
	setDomains(false)
	for _, id := range jobs {
		if view := b.waitFinished(cl, id); view.Job.Status != structs.StatusDone || b.Ledger.Finished(structs.TaskID{Job: id}) != 1 {
			t.Errorf("job %s: %+v, finished %d times, want done and finished once", id, view, b.Ledger.Finished(structs.TaskID{Job: id}))
		}
	}
	if v := b.Ledger.Violations(); len(v) > 0 {
		t.Error(v)
	}
}

// Guards against a graceful stop of the leader's host that interrupts requests in
// flight on that host or on another one, with and without an idempotency key.
func TestLeaderDrainFinishesRequests(t *testing.T) {
	b := newTestbed(t, 3, 0)
	cl := b.Client()
	put := &structs.PutCatalogue{ChangeID: "first", Catalogue: runCatalogue()}
	retry(b, func() (*structs.ChangeResult, error) { return cl.ApplyCatalogue(b.ctx, put) })
	var arrived atomic.Int64
	release := make(chan struct{})
	var once sync.Once
	releaseRequests := func() { once.Do(func() { close(release) }) }
	defer releaseRequests()
	warmingUp := atomic.Bool{}
	warmingUp.Store(true)
	b.announceUpstream("u1", "d1", func(w http.ResponseWriter, _ *http.Request) {
		if !warmingUp.Load() {
			arrived.Add(1)
			<-release
		}
		_, _ = w.Write([]byte("hello"))
	})
	for host := range 3 {
		b.waitUntil("requests succeed", func() bool { status, _ := b.sendRequest(host, ""); return status == http.StatusOK })
	}
	warmingUp.Store(false)
	var wg sync.WaitGroup
	leader := b.leader()
	for i := range 6 {
		host, key := leader, ""
		if i%2 == 1 {
			key = fmt.Sprint("key", i)
		}
		if i >= 4 {
			host = (leader + 1) % 3
		}
		wg.Go(func() {
			if status, refused := b.sendRequest(host, key); status != http.StatusOK {
				t.Errorf("request %d in flight: status %d, %+v", i, status, refused)
			}
		})
	}
	b.waitUntil("all requests are in flight", func() bool { return arrived.Load() == 6 })
	drained := make(chan error, 1)
	node := b.Nodes[leader]
	go func() { drained <- node.Drain(b.ctx) }()
	b.waitUntil("the host refuses new work", func() bool { status, _ := b.sendRequest(leader, ""); return status != http.StatusOK })
	select {
	case err := <-drained:
		t.Errorf("drain ended while requests were in flight: %v", err)
	default:
	}
	releaseRequests()
	wg.Wait()
	if err := <-drained; err != nil {
		t.Error(err)
	}
	b.Nodes[leader] = nil
	b.waitUntil("the other hosts serve requests", func() bool { status, _ := b.sendRequest((leader+1)%3, ""); return status == http.StatusOK })
}
