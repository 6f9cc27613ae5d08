package graph

import "gooseberrypond/core/structs"

// Usage returns what the attempts of an organisation hold: the full need of each,
// also of fillers. Jobs without an organisation are under the empty name.
func (t *Tables) Usage(organisation string) structs.Resources { return t.usage[organisation] }

// Usages calls yield for each organisation with attempts.
func (t *Tables) Usages(yield func(organisation string, use structs.Resources) bool) {
	for name, use := range t.usage {
		if !yield(name, use) {
			return
		}
	}
}

// RecountUsage computes from all attempts what Usages returns.
func (t *Tables) RecountUsage() map[string]structs.Resources {
	out := map[string]structs.Resources{}
	for _, w := range t.workers {
		for a := range w.Attempts {
			name := a.Step.Occurrence.Job.Spec.Organisation
			out[name] = out[name].Add(a.Step.Need)
		}
	}
	for name, use := range out {
		if use.IsZero() {
			delete(out, name)
		}
	}
	return out
}

// addUsage adds n attempts of a step to the usage of its organisation.
func (t *Tables) addUsage(s *StepState, n int64) {
	name := s.Occurrence.Job.Spec.Organisation
	use := t.usage[name].Add(s.Need.Scale(n))
	if use.IsZero() {
		delete(t.usage, name)
		return
	}
	t.usage[name] = use
}

// OverLimit reports whether an organisation holds more than its limit, or would if
// it held extra in addition.
func (t *Tables) OverLimit(organisation string, extra structs.Resources) bool {
	if t.config == nil {
		return false
	}
	o := t.config.OrganisationByName(organisation)
	return o != nil && !t.usage[organisation].Add(extra).Within(o.Limit)
}

// applyStarts applies the starts in their order, those of a gang all or none. The plan
// may have been made under a higher limit, or without the starts of an entry whose
// outcome was not known, so the limit is checked again.
func (t *Tables) applyStarts(starts []Start, r *Result) {
	for i := 0; i < len(starts); {
		s, _ := t.task(starts[i].Task)
		n := 1
		if s != nil && s.Gang {
			n = sameStep(starts[i:])
		}
		if s != nil && t.OverLimit(s.Occurrence.Job.Spec.Organisation, s.Need.Scale(int64(n))) {
			r.Dropped += n
		} else {
			for k := range n {
				t.applyStart(&starts[i+k], r)
			}
		}
		i += n
	}
}

// sameStep returns how many starts at the beginning of the list are of one step.
func sameStep(starts []Start) int {
	first := starts[0].Task
	for i := range starts {
		x := starts[i].Task
		if x.Job != first.Job || x.Occurrence != first.Occurrence || x.Step != first.Step {
			return i
		}
	}
	return len(starts)
}
