package entry

import (
	"encoding/hex"
	"maps"
	"slices"

	"gooseberrypond/core/digest"
	"gooseberrypond/core/structs"
)

// tokenIndex maps the token digests of one catalogue to their owners.
type tokenIndex struct {
	catalogue *structs.Catalogue
	digests   digest.Index
	merged    map[string]string // former owner -> the owner it was merged into
}

// forCatalogue returns the index of catalogue c: t itself if it was built from c,
// otherwise a new one.
func (t *tokenIndex) forCatalogue(c *structs.Catalogue) *tokenIndex {
	if c == t.catalogue {
		return t
	}
	next := &tokenIndex{catalogue: c, merged: make(map[string]string)}
	for name, o := range c.Owners {
		for _, from := range o.MergedFrom {
			next.merged[from] = name
		}
	}
	for _, name := range slices.Sorted(maps.Keys(c.Owners)) {
		for _, text := range c.Owners[name].TokenSHA256 {
			sum, err := hex.DecodeString(text)
			if err != nil || len(sum) != len(digest.Sum{}) {
				continue
			}
			next.digests.Add(digest.Sum(sum), next.resolve(name))
		}
	}
	return next
}

// resolve returns the owner that name was merged into, or name itself if it is not
// a former owner.
func (t *tokenIndex) resolve(name string) string {
	// The bound guards against cycles, although the catalogue check refuses them.
	for range len(t.merged) {
		next, ok := t.merged[name]
		if !ok {
			break
		}
		name = next
	}
	return name
}

// Authenticate returns the owner of a bearer token. For a token of a former
// owner, that is the owner it was merged into.
func (h *Host) Authenticate(token string) (string, error) {
	h.mu.Lock()
	tokens := h.tokens
	h.mu.Unlock()
	if tokens.catalogue == nil {
		return "", structs.Errorf(structs.CodeStaleView, "entry.authenticate", "no catalogue yet").
			WithOutcome(structs.OutcomeNotRun).WithRetryAfter(structs.ViewMaxAge.Milliseconds())
	}
	owner, ok := tokens.digests.Owner(digest.Of(token))
	if !ok {
		return "", structs.Errorf(structs.CodeUnauthorized, "entry.authenticate", "unknown token").WithOutcome(structs.OutcomeNotRun)
	}
	return owner, nil
}

// checkOwner returns a not-found error unless entry is a latency-critical entry
// of owner. An entry of another owner is reported as if it did not exist.
func (h *Host) checkOwner(owner, entry string) error {
	h.mu.Lock()
	tokens := h.tokens
	h.mu.Unlock()
	if tokens.catalogue != nil {
		if e, ok := tokens.catalogue.Entries[entry]; ok && tokens.resolve(e.Owner) == owner && e.Class == structs.ClassLatency {
			return nil
		}
	}
	return structs.Errorf(structs.CodeNotFound, "entry.run", "owner %q has no latency-critical entry %q", owner, entry).WithOutcome(structs.OutcomeNotRun)
}
