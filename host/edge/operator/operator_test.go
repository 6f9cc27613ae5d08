package operator

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gooseberrypond/core/structs"
)

// fake implements Control and records the changes that are passed on to it.
type fake struct {
	Control
	puts int
	sets []structs.SetDomain
}

func (f *fake) ApplyCatalogue(_ context.Context, c *structs.PutCatalogue) (*structs.ChangeResult, error) {
	f.puts++
	return &structs.ChangeResult{ChangeID: c.ChangeID, Accepted: c.BaseVersion == 1, Version: 2, Winner: "other"}, nil
}

func (f *fake) SetDomain(_ context.Context, c structs.SetDomain) (*structs.ChangeResult, error) {
	f.sets = append(f.sets, c)
	return &structs.ChangeResult{ChangeID: c.ChangeID, Accepted: true}, nil
}

// Guards against invalid requests that are passed on to the control hosts, errors
// without code and outcome, and an edit with an outdated base version that is
// answered as accepted.
func TestChangeRequests(t *testing.T) {
	tests := []struct {
		name, method, path, body string
		status                   int
		code                     structs.ErrorCode
		reached                  bool
	}{
		{"accepted", "PUT", "/v1/catalogue", `{"change_id":"a","base_version":1,"catalogue":{}}`, 200, "", true},
		{"outdated base version", "PUT", "/v1/catalogue", `{"change_id":"a","base_version":7,"catalogue":{}}`, 409, "", true},
		{"unknown field", "PUT", "/v1/catalogue", `{"change_id":"a","base":1,"catalogue":{}}`, 400, structs.CodeBadRequest, false},
		{"no change id", "PUT", "/v1/catalogue", `{"base_version":1,"catalogue":{}}`, 400, structs.CodeBadRequest, false},
		{"two documents", "PUT", "/v1/catalogue", `{"change_id":"a"} {}`, 400, structs.CodeBadRequest, false},
		{"too large", "PUT", "/v1/catalogue", `{"change_id":"` + strings.Repeat("a", 2000) + `"}`, 413, structs.CodeTooLarge, false},
		{"domain out", "POST", "/v1/domains/d1/out", `{"change_id":"a"}`, 200, "", true},
		{"unknown action", "POST", "/v1/domains/d1/off", `{"change_id":"a"}`, 404, structs.CodeNotFound, false},
		{"member without address", "POST", "/v1/members", `{"action":"add","id":4}`, 400, structs.CodeBadRequest, false},
		{"unknown member action", "POST", "/v1/members", `{"action":"drop","id":4}`, 400, structs.CodeBadRequest, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := &fake{}
			w := httptest.NewRecorder()
			Handler(f, Options{MaxCatalogue: 1000}).ServeHTTP(w, httptest.NewRequest(tt.method, tt.path, strings.NewReader(tt.body)))
			var e structs.ErrorBody
			err := json.Unmarshal(w.Body.Bytes(), &e)
			if w.Code != tt.status || err != nil || (f.puts+len(f.sets) > 0) != tt.reached {
				t.Fatalf("status %d, body %s, calls to the control hosts %v", w.Code, w.Body, f)
			}
			if tt.code != "" && (e.Error == nil || e.Error.Code != tt.code || e.Error.Outcome != structs.OutcomeNotRun) {
				t.Errorf("error %+v lacks the code or the outcome not run", e.Error)
			}
		})
	}
}

// Guards against changes without a valid token, also while the token file cannot
// be read, and against a new token that takes effect only after a restart.
func TestOperatorToken(t *testing.T) {
	file := filepath.Join(t.TempDir(), "token")
	h := Handler(&fake{}, Options{TokenFile: file, MaxCatalogue: 1000})
	status := func(token string) int {
		r := httptest.NewRequest("POST", "/v1/domains/d1/out", strings.NewReader(`{"change_id":"a"}`))
		r.Header.Set("Authorization", "Bearer "+token)
		w := httptest.NewRecorder()
		h.ServeHTTP(w, r)
		return w.Code
	}
	if got := status(""); got != http.StatusUnauthorized {
		t.Errorf("no token file: status %d, want 401", got)
	}
	for _, token := range []string{"one", "two"} {
		if err := os.WriteFile(file, []byte(token+"\n"), 0o600); err != nil {
			t.Fatal(err)
		}
		if got := status(token); got != http.StatusOK {
			t.Errorf("token %s: status %d, want 200", token, got)
		}
		if got := status("wrong"); got != http.StatusUnauthorized {
			t.Errorf("wrong token: status %d, want 401", got)
		}
	}
}
