package entry

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"maps"
	"slices"

	"gooseberrypond/core/structs"
)

// tokenIndex maps the token digests of one catalogue to their owners.
type tokenIndex struct {
	catalogue *structs.Catalogue
	digests   []tokenDigest
	merged    map[string]string // former owner -> the owner it was merged into
}

type tokenDigest struct {
	sum   digestWords
	owner string
}

// digestWords is a SHA-256 digest as 64-bit words, which are faster to compare
// than bytes.
type digestWords [sha256.Size / 8]uint64

func wordsOf(sum []byte) (w digestWords) {
	for i := range w {
		w[i] = binary.BigEndian.Uint64(sum[8*i:])
	}
	return w
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
			if err != nil || len(sum) != sha256.Size {
				continue
			}
			next.digests = append(next.digests, tokenDigest{sum: wordsOf(sum), owner: next.resolve(name)})
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

// owner returns the owner of a token. It compares every digest without branches,
// so that the time taken reveals nothing about the digests.
func (t *tokenIndex) owner(token string) (string, bool) {
	sum := sha256.Sum256([]byte(token))
	given := wordsOf(sum[:])
	found := 0 // index of the matching digest plus 1; 0 if none
	for i := range t.digests {
		var diff uint64
		for k, w := range t.digests[i].sum {
			diff |= w ^ given[k]
		}
		same := 1 - int((diff|-diff)>>63)
		found += (i + 1 - found) * same
	}
	if found == 0 {
		return "", false
	}
	return t.digests[found-1].owner, true
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
	owner, ok := tokens.owner(token)
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
