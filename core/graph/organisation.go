package graph

import (
	"crypto/sha256"

	"gooseberrypond/core/structs"
)

// KeyHash is the SHA-256 hash of an organisation's key. Only hashes are indexed, so
// that a lookup takes the same time for every wrong key.
type KeyHash [sha256.Size]byte

// HashKey returns the hash by which a key is looked up.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

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
	// Priority orders organisations within a queue's priority; 0 is the highest.
	Priority int `cbor:"5,keyasint,omitempty"`
}

// HasOrganisations reports whether callers must belong to an organisation.
func (c *Config) HasOrganisations() bool { return len(c.Organisations) > 0 }

// OrganisationByKey returns the organisation that a key belongs to, or nil.
func (c *Config) OrganisationByKey(key string) *Organisation { return c.byKey[HashKey(key)] }

// OrganisationByName returns the organisation with the name, or nil.
func (c *Config) OrganisationByName(name string) *Organisation { return c.organisations[name] }
