package sched

import "gooseberrypond/core/structs"

const (
	// occurrencesPerTick bounds the occurrences of one plan.
	occurrencesPerTick = 500
	// lateOccurrenceMS is the delay past which an occurrence counts as missed
	// under MissedSkip; a change of leader takes about a second.
	lateOccurrenceMS = 15_000
)

// createOccurrences creates the tasks of recurring jobs that are due. Of
// several due occurrences of a job the latest may run and the others are
// recorded as skipped.
func (p *planner) createOccurrences() {
	for _, job := range p.t.DueJobs(p.nowMS, occurrencesPerTick) {
		if job.Cancelled || job.Spec.EveryMS <= 0 {
			continue
		}
		last := (p.nowMS - job.Spec.FirstMS) / job.Spec.EveryMS
		for k := job.NextOccurrence; k <= last && len(p.plan.Occurrences) < occurrencesPerTick; k++ {
			p.plan.Occurrences = append(p.plan.Occurrences, structs.Occurrence{
				Job: job.ID, Number: k, Skipped: k < last || p.skips(job, k),
			})
		}
	}
}

// skips reports whether the entry's rule drops the latest due occurrence for being late.
func (p *planner) skips(job *structs.Job, k int64) bool {
	info := p.infos[job.Spec.Entry]
	late := p.nowMS - job.Spec.FirstMS - k*job.Spec.EveryMS
	return info != nil && info.Missed == structs.MissedSkip && late > min(lateOccurrenceMS, job.Spec.EveryMS/2)
}
