package leader

import (
	"gooseberrypond/core/state"
	"gooseberrypond/core/structs"
)

const (
	// maxOccurrencesPerPlan is the largest number of occurrences in one plan.
	maxOccurrencesPerPlan = 500
	// missedAfterMS is the delay in milliseconds after which an occurrence counts
	// as missed. It is longer than an election, so that a change of leader skips
	// no occurrence.
	missedAfterMS = 10_000
)

// dueOccurrences returns the due occurrences of recurring jobs. If several
// occurrences of one job are due, an outage delayed the earlier ones, and they
// are skipped. The latest is skipped if it is missed and the entry's rule is
// MissedSkip.
func (c *Core) dueOccurrences(nowMS int64) []structs.Occurrence {
	var out []structs.Occurrence
	for _, j := range c.tables.DueJobs(nowMS, maxOccurrencesPerPlan) {
		latest := j.NextOccurrence + (nowMS-state.NextDueMS(j))/j.Spec.EveryMS
		rule := c.tables.Catalogue().Entries[j.Spec.Entry].Missed
		for n := j.NextOccurrence; n <= latest; n++ {
			if len(out) == maxOccurrencesPerPlan {
				return out
			}
			lateMS := nowMS - j.Spec.FirstMS - n*j.Spec.EveryMS
			skip := n < latest || rule == structs.MissedSkip && lateMS > missedAfterMS
			if !skip && c.tables.OpenTasks(j.ID) >= state.MaxOpenOccurrences {
				break
			}
			out = append(out, structs.Occurrence{Job: j.ID, Number: n, Skipped: skip})
		}
	}
	return out
}
