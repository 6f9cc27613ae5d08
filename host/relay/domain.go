package relay

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"gooseberrypond/host/dispatcher"
)

// SetDomain takes a failure domain out of service or brings it back. The first attempt only
// learns the state of the failure domains, for which the next one gives the order. The caller
// must still wait in between: then it has not given a newer order before that state.
func (c *Client) SetDomain(ctx context.Context, name string, out bool) (dispatcher.Answer, error) {
	began, patience := c.sinceBoot(), patienceOf(ctx)
	var seen dispatcher.DomainVersion
	for {
		a, err := c.callLeader(ctx, "SetDomain", &DomainArgs{Name: name, Out: out, Seen: seen})
		if err != nil || a.Code != dispatcher.Outdated {
			return a, err
		}
		err = checkCaller(ctx)
		if waited := c.sinceBoot().Sub(began); err == nil && waited > patience {
			err = errors.Wrapf(ErrTooLate, "the machine was suspended: the order is %s old", waited)
		}
		switch {
		case err != nil && seen == dispatcher.DomainVersion{}:
			return dispatcher.Answer{}, err
		case err != nil: // a former attempt without an answer may have taken effect
			return dispatcher.Answer{}, errors.Wrapf(ErrNoAnswer, "the order is outdated and its caller is gone: %v", err)
		}
		seen = a.Domains
	}
}

// patienceOf returns how long the caller in whose context ctx lies waits.
func patienceOf(ctx context.Context) time.Duration {
	if deadline, ok := ctx.Deadline(); ok {
		return time.Until(deadline)
	}
	return defaultPatience
}
