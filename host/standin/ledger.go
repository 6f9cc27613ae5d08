package standin

import (
	"fmt"
	"sync"
	"time"

	"gooseberrypond/core/structs"
)

// Ledger records the task starts and ends of all stand-in workers and detects
// violations of the scheduler's guarantees: a task that runs on two workers at
// once, and a worker whose tasks reserve more than its capacity. All methods are
// safe for concurrent use; those that workers call accept a nil Ledger.
type Ledger struct {
	mu         sync.Mutex
	running    map[structs.TaskID]string
	starts     map[structs.TaskID]int
	finished   map[structs.TaskID]int
	violations []string
	onStart    func(id structs.TaskID, at time.Time)
}

// OnStart sets a function that is called at each start of a task, with the
// ledger's lock held.
func (l *Ledger) OnStart(fn func(id structs.TaskID, at time.Time)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.onStart = fn
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{running: map[structs.TaskID]string{}, starts: map[structs.TaskID]int{}, finished: map[structs.TaskID]int{}}
}

// recordStart records that a task has started on worker.
func (l *Ledger) recordStart(id structs.TaskID, worker string) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if other, ok := l.running[id]; ok {
		l.violations = append(l.violations, fmt.Sprintf("task %s started on %s while running on %s", id, worker, other))
	}
	l.running[id] = worker
	l.starts[id]++
	if l.onStart != nil {
		l.onStart(id, time.Now())
	}
}

// recordEnd records that a task no longer runs on worker. finished tells
// whether it ran to completion.
func (l *Ledger) recordEnd(id structs.TaskID, worker string, finished bool) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.running[id] == worker {
		delete(l.running, id)
	}
	if finished {
		l.finished[id]++
	}
}

// recordViolation adds a violation, described by the formatted message.
func (l *Ledger) recordViolation(format string, args ...any) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.violations = append(l.violations, fmt.Sprintf(format, args...))
}

// Violations returns descriptions of the violations recorded so far.
func (l *Ledger) Violations() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.violations...)
}

// Starts returns the number of times that a task was started.
func (l *Ledger) Starts(id structs.TaskID) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.starts[id]
}

// Finished returns the number of times that a task ran to completion.
func (l *Ledger) Finished(id structs.TaskID) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.finished[id]
}
