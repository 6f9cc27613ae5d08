package graph

import (
	"slices"

	"gooseberrypond/core/structs"
)

// Handle is the short name of one life of a worker. It is given out once.
type Handle uint32

// WorkerReport is what a worker says of itself.
type WorkerReport struct {
	// ID is the worker's name. A worker may start again under it.
	ID string `cbor:"1,keyasint"`
	// Born tells the lives of one ID apart: it is when this one began, in Unix milliseconds.
	Born    int64  `cbor:"2,keyasint"`
	Address string `cbor:"3,keyasint"`
	// Pool is the service that the worker belongs to.
	Pool     string            `cbor:"4,keyasint"`
	Domain   string            `cbor:"5,keyasint"`
	Labels   []string          `cbor:"6,keyasint,omitempty"`
	Capacity structs.Resources `cbor:"7,keyasint"`
	Draining bool              `cbor:"8,keyasint,omitempty"`
	// Seq orders the reports of one life. It is not part of the replicated record.
	Seq int64 `cbor:"-"`
	// RemainingMS is, while draining, the least time that is left.
	RemainingMS int64 `cbor:"-"`
}

// SameRecord reports whether r says nothing new against o, apart from its age.
func (r *WorkerReport) SameRecord(o *WorkerReport) bool {
	return r.ID == o.ID && r.Born == o.Born && r.Address == o.Address && r.Pool == o.Pool &&
		r.Domain == o.Domain && r.Capacity == o.Capacity && r.Draining == o.Draining &&
		slices.Equal(r.Labels, o.Labels)
}

// Worker is the replicated record of one life of a worker.
type Worker struct {
	WorkerReport
	Handle Handle
	// Left is set once the worker has said that it is gone, or its successor has registered.
	Left bool
	// Used is what the attempts on the worker occupy.
	Used structs.Resources
	// FillerCPUMilli is the processor time that fillers on the worker ask for.
	FillerCPUMilli int64
	// Attempts are those that may be at work on the worker.
	Attempts map[*Attempt]struct{}
}

// Free returns the capacity that no attempt occupies.
func (w *Worker) Free() structs.Resources { return w.Capacity.Sub(w.Used) }

// HasLabel reports whether the worker carries the label.
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
