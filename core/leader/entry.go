package leader

import (
	"time"

	"gooseberrypond/core/delta"
	"gooseberrypond/core/structs"
)

// silentAfter is the silence after which a host has certainly stopped starting
// work. The host counts ViewMaxAge from the send of its sync; the addition
// covers clocks that are each off by 1%.
const silentAfter = structs.ViewMaxAge + structs.ViewMaxAge/50

// hostRec is what the leader knows of one configured entry host.
type hostRec struct {
	// lastSync is the receipt of the last sync, or the election before the first one.
	lastSync time.Time
	// catalogue and domains are the versions in force on the host.
	catalogue uint64
	domains   uint64
	stopping  bool
	synced    bool
	session   delta.Session
}

// EntrySync takes an entry host's report and returns its view. Both carry what
// changed since the last exchange that the host has confirmed. A report that
// changes one unknown to this leader has no effect; the host is asked for all.
func (c *Core) EntrySync(now time.Time, term uint64, req *structs.EntrySync) (structs.EntryView, *structs.Error) {
	h := c.hosts[req.Host]
	if h == nil {
		return structs.EntryView{}, structs.Errorf(structs.CodeBadRequest, "sync", "entry host %q is not configured", req.Host).WithPeer(req.Host)
	}
	full, ok := h.session.Expand(term, req)
	if !ok {
		return structs.EntryView{Seq: req.Seq, Term: term, Resend: true}, nil
	}
	c.adopt(now, req.Upstreams)
	c.refreshLimits(now)
	grants, err := c.grants.Sync(now, full)
	if err != nil {
		return structs.EntryView{}, err
	}
	c.noteHost(now, h, req)
	cat := c.t.Catalogue()
	view := structs.EntryView{
		Seq: req.Seq, Term: term,
		CatalogueVersion: cat.Version,
		DomainsVersion:   c.t.DomainsVersion(),
		DomainsOut:       c.t.DomainsOut(),
		Upstreams:        c.Upstreams(now),
		Grants:           grants,
		EntryHosts:       len(c.entryHosts),
	}
	if req.CatalogueVersion != cat.Version {
		view.Catalogue = cat
	}
	return h.session.Reduce(term, full, view), nil
}

// noteHost records the versions in force on a host. A host that was silent for
// silentAfter starts work only with the view that answers this sync, so the
// present versions are in force there already.
func (c *Core) noteHost(now time.Time, h *hostRec, req *structs.EntrySync) {
	silent := now.Sub(h.lastSync) >= silentAfter
	h.lastSync, h.stopping, h.synced = now, req.Stopping, true
	h.catalogue = max(h.catalogue, req.CatalogueVersion)
	h.domains = max(h.domains, req.DomainsVersion)
	if silent {
		h.catalogue = c.t.Catalogue().Version
		h.domains = c.t.DomainsVersion()
	}
}

// InForce tells for each configured entry host whether the catalogue version
// is in force there: the host has it, or has certainly stopped starting work.
// Times are those of the last tick.
func (c *Core) InForce(version uint64) map[string]bool {
	return c.inForce(func(h *hostRec) bool { return h.catalogue >= version })
}

// DomainsInForce is InForce for a version of the domain states.
func (c *Core) DomainsInForce(version uint64) map[string]bool {
	return c.inForce(func(h *hostRec) bool { return h.domains >= version })
}

func (c *Core) inForce(has func(*hostRec) bool) map[string]bool {
	out := make(map[string]bool, len(c.hosts))
	for name, h := range c.hosts {
		out[name] = has(h) || h.stopping || c.lastNow.Sub(h.lastSync) >= silentAfter
	}
	return out
}
