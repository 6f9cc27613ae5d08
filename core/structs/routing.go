package structs

// Upstream is an announced back end of one latency-critical entry.
type Upstream struct {
	Name    string `json:"name"`
	Entry   string `json:"entry"`
	Address string `json:"address"`
	Domain  string `json:"domain"`
	// Worker names the worker on the same host, if any.
	Worker WorkerID `json:"worker,omitempty"`
	// Slots is the number of requests the upstream runs at once.
	Slots int `json:"slots"`
	// Connections is the number of connections the upstream accepts.
	Connections int `json:"connections"`
	// Leaving is set once the upstream or its failure domain leaves; it gets no new requests.
	Leaving bool `json:"leaving,omitempty"`
}

// GrantKind is the kind of a shared limit.
type GrantKind string

// Kinds of shared limits.
const (
	// GrantUpstream shares the slots of the upstream Name.
	GrantUpstream GrantKind = "upstream"
	// GrantConcurrency shares the request concurrency of the owner Name.
	GrantConcurrency GrantKind = "concurrency"
	// GrantRate shares the requests per second of the owner Name.
	GrantRate GrantKind = "rate"
)

// GrantKey names a shared limit.
type GrantKey struct {
	Kind GrantKind `json:"kind"`
	Name string    `json:"name"`
}

// Holding is an entry host's report on one shared limit.
type Holding struct {
	Key GrantKey `json:"key"`
	// Held is the amount the host still uses or may use; the host has already
	// lowered itself to it when it sends the report.
	Held int `json:"held"`
	// Demand is the amount the host could use now: in use and queued.
	Demand int `json:"demand"`
}

// Grant is an entry host's share of one limit. It ends ViewMaxAge after the
// host sent the sync that it answers.
type Grant struct {
	Key    GrantKey `json:"key"`
	Amount int      `json:"amount"`
}

// EntrySync is an entry host's periodic report to the leader.
type EntrySync struct {
	Host        string `json:"host"`
	Incarnation uint64 `json:"incarnation"`
	// Seq numbers syncs within an incarnation, from 1. A repeated or lower number is refused.
	Seq uint64 `json:"seq"`
	// AppliedSeq is the highest sync number whose reply the host has put in force.
	AppliedSeq uint64 `json:"applied_seq"`
	// AppliedTerm is the term of the leader that gave that reply. Another leader
	// may have answered the same number with something else.
	AppliedTerm uint64 `json:"applied_term"`
	// Base is the number of the report that Holdings changes, always AppliedSeq;
	// a holding with neither amount is gone. 0 means that Holdings is complete.
	Base uint64 `json:"base,omitempty"`
	// CatalogueVersion and DomainsVersion are the versions in force on the host.
	CatalogueVersion uint64    `json:"catalogue_version"`
	DomainsVersion   uint64    `json:"domains_version"`
	Holdings         []Holding `json:"holdings,omitempty"`
	// Upstreams lists what the host knows, in the first syncs after it lost its
	// leader. A new leader uses them until the upstreams' next announcements.
	Upstreams []Upstream `json:"upstreams,omitempty"`
	// Young is set while the incarnation is younger than GrantReclaim, counted
	// from its first sync: requests of an earlier incarnation may still run.
	Young bool `json:"young,omitempty"`
	// Stopping is set when the host shuts down; it takes no new requests.
	Stopping bool `json:"stopping,omitempty"`
}

// EntryView is the leader's answer to an EntrySync.
type EntryView struct {
	Seq  uint64 `json:"seq"`
	Term uint64 `json:"term"`
	// Resend is set when the leader does not have the report's base. The report
	// had no effect, nothing else is set, and the host sends a complete one.
	Resend bool `json:"resend,omitempty"`
	// Base is the number of the view that Upstreams, Gone and Grants change,
	// always the report's AppliedSeq; a grant of 0 is gone. 0 means that they
	// are complete.
	Base uint64 `json:"base,omitempty"`
	// CatalogueVersion is the current version; Catalogue is nil when the host has it.
	CatalogueVersion uint64     `json:"catalogue_version"`
	Catalogue        *Catalogue `json:"catalogue,omitempty"`
	// DomainsVersion grows with each change of a failure domain; DomainsOut is
	// always complete.
	DomainsVersion uint64     `json:"domains_version"`
	DomainsOut     []string   `json:"domains_out,omitempty"`
	Upstreams      []Upstream `json:"upstreams,omitempty"`
	// Gone names the upstreams of the base that are no longer known.
	Gone   []string `json:"gone,omitempty"`
	Grants []Grant  `json:"grants,omitempty"`
	// EntryHosts is the number of configured entry hosts, for the split of connections.
	EntryHosts int `json:"entry_hosts"`
}
