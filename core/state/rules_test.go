package state

import (
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"

	"gooseberrypond/core/structs"
)

// Guards against accepting jobs that can never be placed, and against refusals
// without the right code and outcome.
func TestSubmitRejectsInvalidJobs(t *testing.T) {
	tests := []struct {
		name, owner string
		spec        structs.JobSpec
		want        structs.ErrorCode
	}{
		{"unknown owner", "x", structs.JobSpec{Entry: "ea"}, structs.CodeUnauthorized},
		{"unknown entry", "a", structs.JobSpec{Entry: "ex"}, structs.CodeNotFound},
		{"entry of another owner", "a", structs.JobSpec{Entry: "eb"}, structs.CodeUnauthorized},
		{"negative count", "a", structs.JobSpec{Entry: "ea", Count: -1}, structs.CodeBadRequest},
		{"count too large", "a", structs.JobSpec{Entry: "ea", Count: structs.MaxTasksPerJob + 1}, structs.CodeBadRequest},
		{"negative size", "a", structs.JobSpec{Entry: "ea", Resources: structs.Resources{CPUMilli: -1}}, structs.CodeBadRequest},
		{"size above the limit", "a", structs.JobSpec{Entry: "ea", Resources: structs.Resources{MemoryMB: 1 << 60}}, structs.CodeBadRequest},
		{"over the owner's quota", "a", structs.JobSpec{Entry: "ea", Resources: size.Scale(4)}, structs.CodeQuota},
		{"payload too large", "a", structs.JobSpec{Entry: "ea", Payload: make([]byte, maxPayloadBytes+1)}, structs.CodeTooLarge},
		{"unknown kind", "a", structs.JobSpec{Entry: "ea", Kind: "cron"}, structs.CodeBadRequest},
		{"period too short", "a", structs.JobSpec{Entry: "ea", Kind: structs.KindRecurring, EveryMS: 1}, structs.CodeBadRequest},
		{"start far in the past", "a", structs.JobSpec{Entry: "ea", Kind: structs.KindRecurring, EveryMS: 1000, FirstMS: 1 - 1<<40}, structs.CodeBadRequest},
		{"period of a batch job", "a", structs.JobSpec{Entry: "ea", EveryMS: 5000}, structs.CodeBadRequest},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newTestbed(t)
			if tt.spec.Kind == "" {
				tt.spec.Kind = structs.KindBatch
			}
			err := b.submit(tt.owner, "k", tt.spec).Error
			if err == nil || err.Code != tt.want || err.Outcome != structs.OutcomeNotRun {
				t.Errorf("error = %+v, want %s and not run", err, tt.want)
			}
		})
	}
}

// Guards against an owner's unfinished jobs growing without bound, and against
// refusing a resent submission of an accepted job because the bound is reached.
func TestPendingJobsAreLimitedPerOwner(t *testing.T) {
	b := newTestbed(t)
	spec := structs.JobSpec{Entry: "eb", Kind: structs.KindBatch}
	first := b.submit("b", "k0", spec)
	b.submit("b", "k1", spec)
	if err := b.submit("b", "k2", spec).Error; err == nil || err.Code != structs.CodeQueueFull || err.RetryAfterMS == 0 {
		t.Errorf("third job: error %+v, want queue_full with a retry delay", err)
	}
	if again := b.submit("b", "k0", spec); again.Job != first.Job || !again.Existing {
		t.Errorf("resent job: %+v, want the existing job", again)
	}
	b.cancel(first.Job)
	if err := b.submit("b", "k2", spec).Error; err != nil {
		t.Errorf("submission after a cancel: %v", err)
	}
}

// Guards against a second job for one idempotency key when a submission is
// resent, and against a key that is reused for another job.
func TestIdempotencyKeyNamesOneJob(t *testing.T) {
	b := newTestbed(t)
	spec := structs.JobSpec{Entry: "ea", Kind: structs.KindBatch}
	first := b.submit("a", "k", spec)
	spec.Count = 1
	if again := b.submit("a", "k", spec); again.Job != first.Job || !again.Existing {
		t.Errorf("same key and specification: %+v, want the existing job", again)
	}
	spec.Count = 2
	if other := b.submit("a", "k", spec); other.Error == nil || other.Error.Code != structs.CodeKeyReused {
		t.Errorf("same key, other specification: %+v, want key_reused", other)
	}
}

func (b *testbed) put(id string, base uint64, c structs.Catalogue) *structs.ChangeResult {
	b.Helper()
	return b.apply(&structs.Command{PutCatalogue: &structs.PutCatalogue{ChangeID: id, BaseVersion: base, Catalogue: c}}).Change
}

// Guards against accepting two changes of the same base version, and against
// returning another result when a change is resent.
func TestPutCatalogueComparesBaseVersion(t *testing.T) {
	b := newTestbed(t)
	won := b.put("x", 1, baseCatalogue())
	lost := b.put("y", 1, baseCatalogue())
	if !won.Accepted || won.Version != 2 || lost.Accepted || lost.Winner != "x" || lost.Version != 2 {
		t.Fatalf("first change %+v, second change %+v; want only the first accepted", won, lost)
	}
	b.put("z", 2, baseCatalogue())
	if got := b.put("x", 3, baseCatalogue()); !reflect.DeepEqual(got, won) {
		t.Errorf("resent x: %+v, want the recorded result", got)
	}
	if got := b.put("y", 3, baseCatalogue()); !reflect.DeepEqual(got, lost) {
		t.Errorf("resent y: %+v, want the recorded result", got)
	}
	if v := b.Catalogue().Version; v != 3 {
		t.Errorf("version %d, want 3", v)
	}
}

// Guards against catalogue changes that leave unfinished jobs without owner or
// entry, and against catalogues that break the rules of the tables.
func TestPutCatalogueRejectsInvalidChanges(t *testing.T) {
	entry := structs.Entry{Owner: "a", Class: structs.ClassBatch, Resources: size}
	tests := []struct {
		name string
		edit func(c *structs.Catalogue)
		want string
	}{
		{"owner with jobs removed", func(c *structs.Catalogue) { delete(c.Owners, "a"); delete(c.Entries, "ea") }, `owner "a" (1 unfinished jobs`},
		{"entry with jobs removed", func(c *structs.Catalogue) { delete(c.Entries, "ea") }, `entry "ea"`},
		{"entry with jobs given away", func(c *structs.Catalogue) { entry.Owner = "b"; c.Entries["ea"] = entry }, `entry "ea" given to "b"`},
		{"merged owner still there", func(c *structs.Catalogue) { c.Owners["b"] = structs.Owner{MergedFrom: []string{"a"}} }, "still an owner"},
		{"merged twice", func(c *structs.Catalogue) {
			c.Owners["b"] = structs.Owner{MergedFrom: []string{"z"}}
			c.Owners["c"] = structs.Owner{MergedFrom: []string{"z"}}
		}, `both name "z"`},
		{"unknown owner", func(c *structs.Catalogue) { entry.Owner = "x"; c.Entries["en"] = entry }, `owner "x" is not in`},
		{"hold too long", func(c *structs.Catalogue) { entry.Owner = "a"; entry.LeaseHoldMS = 1 << 40; c.Entries["en"] = entry }, "lease_hold_ms"},
		{"negative limit", func(c *structs.Catalogue) { c.Owners["b"] = structs.Owner{Concurrency: -1} }, "negative"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newTestbed(t)
			b.batch("k")
			c := baseCatalogue()
			tt.edit(&c)
			res := b.put("x", 1, c)
			if res.Accepted || res.Error == nil || !strings.Contains(res.Error.Message, tt.want) || b.Catalogue().Version != 1 {
				t.Errorf("result %+v, error %v, want a refusal with %q", res, res.Error, tt.want)
			}
		})
	}
}

func mergedCatalogue() structs.Catalogue {
	c := baseCatalogue()
	delete(c.Owners, "a")
	c.Owners["b"] = structs.Owner{MergedFrom: []string{"a"}}
	c.Entries["ea"] = structs.Entry{Owner: "b", Class: structs.ClassBatch, Resources: size}
	return c
}

// Guards against losing recurring jobs, idempotency keys and claims when an
// owner is merged into another, also over two merges.
func TestOwnerMergeKeepsJobsKeysAndClaims(t *testing.T) {
	b := newTestbed(t)
	recurring := structs.JobSpec{Entry: "ea", Kind: structs.KindRecurring, EveryMS: 1000}
	old := b.submit("a", "k", recurring)
	own := b.submit("b", "k", structs.JobSpec{Entry: "eb", Kind: structs.KindBatch})
	b.apply(&structs.Command{Claim: &structs.Claim{Owner: "a", Key: "q", Digest: "d", Nonce: "n"}})
	running := b.batch("run")
	b.assign(running)
	if res := b.put("m", 1, mergedCatalogue()); !res.Accepted {
		t.Fatal(res.Error)
	}
	if b.Job(old.Job).Owner != "b" || b.OwnerUsage("b") != size || b.ResolveOwner("a") != "b" {
		t.Errorf("after the merge: job belongs to %q, usage of owner b is %v", b.Job(old.Job).Owner, b.OwnerUsage("b"))
	}
	for _, owner := range []string{"a", "b"} {
		if again := b.submit(owner, "k", recurring); again.Job != old.Job {
			t.Errorf("key of the former owner submitted by %q: %+v", owner, again)
		}
	}
	if again := b.submit("b", "k", structs.JobSpec{Entry: "eb", Kind: structs.KindBatch}); again.Job != own.Job {
		t.Errorf("key of the new owner: %+v", again)
	}
	if res := b.apply(&structs.Command{Claim: &structs.Claim{Owner: "b", Key: "q", Digest: "d", Nonce: "other"}}); res.Claimed || res.Claim.Nonce != "n" {
		t.Errorf("claim after the merge: %+v, want the claim of the former owner", res)
	}
	later := mergedCatalogue()
	later.Owners = map[string]structs.Owner{"c": {MergedFrom: []string{"b"}}}
	for name, e := range later.Entries {
		e.Owner = "c"
		later.Entries[name] = e
	}
	if res := b.put("m2", 2, later); !res.Accepted || b.ResolveOwner("a") != "c" || b.Job(old.Job).Owner != "c" {
		t.Errorf("second merge: %+v, owner a resolves to %q", res, b.ResolveOwner("a"))
	}
	b.ms += 1000
	if res := b.apply(occurrence(old.Job, 0, false)); res.Dropped > 0 {
		t.Error("the next occurrence was dropped after the merges")
	}
}

func occurrence(job structs.JobID, n int64, skipped bool) *structs.Command {
	return &structs.Command{Plan: &structs.Plan{Occurrences: []structs.Occurrence{{Job: job, Number: n, Skipped: skipped}}}}
}

// Guards against occurrences that run twice, early or not at all, and against
// an unbounded number of occurrence records.
func TestOccurrencesAreDecidedOnce(t *testing.T) {
	b := newTestbed(t)
	job := b.submit("a", "k", structs.JobSpec{Entry: "ea", Kind: structs.KindRecurring, EveryMS: 1000}).Job
	if len(b.DueJobs(b.ms-1, 9)) != 0 || len(b.DueJobs(b.ms, 9)) != 1 {
		t.Error("want the job due from its FirstMS on, not earlier")
	}
	for _, step := range []struct {
		n       int64
		skipped bool
		dropped int
	}{{1, false, 1}, {0, false, 0}, {0, false, 1}, {1, false, 1}} {
		if res := b.apply(occurrence(job, step.n, step.skipped)); res.Dropped != step.dropped {
			t.Errorf("occurrence %d: Dropped = %d, want %d", step.n, res.Dropped, step.dropped)
		}
	}
	for n := int64(1); n < 3*maxKeptOccurrences; n++ {
		b.ms += 1000
		if res := b.apply(occurrence(job, n, true)); res.Dropped > 0 {
			t.Fatalf("skipping occurrence %d was dropped", n)
		}
	}
	first := structs.TaskID{Job: job}
	b.assign(first)
	b.event(first, structs.EventFinished, "")
	b.ms += 1000
	b.apply(occurrence(job, 3*maxKeptOccurrences, false))
	if n := len(b.TasksOf(job)); n != maxKeptOccurrences {
		t.Errorf("%d occurrences kept, want %d", n, maxKeptOccurrences)
	}
	if j := b.Job(job); j.Skipped != 3*maxKeptOccurrences-1 || j.Status.Finished() {
		t.Errorf("job = %+v", j)
	}
	b.cancel(job)
	if s := b.Job(job).Status; s != structs.StatusCancelled || len(b.DueJobs(b.ms+1e6, 9)) != 0 {
		t.Errorf("after the cancel: status %s, or an occurrence is still due", s)
	}
}

// Guards against ending a job as unrunnable, on a note from outdated tables,
// while a registered worker could run it.
func TestUnrunnableNoteIsRevalidated(t *testing.T) {
	b := newTestbed(t)
	note := func(id structs.TaskID) int {
		n := structs.JobNote{Job: id.Job, Unrunnable: true, Reasons: []string{"r"}}
		return b.apply(&structs.Command{Plan: &structs.Plan{Notes: []structs.JobNote{n}}}).Dropped
	}
	fits := b.batch("fits")
	huge := structs.TaskID{Job: b.submit("b", "huge", structs.JobSpec{Entry: "eb", Kind: structs.KindBatch, Resources: size.Scale(50)}).Job}
	if note(fits) != 1 || note(huge) != 0 {
		t.Error("want only the note on the huge job applied")
	}
	b.wantStatus(fits, structs.StatusPending)
	b.wantStatus(huge, structs.StatusUnrunnable)
	if j := b.Job(huge.Job); j.Status != structs.StatusUnrunnable || len(j.Reasons) != 1 {
		t.Errorf("job = %+v", j)
	}
}

// Guards against a second run of a claimed request, and against recorded
// answers that are lost, replaced or too large.
func TestClaims(t *testing.T) {
	b := newTestbed(t)
	claim := func(nonce, digest string) structs.Result {
		return b.apply(&structs.Command{Claim: &structs.Claim{Owner: "a", Key: "q", Digest: digest, Nonce: nonce}})
	}
	complete := func(c structs.Complete) *structs.Error {
		c.Owner, c.Key = "a", "q"
		return b.apply(&structs.Command{Complete: &c}).Error
	}
	first, again, other := claim("n1", "d"), claim("n1", "d"), claim("n2", "d")
	if !first.Claimed || !again.Claimed || other.Claimed {
		t.Fatal("want the claim granted to the first nonce only")
	}
	if err := claim("n3", "other").Error; err == nil || err.Code != structs.CodeKeyReused {
		t.Errorf("claim of the key for another request: %v, want key_reused", err)
	}
	if complete(structs.Complete{Nonce: "n2", NotRun: true}) == nil {
		t.Error("another request released the claim")
	}
	complete(structs.Complete{Nonce: "n1", NotRun: true})
	if !claim("n2", "d").Claimed {
		t.Error("a released claim was not granted again")
	}
	complete(structs.Complete{Nonce: "n2", Answer: &structs.Answer{Status: 200, Body: make([]byte, structs.MaxStoredAnswerBytes+1)}})
	complete(structs.Complete{Nonce: "n2", Answer: &structs.Answer{Status: 500}})
	if complete(structs.Complete{Nonce: "n2", NotRun: true}) == nil {
		t.Error("an answered request was released")
	}
	if a := claim("n3", "d").Claim.Answer; a == nil || a.Status != 200 || !a.TooLarge || a.Body != nil {
		t.Errorf("answer = %+v", a)
	}
	b.ms += claimRetention.Milliseconds()
	b.apply(&structs.Command{Expire: &structs.Expire{}})
	if !claim("n4", "d").Claimed {
		t.Error("an expired claim was kept")
	}
}

// Guards against records that are kept without bound or removed before their
// retention ends.
func TestExpireKeepsRetention(t *testing.T) {
	b := newTestbed(t)
	retention := structs.ChangeRetention.Milliseconds()
	for n := range structs.MinChangeIDs + 10 {
		b.next++
		b.Apply(b.next, &structs.Command{NowMS: b.ms, SetDomain: &structs.SetDomain{ChangeID: fmt.Sprint(n), Domain: "d9", Out: n%2 == 0}})
	}
	done, live := b.batch("done"), b.batch("live")
	b.cancel(done.Job)
	b.register("w9", 1, 1)
	b.apply(&structs.Command{EndAttempts: &structs.EndAttempts{Worker: "w9", Incarnation: 1, WorkerDead: true}})
	expire := func(ms int64) {
		b.ms += ms
		b.apply(&structs.Command{Expire: &structs.Expire{}})
	}
	expire(retention - 1)
	if b.Job(done.Job) == nil || b.Worker("w9") == nil || b.Change("0") == nil {
		t.Error("records were removed before their retention ended")
	}
	if !b.ExpireDue(b.ms+1) || b.ExpireDue(b.ms) {
		t.Error("want records due at the end of their retention, not earlier")
	}
	expire(1)
	if b.Job(done.Job) != nil || b.Job(live.Job) == nil || b.Worker("w9") != nil || b.Worker("w1") == nil {
		t.Error("want the finished job and the ended worker removed, the others kept")
	}
	if c := b.Counts(); c.Changes != structs.MinChangeIDs || c.Keys != 0 {
		t.Errorf("counts = %+v", c)
	}
	if again := b.submit("a", "done", structs.JobSpec{Entry: "ea", Kind: structs.KindBatch, Payload: []byte("p")}); again.Existing || again.Error != nil {
		t.Errorf("submission with a key past its retention: %+v, want a new job", again)
	}
}

// Guards against time going backwards when the clock of a new leader is behind,
// which would end cooldowns and retentions early.
func TestTimeNeverDecreases(t *testing.T) {
	b := newTestbed(t)
	b.ms -= time.Hour.Milliseconds()
	b.batch("k")
	if b.NowMS() != 1_000_000 {
		t.Errorf("NowMS = %d, want 1000000", b.NowMS())
	}
}
