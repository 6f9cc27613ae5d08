package dispatch

import (
	"math"

	"gooseberrypond/core/graph"
	"gooseberrypond/core/structs"
)

// owner returns the name of the organisation whose work a step is.
func owner(s *graph.StepState) string { return s.Occurrence.Job.Spec.Organisation }

// capacityOf returns the capacity of the usable workers.
func capacityOf(pools map[string]*candidatePool) structs.Resources {
	var sum structs.Resources
	for _, pool := range pools {
		for _, cd := range pool.members {
			sum = sum.Add(cd.ws.w.Capacity)
		}
	}
	return sum
}

// limitMilli returns the processors that an organisation's tasks may hold.
func (c *Core) limitMilli(name string) float64 {
	if cfg := c.tables.Config(); cfg != nil {
		if o := cfg.OrganisationByName(name); o != nil && o.Limit.CPUMilli > 0 {
			return float64(o.Limit.CPUMilli)
		}
	}
	return math.Inf(1)
}

// mayHold reports whether the step's organisation may hold n more of its tasks. If not,
// the room that is left is kept for them.
func (p *placer) mayHold(s *graph.StepState, n int) bool {
	need := s.Need.Scale(int64(n))
	if p.c.ledger.Fits(owner(s), need) {
		return true
	}
	p.c.ledger.Hold(owner(s), need)
	return false
}

// choose reports whether the step's organisation may hold one more of its tasks besides
// those chosen before, and adds it to them.
func (c *Core) choose(chosen map[string]structs.Resources, s *graph.StepState) bool {
	name := owner(s)
	sum := chosen[name].Add(s.Need)
	if !c.ledger.Fits(name, sum) {
		return false
	}
	chosen[name] = sum
	return true
}

const reasonAboveLimit = "its organisation is over its limit"

// aboveLimit reports whether a start that was never sent must be withdrawn because its
// organisation holds more than its limit, without the runs that will certainly not go on.
// The members of a gang are withdrawn together.
func (c *Core) aboveLimit(r *runState) bool {
	s := r.a.Step
	if r.sends > 0 || r.inherited || !c.tables.OverLimit(owner(s), structs.Resources{}) {
		return false
	}
	if !c.tables.OverLimit(owner(s), c.releasing(owner(s)).Scale(-1)) {
		return false
	}
	if s.Gang {
		return c.withdrawGang(s, reasonAboveLimit)
	}
	return true
}

// releasing returns what an organisation's runs hold whose end or release is to be
// recorded.
func (c *Core) releasing(name string) structs.Resources {
	var sum structs.Resources
	for _, ws := range c.byHandle {
		for a, r := range ws.runs {
			if (r.releasing || r.ending) && !a.Ended() && owner(a.Step) == name {
				sum = sum.Add(a.Step.Need)
			}
		}
	}
	return sum
}

// withdrawGang abandons all runs of a gang unless the start of one may have been sent.
func (c *Core) withdrawGang(s *graph.StepState, reason string) bool {
	var members []*runState
	for i := range s.Tasks {
		for _, a := range s.Tasks[i].Attempts {
			ws := c.workers[a.Worker.Handle]
			if ws == nil || ws.runs[a] == nil || ws.runs[a].sends > 0 || ws.runs[a].inherited {
				return false
			}
			members = append(members, ws.runs[a])
		}
	}
	for _, r := range members {
		r.abandonReason = reason
	}
	return true
}
