package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"gooseberrypond/core/grant"
	"gooseberrypond/core/structs"
)

// fakeControl is a leader without a log: grants by the real table, claims in a map.
type fakeControl struct {
	mu        sync.Mutex
	catalogue structs.Catalogue
	upstreams []structs.Upstream
	table     *grant.Table
	claims    map[string]*structs.ClaimState
	err       error // answers every call
	lastSync  structs.EntrySync
	completes []structs.Complete
}

func newFakeControl(hosts ...string) *fakeControl {
	return &fakeControl{
		catalogue: structs.Catalogue{
			Version: 1,
			Owners:  map[string]structs.Owner{"desk": {TokenSHA256: []string{sha("secret")}}},
			Entries: map[string]structs.Entry{"book": {Owner: "desk", Class: structs.ClassLatency, RequestTimeoutMS: 5000}},
		},
		table:  grant.New(time.Now(), hosts),
		claims: make(map[string]*structs.ClaimState),
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
	c.lastSync = *req
	grants, err := c.table.Sync(time.Now(), req)
	if err != nil {
		return nil, err
	}
	catalogue := c.catalogue
	return &structs.EntryView{
		Seq: req.Seq, Term: 1, CatalogueVersion: catalogue.Version, Catalogue: &catalogue,
		Upstreams: append([]structs.Upstream(nil), c.upstreams...), Grants: grants, EntryHosts: 1,
	}, nil
}

func (c *fakeControl) Claim(_ context.Context, claim structs.Claim) (structs.Result, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		return structs.Result{}, c.err
	}
	key := claim.Owner + "/" + claim.Key
	if old, ok := c.claims[key]; ok && old.Nonce != claim.Nonce {
		state := *old
		return structs.Result{Claim: &state}, nil
	}
	c.claims[key] = &structs.ClaimState{Digest: claim.Digest, Host: claim.Host, Nonce: claim.Nonce}
	return structs.Result{Claimed: true}, nil
}

func (c *fakeControl) Complete(_ context.Context, done structs.Complete) error {
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
	}
	return nil
}

// fixture is an entry host behind a test server.
type fixture struct {
	*Host
	control *fakeControl
	url     string
}

// newFixture serves Run over HTTP, with headers as on the caller interface.
func newFixture(t testing.TB, control *fakeControl) *fixture {
	h := New(Config{Host: "e1", Incarnation: 1, Control: control, Log: zerolog.Nop()})
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { serveTest(h, w, r) }))
	t.Cleanup(func() {
		srv.Close()
		h.Close()
	})
	return &fixture{Host: h, control: control, url: srv.URL}
}

// ready syncs until the host has slots.
func (f *fixture) ready(t testing.TB) *fixture {
	t.Helper()
	if err := f.syncOnce(t.Context()); err != nil {
		t.Fatal(err)
	}
	f.Start()
	return f
}

// upstream serves handler and announces it.
func (f *fixture) upstream(t testing.TB, name string, slots int, handler http.HandlerFunc) *httptest.Server {
	srv := httptest.NewServer(handler)
	t.Cleanup(srv.Close)
	f.control.add(name, srv.Listener.Addr().String(), slots)
	return srv
}
