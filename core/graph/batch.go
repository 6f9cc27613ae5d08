package graph

import (
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// BatchVersion is the format version of log entries and snapshots.
const BatchVersion = 1

// Batch is one entry of the log. Its parts are applied in the order of the
// fields, so that a step may start in the same entry as the ends that make it
// ready. Keys are integers, since a batch is written for every few starts.
type Batch struct {
	Version int `cbor:"1,keyasint"`
	// NowMS is the leader's wall clock at proposal, in Unix milliseconds.
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
	// ForgetBeforeMS drops the tasks of jobs that ended before it; 0 drops none.
	ForgetBeforeMS int64 `cbor:"12,keyasint,omitempty"`
	// Pressures replaces what is kept of them, if there are any.
	Pressures []Pressure `cbor:"13,keyasint,omitempty"`
}

// Empty reports whether the batch changes nothing.
func (b *Batch) Empty() bool {
	return len(b.Workers)+len(b.Domains)+len(b.Submits)+len(b.Cancels)+len(b.Ends)+len(b.Releases)+
		len(b.Occurrences)+len(b.Starts) == 0 && b.Config == nil && b.ForgetBeforeMS == 0 && len(b.Pressures) == 0
}

// WorkerChange registers a worker or changes its record.
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

// EndKind says how a run ended.
type EndKind uint8

// Kinds of ends.
const (
	// EndDone means that the task is done.
	EndDone EndKind = iota + 1
	// EndFailed counts against the task's attempts.
	EndFailed
	// EndStopped, EndLapsed, EndBroken and EndAlone do not count: the run was
	// stopped, its lease ended, another member of its gang ended, or it waited
	// for the others in vain.
	EndStopped
	EndLeaseExpired
	EndGangMemberEnded
	EndGangTimeout
)

// String returns the name of the kind.
func (k EndKind) String() string {
	if int(k) >= len(endNames) {
		return "unknown"
	}
	return endNames[k]
}

var endNames = [...]string{"unknown", "done", "failed", "stopped", "lapsed", "broken", "alone"}

// End is an end that a worker listed.
type End struct {
	_          struct{} `cbor:",toarray"`
	Task       TaskRef
	Run        int
	Worker     Handle
	Kind       EndKind
	Checkpoint string
}

// Release removes an attempt that is certain not to run.
type Release struct {
	_          struct{} `cbor:",toarray"`
	Task       TaskRef
	Run        int
	Worker     Handle
	Checkpoint string
}

// OccurrenceDue creates the tasks of an occurrence.
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

// Pressure is the headroom that fillers of one image take from serving tasks of
// another by using all processors of a worker, as a leader has learned it. The
// next leader begins with it.
type Pressure struct {
	_        struct{} `cbor:",toarray"`
	Filler   string
	Serving  string
	Headroom float32
}

// Encode returns the log entry of a batch.
func (b *Batch) Encode() ([]byte, error) {
	b.Version = BatchVersion
	data, err := cbor.Marshal(b)
	return data, errors.Wrap(err, "encode batch")
}

// DecodeBatch reads a log entry.
func DecodeBatch(data []byte) (*Batch, error) {
	b := new(Batch)
	if err := cbor.Unmarshal(data, b); err != nil {
		return nil, errors.Wrap(err, "decode batch")
	}
	if b.Version != BatchVersion {
		return nil, errors.Newf("batch has format version %d, want %d", b.Version, BatchVersion)
	}
	return b, nil
}
