package state

import (
	"container/list"
	"fmt"
	"maps"
	"slices"
	"strings"

	"gooseberrypond/core/structs"
)

const (
	stepCatalogue = "put catalogue"
	stepDomain    = "set domain"
	// maxListedNames bounds the number of names listed in one error message.
	maxListedNames = 5
)

// applyPutCatalogue replaces the catalogue by compare-and-set. The result is
// recorded under the change id, also when the change is refused, and is returned
// again when the change is resent.
func (t *Tables) applyPutCatalogue(c *structs.PutCatalogue) structs.Result {
	if recorded, err := t.recordedChange(c.ChangeID, stepCatalogue); recorded != nil || err != nil {
		return structs.Result{Change: recorded, Error: err}
	}
	res := &structs.ChangeResult{ChangeID: c.ChangeID, AtMS: t.nowMS, Version: t.catalogue.Version}
	if c.BaseVersion != t.catalogue.Version {
		res.Winner = t.catalogueChange
		res.Error = structs.Errorf(structs.CodeConflict, stepCatalogue, "the catalogue is at version %d (change %q), not at %d", t.catalogue.Version, t.catalogueChange, c.BaseVersion)
		return t.recordChange(res)
	}
	next := normalizeCatalogue(&c.Catalogue, t.catalogue.Version+1)
	aliases := t.mergedAliases(next)
	err := checkCatalogue(next)
	if err == nil {
		err = t.checkUnfinishedJobs(next, aliases)
	}
	if err != nil {
		res.Error = err
		return t.recordChange(res)
	}
	moved := t.movedOwners(next, aliases)
	t.catalogue, t.aliases, t.catalogueChange = next, aliases, c.ChangeID
	t.transferToMergedOwners(moved)
	res.Accepted, res.Version = true, next.Version
	return t.recordChange(res)
}

func (t *Tables) recordedChange(id, step string) (*structs.ChangeResult, *structs.Error) {
	if id == "" || len(id) > maxKeyBytes {
		return nil, structs.Errorf(structs.CodeBadRequest, step, "the change id needs 1 to %d bytes, not %d", maxKeyBytes, len(id))
	}
	return t.changes[id], nil
}

func (t *Tables) recordChange(res *structs.ChangeResult) structs.Result {
	t.changes[res.ChangeID] = res
	t.changeOrder = append(t.changeOrder, res.ChangeID)
	return structs.Result{Change: res, Error: res.Error}
}

func normalizeCatalogue(c *structs.Catalogue, version uint64) *structs.Catalogue {
	next := &structs.Catalogue{Version: version, Owners: c.Owners, Entries: c.Entries}
	if next.Owners == nil {
		next.Owners = map[string]structs.Owner{}
	}
	if next.Entries == nil {
		next.Entries = map[string]structs.Entry{}
	}
	return next
}

// mergedAliases returns the aliases from former to current owners under the
// catalogue c. Aliases of earlier merges are kept, so that later catalogues need
// not repeat merged_from; a name that is an owner in c has no alias.
func (t *Tables) mergedAliases(c *structs.Catalogue) map[string]string {
	out := maps.Clone(t.aliases)
	for name, o := range c.Owners {
		for _, former := range o.MergedFrom {
			out[former] = name
		}
	}
	for name := range c.Owners {
		delete(out, name)
	}
	return out
}

// resolve follows aliases to an owner in the catalogue and returns the empty
// string when there is none. Each step follows one accepted merge; the bound on
// the steps only guards against a cycle of aliases.
func resolve(name string, c *structs.Catalogue, aliases map[string]string) string {
	for range len(aliases) + 1 {
		if _, ok := c.Owners[name]; ok {
			return name
		}
		next, ok := aliases[name]
		if !ok {
			return ""
		}
		name = next
	}
	return ""
}

// checkCatalogue checks the rules that the tables rely on. Names are visited
// in sorted order, so that every replica reports the same error.
func checkCatalogue(c *structs.Catalogue) *structs.Error {
	badRequest := func(format string, args ...any) *structs.Error {
		return structs.Errorf(structs.CodeBadRequest, stepCatalogue, format, args...)
	}
	mergedInto := map[string]string{}
	for _, name := range slices.Sorted(maps.Keys(c.Owners)) {
		o := c.Owners[name]
		if name == "" {
			return badRequest("an owner has no name")
		}
		if o.Quota.HasNegative() || min(o.Weight, o.RequestRate, o.Concurrency, o.MaxQueued, o.MaxPendingJobs) < 0 {
			return badRequest("owner %q has a negative limit", name)
		}
		for _, former := range o.MergedFrom {
			if _, ok := c.Owners[former]; ok {
				return badRequest("owner %q names %q in merged_from, which is still an owner", name, former)
			}
			if other := mergedInto[former]; other != "" && other != name {
				return badRequest("owners %q and %q both name %q in merged_from", other, name, former)
			}
			mergedInto[former] = name
		}
	}
	for _, name := range slices.Sorted(maps.Keys(c.Entries)) {
		if err := checkEntry(name, c); err != "" {
			return badRequest("entry %q: %s", name, err)
		}
	}
	return nil
}

func checkEntry(name string, c *structs.Catalogue) string {
	e := c.Entries[name]
	if _, ok := c.Owners[e.Owner]; !ok || name == "" {
		return fmt.Sprintf("owner %q is not in the catalogue", e.Owner)
	}
	if e.Class != structs.ClassLatency && e.Class != structs.ClassBatch {
		return fmt.Sprintf("class %q is not one of %q, %q", e.Class, structs.ClassLatency, structs.ClassBatch)
	}
	if err := checkSize(e.Resources); err != "" {
		return "resources: " + err
	}
	if e.LeaseHoldMS < 0 || e.LeaseHold() > structs.MaxLeaseHold {
		return fmt.Sprintf("lease_hold_ms %d is not within 0 to %d", e.LeaseHoldMS, structs.MaxLeaseHold.Milliseconds())
	}
	switch e.Missed {
	case "", structs.MissedRunOnce, structs.MissedSkip:
	default:
		return fmt.Sprintf("missed %q is not one of %q, %q", e.Missed, structs.MissedRunOnce, structs.MissedSkip)
	}
	if min(int64(e.MaxAttempts), int64(e.Priority), e.ExpectedRuntimeMS, e.RequestTimeoutMS) < 0 {
		return "a limit is negative"
	}
	return ""
}

// checkUnfinishedJobs rejects a catalogue that would leave unfinished jobs without
// their owner or entry.
func (t *Tables) checkUnfinishedJobs(next *structs.Catalogue, aliases map[string]string) *structs.Error {
	var missing []string
	for _, name := range slices.Sorted(maps.Keys(t.owners)) {
		if o := t.owners[name]; o.liveJobs > 0 && resolve(name, next, aliases) == "" {
			missing = append(missing, fmt.Sprintf("owner %q (%d unfinished jobs, first %s)", name, o.liveJobs, firstUnfinishedJob(o)))
		}
	}
	for _, name := range slices.Sorted(maps.Keys(t.entries)) {
		e := t.entries[name]
		if e.liveJobs == 0 {
			continue
		}
		entry, ok := next.Entries[name]
		owner := resolve(t.catalogue.Entries[name].Owner, next, aliases)
		switch {
		case !ok:
			missing = append(missing, fmt.Sprintf("entry %q (%d unfinished jobs)", name, e.liveJobs))
		case entry.Resources.IsZero() && !t.catalogue.Entries[name].Resources.IsZero():
			missing = append(missing, fmt.Sprintf("the size of entry %q (%d unfinished jobs)", name, e.liveJobs))
		case owner != "" && entry.Owner != owner:
			missing = append(missing, fmt.Sprintf("entry %q given to %q (%d unfinished jobs of %q)", name, entry.Owner, e.liveJobs, owner))
		}
	}
	if len(missing) == 0 {
		return nil
	}
	if len(missing) > maxListedNames {
		missing = append(missing[:maxListedNames], fmt.Sprintf("and %d more", len(missing)-maxListedNames))
	}
	return structs.Errorf(structs.CodeConflict, stepCatalogue, "the change takes away what unfinished jobs need: %s; merge the owner or cancel the jobs first", strings.Join(missing, ", "))
}

func firstUnfinishedJob(o *ownerRec) structs.JobID {
	for e := o.jobs.Front(); e != nil; e = e.Next() {
		if j := e.Value.(*jobRec); !j.Status.Finished() {
			return j.ID
		}
	}
	return ""
}

// movedOwners maps each former owner whose current owner changes to the new current owner.
func (t *Tables) movedOwners(next *structs.Catalogue, aliases map[string]string) map[string]string {
	moved := map[string]string{}
	for name := range aliases {
		to := resolve(name, next, aliases)
		if to != "" && to != t.ResolveOwner(name) {
			moved[name] = to
		}
	}
	return moved
}

// transferToMergedOwners transfers the jobs, keys and claims of former owners to
// the owners they were merged into.
func (t *Tables) transferToMergedOwners(moved map[string]string) {
	if len(moved) == 0 {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(moved)) {
		if o := t.owners[name]; o != nil {
			t.moveJobs(o, t.owner(moved[name]))
			delete(t.owners, name)
		}
	}
	t.moveKeys(moved)
	t.moveClaims(moved)
}

// moveJobs merges the job lists of two owners in order of submission, which is
// the order of the job ids, because these sort by log index.
func (t *Tables) moveJobs(from, to *ownerRec) {
	joined := list.New()
	a, b := from.jobs.Front(), to.jobs.Front()
	for a != nil || b != nil {
		if b == nil || a != nil && a.Value.(*jobRec).ID < b.Value.(*jobRec).ID {
			j := a.Value.(*jobRec)
			updated := *j.Job
			updated.Owner = to.name
			j.owner, j.Job = to, &updated
			j.ownerElem = joined.PushBack(j)
			a = a.Next()
			continue
		}
		j := b.Value.(*jobRec)
		j.ownerElem = joined.PushBack(j)
		b = b.Next()
	}
	to.jobs = joined
	to.usage = to.usage.Add(from.usage)
	to.liveJobs += from.liveJobs
	to.liveTasks += from.liveTasks
	to.jobPayloadBytes += from.jobPayloadBytes
	to.claimAnswerBytes += from.claimAnswerBytes
	to.claims += from.claims
}

// moveKeys transfers the idempotency keys of former owners. When both owners
// used the same key, both records are kept and the new owner's own comes first.
func (t *Tables) moveKeys(moved map[string]string) {
	move := func(k *keyRec) {
		to, ok := moved[k.Owner]
		if !ok {
			return
		}
		t.unlinkKey(k)
		updated := *k
		updated.Owner, updated.rank = to, 0
		t.linkKey(&updated)
		if k.orderElem != nil {
			k.orderElem.Value = &updated
		}
	}
	for e := t.jobOrder.Front(); e != nil; e = e.Next() {
		if j := e.Value.(*jobRec); j.key != nil && j.key.orderElem == nil {
			move(j.key)
		}
	}
	for e := t.keyOrder.Front(); e != nil; e = e.Next() {
		move(e.Value.(*keyRec))
	}
}

func (t *Tables) unlinkKey(k *keyRec) {
	key := ownerKey{k.Owner, k.Key}
	recs := slices.DeleteFunc(t.keys[key], func(r *keyRec) bool { return r == k })
	if len(recs) == 0 {
		delete(t.keys, key)
		return
	}
	t.keys[key] = recs
}

func (t *Tables) moveClaims(moved map[string]string) {
	for e := t.claimOrder.Front(); e != nil; e = e.Next() {
		c := e.Value.(*claimRec)
		to, ok := moved[c.Owner]
		if !ok {
			continue
		}
		t.unlinkClaim(c)
		updated := *c
		updated.Owner, updated.rank = to, 0
		t.appendClaim(&updated)
		e.Value = &updated
	}
}

// applySetDomain takes a failure domain out of service or brings it back.
func (t *Tables) applySetDomain(c *structs.SetDomain) structs.Result {
	if recorded, err := t.recordedChange(c.ChangeID, stepDomain); recorded != nil || err != nil {
		return structs.Result{Change: recorded, Error: err}
	}
	res := &structs.ChangeResult{ChangeID: c.ChangeID, AtMS: t.nowMS, Version: t.catalogue.Version}
	if c.Domain == "" || len(c.Domain) > maxKeyBytes {
		res.Error = structs.Errorf(structs.CodeBadRequest, stepDomain, "the domain name needs 1 to %d bytes, not %d", maxKeyBytes, len(c.Domain))
		return t.recordChange(res)
	}
	if t.domains[c.Domain].Out != c.Out {
		t.domains[c.Domain] = structs.DomainState{Out: c.Out, ChangedMS: t.nowMS}
		t.domainsVersion++
	}
	res.Accepted, res.DomainsVersion = true, t.domainsVersion
	return t.recordChange(res)
}
