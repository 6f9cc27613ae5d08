package standin

import (
	"encoding/json"
	"fmt"
	"time"

	"gooseberrypond/core/structs"
)

// Payload is what a stand-in worker understands of a task's payload. Other
// payloads are ignored.
type Payload struct {
	// RunMS is the run time in milliseconds; 0 means the default, below 0 means until stopped.
	RunMS int64 `json:"run_ms"`
	// ExitCode is the exit code; other than 0 means failure.
	ExitCode int `json:"exit_code"`
	// Used is the measured use; zero means what is reserved.
	Used structs.Resources `json:"used"`
}

// defaultRun is the run time of a batch task whose payload gives none.
const defaultRun = 200 * time.Millisecond

// throttledRate is the progress of a throttled task relative to an undisturbed one.
const throttledRate = 0.5

// task is one attempt on a worker.
type task struct {
	cmd       structs.WorkerCommand
	payload   Payload
	total     time.Duration // below 0 means until stopped
	progress  time.Duration // at changed
	changed   time.Time
	throttled bool
	timer     *time.Timer
}

// newTask prepares an attempt; a checkpoint gives the progress so far.
func newTask(cmd structs.WorkerCommand, now time.Time) *task {
	t := &task{cmd: cmd, changed: now}
	// A payload of another form belongs to the owner and has no meaning here.
	_ = json.Unmarshal(cmd.Payload, &t.payload)
	t.total = time.Duration(t.payload.RunMS) * time.Millisecond
	if t.total == 0 {
		t.total = defaultRun
		if cmd.Class == structs.ClassLatency {
			t.total = -1
		}
	}
	var ms int64
	if _, err := fmt.Sscanf(cmd.Checkpoint, "ms=%d", &ms); err == nil {
		t.progress = time.Duration(ms) * time.Millisecond
	}
	return t
}

// advance brings the progress up to now.
func (t *task) advance(now time.Time) {
	rate := 1.0
	if t.throttled {
		rate = throttledRate
	}
	t.progress += time.Duration(float64(now.Sub(t.changed)) * rate)
	t.changed = now
}

// remaining returns the time to the end at the present rate; false means no end.
func (t *task) remaining() (time.Duration, bool) {
	if t.total < 0 {
		return 0, false
	}
	left := max(t.total-t.progress, 0)
	if t.throttled {
		left = time.Duration(float64(left) / throttledRate)
	}
	return left, true
}

// checkpoint names the progress.
func (t *task) checkpoint() string { return fmt.Sprintf("ms=%d", t.progress.Milliseconds()) }

// usage returns the measurement of the task, given its neighbours' entries.
func (t *task) usage(neighbours []string) structs.Usage {
	used := t.payload.Used
	if used.IsZero() {
		used = t.cmd.Reserved
	}
	return structs.Usage{Task: t.cmd.Task, AgeMS: usageAge.Milliseconds(), Used: used, Slowdown: 1, Neighbours: neighbours}
}
