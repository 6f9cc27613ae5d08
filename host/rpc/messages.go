// Package rpc carries calls between entry and control hosts over net/rpc. The
// client finds the leader, bounds the time of every attempt, and retries a call
// that may have been processed only if a second delivery is harmless.
package rpc

import (
	"context"
	"time"

	"gooseberrypond/core/structs"
)

// FormatVersion is the version of the messages in this package. Hosts with
// different versions refuse each other's calls.
const FormatVersion = 1

// Header is sent with every call.
type Header struct {
	Cluster string
	Format  int
	// From is the id of the calling host.
	From string
	// TimeoutMS bounds the time that the called host spends on the call, in
	// milliseconds.
	TimeoutMS int64
}

// Request is the argument of a call: its header and body.
type Request[T any] struct {
	Header Header
	Body   T
}

// Reply is the result of a call: either Error or Body is set.
type Reply[T any] struct {
	Error *structs.Error
	// Leader is the id of the leader that a follower knows, or empty. It is set
	// if Error has CodeNotLeader.
	Leader string
	Body   T
}

// Empty is the body of calls without an argument or result. It has a field
// because gob cannot encode a struct without fields.
type Empty struct{ Unused bool }

// GetJob asks for one job of an owner.
type GetJob struct {
	Owner string
	Job   structs.JobID
	// WaitMS is how long the call may wait for the job to finish, in milliseconds.
	WaitMS int64
}

// Explain asks for the reasons for a job's current state.
type Explain struct {
	Owner string
	Job   structs.JobID
}

// ListJobs asks for jobs of an owner in id order.
type ListJobs struct {
	Owner string
	// After is the last id of the previous page.
	After structs.JobID
	// Limit is the maximum size of the page, at most 1,000; 0 means 100.
	Limit int
}

// Change asks for the outcome of an operator's change.
type Change struct{ ID string }

// Versions are the versions of the catalogue and of the domain states.
type Versions struct {
	Catalogue uint64
	Domains   uint64
}

// Control is the interface of the control hosts that entry hosts and edges use.
// Client and the control role implement it. Errors are of type *structs.Error.
type Control interface {
	Sync(ctx context.Context, req *structs.EntrySync) (*structs.EntryView, error)
	// Watch returns the current versions once they differ from seen, or after
	// WatchHold. It only triggers an early Sync, which carries the content.
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
	// Dump returns the state of one control host as JSON; an empty host means
	// the leader.
	Dump(ctx context.Context, host string) ([]byte, error)
}

// Time limits of the client.
const (
	// dialTimeout bounds the dialling of one peer, TLS handshake included.
	dialTimeout = 300 * time.Millisecond
	// attemptTimeout bounds one attempt, and so the time until an unreachable
	// leader is noticed.
	attemptTimeout = time.Second
	// proposeTimeout bounds one attempt of a call that waits for the replicated log.
	proposeTimeout = 2 * time.Second
	// dumpTimeout bounds one dump, which at full size is tens of megabytes.
	dumpTimeout = 15 * time.Second
	// WatchHold is how long the server holds a Watch call while nothing changes.
	WatchHold = 5 * time.Second
	// retryPause is the mean wait between attempts that do not follow a leader
	// hint.
	retryPause = 25 * time.Millisecond
	// maxRedirects is how many leader hints a call follows without a pause. It
	// is limited because replicas may name each other during an election.
	maxRedirects = 2
	// callTimeout bounds a call whose caller sets no deadline.
	callTimeout = 10 * time.Second
	// unresponsiveLimit is how long a connection may be without any reply before a
	// call that times out closes it. Until then other calls may go on using it.
	unresponsiveLimit = 2 * time.Second
)
