package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"gooseberrypond/core/delta"
	"gooseberrypond/core/grant"
	"gooseberrypond/core/structs"
)

// fakeControl acts as a leader without a replicated log. Grants come from the
// real grant table; claims are kept in a map.
type fakeControl struct {
	mu            sync.Mutex
	catalogue     structs.Catalogue
	upstreams     []structs.Upstream
	table         *grant.Table
	claims        map[string]*structs.ClaimState
	err           error // returned by Sync and Claim, if set
	lastSync      structs.EntrySync
	sessions      map[string]*delta.Session
	completes     []structs.Complete
	blockComplete chan struct{} // if set, Complete blocks until it is closed
	syncs         int
}

func newFakeControl(hosts ...string) *fakeControl {
	table := grant.New(time.Now(), hosts)
	table.SetFirstLeader()
	sessions := make(map[string]*delta.Session)
	for _, h := range hosts {
		sessions[h] = &delta.Session{}
	}
	return &fakeControl{
		catalogue: structs.Catalogue{
			Version: 1,
			Owners:  map[string]structs.Owner{"desk": {TokenSHA256: []string{sha("secret")}}},
			Entries: map[string]structs.Entry{"book": {Owner: "desk", Class: structs.ClassLatency, RequestTimeoutMS: 30000}},
		},
		table:    table,
		sessions: sessions,
		claims:   make(map[string]*structs.ClaimState),
	}
}

func sha(s string) string {
	sum := sha256.Sum256([]byte(s))
	return hex.EncodeToString(sum[:])
}

func (c *fakeControl) add(name, address string, slots int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.upstreams = append(c.upstreams, structs.Upstream{Name: name, Entry: "book", Address: address, Domain: "d1", Slots: slots, Connections: 60})
	c.table.SetCapacity(structs.GrantKey{Kind: structs.GrantUpstream, Name: name}, slots, 0)
}

func (c *fakeControl) Sync(_ context.Context, req *structs.EntrySync) (*structs.EntryView, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		return nil, c.err
	}
	full, ok := c.sessions[req.Host].Expand(1, req)
	if !ok {
		return &structs.EntryView{Seq: req.Seq, Term: 1, Resend: true}, nil
	}
	c.lastSync = *full
	c.syncs++
	grants, err := c.table.Sync(time.Now(), full)
	if err != nil {
		return nil, err
	}
	catalogue := c.catalogue
	view := c.sessions[req.Host].Reduce(1, full, structs.EntryView{
		Seq: req.Seq, Term: 1, CatalogueVersion: catalogue.Version, Catalogue: &catalogue,
		Upstreams: append([]structs.Upstream(nil), c.upstreams...), Grants: grants, EntryHosts: 1,
	})
	return &view, nil
}

func (c *fakeControl) Claim(_ context.Context, claim structs.Claim) (structs.Result, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		return structs.Result{}, c.err
	}
	key := claim.Owner + "/" + claim.Key
	if old, ok := c.claims[key]; ok && old.Nonce != claim.Nonce {
		if old.Digest != claim.Digest {
			return structs.Result{}, structs.Errorf(structs.CodeKeyReused, "fake", "another request")
		}
		state := *old
		return structs.Result{Claim: &state}, nil
	}
	c.claims[key] = &structs.ClaimState{Digest: claim.Digest, Host: claim.Host, Nonce: claim.Nonce}
	return structs.Result{Claimed: true}, nil
}

func (c *fakeControl) Complete(_ context.Context, done structs.Complete) error {
	if c.blockComplete != nil {
		<-c.blockComplete
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.completes = append(c.completes, done)
	key := done.Owner + "/" + done.Key
	if old, ok := c.claims[key]; ok && old.Nonce == done.Nonce {
		if done.NotRun {
			delete(c.claims, key)
		} else {
			old.Answer = done.Answer
		}
		return nil
	}
	return structs.Errorf(structs.CodeNotFound, "fake", "no claim with this nonce")
}

// fixture is an entry host behind a test server.
type fixture struct {
	*Host
	control *fakeControl
	url     string
	ahead   atomic.Int64 // nanoseconds by which the clock was advanced
}

// newFixture returns a host that serves Run over HTTP, with the headers of the
// caller interface.
func newFixture(t testing.TB, control *fakeControl) *fixture {
	f := &fixture{control: control}
	// The clock advances only with f.ahead, so that on a slow machine no view
	// expires and no queued request times out. Deadlines of exchanges still run
	// in real time, starting from start.
	start := time.Now()
	h := New(Config{Host: "e1", Incarnation: 1, Control: control, Log: zerolog.Nop(), Now: func() time.Time {
		return start.Add(time.Duration(f.ahead.Load()))
	}})
	f.Host = h
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { serveTest(h, w, r) }))
	t.Cleanup(func() {
		srv.Close()
		h.Close()
	})
	f.url = srv.URL
	return f
}

// ready syncs twice, since the leader makes grants only after the host has
// reported that it applied its first view, and then starts the host.
func (f *fixture) ready(t testing.TB) {
	t.Helper()
	f.resync(t)
	f.resync(t)
	f.Start()
}

func (f *fixture) resync(t testing.TB) {
	t.Helper()
	if err := f.syncOnce(t.Context()); err != nil {
		t.Fatal(err)
	}
}

// upstream starts a server with handler and adds it as an upstream.
func (f *fixture) upstream(t testing.TB, name string, slots int, handler http.HandlerFunc) *httptest.Server {
	srv := httptest.NewServer(handler)
	t.Cleanup(srv.Close)
	f.control.add(name, srv.Listener.Addr().String(), slots)
	return srv
}

// deadAddress is an address on which nothing listens.
func deadAddress(t testing.TB) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

func (c *fakeControl) syncCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.syncs
}

// waitComplete waits until n outcomes are recorded.
func (c *fakeControl) waitComplete(t *testing.T, n int) {
	t.Helper()
	waitUntil(t, func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return len(c.completes) >= n
	})
}

// testTimeout bounds every wait, so that a failing test ends instead of hanging.
const testTimeout = 20 * time.Second

// receive returns the next value of c, or fails the test after testTimeout.
func receive[T any](t *testing.T, c <-chan T) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(testTimeout):
		t.Fatal("timed out waiting to receive from the channel")
		panic("unreachable")
	}
}

// waitUntil waits until done returns true, or fails the test after testTimeout.
func waitUntil(t *testing.T, done func() bool) {
	t.Helper()
	for limit := time.Now().Add(testTimeout); !done(); time.Sleep(time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatal("timed out waiting for the condition")
		}
	}
}
