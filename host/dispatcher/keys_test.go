package dispatcher

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"gooseberrypond/core/dispatch"
	"gooseberrypond/core/graph"
	"gooseberrypond/store/replica"
)

const (
	keptKey      = "kept-key-of-a-4711"
	withdrawnKey = "withdrawn-key-of-a-0815"
	keyOfB       = "key-of-b-1234"
	strangeKey   = "key-of-nobody-99"
	jobOfA       = "/q/00000000000000aa"
)

var oneTask = graph.Spec{Steps: []graph.Step{{Count: 1, EstimateMS: 1000}}}

// keyed returns a configuration with a queue that needs a key, a public one, and two
// organisations. The first has the given keys.
func keyed(version uint64, keysOfA ...string) *graph.Config {
	c := &graph.Config{
		Version: version, Pools: []graph.Pool{{Name: "p", Guards: true}},
		Document: []byte(strings.Join(append(keysOfA, keyOfB), ",")),
		Queues: []graph.Queue{
			{Name: "q", Host: "h", PathPrefix: "/q/", Pool: "p", TimeoutMS: 1},
			{Name: "open", Host: "h", PathPrefix: "/open/", Pool: "p", TimeoutMS: 1, Public: true},
		},
		Organisations: []graph.Organisation{{Name: "a"}, {Name: "b", Keys: []graph.KeyHash{graph.HashKey(keyOfB)}}},
	}
	for _, k := range keysOfA {
		c.Organisations[0].Keys = append(c.Organisations[0].Keys, graph.HashKey(k))
	}
	return c
}

// sharedLog commits entries at once and delivers them to the members that are not cut
// off.
type sharedLog struct {
	mu      sync.Mutex
	entries [][]byte
	members []*member
}

// member is a Log of one replica of a sharedLog.
type member struct {
	g       *sharedLog
	d       *Dispatcher
	changes chan replica.LeaderChange
	applied int // guarded by g.mu
	cut     bool

	mu   sync.Mutex
	term uint64 // 0 without the lease
}

func (g *sharedLog) newMember(t *testing.T) *member {
	t.Helper()
	d := New(Config{Workers: fakeWorkers{}, Logger: zerolog.Nop(), Limits: dispatch.Limits{LeaseMax: 10 * time.Second, Interference: 4 * time.Second}})
	m := &member{g: g, d: d, changes: make(chan replica.LeaderChange, 1)}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		d.Run(ctx, m)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	g.mu.Lock()
	defer g.mu.Unlock()
	g.members = append(g.members, m)
	return m
}

func (m *member) Propose(_ context.Context, data []byte) (any, error) {
	m.g.mu.Lock()
	defer m.g.mu.Unlock()
	if _, ok := m.LeaseTerm(); !ok {
		return nil, errors.Wrap(replica.ErrBusy, "not the leader")
	}
	m.g.entries = append(m.g.entries, data)
	var res any
	for _, other := range m.g.members {
		if !other.cut {
			if r := other.catchUp(); other == m {
				res = r
			}
		}
	}
	return res, nil
}

// catchUp applies the entries that the member lacks and returns the last result. The
// caller must hold m.g.mu.
func (m *member) catchUp() (res any) {
	for ; m.applied < len(m.g.entries); m.applied++ {
		res = m.d.Apply(uint64(m.applied+1), m.g.entries[m.applied])
	}
	return res
}

// replay delivers the whole log to a member that has empty tables.
func (m *member) replay() {
	m.g.mu.Lock()
	defer m.g.mu.Unlock()
	m.catchUp()
}

func (m *member) setCut(cut bool) {
	m.g.mu.Lock()
	defer m.g.mu.Unlock()
	m.cut = cut
	if !cut {
		m.catchUp()
	}
}

func (m *member) restore(t *testing.T, from *member) {
	t.Helper()
	m.g.mu.Lock()
	defer m.g.mu.Unlock()
	data, err := from.d.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if err := m.d.Restore(data); err != nil {
		t.Fatal(err)
	}
	m.applied = from.applied
}

func (m *member) ReadBarrier(context.Context) error {
	if _, ok := m.LeaseTerm(); !ok {
		return replica.ErrNotLeader
	}
	return nil
}

func (m *member) LeaseTerm() (uint64, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.term, m.term > 0
}

func (m *member) LeaderChanges() <-chan replica.LeaderChange { return m.changes }

func (m *member) setTerm(term uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.term = term
}

// lead makes m the only leader.
func (m *member) lead(t *testing.T, term uint64) {
	t.Helper()
	for _, other := range m.g.members {
		other.setTerm(0)
	}
	m.setTerm(term)
	m.changes <- replica.LeaderChange{Leading: true, Term: term}
	waitUntil(t, "the member leads", func() bool { return m.d.Dump().Leading })
}

func (m *member) put(t *testing.T, c *graph.Config) {
	t.Helper()
	if a := m.d.PutConfig(t.Context(), c); a.Code != Done {
		t.Fatalf("configuration answered %s, want done", a.Code)
	}
}

// callsOf sends each kind of call with a key. The job is that of jobOfA.
func callsOf(d *Dispatcher, key string) map[string]Answer {
	c, ctx := d.Caller(graph.HashKey(key)), context.Background()
	return map[string]Answer{
		"POST":     c.Submit(ctx, "h", jobOfA, oneTask),
		"GET":      c.Look("h", jobOfA),
		"DELETE":   c.Cancel(ctx, "h", jobOfA),
		"count":    c.Look("h", "/q/"),
		"new POST": c.Submit(ctx, "h", "/q/00000000000000bb", oneTask),
	}
}

func expectCode(t *testing.T, d *Dispatcher, key string, want Code) {
	t.Helper()
	for call, a := range callsOf(d, key) {
		if a.Code != want {
			t.Errorf("%s with key %q answered %s, want %s", call, key, a.Code, want)
		}
		if want != Done && a.Reason == "" {
			t.Errorf("%s with key %q was refused without a reason", call, key)
		}
	}
}

// withdraw starts a leader, takes a key away and returns the leader.
func withdraw(t *testing.T, g *sharedLog) *member {
	t.Helper()
	m := g.newMember(t)
	m.lead(t, 1)
	m.put(t, keyed(1, keptKey, withdrawnKey))
	expectCode(t, m.d, withdrawnKey, Done)
	m.put(t, keyed(2, keptKey))
	return m
}

func expectWithdrawn(t *testing.T, m *member) {
	t.Helper()
	expectCode(t, m.d, withdrawnKey, NoKey)
	expectCode(t, m.d, keptKey, Done)
}

// Guards against calls that are served without a valid key, and against a withdrawn
// key that is in force after its commit.
func TestOnlyKeysInTheConfigurationAreServed(t *testing.T) {
	m := withdraw(t, &sharedLog{})
	expectWithdrawn(t, m)
	expectCode(t, m.d, "", NoKey)
	expectCode(t, m.d, strangeKey, NoKey)
}

// Guards against a withdrawn key that the next leader still takes.
func TestWithdrawnKeyAfterElection(t *testing.T) {
	g := &sharedLog{}
	next := g.newMember(t)
	withdraw(t, g)
	next.lead(t, 2)
	expectWithdrawn(t, next)
}

// Guards against a withdrawn key that comes back as the log is replayed, which still has
// the entry that brought it.
func TestWithdrawnKeyAfterRestartFromLog(t *testing.T) {
	g := &sharedLog{}
	withdraw(t, g)
	restarted := g.newMember(t)
	restarted.replay()
	restarted.lead(t, 2)
	expectWithdrawn(t, restarted)
}

// Guards against keys that are lost or come back with a snapshot: the index of keys is
// not part of it.
func TestWithdrawnKeyFromSnapshot(t *testing.T) {
	g := &sharedLog{}
	old := withdraw(t, g)
	m := g.newMember(t)
	m.restore(t, old)
	m.lead(t, 2)
	expectWithdrawn(t, m)
}

// Guards against a member that keeps its own, older keys when another's snapshot
// replaces its tables.
func TestWithdrawnKeyOnRestoredMember(t *testing.T) {
	g := &sharedLog{}
	behind := g.newMember(t)
	behind.lead(t, 1)
	behind.put(t, keyed(1, keptKey, withdrawnKey))
	expectCode(t, behind.d, withdrawnKey, Done)
	behind.setCut(true)
	next := g.newMember(t)
	next.replay()
	next.lead(t, 2)
	next.put(t, keyed(2, keptKey))
	behind.restore(t, next)
	behind.lead(t, 3)
	expectWithdrawn(t, behind)
}

// Guards against a host that was cut off while a key was withdrawn: it must answer
// nothing meanwhile, also if it was the leader, and refuse the key once it is back.
func TestWithdrawnKeyOnHostThatWasCutOff(t *testing.T) {
	g := &sharedLog{}
	old := g.newMember(t)
	old.lead(t, 1)
	old.put(t, keyed(1, keptKey, withdrawnKey))
	old.setCut(true)
	next := g.newMember(t)
	next.replay()
	next.lead(t, 2)
	next.put(t, keyed(2, keptKey))
	expectCode(t, old.d, withdrawnKey, NotLeader)
	expectCode(t, old.d, keptKey, NotLeader)
	old.setCut(false)
	old.lead(t, 3)
	expectWithdrawn(t, old)
}

// Guards against an old leader that judges a key by tables which another leader may
// have changed: neither a job nor a refusal may be answered once the lease has ended,
// even during the call.
func TestKeyIsNotJudgedWithoutLease(t *testing.T) {
	g := &sharedLog{}
	old := g.newMember(t)
	old.lead(t, 1)
	old.put(t, keyed(1, keptKey, withdrawnKey))
	for _, key := range []string{withdrawnKey, strangeKey} {
		old.setTerm(1)
		c := old.d.Caller(graph.HashKey(key))
		a := old.d.withLeader(t.Context(), func(*leadership) (Answer, bool) {
			_, refusal := c.resolve("h", "/q/")
			old.setTerm(0)
			if refusal != nil {
				return *refusal, false
			}
			return Answer{Code: Done}, false
		})
		if a.Code != NotLeader {
			t.Errorf("key %q was judged %s after the lease had ended, want not leader", key, a.Code)
		}
		expectCode(t, old.d, key, NotLeader)
	}
}

// Guards against work that is served while no key can be known.
func TestNothingIsServedWithoutConfiguration(t *testing.T) {
	m := (&sharedLog{}).newMember(t)
	m.lead(t, 1)
	expectCode(t, m.d, "", NoConfig)
	expectCode(t, m.d, keptKey, NoConfig)
}

// Guards against a queue that is refused for a key although it does not exist, and
// against a public queue that asks for one.
func TestQueueIsFoundBeforeTheKeyIsChecked(t *testing.T) {
	m := withdraw(t, &sharedLog{})
	for _, key := range []string{"", strangeKey, withdrawnKey, keptKey} {
		c := m.d.Caller(graph.HashKey(key))
		if a := c.Look("h", "/none/"); a.Code != NoQueue {
			t.Errorf("count of an unknown queue with key %q answered %s, want no queue", key, a.Code)
		}
		if a := c.Look("h", "/open/"); a.Code != Done {
			t.Errorf("count of a public queue with key %q answered %s, want done", key, a.Code)
		}
		if a := c.Submit(t.Context(), "h", "/open/00000000000000ee", oneTask); a.Code != Done {
			t.Errorf("submit to a public queue with key %q answered %s, want done", key, a.Code)
		}
		if a := c.Look("h", "/open/00000000000000ee"); a.Code != Done {
			t.Errorf("job of a public queue with key %q answered %s, want done", key, a.Code)
		}
	}
}

// Guards against an organisation that sees, cancels or takes the place of another's job,
// by its own queue or a public one, and against a submission that is acknowledged
// although another's job has its id.
func TestJobsOfAnotherOrganisation(t *testing.T) {
	m := (&sharedLog{}).newMember(t)
	m.lead(t, 1)
	m.put(t, keyed(1, keptKey, withdrawnKey))
	a, b, nobody := m.d.Caller(graph.HashKey(keptKey)), m.d.Caller(graph.HashKey(keyOfB)), m.d.Caller(graph.KeyHash{})
	ctx := t.Context()
	if got := a.Submit(ctx, "h", jobOfA, oneTask); got.Code != Done {
		t.Fatalf("submit answered %s, want done", got.Code)
	}
	through := strings.Replace(jobOfA, "/q/", "/open/", 1)
	for name, got := range map[string]Answer{
		"GET": b.Look("h", jobOfA), "DELETE": b.Cancel(ctx, "h", jobOfA),
		"GET by a public queue": nobody.Look("h", through), "DELETE by a public queue": b.Cancel(ctx, "h", through),
	} {
		if got.Code != NoJob || got.Reason != "there is no such job" {
			t.Errorf("%s of another's job answered %s, %q, want the answer for no job", name, got.Code, got.Reason)
		}
	}
	for name, got := range map[string]Answer{"key": b.Submit(ctx, "h", jobOfA, oneTask), "public queue": nobody.Submit(ctx, "h", through, oneTask)} {
		if got.Code != IDInUse {
			t.Errorf("%s: submit of an id that another's job has answered %s, want id in use", name, got.Code)
		}
	}
	if got := m.d.Caller(graph.HashKey(withdrawnKey)).Look("h", jobOfA); got.State != graph.JobQueued {
		t.Errorf("the job's state with another key of its organisation is %q, want queued", got.State)
	}
}

// Guards against two organisations that are both told that their job was accepted, when
// they submit one id while neither is committed.
func TestOneIDSubmittedByTwoOrganisationsAtOnce(t *testing.T) {
	m := (&sharedLog{}).newMember(t)
	m.lead(t, 1)
	m.put(t, keyed(1, keptKey))
	for i := range 50 {
		path := fmt.Sprintf("/q/%016x", i)
		codes := make(chan Code, 2)
		for _, key := range []string{keptKey, keyOfB} {
			go func() { codes <- m.d.Caller(graph.HashKey(key)).Submit(t.Context(), "h", path, oneTask).Code }()
		}
		if x, y := <-codes, <-codes; (x != Done || y != IDInUse) && (x != IDInUse || y != Done) {
			t.Fatalf("submissions of one id answered %s and %s, want one done and one id in use", x, y)
		}
	}
}

// Guards against owners that a caller sets itself, and against public jobs that are not
// counted for the organisation whose key came with them.
func TestLeaderSetsTheOwner(t *testing.T) {
	m := (&sharedLog{}).newMember(t)
	m.lead(t, 1)
	m.put(t, keyed(1, keptKey))
	forged := oneTask
	forged.Organisation = "b"
	for path, c := range map[string]struct{ key, owner string }{
		"/q/00000000000000a1": {keptKey, "a"}, "/open/00000000000000a2": {keptKey, "a"},
		"/open/00000000000000a3": {"", ""}, "/open/00000000000000a4": {strangeKey, ""},
	} {
		if a := m.d.Caller(graph.HashKey(c.key)).Submit(t.Context(), "h", path, forged); a.Code != Done {
			t.Fatalf("submit to %s answered %s, want done", path, a.Code)
		}
		id := graph.JobID(path[strings.LastIndex(path, "/")+1:])
		m.d.mu.Lock()
		owner := m.d.tables.Job(id).Spec.Organisation
		m.d.mu.Unlock()
		if owner != c.owner {
			t.Errorf("owner of %s is %q, want %q", path, owner, c.owner)
		}
	}
}

// lockedBuffer is a buffer for a logger that several goroutines use.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// Guards against keys in logs, dumps and metrics, where people and programs read them
// that must not know them; and against a refusal that an operator cannot explain.
func TestKeysAreNotShown(t *testing.T) {
	var log lockedBuffer
	m := (&sharedLog{}).newMember(t)
	m.d.cfg.Logger = zerolog.New(&log).Level(zerolog.TraceLevel)
	registry := prometheus.NewRegistry()
	m.d.Register(registry)
	m.lead(t, 1)
	m.put(t, keyed(7, keptKey, withdrawnKey))
	for _, key := range []string{keptKey, keyOfB, strangeKey, ""} {
		callsOf(m.d, key)
	}
	dump, err := json.Marshal(m.d.Dump())
	if err != nil {
		t.Fatal(err)
	}
	families, err := registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	shown := map[string]string{"log": log.String(), "dump": string(dump), "metrics": fmt.Sprint(families)}
	for where, text := range shown {
		for _, key := range []string{keptKey, withdrawnKey, keyOfB, strangeKey} {
			if strings.Contains(text, key) {
				t.Errorf("%s has the key %q", where, key)
			}
		}
	}
	for where, want := range map[string]string{
		"log":     fmt.Sprintf(`"call":"look","queue":"q","rule":"unknown key","version":7,"key":%q`, graph.HashKey(strangeKey).Short()),
		"metrics": `gooseberrypond_key_refusals_total`,
	} {
		if !strings.Contains(shown[where], want) {
			t.Errorf("%s lacks %s", where, want)
		}
	}
	for _, rule := range []string{ruleNoKey, ruleUnknownKey, ruleNotOwner} {
		if n := strings.Count(shown["log"], `"rule":"`+rule+`"`); n == 0 {
			t.Errorf("no log line names the rule %q", rule)
		}
	}
}

// Guards against a change for systems without organisations: whatever key a caller
// sends, the log must be the same, byte for byte, as for callers without one.
func TestKeysChangeNothingWithoutOrganisations(t *testing.T) {
	play := func(key string) (entries [][]byte, answers []Answer) {
		g := &sharedLog{}
		m := g.newMember(t)
		start := time.UnixMilli(1_700_000_000_000)
		m.d.cfg.Now = func() time.Time { return start }
		m.lead(t, 1)
		c := keyed(1)
		c.Organisations = nil
		m.put(t, c)
		caller := m.d.Caller(graph.HashKey(key))
		for i := range 5 {
			path := fmt.Sprintf("/q/%016x", i)
			answers = append(answers, caller.Submit(t.Context(), "h", path, oneTask), caller.Submit(t.Context(), "h", path, oneTask),
				caller.Look("h", path), caller.Look("h", "/open/"+path[3:]), caller.Look("h", "/q/"))
			if i%2 == 0 {
				answers = append(answers, caller.Cancel(t.Context(), "h", path))
			}
		}
		g.mu.Lock()
		defer g.mu.Unlock()
		return g.entries, answers
	}
	wantEntries, wantAnswers := play("")
	gotEntries, gotAnswers := play(strangeKey)
	if fmt.Sprint(gotAnswers) != fmt.Sprint(wantAnswers) {
		t.Errorf("answers with a key are %v, want %v", gotAnswers, wantAnswers)
	}
	if len(gotEntries) != len(wantEntries) {
		t.Fatalf("the log has %d entries with a key, want %d", len(gotEntries), len(wantEntries))
	}
	for i := range wantEntries {
		if !bytes.Equal(gotEntries[i], wantEntries[i]) {
			t.Errorf("entry %d is %x with a key, want %x", i, gotEntries[i], wantEntries[i])
		}
	}
	for i, a := range wantAnswers {
		if a.Code != Done {
			t.Errorf("answer %d is %s, want done", i, a.Code)
		}
	}
}

// snapshotBefore is the SHA-256 hash of the snapshot of the load below, taken at the last
// commit without organisations (0ea5afd).
const snapshotBefore = "b281734451c0092965d43982ab53561f7c117c1f52c814a806319e61fd2d0f85"

// Guards against tables that change for systems without organisations: replicas of both
// versions, and snapshots of either, must be the same.
func TestTablesWithoutOrganisationsAreAsBefore(t *testing.T) {
	m := (&sharedLog{}).newMember(t)
	start := time.UnixMilli(1_700_000_000_000)
	m.d.cfg.Now = func() time.Time { return start }
	m.lead(t, 1)
	m.put(t, &graph.Config{
		Version: 1, Pools: []graph.Pool{{Name: "p", Guards: true}}, Document: []byte("document"),
		Queues: []graph.Queue{{Name: "q", Host: "h", PathPrefix: "/q/", Pool: "p", TimeoutMS: 1}},
	})
	for i := range 5 {
		path := fmt.Sprintf("/q/%016x", i)
		m.d.Submit(t.Context(), "h", path, oneTask)
		if i%2 == 0 {
			m.d.Cancel(t.Context(), "h", path)
		}
	}
	data, err := m.d.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if got := fmt.Sprintf("%x", sha256.Sum256(data)); got != snapshotBefore {
		t.Errorf("hash of the snapshot is %s, want %s", got, snapshotBefore)
	}
}
