package grant

import (
	"cmp"
	"slices"
	"time"

	"gooseberrypond/core/structs"
)

// Sync processes an entry host's report, received at now, and returns the host's
// shares. Limits that are not listed have a share of zero. A sync number that is
// not above the last, an earlier incarnation and an unknown host are refused.
func (g *Table) Sync(now time.Time, req *structs.EntrySync) ([]structs.Grant, *structs.Error) {
	index, err := g.acceptReport(now, req)
	if err != nil {
		return nil, err
	}
	g.expire(now)
	g.applyReport(index, req)
	holdingsKnown := g.HoldingsKnown(now)
	var grants []structs.Grant
	for _, key := range g.sortedKeys() {
		l := g.limits[key]
		amount := g.amount(now, l, index, holdingsKnown)
		l.shares[index].record(req.Seq, amount)
		if amount > 0 {
			grants = append(grants, structs.Grant{Key: key, Amount: amount})
		}
	}
	return grants, nil
}

// acceptReport checks that the report is the newest of a configured host and
// records its order. If the host has restarted, the shares of its earlier
// incarnation are retired. It returns the index of the host.
func (g *Table) acceptReport(now time.Time, req *structs.EntrySync) (int, *structs.Error) {
	const step = "grant.sync"
	index, ok := slices.BinarySearch(g.names, req.Host)
	if !ok {
		return 0, structs.Errorf(structs.CodeBadRequest, step, "entry host %q is not configured", req.Host).WithPeer(req.Host)
	}
	h := &g.holders[index]
	if h.known && req.Incarnation < h.incarnation {
		return 0, structs.Errorf(structs.CodeConflict, step, "incarnation %d is over; the current one is %d", req.Incarnation, h.incarnation).WithPeer(req.Host)
	}
	if h.known && req.Incarnation > h.incarnation {
		g.retire(index)
		h.seq = 0
		h.priorSharesUnknown = !h.confirmed
	}
	if req.Seq <= h.seq {
		return 0, structs.Errorf(structs.CodeConflict, step, "sync %d is not above %d", req.Seq, h.seq).WithPeer(req.Host)
	}
	if !h.known && req.Young && !g.firstLeader {
		h.priorSharesUnknown = true
	}
	h.known = true
	h.incarnation = req.Incarnation
	h.seq = req.Seq
	h.lastSync = now
	h.stopping = req.Stopping
	h.confirm(req)
	return index, nil
}

// retire moves the shares of an incarnation that ended to the retired shares, where
// they count until its requests have certainly ended.
func (g *Table) retire(index int) {
	until := g.holders[index].lastSync.Add(structs.GrantReclaim)
	for _, l := range g.limits {
		if b := l.shares[index].bound(); b > 0 {
			l.retired = append(l.retired, retired{amount: b, until: until})
		}
		l.shares[index] = share{}
	}
}

// expire frees the shares whose requests have certainly ended, and deletes removed
// limits that have no outstanding shares.
func (g *Table) expire(now time.Time) {
	for i := range g.holders {
		h := &g.holders[i]
		if h.known && now.Sub(h.lastSync) > structs.GrantReclaim {
			g.clear(i)
		}
	}
	for key, l := range g.limits {
		l.retired = slices.DeleteFunc(l.retired, func(r retired) bool { return now.After(r.until) })
		if l.removed && l.outstandingExcept(-1) == 0 {
			delete(g.limits, key)
			g.keys = nil
		}
	}
}

// clear frees all shares of a holder that has stopped syncing.
func (g *Table) clear(index int) {
	for _, l := range g.limits {
		l.shares[index] = share{}
	}
}

// applyReport replaces the recorded holdings and demands of a holder by those in
// its report.
func (g *Table) applyReport(index int, req *structs.EntrySync) {
	for _, l := range g.limits {
		s := &l.shares[index]
		s.confirm(req.AppliedSeq)
		s.held, s.demand = 0, 0
	}
	for _, r := range req.Holdings {
		l, ok := g.limits[r.Key]
		if !ok && r.Held <= 0 {
			continue
		}
		if !ok {
			// The holding is of a limit that is not set on this leader, as happens
			// after an election. The limit has no capacity until it is set.
			l = g.limit(r.Key)
			l.removed = true
		}
		s := &l.shares[index]
		s.held = max(r.Held, 0)
		s.demand = max(r.Demand, 0)
	}
}

// amount returns the share to grant to a holder that has just reported.
func (g *Table) amount(now time.Time, l *limit, index int, holdingsKnown bool) int {
	s := &l.shares[index]
	free := l.capacity - l.outstandingExcept(index)
	target := g.target(now, l, index, holdingsKnown)
	if !holdingsKnown {
		return min(target, s.held)
	}
	// Renewing the held amount does not increase the total. So a holder is reduced
	// to its target at once and not below it, even while others exceed theirs.
	return min(target, max(free, s.held))
}

func (g *Table) sortedKeys() []structs.GrantKey {
	if g.keys != nil {
		return g.keys
	}
	for key := range g.limits {
		g.keys = append(g.keys, key)
	}
	slices.SortFunc(g.keys, func(a, b structs.GrantKey) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
	})
	return g.keys
}
