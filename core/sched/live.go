package sched

import "gooseberrypond/core/structs"

// LiveView tells which workers answer now. A worker may be live in the tables
// and silent for some seconds; it gets no new task then.
type LiveView = interface {
	Live(worker structs.WorkerID) bool
}
