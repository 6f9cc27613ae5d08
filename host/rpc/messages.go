// Package rpc carries calls between entry and control hosts over net/rpc. The
// client finds the leader, bounds every attempt in time, and repeats a call
// only where a second delivery is harmless.
package rpc

import (
	"context"
	"time"

	"gooseberrypond/core/structs"
)

// FormatVersion is the version of the messages in this package. Hosts with
// different versions refuse each other's calls.
const FormatVersion = 1

// Header accompanies every call.
type Header struct {
	Cluster string
	Format  int
	// From is the id of the calling host.
	From string
	// TimeoutMS bounds the work of the called host, in milliseconds.
	TimeoutMS int64
}

// Request is a call's argument.
type Request[T any] struct {
	Header Header
	Body   T
}

// Reply is a call's answer.
type Reply[T any] struct {
	Error *structs.Error
	// Leader is the id of the leader as far as a follower knows it.
	Leader string
	Body   T
}

// Empty is the body of calls without argument or result. Gob cannot encode a
// struct without fields.
type Empty struct{ Unused bool }

// GetJob asks for one job of an owner.
type GetJob struct {
	Owner string
	Job   structs.JobID
	// WaitMS is how long the answer may be held until the job has finished, in milliseconds.
	WaitMS int64
}

// Explain asks why a job is where it is.
type Explain struct {
	Owner string
	Job   structs.JobID
}

// ListJobs asks for jobs of an owner in id order.
type ListJobs struct {
	Owner string
	// After is the last id of the previous page.
	After structs.JobID
	// Limit bounds the page; 0 means 100, and the most is 1,000.
	Limit int
}

// Change asks for the outcome of an operator's change.
type Change struct{ ID string }

// Versions are the versions of the catalogue and of the domain states.
type Versions struct {
	Catalogue uint64
	Domains   uint64
}

// Control is what entry hosts and edges ask of the control hosts. The client
// and the control role implement it. Errors are of type *structs.Error.
type Control interface {
	Sync(ctx context.Context, req *structs.EntrySync) (*structs.EntryView, error)
	// Watch answers once the versions differ from seen, or after a while. It only
	// triggers the next Sync early, which carries the content.
	Watch(ctx context.Context, seen Versions) (Versions, error)
	WorkerRegister(ctx context.Context, req *structs.WorkerRegister) error
	WorkerSync(ctx context.Context, req *structs.WorkerSync) (*structs.WorkerSyncReply, error)
	Announce(ctx context.Context, u structs.Upstream) error
	Leave(ctx context.Context, upstream string) error
	Submit(ctx context.Context, job structs.SubmitJob) (structs.SubmitResult, error)
	Cancel(ctx context.Context, c structs.CancelJob) error
	GetJob(ctx context.Context, q GetJob) (*structs.JobView, error)
	Explain(ctx context.Context, q Explain) ([]string, error)
	ListJobs(ctx context.Context, q ListJobs) ([]structs.Job, error)
	Claim(ctx context.Context, c structs.Claim) (structs.Result, error)
	Complete(ctx context.Context, c structs.Complete) error
	Catalogue(ctx context.Context) (*structs.Catalogue, error)
	ApplyCatalogue(ctx context.Context, c *structs.PutCatalogue) (*structs.ChangeResult, error)
	SetDomain(ctx context.Context, c structs.SetDomain) (*structs.ChangeResult, error)
	Domains(ctx context.Context) ([]structs.DomainInfo, error)
	Change(ctx context.Context, id string) (*structs.ChangeStatus, error)
	Status(ctx context.Context) (*structs.Status, error)
	Members(ctx context.Context) ([]structs.ReplicaInfo, error)
	MemberChange(ctx context.Context, c structs.MemberRequest) error
	// Dump returns the state of one control host as JSON; "" means the leader.
	Dump(ctx context.Context, host string) ([]byte, error)
}

// Time limits of the client.
const (
	// dialTimeout bounds the connection to one peer.
	dialTimeout = 300 * time.Millisecond
	// attemptTimeout bounds one attempt; an unreachable leader is noticed after it.
	attemptTimeout = time.Second
	// proposeTimeout bounds one attempt of a call that waits for the replicated log.
	proposeTimeout = 2 * time.Second
	// dumpTimeout bounds one dump; at full size it is tens of megabytes.
	dumpTimeout = 15 * time.Second
	// WatchHold is how long Watch is held without a change.
	WatchHold = 5 * time.Second
	// retryPause is the wait between attempts while no leader is known.
	retryPause = 25 * time.Millisecond
	// maxRedirects is the number of hints to another leader that are followed
	// without a pause; replicas may name each other during an election.
	maxRedirects = 2
	// callTimeout bounds a call whose caller sets no deadline.
	callTimeout = 10 * time.Second
	// quietLimit is the time without any answer after which a timed-out
	// connection is closed rather than kept for other calls.
	quietLimit = 2 * time.Second
)
