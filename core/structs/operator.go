package structs

// PutCatalogueRequest is the body of PUT /v1/catalogue.
type PutCatalogueRequest struct {
	ChangeID    string    `json:"change_id"`
	BaseVersion uint64    `json:"base_version"`
	Catalogue   Catalogue `json:"catalogue"`
}

// SetDomainRequest is the body of POST /v1/domains/{name}/out and /in.
type SetDomainRequest struct {
	ChangeID string `json:"change_id"`
}

// ChangeStatus answers GET /v1/changes/{id}.
type ChangeStatus struct {
	Change ChangeResult `json:"change"`
	// InForce reports for each entry host whether the change is in force there.
	// A host whose view is certain to have expired counts as in force, because
	// it starts no work.
	InForce map[string]bool `json:"in_force"`
	// Complete is set once the change is in force on every entry host.
	Complete bool `json:"complete"`
}

// DomainInfo is one failure domain in GET /v1/domains.
type DomainInfo struct {
	Name      string    `json:"name"`
	Out       bool      `json:"out"`
	Workers   int       `json:"workers"`
	Live      int       `json:"live"`
	Upstreams int       `json:"upstreams"`
	Tasks     int       `json:"tasks"`
	Capacity  Resources `json:"capacity"`
	Committed Resources `json:"committed"`
}

// OwnerInfo is one owner's resource usage in GET /v1/status.
type OwnerInfo struct {
	Name    string    `json:"name"`
	Quota   Resources `json:"quota"`
	Used    Resources `json:"used"`
	Jobs    int       `json:"jobs"`
	Pending int       `json:"pending"`
	Running int       `json:"running"`
}

// ReplicaInfo is one control replica in GET /v1/status and GET /v1/members.
type ReplicaInfo struct {
	ID      uint64 `json:"id"`
	Address string `json:"address"`
	// Role is "leader", "follower", "learner" or "unreachable".
	Role string `json:"role"`
	// Voter is cleared for learners.
	Voter bool `json:"voter"`
	// Match is the highest log index known to be stored on the replica.
	Match uint64 `json:"match"`
	// Lag is the number of log entries that the replica is behind the leader.
	Lag uint64 `json:"lag"`
}

// EntryHostInfo is one entry host in GET /v1/status.
type EntryHostInfo struct {
	Host string `json:"host"`
	// LastSyncMS is the age of the host's last sync in milliseconds; -1 means that there was none yet.
	LastSyncMS       int64  `json:"last_sync_ms"`
	CatalogueVersion uint64 `json:"catalogue_version"`
	DomainsVersion   uint64 `json:"domains_version"`
	Stopping         bool   `json:"stopping,omitempty"`
}

// Status answers GET /v1/status.
type Status struct {
	Cluster          string          `json:"cluster"`
	Leader           string          `json:"leader"`
	Term             uint64          `json:"term"`
	Commit           uint64          `json:"commit"`
	CatalogueVersion uint64          `json:"catalogue_version"`
	Replicas         []ReplicaInfo   `json:"replicas"`
	EntryHosts       []EntryHostInfo `json:"entry_hosts"`
	Domains          []DomainInfo    `json:"domains"`
	Owners           []OwnerInfo     `json:"owners"`
	Upstreams        []Upstream      `json:"upstreams"`
	// Workers and LiveWorkers count registered and live workers.
	Workers     int `json:"workers"`
	LiveWorkers int `json:"live_workers"`
	// Jobs and Tasks count by status.
	Jobs  map[JobStatus]int `json:"jobs"`
	Tasks map[JobStatus]int `json:"tasks"`
}

// MemberRequest is the body of POST /v1/members.
type MemberRequest struct {
	// Action is "add" (as learner), "promote" or "remove".
	Action  string `json:"action"`
	ID      uint64 `json:"id"`
	Address string `json:"address,omitempty"`
}

// JobView is a job as its owner sees it over HTTP.
type JobView struct {
	Job   Job    `json:"job"`
	Tasks []Task `json:"tasks,omitempty"`
	// Counts counts the job's tasks by status.
	Counts map[JobStatus]int `json:"counts"`
}

// ErrorBody is the JSON body of every refused HTTP request.
type ErrorBody struct {
	Error *Error `json:"error"`
}
