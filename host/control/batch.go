package control

import (
	"context"

	"gooseberrypond/core/structs"
)

const (
	// maxBatchJobs is the maximum number of submissions in one command, so that
	// a burst of submissions does not delay the commands of the tick behind one
	// large log entry.
	maxBatchJobs = 256
	// maxBatchBytes ends a batch: no submission is added once the payloads have
	// this size.
	maxBatchBytes = 1 << 20
	// maxQueuedSubmissions is the maximum number of submissions waiting for a batch;
	// further ones are refused with queue_full.
	maxQueuedSubmissions = 4096
	// maxBatchesInFlight is the number of goroutines that propose batches, and so
	// the maximum number of batches in flight.
	maxBatchesInFlight = 2
)

// submission is a submitted job that waits for its outcome.
type submission struct {
	job  structs.SubmitJob
	done chan submitOutcome
}

type submitOutcome struct {
	res structs.SubmitResult
	err error
}

// batcher combines concurrent submissions into commands. Submissions that arrive
// while all batches in flight wait for the disk form the next batch.
type batcher struct {
	queue   chan submission
	propose func(ctx context.Context, cmd *structs.Command) (structs.Result, error)
}

func newBatcher(propose func(context.Context, *structs.Command) (structs.Result, error)) *batcher {
	return &batcher{queue: make(chan submission, maxQueuedSubmissions), propose: propose}
}

// submit queues a submission and waits for its outcome.
func (b *batcher) submit(ctx context.Context, job structs.SubmitJob) (structs.SubmitResult, error) {
	s := submission{job: job, done: make(chan submitOutcome, 1)}
	select {
	case b.queue <- s:
	default:
		return structs.SubmitResult{}, structs.Errorf(structs.CodeQueueFull, "control.submit", "%d submissions are waiting", maxQueuedSubmissions).
			WithOutcome(structs.OutcomeNotRun).WithRetryAfter(1000)
	}
	select {
	case out := <-s.done:
		return out.res, out.err
	case <-ctx.Done():
		return structs.SubmitResult{}, unknownOutcome("control.submit", ctx.Err())
	}
}

// run proposes batches until ctx ends.
func (b *batcher) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-b.queue:
			b.proposeBatch(ctx, b.collect(s))
		}
	}
}

// collect returns first and the queued submissions, within the limits of one command.
func (b *batcher) collect(first submission) []submission {
	batch, size := []submission{first}, len(first.job.Spec.Payload)
	for len(batch) < maxBatchJobs && size < maxBatchBytes {
		select {
		case s := <-b.queue:
			batch = append(batch, s)
			size += len(s.job.Spec.Payload)
		default:
			return batch
		}
	}
	return batch
}

// proposeBatch proposes a batch and passes each submission its own result.
func (b *batcher) proposeBatch(ctx context.Context, batch []submission) {
	jobs := make([]structs.SubmitJob, len(batch))
	for i, s := range batch {
		jobs[i] = s.job
	}
	res, err := b.propose(ctx, &structs.Command{SubmitJobs: &structs.SubmitJobs{Jobs: jobs}})
	if err == nil && res.Error != nil {
		err = res.Error
	}
	if err == nil && len(res.Submits) != len(batch) {
		err = structs.Errorf(structs.CodeInternal, "control.submit", "%d results for %d submissions", len(res.Submits), len(batch)).WithOutcome(structs.OutcomeUnknown)
	}
	for i, s := range batch {
		out := submitOutcome{err: err}
		if err == nil {
			out.res = res.Submits[i]
		}
		s.done <- out
	}
}
