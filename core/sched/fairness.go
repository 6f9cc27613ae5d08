package sched

import "gooseberrypond/core/structs"

// share returns the owner's weighted dominant share: the largest fraction of
// the cluster's capacity that it uses in any dimension, divided by its weight.
func (p *planner) share(owner string) float64 {
	use := p.ownerUsage(owner)
	total := p.total
	s := max(fraction(use.CPUMilli, total.CPUMilli), fraction(use.MemoryMB, total.MemoryMB), fraction(use.Accelerators, total.Accelerators))
	return s / float64(max(1, p.catalogue.Owners[owner].Weight))
}

func fraction(use, total int64) float64 {
	if total <= 0 {
		return 0
	}
	return float64(use) / float64(total)
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
	return fitsQuota(p.ownerUsage(owner).Add(need), p.catalogue.Owners[owner].Quota)
}

// fitsQuota reports whether use is within quota; zero dimensions are unlimited.
func fitsQuota(use, quota structs.Resources) bool {
	return (quota.CPUMilli == 0 || use.CPUMilli <= quota.CPUMilli) &&
		(quota.MemoryMB == 0 || use.MemoryMB <= quota.MemoryMB) &&
		(quota.Accelerators == 0 || use.Accelerators <= quota.Accelerators)
}
