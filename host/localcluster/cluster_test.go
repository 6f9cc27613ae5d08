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

// testTimeout ends a test that hangs. It is not a bound that the tests check.
const testTimeout = 2 * time.Minute

// testbed is a cluster for one test. Its methods fail the test on an error or when
// ctx ends.
type testbed struct {
	*Cluster
	t   *testing.T
	ctx context.Context
}

func newTestbed(t *testing.T, control, entry int) *testbed {
	t.Helper()
	return newTestbedWith(t, Options{Control: control, Entry: entry})
}

func newTestbedWith(t *testing.T, o Options) *testbed {
	t.Helper()
	log := zerolog.New(zerolog.NewTestWriter(t)).Level(zerolog.WarnLevel)
	o.Folder, o.SnapshotEntries, o.Log = t.TempDir(), 200, log
	c, err := Start(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
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

// putCatalogue applies the first catalogue.
func (b *testbed) putCatalogue(cl *rpc.Client) {
	b.t.Helper()
	putCatalogue := &structs.PutCatalogue{ChangeID: "first", Catalogue: Catalogue()}
	res := retry(b, func() (*structs.ChangeResult, error) { return cl.ApplyCatalogue(b.ctx, putCatalogue) })
	if !res.Accepted {
		b.t.Fatalf("first catalogue was refused: %+v", res)
	}
}

// retry repeats a call until it returns without an error.
func retry[R any](b *testbed, fn func() (R, error)) R {
	for {
		r, err := fn()
		if err == nil {
			return r
		}
		if Pause(b.ctx) != nil {
			b.t.Errorf("call never succeeded: %v", err)
			runtime.Goexit()
		}
	}
}

// waitFinished waits until the job has finished and returns it.
func (b *testbed) waitFinished(cl *rpc.Client, id structs.JobID) *structs.JobView {
	for {
		view := retry(b, func() (*structs.JobView, error) {
			return cl.GetJob(b.ctx, rpc.GetJob{Owner: "dev", Job: id, WaitMS: 1000})
		})
		if view.Job.Status.Finished() {
			return view
		}
	}
}
