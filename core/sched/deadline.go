package sched

import (
	"math"

	"gooseberrypond/core/structs"
)

// remainingMS returns the expected remaining run time of a task, after its
// earlier attempts and the current one; 0 means unknown or overdue.
func (p *planner) remainingMS(task *structs.Task, info *entryInfo) int64 {
	total := p.runtimeMS(info)
	done := p.checkpointedRunMS[task.ID]
	if task.State == structs.AttemptRunning {
		done += elapsedMS(task, p.nowMS)
	}
	return max(0, total-done)
}

// slackMS returns the time by which the task's completion can still be delayed
// without missing the job's deadline; it is the maximum without a deadline.
func (p *planner) slackMS(task *structs.Task, job *structs.Job, info *entryInfo) int64 {
	if job.Spec.DeadlineMS == 0 {
		return math.MaxInt64
	}
	return job.Spec.DeadlineMS - p.nowMS - p.remainingMS(task, info)
}

// noteDeadline adds a note to the plan when the job is expected to miss its deadline.
func (p *planner) noteDeadline(job *structs.Job, slackMS int64) {
	if slackMS >= 0 || job.DeadlineAtRisk || p.hasNote[job.ID] {
		return
	}
	p.hasNote[job.ID] = true
	p.plan.Notes = append(p.plan.Notes, structs.JobNote{Job: job.ID, DeadlineAtRisk: true})
}

// checkDeadlines checks the deadlines of the tasks that run on the node.
func (p *planner) checkDeadlines(n *node) {
	for i := range n.tasks {
		if !n.tasks[i].deadline {
			continue
		}
		task := p.t.Task(n.tasks[i].record.ID)
		if task == nil || task.Worker != n.worker.ID {
			continue
		}
		job := p.t.Job(task.ID.Job)
		if job == nil || job.DeadlineAtRisk {
			continue
		}
		if info := p.entryInfos[job.Spec.Entry]; info != nil {
			p.noteDeadline(job, p.slackMS(task, job, info))
		}
	}
}
