package structs

// Upstream is an announced backend of one latency-critical entry.
type Upstream struct {
	Name    string `json:"name"`
	Entry   string `json:"entry"`
	Address string `json:"address"`
	Domain  string `json:"domain"`
	// Worker names the worker on the same host, if any.
	Worker WorkerID `json:"worker,omitempty"`
	// Slots is the number of requests the upstream handles concurrently.
	Slots int `json:"slots"`
	// Connections is the number of connections the upstream accepts.
	Connections int `json:"connections"`
	// Leaving is set once the upstream withdraws or its failure domain is taken out of service;
	// the upstream gets no new requests.
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
	// Held is the amount that the host uses or may still use. The host reduces
	// its own limit to this amount before it sends the report.
	Held int `json:"held"`
	// Demand is the amount the host could use now: in use and queued.
	Demand int `json:"demand"`
}

// Grant is an entry host's share of one limit. It expires ViewMaxAge after the
// host sent the sync to which the grant is the reply.
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
	// AppliedSeq is the highest sync number whose reply the host has applied.
	AppliedSeq uint64 `json:"applied_seq"`
	// AppliedTerm is the term of the leader that sent that reply. Another leader
	// may have sent a different reply to the same sync number.
	AppliedTerm uint64 `json:"applied_term"`
	// Base is 0 when Holdings is complete. Otherwise Holdings is a delta to the
	// report with the number Base, which always equals AppliedSeq; a holding
	// with both amounts 0 is removed.
	Base uint64 `json:"base,omitempty"`
	// CatalogueVersion and DomainsVersion are the versions in force on the host.
	CatalogueVersion uint64    `json:"catalogue_version"`
	DomainsVersion   uint64    `json:"domains_version"`
	Holdings         []Holding `json:"holdings,omitempty"`
	// Upstreams lists the upstreams known to the host, in the first syncs after
	// it lost its leader. A new leader uses them until the upstreams announce
	// themselves again.
	Upstreams []Upstream `json:"upstreams,omitempty"`
	// Young is set until GrantReclaim after the first sync of the incarnation:
	// requests of an earlier incarnation may still be running.
	Young bool `json:"young,omitempty"`
	// Stopping is set when the host shuts down; it takes no new requests.
	Stopping bool `json:"stopping,omitempty"`
}

// EntryView is the leader's reply to an EntrySync.
type EntryView struct {
	Seq  uint64 `json:"seq"`
	Term uint64 `json:"term"`
	// Resend is set when the leader does not have the report's base. The report
	// had no effect, no other contents are set, and the host must send a complete report.
	Resend bool `json:"resend,omitempty"`
	// Base is 0 when Upstreams and Grants are complete. Otherwise Upstreams,
	// Gone and Grants are a delta to the view with the number Base, which always
	// equals the report's AppliedSeq; a grant of 0 is removed.
	Base uint64 `json:"base,omitempty"`
	// CatalogueVersion is the current version; Catalogue is nil when the host already has it.
	CatalogueVersion uint64     `json:"catalogue_version"`
	Catalogue        *Catalogue `json:"catalogue,omitempty"`
	// DomainsVersion increases with each change of a failure domain; DomainsOut
	// is never a delta.
	DomainsVersion uint64     `json:"domains_version"`
	DomainsOut     []string   `json:"domains_out,omitempty"`
	Upstreams      []Upstream `json:"upstreams,omitempty"`
	// Gone names the upstreams of the base view that have been removed.
	Gone   []string `json:"gone,omitempty"`
	Grants []Grant  `json:"grants,omitempty"`
	// EntryHosts is the number of configured entry hosts, among which the connections of an upstream are divided.
	EntryHosts int `json:"entry_hosts"`
}
