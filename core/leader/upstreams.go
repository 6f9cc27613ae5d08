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
	// maxSlots bounds the slots and connections that one upstream may announce.
	maxSlots = 100_000
	// adoptWindow is how long after the election an upstream reported by an
	// entry host is used without an announcement. Upstreams announce every
	// second; one that left at the former leader is not revived for longer.
	adoptWindow = time.Second
)

// upstreamRec is an announced upstream.
type upstreamRec struct {
	structs.Upstream
	renewed time.Time
	// leftAt is when the upstream asked to leave; zero if it has not.
	leftAt time.Time
	// adopted is set until the first announcement to this leader.
	adopted bool
}

// Announce adds an upstream or renews its announcement.
func (c *Core) Announce(now time.Time, u structs.Upstream) *structs.Error {
	if err := c.checkUpstream(u); err != nil {
		return err.WithPeer(u.Address)
	}
	r := c.upstreams[u.Name]
	if r != nil && r.Address != u.Address && !c.leaving(now, r) && now.Sub(r.renewed) < structs.UpstreamTTL {
		err := structs.Errorf(structs.CodeConflict, stepAnnounce, "upstream %q is already announced at %s", u.Name, r.Address)
		return err.WithPeer(u.Address).WithRetryAfter(structs.UpstreamTTL.Milliseconds())
	}
	if r == nil {
		r = &upstreamRec{}
		c.upstreams[u.Name] = r
	}
	if !r.leftAt.IsZero() && now.Sub(r.leftAt) >= structs.UpstreamTTL {
		r.leftAt = time.Time{}
	}
	r.Upstream, r.renewed, r.adopted = u, now, false
	c.limitUpstream(now, r)
	return nil
}

func (c *Core) checkUpstream(u structs.Upstream) *structs.Error {
	bad := func(format string, args ...any) *structs.Error {
		return structs.Errorf(structs.CodeBadRequest, stepAnnounce, format, args...)
	}
	switch {
	case u.Name == "" || u.Address == "" || u.Domain == "":
		return bad("an upstream needs a name, an address and a domain")
	case u.Slots < 1 || u.Slots > maxSlots:
		return bad("upstream %q: slots %d is not within 1 to %d", u.Name, u.Slots, maxSlots)
	case u.Connections < 1 || u.Connections > maxSlots:
		return bad("upstream %q: connections %d is not within 1 to %d", u.Name, u.Connections, maxSlots)
	}
	if _, ok := c.t.Catalogue().Entries[u.Entry]; !ok {
		return structs.Errorf(structs.CodeNotFound, stepAnnounce, "upstream %q: entry %q is not in the catalogue", u.Name, u.Entry)
	}
	return nil
}

// Leave marks an upstream as leaving. It stays so for UpstreamTTL even if a
// delayed announcement arrives.
func (c *Core) Leave(now time.Time, upstream string) *structs.Error {
	r := c.upstreams[upstream]
	if r == nil {
		// The announcement may be on its way to this new leader.
		r = &upstreamRec{Upstream: structs.Upstream{Name: upstream}, renewed: now}
		c.upstreams[upstream] = r
	}
	if r.leftAt.IsZero() {
		r.leftAt = now
	}
	c.limitUpstream(now, r)
	return nil
}

// adopt takes over upstreams that an entry host knows from a former leader,
// so that a change of leader leaves no gap until the next announcements.
func (c *Core) adopt(now time.Time, known []structs.Upstream) {
	if now.Sub(c.electedAt) >= adoptWindow {
		return
	}
	for _, u := range known {
		if c.upstreams[u.Name] != nil || u.Leaving || c.checkUpstream(u) != nil {
			continue
		}
		r := &upstreamRec{Upstream: u, renewed: c.electedAt, adopted: true}
		c.upstreams[u.Name] = r
		c.limitUpstream(now, r)
	}
}

// leaving reports whether an upstream is to get no new requests.
func (c *Core) leaving(now time.Time, r *upstreamRec) bool {
	unconfirmed := r.adopted && now.Sub(c.electedAt) >= adoptWindow
	return r.Leaving || !r.leftAt.IsZero() || unconfirmed || c.t.DomainOut(r.Domain)
}

// Upstreams returns the known upstreams sorted by name.
func (c *Core) Upstreams(now time.Time) []structs.Upstream {
	out := make([]structs.Upstream, 0, len(c.upstreams))
	for _, r := range c.upstreams {
		if r.Entry == "" || now.Sub(r.renewed) >= structs.UpstreamTTL {
			continue
		}
		u := r.Upstream
		u.Leaving = c.leaving(now, r)
		out = append(out, u)
	}
	slices.SortFunc(out, func(a, b structs.Upstream) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// refreshLimits brings the shared limits in line with the catalogue and the upstreams.
func (c *Core) refreshLimits(now time.Time) {
	if cat := c.t.Catalogue(); cat != c.catalogue {
		c.limitOwners(c.catalogue, cat)
		c.catalogue = cat
	}
	for name, r := range c.upstreams {
		_, known := c.t.Catalogue().Entries[r.Entry]
		if now.Sub(r.renewed) >= structs.UpstreamTTL || r.Entry != "" && !known {
			c.grants.Remove(structs.GrantKey{Kind: structs.GrantUpstream, Name: name})
			delete(c.upstreams, name)
			continue
		}
		c.limitUpstream(now, r)
	}
}

// limitUpstream sets the slots that entry hosts share. Slots beyond the
// connections could not be used. Connections are split evenly between the
// configured hosts; with fewer connections than hosts the slots bound the sum.
func (c *Core) limitUpstream(now time.Time, r *upstreamRec) {
	key := structs.GrantKey{Kind: structs.GrantUpstream, Name: r.Name}
	if r.Entry == "" || c.leaving(now, r) {
		c.grants.Remove(key)
		return
	}
	perHost := r.Connections / max(1, len(c.entryHosts))
	c.grants.SetCapacity(key, min(r.Slots, r.Connections), max(1, perHost))
}

func (c *Core) limitOwners(old, cat *structs.Catalogue) {
	set := func(kind structs.GrantKind, name string, limit int) {
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
				set(structs.GrantConcurrency, name, 0)
				set(structs.GrantRate, name, 0)
			}
		}
	}
	for name, o := range cat.Owners {
		set(structs.GrantConcurrency, name, o.Concurrency)
		set(structs.GrantRate, name, o.RequestRate)
	}
}
