package leader

import (
	"time"

	"gooseberrypond/core/delta"
	"gooseberrypond/core/structs"
)

// silentAfter is the time since the receipt of a host's last sync after which
// the host has certainly stopped starting requests. The host stops ViewMaxAge
// after it sent that sync; the added 2% cover clock rates that are off by 1% on
// either side.
const silentAfter = structs.ViewMaxAge + structs.ViewMaxAge/50

// entryHostState is the leader's record of one configured entry host.
type entryHostState struct {
	// lastSync is the time at which the last sync was received; before the first
	// sync it is the time of the election.
	lastSync time.Time
	// catalogueVersion and domainsVersion are the versions in force on the host.
	catalogueVersion uint64
	domainsVersion   uint64
	stopping         bool
	// synced is set once the host has synced with this leader.
	synced  bool
	session delta.Session
}

// EntrySync handles an entry host's report and returns the host's new view.
// Both contain only the changes since the last exchange that the host has
// confirmed. If this leader does not have the base of a report, it ignores the
// report and sets Resend to ask for a complete one.
func (c *Core) EntrySync(now time.Time, term uint64, req *structs.EntrySync) (structs.EntryView, *structs.Error) {
	h := c.hosts[req.Host]
	if h == nil {
		return structs.EntryView{}, structs.Errorf(structs.CodeBadRequest, "sync", "entry host %q is not configured", req.Host).WithPeer(req.Host)
	}
	full, ok := h.session.Expand(term, req)
	if !ok {
		return structs.EntryView{Seq: req.Seq, Term: term, Resend: true}, nil
	}
	c.adoptUpstreams(now, req.Upstreams)
	c.refreshLimits(now)
	grants, err := c.grants.Sync(now, full)
	if err != nil {
		return structs.EntryView{}, err
	}
	c.recordSync(now, h, req)
	cat := c.tables.Catalogue()
	view := structs.EntryView{
		Seq: req.Seq, Term: term,
		CatalogueVersion: cat.Version,
		DomainsVersion:   c.tables.DomainsVersion(),
		DomainsOut:       c.tables.DomainsOut(),
		Upstreams:        c.Upstreams(now),
		Grants:           grants,
		EntryHosts:       len(c.entryHostNames),
	}
	if req.CatalogueVersion != cat.Version {
		view.Catalogue = cat
	}
	return h.session.Reduce(term, full, view), nil
}

// recordSync records a sync and the versions in force on the host. A host that
// was silent for silentAfter has stopped starting requests and starts again
// only under the view in the reply to this sync, so the current versions count
// as in force there.
func (c *Core) recordSync(now time.Time, h *entryHostState, req *structs.EntrySync) {
	silent := now.Sub(h.lastSync) >= silentAfter
	h.lastSync, h.stopping, h.synced = now, req.Stopping, true
	h.catalogueVersion = max(h.catalogueVersion, req.CatalogueVersion)
	h.domainsVersion = max(h.domainsVersion, req.DomainsVersion)
	if silent {
		h.catalogueVersion = c.tables.Catalogue().Version
		h.domainsVersion = c.tables.DomainsVersion()
	}
}

// InForce reports for each configured entry host whether the catalogue version
// is in force there: the host has that version or a later one, is stopping, or
// has been silent for silentAfter and so starts no requests. Silence is measured
// at the last tick.
func (c *Core) InForce(version uint64) map[string]bool {
	return c.inForce(func(h *entryHostState) bool { return h.catalogueVersion >= version })
}

// DomainsInForce is like InForce, for a version of the domain states.
func (c *Core) DomainsInForce(version uint64) map[string]bool {
	return c.inForce(func(h *entryHostState) bool { return h.domainsVersion >= version })
}

func (c *Core) inForce(hasVersion func(*entryHostState) bool) map[string]bool {
	out := make(map[string]bool, len(c.hosts))
	for name, h := range c.hosts {
		out[name] = hasVersion(h) || h.stopping || c.lastNow.Sub(h.lastSync) >= silentAfter
	}
	return out
}
