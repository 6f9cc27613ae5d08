package control

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"gooseberrypond/core/structs"
)

// Guards against three failures under a burst of concurrent submissions: a
// submission gets the result of another one in its batch, a batch exceeds its
// limit, and submissions are proposed one by one instead of in batches.
func TestBatchResultsMatchSubmissions(t *testing.T) {
	const jobs = 3 * maxBatchJobs
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	queued := make(chan struct{})
	var sizes []int
	b := newBatcher(func(_ context.Context, cmd *structs.Command) (structs.Result, error) {
		<-queued // blocks the first proposal until all submissions are queued
		sizes = append(sizes, len(cmd.SubmitJobs.Jobs))
		res := structs.Result{}
		for _, j := range cmd.SubmitJobs.Jobs {
			res.Submits = append(res.Submits, structs.SubmitResult{Job: structs.JobID("job-" + j.Key)})
		}
		return res, nil
	})
	go b.run(ctx)
	var wg sync.WaitGroup
	for i := range jobs {
		wg.Go(func() {
			key := fmt.Sprint(i)
			res, err := b.submit(ctx, structs.SubmitJob{Key: key})
			if err != nil || res.Job != structs.JobID("job-"+key) {
				t.Errorf("submission %s: result %+v, error %v", key, res, err)
			}
		})
	}
	for len(b.queue) < jobs-maxBatchJobs { // up to maxBatchJobs may be in the first batch
		if ctx.Err() != nil {
			t.Fatal("timed out before all submissions were queued")
		}
		time.Sleep(time.Millisecond)
	}
	close(queued)
	wg.Wait()
	if len(sizes) > jobs/8 {
		t.Errorf("%d jobs took %d proposals, want at most an eighth as many proposals as jobs", jobs, len(sizes))
	}
	for _, n := range sizes {
		if n > maxBatchJobs {
			t.Errorf("batch of %d submissions exceeds the limit", n)
		}
	}
}

// Guards against submissions that are answered with outcome "not run" although
// their batch may still be committed, and against success for a submission
// whose result is missing.
func TestBatchFailureHasUnknownOutcome(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	lost := unknownOutcome("test", errors.New("leader gone"))
	b := newBatcher(func(context.Context, *structs.Command) (structs.Result, error) { return structs.Result{}, lost })
	go b.run(ctx)
	_, err := b.submit(ctx, structs.SubmitJob{Key: "k"})
	var e *structs.Error
	if !errors.As(err, &e) || e.Outcome != structs.OutcomeUnknown {
		t.Errorf("error = %v, want outcome unknown", err)
	}
	short := newBatcher(func(context.Context, *structs.Command) (structs.Result, error) { return structs.Result{}, nil })
	go short.run(ctx)
	if _, err := short.submit(ctx, structs.SubmitJob{Key: "k"}); err == nil {
		t.Error("a submission without a result succeeded")
	}
}
