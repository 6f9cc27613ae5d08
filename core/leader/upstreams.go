package leader

import (
	"cmp"
	"slices"
	"time"

	"gooseberrypond/core/structs"
)

const (
	stepAnnounce = "announce upstream"
	stepLeave    = "leave upstream"
	// maxSlots is the largest number of slots, and of connections, that one
	// upstream may announce.
	maxSlots = 100_000
	// adoptWindow is the time after the election during which an upstream that an
	// entry host reported is used without an announcement to this leader.
	// Upstreams announce themselves every second. The window also bounds how long
	// an upstream that left under the former leader can be used again.
	adoptWindow = time.Second
)

// upstreamState is the leader's record of an upstream.
type upstreamState struct {
	structs.Upstream
	// renewedAt is the time of the last announcement. For an adopted upstream it is
	// the time of the election.
	renewedAt time.Time
	// leftAt is when the upstream asked to leave; zero if it has not.
	leftAt time.Time
	// adopted is set if an entry host reported the upstream and the upstream has
	// not yet announced itself to this leader.
	adopted bool
}

// Announce adds an upstream or renews its announcement. It refuses a second
// address for an upstream whose announcement is still valid.
func (c *Core) Announce(now time.Time, u structs.Upstream) *structs.Error {
	if err := c.checkUpstream(u); err != nil {
		return err.WithPeer(u.Address)
	}
	r := c.upstreams[u.Name]
	if r != nil && r.Address != u.Address && !c.isLeaving(now, r) && now.Sub(r.renewedAt) < structs.UpstreamTTL {
		err := structs.Errorf(structs.CodeConflict, stepAnnounce, "upstream %q is already announced at %s", u.Name, r.Address)
		return err.WithPeer(u.Address).WithRetryAfter(structs.UpstreamTTL.Milliseconds())
	}
	if r == nil {
		r = &upstreamState{}
		c.upstreams[u.Name] = r
	}
	if !r.leftAt.IsZero() && now.Sub(r.leftAt) >= structs.UpstreamTTL {
		r.leftAt = time.Time{}
	}
	r.Upstream, r.renewedAt, r.adopted = u, now, false
	c.updateUpstreamLimit(now, r)
	return nil
}

func (c *Core) checkUpstream(u structs.Upstream) *structs.Error {
	badRequest := func(format string, args ...any) *structs.Error {
		return structs.Errorf(structs.CodeBadRequest, stepAnnounce, format, args...)
	}
	switch {
	case u.Name == "" || u.Address == "" || u.Domain == "":
		return badRequest("an upstream needs a name, an address and a domain")
	case u.Slots < 1 || u.Slots > maxSlots:
		return badRequest("upstream %q: slots %d is not within 1 to %d", u.Name, u.Slots, maxSlots)
	case u.Connections < 1 || u.Connections > maxSlots:
		return badRequest("upstream %q: connections %d is not within 1 to %d", u.Name, u.Connections, maxSlots)
	}
	if _, ok := c.tables.Catalogue().Entries[u.Entry]; !ok {
		return structs.Errorf(structs.CodeNotFound, stepAnnounce, "upstream %q: entry %q is not in the catalogue", u.Name, u.Entry)
	}
	return nil
}

// Leave marks an upstream as leaving. The mark holds for UpstreamTTL, so that a
// delayed announcement does not cancel it.
func (c *Core) Leave(now time.Time, upstream string) *structs.Error {
	r := c.upstreams[upstream]
	if r == nil {
		// A new leader may receive the upstream's announcement after its leave
		// request, so the leave request is recorded under the name alone.
		r = &upstreamState{Upstream: structs.Upstream{Name: upstream}, renewedAt: now}
		c.upstreams[upstream] = r
	}
	if r.leftAt.IsZero() {
		r.leftAt = now
	}
	c.updateUpstreamLimit(now, r)
	return nil
}

// adoptUpstreams adds upstreams that an entry host knows from a former leader,
// so that requests can be routed after a change of leader before the upstreams
// announce themselves again.
func (c *Core) adoptUpstreams(now time.Time, reported []structs.Upstream) {
	if now.Sub(c.electedAt) >= adoptWindow {
		return
	}
	for _, u := range reported {
		if c.upstreams[u.Name] != nil || u.Leaving || c.checkUpstream(u) != nil {
			continue
		}
		r := &upstreamState{Upstream: u, renewedAt: c.electedAt, adopted: true}
		c.upstreams[u.Name] = r
		c.updateUpstreamLimit(now, r)
	}
}

// isLeaving reports whether an upstream must get no new requests: it has asked to
// leave, its domain is out, or it was adopted and has not announced itself
// within adoptWindow.
func (c *Core) isLeaving(now time.Time, r *upstreamState) bool {
	unconfirmed := r.adopted && now.Sub(c.electedAt) >= adoptWindow
	return r.Leaving || !r.leftAt.IsZero() || unconfirmed || c.tables.DomainOut(r.Domain)
}

// Upstreams returns the upstreams with a valid announcement, sorted by name.
func (c *Core) Upstreams(now time.Time) []structs.Upstream {
	out := make([]structs.Upstream, 0, len(c.upstreams))
	for _, r := range c.upstreams {
		if r.Entry == "" || now.Sub(r.renewedAt) >= structs.UpstreamTTL {
			continue
		}
		u := r.Upstream
		u.Leaving = c.isLeaving(now, r)
		out = append(out, u)
	}
	slices.SortFunc(out, func(a, b structs.Upstream) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// refreshLimits updates the limits of owners after a change of the catalogue and
// those of all upstreams. It removes upstreams whose announcement has expired
// or whose entry has left the catalogue.
func (c *Core) refreshLimits(now time.Time) {
	if cat := c.tables.Catalogue(); cat != c.limitsCatalogue {
		c.updateOwnerLimits(c.limitsCatalogue, cat)
		c.limitsCatalogue = cat
	}
	for name, r := range c.upstreams {
		_, known := c.tables.Catalogue().Entries[r.Entry]
		if now.Sub(r.renewedAt) >= structs.UpstreamTTL || r.Entry != "" && !known {
			c.grants.Remove(structs.GrantKey{Kind: structs.GrantUpstream, Name: name})
			delete(c.upstreams, name)
			continue
		}
		c.updateUpstreamLimit(now, r)
	}
}

// updateUpstreamLimit sets the number of slots that the entry hosts share. It
// is at most the number of connections, since a slot cannot be used without
// one. Connections are divided evenly among the configured hosts. With fewer
// connections than hosts, each host may hold one slot, and the shared limit
// bounds the total.
func (c *Core) updateUpstreamLimit(now time.Time, r *upstreamState) {
	key := structs.GrantKey{Kind: structs.GrantUpstream, Name: r.Name}
	if r.Entry == "" || c.isLeaving(now, r) {
		c.grants.Remove(key)
		return
	}
	perHost := r.Connections / max(1, len(c.entryHostNames))
	c.grants.SetCapacity(key, min(r.Slots, r.Connections), max(1, perHost))
}

// updateOwnerLimits sets the concurrency and rate limits of the owners in cat and
// removes those of owners that are only in old.
func (c *Core) updateOwnerLimits(old, cat *structs.Catalogue) {
	setLimit := func(kind structs.GrantKind, name string, limit int) {
		key := structs.GrantKey{Kind: kind, Name: name}
		if limit > 0 {
			c.grants.SetCapacity(key, limit, 0)
			return
		}
		c.grants.Remove(key)
	}
	if old != nil {
		for name := range old.Owners {
			if _, ok := cat.Owners[name]; !ok {
				setLimit(structs.GrantConcurrency, name, 0)
				setLimit(structs.GrantRate, name, 0)
			}
		}
	}
	for name, o := range cat.Owners {
		setLimit(structs.GrantConcurrency, name, o.Concurrency)
		setLimit(structs.GrantRate, name, o.RequestRate)
	}
}
