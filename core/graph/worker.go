package graph

import (
	"slices"

	"gooseberrypond/core/structs"
)

// Handle is a short identifier of one incarnation of a worker. It is never reused.
type Handle uint32

// WorkerReport is a worker's description of itself.
type WorkerReport struct {
	// ID is the worker's name. It stays the same when the worker restarts.
	ID string `cbor:"1,keyasint"`
	// Born is when this incarnation started, in Unix milliseconds. It
	// distinguishes incarnations with the same ID.
	Born    int64  `cbor:"2,keyasint"`
	Address string `cbor:"3,keyasint"`
	// Pool is the service that the worker belongs to.
	Pool     string            `cbor:"4,keyasint"`
	Domain   string            `cbor:"5,keyasint"`
	Labels   []string          `cbor:"6,keyasint,omitempty"`
	Capacity structs.Resources `cbor:"7,keyasint"`
	Draining bool              `cbor:"8,keyasint,omitempty"`
	// Seq orders the reports of one incarnation. It is not replicated.
	Seq int64 `cbor:"-"`
	// RemainingMS is the minimum time until a draining worker leaves, in
	// milliseconds. It is not replicated.
	RemainingMS int64 `cbor:"-"`
}

// SameRecord reports whether r and o have equal replicated fields.
func (r *WorkerReport) SameRecord(o *WorkerReport) bool {
	return r.ID == o.ID && r.Born == o.Born && r.Address == o.Address && r.Pool == o.Pool &&
		r.Domain == o.Domain && r.Capacity == o.Capacity && r.Draining == o.Draining &&
		slices.Equal(r.Labels, o.Labels)
}

// TextBytes returns the length of the report's text in bytes.
func (r *WorkerReport) TextBytes() int {
	n := len(r.ID) + len(r.Address) + len(r.Pool) + len(r.Domain)
	for _, label := range r.Labels {
		n += len(label)
	}
	return n
}

// Worker is the replicated record of one incarnation of a worker.
type Worker struct {
	WorkerReport
	Handle Handle
	// Left is set once the worker has announced that it left, the leader has marked
	// it as left after a long silence, or a later incarnation has registered.
	Left bool
	// Used is the sum of the resources reserved by the attempts on the worker.
	Used structs.Resources
	// FillerCPUMilli is the CPU that the filler tasks on the worker request. It
	// is not part of Used.
	FillerCPUMilli int64
	// Attempts holds the attempts that may be running on the worker.
	Attempts map[*Attempt]struct{}
}

// Free returns the capacity that is not reserved by attempts.
func (w *Worker) Free() structs.Resources { return w.Capacity.Sub(w.Used) }

func (w *Worker) HasLabel(label string) bool { return slices.Contains(w.Labels, label) }

func (w *Worker) add(a *Attempt) {
	w.Attempts[a] = struct{}{}
	w.Used = w.Used.Add(a.Step.ReservedResources())
	if a.Step.Filler {
		w.FillerCPUMilli += a.Step.Need.CPUMilli
	}
}

func (w *Worker) remove(a *Attempt) {
	delete(w.Attempts, a)
	w.Used = w.Used.Sub(a.Step.ReservedResources())
	if a.Step.Filler {
		w.FillerCPUMilli -= a.Step.Need.CPUMilli
	}
}
