package sched

import "gooseberrypond/core/structs"

// LiveView reports which workers are responding at the moment. A worker that is
// still live in the tables but has not responded for some seconds gets no new tasks.
type LiveView = interface {
	Live(worker structs.WorkerID) bool
}
