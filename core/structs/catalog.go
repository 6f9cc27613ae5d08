package structs

import "time"

// Class is the service class of a catalogue entry.
type Class string

// Service classes.
const (
	ClassLatency Class = "latency-critical"
	ClassBatch   Class = "batch"
)

// MissedRule says how occurrences of recurring work that are overdue after an
// outage are handled.
type MissedRule string

// Rules for missed occurrences.
const (
	// MissedRunOnce runs the latest missed occurrence once, late; earlier ones are recorded as skipped.
	MissedRunOnce MissedRule = "run_once"
	// MissedSkip records every missed occurrence as skipped.
	MissedSkip MissedRule = "skip"
)

// Catalogue is the operators' declaration of owners and entries.
type Catalogue struct {
	// Version is set when a change is applied; each accepted change increments it by one.
	Version uint64           `json:"version"`
	Owners  map[string]Owner `json:"owners"`
	Entries map[string]Entry `json:"entries"`
}

// Owner is one team with its limits.
type Owner struct {
	// TokenSHA256 lists the hex SHA-256 digests of the owner's bearer tokens.
	TokenSHA256 []string `json:"token_sha256"`
	// Quota bounds the resources of the owner's running tasks; zero dimensions are unlimited.
	Quota Resources `json:"quota"`
	// Weight is the owner's share under contention; 0 means 1.
	Weight int `json:"weight,omitempty"`
	// RequestRate bounds routed requests per second over all entry hosts; 0 means unlimited.
	RequestRate int `json:"request_rate,omitempty"`
	// Concurrency bounds routed requests in flight over all entry hosts; 0 means unlimited.
	Concurrency int `json:"concurrency,omitempty"`
	// MaxQueued bounds requests queued on one entry host; 0 means 64.
	MaxQueued int `json:"max_queued,omitempty"`
	// MaxPendingJobs bounds jobs that are not finished; 0 means 20,000.
	MaxPendingJobs int `json:"max_pending_jobs,omitempty"`
	// MergedFrom names former owners whose jobs and tokens now belong to this owner.
	MergedFrom []string `json:"merged_from,omitempty"`
}

// Entry is one kind of work in the catalogue.
type Entry struct {
	Owner string `json:"owner"`
	Class Class  `json:"class"`
	// Resources is the declared size of one task.
	Resources Resources `json:"resources"`
	// Urgent marks work that may preempt batch tasks.
	Urgent bool `json:"urgent,omitempty"`
	// Priority orders work of one owner; higher first, 0 to 100.
	Priority int `json:"priority,omitempty"`
	// ExpectedRuntimeMS is the declared run time of one task in milliseconds.
	ExpectedRuntimeMS int64 `json:"expected_runtime_ms,omitempty"`
	// LeaseHoldMS is how long, in milliseconds, a task may keep running after the lease of its
	// worker has expired because the worker cannot reach the leader.
	LeaseHoldMS int64 `json:"lease_hold_ms,omitempty"`
	// Missed is the rule for missed occurrences of recurring work; empty means MissedRunOnce.
	Missed MissedRule `json:"missed,omitempty"`
	// MaxAttempts bounds failed attempts of one task; 0 means 5. Evictions and lost workers do not count.
	MaxAttempts int `json:"max_attempts,omitempty"`
	// RequestTimeoutMS is the default timeout of a routed request in milliseconds; 0 means 10,000.
	RequestTimeoutMS int64 `json:"request_timeout_ms,omitempty"`
	// Hedge allows a hedged second attempt of a slow idempotent request.
	Hedge bool `json:"hedge,omitempty"`
}

// LeaseHold returns the entry's lease hold.
func (e Entry) LeaseHold() time.Duration {
	return time.Duration(e.LeaseHoldMS) * time.Millisecond
}

// DomainState is the operators' setting for one failure domain.
type DomainState struct {
	Out bool `json:"out"`
	// ChangedMS is when the state last changed, in Unix milliseconds.
	ChangedMS int64 `json:"changed_ms"`
}
