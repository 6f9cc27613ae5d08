package structs

// CommandVersion is the format version of replicated commands and snapshots.
// A replica stops when it reads a higher version, because it cannot interpret it.
const CommandVersion = 1

// Command is one entry of the replicated log. Exactly one of the pointer
// fields is set.
type Command struct {
	Version int `json:"version"`
	// NowMS is the leader's wall clock at proposal, in Unix milliseconds. It is
	// the only time that applying a command may use.
	NowMS int64 `json:"now_ms"`

	RegisterWorker *WorkerRegister `json:"register_worker,omitempty"`
	WorkerEvents   *WorkerEvents   `json:"worker_events,omitempty"`
	EndAttempts    *EndAttempts    `json:"end_attempts,omitempty"`
	Plan           *Plan           `json:"plan,omitempty"`
	SubmitJobs     *SubmitJobs     `json:"submit_jobs,omitempty"`
	CancelJob      *CancelJob      `json:"cancel_job,omitempty"`
	PutCatalogue   *PutCatalogue   `json:"put_catalogue,omitempty"`
	SetDomain      *SetDomain      `json:"set_domain,omitempty"`
	Claim          *Claim          `json:"claim,omitempty"`
	Complete       *Complete       `json:"complete,omitempty"`
	Expire         *Expire         `json:"expire,omitempty"`
}

// AttemptRef names one attempt of a task.
type AttemptRef struct {
	Task    TaskID `json:"task"`
	Attempt int64  `json:"attempt"`
	Epoch   uint64 `json:"epoch"`
	// NeverStarted is set in EndAttempts when no start of the attempt was ever sent.
	NeverStarted bool `json:"never_started,omitempty"`
}

// WorkerEvents records events reported by a worker.
type WorkerEvents struct {
	Worker      WorkerID    `json:"worker"`
	Incarnation uint64      `json:"incarnation"`
	Events      []TaskEvent `json:"events"`
}

// EndAttempts ends attempts that can no longer be running, because the
// worker's lease and the tasks' lease holds have expired.
type EndAttempts struct {
	Worker      WorkerID `json:"worker"`
	Incarnation uint64   `json:"incarnation"`
	// WorkerDead marks the worker as not live, so that it must register again.
	WorkerDead bool         `json:"worker_dead"`
	Attempts   []AttemptRef `json:"attempts"`
}

// Assignment places one task on a worker.
type Assignment struct {
	Task        TaskID    `json:"task"`
	Worker      WorkerID  `json:"worker"`
	Incarnation uint64    `json:"incarnation"`
	Reserved    Resources `json:"reserved"`
	Reason      string    `json:"reason,omitempty"`
}

// Eviction asks for an attempt to be checkpointed and stopped.
type Eviction struct {
	Ref    AttemptRef `json:"ref"`
	Reason string     `json:"reason"`
}

// Occurrence creates the task of one occurrence of a recurring job, or records
// it as skipped.
type Occurrence struct {
	Job    JobID `json:"job"`
	Number int64 `json:"number"`
	// Skipped is set when the entry's rule for missed occurrences skips it.
	Skipped bool `json:"skipped,omitempty"`
}

// JobNote records a finding of the scheduler about a job.
type JobNote struct {
	Job            JobID    `json:"job"`
	DeadlineAtRisk bool     `json:"deadline_at_risk,omitempty"`
	Unrunnable     bool     `json:"unrunnable,omitempty"`
	Reasons        []string `json:"reasons,omitempty"`
}

// Plan is the outcome of one scheduling tick. Every part is checked again
// when it is applied; parts that are no longer valid are dropped.
type Plan struct {
	Assign      []Assignment `json:"assign,omitempty"`
	Evict       []Eviction   `json:"evict,omitempty"`
	Occurrences []Occurrence `json:"occurrences,omitempty"`
	Notes       []JobNote    `json:"notes,omitempty"`
}

// Empty reports whether the plan contains nothing to apply.
func (p *Plan) Empty() bool {
	return len(p.Assign)+len(p.Evict)+len(p.Occurrences)+len(p.Notes) == 0
}

// SubmitJob is one submission.
type SubmitJob struct {
	Owner string  `json:"owner"`
	Key   string  `json:"key"`
	Spec  JobSpec `json:"spec"`
}

// SubmitJobs is a batch of submissions; each gets its own result.
type SubmitJobs struct {
	Jobs []SubmitJob `json:"jobs"`
}

// CancelJob cancels a job of an owner.
type CancelJob struct {
	Owner string `json:"owner"`
	Job   JobID  `json:"job"`
}

// PutCatalogue replaces the catalogue if its version is still BaseVersion.
type PutCatalogue struct {
	ChangeID    string    `json:"change_id"`
	BaseVersion uint64    `json:"base_version"`
	Catalogue   Catalogue `json:"catalogue"`
}

// SetDomain takes a failure domain out of service or brings it back.
type SetDomain struct {
	ChangeID string `json:"change_id"`
	Domain   string `json:"domain"`
	Out      bool   `json:"out"`
}

// Claim reserves the idempotency key of a non-idempotent request before it is sent.
type Claim struct {
	Owner string `json:"owner"`
	Key   string `json:"key"`
	// Digest is the hex SHA-256 of method, path and body. A claim of the same key with another
	// digest is refused.
	Digest string `json:"digest"`
	// Host is the entry host that makes the claim.
	Host string `json:"host"`
	// Nonce identifies the request that makes the claim, so that a retried proposal is recognised
	// as the same claim.
	Nonce string `json:"nonce"`
}

// Answer is the recorded response to a routed request.
type Answer struct {
	Status int                 `json:"status"`
	Header map[string][]string `json:"header,omitempty"`
	Body   []byte              `json:"body,omitempty"`
	// TooLarge is set when header and body were not stored, because the answer exceeded
	// MaxStoredAnswerBytes or the bounds on all stored answers.
	TooLarge bool `json:"too_large,omitempty"`
}

// Complete records the outcome of a claimed request. With NotRun set the claim
// is released: it is certain that the request has not reached an upstream.
type Complete struct {
	Owner  string  `json:"owner"`
	Key    string  `json:"key"`
	Nonce  string  `json:"nonce"`
	NotRun bool    `json:"not_run,omitempty"`
	Answer *Answer `json:"answer,omitempty"`
}

// Expire removes records past their retention.
type Expire struct{}

// ClaimState is the recorded state of a claimed request.
type ClaimState struct {
	Digest    string  `json:"digest"`
	Host      string  `json:"host"`
	Nonce     string  `json:"nonce"`
	ClaimedMS int64   `json:"claimed_ms"`
	Answer    *Answer `json:"answer,omitempty"`
}

// ChangeResult is the recorded outcome of an operator's change.
type ChangeResult struct {
	ChangeID string `json:"change_id"`
	Accepted bool   `json:"accepted"`
	// Version is the catalogue version after the change, or the current version when refused.
	Version uint64 `json:"version"`
	// DomainsVersion is the version of the domain states after a SetDomain; 0 for catalogue changes.
	DomainsVersion uint64 `json:"domains_version,omitempty"`
	// Winner is the id of the change that made the current version, when this change was refused
	// for a version conflict.
	Winner string `json:"winner,omitempty"`
	Error  *Error `json:"error,omitempty"`
	AtMS   int64  `json:"at_ms"`
}

// SubmitResult is the outcome of one submission.
type SubmitResult struct {
	Job JobID `json:"job,omitempty"`
	// Existing is set when the idempotency key already named this job.
	Existing bool   `json:"existing,omitempty"`
	Error    *Error `json:"error,omitempty"`
}

// Result is the outcome of applying one command.
type Result struct {
	Error   *Error         `json:"error,omitempty"`
	Submits []SubmitResult `json:"submits,omitempty"`
	Change  *ChangeResult  `json:"change,omitempty"`
	// Claimed is set when the claim was granted to this nonce; otherwise Claim is the claim granted earlier.
	Claimed bool        `json:"claimed,omitempty"`
	Claim   *ClaimState `json:"claim,omitempty"`
	// Dropped counts the parts of a plan, worker events or ends of attempts that were no longer
	// valid. For Expire it is 1 when more records past their retention may be left.
	Dropped int `json:"dropped,omitempty"`
	// Ended lists the attempts that worker events ended.
	Ended []EndedAttempt `json:"ended,omitempty"`
}

// EndedAttempt is an attempt ended by a worker event, with the task as it was
// before the event.
type EndedAttempt struct {
	Event TaskEvent `json:"event"`
	Task  Task      `json:"task"`
}
