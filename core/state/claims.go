package state

import (
	"container/list"
	"slices"

	"gooseberrypond/core/structs"
)

const (
	stepClaim    = "claim request"
	stepComplete = "complete request"
	// maxOwnerClaims and maxClaims bound the number of claims kept per owner and in total.
	maxOwnerClaims = 25_000
	maxClaims      = 100_000
	// maxOwnerAnswerBytes and maxTotalAnswerBytes bound the recorded answers per
	// owner and in total; header and body of further answers are not stored.
	maxOwnerAnswerBytes = 8 << 20
	maxTotalAnswerBytes = 48 << 20
)

// claimRec is the claim of one request. It is not changed in place, because
// images of the tables share it.
type claimRec struct {
	Owner string
	Key   string
	structs.ClaimState
	// rank is the position among the claims of one key.
	rank      int
	orderElem *list.Element
}

// applyClaim reserves an idempotency key for one request. A claim that was
// already granted to the same nonce is granted again.
func (t *Tables) applyClaim(c *structs.Claim) structs.Result {
	owner := t.ResolveOwner(c.Owner)
	if owner == "" {
		return failure(structs.CodeUnauthorized, stepClaim, "owner %q is not in the catalogue", c.Owner)
	}
	if c.Key == "" || len(c.Key) > maxKeyBytes || c.Nonce == "" {
		return failure(structs.CodeBadRequest, stepClaim, "a claim needs a nonce and a key of 1 to %d bytes, not %d", maxKeyBytes, len(c.Key))
	}
	key := ownerKey{owner, c.Key}
	for _, r := range t.claims[key] {
		if r.Digest == c.Digest {
			state := r.ClaimState
			return structs.Result{Claimed: r.Nonce == c.Nonce, Claim: &state}
		}
	}
	if len(t.claims[key]) > 0 {
		return failure(structs.CodeKeyReused, stepClaim, "key %q already names another request", c.Key)
	}
	if n := t.owner(owner).claims; n >= maxOwnerClaims || t.claimOrder.Len() >= maxClaims {
		res := failure(structs.CodeQueueFull, stepClaim, "%d requests are claimed, %d by owner %q; the limits are %d and %d", t.claimOrder.Len(), n, owner, maxClaims, maxOwnerClaims)
		res.Error.RetryAfterMS = queueRetryMS
		return res
	}
	r := &claimRec{Owner: owner, Key: c.Key}
	r.ClaimState = structs.ClaimState{Digest: c.Digest, Host: c.Host, Nonce: c.Nonce, ClaimedMS: t.nowMS}
	t.linkClaim(r)
	state := r.ClaimState
	return structs.Result{Claimed: true, Claim: &state}
}

func (t *Tables) linkClaim(r *claimRec) {
	t.appendClaim(r)
	r.orderElem = t.claimOrder.PushBack(r)
	t.owner(r.Owner).claims++
	t.addAnswerBytes(r, 1)
}

// addAnswerBytes adds the size of a claim's answer to the counters, or
// subtracts it when sign is -1.
func (t *Tables) addAnswerBytes(r *claimRec, sign int) {
	n := sign * answerBytes(r.Answer)
	t.counts.answerBytes += n
	t.owner(r.Owner).claimAnswerBytes += n
}

func (t *Tables) appendClaim(r *claimRec) {
	key := ownerKey{r.Owner, r.Key}
	recs := t.claims[key]
	if n := len(recs); n > 0 {
		r.rank = recs[n-1].rank + 1
	}
	t.claims[key] = append(recs, r)
}

// setAnswer replaces a claim by a copy with an answer.
func (t *Tables) setAnswer(r *claimRec, a *structs.Answer) *claimRec {
	answered := *r
	answered.Answer = t.storedAnswer(r.Owner, a)
	t.addAnswerBytes(&answered, 1)
	recs := t.claims[ownerKey{r.Owner, r.Key}]
	recs[slices.Index(recs, r)] = &answered
	r.orderElem.Value = &answered
	return &answered
}

func (t *Tables) unlinkClaim(r *claimRec) {
	key := ownerKey{r.Owner, r.Key}
	recs := slices.DeleteFunc(t.claims[key], func(o *claimRec) bool { return o == r })
	if len(recs) == 0 {
		delete(t.claims, key)
		return
	}
	t.claims[key] = recs
}

func (t *Tables) removeClaim(r *claimRec) {
	t.unlinkClaim(r)
	t.claimOrder.Remove(r.orderElem)
	t.owner(r.Owner).claims--
	t.addAnswerBytes(r, -1)
}

// applyComplete records the outcome of a claimed request. The first answer
// is kept; a request that has an answer cannot be released as not run.
func (t *Tables) applyComplete(c *structs.Complete) structs.Result {
	r := t.findClaim(ownerKey{t.ResolveOwner(c.Owner), c.Key}, c.Nonce)
	if r == nil {
		return structs.Result{Error: structs.Errorf(structs.CodeNotFound, stepComplete, "key %q has no claim with this nonce", c.Key)}
	}
	switch {
	case r.Answer != nil && c.NotRun:
		return structs.Result{Error: structs.Errorf(structs.CodeConflict, stepComplete, "key %q has an answer already", c.Key)}
	case c.NotRun:
		t.removeClaim(r)
		return structs.Result{}
	case r.Answer == nil && c.Answer != nil:
		r = t.setAnswer(r, c.Answer)
	}
	state := r.ClaimState
	return structs.Result{Claim: &state}
}

func (t *Tables) findClaim(key ownerKey, nonce string) *claimRec {
	for _, r := range t.claims[key] {
		if r.Nonce == nonce {
			return r
		}
	}
	return nil
}

// storedAnswer returns the form in which an answer is recorded: without header
// and body when it exceeds the bound on one answer, or when its owner's answers
// or all answers together would exceed theirs.
func (t *Tables) storedAnswer(owner string, a *structs.Answer) *structs.Answer {
	size := answerBytes(a)
	overTotal := t.owner(owner).claimAnswerBytes+size > maxOwnerAnswerBytes || t.counts.answerBytes+size > maxTotalAnswerBytes
	if a.TooLarge || size > structs.MaxStoredAnswerBytes || overTotal {
		return &structs.Answer{Status: a.Status, TooLarge: true}
	}
	return a
}

func answerBytes(a *structs.Answer) int {
	if a == nil {
		return 0
	}
	n := len(a.Body)
	for name, values := range a.Header {
		n += len(name)
		for _, v := range values {
			n += len(v)
		}
	}
	return n
}

// Claim returns the claim of a request by owner, key and digest, or nil.
func (t *Tables) Claim(owner, key, digest string) *structs.ClaimState {
	for _, r := range t.claims[ownerKey{t.ResolveOwner(owner), key}] {
		if r.Digest == digest {
			return &r.ClaimState
		}
	}
	return nil
}
