package upstream

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/rs/zerolog"

	"gooseberrypond/core/structs"
)

type fakeControl struct {
	announced []structs.Upstream
	left      []string
	err       error
}

func (f *fakeControl) Announce(_ context.Context, u structs.Upstream) error {
	f.announced = append(f.announced, u)
	return f.err
}

func (f *fakeControl) Leave(_ context.Context, upstream string) error {
	f.left = append(f.left, upstream)
	return f.err
}

// Guards against invalid announcements, which would route requests to a wrong
// address, and against announcements that are acknowledged although the leader
// has not received them.
func TestAnnounceAndLeave(t *testing.T) {
	const good = `{"name":"u1","entry":"book","address":"10.0.0.1:80","domain":"d1","slots":8,"connections":60}`
	with := func(old, new string) string { return strings.Replace(good, old, new, 1) }
	tests := map[string]struct {
		path, body string
		status     int
	}{
		"good":                {"/v1/upstreams", good, 200},
		"IPv6":                {"/v1/upstreams", with("10.0.0.1:80", "[::1]:80"), 200},
		"no name":             {"/v1/upstreams", with(`"u1"`, `""`), 400},
		"bad name":            {"/v1/upstreams", with(`"u1"`, `"a/b"`), 400},
		"no domain":           {"/v1/upstreams", with(`"d1"`, `""`), 400},
		"host name":           {"/v1/upstreams", with("10.0.0.1:80", "localhost:80"), 400},
		"no port":             {"/v1/upstreams", with("10.0.0.1:80", "10.0.0.1"), 400},
		"port 0":              {"/v1/upstreams", with("10.0.0.1:80", "10.0.0.1:0"), 400},
		"any address":         {"/v1/upstreams", with("10.0.0.1:80", "0.0.0.0:80"), 400},
		"no slots":            {"/v1/upstreams", with(`"slots":8`, `"slots":0`), 400},
		"negative slots":      {"/v1/upstreams", with(`"slots":8`, `"slots":-8`), 400},
		"too many slots":      {"/v1/upstreams", with(`"slots":8`, `"slots":99999`), 400},
		"no connections":      {"/v1/upstreams", with(`,"connections":60`, ""), 400},
		"unknown entry":       {"/v1/upstreams", with("book", "cook"), 404},
		"batch entry":         {"/v1/upstreams", with("book", "plan"), 404},
		"unknown field":       {"/v1/upstreams", with(`"slots"`, `"weight":1,"slots"`), 400},
		"leaving at once":     {"/v1/upstreams", with(`"slots"`, `"leaving":true,"slots"`), 400},
		"leave":               {"/v1/upstreams/u1/leave", "", 200},
		"leave with bad name": {"/v1/upstreams/%20/leave", "", 400},
	}
	catalogue := &structs.Catalogue{Entries: map[string]structs.Entry{"book": {Class: structs.ClassLatency}, "plan": {Class: structs.ClassBatch}}}
	for name, tc := range tests {
		f := &fakeControl{}
		post := func(c *structs.Catalogue) int {
			w := httptest.NewRecorder()
			h := Handler(f, func() *structs.Catalogue { return c }, zerolog.Nop())
			h.ServeHTTP(w, httptest.NewRequest(http.MethodPost, tc.path, strings.NewReader(tc.body)))
			return w.Code
		}
		if got := post(catalogue); got != tc.status || len(f.announced)+len(f.left) != btoi(got == 200) {
			t.Errorf("%s: status %d, want %d; passed on %+v", name, got, tc.status, f)
		}
		if tc.status != 200 {
			continue
		}
		f.err = structs.Errorf(structs.CodeNoLeader, "test", "no leader")
		if got := post(catalogue); got != http.StatusServiceUnavailable {
			t.Errorf("%s without a leader: status %d, want 503", name, got)
		}
		if got := post(nil); tc.body != "" && got != http.StatusServiceUnavailable {
			t.Errorf("%s without a catalogue: status %d, want 503", name, got)
		}
	}
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}
