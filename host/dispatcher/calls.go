package dispatcher

import (
	"context"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"gooseberrypond/core/graph"
)

// Code says how a call ended.
type Code uint8

// Codes.
const (
	// Done means that the change is committed, or the answer current.
	Done Code = iota + 1
	// NotLeader means that this host does not lead; nothing was done.
	NotLeader
	// NotApplied means that nothing was changed and nothing will be; the call may be repeated.
	NotApplied
	// Unknown means that the change may or may not take effect.
	Unknown
	// NoConfig means that no configuration is in force yet; nothing was done.
	NoConfig
	// NoQueue means that no queue is configured for the host and path.
	NoQueue
	// NoJob means that there is no such job.
	NoJob
	// Invalid means that the request can never be carried out.
	Invalid
)

// String returns the name of the code.
func (c Code) String() string {
	return [...]string{"", "done", "not leader", "not taken", "unknown", "no config", "no queue", "no job", "invalid"}[c]
}

// Answer is the outcome of a call.
type Answer struct {
	Code Code
	// Reason explains a code other than Done.
	Reason string
	// State is a job's state.
	State graph.JobState
	// Pending is the number of a queue's jobs of which no task has started.
	Pending int
	// Config is the configuration as it was received.
	Config []byte
	// Version is the version of the configuration that decided.
	Version uint64
	// Limits bound callers' requests.
	Limits graph.Limits
}

func answer(code Code, reason string) Answer { return Answer{Code: code, Reason: reason} }

// found is where a request leads.
type found struct {
	queue *graph.Queue
	id    graph.JobID
}

// route finds the queue and job of a request, with d.mu held.
func (d *Dispatcher) route(host, path string) (found, *Answer) {
	c := d.tables.Config()
	if c == nil {
		a := answer(NoConfig, "no configuration is in force")
		return found{}, &a
	}
	q := c.MatchQueue(host, path)
	if q == nil {
		a := answer(NoQueue, "no queue is configured for this host and path")
		a.Version = c.Version
		return found{}, &a
	}
	return found{q, graph.JobID(strings.TrimPrefix(path, q.PathPrefix))}, nil
}

// ValidID reports whether id is 16 hexadecimal digits.
func ValidID(id graph.JobID) bool {
	return len(id) == 16 && strings.Trim(string(id), "0123456789abcdefABCDEF") == ""
}

// Submit accepts a job. Its id and queue follow from host and path.
func (d *Dispatcher) Submit(ctx context.Context, host, path string, spec graph.Spec) Answer {
	return d.counted("submit", d.decide(ctx, func(l *leadership) (Answer, bool) {
		f, refusal := d.route(host, path)
		switch {
		case refusal != nil:
			return *refusal, false
		case !ValidID(f.id):
			return answer(Invalid, "the job id must be 16 hexadecimal digits"), false
		case d.tables.Job(f.id) != nil:
			return Answer{Code: Done}, false
		}
		spec.ID, spec.Queue = f.id, f.queue.Name
		l.next.submits = append(l.next.submits, spec)
		return Answer{}, true
	}))
}

// Cancel cancels a job.
func (d *Dispatcher) Cancel(ctx context.Context, host, path string) Answer {
	return d.counted("cancel", d.decide(ctx, func(l *leadership) (Answer, bool) {
		f, refusal := d.route(host, path)
		if refusal != nil {
			return *refusal, false
		}
		j := d.tables.Job(f.id)
		switch {
		case j == nil:
			return answer(NoJob, "there is no such job"), false
		case !j.Live():
			return Answer{Code: Done}, false
		}
		l.next.cancels = append(l.next.cancels, f.id)
		return Answer{}, true
	}))
}

// Look returns a job's state, or, for a path that is a queue's prefix, the
// number of its jobs of which no task has started.
func (d *Dispatcher) Look(host, path string) Answer {
	return d.counted("look", d.decide(context.Background(), func(*leadership) (Answer, bool) {
		f, refusal := d.route(host, path)
		if refusal != nil {
			return *refusal, false
		}
		a := Answer{Code: Done, Version: d.tables.Config().Version}
		if f.id == "" {
			a.Pending = d.tables.Pending(f.queue.Name)
			return a, false
		}
		j := d.tables.Job(f.id)
		if j == nil {
			return answer(NoJob, "there is no such job"), false
		}
		a.State = j.State
		return a, false
	}))
}

// PutConfig puts a configuration in force unless its version is not higher
// than that of the present one; that changes nothing, and is acknowledged.
func (d *Dispatcher) PutConfig(ctx context.Context, c *graph.Config) Answer {
	for {
		recorded := false
		a := d.decide(ctx, func(l *leadership) (Answer, bool) {
			if now := d.tables.Config(); now != nil && now.Version >= c.Version {
				recorded = true
				return Answer{Code: Done, Version: now.Version}, false
			}
			if l.next.config == nil || l.next.config.Version < c.Version {
				l.next.config = c
			}
			return Answer{}, true
		})
		// With an equal or higher version queued, this one is acknowledged
		// once that is committed; the next turn sees it in the tables.
		if recorded || a.Code != Done {
			return d.counted("putconfig", a)
		}
	}
}

// GetConfig returns the configuration in force.
func (d *Dispatcher) GetConfig() Answer {
	return d.counted("getconfig", d.decide(context.Background(), func(*leadership) (Answer, bool) {
		c := d.tables.Config()
		if c == nil {
			return answer(NoConfig, "no configuration is in force"), false
		}
		return Answer{Code: Done, Config: c.Document, Version: c.Version, Limits: c.Limits}, false
	}))
}

// SetDomain takes a failure domain out of service or brings it back.
func (d *Dispatcher) SetDomain(ctx context.Context, name string, out bool) Answer {
	return d.counted("setdomain", d.decide(ctx, func(l *leadership) (Answer, bool) {
		l.next.domains = append(l.next.domains, graph.DomainChange{Name: name, Out: out})
		return Answer{}, true
	}))
}

// Beat takes a worker's report of itself.
func (d *Dispatcher) Beat(ctx context.Context, r graph.WorkerReport) Answer {
	return d.counted("beat", d.decide(ctx, func(l *leadership) (Answer, bool) {
		return Answer{Code: Done}, l.core.Beat(d.cfg.Now(), r)
	}))
}

// Leave takes a worker's word that it is gone.
func (d *Dispatcher) Leave(ctx context.Context, id string) Answer {
	return d.counted("leave", d.decide(ctx, func(l *leadership) (Answer, bool) {
		return Answer{Code: Done}, l.core.Leave(id)
	}))
}

// decide runs a call on the leader with d.mu held. It waits for the commit of
// what the call has added to l.next, if commit is set; else it returns the
// call's answer, unless the lease ended meanwhile: another leader may then have
// changed what the answer rests on.
func (d *Dispatcher) decide(ctx context.Context, call func(l *leadership) (a Answer, commit bool)) Answer {
	d.mu.Lock()
	l := d.leading()
	if l == nil {
		d.mu.Unlock()
		return answer(NotLeader, "this host does not lead")
	}
	a, commit := call(l)
	if commit {
		return d.wait(ctx, l)
	}
	d.mu.Unlock()
	if !l.holdsLease() {
		return answer(NotLeader, "leadership ended meanwhile")
	}
	return a
}

// counted counts an answer and returns it.
func (d *Dispatcher) counted(call string, a Answer) Answer {
	d.metrics.answers.WithLabelValues(call, a.Code.String()).Inc()
	return a
}

// wait waits until what was added to l.next is committed. It is called with
// d.mu held and releases it.
func (d *Dispatcher) wait(ctx context.Context, l *leadership) Answer {
	w := &waiter{done: make(chan error, 1)}
	l.next.waiters = append(l.next.waiters, w)
	d.mu.Unlock()
	l.poke()
	var err error
	select {
	case err = <-w.done:
	case <-ctx.Done():
		err = errors.Mark(ctx.Err(), ErrOutcomeUnknown)
	case <-time.After(proposeTimeout):
		err = errors.Mark(errors.New("no outcome in time"), ErrOutcomeUnknown)
	}
	switch {
	case err == nil:
		return Answer{Code: Done}
	case errors.Is(err, ErrOutcomeUnknown):
		return answer(Unknown, err.Error())
	}
	return answer(NotApplied, err.Error())
}
