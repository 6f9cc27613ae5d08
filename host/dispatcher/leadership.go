package dispatcher

import (
	"context"
	"runtime/debug"
	"time"

	"github.com/cockroachdb/errors"

	"gooseberrypond/core/dispatch"
	"gooseberrypond/core/graph"
	"gooseberrypond/core/organisation"
	"gooseberrypond/store/replica"
)

// leadership is the state of one term in which this replica is the leader.
type leadership struct {
	d      *Dispatcher
	term   uint64
	cancel context.CancelFunc
	// ended is closed when run has returned.
	ended chan struct{}
	// wake triggers runOnce before the next tick.
	wake chan struct{}

	// The fields below are guarded by d.mu.

	// core is nil until the leader's lease is first held.
	core *dispatch.Core
	// queued are the changes of callers to propose.
	queued queuedChanges
	// domainOrders counts the orders for failure domains that were taken in this term.
	domainOrders uint64
	// buckets tell which jobs organisations send beyond their weight.
	buckets *organisation.Buckets
	// proposing is set while a proposal is in flight; there is at most one.
	proposing bool
	// longWaitsLoggedAt is when the long waits were last logged.
	longWaitsLoggedAt time.Time
	// holdWakes has the channel that wakes the hold loop of each worker.
	holdWakes map[graph.Handle]chan struct{}
}

// waiter waits for the outcome of a proposal. done receives nil, an error that
// wraps ErrNotApplied, or one that wraps ErrOutcomeUnknown.
type waiter struct{ done chan error }

// Errors of a proposal.
var (
	// ErrNotApplied means that the change was not made and never will be. Its text
	// stays "not taken", because answers carry it.
	ErrNotApplied = errors.New("not taken")
	// ErrOutcomeUnknown means that the change may or may not take effect.
	ErrOutcomeUnknown = errors.New("outcome is unknown")
)

func (l *leadership) holdsLease() bool {
	term, ok := l.d.log.LeaseTerm()
	return ok && term == l.term
}

func (l *leadership) wakeRun() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

func (l *leadership) run(ctx context.Context) {
	defer close(l.ended)
	defer l.failWaiters()
	if !l.initCore(ctx) {
		return
	}
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		if l.holdsLease() {
			l.runOnce(ctx)
		}
		pause(ctx, minRunInterval, nil)
		select {
		case <-ctx.Done():
			return
		case <-l.wake:
		case <-ticker.C:
		}
	}
}

// initCore waits for the leader's lease and creates the core. Once the lease is
// held, the tables contain every entry of earlier terms. It returns false if ctx
// ends first.
func (l *leadership) initCore(ctx context.Context) bool {
	for !l.holdsLease() {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(leaseCheckInterval):
		}
	}
	d := l.d
	d.mu.Lock()
	l.core = dispatch.New(d.cfg.Now(), d.tables, l.term, d.cfg.Limits)
	d.mu.Unlock()
	d.cfg.Logger.Info().Uint64("term", l.term).Msg("this replica became leader: it holds the leader's lease and starts calls to workers")
	return true
}

// failWaiters refuses all changes that have not been proposed.
func (l *leadership) failWaiters() {
	l.d.mu.Lock()
	defer l.d.mu.Unlock()
	for _, w := range l.queued.allWaiters() {
		w.done <- errors.Wrap(ErrNotApplied, "leadership ended")
	}
	l.queued = queuedChanges{}
}

// runOnce starts everything that is due now: orders to workers, hold calls without
// a wait (polls), hold loops of new workers, and the next proposal if none is in
// flight.
func (l *leadership) runOnce(ctx context.Context) {
	d := l.d
	now := d.cfg.Now()
	d.mu.Lock()
	var batch *graph.Batch
	var waiters []*waiter
	if !l.proposing {
		batch, waiters = l.nextBatch(now)
	}
	orders := l.core.Orders(now)
	polls := l.core.DuePolls(now)
	l.logLongWaits(now)
	newWorkers := l.core.TakeNewWorkers(maxNewWorkers)
	for _, h := range newWorkers {
		wake := make(chan struct{}, 1)
		l.holdWakes[h] = wake
		go l.holdLoop(ctx, h, wake)
	}
	d.mu.Unlock()

	for i := range orders {
		go l.sendOrder(ctx, orders[i])
	}
	for i := range polls {
		go l.sendHold(ctx, polls[i])
	}
	if batch != nil {
		go l.propose(ctx, batch, waiters)
	}
	if len(newWorkers) == maxNewWorkers {
		l.wakeRun()
	}
}

// nextBatch returns the next batch to propose and the callers that wait for it,
// or nil if there is nothing to propose. The caller must hold d.mu.
func (l *leadership) nextBatch(now time.Time) (*graph.Batch, []*waiter) {
	isolating := l.core.Isolating()
	b := l.core.Plan(now, now.UnixMilli())
	l.d.metrics.plan.Observe(l.d.cfg.Now().Sub(now).Seconds())
	waiters := l.queued.takeLeaves(b, l.d.tables)
	if !isolating {
		waiters = append(waiters, l.queued.take(b, l.core.HasRecords())...)
	}
	if len(b.Domains) > 0 {
		b.DomainTerm = l.term
	}
	if b.Empty() {
		for _, w := range waiters {
			w.done <- nil
		}
		return nil, nil
	}
	l.proposing = true
	return b, waiters
}

func (l *leadership) propose(ctx context.Context, b *graph.Batch, waiters []*waiter) {
	d := l.d
	start := d.cfg.Now()
	err := l.commit(ctx, b)
	now := d.cfg.Now()
	d.metrics.commit.Observe(now.Sub(start).Seconds())
	d.mu.Lock()
	l.proposing = false
	switch {
	case errors.Is(err, errRejected):
		l.rejected(b, err)
	case err != nil:
		l.core.ProposalFailed(b) // if it is committed after all, Apply tells the core
	default:
		l.queued.committed(b)
	}
	for i := range b.Ends { // a worker's next hold call waits until its ends are committed
		l.wakeHold(now, b.Ends[i].Worker)
	}
	d.mu.Unlock()
	for _, w := range waiters {
		w.done <- err
	}
	l.wakeRun()
}

// errRejected marks the error of a batch that no leader can commit, whatever the state of
// the group: it is too large, or it cannot be encoded or decoded. None of it takes effect.
var errRejected = errors.New("the batch can never be committed")

// commit proposes a batch and waits until it has been applied.
func (l *leadership) commit(ctx context.Context, b *graph.Batch) error {
	data, err := b.Encode()
	if err != nil {
		return errors.Mark(errors.Mark(err, ErrNotApplied), errRejected)
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	v, err := l.d.log.Propose(ctx, data)
	switch {
	case errors.Is(err, replica.ErrUnknownOutcome):
		return errors.Mark(err, ErrOutcomeUnknown)
	case errors.Is(err, replica.ErrTooLarge):
		return errors.Mark(errors.Mark(err, ErrNotApplied), errRejected)
	case err != nil:
		return errors.Mark(err, ErrNotApplied)
	}
	res, ok := v.(*graph.Result)
	switch {
	case !ok: // each replica has skipped the entry
		return errors.Mark(errors.Mark(errors.Newf("apply failed: %v", v), ErrNotApplied), errRejected)
	case res.DomainsOutdated: // the other parts were applied
		return errors.Mark(errors.Newf("a later leader than that of term %d has changed failure domains", b.DomainTerm), ErrOutcomeUnknown)
	}
	return nil
}

// rejected makes the next batches smaller until the change at fault is alone and is
// dropped: repeated as a whole, the batch would be rejected for ever. The caller must
// hold d.mu.
func (l *leadership) rejected(b *graph.Batch, cause error) {
	dropped := l.core.ProposalRejected(b)
	calls := l.queued.rejected(b)
	l.d.metrics.rejections.Inc()
	l.d.cfg.Logger.Error().Err(cause).Str("step", "propose").Int("dropped_records", dropped).Int("refused_calls", calls).
		Int("workers", len(b.Workers)).Int("ends", len(b.Ends)).Int("starts", len(b.Starts)).
		Msg("batch can never be committed: later ones are smaller until the change at fault is alone")
}

// wakeHold ends the pause before the next hold call to a worker if that is due. The caller
// must hold d.mu.
func (l *leadership) wakeHold(now time.Time, h graph.Handle) {
	if wake := l.holdWakes[h]; wake != nil && l.core.NeedsCall(now, h) {
		notify(wake)
	}
}

// notify wakes the receiver of ch without blocking.
func notify(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// holdLoop keeps one hold call to a worker open until the worker is gone.
func (l *leadership) holdLoop(ctx context.Context, h graph.Handle, wake chan struct{}) {
	defer func() {
		l.d.mu.Lock()
		delete(l.holdWakes, h)
		l.d.mu.Unlock()
	}()
	for ctx.Err() == nil {
		now := l.d.cfg.Now()
		l.d.mu.Lock()
		hold, wait, ok := l.core.NextHold(now, h)
		l.d.mu.Unlock()
		if !ok {
			return
		}
		if wait > 0 {
			pause(ctx, wait, wake)
			continue
		}
		l.sendHold(ctx, hold)
	}
}

// pause waits until the time has passed, wake receives, or ctx ends.
func pause(ctx context.Context, wait time.Duration, wake <-chan struct{}) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-wake:
	case <-timer.C:
	}
}

// sendHold sends one hold call to a worker and passes the reply to the core.
func (l *leadership) sendHold(ctx context.Context, hold dispatch.Hold) {
	if !l.holdsLease() {
		pause(ctx, leaseCheckInterval, nil)
		return
	}
	d := l.d
	sent := d.cfg.Now()
	reply, err := d.cfg.Workers.Hold(ctx, hold)
	now := d.cfg.Now()
	firstFailure := false
	handled := d.guard("hold", hold.ID, func() {
		switch {
		case errors.Is(err, dispatch.ErrNotSent):
			l.core.HoldNotSent(now, hold)
		case err != nil:
			firstFailure = l.core.HoldFailed(now, hold)
		default:
			l.core.HoldDone(now, sent, hold, reply)
		}
	})
	if !handled {
		d.guard("hold", hold.ID, func() { l.core.HoldFailed(now, hold) })
		return
	}
	switch {
	case err == nil:
		d.metrics.holds.WithLabelValues("answered").Inc()
	case errors.Is(err, dispatch.ErrNotSent):
		d.metrics.holds.WithLabelValues("not sent").Inc()
	case ctx.Err() == nil:
		d.metrics.holds.WithLabelValues("unanswered").Inc()
	}
	if firstFailure && ctx.Err() == nil { // a lost failure domain has a thousand workers
		d.cfg.Logger.Warn().Err(err).Str("step", "hold").Str("worker", hold.ID).Str("peer", hold.Address).Msg("hold call to worker failed")
	}
	if err == nil && len(reply.Finished)+len(reply.Running) > 0 {
		l.wakeRun()
	}
}

// guard runs f, which handles an answer of a worker, with d.mu held. It reports whether
// f returned: one answer that the core cannot handle must not end the process.
func (d *Dispatcher) guard(step, worker string, f func()) (returned bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	defer func() {
		if p := recover(); p != nil {
			d.CountPanic(step+" of worker "+worker, p)
		}
	}()
	f()
	return true
}

// CountPanic logs and counts a panic that ended one step.
func (d *Dispatcher) CountPanic(step string, reason any) {
	d.metrics.panics.Inc()
	d.cfg.Logger.Error().Str("step", step).Interface("panic", reason).Bytes("stack", debug.Stack()).
		Msg("internal error: the step was abandoned")
}

func (l *leadership) sendOrder(ctx context.Context, o dispatch.Order) {
	d := l.d
	reply := dispatch.OrderReply{Outcome: dispatch.NotSent}
	start := d.cfg.Now()
	if l.holdsLease() {
		reply = d.cfg.Workers.Order(ctx, o)
	}
	now := d.cfg.Now()
	d.metrics.observeOrder(o, reply.Outcome, now.Sub(start))
	d.guard(o.Kind.String(), o.ID, func() {
		l.core.OrderDone(now, o, reply)
		l.wakeHold(now, o.Worker)
	})
	if o.Kind == dispatch.OrderStop && o.Reason != "" {
		d.cfg.Logger.Info().Str("task", o.Task.String()).Int("run", o.Run).Str("worker", o.ID).
			Str("reason", o.Reason).Str("outcome", reply.Outcome.String()).Msg("tried to stop an abandoned run")
	}
	if reply.Outcome != dispatch.Accepted {
		d.cfg.Logger.Warn().Str("step", o.Kind.String()).Str("task", o.Task.String()).Int("run", o.Run).
			Str("worker", o.ID).Uint64("token", o.Token).Str("outcome", reply.Outcome.String()).Msg("worker did not accept an order")
	}
	l.wakeRun()
}

// logStarts writes one log line for each step with new starts: the workers, the
// runs and the time since the job was accepted.
func (l *leadership) logStarts(res *graph.Result) {
	for i := 0; i < len(res.Started); {
		first := res.Started[i]
		workers := []uint32{}
		runs := []int{}
		for ; i < len(res.Started) && res.Started[i].Step == first.Step; i++ {
			workers = append(workers, uint32(res.Started[i].Worker.Handle))
			runs = append(runs, res.Started[i].Run)
		}
		l.d.metrics.observePlacement(first)
		o := first.Step.Occurrence
		l.d.cfg.Logger.Info().Str("job", string(o.Job.Spec.ID)).Int("occurrence", o.Number).Int("step", first.Step.Number).
			Int("first", first.Index).Uints32("workers", workers).Ints("runs", runs).Int("waiting", first.Step.Waiting).
			Int64("age_ms", first.StartedMS-o.Job.AcceptedMS).Msg("tasks placed")
	}
}

// logCrashes writes one log line for each crashed worker with the runs that it may have
// been executing and that the crash counts against, and one with the others.
func (l *leadership) logCrashes(b *graph.Batch) {
	l.logCrashedWorkers(b.Crashes, true)
	l.logCrashedWorkers(b.WeakCrashes, false)
}

func (l *leadership) logCrashedWorkers(crashes []graph.Crash, counted bool) {
	for i := 0; i < len(crashes); {
		worker := crashes[i].Worker
		tasks, runs := []string{}, []int{}
		for ; i < len(crashes) && crashes[i].Worker == worker; i++ {
			tasks, runs = append(tasks, crashes[i].Task.String()), append(runs, crashes[i].Run)
		}
		l.d.cfg.Logger.Info().Uint32("worker", uint32(worker)).Strs("tasks", tasks).Ints("runs", runs).Bool("counted", counted).
			Msg("worker crashed soon after the start of these runs")
	}
}

// logCrashLoops logs the tasks that failed their jobs by crashing workers.
func (l *leadership) logCrashLoops(res *graph.Result) {
	for i := range res.CrashLoops {
		loop := &res.CrashLoops[i]
		workers, runs, settled := []uint32{}, []int{}, []bool{}
		for _, c := range loop.Crashes {
			workers, runs, settled = append(workers, uint32(c.Worker)), append(runs, c.Run), append(settled, c.Settled)
		}
		l.d.cfg.Logger.Warn().Str("task", loop.Task.String()).Uints32("workers", workers).Ints("runs", runs).Bools("settled", settled).
			Msg("job failed: its task crashed each of these workers")
	}
}

// logApplied logs the committed changes of jobs, runs, workers, configuration and
// failure domains.
func (l *leadership) logApplied(b *graph.Batch, res *graph.Result) {
	log := &l.d.cfg.Logger
	for i := range b.Submits {
		j := &b.Submits[i]
		if l.d.tables.Job(j.ID) == nil {
			log.Info().Str("job", string(j.ID)).Str("queue", j.Queue).Msg("job refused: it was cancelled before it arrived")
			continue
		}
		log.Info().Str("job", string(j.ID)).Str("queue", j.Queue).Int("steps", len(j.Steps)).Int("times", j.Times).Str("organisation", j.Organisation).Bool("excess", j.Excess).Msg("job accepted")
	}
	for _, id := range b.Cancels {
		log.Info().Str("job", string(id)).Msg("job cancelled")
	}
	for i := range b.Withdrawals {
		w := &b.Withdrawals[i]
		log.Info().Str("job", string(w.Job)).Str("queue", w.Queue).Str("organisation", w.Organisation).
			Bool("known", l.d.tables.Job(w.Job) != nil).Msg("cancel recorded for a job that was not known")
	}
	l.logStarts(res)
	for i := range b.Ends {
		e := &b.Ends[i]
		if e.Kind != graph.EndDone {
			log.Info().Str("task", e.Task.String()).Int("run", e.Run).Uint32("worker", uint32(e.Worker)).
				Str("end", e.Kind.String()).Str("checkpoint", e.Checkpoint).Msg("run ended")
		}
	}
	for i := range b.Releases {
		r := &b.Releases[i]
		log.Info().Str("task", r.Task.String()).Int("run", r.Run).Uint32("worker", uint32(r.Worker)).
			Str("checkpoint", r.Checkpoint).Str("reason", l.core.TakeReleaseReason(r)).Msg("run released: the worker certainly no longer executes it; its reservation is free")
	}
	l.logCrashes(b)
	l.logCrashLoops(res)
	for _, j := range res.Finished {
		delays := l.core.Delays(l.d.cfg.Now(), j)
		log.Info().Str("job", string(j.Spec.ID)).Str("state", string(j.State)).
			Int64("took_ms", j.EndedMS-j.AcceptedMS).Str("queue", j.Spec.Queue).Interface("waited_ms", delays.Milliseconds()).Msg("job ended")
	}
	for i := range b.Workers {
		w := &b.Workers[i]
		log.Info().Str("worker", w.Report.ID).Int64("born", w.Report.Born).Str("address", w.Report.Address).
			Str("domain", w.Report.Domain).Bool("draining", w.Report.Draining).Bool("left", w.Left).Msg("worker state committed")
	}
	if b.Config != nil {
		log.Info().Uint64("version", b.Config.Version).Int("queues", len(b.Config.Queues)).Msg("configuration committed")
	}
	for _, d := range b.Domains {
		log.Info().Str("domain", d.Name).Bool("out", d.Out).Msg("failure domain state committed")
	}
}

// logLongWaits writes one line for each pool in which long-running tasks have waited
// for long, with what excludes the workers, at most once per longWaitsInterval. The
// caller must hold d.mu.
func (l *leadership) logLongWaits(now time.Time) {
	if now.Sub(l.longWaitsLoggedAt) < longWaitsInterval {
		return
	}
	l.longWaitsLoggedAt = now
	for _, w := range l.core.LongWaits(now, now.UnixMilli()) {
		l.d.cfg.Logger.Warn().Str("pool", w.Pool).Int("restarts", w.Restarts).Int("new", w.New).
			Str("task", w.Task.String()).Int64("waited_ms", now.UnixMilli()-w.SinceMS).Int64("need", w.Need).
			Int64("capacity", w.Capacity).Int64("free", w.Free).Int64("largest", w.Largest).
			Int64("batch", w.Batch).Int64("share", w.Share).Int64("reserve", w.Reserve).
			Int("usable", w.Usable).Int("quarantined", w.Quarantined).Int("unreachable", w.Unreachable).
			Int("draining", w.Draining).Int("out", w.Out).Int64("idle", w.Idle).
			Msg("long-running tasks have waited for long")
	}
}
