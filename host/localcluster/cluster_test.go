package localcluster

import (
	"context"
	"runtime"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"gooseberrypond/core/structs"
	"gooseberrypond/host/rpc"
)

// testLimit ends a test that hangs. It is not a bound that the tests check.
const testLimit = 2 * time.Minute

// testbed is a cluster for one test. Its methods fail the test on an error or when
// ctx ends.
type testbed struct {
	*Cluster
	t   *testing.T
	ctx context.Context
}

func newTestbed(t *testing.T, control, entry int) *testbed {
	t.Helper()
	return newBedWith(t, Options{Control: control, Entry: entry})
}

func newBedWith(t *testing.T, o Options) *testbed {
	t.Helper()
	log := zerolog.New(zerolog.NewTestWriter(t)).Level(zerolog.WarnLevel)
	o.Folder, o.SnapshotEntries, o.Log = t.TempDir(), 200, log
	c, err := Start(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	ctx, cancel := context.WithTimeout(context.Background(), testLimit)
	t.Cleanup(cancel)
	return &testbed{c, t, ctx}
}

func (b *testbed) leader() int {
	b.t.Helper()
	i, err := b.Leader(b.ctx)
	if err != nil {
		b.t.Fatal(err)
	}
	return i
}

func (b *testbed) start(i int) {
	b.t.Helper()
	if err := b.StartHost(i); err != nil {
		b.t.Fatal(err)
	}
}

// put applies the first catalogue.
func (b *testbed) put(cl *rpc.Client) {
	b.t.Helper()
	put := &structs.PutCatalogue{ChangeID: "first", Catalogue: Catalogue()}
	res := ask(b, func() (*structs.ChangeResult, error) { return cl.ApplyCatalogue(b.ctx, put) })
	if !res.Accepted {
		b.t.Fatalf("first catalogue: %+v", res)
	}
}

// ask repeats a call until it returns without an error.
func ask[R any](b *testbed, fn func() (R, error)) R {
	for {
		r, err := fn()
		if err == nil {
			return r
		}
		if Pause(b.ctx) != nil {
			b.t.Errorf("no answer: %v", err)
			runtime.Goexit()
		}
	}
}

// finished waits until the job has finished and returns it.
func (b *testbed) finished(cl *rpc.Client, id structs.JobID) *structs.JobView {
	for {
		view := ask(b, func() (*structs.JobView, error) {
			return cl.GetJob(b.ctx, rpc.GetJob{Owner: "dev", Job: id, WaitMS: 1000})
		})
		if view.Job.Status.Finished() {
			return view
		}
	}
}
