package dispatcher

import (
	"context"
	"strings"

	"gooseberrypond/core/graph"
)

// Caller sends calls for jobs and queues with one key.
type Caller struct {
	d   *Dispatcher
	key graph.KeyHash
}

// Caller returns the caller with the hash of a key; the zero hash stands for no key.
func (d *Dispatcher) Caller(key graph.KeyHash) Caller { return Caller{d, key} }

// Submit accepts a job from a caller without a key.
func (d *Dispatcher) Submit(ctx context.Context, host, path string, spec graph.Spec) Answer {
	return d.Caller(graph.KeyHash{}).Submit(ctx, host, path, spec)
}

// Cancel cancels a job for a caller without a key.
func (d *Dispatcher) Cancel(ctx context.Context, host, path string) Answer {
	return d.Caller(graph.KeyHash{}).Cancel(ctx, host, path)
}

// Look returns what a caller without a key may see.
func (d *Dispatcher) Look(host, path string) Answer {
	return d.Caller(graph.KeyHash{}).Look(host, path)
}

// Rules that refuse a call, as used in logs and metric labels.
const (
	ruleNoKey      = "no key"
	ruleUnknownKey = "unknown key"
	ruleNotOwner   = "job of another organisation"
)

// target is the queue and job that a call addresses.
type target struct {
	config *graph.Config
	queue  *graph.Queue
	id     graph.JobID
	// organisation is the name of the caller's organisation; empty if it has none.
	organisation string
	// refusedBy is the rule that refuses the call; empty if none does.
	refusedBy string
}

// resolve returns the queue and job id that host and path address, or the answer
// that refuses the request. The caller must hold d.mu.
func (c Caller) resolve(host, path string) (target, *Answer) {
	cfg := c.d.tables.Config()
	if cfg == nil {
		a := answer(NoConfig, "no configuration is in force")
		return target{}, &a
	}
	q := cfg.MatchQueue(host, path)
	if q == nil {
		a := answer(NoQueue, "no queue is configured for this host and path")
		a.Version = cfg.Version
		return target{}, &a
	}
	f := target{config: cfg, queue: q, id: graph.JobID(strings.TrimPrefix(path, q.PathPrefix))}
	o := cfg.OrganisationByKey(c.key)
	switch {
	case o != nil:
		f.organisation = o.Name
	case cfg.NeedsKey(q):
		return f.refuseKey(c.key)
	}
	return f, nil
}

// refuseKey returns the answer to a call whose key is missing or unknown.
func (f target) refuseKey(key graph.KeyHash) (target, *Answer) {
	a := answer(NoKey, "the key is not in the configuration in force")
	f.refusedBy = ruleUnknownKey
	if key.IsZero() {
		a.Reason, f.refusedBy = "the call has no key", ruleNoKey
	}
	a.Version = f.config.Version
	return f, &a
}

// job returns the job that a call addresses, and whether it exists but is hidden from
// the caller. The caller must hold d.mu.
func (c Caller) job(f *target) (j *graph.Job, hidden bool) {
	j = c.d.tables.Job(f.id)
	if j != nil && !f.config.MaySee(j, f.queue, f.organisation) {
		f.refusedBy = ruleNotOwner
		return nil, true
	}
	return j, false
}

// Submit accepts a job. Its id and queue are taken from host and path. Submitting
// a job that exists succeeds again, if the caller may see it or an earlier attempt of the
// same call has submitted it.
func (c Caller) Submit(ctx context.Context, host, path string, spec graph.Spec) Answer {
	var f target
	repeated := false
	a := c.d.withLeader(ctx, func(l *leadership) (Answer, bool) {
		if repeated = c.d.isAccepted(path, spec.Call); repeated {
			return Answer{Code: Done}, false
		}
		var refusal *Answer
		if f, refusal = c.resolve(host, path); refusal != nil {
			return *refusal, false
		}
		if !ValidID(f.id) {
			return answer(Invalid, "the job id must be 16 hexadecimal digits"), false
		}
		switch j, hidden := c.job(&f); {
		case hidden:
			return idInUse(), false
		case j != nil:
			return Answer{Code: Done}, false
		}
		spec.ID, spec.Queue, spec.Organisation = f.id, f.queue.Name, f.organisation
		if c.d.tables.IsWithdrawn(&spec) {
			return withdrawn(), false
		}
		if !l.hasRoom(&spec) {
			return answer(NotApplied, "the jobs that are kept leave no room for this one; it was not accepted and never runs"), false
		}
		spec.Excess = l.isExcess(f.config.OrganisationByName(f.organisation))
		l.queued.add(queuedCall{submit: &spec})
		return Answer{}, true
	})
	if a.Code == Done && !repeated {
		a = c.accepted(&f)
	}
	return c.finish("submit", &f, a)
}

const (
	// largeJobBytes is the size from which a job counts as large. The payload of a job has at
	// most half of that.
	largeJobBytes = 8 << 10
	// largeJobsShare is the part of the room for jobs, one in so many, that large jobs leave
	// to others.
	largeJobsShare = 2
)

// hasRoom reports whether there is room for a job beside those that are kept and those
// that wait to be accepted. The caller must hold d.mu.
func (l *leadership) hasRoom(s *graph.Spec) bool {
	size, room := int64(s.Bytes()), l.d.cfg.JobBytes
	if size > largeJobBytes {
		room -= room / largeJobsShare
	}
	return l.d.tables.KeptBytes()+l.queued.size+size <= room
}

// isAccepted reports whether an attempt of the call with the given number has submitted
// the job that the path names. It does not ask the configuration, which may have changed
// since: the queue may be gone, and the caller's key. The caller must hold d.mu.
func (d *Dispatcher) isAccepted(path string, call uint64) bool {
	id := graph.JobID(path[max(0, len(path)-idLength):]) // the prefix is that of the queue
	j := d.tables.Job(id)
	return j != nil && call != 0 && j.Spec.Call == call
}

func idInUse() Answer {
	return answer(IDInUse, "the id is in use; this job was not accepted and never runs")
}

func withdrawn() Answer {
	return answer(Withdrawn, "the job was cancelled before it arrived; it was not accepted and never runs")
}

// accepted returns the answer to a submission that has been applied. While it waited for
// that, its id may have been taken by a job that the caller may not see, or the job may
// have been cancelled.
func (c Caller) accepted(f *target) Answer {
	c.d.mu.Lock()
	defer c.d.mu.Unlock()
	switch j, hidden := c.job(f); {
	case hidden:
		return idInUse()
	case j == nil:
		return withdrawn()
	}
	return Answer{Code: Done}
}

// Cancel cancels a job. Cancelling a job that has ended succeeds without a change. The
// answer NoJob means that the caller's job with this id does not run later either: its
// submission may still be under way.
func (c Caller) Cancel(ctx context.Context, host, path string) Answer {
	var f target
	a := c.d.withLeader(ctx, func(l *leadership) (Answer, bool) {
		var refusal *Answer
		if f, refusal = c.resolve(host, path); refusal != nil {
			return *refusal, false
		}
		switch j, hidden := c.job(&f); {
		case hidden || !ValidID(f.id): // a submission is refused in any case
			return noJob(), false
		case j == nil:
			return l.withdraw(&f)
		case !j.Live():
			return Answer{Code: Done}, false
		}
		l.queued.add(queuedCall{cancel: f.id})
		return Answer{}, true
	})
	if a.Code == Done {
		a = c.cancelled(&f)
	}
	return c.finish("cancel", &f, a)
}

func noJob() Answer { return answer(NoJob, "there is no such job") }

// withdraw queues the record that a job that is not known has been cancelled. Without
// room for it nothing is done: the answer that there is no such job would not be certain.
func (l *leadership) withdraw(f *target) (a Answer, commit bool) {
	if first, next := l.d.tables.Withdrawals(); next-first+uint64(l.queued.withdrawals()) >= graph.MaxWithdrawals {
		return answer(NotApplied, "too many cancels of jobs that are not known"), false
	}
	l.queued.add(queuedCall{withdrawal: &graph.Withdrawal{Job: f.id, Queue: f.queue.Name, Organisation: f.organisation}})
	return Answer{}, true
}

// cancelled returns the answer to a cancel that has been applied, or that needed no change.
func (c Caller) cancelled(f *target) Answer {
	c.d.mu.Lock()
	defer c.d.mu.Unlock()
	switch j, hidden := c.job(f); {
	case hidden: // an attempt before its owner changed may have cancelled it
		return noJob()
	case j == nil: // the withdrawal makes it true
		return noJob().settled()
	}
	return Answer{Code: Done}
}

// Look returns the state of a job. For a path that equals a queue's prefix, it
// returns the number of jobs in the queue none of whose tasks has begun on a worker.
func (c Caller) Look(host, path string) Answer {
	var f target
	a := c.d.withLeader(context.Background(), func(*leadership) (Answer, bool) {
		var refusal *Answer
		if f, refusal = c.resolve(host, path); refusal != nil {
			return *refusal, false
		}
		a := Answer{Code: Done, Version: f.config.Version}
		if f.id == "" {
			a.Pending = c.d.tables.Pending(f.queue.Name)
			return a, false
		}
		j, _ := c.job(&f)
		if j == nil {
			return noJob(), false
		}
		a.State = j.State
		return a, false
	})
	return c.finish("look", &f, a.settled()) // a read changes nothing
}

// finish counts an answer, and logs it if a rule about keys or owners has refused the
// call.
func (c Caller) finish(call string, f *target, a Answer) Answer {
	if f.refusedBy != "" && a.Code != NotLeader {
		c.d.metrics.refusals.WithLabelValues(f.refusedBy).Inc()
		e := c.d.cfg.Logger.Info().Str("call", call).Str("queue", f.queue.Name).Str("rule", f.refusedBy).Uint64("version", f.config.Version)
		if !c.key.IsZero() {
			e = e.Str("key", c.key.Short())
		}
		e.Msg("call refused: its key does not allow it")
	}
	return c.d.countAnswer(call, a)
}
