package entry

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"encoding/json"
	"gooseberrypond/core/structs"
)

// serveTest is a minimal caller interface over Run.
func serveTest(h *Host, w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	ms, _ := strconv.Atoi(r.Header.Get(HeaderTimeout))
	req := &Request{
		Owner: "desk", Entry: "book", Method: r.Method, Path: r.URL.Path, RawQuery: r.URL.RawQuery, Header: r.Header, Body: body,
		Idempotent: r.Method == http.MethodGet, Timeout: time.Duration(ms) * time.Millisecond, Key: r.Header.Get(HeaderKey),
	}
	err := h.Run(r.Context(), w, req)
	var e *structs.Error
	if errors.As(err, &e) {
		w.Header().Set("X-Outcome", string(e.Outcome))
		w.WriteHeader(http.StatusServiceUnavailable)
		_ = json.NewEncoder(w).Encode(e)
	}
}

// call sends one request and returns its answer.
func (f *fixture) call(t testing.TB, method, path, body string, header ...string) (*http.Response, string) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, f.url+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp, string(data)
}

// Guards against requests or answers changed on the way: path, query, body,
// end-to-end headers and status must arrive, and the token must not.
func TestRunPassesRequestAndAnswerOn(t *testing.T) {
	f := newFixture(t, newFakeControl("e1"))
	f.upstream(t, "u1", 2, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		if r.Header.Get("Authorization") != "" || r.Header.Get("X-Hop") != "" {
			t.Errorf("headers passed on: %v", r.Header)
		}
		if ms, err := strconv.Atoi(r.Header.Get(HeaderTimeout)); err != nil || ms <= 0 || ms > 5000 {
			t.Errorf("timeout %q", r.Header.Get(HeaderTimeout))
		}
		w.Header().Set("X-Kept", r.Header.Get("X-Kept"))
		w.Header().Set("Connection", "X-Private")
		w.Header().Set("X-Private", "1")
		w.WriteHeader(http.StatusCreated)
		_, _ = io.WriteString(w, r.URL.RequestURI()+" "+string(body))
	})
	f.ready(t)
	resp, body := f.call(t, http.MethodPost, "/a%2Fb?q=1", "visit", "Authorization", "Bearer secret", "X-Kept", "yes", "Connection", "X-Hop", "X-Hop", "1")
	if resp.StatusCode != http.StatusCreated || resp.Header.Get("X-Kept") != "yes" || resp.Header.Get("X-Private") != "" {
		t.Errorf("status %d header %v", resp.StatusCode, resp.Header)
	}
	if body != "/a/b?q=1 visit" {
		t.Errorf("body %q", body)
	}
}
