package route

import (
	"slices"
	"time"

	"gooseberrypond/core/structs"
)

// view is the state from the leader's last applied reply.
type view struct {
	term           uint64
	catalogue      *structs.Catalogue
	domainsVersion uint64
	domainsOut     []string
	entryHosts     int
	// validUntil is ViewMaxAge after the sync that the reply belongs to was sent.
	validUntil time.Time
}

// upstream is this host's state of one upstream. It is kept while requests are
// in flight there, even if the upstream is no longer announced.
type upstream struct {
	info           structs.Upstream
	entry          *entryState
	present        bool      // listed in the view
	leaving        bool      // the upstream is leaving or its failure domain is out
	grant          int       // slots granted to this host
	maxConnections int       // this host's part of the upstream's connections
	inUse          int       // attempts in flight
	targetSlots    int       // part of the entry's demand
	failures       int       // consecutive failures
	ejections      int       // recent ejections; sets the duration of the next one
	ejected        time.Time // end of the last ejection; zero if none
	order          uint64    // this host's order of preference
}

// entryState is one catalogue entry with its upstreams and queue.
type entryState struct {
	name           string
	info           structs.Entry
	upstreams      []*upstream // those in the view, by preference
	queue          []*request
	inFlight       int
	peak           int // highest sum of in-flight and queued requests since the last sync
	reportedDemand int // demand reported to the leader
	latency        latency
	budget         budget
}

// Catalogue returns the catalogue in force, or nil before the first view.
func (r *Router) Catalogue() *structs.Catalogue { return r.view.catalogue }

// Upstreams returns the upstreams of the applied view.
func (r *Router) Upstreams() []structs.Upstream { return r.delta.Upstreams() }

// Versions returns the versions of the catalogue and of the failure domains in
// force.
func (r *Router) Versions() (catalogue, domains uint64) {
	if r.view.catalogue != nil {
		catalogue = r.view.catalogue.Version
	}
	return catalogue, r.view.domainsVersion
}

// Fresh reports whether the view is younger than ViewMaxAge, so that requests
// may start.
func (r *Router) Fresh(now time.Time) bool {
	return r.view.catalogue != nil && now.Before(r.view.validUntil)
}

// ApplyView applies the leader's reply to the sync sent at sentAt. Only the reply
// to the newest sync is accepted, because the report in a newer sync does not cover
// shares granted by an older reply. Replies with a lower term or lower versions are
// ignored. A reply that is already older than
// ViewMaxAge allows no requests to start. State that the view does not list as
// changed is kept and renewed. Queued requests may start at the next Tick.
func (r *Router) ApplyView(sentAt time.Time, v *structs.EntryView) {
	if v != nil && v.Resend && v.Seq == r.seq {
		// A new leader does not know the upstreams. The next report is complete
		// and lists them; without it requests would be refused until the upstreams
		// announce themselves again.
		r.wantsSync = true
	}
	if !r.acceptable(v) {
		return
	}
	v = r.delta.Apply(v)
	r.appliedSeq = v.Seq
	r.view.term = v.Term
	if v.Catalogue != nil {
		r.view.catalogue = v.Catalogue
	}
	r.view.domainsVersion = v.DomainsVersion
	r.view.domainsOut = v.DomainsOut
	r.view.entryHosts = v.EntryHosts
	r.view.validUntil = sentAt.Add(structs.ViewMaxAge)
	r.setEntries()
	r.setUpstreams(v.Upstreams)
	r.setGrants(sentAt, v.Grants)
	r.limitEjections(sentAt)
}

// knownUpstreams returns the upstreams in the view that are not leaving.
func (r *Router) knownUpstreams() []structs.Upstream {
	var list []structs.Upstream
	for _, u := range r.upstreams {
		if u.present && !u.info.Leaving {
			list = append(list, u.info)
		}
	}
	return list
}

// acceptable reports whether v may replace the applied view.
func (r *Router) acceptable(v *structs.EntryView) bool {
	if v == nil || v.Resend || v.Seq != r.seq || v.Seq <= r.appliedSeq || v.Term < r.view.term {
		return false
	}
	if v.Base != 0 && (v.Base != r.appliedSeq || v.Term != r.view.term) {
		return false
	}
	version, domains := r.Versions()
	if v.CatalogueVersion < version || v.DomainsVersion < domains {
		return false
	}
	if v.Catalogue == nil {
		return r.view.catalogue != nil && v.CatalogueVersion == version
	}
	return v.Catalogue.Version == v.CatalogueVersion
}

// setEntries updates the entries from the catalogue.
func (r *Router) setEntries() {
	for name, info := range r.view.catalogue.Entries {
		r.entryState(name).info = info
	}
	for name, e := range r.entries {
		if _, ok := r.view.catalogue.Entries[name]; !ok && e.inFlight == 0 && len(e.queue) == 0 {
			delete(r.entries, name)
		}
	}
}

func (r *Router) entryState(name string) *entryState {
	e, ok := r.entries[name]
	if !ok {
		e = &entryState{name: name}
		r.entries[name] = e
	}
	return e
}

// setUpstreams updates the upstreams from the list in the view.
func (r *Router) setUpstreams(list []structs.Upstream) {
	for _, u := range r.upstreams {
		u.present = false
	}
	for _, e := range r.entries {
		e.upstreams = e.upstreams[:0]
	}
	for _, info := range list {
		u := r.upstream(info)
		u.info = info
		u.leaving = info.Leaving || slices.Contains(r.view.domainsOut, info.Domain)
		u.present = true
		u.maxConnections = info.Connections / max(r.view.entryHosts, 1)
		u.entry = r.entryState(info.Entry)
		if _, ok := r.view.catalogue.Entries[info.Entry]; ok {
			// Queued requests of a removed entry must not start.
			u.entry.upstreams = append(u.entry.upstreams, u)
		}
	}
	for name, u := range r.upstreams {
		if !u.present && u.inUse == 0 {
			delete(r.upstreams, name)
		}
	}
	for _, e := range r.entries {
		slices.SortFunc(e.upstreams, func(a, b *upstream) int {
			if a.order < b.order {
				return -1
			}
			return 1
		})
	}
}

func (r *Router) upstream(info structs.Upstream) *upstream {
	u, ok := r.upstreams[info.Name]
	if !ok {
		u = &upstream{order: preference(r.host, info.Name)}
		r.upstreams[info.Name] = u
	}
	if u.info.Address != info.Address {
		// A new address means a new process, to which earlier failures do not
		// apply.
		u.failures, u.ejections, u.ejected = 0, 0, time.Time{}
	}
	return u
}

// preference returns the sort key of an upstream on a host, an FNV-1a hash of
// both names. It gives each host a different order of the upstreams.
func preference(host, upstream string) uint64 {
	h := uint64(14695981039346656037)
	for _, s := range []string{host, "\x00", upstream} {
		for i := 0; i < len(s); i++ {
			h = (h ^ uint64(s[i])) * 1099511628211
		}
	}
	h ^= h >> 32
	return h * 0x9e3779b97f4a7c15
}

// setGrants replaces all shares. Limits that are not listed get a share of 0.
func (r *Router) setGrants(now time.Time, grants []structs.Grant) {
	for _, u := range r.upstreams {
		u.grant = 0
	}
	for _, o := range r.owners {
		o.nextConcurrency, o.nextRate = 0, 0
	}
	for _, g := range grants {
		switch g.Key.Kind {
		case structs.GrantUpstream:
			if u, ok := r.upstreams[g.Key.Name]; ok {
				u.grant = g.Amount
			}
		case structs.GrantConcurrency:
			r.owner(g.Key.Name).nextConcurrency = g.Amount
		case structs.GrantRate:
			r.owner(g.Key.Name).nextRate = g.Amount
		}
	}
	for _, o := range r.owners {
		o.concurrency = o.nextConcurrency
		o.rate.set(now, o.nextRate)
	}
}

// expireView drops all shares once the view has expired. Attempts in flight
// keep their slots.
func (r *Router) expireView(now time.Time) {
	if r.Fresh(now) {
		return
	}
	for _, u := range r.upstreams {
		u.grant = 0
	}
	for _, o := range r.owners {
		o.concurrency = 0
		o.rate.set(now, 0)
	}
}
