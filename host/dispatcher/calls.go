package dispatcher

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"gooseberrypond/core/graph"
)

// Code is the outcome of a call.
type Code uint8

// Outcomes of calls.
const (
	// Done means that the change is committed, or that the data read is current.
	Done Code = iota + 1
	// NotLeader means that this host is not the leader; nothing was done.
	NotLeader
	// NotApplied means that the change was not made and never will be; the
	// call may be repeated. Its string is "not taken".
	NotApplied
	// Unknown means that the change may or may not take effect.
	Unknown
	// NoConfig means that no configuration has been committed yet; nothing was
	// done. The reason in its answers is "no configuration is in force".
	NoConfig
	// NoQueue means that no queue is configured for the host and path.
	NoQueue
	// NoJob means that there is no such job.
	NoJob
	// Invalid means that the request is malformed; repeating it cannot succeed.
	Invalid
	// NoKey means that the queue needs a key and the call has none, or one that is not
	// in the committed configuration; nothing was done.
	NoKey
	// IDInUse means that the job's id is that of a job which the caller may not see. The
	// submitted job was not accepted and never will be.
	IDInUse
	// Withdrawn means that the job was cancelled before its submission arrived. It was
	// not accepted and never runs.
	Withdrawn
	// Outdated means that the order was given for a state of the failure domains that is no
	// longer the current one. It has no effect; Answer.Domains names the current state.
	Outdated
)

var codeNames = [...]string{"", "done", "not leader", "not taken", "unknown", "no config", "no queue", "no job", "invalid", "no key", "id in use", "withdrawn", "outdated"}

// String returns the name of the code, as used in logs and metric labels. A host of a
// later version may send a code that has none here.
func (c Code) String() string {
	if int(c) >= len(codeNames) {
		return fmt.Sprintf("code %d", uint8(c))
	}
	return codeNames[c]
}

// Answer is the outcome of a call.
type Answer struct {
	Code Code
	// Reason explains a code other than Done.
	Reason string
	// State is a job's state.
	State graph.JobState
	// Pending is the number of jobs in a queue none of whose tasks has begun on a worker.
	Pending int
	// Config is the configuration document as it was received.
	Config []byte
	// Version is the version of the configuration that the answer is based on.
	Version uint64
	// Term is the term of the leader that read or acknowledged a configuration.
	Term uint64
	// Limits are the size and time limits for requests from callers.
	Limits graph.Limits
	// Domains is the current state of the failure domains, if the code is Outdated.
	Domains DomainVersion
	// Settled is set in an answer other than Done that holds whatever the call did before.
	Settled bool
}

// Final reports whether the answer to a repeated call holds for the call as a whole. Any
// other answer holds for one attempt only: an earlier one that was not answered may have
// taken effect before the reason for a refusal arose.
func (a Answer) Final() bool { return a.Code == Done || a.Settled }

// settled returns the answer with Settled set.
func (a Answer) settled() Answer {
	a.Settled = true
	return a
}

func answer(code Code, reason string) Answer { return Answer{Code: code, Reason: reason} }

// idLength is the number of hexadecimal digits of a job's id.
const idLength = 16

// ValidID reports whether id is 16 hexadecimal digits.
func ValidID(id graph.JobID) bool {
	return len(id) == idLength && strings.Trim(string(id), "0123456789abcdefABCDEF") == ""
}

// PutConfig commits a configuration. If its version is not higher than that of the
// committed configuration, the call succeeds without a change.
func (d *Dispatcher) PutConfig(ctx context.Context, c *graph.Config) Answer {
	if err := c.CheckSize(maxConfigBytes); err != nil {
		return d.countAnswer("putconfig", answer(Invalid, err.Error()))
	}
	for {
		alreadyCommitted := false
		a := d.withLeader(ctx, func(l *leadership) (Answer, bool) {
			if now := d.tables.Config(); now != nil && now.Version >= c.Version {
				alreadyCommitted = true
				return Answer{Code: Done, Version: now.Version, Term: l.term}, false
			}
			if l.queued.config == nil || l.queued.config.Version < c.Version {
				l.queued.config = c
			}
			return Answer{}, true
		})
		// If an equal or higher version was already queued, the call succeeds
		// once that version is committed: the next iteration finds it in the
		// tables.
		if alreadyCommitted || a.Code != Done {
			return d.countAnswer("putconfig", a)
		}
	}
}

// GetConfig returns the committed configuration, as current as at the time of the call.
// It asks a quorum: the lease is not enough, because it relies on the leader's clock.
func (d *Dispatcher) GetConfig(ctx context.Context) Answer {
	return d.countAnswer("getconfig", d.readConfig(ctx).settled()) // a read changes nothing
}

func (d *Dispatcher) readConfig(ctx context.Context) Answer {
	d.mu.Lock()
	l, log := d.activeLeadership(), d.log
	d.mu.Unlock()
	if l == nil {
		return answer(NotLeader, "this host does not lead")
	}
	if err := log.ReadBarrier(ctx); err != nil {
		return answer(NotLeader, "leadership is not confirmed: "+err.Error())
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.tables.Config()
	if c == nil {
		return answer(NoConfig, "no configuration is in force")
	}
	return Answer{Code: Done, Config: c.Document, Version: c.Version, Limits: c.Limits, Term: l.term}
}

// Beat handles a worker's heartbeat report.
func (d *Dispatcher) Beat(ctx context.Context, r graph.WorkerReport) Answer {
	return d.Beats(ctx, []graph.WorkerReport{r})
}

// Beats handles the heartbeat reports of several workers. The answer holds for all of
// them; reports may be repeated. One that no worker can have sent is ignored.
func (d *Dispatcher) Beats(ctx context.Context, reports []graph.WorkerReport) Answer {
	return d.countAnswer("beat", d.withLeader(ctx, func(l *leadership) (Answer, bool) {
		now, record := d.cfg.Now(), false
		for i := range reports {
			if err := reports[i].Check(now); err != nil { // the others hold
				d.cfg.Logger.Warn().Err(err).Str("step", "heartbeat").Str("worker", reports[i].ID).Msg("report ignored: no worker can have sent it")
				continue
			}
			record = l.core.Beat(now, reports[i]) || record
		}
		return Answer{Code: Done}, record
	}))
}

// Leave handles a worker's notice that it leaves. It returns once that is committed, for which
// the worker's runs are stopped first.
func (d *Dispatcher) Leave(ctx context.Context, id string) Answer {
	return d.countAnswer("leave", d.withLeader(ctx, func(l *leadership) (Answer, bool) {
		record := l.core.Leave(l.d.cfg.Now(), id)
		if record {
			l.queued.awaitLeave(id)
			d.cfg.Logger.Info().Str("worker", id).Int("runs", l.core.RunsOf(id)).Msg("worker gives notice that it leaves: its runs are stopped before that is acknowledged")
		}
		return Answer{Code: Done}, record
	}))
}

// withLeader runs call with d.mu held if this replica is the leader. If call
// returns commit, withLeader waits until the changes queued by call are
// committed. Otherwise it returns the answer of call, but checks the lease again
// first: if the lease has ended, another leader may have changed the data the
// answer is based on.
func (d *Dispatcher) withLeader(ctx context.Context, call func(l *leadership) (a Answer, commit bool)) Answer {
	l, a, w := d.callLocked(call)
	switch {
	case l == nil:
		return answer(NotLeader, "this host does not lead")
	case w != nil:
		return waitForCommit(ctx, l, w)
	case !l.holdsLease():
		return answer(NotLeader, "leadership ended meanwhile")
	}
	return a
}

// callLocked runs call with d.mu held if this replica is the leader; otherwise l is
// nil. If call returns commit, w waits for the changes that it queued.
func (d *Dispatcher) callLocked(call func(l *leadership) (a Answer, commit bool)) (l *leadership, a Answer, w *waiter) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if l = d.activeLeadership(); l == nil {
		return nil, Answer{}, nil
	}
	a, commit := call(l)
	if commit {
		w = &waiter{done: make(chan error, 1)}
		l.queued.addWaiter(w)
	}
	return l, a, w
}

// countAnswer counts an answer in the metrics and returns it.
func (d *Dispatcher) countAnswer(call string, a Answer) Answer {
	d.metrics.answers.WithLabelValues(call, a.Code.String()).Inc()
	return a
}

// waitForCommit waits until the changes that w waits for are committed.
func waitForCommit(ctx context.Context, l *leadership, w *waiter) Answer {
	l.wakeRun()
	var err error
	select {
	case err = <-w.done:
	case <-ctx.Done():
		err = errors.Mark(ctx.Err(), ErrOutcomeUnknown)
	case <-time.After(proposeTimeout):
		err = errors.Mark(errors.New("no outcome in time"), ErrOutcomeUnknown)
	}
	return answerOf(err)
}

// answerOf returns the answer to a call whose proposal ended with the error.
func answerOf(err error) Answer {
	switch {
	case err == nil:
		return Answer{Code: Done}
	case errors.Is(err, ErrOutcomeUnknown):
		return answer(Unknown, err.Error())
	}
	return answer(NotApplied, err.Error())
}
