package standin

import (
	"encoding/json"
	"fmt"
	"time"

	"gooseberrypond/core/structs"
)

// Payload is the task payload that a stand-in worker interprets. A payload of
// another form is ignored.
type Payload struct {
	// RunMS is the run time in milliseconds. 0 selects the default of the
	// task's class; with a negative value the task runs until it is stopped.
	RunMS int64 `json:"run_ms"`
	// ExitCode is the exit code; any value but 0 is a failure.
	ExitCode int `json:"exit_code"`
	// Used is the resource usage to report; zero means all that is reserved.
	Used structs.Resources `json:"used"`
}

// defaultRunTime is the run time of a batch task whose payload sets none.
const defaultRunTime = 200 * time.Millisecond

// throttledRate is the speed of a throttled task relative to an unthrottled one.
const throttledRate = 0.5

// task is one attempt that runs on a worker.
type task struct {
	cmd        structs.WorkerCommand
	payload    Payload
	runTime    time.Duration // run time at full speed; negative: runs until stopped
	progress   time.Duration // progress as of lastUpdate
	lastUpdate time.Time
	throttled  bool
	timer      *time.Timer
}

// newTask returns the attempt that cmd starts. It resumes from the progress in
// the command's checkpoint, if there is one.
func newTask(cmd structs.WorkerCommand, now time.Time) *task {
	t := &task{cmd: cmd, lastUpdate: now}
	// The payload is opaque to the scheduler and may have any form. One that
	// is not a Payload selects the defaults.
	_ = json.Unmarshal(cmd.Payload, &t.payload)
	t.runTime = time.Duration(t.payload.RunMS) * time.Millisecond
	if t.runTime == 0 {
		t.runTime = defaultRunTime
		if cmd.Class == structs.ClassLatency {
			t.runTime = -1
		}
	}
	var ms int64
	if _, err := fmt.Sscanf(cmd.Checkpoint, "ms=%d", &ms); err == nil {
		t.progress = time.Duration(ms) * time.Millisecond
	}
	return t
}

// updateProgress adds the progress made since lastUpdate.
func (t *task) updateProgress(now time.Time) {
	rate := 1.0
	if t.throttled {
		rate = throttledRate
	}
	t.progress += time.Duration(float64(now.Sub(t.lastUpdate)) * rate)
	t.lastUpdate = now
}

// remaining returns the time until the task finishes at its current speed; false
// means that it runs until it is stopped.
func (t *task) remaining() (time.Duration, bool) {
	if t.runTime < 0 {
		return 0, false
	}
	left := max(t.runTime-t.progress, 0)
	if t.throttled {
		left = time.Duration(float64(left) / throttledRate)
	}
	return left, true
}

// checkpoint encodes the progress in the form that newTask reads.
func (t *task) checkpoint() string { return fmt.Sprintf("ms=%d", t.progress.Milliseconds()) }

// usageReport returns a usage report for the task. neighbours are the catalogue
// entries of the other tasks on the worker.
func (t *task) usageReport(neighbours []string) structs.Usage {
	used := t.payload.Used
	if used.IsZero() {
		used = t.cmd.Reserved
	}
	return structs.Usage{Task: t.cmd.Task, AgeMS: usageAge.Milliseconds(), Used: used, Slowdown: 1, Neighbours: neighbours}
}
