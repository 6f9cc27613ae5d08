package sched

import "gooseberrypond/core/structs"

// share returns the owner's weighted dominant share: the largest fraction of
// the cluster's capacity that it uses in any dimension, divided by its weight.
func (p *planner) share(owner string) float64 {
	return p.ownerUsage(owner).DominantShare(p.total) / float64(max(1, p.catalogue.Owners[owner].Weight))
}

// ownerUsage returns the capacity reserved for the owner's tasks, including the
// current plan.
func (p *planner) ownerUsage(owner string) structs.Resources {
	use, ok := p.usage[owner]
	if !ok {
		use = p.t.OwnerUsage(owner)
		p.usage[owner] = use
	}
	return use
}

// withinQuota reports whether the owner stays within its quota when it uses
// need in addition.
func (p *planner) withinQuota(owner string, need structs.Resources) bool {
	return p.ownerUsage(owner).Add(need).Within(p.catalogue.Owners[owner].Quota)
}
