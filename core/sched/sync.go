package sched

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"gooseberrypond/core/state"
	"gooseberrypond/core/structs"
)

// planner is the state of one call to Plan.
type planner struct {
	*Scheduler
	now   time.Time
	nowMS int64
	t     *state.Tables
	live  LiveView
	plan  *structs.Plan
	// usage is the usage by owner, including this plan.
	usage map[string]structs.Resources
	// evicted and hasNote are the tasks already evicted and the jobs that already
	// have a note in this plan.
	evicted         map[structs.TaskID]struct{}
	hasNote         map[structs.JobID]bool
	preemptSearches int
}

// syncCatalogue recomputes the values derived from entries when the catalogue has changed.
func (p *planner) syncCatalogue() {
	c := p.t.Catalogue()
	if c == p.catalogue || c == nil {
		return
	}
	p.catalogue = c
	clear(p.entryInfos)
	for _, name := range slices.Sorted(maps.Keys(c.Entries)) {
		e := c.Entries[name]
		owner := p.t.ResolveOwner(e.Owner)
		p.entryInfos[name] = &entryInfo{Entry: e, name: name, id: p.entries.id(name), owner: owner, quota: c.Owners[owner].Quota}
	}
	p.updateSlowdownWeights()
	p.capacityGeneration++
}

// updateSlowdownWeights recomputes the slowdown weight of each entry.
func (s *Scheduler) updateSlowdownWeights() {
	s.slowdownWeights = s.slowdownWeights[:0]
	for _, name := range s.entries.names {
		w := 1.0
		if info := s.entryInfos[name]; info != nil && info.Class == structs.ClassLatency {
			w = latencyWeight
		}
		s.slowdownWeights = append(s.slowdownWeights, w)
	}
}

// entryID returns the id of a catalogue entry, which may have been removed.
func (s *Scheduler) entryID(name string) int32 {
	id := s.entries.id(name)
	for int(id) >= len(s.slowdownWeights) {
		s.slowdownWeights = append(s.slowdownWeights, 1)
	}
	return id
}

// markDirty schedules a refresh of the node in the next syncWorkers.
func (s *Scheduler) markDirty(n *node) {
	if !n.dirty {
		n.dirty = true
		s.dirty = append(s.dirty, n)
	}
}

// syncWorkers refreshes nodes from the tables: all of them after a change of
// domains, otherwise the changed ones and a rotating subset of the rest.
func (p *planner) syncWorkers() {
	if p.syncDomains() {
		for _, n := range p.order {
			p.markDirty(n)
		}
	}
	changed := p.t.TakeChangedWorkers()
	if p.now.Sub(p.membershipAt) >= membershipInterval || len(p.order) == 0 {
		p.membershipAt = p.now
		p.syncMembership()
	}
	for _, id := range changed {
		if n := p.nodes[id]; n != nil {
			p.markDirty(n)
		}
	}
	for range min(refreshPerTick, len(p.order)) {
		p.refreshCursor = (p.refreshCursor + 1) % len(p.order)
		n := p.order[p.refreshCursor]
		p.markDirty(n)
		p.checkDeadlines(n)
		p.evictNoisy(n)
	}
	for _, n := range p.dirty {
		n.dirty = false
		p.refresh(n)
	}
	p.dirty = p.dirty[:0]
}

// syncDomains updates the set of domains out of service and reports whether it
// may have changed.
func (p *planner) syncDomains() bool {
	version := p.t.DomainsVersion()
	if version == p.domainsVersion && p.ticks > 0 {
		return false
	}
	p.domainsVersion = version
	out := p.t.DomainsOut()
	clear(p.out)
	for _, d := range out {
		p.out[d] = true
	}
	p.recordDomains(out)
	return true
}

// syncMembership adds newly registered workers and drops removed ones.
func (p *planner) syncMembership() {
	workers := p.t.Workers()
	p.syncWorkerShapes(workers)
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
			p.markDirty(n)
		}
		delete(known, w.ID)
		p.nodes[w.ID] = n
		p.order = append(p.order, n)
	}
	for _, n := range known {
		p.countEntries(n, -1)
		n.entries = n.entries[:0]
		p.block(n, "removed")
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
	p.countEntries(n, -1)
	n.worker = w
	n.domain = p.domains.id(w.Domain)
	n.rack = p.racks.id(w.Rack)
	n.used = p.t.Committed(w.ID)
	p.copyTasks(n)
	p.countEntries(n, 1)
	p.block(n, p.blockReason(n))
	if n.blocked == "" && (blocked != "" || !n.free().Fits(free)) {
		p.capacityGeneration++
	}
}

// copyTasks updates the node's list of attempts. Both lists are sorted by task
// id, so they can be merged in one pass that reuses unchanged records.
func (p *planner) copyTasks(n *node) {
	known, old := n.tasks, n.tasks
	n.tasks = p.spareTasks[:0]
	n.entries = n.entries[:0]
	for _, task := range p.t.AttemptsOn(n.worker.ID) {
		for len(known) > 0 && known[0].record != task && compareIDs(known[0].record.ID, task.ID) < 0 {
			known = known[1:]
		}
		nt := nodeTask{record: task}
		if len(known) > 0 && known[0].record == task {
			nt = known[0]
			known = known[1:]
		} else if job := p.t.Job(task.ID.Job); job != nil {
			nt.entry = p.entryID(job.Spec.Entry)
			nt.deadline = job.Spec.DeadlineMS != 0 && job.Spec.Kind == structs.KindBatch
		}
		n.tasks = append(n.tasks, nt)
		n.addEntry(nt.entry, 1)
	}
	clear(old)
	p.spareTasks = old[:0]
}

func compareIDs(a, b structs.TaskID) int {
	return cmp.Or(strings.Compare(string(a.Job), string(b.Job)), cmp.Compare(a.Index, b.Index))
}

// countEntries adds the node's tasks to the spread counts (sign 1) or subtracts
// them (sign -1).
func (s *Scheduler) countEntries(n *node, sign int32) {
	for _, c := range n.entries {
		s.spread.add(c.entry, n, sign*c.n)
	}
}

// block sets the reason why a node takes no tasks; an empty reason unblocks it.
func (s *Scheduler) block(n *node, reason string) {
	s.total = s.total.Sub(n.countedCapacity)
	n.countedCapacity = structs.Resources{}
	if reason == "" {
		n.countedCapacity = n.worker.Capacity
	}
	s.total = s.total.Add(n.countedCapacity)
	n.blocked = reason
	s.reindex(n)
}

// reindex moves a node to the index buckets that match its free capacity.
func (s *Scheduler) reindex(n *node) {
	s.allIndex.update(n, n.blocked == "")
	s.accelIndex.update(n, n.blocked == "" && n.free().Accelerators > 0)
}
