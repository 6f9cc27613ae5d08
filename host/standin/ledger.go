package standin

import (
	"fmt"
	"sync"
	"time"

	"gooseberrypond/core/structs"
)

// Ledger watches all stand-in workers for broken guarantees: a task that runs
// in two places at once, and a host committed beyond its capacity.
type Ledger struct {
	mu         sync.Mutex
	running    map[structs.TaskID]string
	starts     map[structs.TaskID]int
	finished   map[structs.TaskID]int
	violations []string
	onStart    func(id structs.TaskID, at time.Time)
}

// OnStart sets a function that is called at each start of a task.
func (l *Ledger) OnStart(fn func(id structs.TaskID, at time.Time)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.onStart = fn
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{running: map[structs.TaskID]string{}, starts: map[structs.TaskID]int{}, finished: map[structs.TaskID]int{}}
}

// begin records that a task runs at place.
func (l *Ledger) begin(id structs.TaskID, place string) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if other, ok := l.running[id]; ok {
		l.violations = append(l.violations, fmt.Sprintf("task %s started on %s while running on %s", id, place, other))
	}
	l.running[id] = place
	l.starts[id]++
	if l.onStart != nil {
		l.onStart(id, time.Now())
	}
}

// end records that a task no longer runs at place.
func (l *Ledger) end(id structs.TaskID, place string, finished bool) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.running[id] == place {
		delete(l.running, id)
	}
	if finished {
		l.finished[id]++
	}
}

// violate records a broken guarantee.
func (l *Ledger) violate(format string, args ...any) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.violations = append(l.violations, fmt.Sprintf(format, args...))
}

// Violations returns the broken guarantees seen so far.
func (l *Ledger) Violations() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.violations...)
}

// Starts returns how often a task was started.
func (l *Ledger) Starts(id structs.TaskID) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.starts[id]
}

// Finished returns how often a task ran to its end.
func (l *Ledger) Finished(id structs.TaskID) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.finished[id]
}
