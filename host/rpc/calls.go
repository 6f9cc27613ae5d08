package rpc

import (
	"context"
	"time"

	"gooseberrypond/core/structs"
)

var _ Control = (*Client)(nil)

// ptr returns a pointer to r, or nil if the call failed.
func ptr[R any](r R, err error) (*R, error) {
	if err != nil {
		return nil, err
	}
	return &r, nil
}

// unloggedCall returns the options of a call that proposes nothing to the
// replicated log and may be retried.
func unloggedCall(method string) callOptions {
	return callOptions{method: method, timeout: attemptTimeout, retryUnknown: true}
}

// readCall returns the options of a call that changes nothing.
func readCall(method string) callOptions {
	opts := unloggedCall(method)
	opts.read = true
	return opts
}

// loggedCall returns the options of a call that waits for a proposal to the
// replicated log and may be retried.
func loggedCall(method string) callOptions {
	return callOptions{method: method, timeout: proposeTimeout, retryUnknown: true}
}

// Sync implements Control. It is not retried: the leader refuses a repeated
// sequence number.
func (c *Client) Sync(ctx context.Context, req *structs.EntrySync) (*structs.EntryView, error) {
	return ptr(call[structs.EntrySync, structs.EntryView](ctx, c, callOptions{method: "Sync", timeout: attemptTimeout}, *req))
}

// Watch implements Control. It is not retried; the caller calls it again.
func (c *Client) Watch(ctx context.Context, seen Versions) (Versions, error) {
	return call[Versions, Versions](ctx, c, callOptions{method: "Watch", timeout: WatchHold + attemptTimeout}, seen)
}

// WorkerRegister implements Control.
func (c *Client) WorkerRegister(ctx context.Context, req *structs.WorkerRegister) error {
	_, err := call[structs.WorkerRegister, Empty](ctx, c, loggedCall("WorkerRegister"), *req)
	return err
}

// WorkerSync implements Control. It is not retried: the leader refuses a repeated
// sequence number.
func (c *Client) WorkerSync(ctx context.Context, req *structs.WorkerSync) (*structs.WorkerSyncReply, error) {
	timeout := proposeTimeout + time.Duration(req.WaitMS)*time.Millisecond
	return ptr(call[structs.WorkerSync, structs.WorkerSyncReply](ctx, c, callOptions{method: "WorkerSync", timeout: timeout}, *req))
}

// Announce implements Control.
func (c *Client) Announce(ctx context.Context, u structs.Upstream) error {
	_, err := call[structs.Upstream, Empty](ctx, c, unloggedCall("Announce"), u)
	return err
}

// Leave implements Control.
func (c *Client) Leave(ctx context.Context, upstream string) error {
	_, err := call[string, Empty](ctx, c, unloggedCall("Leave"), upstream)
	return err
}

// Submit implements Control.
func (c *Client) Submit(ctx context.Context, job structs.SubmitJob) (structs.SubmitResult, error) {
	return call[structs.SubmitJob, structs.SubmitResult](ctx, c, loggedCall("Submit"), job)
}

// Cancel implements Control.
func (c *Client) Cancel(ctx context.Context, cancel structs.CancelJob) error {
	_, err := call[structs.CancelJob, Empty](ctx, c, loggedCall("Cancel"), cancel)
	return err
}

// GetJob implements Control.
func (c *Client) GetJob(ctx context.Context, q GetJob) (*structs.JobView, error) {
	opts := readCall("GetJob")
	opts.timeout += time.Duration(q.WaitMS) * time.Millisecond
	return ptr(call[GetJob, structs.JobView](ctx, c, opts, q))
}

// Explain implements Control.
func (c *Client) Explain(ctx context.Context, q Explain) ([]string, error) {
	return call[Explain, []string](ctx, c, readCall("Explain"), q)
}

// ListJobs implements Control.
func (c *Client) ListJobs(ctx context.Context, q ListJobs) ([]structs.Job, error) {
	return call[ListJobs, []structs.Job](ctx, c, readCall("ListJobs"), q)
}

// Claim implements Control. It may be retried: the nonce makes it idempotent.
func (c *Client) Claim(ctx context.Context, claim structs.Claim) (structs.Result, error) {
	return call[structs.Claim, structs.Result](ctx, c, loggedCall("Claim"), claim)
}

// Complete implements Control.
func (c *Client) Complete(ctx context.Context, done structs.Complete) error {
	_, err := call[structs.Complete, Empty](ctx, c, loggedCall("Complete"), done)
	return err
}

// Catalogue implements Control.
func (c *Client) Catalogue(ctx context.Context) (*structs.Catalogue, error) {
	return ptr(call[Empty, structs.Catalogue](ctx, c, readCall("Catalogue"), Empty{}))
}

// ApplyCatalogue implements Control. It may be retried: the change id makes it
// idempotent.
func (c *Client) ApplyCatalogue(ctx context.Context, put *structs.PutCatalogue) (*structs.ChangeResult, error) {
	return ptr(call[structs.PutCatalogue, structs.ChangeResult](ctx, c, loggedCall("ApplyCatalogue"), *put))
}

// SetDomain implements Control.
func (c *Client) SetDomain(ctx context.Context, set structs.SetDomain) (*structs.ChangeResult, error) {
	return ptr(call[structs.SetDomain, structs.ChangeResult](ctx, c, loggedCall("SetDomain"), set))
}

// Domains implements Control.
func (c *Client) Domains(ctx context.Context) ([]structs.DomainInfo, error) {
	return call[Empty, []structs.DomainInfo](ctx, c, readCall("Domains"), Empty{})
}

// Change implements Control.
func (c *Client) Change(ctx context.Context, id string) (*structs.ChangeStatus, error) {
	return ptr(call[Change, structs.ChangeStatus](ctx, c, readCall("Change"), Change{ID: id}))
}

// Status implements Control.
func (c *Client) Status(ctx context.Context) (*structs.Status, error) {
	return ptr(call[Empty, structs.Status](ctx, c, readCall("Status"), Empty{}))
}

// Members implements Control.
func (c *Client) Members(ctx context.Context) ([]structs.ReplicaInfo, error) {
	return call[Empty, []structs.ReplicaInfo](ctx, c, readCall("Members"), Empty{})
}

// MemberChange implements Control.
func (c *Client) MemberChange(ctx context.Context, change structs.MemberRequest) error {
	_, err := call[structs.MemberRequest, Empty](ctx, c, loggedCall("MemberChange"), change)
	return err
}

// Dump implements Control. If host is set, that host answers the call whether it
// leads or not.
func (c *Client) Dump(ctx context.Context, host string) ([]byte, error) {
	opts := readCall("Dump")
	opts.timeout = dumpTimeout
	if host == "" {
		return call[string, []byte](ctx, c, opts, host)
	}
	for i, peer := range c.cfg.Peers {
		if peer.ID == host {
			data, err := attempt[string, []byte](ctx, c, i, opts, host)
			if err != nil {
				return nil, err
			}
			return data, nil
		}
	}
	return nil, structs.Errorf(structs.CodeNotFound, "rpc.Dump", "host %q is not a control host; ask its own operator listener", host).WithOutcome(structs.OutcomeNotRun)
}
