package state

import (
	"slices"

	"gooseberrypond/core/structs"
)

const stepRegister = "register worker"

// applyRegisterWorker records a worker's incarnation. Tasks do not survive a
// restart of their worker, so the attempts of an older incarnation are ended.
func (t *Tables) applyRegisterWorker(c *structs.WorkerRegister) structs.Result {
	if c.ID == "" || c.Domain == "" || c.Capacity.HasNegative() || exceedsMaxSize(c.Capacity) {
		return failure(structs.CodeBadRequest, stepRegister, "worker %q needs an id, a domain and a capacity within bounds, not %v", c.ID, c.Capacity)
	}
	w := t.workers[c.ID]
	if w == nil {
		w = &workerRec{}
		t.workers[c.ID] = w
		i, _ := slices.BinarySearchFunc(t.workerList, c.ID, findWorker)
		t.setWorker(w, c)
		t.workerList = slices.Insert(t.workerList, i, &w.Worker)
		t.markChanged(w)
		return structs.Result{}
	}
	if c.Incarnation == w.Incarnation && w.Live && sameWorker(&w.Worker, c) {
		return structs.Result{}
	}
	if c.Incarnation <= w.Incarnation {
		return failure(structs.CodeConflict, stepRegister, "worker %s: incarnation %d is over or already registered otherwise; register with one above %d", c.ID, c.Incarnation, w.Incarnation)
	}
	for _, task := range slices.Clone(w.attempts) {
		t.loseAttempt(t.task(task.ID), false)
	}
	t.removeWorkerCapacity(w.Capacity)
	t.setWorker(w, c)
	t.markChanged(w)
	return structs.Result{}
}

func findWorker(w *structs.Worker, id structs.WorkerID) int {
	switch {
	case w.ID < id:
		return -1
	case w.ID > id:
		return 1
	}
	return 0
}

func sameWorker(w *structs.Worker, c *structs.WorkerRegister) bool {
	return w.Rack == c.Rack && w.Domain == c.Domain && w.Capacity == c.Capacity && w.Guards == c.Guards
}

func (t *Tables) setWorker(w *workerRec, c *structs.WorkerRegister) {
	w.Worker = structs.Worker{
		ID: c.ID, Incarnation: c.Incarnation, Rack: c.Rack, Domain: c.Domain,
		Capacity: c.Capacity, Guards: c.Guards, Live: true, RegisteredMS: t.nowMS,
	}
	t.workerCapacities[c.Capacity]++
}

func (t *Tables) removeWorkerCapacity(r structs.Resources) {
	t.workerCapacities[r]--
	if t.workerCapacities[r] == 0 {
		delete(t.workerCapacities, r)
	}
}

// FitsAnyWorker reports whether one task of size r would fit an empty
// registered worker. Workers that are not live count until they are removed,
// so that a short outage does not make jobs unrunnable.
func (t *Tables) FitsAnyWorker(r structs.Resources) bool {
	for shape := range t.workerCapacities {
		if r.Fits(shape) {
			return true
		}
	}
	return false
}
