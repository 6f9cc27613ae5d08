package node

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"gooseberrypond/core/structs"
	"gooseberrypond/host/rpc"
)

// testLimit ends a test that hangs; no verdict depends on it.
const testLimit = 2 * time.Minute

// Guards against a break anywhere on the way of one job through a whole host.
func TestDevRunsJob(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), testLimit)
	defer cancel()
	d, err := StartDev(ctx, DevOptions{Folder: t.TempDir(), Address: "127.0.0.1", Domains: 3, WorkersPerDomain: 1, Log: zerolog.New(zerolog.NewTestWriter(t))})
	if err != nil {
		t.Fatal(err)
	}
	defer d.Kill()
	res, err := d.Node.Client().Submit(ctx, structs.SubmitJob{Owner: "dev", Key: "k1", Spec: structs.JobSpec{Entry: "report", Kind: structs.KindBatch, Count: 3}})
	if err != nil {
		t.Fatal(err)
	}
	checkRequest(ctx, t, d)
	view := waitJob(ctx, t, d.Node.Client(), res.Job)
	if view.Job.Status != structs.StatusDone || view.Counts[structs.StatusDone] != 3 {
		t.Errorf("job = %+v, counts %v", view.Job, view.Counts)
	}
	if v := d.Ledger.Violations(); len(v) > 0 {
		t.Error(v)
	}
}

// checkRequest sends one request through the entry role to the upstream.
func checkRequest(ctx context.Context, t *testing.T, d *Dev) {
	t.Helper()
	for {
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.Node.Address("caller")+"/v1/run/echo/", strings.NewReader("hello"))
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("Authorization", "Bearer "+DevToken)
		res, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(res.Body)
		res.Body.Close()
		if res.StatusCode == http.StatusOK {
			if string(body) != "hello" {
				t.Errorf("answer %q, %v", body, err)
			}
			return
		}
		if res.StatusCode != http.StatusServiceUnavailable { // the upstream is not announced yet
			t.Fatalf("status %d: %s", res.StatusCode, body)
		}
	}
}

// waitJob waits until the job has finished.
func waitJob(ctx context.Context, t *testing.T, c *rpc.Client, id structs.JobID) *structs.JobView {
	t.Helper()
	for {
		view, err := c.GetJob(ctx, rpc.GetJob{Owner: "dev", Job: id, WaitMS: 1000})
		if ctx.Err() != nil {
			t.Fatalf("job %s not finished: %+v, %v", id, view, err)
		}
		if err == nil && view.Job.Status.Finished() {
			return view
		}
	}
}
