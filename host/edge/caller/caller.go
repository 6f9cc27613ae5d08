// Package caller is the HTTP interface of callers:
//
//	ANY  /v1/run/{entry}/{path}     routed to an upstream of the entry
//	POST /v1/jobs                   structs.JobSpec -> structs.SubmitResult (201, or 200 for an existing job)
//	GET  /v1/jobs?after=ID&limit=N  []structs.Job
//	GET  /v1/jobs/{id}?wait=10s     structs.JobView
//	POST /v1/jobs/{id}/cancel
//	GET  /v1/jobs/{id}/explain      []string
//
// Every request must have the header "Authorization: Bearer TOKEN" and acts for
// the token's owner only. Jobs and entries of other owners are answered as not
// found.
package caller

import (
	"context"
	"crypto/rand"
	"errors"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"gooseberrypond/core/structs"
	"gooseberrypond/host/edge/web"
	"gooseberrypond/host/entry"
	"gooseberrypond/host/rpc"
)

const (
	// maxKeyBytes is the maximum length of an idempotency key in bytes.
	maxKeyBytes = 256
	// maxJobBytes is the maximum size of the body of a job submission in bytes.
	maxJobBytes = 1 << 20
	// maxWait is the longest time that a request may wait for a job to end.
	maxWait = 30 * time.Second
	// maxListLimit is the maximum number of jobs in one answer.
	maxListLimit = 1000
)

// Entry is the part of the entry role that the adapter uses.
type Entry interface {
	Authenticate(token string) (owner string, err error)
	Run(ctx context.Context, w http.ResponseWriter, req *entry.Request) error
}

// Jobs is the set of calls to the control hosts that the adapter uses.
type Jobs interface {
	Submit(ctx context.Context, job structs.SubmitJob) (structs.SubmitResult, error)
	Cancel(ctx context.Context, c structs.CancelJob) error
	GetJob(ctx context.Context, q rpc.GetJob) (*structs.JobView, error)
	ListJobs(ctx context.Context, q rpc.ListJobs) ([]structs.Job, error)
	Explain(ctx context.Context, q rpc.Explain) ([]string, error)
}

// Options configure the adapter.
type Options struct {
	// MaxBody is the maximum size of the body of a routed request in bytes; 0
	// means 1 MiB.
	MaxBody int64
	Log     zerolog.Logger
}

type server struct {
	entry Entry
	jobs  Jobs
	opts  Options
}

// ownerHandler handles a request on behalf of an authenticated owner. The error it
// returns is written as the answer.
type ownerHandler func(w http.ResponseWriter, r *http.Request, owner string) error

// Handler returns the HTTP handler for callers.
func Handler(e Entry, jobs Jobs, opts Options) http.Handler {
	if opts.MaxBody == 0 {
		opts.MaxBody = 1 << 20
	}
	s := &server{entry: e, jobs: jobs, opts: opts}
	mux := http.NewServeMux()
	mux.Handle("POST /v1/jobs", s.authenticated(s.submit))
	mux.Handle("GET /v1/jobs", s.authenticated(s.list))
	mux.Handle("GET /v1/jobs/{id}", s.authenticated(s.get))
	mux.Handle("POST /v1/jobs/{id}/cancel", s.authenticated(s.cancel))
	mux.Handle("GET /v1/jobs/{id}/explain", s.authenticated(s.explain))
	run := s.authenticated(s.run)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// Routed requests bypass the mux, which would redirect paths that are not
		// in canonical form.
		if strings.HasPrefix(r.URL.EscapedPath(), runPrefix) {
			run.ServeHTTP(w, r)
			return
		}
		mux.ServeHTTP(w, r)
	})
}

// authenticated returns a handler that calls next with the owner of the request's
// token, and answers and logs errors.
func (s *server) authenticated(next ownerHandler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := assignRequestID(w, r)
		token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if !ok || token == "" {
			web.WriteError(w, structs.Errorf(structs.CodeUnauthorized, "caller", "a bearer token is needed").WithOutcome(structs.OutcomeNotRun))
			return
		}
		start := time.Now()
		owner, err := s.entry.Authenticate(token)
		if err == nil {
			err = next(w, r, owner)
		}
		log := s.opts.Log.Debug().Str("request", id).Str("owner", owner).Str("method", r.Method).Str("path", r.URL.Path).Dur("took", time.Since(start))
		if err != nil {
			log.Err(err).Msg("request answered with an error")
			web.WriteError(w, setOutcome(err))
			return
		}
		log.Msg("request answered")
	})
}

// requestIDPattern matches the request ids that are accepted from callers.
var requestIDPattern = regexp.MustCompile(`^[A-Za-z0-9._:-]{1,128}$`)

// assignRequestID returns the id of the request and sets it in the header of
// request and answer, so that it appears in logs and at the upstream. A caller's
// own id is kept if it matches requestIDPattern, since others are not safe to
// log; otherwise a new id is generated.
func assignRequestID(w http.ResponseWriter, r *http.Request) string {
	id := r.Header.Get(entry.HeaderRequestID)
	if !requestIDPattern.MatchString(id) {
		id = rand.Text()
		r.Header.Set(entry.HeaderRequestID, id)
	}
	w.Header().Set(entry.HeaderRequestID, id)
	return id
}

// setOutcome sets the outcome of an error that has none: not run for errors that
// are raised before the request runs, otherwise unknown.
func setOutcome(err error) error {
	var e *structs.Error
	if !errors.As(err, &e) || e.Outcome != "" {
		return err
	}
	switch e.Code {
	case structs.CodeBadRequest, structs.CodeUnauthorized, structs.CodeNotFound, structs.CodeKeyReused, structs.CodeTooLarge,
		structs.CodeQueueFull, structs.CodeQuota, structs.CodeNotLeader:
		return e.WithOutcome(structs.OutcomeNotRun)
	}
	return e.WithOutcome(structs.OutcomeUnknown)
}

func (s *server) submit(w http.ResponseWriter, r *http.Request, owner string) error {
	key, err := idempotencyKey(r)
	if err != nil {
		return err
	}
	if key == "" {
		return web.BadRequest("header %s is needed", entry.HeaderKey)
	}
	var spec structs.JobSpec
	if err := web.ReadJSON(w, r, maxJobBytes, &spec); err != nil {
		return err
	}
	res, err := s.jobs.Submit(r.Context(), structs.SubmitJob{Owner: owner, Key: key, Spec: spec})
	switch {
	case err != nil:
		return err
	case res.Error != nil:
		return res.Error
	case res.Existing:
		web.WriteJSON(w, http.StatusOK, res)
	default:
		web.WriteJSON(w, http.StatusCreated, res)
	}
	return nil
}

func (s *server) list(w http.ResponseWriter, r *http.Request, owner string) error {
	q := rpc.ListJobs{Owner: owner, After: structs.JobID(r.URL.Query().Get("after"))}
	if text := r.URL.Query().Get("limit"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > maxListLimit {
			return web.BadRequest("limit %q is not a number from 1 to %d", text, maxListLimit)
		}
		q.Limit = n
	}
	jobs, err := s.jobs.ListJobs(r.Context(), q)
	if err != nil {
		return err
	}
	if jobs == nil {
		jobs = []structs.Job{}
	}
	web.WriteJSON(w, http.StatusOK, jobs)
	return nil
}

func (s *server) get(w http.ResponseWriter, r *http.Request, owner string) error {
	q := rpc.GetJob{Owner: owner, Job: structs.JobID(r.PathValue("id"))}
	if text := r.URL.Query().Get("wait"); text != "" {
		wait, err := time.ParseDuration(text)
		if err != nil || wait < 0 {
			return web.BadRequest("wait %q is not a duration such as 10s", text)
		}
		q.WaitMS = min(wait, maxWait).Milliseconds()
	}
	view, err := s.jobs.GetJob(r.Context(), q)
	if err != nil {
		return err
	}
	web.WriteJSON(w, http.StatusOK, view)
	return nil
}

func (s *server) cancel(w http.ResponseWriter, r *http.Request, owner string) error {
	if err := s.jobs.Cancel(r.Context(), structs.CancelJob{Owner: owner, Job: structs.JobID(r.PathValue("id"))}); err != nil {
		return err
	}
	web.WriteJSON(w, http.StatusOK, struct{}{})
	return nil
}

func (s *server) explain(w http.ResponseWriter, r *http.Request, owner string) error {
	lines, err := s.jobs.Explain(r.Context(), rpc.Explain{Owner: owner, Job: structs.JobID(r.PathValue("id"))})
	if err != nil {
		return err
	}
	if lines == nil {
		lines = []string{}
	}
	web.WriteJSON(w, http.StatusOK, lines)
	return nil
}

// idempotencyKey returns the request's idempotency key, or "" if it has none.
func idempotencyKey(r *http.Request) (string, error) {
	key := r.Header.Get(entry.HeaderKey)
	if len(key) > maxKeyBytes {
		return "", web.BadRequest("%s is over %d bytes", entry.HeaderKey, maxKeyBytes)
	}
	return key, nil
}
