package command

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gooseberrypond/core/structs"
	"gooseberrypond/ctl/client"
)

const validCatalogue = `{
  "owners": {"siam": {"weight": 2}},
  "entries": {"desk": {"owner": "siam", "class": "latency-critical"}},
}`

// testEnv returns an environment whose clients try the given servers in order,
// and the buffer that receives the output.
func testEnv(t *testing.T, servers ...*httptest.Server) (*Env, *bytes.Buffer) {
	t.Helper()
	var addresses []string
	for _, s := range servers {
		addresses = append(addresses, s.URL)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	t.Cleanup(cancel)
	out := &bytes.Buffer{}
	c := &client.Client{Addresses: addresses, HTTP: http.DefaultClient}
	return &Env{Ctx: ctx, Operator: c, Caller: c, Out: out}, out
}

func writeResponse(w http.ResponseWriter, status int, v any) {
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(v)
}

func writeCatalogueFile(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "catalogue.jsonc")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// newOperatorServer starts a server that has a catalogue of version 7 and
// responds to changes with result. It also returns the changes received.
func newOperatorServer(t *testing.T, status int, result structs.ChangeResult) (*httptest.Server, *[]structs.PutCatalogueRequest) {
	t.Helper()
	var puts []structs.PutCatalogueRequest
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/catalogue", func(w http.ResponseWriter, _ *http.Request) {
		writeResponse(w, http.StatusOK, structs.Catalogue{Version: 7})
	})
	mux.HandleFunc("PUT /v1/catalogue", func(w http.ResponseWriter, r *http.Request) {
		var req structs.PutCatalogueRequest
		json.NewDecoder(r.Body).Decode(&req)
		puts = append(puts, req)
		result.ChangeID = req.ChangeID
		writeResponse(w, status, result)
	})
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return server, &puts
}

// Guards against apply reporting success when a concurrent change was accepted
// first.
func TestApplyReportsConflictingChange(t *testing.T) {
	server, _ := newOperatorServer(t, http.StatusConflict, structs.ChangeResult{Version: 8, Winner: "other-change"})
	env, _ := testEnv(t, server)
	err := (&ApplyCmd{Path: writeCatalogueFile(t, validCatalogue)}).Run(env)
	if ExitCode(err) != ExitRefused || !strings.Contains(err.Error(), "other-change") {
		t.Fatalf("error = %v, exit code %d", err, ExitCode(err))
	}
}

// Guards against a change that is applied twice when the connection breaks before
// the response arrives: the retry must carry the same change id.
func TestApplyRetriesWithSameChangeID(t *testing.T) {
	working, puts := newOperatorServer(t, http.StatusOK, structs.ChangeResult{Accepted: true, Version: 8})
	lost := make(chan structs.PutCatalogueRequest, 8)
	broken := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			writeResponse(w, http.StatusOK, structs.Catalogue{Version: 7})
			return
		}
		var req structs.PutCatalogueRequest
		json.NewDecoder(r.Body).Decode(&req)
		lost <- req
		panic(http.ErrAbortHandler)
	}))
	defer broken.Close()
	env, out := testEnv(t, broken, working)
	if err := (&ApplyCmd{Path: writeCatalogueFile(t, validCatalogue)}).Run(env); err != nil {
		t.Fatal(err)
	}
	first := <-lost
	if len(*puts) != 1 || first.ChangeID != (*puts)[0].ChangeID {
		t.Fatalf("lost = %+v, received = %+v", first, *puts)
	}
	if (*puts)[0].BaseVersion != 7 || !strings.Contains(out.String(), "version 8") {
		t.Errorf("base = %d, output = %q", (*puts)[0].BaseVersion, out)
	}
}

// Guards against an invalid file being sent to the server.
func TestApplyValidatesBeforeSending(t *testing.T) {
	server, puts := newOperatorServer(t, http.StatusOK, structs.ChangeResult{Accepted: true})
	env, _ := testEnv(t, server)
	err := (&ApplyCmd{Path: writeCatalogueFile(t, strings.Replace(validCatalogue, "weight", "wieght", 1))}).Run(env)
	if ExitCode(err) != ExitUsage || len(*puts) != 0 {
		t.Fatalf("error = %v, exit code %d, changes sent %d", err, ExitCode(err), len(*puts))
	}
}

// Guards against classes of error that share an exit code: scripts rely on the
// exit code and would have to read messages to tell failures apart.
func TestExitCodes(t *testing.T) {
	tests := []struct {
		code structs.ErrorCode
		want int
	}{
		{structs.CodeBadRequest, ExitUsage},
		{structs.CodeKeyReused, ExitRefused},
		{structs.CodeNotFound, ExitNotFound},
		{structs.CodeNoLeader, ExitUnreachable},
		{structs.CodeUnauthorized, ExitUnauthorized},
		{structs.CodeInternal, ExitFailed},
	}
	for _, tt := range tests {
		if got := ExitCode(structs.Errorf(tt.code, "test", "refused")); got != tt.want {
			t.Errorf("exit code of %s = %d, want %d", tt.code, got, tt.want)
		}
	}
}

// Guards against --wait returning while an entry host still uses the old
// catalogue.
func TestWaitInForcePollsUntilComplete(t *testing.T) {
	polls := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		polls++
		status := structs.ChangeStatus{InForce: map[string]bool{"h1": true, "h2": polls > 1}, Complete: polls > 1}
		writeResponse(w, http.StatusOK, status)
	}))
	defer server.Close()
	env, out := testEnv(t, server)
	if err := env.waitInForce("c"); err != nil {
		t.Fatal(err)
	}
	if polls != 2 || !strings.Contains(out.String(), "waiting for h2") {
		t.Errorf("polls = %d, output = %q", polls, out)
	}
}

// Guards against job wait returning success for a failed job.
func TestJobWaitFailsOnFailedJob(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		writeResponse(w, http.StatusOK, structs.JobView{Job: structs.Job{ID: "j1", Status: structs.StatusFailed}})
	}))
	defer server.Close()
	env, _ := testEnv(t, server)
	if err := (&JobWaitCmd{Job: "j1"}).Run(env); ExitCode(err) != ExitFailed {
		t.Fatalf("error = %v", err)
	}
}
