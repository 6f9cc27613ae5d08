package dispatcher

import (
	"gooseberrypond/core/dispatch"
	"gooseberrypond/core/graph"
)

// JobExplanation says how far a job is and what its steps have waited for.
type JobExplanation struct {
	ID    graph.JobID    `json:"id"`
	Queue string         `json:"queue"`
	State graph.JobState `json:"state"`
	// AcceptedMS and EndedMS are Unix milliseconds; EndedMS is 0 while the job is live.
	AcceptedMS int64                 `json:"accepted_ms"`
	EndedMS    int64                 `json:"ended_ms,omitempty"`
	Steps      []dispatch.StepDelays `json:"steps"`
}

// Explain returns what a job has waited for under this leader. It returns false if this host
// does not lead, or the job is not known.
func (d *Dispatcher) Explain(id graph.JobID) (JobExplanation, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	l, j := d.activeLeadership(), d.tables.Job(id)
	if l == nil || j == nil {
		return JobExplanation{}, false
	}
	return JobExplanation{
		ID: id, Queue: j.Spec.Queue, State: j.State, AcceptedMS: j.AcceptedMS, EndedMS: j.EndedMS,
		Steps: l.core.StepDelays(d.cfg.Now(), j),
	}, true
}
