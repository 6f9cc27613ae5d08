package localcluster

import (
	"fmt"
	"sync"
	"testing"

	"gooseberrypond/core/structs"
	"gooseberrypond/host/rpc"
)

// Guards against lost answers, lost changes, duplicate jobs and tasks that run twice
// after the loss of a leader. The leader is killed twice while clients submit jobs and
// change the catalogue; every call is repeated until it succeeds.
func TestLeaderLossDuringSubmits(t *testing.T) {
	const clients, jobsEach, changes = 6, 15, 12
	b := newTestbed(t, 3, 0)
	b.putCatalogue(b.Client())
	b.Workers(6)

	var wg sync.WaitGroup
	var mu sync.Mutex
	ids := map[string]map[structs.JobID]bool{}
	progress := make(chan struct{}, clients*jobsEach)
	for n := range clients {
		cl := b.Client()
		wg.Go(func() {
			for j := range jobsEach {
				key := fmt.Sprintf("c%d-%d", n, j)
				job := structs.SubmitJob{Owner: "dev", Key: key, Spec: structs.JobSpec{Entry: "report", Kind: structs.KindBatch, Payload: []byte(`{"run_ms":20}`)}}
				for range 2 { // the second submission is a resend
					res := retry(b, func() (structs.SubmitResult, error) { return cl.Submit(b.ctx, job) })
					mu.Lock()
					if ids[key] == nil {
						ids[key] = map[structs.JobID]bool{}
					}
					ids[key][res.Job] = true
					mu.Unlock()
				}
				progress <- struct{}{}
			}
		})
	}
	var version uint64
	catalogueClient := b.Client()
	wg.Go(func() { version = changeCatalogue(b, catalogueClient, changes) })

	for kill := range 2 { // each kill happens while submissions are in progress
		for range clients * jobsEach / 4 {
			<-progress
		}
		leader := b.leader()
		b.Kill(leader)
		if kill == 0 {
			b.leader()
			b.start(leader)
		}
	}
	wg.Wait()
	if want := uint64(1 + changes); version != want {
		t.Errorf("catalogue version %d after %d changes, want %d", version, changes, want)
	}
	checkJobs(b, ids, clients*jobsEach)
}

// changeCatalogue applies changes one after another, each twice, and returns the last
// version.
func changeCatalogue(b *testbed, cl *rpc.Client, changes int) uint64 {
	version := uint64(1)
	for i := range changes {
		put := &structs.PutCatalogue{ChangeID: fmt.Sprintf("edit-%d", i), BaseVersion: version, Catalogue: Catalogue()}
		var first *structs.ChangeResult
		for range 2 { // the second one is a resend
			res := retry(b, func() (*structs.ChangeResult, error) { return cl.ApplyCatalogue(b.ctx, put) })
			if first == nil {
				first = res
			}
			if !res.Accepted || res.Version != first.Version {
				b.t.Errorf("change %d based on version %d: %+v, first answer %+v", i, version, res, first)
			}
		}
		version = first.Version
	}
	return version
}

// checkJobs requires exactly one job per key, each finished and run once.
func checkJobs(b *testbed, ids map[string]map[structs.JobID]bool, want int) {
	b.t.Helper()
	cl := b.Client()
	seen := map[structs.JobID]string{}
	for key, jobs := range ids {
		if len(jobs) != 1 {
			b.t.Errorf("key %s got jobs %v, want one job", key, jobs)
		}
		for id := range jobs {
			if other, dup := seen[id]; dup {
				b.t.Errorf("keys %s and %s share job %s", key, other, id)
			}
			seen[id] = key
			if view := b.waitFinished(cl, id); view.Job.Status != structs.StatusDone {
				b.t.Errorf("job %s is not done: %+v", id, view)
			}
			if n := b.Ledger.Finished(structs.TaskID{Job: id}); n != 1 {
				b.t.Errorf("job %s finished %d times, want once", id, n)
			}
		}
	}
	all := retry(b, func() ([]structs.Job, error) { return cl.ListJobs(b.ctx, rpc.ListJobs{Owner: "dev", Limit: 1000}) })
	if len(all) != want || len(seen) != want {
		b.t.Errorf("%d jobs listed, %d job ids answered, want %d", len(all), len(seen), want)
	}
	if v := b.Ledger.Violations(); len(v) > 0 {
		b.t.Error(v)
	}
}
