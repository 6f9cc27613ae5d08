package localcluster

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gooseberrypond/core/structs"
	"gooseberrypond/host/config"
	"gooseberrypond/host/rpc"
)

// runToken is the bearer token of the owner "dev" in runCatalogue.
const runToken = "token"

// runCatalogue returns Catalogue with the added entry "echo", whose requests need
// runToken.
func runCatalogue() structs.Catalogue {
	cat := Catalogue()
	digest := sha256.Sum256([]byte(runToken))
	cat.Owners["dev"] = structs.Owner{TokenSHA256: []string{hex.EncodeToString(digest[:])}}
	cat.Entries["echo"] = structs.Entry{Owner: "dev", Class: structs.ClassLatency, Resources: structs.Resources{CPUMilli: 1, MemoryMB: 1}, RequestTimeoutMS: 25_000}
	return cat
}

// announceUpstream serves the handler as an upstream of the entry "echo" and keeps
// announcing it until the test ends.
func (b *testbed) announceUpstream(name, domain string, handler http.HandlerFunc) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.t.Fatal(err)
	}
	srv := &http.Server{Handler: handler, ReadHeaderTimeout: testTimeout}
	go srv.Serve(l)
	up := structs.Upstream{Name: name, Entry: "echo", Address: l.Addr().String(), Domain: domain, Slots: 8, Connections: 60}
	cl := b.Client()
	ctx, stop := context.WithCancel(b.ctx)
	var wg sync.WaitGroup
	wg.Go(func() {
		for ctx.Err() == nil {
			_ = cl.Announce(ctx, up) // an error is ignored: the call is repeated anyway
			for range 20 {
				_ = Pause(ctx)
			}
		}
	})
	b.t.Cleanup(func() { stop(); wg.Wait(); srv.Close() })
}

// sendRequest sends one request through an entry host and returns the status, 0 for none,
// and the body of a refusal.
func (b *testbed) sendRequest(host int, key string) (int, structs.ErrorBody) {
	var refused structs.ErrorBody
	req, err := http.NewRequestWithContext(b.ctx, http.MethodPost, "http://"+b.Settings[host].Listeners.Caller.Address+"/v1/run/echo/", strings.NewReader("hello"))
	if err != nil {
		b.t.Error(err)
		return 0, refused
	}
	req.Header.Set("Authorization", "Bearer "+runToken)
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, refused
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, refused
	}
	if res.StatusCode != http.StatusOK {
		_ = json.Unmarshal(body, &refused)
	}
	return res.StatusCode, refused
}

// waitUntil waits until a condition holds.
func (b *testbed) waitUntil(what string, cond func() bool) {
	b.t.Helper()
	for !cond() {
		if err := Pause(b.ctx); err != nil {
			b.t.Fatalf("timed out waiting until %s: %v", what, err)
		}
	}
}

// relay forwards TCP connections of an entry host to a control host, except while
// it is cut.
type relay struct {
	target string
	mu     sync.Mutex
	cut    bool
	conns  []net.Conn
}

func newRelay(b *testbed, listen, target string) *relay {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		b.t.Fatal(err)
	}
	r := &relay{target: target}
	b.t.Cleanup(func() { l.Close(); r.setCut(true) })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			r.forward(c)
		}
	}()
	return r
}

func (r *relay) forward(c net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	out, err := net.DialTimeout("tcp", r.target, time.Second)
	if r.cut || err != nil {
		c.Close()
		if err == nil {
			out.Close()
		}
		return
	}
	r.conns = append(r.conns, c, out)
	copyOneWay := func(to, from net.Conn) {
		_, _ = io.Copy(to, from) // ends when either connection is closed
		to.Close()
		from.Close()
	}
	go copyOneWay(out, c)
	go copyOneWay(c, out)
}

// setCut cuts the relay and closes its connections, or lets it forward new ones.
func (r *relay) setCut(cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = cut
	for _, c := range r.conns {
		c.Close()
	}
	r.conns = nil
}

// behindRelays restarts an entry host so that it reaches the control hosts
// through relays, and returns the function that cuts them.
func (b *testbed) behindRelays(host int) func(cut bool) {
	b.Kill(host)
	s := b.Settings[host]
	s.Hosts = append([]config.Host(nil), s.Hosts...)
	var relays []*relay
	for i := range s.Hosts {
		if s.Hosts[i].Control == "" {
			continue
		}
		listen := b.address(host, 7600+i)
		relays = append(relays, newRelay(b, listen, s.Hosts[i].Control))
		s.Hosts[i].Control = listen
	}
	b.start(host)
	return func(cut bool) {
		for _, r := range relays {
			r.setCut(cut)
		}
	}
}

// waitInForce waits until the change is in force on every entry host.
func (b *testbed) waitInForce(cl *rpc.Client, id string) {
	b.t.Helper()
	b.waitUntil("change "+id+" is in force", func() bool {
		st, err := cl.Change(b.ctx, id)
		return err == nil && st.Complete
	})
}

// Guards against an entry host that is isolated from the control hosts and still
// serves requests under the old catalogue, or with upstreams of a domain that is
// out of service, after the change is reported in force on all hosts. Also guards
// against a change that is undone when the host reconnects or the leader is lost.
func TestIsolatedEntryHostRefusesRequests(t *testing.T) {
	b := newTestbed(t, 3, 1)
	const host = 3
	isolate := b.behindRelays(host)
	cl := b.Client()
	put := func(id string, base uint64, cat structs.Catalogue) {
		res := retry(b, func() (*structs.ChangeResult, error) {
			return cl.ApplyCatalogue(b.ctx, &structs.PutCatalogue{ChangeID: id, BaseVersion: base, Catalogue: cat})
		})
		if !res.Accepted {
			t.Fatalf("change %s was refused: %+v", id, res)
		}
	}
	put("first", 0, runCatalogue())
	var served sync.Map
	echo := func(name string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			served.Store(name, true)
			_, _ = io.WriteString(w, "hello")
		}
	}
	b.announceUpstream("u1", "d1", echo("u1"))
	b.waitUntil("requests succeed", func() bool { status, _ := b.sendRequest(host, ""); return status == http.StatusOK })

	requireRefusals := func() {
		t.Helper()
		for range 20 {
			status, refused := b.sendRequest(host, "")
			if status != http.StatusServiceUnavailable || refused.Error.Outcome != structs.OutcomeNotRun {
				t.Errorf("isolated host answered status %d, %+v, want 503 with outcome not run", status, refused)
			}
		}
	}
	isolate(true)
	domain := retry(b, func() (*structs.ChangeResult, error) {
		return cl.SetDomain(b.ctx, structs.SetDomain{ChangeID: "out", Domain: "d1", Out: true})
	})
	if !domain.Accepted {
		t.Fatalf("change of the domain was refused: %+v", domain)
	}
	b.waitInForce(cl, "out")
	served.Clear()
	requireRefusals()
	without := runCatalogue()
	delete(without.Entries, "echo")
	put("without", 1, without)
	b.waitInForce(cl, "without")
	requireRefusals()
	if _, ran := served.Load("u1"); ran {
		t.Error("a request reached the upstream in a domain that is out of service")
	}
	killed := b.leader()
	b.Kill(killed)
	b.leader()
	isolate(false)
	b.waitUntil("the reconnected host has the new catalogue", func() bool { status, _ := b.sendRequest(host, ""); return status == http.StatusNotFound })
	b.start(killed)
	for range 20 {
		if status, refused := b.sendRequest(host, ""); status == http.StatusOK {
			t.Errorf("request succeeded with status %d, %+v after the entry was removed", status, refused)
		}
	}
	if cat := retry(b, func() (*structs.Catalogue, error) { return cl.Catalogue(b.ctx) }); cat.Version != 2 || len(cat.Entries) != len(without.Entries) {
		t.Errorf("catalogue %+v, want version 2 without the removed entry", cat)
	}
}
