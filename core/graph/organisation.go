package graph

import (
	"gooseberrypond/core/digest"
	"gooseberrypond/core/structs"
)

// KeyHash is the SHA-256 hash of an organisation's key; zero stands for no key.
type KeyHash = digest.Sum

// HashKey returns the hash by which a key is looked up.
func HashKey(key string) KeyHash { return digest.Of(key) }

// Organisation owns jobs. Callers prove that they belong to one with a key.
type Organisation struct {
	Name string `cbor:"1,keyasint"`
	// Keys has the hashes of the organisation's keys.
	Keys []KeyHash `cbor:"2,keyasint,omitempty"`
	// Weight is the organisation's share of a full pool relative to the others, and
	// the jobs a second that it may send before its work ranks behind theirs. 0 counts
	// as 1.
	Weight float64 `cbor:"3,keyasint,omitempty"`
	// Limit is what its tasks may hold over all workers; a dimension of 0 has no limit.
	Limit structs.Resources `cbor:"4,keyasint,omitempty"`
}

// HasOrganisations reports whether callers must belong to an organisation.
func (c *Config) HasOrganisations() bool { return len(c.Organisations) > 0 }

// OrganisationByKey returns the organisation that a key belongs to, or nil.
func (c *Config) OrganisationByKey(key KeyHash) *Organisation {
	name, ok := c.keys.Owner(key)
	if !ok {
		return nil
	}
	return c.organisations[name]
}

// OrganisationByName returns the organisation with the name, or nil.
func (c *Config) OrganisationByName(name string) *Organisation { return c.organisations[name] }

// NeedsKey reports whether calls for the queue must come from an organisation.
func (c *Config) NeedsKey(q *Queue) bool { return c.HasOrganisations() && !q.Public }

// MaySee reports whether a caller of the queue may see the job. The caller is named by
// its organisation; empty if it has none. On a public queue anyone sees the queue's own
// jobs, since calls need no key there.
func (c *Config) MaySee(j *Job, q *Queue, organisation string) bool {
	owner := j.Spec.Organisation
	return !c.HasOrganisations() || owner == "" || owner == organisation || q.Public && j.Spec.Queue == q.Name
}
