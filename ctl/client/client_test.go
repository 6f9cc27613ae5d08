package client

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"gooseberrypond/core/structs"
)

// serve starts a host that gives the answers in turn, the last one again and again. The
// answer nil breaks the connection off.
func serve(t *testing.T, answers ...*structs.Error) string {
	t.Helper()
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		e := answers[0]
		if len(answers) > 1 {
			answers = answers[1:]
		}
		if e == nil {
			panic(http.ErrAbortHandler)
		}
		w.WriteHeader(http.StatusServiceUnavailable)
		json.NewEncoder(w).Encode(structs.ErrorBody{Error: e})
	}))
	t.Cleanup(srv.Close)
	return srv.URL
}

// Guards against a user who is told that a change was refused although an earlier attempt
// of it, whose outcome is unknown, took effect. If nothing was sent or done before, or
// nothing can be changed, the refusal holds.
func TestRefusalAfterAnUnknownOutcome(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed := ln.Addr().String()
	ln.Close()
	refused := structs.Errorf(structs.CodeNotFound, "test", "not there").WithOutcome(structs.OutcomeNotRun)
	noLeader := structs.Errorf(structs.CodeNoLeader, "test", "no leader")
	for name, test := range map[string]struct {
		method    string
		addresses []string
		final     bool
	}{
		"first attempt":            {http.MethodPost, []string{serve(t, refused)}, true},
		"connection broken off":    {http.MethodPost, []string{serve(t, nil, refused)}, false},
		"same at the next host":    {http.MethodPost, []string{serve(t, nil), serve(t, refused)}, false},
		"unknown outcome":          {http.MethodPut, []string{serve(t, noLeader.WithOutcome(structs.OutcomeUnknown), refused)}, false},
		"outcome not named":        {http.MethodPut, []string{serve(t, noLeader, refused)}, false},
		"certainly not run":        {http.MethodPost, []string{serve(t, noLeader.WithOutcome(structs.OutcomeNotRun), refused)}, true},
		"not sent":                 {http.MethodPost, []string{closed, serve(t, refused)}, true},
		"read after a broken read": {http.MethodGet, []string{serve(t, nil, refused)}, true},
	} {
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		c := &Client{Addresses: test.addresses, HTTP: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
		err := c.Do(ctx, Request{Method: test.method, Path: "/v1/jobs"}, nil)
		cancel()
		var e *structs.Error
		if !errors.As(err, &e) || e.Code != structs.CodeNotFound || errors.Is(err, ErrUnreachable) == test.final {
			t.Errorf("%s: %v, final %t; want final %t", name, err, !errors.Is(err, ErrUnreachable), test.final)
		}
	}
}
