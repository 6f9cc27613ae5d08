package platform

import (
	"context"
	"encoding/json"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/rs/zerolog"

	"gooseberrypond/core/structs"
)

// fake implements Control. It counts the calls and records the last wait.
type fake struct {
	calls int
	wait  int64
}

func (f *fake) WorkerRegister(context.Context, *structs.WorkerRegister) error {
	f.calls++
	return nil
}

func (f *fake) WorkerSync(_ context.Context, req *structs.WorkerSync) (*structs.WorkerSyncReply, error) {
	f.calls++
	f.wait = req.WaitMS
	return &structs.WorkerSyncReply{LeaseMS: 10_000}, nil
}

// Guards against invalid registrations and syncs that are accepted: with a wrong
// capacity or id, tasks would be placed where they cannot run.
func TestInvalidMessagesAreRefused(t *testing.T) {
	const capacity = `"capacity":{"cpu_milli":1000,"memory_mb":512}`
	tests := []struct {
		name, path, body string
		status           int
	}{
		{"register", "/v1/workers/w1/register", `{"incarnation":1,"rack":"r","domain":"d",` + capacity + `}`, 200},
		{"ids differ", "/v1/workers/w1/register", `{"id":"w2","incarnation":1,"rack":"r","domain":"d",` + capacity + `}`, 400},
		{"no incarnation", "/v1/workers/w1/register", `{"rack":"r","domain":"d",` + capacity + `}`, 400},
		{"no domain", "/v1/workers/w1/register", `{"incarnation":1,"rack":"r",` + capacity + `}`, 400},
		{"negative memory", "/v1/workers/w1/register", `{"incarnation":1,"rack":"r","domain":"d","capacity":{"cpu_milli":1000,"memory_mb":-1}}`, 400},
		{"unknown field", "/v1/workers/w1/register", `{"incarnation":1,"rack":"r","domain":"d","cores":4,` + capacity + `}`, 400},
		{"sync", "/v1/workers/w1/sync", `{"incarnation":1,"seq":1,"running":[],"wait_ms":60000}`, 200},
		{"no sequence number", "/v1/workers/w1/sync", `{"incarnation":1,"running":[]}`, 400},
		{"negative wait", "/v1/workers/w1/sync", `{"incarnation":1,"seq":1,"running":[],"wait_ms":-1}`, 400},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := &fake{}
			w := httptest.NewRecorder()
			Handler(f, zerolog.Nop()).ServeHTTP(w, httptest.NewRequest("POST", tt.path, strings.NewReader(tt.body)))
			if w.Code != tt.status || (f.calls == 1) != (tt.status == 200) {
				t.Fatalf("status %d, %d calls, body %s", w.Code, f.calls, w.Body)
			}
			if f.wait > structs.WorkerSyncHold.Milliseconds() {
				t.Errorf("wait passed on is %d ms, above the maximum", f.wait)
			}
			var e structs.ErrorBody
			if tt.status != 200 && (json.Unmarshal(w.Body.Bytes(), &e) != nil || e.Error == nil || e.Error.Outcome != structs.OutcomeNotRun) {
				t.Errorf("body %s lacks an error with the outcome not run", w.Body)
			}
		})
	}
}
