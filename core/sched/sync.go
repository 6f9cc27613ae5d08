package sched

import (
	"time"

	"gooseberrypond/core/structs"
)

// planner is the state of one call of Plan.
type planner struct {
	*Scheduler
	now   time.Time
	nowMS int64
	t     View
	live  LiveView
	plan  *structs.Plan
	// usage holds the owners' reservations including this plan.
	usage map[string]structs.Resources
}

// syncCatalogue derives entry values again after a change of the catalogue.
func (p *planner) syncCatalogue() {
	c := p.t.Catalogue()
	if c == p.catalogue || c == nil {
		return
	}
	p.catalogue = c
	clear(p.infos)
	for name, e := range c.Entries {
		p.infos[name] = &entryInfo{Entry: e, name: name, id: p.entries.id(name), owner: p.t.ResolveOwner(e.Owner)}
	}
	p.freed++
}

// syncWorkers brings the copies of workers up to date: all of them after a
// change of domains, else the changed ones and a rotating part of the rest.
func (p *planner) syncWorkers() {
	if p.syncDomains() {
		for _, n := range p.order {
			p.dirty[n] = struct{}{}
		}
	}
	if p.ticks%membershipTicks == 0 || len(p.order) == 0 {
		p.syncMembership()
	}
	p.ticks++
	for range min(refreshPerTick, len(p.order)) {
		p.cursor = (p.cursor + 1) % len(p.order)
		p.dirty[p.order[p.cursor]] = struct{}{}
	}
	for n := range p.dirty {
		p.refresh(n)
	}
	clear(p.dirty)
}

// syncDomains reports whether the set of domains out of service has changed.
func (p *planner) syncDomains() bool {
	out := p.t.DomainsOut()
	changed := len(out) != len(p.out)
	for _, d := range out {
		changed = changed || !p.out[d]
	}
	if !changed {
		return false
	}
	clear(p.out)
	for _, d := range out {
		p.out[d] = true
	}
	return true
}

// syncMembership adds workers that have registered and drops removed ones.
func (p *planner) syncMembership() {
	workers := p.t.Workers()
	same := len(workers) == len(p.order)
	for i := 0; same && i < len(workers); i++ {
		same = p.order[i].worker.ID == workers[i].ID
	}
	if same {
		return
	}
	known := p.nodes
	p.nodes = make(map[structs.WorkerID]*node, len(workers))
	p.order = p.order[:0]
	for _, w := range workers {
		n := known[w.ID]
		if n == nil {
			n = &node{worker: w, blocked: "new", pos: [2]int{-1, -1}}
			p.dirty[n] = struct{}{}
		}
		delete(known, w.ID)
		p.nodes[w.ID] = n
		p.order = append(p.order, n)
	}
	for _, n := range known {
		p.block(n, "removed")
		delete(p.dirty, n)
	}
}

// refresh copies one worker from the tables.
func (p *planner) refresh(n *node) {
	w := p.t.Worker(n.worker.ID)
	if w == nil {
		p.block(n, "removed")
		return
	}
	free, blocked := n.free(), n.blocked
	n.worker = w
	n.domain = p.domains.id(w.Domain)
	n.rack = p.racks.id(w.Rack)
	n.used = p.t.Committed(w.ID)
	n.entries = n.entries[:0]
	for _, task := range p.t.AttemptsOn(w.ID) {
		if job := p.t.Job(task.ID.Job); job != nil {
			n.addEntry(p.entries.id(job.Spec.Entry), 1)
		}
	}
	p.block(n, p.blockReason(n))
	if n.blocked == "" && (blocked != "" || !n.free().Fits(free)) {
		p.freed++
	}
}

// block sets or clears the reason for which a node takes no tasks.
func (s *Scheduler) block(n *node, reason string) {
	s.total = s.total.Sub(n.counted)
	n.counted = structs.Resources{}
	if reason == "" {
		n.counted = n.worker.Capacity
	}
	s.total = s.total.Add(n.counted)
	n.blocked = reason
	s.reindex(n)
}

// reindex moves a node to the buckets for its free capacity.
func (s *Scheduler) reindex(n *node) {
	s.all.place(n, n.blocked == "")
	s.accel.place(n, n.blocked == "" && n.free().Accelerators > 0)
}
