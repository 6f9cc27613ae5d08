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

// testTimeout ends a test that hangs. It is not a bound that the tests check.
const testTimeout = 2 * time.Minute

// Guards against a host that cannot run a batch job or route a request end to
// end, from submission through replica, scheduler and workers to the result.
func TestDevRunsJobAndRequest(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	d, err := StartDev(ctx, DevOptions{Folder: t.TempDir(), Address: "127.0.0.1", Domains: 3, WorkersPerDomain: 1, Log: zerolog.New(zerolog.NewTestWriter(t)).Level(zerolog.InfoLevel)})
	if err != nil {
		t.Fatal(err)
	}
	defer d.Kill()
	res, err := d.Node.Client().Submit(ctx, structs.SubmitJob{Owner: "dev", Key: "k1", Spec: structs.JobSpec{Entry: "report", Kind: structs.KindBatch, Count: 3}})
	if err != nil {
		t.Fatal(err)
	}
	requireEcho(ctx, t, d)
	view := waitJob(ctx, t, d.Node.Client(), res.Job)
	if view.Job.Status != structs.StatusDone || view.Counts[structs.StatusDone] != 3 {
		t.Errorf("job = %+v, counts %v, want 3 tasks done", view.Job, view.Counts)
	}
	if v := d.Ledger.Violations(); len(v) > 0 {
		t.Error(v)
	}
}

// Guards against a graceful stop that interrupts a request in flight: the host is
// drained while the upstream still works on the request. After the stop no
// request is answered.
func TestDrainFinishesRequests(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	d, err := StartDev(ctx, DevOptions{Folder: t.TempDir(), Address: "127.0.0.1", Delay: 500 * time.Millisecond, Log: zerolog.New(zerolog.NewTestWriter(t)).Level(zerolog.InfoLevel)})
	if err != nil {
		t.Fatal(err)
	}
	defer d.Kill()
	requireEcho(ctx, t, d) // returns once the host routes to the upstream
	done := make(chan struct{})
	go func() {
		defer close(done)
		requireEcho(ctx, t, d)
	}()
	for total := 0; total < 2 && ctx.Err() == nil; {
		pollPause(ctx)
		total, _, _ = d.Upstream.Counts()
	}
	if err := d.Node.Drain(ctx); err != nil {
		t.Error(err)
	}
	<-done
	if status, _, err := sendRequest(ctx, d); err == nil {
		t.Errorf("request after the drain got status %d, want a connection error", status)
	}
}

// pollPause waits between two polls of a condition.
func pollPause(ctx context.Context) {
	t := time.NewTimer(5 * time.Millisecond)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// sendRequest sends one request through the entry role to the upstream and returns
// the status and the body of the answer.
func sendRequest(ctx context.Context, d *Dev) (int, string, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.Node.Address("caller")+"/v1/run/echo/", strings.NewReader("hello"))
	if err != nil {
		return 0, "", err
	}
	req.Header.Set("Authorization", "Bearer "+DevToken)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	return res.StatusCode, string(body), err
}

// requireEcho repeats a request until the upstream is announced and requires the
// complete answer.
func requireEcho(ctx context.Context, t *testing.T, d *Dev) {
	t.Helper()
	for {
		status, body, err := sendRequest(ctx, d)
		switch {
		case err != nil:
			t.Errorf("request: %v", err)
			return
		case status == http.StatusOK:
			if body != "hello" {
				t.Errorf("answer %q, want the body of the request", body)
			}
			return
		case status != http.StatusServiceUnavailable: // the upstream is not announced yet
			t.Errorf("status %d: %s", status, body)
			return
		}
		pollPause(ctx)
	}
}

// waitJob waits until the job has finished and returns it.
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
