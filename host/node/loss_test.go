package node

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"gooseberrypond/core/structs"
	"gooseberrypond/host/rpc"
)

// wait pauses between two looks at a condition.
func wait(ctx context.Context) {
	t := time.NewTimer(10 * time.Millisecond)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// Guards against lost answers and doubled jobs: the leader is killed twice while
// clients submit jobs and edit the catalogue, and every call is repeated until
// it is answered.
func TestLeaderLossDuringSubmits(t *testing.T) {
	const clients, jobsEach, edits = 6, 15, 12
	ctx, cancel := context.WithTimeout(context.Background(), testLimit)
	defer cancel()
	c := newCluster(t, 3)
	c.put(ctx, c.client(), "first", 0)
	c.runWorkers(6)

	var wg sync.WaitGroup
	var mu sync.Mutex
	ids := map[string]map[structs.JobID]bool{}
	progress := make(chan struct{}, clients*jobsEach)
	for n := range clients {
		cl := c.client()
		wg.Go(func() {
			for j := range jobsEach {
				key := fmt.Sprintf("c%d-%d", n, j)
				job := structs.SubmitJob{Owner: "dev", Key: key, Spec: structs.JobSpec{Entry: "report", Kind: structs.KindBatch, Payload: []byte(`{"run_ms":20}`)}}
				for range 2 { // the second submission is a resend
					res := ask(ctx, t, func() (structs.SubmitResult, error) { return cl.Submit(ctx, job) })
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
	wg.Go(func() { version = editCatalogue(ctx, t, c.client(), edits) })

	for kill := range 2 { // each kill falls into the middle of the submissions
		for range clients * jobsEach / 4 {
			<-progress
		}
		leader := c.leader(ctx)
		c.kill(leader)
		if kill == 0 {
			c.leader(ctx)
			c.start(leader)
		}
	}
	wg.Wait()
	if want := uint64(1 + edits); version != want {
		t.Errorf("catalogue version %d after %d edits, want %d", version, edits, want)
	}
	checkJobs(ctx, t, c, ids, clients*jobsEach)
}

// editCatalogue makes edits one after the other and returns the last version.
func editCatalogue(ctx context.Context, t *testing.T, cl *rpc.Client, edits int) uint64 {
	version := uint64(1)
	for i := range edits {
		put := &structs.PutCatalogue{ChangeID: fmt.Sprintf("edit-%d", i), BaseVersion: version, Catalogue: testCatalogue()}
		var first *structs.ChangeResult
		for range 2 { // the second one is a resend
			res := ask(ctx, t, func() (*structs.ChangeResult, error) { return cl.ApplyCatalogue(ctx, put) })
			if first == nil {
				first = res
			}
			if !res.Accepted || res.Version != first.Version {
				t.Errorf("edit %d on version %d: %+v, first %+v", i, version, res, first)
			}
		}
		version = first.Version
	}
	return version
}

// checkJobs requires one finished job per key, each run once.
func checkJobs(ctx context.Context, t *testing.T, c *cluster, ids map[string]map[structs.JobID]bool, want int) {
	t.Helper()
	cl := c.client()
	seen := map[structs.JobID]string{}
	for key, jobs := range ids {
		if len(jobs) != 1 {
			t.Errorf("key %s has jobs %v", key, jobs)
		}
		for id := range jobs {
			if other, dup := seen[id]; dup {
				t.Errorf("keys %s and %s share job %s", key, other, id)
			}
			seen[id] = key
			if view := waitJob(ctx, t, cl, id); view.Job.Status != structs.StatusDone {
				t.Errorf("job %s is %s", id, view.Job.Status)
			}
			if n := c.ledger.Finished(structs.TaskID{Job: id}); n != 1 {
				t.Errorf("job %s finished %d times", id, n)
			}
		}
	}
	all := ask(ctx, t, func() ([]structs.Job, error) { return cl.ListJobs(ctx, rpc.ListJobs{Owner: "dev", Limit: 1000}) })
	if len(all) != want || len(seen) != want {
		t.Errorf("%d jobs listed, %d answered, want %d", len(all), len(seen), want)
	}
	if v := c.ledger.Violations(); len(v) > 0 {
		t.Error(v)
	}
}
