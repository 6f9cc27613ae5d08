package structs

import "time"

// Time limits of the control loop. Safety depends on the relations between
// them; see docs/design.md, "Decisions weighed".
const (
	// TickInterval is the period of the leader's scheduling tick.
	TickInterval = 20 * time.Millisecond

	// EntrySyncInterval is the period at which an entry host syncs with the leader.
	EntrySyncInterval = 200 * time.Millisecond
	// ViewMaxAge is how long an entry host may start new work after sending its
	// last answered sync. It bounds the time until a catalogue change or the
	// withdrawal of an upstream takes effect on a host that cannot reach the leader.
	ViewMaxAge = 1800 * time.Millisecond

	// WorkerLease is how long a worker may run tasks after sending its last answered sync.
	WorkerLease = 10 * time.Second
	// LeaseMargin is the extra time the leader waits before it treats a worker
	// lease as expired. It covers a clock-rate difference of 1% and scheduling delay.
	LeaseMargin = time.Second
	// LeaseStopLead is how long before the end of its lease a worker begins to stop tasks.
	LeaseStopLead = time.Second
	// StartWindow is how long after sending a sync a worker accepts the start
	// commands in the reply; it ignores later ones.
	StartWindow = 2 * time.Second
	// WorkerSyncHold is the long-poll limit of a worker sync: the longest time
	// the leader holds the reply while it waits for commands.
	WorkerSyncHold = time.Second
	// MaxLeaseHold is the largest lease hold a catalogue entry may ask for.
	MaxLeaseHold = 15 * time.Minute

	// UpstreamTTL is the time after which an upstream that has not renewed its
	// announcement is dropped.
	UpstreamTTL = 5 * time.Second
	// RequestTimeoutMax is the longest time a routed request may take.
	RequestTimeoutMax = 30 * time.Second
	// GrantReclaim is the time since the last sync of an entry host after which
	// its grants may be given to others. Requests started under them have ended by then.
	GrantReclaim = ViewMaxAge + RequestTimeoutMax + LeaseMargin

	// LeaderLease is how long after contact with a quorum a leader may answer
	// reads and renew leases. It must be shorter than ElectionTimeoutMin, during
	// which voters refuse to elect another leader.
	LeaderLease = 300 * time.Millisecond
	// ElectionTimeoutMin is the shortest time without a heartbeat before an election.
	ElectionTimeoutMin = 400 * time.Millisecond
	// ElectionTimeoutMax is the longest time without a heartbeat before an election.
	ElectionTimeoutMax = 800 * time.Millisecond
	// HeartbeatInterval is the period of the leader's heartbeats to replicas.
	HeartbeatInterval = 50 * time.Millisecond

	// ChangeRetention is how long change ids, idempotency keys and finished
	// jobs are kept.
	ChangeRetention = 24 * time.Hour
	// ClaimRetention is how long the claim and answer of a non-idempotent request are kept.
	ClaimRetention = 10 * time.Minute

	// DomainReturnPacing is how long starts are rate-limited on the workers of a
	// failure domain that is back in service.
	DomainReturnPacing = 30 * time.Second
	// EvictionCooldown is the shortest time between two evictions of one task.
	EvictionCooldown = time.Minute
)

// Size limits.
const (
	// MaxFinishedJobs is the number of finished jobs kept.
	MaxFinishedJobs = 50_000
	// MinChangeIDs is the number of change ids kept regardless of age.
	MinChangeIDs = 4096
	// MaxStoredAnswerBytes is the largest answer recorded for a claimed request.
	MaxStoredAnswerBytes = 16 << 10
	// MaxTasksPerJob is the largest task count of one job.
	MaxTasksPerJob = 10_000
	// DomainReturnStartsPerSecond is the number of starts per second on one worker
	// of a failure domain that is back in service, during DomainReturnPacing.
	DomainReturnStartsPerSecond = 2
)
