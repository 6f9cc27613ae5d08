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

// Guards against a submission that gets the answer of another one in its
// batch, against batches beyond their limit, and against bursts that are
// proposed one by one.
func TestBatchAnswersBelongToTheirSubmissions(t *testing.T) {
	const jobs = 3 * maxBatchJobs
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	queued := make(chan struct{})
	var sizes []int
	b := newBatcher(func(_ context.Context, cmd *structs.Command) (structs.Result, error) {
		<-queued // the first proposal waits until all are submitted
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
				t.Errorf("submission %s: %+v, %v", key, res, err)
			}
		})
	}
	for len(b.queue) < jobs-maxBatchJobs { // the rest may be in the first batch
		if ctx.Err() != nil {
			t.Fatal("submissions are not queued")
		}
		time.Sleep(time.Millisecond)
	}
	close(queued)
	wg.Wait()
	if len(sizes) > jobs/8 {
		t.Errorf("%d jobs in %d proposals", jobs, len(sizes))
	}
	for _, n := range sizes {
		if n > maxBatchJobs {
			t.Errorf("batch of %d", n)
		}
	}
}

// Guards against "not run" for submissions whose batch may still be committed.
func TestBatchFailureReachesAll(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	lost := unknown("test", errors.New("leader gone"))
	b := newBatcher(func(context.Context, *structs.Command) (structs.Result, error) { return structs.Result{}, lost })
	go b.run(ctx)
	_, err := b.submit(ctx, structs.SubmitJob{Key: "k"})
	var e *structs.Error
	if !errors.As(err, &e) || e.Outcome != structs.OutcomeUnknown {
		t.Errorf("error = %v", err)
	}
	short := newBatcher(func(context.Context, *structs.Command) (structs.Result, error) { return structs.Result{}, nil })
	go short.run(ctx)
	if _, err := short.submit(ctx, structs.SubmitJob{Key: "k"}); err == nil {
		t.Error("a result is missing and the submission succeeded")
	}
}
