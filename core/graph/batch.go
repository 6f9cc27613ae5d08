package graph

import (
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"gooseberrypond/core/codec"
)

// BatchVersion is the format version of log entries and snapshots.
const BatchVersion = 1

// Batch is one log entry. Its parts are applied in the order of the fields, except for
// Crashes, so that a step can start in the same entry as the ends that make it ready. The
// encoding uses integer keys to keep entries small, because a batch is written
// for every few starts.
type Batch struct {
	Version int `cbor:"1,keyasint"`
	// NowMS is the leader's wall clock when the batch was proposed, in Unix
	// milliseconds.
	NowMS int64 `cbor:"2,keyasint"`

	Workers     []WorkerChange  `cbor:"3,keyasint,omitempty"`
	Config      *Config         `cbor:"4,keyasint,omitempty"`
	Domains     []DomainChange  `cbor:"5,keyasint,omitempty"`
	Submits     []Spec          `cbor:"6,keyasint,omitempty"`
	Cancels     []JobID         `cbor:"7,keyasint,omitempty"`
	Ends        []End           `cbor:"8,keyasint,omitempty"`
	Releases    []Release       `cbor:"9,keyasint,omitempty"`
	Occurrences []OccurrenceDue `cbor:"10,keyasint,omitempty"`
	Starts      []Start         `cbor:"11,keyasint,omitempty"`
	// Begun lists jobs of which a worker has begun a task. It may list a job again.
	Begun []JobID `cbor:"14,keyasint,omitempty"`
	// ForgetBeforeMS drops the tasks and payloads of jobs that ended before this
	// time; 0 drops none.
	ForgetBeforeMS int64 `cbor:"12,keyasint,omitempty"`
	// Pressures replaces the recorded pressures unless it is empty.
	Pressures []Pressure `cbor:"13,keyasint,omitempty"`
	// Crashes are applied after Ends, so that the crash of a done task is not counted, and
	// before Releases.
	Crashes []Crash `cbor:"15,keyasint,omitempty"`
	// WeakCrashes are those that count towards no limit. They are applied after Crashes.
	WeakCrashes []Crash `cbor:"20,keyasint,omitempty"`
	// Waits are applied after Releases.
	Waits []Wait `cbor:"16,keyasint,omitempty"`
	// Withdrawals are applied after Cancels.
	Withdrawals []Withdrawal `cbor:"18,keyasint,omitempty"`
	// ForgetWithdrawals drops the withdrawals up to this number, counted from 1; 0 drops none.
	ForgetWithdrawals uint64 `cbor:"19,keyasint,omitempty"`
	// Expected replaces what is recorded of expected work unless it is empty.
	Expected []Expected `cbor:"17,keyasint,omitempty"`
	// DomainTerm is the term of the leader that took the orders in Domains; 0 in batches of
	// former versions. They have no effect after those of a higher term: a replica that leads
	// again may propose them late.
	DomainTerm uint64 `cbor:"21,keyasint,omitempty"`
}

// Empty reports whether the batch changes nothing.
func (b *Batch) Empty() bool {
	return len(b.Workers)+len(b.Domains)+len(b.Submits)+len(b.Cancels)+len(b.Ends)+len(b.Releases)+
		len(b.Occurrences)+len(b.Starts)+len(b.Begun)+len(b.Crashes)+len(b.WeakCrashes)+len(b.Waits)+len(b.Withdrawals) == 0 && b.Config == nil && b.ForgetBeforeMS == 0 && b.ForgetWithdrawals == 0 && len(b.Pressures) == 0 && len(b.Expected) == 0
}

// WorkerChange registers a worker incarnation or updates its record.
type WorkerChange struct {
	_      struct{} `cbor:",toarray"`
	Report WorkerReport
	Left   bool
}

// DomainChange takes a failure domain out of service or brings it back.
type DomainChange struct {
	_    struct{} `cbor:",toarray"`
	Name string
	Out  bool
}

// EndKind is the way in which a run ended.
type EndKind uint8

// Kinds of ends.
const (
	// EndDone means that the task is done.
	EndDone EndKind = iota + 1
	// EndFailed means that the run failed. It counts against the queue's limit
	// of failed runs.
	EndFailed
	// The following kinds do not count as failures.

	// EndStopped means that the run was stopped on request.
	EndStopped
	// EndLeaseExpired means that the lease of the run expired.
	EndLeaseExpired
	// EndGangMemberEnded means that another member of the gang ended.
	EndGangMemberEnded
	// EndGangTimeout means that the run timed out waiting for the gang.
	EndGangTimeout
)

// String returns the name of the kind, as logged.
func (k EndKind) String() string {
	if int(k) >= len(endKindNames) {
		return "unknown"
	}
	return endKindNames[k]
}

var endKindNames = [...]string{"unknown", "done", "failed", "stopped", "lapsed", "broken", "alone"}

// End is the end of a run, as reported by its worker.
type End struct {
	_          struct{} `cbor:",toarray"`
	Task       TaskRef
	Run        int
	Worker     Handle
	Kind       EndKind
	Checkpoint string
}

// Release removes an attempt that is certain not to be running, so that the
// task can be placed again.
type Release struct {
	_          struct{} `cbor:",toarray"`
	Task       TaskRef
	Run        int
	Worker     Handle
	Checkpoint string
}

// Wait records since when a task has waited whose last start led to no run: its wait
// did not begin with the end of that attempt.
type Wait struct {
	_       struct{} `cbor:",toarray"`
	Task    TaskRef
	SinceMS int64
}

// OccurrenceDue creates the tasks of an occurrence that has become due.
type OccurrenceDue struct {
	_      struct{} `cbor:",toarray"`
	Job    JobID
	Number int
}

// Start places one run of a task on a worker.
type Start struct {
	_      struct{} `cbor:",toarray"`
	Task   TaskRef
	Run    int
	Worker Handle
}

// Pressure is the effect of filler tasks of one image on serving tasks of another,
// as estimated by a leader: the headroom that a serving task loses when the fillers
// use all processors of its worker. Headroom is the tail latency target of a serving
// task divided by its tail latency. The estimate is replicated so that the next
// leader starts with it.
type Pressure struct {
	_        struct{} `cbor:",toarray"`
	Filler   string
	Serving  string
	Headroom float32
}

// Expected is what a leader has learned of a kind of work, so that the next one starts
// with it (see package expect): means and variances of the logarithms of the duration in
// milliseconds, and of its ratio to the caller's estimate.
type Expected struct {
	_                                                struct{} `cbor:",toarray"`
	Queue                                            string
	Step                                             int
	Size                                             uint8
	Weight                                           float32
	TookMean, TookVariance, RatioMean, RatioVariance float32
}

// Encode sets the format version and returns the encoded log entry.
func (b *Batch) Encode() ([]byte, error) {
	b.Version = BatchVersion
	data, err := cbor.Marshal(b)
	return data, errors.Wrap(err, "encode batch")
}

// DecodeBatch decodes a log entry and checks its format version.
func DecodeBatch(data []byte) (*Batch, error) {
	b := new(Batch)
	if err := codec.Unmarshal(data, b); err != nil {
		return nil, errors.Wrap(err, "decode batch")
	}
	if b.Version != BatchVersion {
		return nil, errors.Newf("batch has format version %d, want %d", b.Version, BatchVersion)
	}
	return b, nil
}
