// Package operator is the HTTP interface of operators. Bodies are the types of
// core/structs/operator.go:
//
//	GET  /v1/catalogue                 Catalogue
//	PUT  /v1/catalogue                 PutCatalogueRequest -> ChangeResult
//	GET  /v1/domains                   []DomainInfo
//	POST /v1/domains/{name}/out|in     SetDomainRequest -> ChangeResult
//	GET  /v1/status                    Status
//	GET  /v1/members                   []ReplicaInfo
//	POST /v1/members                   MemberRequest
//	GET  /v1/changes/{id}              ChangeStatus
//	GET  /v1/dump?host=ID              one JSON document; without host, this process
//
// A change that is refused answers 409 with the ChangeResult as body.
package operator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"net/http"
	"os"
	"strings"

	"github.com/rs/zerolog"

	"gooseberrypond/core/structs"
	"gooseberrypond/host/edge/web"
)

// maxBodyBytes is the maximum size in bytes of bodies other than the catalogue.
const maxBodyBytes = 16 << 10

// Control is the set of calls to the control hosts that the adapter uses.
type Control interface {
	Catalogue(ctx context.Context) (*structs.Catalogue, error)
	ApplyCatalogue(ctx context.Context, c *structs.PutCatalogue) (*structs.ChangeResult, error)
	SetDomain(ctx context.Context, c structs.SetDomain) (*structs.ChangeResult, error)
	Domains(ctx context.Context) ([]structs.DomainInfo, error)
	Change(ctx context.Context, id string) (*structs.ChangeStatus, error)
	Status(ctx context.Context) (*structs.Status, error)
	Members(ctx context.Context) ([]structs.ReplicaInfo, error)
	MemberChange(ctx context.Context, c structs.MemberRequest) error
	Dump(ctx context.Context, host string) ([]byte, error)
}

// Options configure the adapter.
type Options struct {
	// TokenFile is the file with the operators' bearer token. If empty, no token
	// is required.
	TokenFile string
	// MaxCatalogue is the maximum size of a catalogue document in bytes.
	MaxCatalogue int64
	// Host is the id of this host.
	Host string
	// Dump returns the state of this process; the result is encoded as JSON.
	Dump func() any
	Log  zerolog.Logger
}

type server struct {
	control Control
	opts    Options
}

// Handler returns the HTTP handler for operators.
func Handler(control Control, opts Options) http.Handler {
	s := &server{control: control, opts: opts}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/catalogue", jsonHandler(func(r *http.Request) (any, error) { return control.Catalogue(r.Context()) }))
	mux.HandleFunc("PUT /v1/catalogue", s.putCatalogue)
	mux.HandleFunc("GET /v1/domains", jsonHandler(func(r *http.Request) (any, error) { return control.Domains(r.Context()) }))
	mux.HandleFunc("POST /v1/domains/{name}/{action}", s.setDomain)
	mux.HandleFunc("GET /v1/status", jsonHandler(func(r *http.Request) (any, error) { return control.Status(r.Context()) }))
	mux.HandleFunc("GET /v1/members", jsonHandler(func(r *http.Request) (any, error) { return control.Members(r.Context()) }))
	mux.HandleFunc("POST /v1/members", s.memberChange)
	mux.HandleFunc("GET /v1/changes/{id}", jsonHandler(func(r *http.Request) (any, error) { return control.Change(r.Context(), r.PathValue("id")) }))
	mux.HandleFunc("GET /v1/dump", s.dump)
	return s.authorize(mux)
}

// jsonHandler returns a handler that answers with the result of fn as JSON.
func jsonHandler(fn func(r *http.Request) (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		v, err := fn(r)
		if err != nil {
			web.WriteError(w, err)
			return
		}
		web.WriteJSON(w, http.StatusOK, v)
	}
}

// authorize returns a handler that requires the token of the token file, if one
// is configured. The file is read for each request, so a new token takes effect
// without a restart. All requests are refused while the file cannot be read.
func (s *server) authorize(next http.Handler) http.Handler {
	if s.opts.TokenFile == "" {
		return next
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		want, err := os.ReadFile(s.opts.TokenFile)
		if err != nil {
			s.opts.Log.Error().Err(err).Msg("failed to read the operator token file; request refused")
		}
		given, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if token := strings.TrimSpace(string(want)); err != nil || !ok || token == "" || !equalTokens(given, token) {
			web.WriteError(w, structs.Errorf(structs.CodeUnauthorized, "operator", "missing or wrong operator token").WithOutcome(structs.OutcomeNotRun))
			return
		}
		next.ServeHTTP(w, r)
	})
}

// equalTokens reports whether a and b are equal. It takes constant time, so that
// the token cannot be guessed from response times.
func equalTokens(a, b string) bool {
	x, y := sha256.Sum256([]byte(a)), sha256.Sum256([]byte(b))
	return subtle.ConstantTimeCompare(x[:], y[:]) == 1
}

// checkChangeID refuses ids that could not be used in the path of
// GET /v1/changes/{id}.
func checkChangeID(id string) error {
	if id == "" || len(id) > 128 || strings.ContainsAny(id, " \t\n/") {
		return web.BadRequest("change_id must have 1 to 128 characters and no white space or slash")
	}
	return nil
}

func (s *server) putCatalogue(w http.ResponseWriter, r *http.Request) {
	var req structs.PutCatalogueRequest
	err := web.ReadJSON(w, r, s.opts.MaxCatalogue, &req)
	put := structs.PutCatalogue(req)
	if err == nil {
		err = checkChangeID(put.ChangeID)
	}
	if err != nil {
		web.WriteError(w, err)
		return
	}
	res, err := s.control.ApplyCatalogue(r.Context(), &put)
	s.writeChangeResult(w, "catalogue", put.ChangeID, res, err)
}

func (s *server) setDomain(w http.ResponseWriter, r *http.Request) {
	var body structs.SetDomainRequest
	err := web.ReadJSON(w, r, maxBodyBytes, &body)
	if err == nil {
		err = checkChangeID(body.ChangeID)
	}
	action := r.PathValue("action")
	if err == nil && action != "out" && action != "in" {
		err = structs.Errorf(structs.CodeNotFound, "operator", "action %q; allowed: out, in", action).WithOutcome(structs.OutcomeNotRun)
	}
	if err != nil {
		web.WriteError(w, err)
		return
	}
	set := structs.SetDomain{ChangeID: body.ChangeID, Domain: r.PathValue("name"), Out: action == "out"}
	res, err := s.control.SetDomain(r.Context(), set)
	s.writeChangeResult(w, "domain", body.ChangeID, res, err)
}

// writeChangeResult logs the outcome of a change and writes it as the answer.
func (s *server) writeChangeResult(w http.ResponseWriter, kind, id string, res *structs.ChangeResult, err error) {
	if err != nil {
		s.opts.Log.Warn().Str("change", id).Str("kind", kind).Err(err).Msg("change failed or its outcome is unknown")
		web.WriteError(w, err)
		return
	}
	s.opts.Log.Info().Str("change", id).Str("kind", kind).Bool("accepted", res.Accepted).Uint64("version", res.Version).Msg("change accepted or refused")
	status := http.StatusOK
	if !res.Accepted {
		status = http.StatusConflict
	}
	web.WriteJSON(w, status, res)
}

func (s *server) memberChange(w http.ResponseWriter, r *http.Request) {
	var c structs.MemberRequest
	err := web.ReadJSON(w, r, maxBodyBytes, &c)
	switch {
	case err != nil:
	case c.Action != "add" && c.Action != "promote" && c.Action != "remove":
		err = web.BadRequest("action %q; allowed: add, promote, remove", c.Action)
	case c.ID == 0:
		err = web.BadRequest("id must be at least 1")
	case (c.Action == "add") != (c.Address != ""):
		err = web.BadRequest("address is needed for add, and only there")
	}
	if err == nil {
		err = s.control.MemberChange(r.Context(), c)
	}
	if err != nil {
		web.WriteError(w, err)
		return
	}
	s.opts.Log.Info().Str("action", c.Action).Uint64("replica", c.ID).Msg("members changed")
	web.WriteJSON(w, http.StatusOK, c)
}

// dump answers with the state of this process, or of the control host
// that the host parameter names.
func (s *server) dump(w http.ResponseWriter, r *http.Request) {
	host := r.URL.Query().Get("host")
	if host == "" || host == s.opts.Host {
		web.WriteJSON(w, http.StatusOK, s.opts.Dump())
		return
	}
	data, err := s.control.Dump(r.Context(), host)
	if err != nil {
		web.WriteError(w, err)
		return
	}
	web.WriteJSON(w, http.StatusOK, json.RawMessage(data))
}
