package lease

import (
	"slices"
	"strings"
	"time"

	"gooseberrypond/core/state"
	"gooseberrypond/core/structs"
)

// command returns the command that is needed to make the worker match the log for
// one committed attempt, if any.
func (r *record) command(now time.Time, t *state.Tables, task *structs.Task, domainOut, throttle bool) (structs.WorkerCommand, bool) {
	cmd := structs.WorkerCommand{Task: task.ID, Attempt: task.Attempt, Epoch: task.Epoch}
	listed := r.lists(task)
	switch task.State {
	case structs.AttemptAssigned:
		if listed || domainOut || !r.mayStart(task) {
			return cmd, false
		}
		if r.started[task.ID].epoch != task.Epoch {
			r.started[task.ID] = attemptTime{task.Epoch, now}
		}
		return startCommand(t, task, cmd), true
	case structs.AttemptEvicting:
		cmd.Type = structs.CommandCheckpoint
		return cmd, listed
	case structs.AttemptStopping:
		cmd.Type = structs.CommandStop
		return cmd, listed
	case structs.AttemptRunning:
		if !listed || r.running[task.ID].Throttled == throttle {
			return cmd, false
		}
		cmd.Type = structs.CommandUnthrottle
		if throttle {
			cmd.Type = structs.CommandThrottle
		}
		return cmd, true
	}
	return cmd, false
}

// mayStart reports whether a start of an assigned attempt may be sent: no stopped
// event was proposed for the attempt, and the worker has not reported its end.
func (r *record) mayStart(task *structs.Task) bool {
	return r.stopProposed[task.ID].epoch != task.Epoch && r.reported[task.ID] != task.Epoch
}

func startCommand(t *state.Tables, task *structs.Task, cmd structs.WorkerCommand) structs.WorkerCommand {
	job := t.Job(task.ID.Job)
	cmd.Type = structs.CommandStart
	cmd.Entry = job.Spec.Entry
	cmd.Class = t.Catalogue().Entries[job.Spec.Entry].Class
	cmd.Reserved = task.Reserved
	cmd.Payload = job.Spec.Payload
	cmd.Checkpoint = task.Checkpoint
	cmd.LeaseHoldMS = task.LeaseHoldMS
	return cmd
}

// stopsForUnknown returns stop commands for attempts that run on the worker but are
// not in the log, sorted by task.
func (r *record) stopsForUnknown(t *state.Tables, attempts []*structs.Task) []structs.WorkerCommand {
	known := make(map[structs.TaskID]*structs.Task, len(attempts))
	for _, task := range attempts {
		known[task.ID] = task
	}
	var out []structs.WorkerCommand
	for id, run := range r.running {
		if task := known[id]; task != nil && r.lists(task) {
			continue
		}
		out = append(out, structs.WorkerCommand{Type: structs.CommandStop, Task: id, Attempt: run.Attempt, Epoch: run.Epoch})
	}
	slices.SortFunc(out, func(a, b structs.WorkerCommand) int {
		if c := strings.Compare(string(a.Task.Job), string(b.Task.Job)); c != 0 {
			return c
		}
		return int(a.Task.Index - b.Task.Index)
	})
	return out
}
