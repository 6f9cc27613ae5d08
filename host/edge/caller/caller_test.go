package caller

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"gooseberrypond/core/structs"
	"gooseberrypond/host/entry"
	"gooseberrypond/host/rpc"
)

// fake implements Entry and Jobs. Owner "a" has job "a-1" and owner "b" has job
// "b-1". The token of an owner is its name followed by "-token".
type fake struct {
	req       *entry.Request
	submitted structs.SubmitJob
	cancelled structs.JobID
	waitMS    int64
}

func (f *fake) Authenticate(token string) (string, error) {
	if owner, ok := strings.CutSuffix(token, "-token"); ok {
		return owner, nil
	}
	return "", structs.Errorf(structs.CodeUnauthorized, "test", "unknown token").WithOutcome(structs.OutcomeNotRun)
}

func (f *fake) Run(_ context.Context, w http.ResponseWriter, req *entry.Request) error {
	f.req = req
	w.WriteHeader(http.StatusAccepted)
	return nil
}

func (f *fake) Submit(_ context.Context, job structs.SubmitJob) (structs.SubmitResult, error) {
	f.submitted = job
	if job.Spec.Entry == "full" {
		return structs.SubmitResult{Error: structs.Errorf(structs.CodeQueueFull, "test", "full").WithRetryAfter(1500)}, nil
	}
	return structs.SubmitResult{Job: structs.JobID(job.Owner + "-1"), Existing: job.Key == "old"}, nil
}

func (f *fake) owns(owner string, id structs.JobID) error {
	if string(id) == owner+"-1" {
		return nil
	}
	return structs.Errorf(structs.CodeNotFound, "test", "owner has no job %q", id)
}

func (f *fake) Cancel(_ context.Context, c structs.CancelJob) error {
	if err := f.owns(c.Owner, c.Job); err != nil {
		return err
	}
	f.cancelled = c.Job
	return nil
}

func (f *fake) GetJob(_ context.Context, q rpc.GetJob) (*structs.JobView, error) {
	f.waitMS = q.WaitMS
	return &structs.JobView{Job: structs.Job{ID: q.Job, Owner: q.Owner}}, f.owns(q.Owner, q.Job)
}

func (f *fake) ListJobs(_ context.Context, q rpc.ListJobs) ([]structs.Job, error) {
	return []structs.Job{{ID: structs.JobID(q.Owner + "-1"), Owner: q.Owner}}, nil
}

func (f *fake) Explain(_ context.Context, q rpc.Explain) ([]string, error) {
	return nil, f.owns(q.Owner, q.Job)
}

// Guards against requests that act for another owner, malformed requests that are
// accepted, and errors without code and outcome.
func TestHandler(t *testing.T) {
	const job = `{"entry":"plan","kind":"batch"}`
	tests := []struct {
		name, method, path, body, token string
		header                          []string
		status                          int
		code                            structs.ErrorCode
	}{
		{"no token", "GET", "/v1/jobs", "", "", nil, 401, structs.CodeUnauthorized},
		{"wrong token", "GET", "/v1/run/book/", "", "guess", nil, 401, structs.CodeUnauthorized},
		{"submit", "POST", "/v1/jobs", job, "a-token", []string{"Idempotency-Key", "k"}, 201, ""},
		{"submit again", "POST", "/v1/jobs", job, "a-token", []string{"Idempotency-Key", "old"}, 200, ""},
		{"submit without key", "POST", "/v1/jobs", job, "a-token", nil, 400, structs.CodeBadRequest},
		{"submit with long key", "POST", "/v1/jobs", job, "a-token", []string{"Idempotency-Key", strings.Repeat("k", 257)}, 400, structs.CodeBadRequest},
		{"unknown field", "POST", "/v1/jobs", `{"entry":"plan","owner":"b"}`, "a-token", []string{"Idempotency-Key", "k"}, 400, structs.CodeBadRequest},
		{"two documents", "POST", "/v1/jobs", job + job, "a-token", []string{"Idempotency-Key", "k"}, 400, structs.CodeBadRequest},
		{"refused by the control hosts", "POST", "/v1/jobs", `{"entry":"full"}`, "a-token", []string{"Idempotency-Key", "k"}, 429, structs.CodeQueueFull},
		{"own job", "GET", "/v1/jobs/a-1?wait=10s", "", "a-token", nil, 200, ""},
		{"other owner's job", "GET", "/v1/jobs/b-1", "", "a-token", nil, 404, structs.CodeNotFound},
		{"bad wait", "GET", "/v1/jobs/a-1?wait=soon", "", "a-token", nil, 400, structs.CodeBadRequest},
		{"cancel other owner's job", "POST", "/v1/jobs/b-1/cancel", "", "a-token", nil, 404, structs.CodeNotFound},
		{"explain other owner's job", "GET", "/v1/jobs/b-1/explain", "", "a-token", nil, 404, structs.CodeNotFound},
		{"cancel", "POST", "/v1/jobs/a-1/cancel", "", "a-token", nil, 200, ""},
		{"list", "GET", "/v1/jobs", "", "a-token", nil, 200, ""},
		{"list too many", "GET", "/v1/jobs?limit=1001", "", "a-token", nil, 400, structs.CodeBadRequest},
		{"run", "GET", "/v1/run/book/x//y%2Fz?q=1", "", "a-token", []string{"X-Timeout-Ms", "99000"}, 202, ""},
		{"run without entry", "GET", "/v1/run/", "", "a-token", nil, 400, structs.CodeBadRequest},
		{"run with bad timeout", "GET", "/v1/run/book/", "", "a-token", []string{"X-Timeout-Ms", "-1"}, 400, structs.CodeBadRequest},
		{"run with bad flag", "GET", "/v1/run/book/", "", "a-token", []string{"X-Idempotent", "yes"}, 400, structs.CodeBadRequest},
		{"run with large body", "POST", "/v1/run/book/", strings.Repeat("x", 101), "a-token", nil, 413, structs.CodeTooLarge},
	}
	f := &fake{}
	srv := httptest.NewServer(Handler(f, f, Options{MaxBody: 100, Log: zerolog.Nop()}))
	defer srv.Close()
	for _, tc := range tests {
		req, err := http.NewRequestWithContext(t.Context(), tc.method, srv.URL+tc.path, strings.NewReader(tc.body))
		if err != nil {
			t.Fatal(err)
		}
		if tc.token != "" {
			req.Header.Set("Authorization", "Bearer "+tc.token)
		}
		for i := 0; i < len(tc.header); i += 2 {
			req.Header.Set(tc.header[i], tc.header[i+1])
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		data, _ := io.ReadAll(resp.Body)
		resp.Body.Close()
		var body structs.ErrorBody
		if tc.code != "" {
			if err := json.Unmarshal(data, &body); err != nil || body.Error == nil || body.Error.Code != tc.code || body.Error.Outcome != structs.OutcomeNotRun {
				t.Errorf("%s: body %q lacks the code or the outcome not run", tc.name, data)
			}
		}
		if resp.StatusCode != tc.status || resp.StatusCode == 429 && resp.Header.Get("Retry-After") != "2" {
			t.Errorf("%s: status %d %v, want %d", tc.name, resp.StatusCode, resp.Header, tc.status)
		}
		if strings.Contains(string(data), `"owner":"b"`) {
			t.Errorf("%s: answer holds data of another owner: %s", tc.name, data)
		}
	}
	if f.submitted.Owner != "a" || f.cancelled != "a-1" || f.waitMS != 0 && f.waitMS != 10_000 {
		t.Errorf("passed on to the control hosts: %+v", f)
	}
	if r := f.req; r.Owner != "a" || r.Entry != "book" || r.Path != "/x//y/z" || r.RawPath != "/x//y%2Fz" || r.RawQuery != "q=1" || !r.Idempotent || r.Timeout != structs.RequestTimeoutMax {
		t.Errorf("passed on to the entry role: %+v", r)
	}
}

// Guards against requests that are retried although their method is not
// idempotent, and against an X-Idempotent header that is ignored.
func TestIdempotentHeader(t *testing.T) {
	for method, want := range map[string]bool{"GET": true, "HEAD": true, "OPTIONS": true, "POST": false, "PUT": false, "DELETE": false, "PATCH": false} {
		for header, want := range map[string]bool{"": want, "true": true, "false": false} {
			r := httptest.NewRequest(method, "/v1/run/book/", nil)
			r.Header.Set("X-Idempotent", header)
			if req, err := parseRun(r, "a"); err != nil || req.Idempotent != want || req.Timeout != time.Duration(0) {
				t.Errorf("%s with X-Idempotent %q: request %+v, error %v", method, header, req, err)
			}
		}
	}
}

// Guards against requests that cannot be traced from the caller through the logs
// to the upstream, and against ids that would corrupt log lines.
func TestRequestID(t *testing.T) {
	tests := []struct {
		name, sent string
		kept       bool
	}{
		{"caller's own", "visit-17", true},
		{"none", "", false},
		{"space and quote", "a b\"c", false},
		{"too long", strings.Repeat("x", 129), false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := &fake{}
			var logs strings.Builder
			h := Handler(f, f, Options{Log: zerolog.New(&logs)})
			r := httptest.NewRequest(http.MethodGet, "/v1/run/book/x", nil)
			r.Header.Set("Authorization", "Bearer a-token")
			if tt.sent != "" {
				r.Header.Set(entry.HeaderRequestID, tt.sent)
			}
			w := httptest.NewRecorder()
			h.ServeHTTP(w, r)
			id := w.Header().Get(entry.HeaderRequestID)
			if id == "" || (id == tt.sent) != tt.kept {
				t.Errorf("answered with id %q, sent %q", id, tt.sent)
			}
			if f.req.Header.Get(entry.HeaderRequestID) != id || !strings.Contains(logs.String(), `"request":"`+id+`"`) {
				t.Errorf("id %q is not passed on or logged: %s", id, logs.String())
			}
		})
	}
}
