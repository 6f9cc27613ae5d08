// Package upstream is the HTTP interface of upstreams:
//
//	POST /v1/upstreams               structs.Upstream; sent every second
//	POST /v1/upstreams/{name}/leave
//
// Both are answered after the leader has received them.
package upstream

import (
	"context"
	"net/http"
	"net/netip"
	"regexp"

	"github.com/rs/zerolog"

	"gooseberrypond/core/structs"
	"gooseberrypond/host/edge/web"
)

const (
	// maxBodyBytes is the maximum size of an announcement in bytes.
	maxBodyBytes = 16 << 10
	// maxSlots and maxConnections are the largest values that an upstream may
	// announce. Larger ones are refused as mistakes.
	maxSlots       = 10_000
	maxConnections = 100_000
)

// namePattern matches valid names of upstreams, domains and workers.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:-]{0,127}$`)

// Control is the set of calls to the control hosts that the adapter uses.
type Control interface {
	Announce(ctx context.Context, u structs.Upstream) error
	Leave(ctx context.Context, upstream string) error
}

type server struct {
	control   Control
	catalogue func() *structs.Catalogue
	log       zerolog.Logger
}

// Handler returns the HTTP handler for upstreams. catalogue returns the
// catalogue in force, or nil while it is not known.
func Handler(control Control, catalogue func() *structs.Catalogue, log zerolog.Logger) http.Handler {
	s := &server{control: control, catalogue: catalogue, log: log}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/upstreams", s.announce)
	mux.HandleFunc("POST /v1/upstreams/{name}/leave", s.leave)
	return mux
}

func (s *server) announce(w http.ResponseWriter, r *http.Request) {
	var u structs.Upstream
	err := web.ReadJSON(w, r, maxBodyBytes, &u)
	if err == nil {
		err = checkAnnouncement(u)
	}
	if err == nil {
		err = s.checkEntry(u.Entry)
	}
	if err == nil {
		err = s.control.Announce(r.Context(), u)
	}
	if err != nil {
		s.log.Warn().Err(err).Str("upstream", u.Name).Str("remote", r.RemoteAddr).Msg("upstream announcement failed")
		web.WriteError(w, err)
		return
	}
	web.WriteJSON(w, http.StatusOK, struct{}{})
}

func (s *server) leave(w http.ResponseWriter, r *http.Request) {
	name := r.PathValue("name")
	var err error
	if !namePattern.MatchString(name) {
		err = web.BadRequest("name %q: %s", name, nameForm)
	} else {
		err = s.control.Leave(r.Context(), name)
	}
	if err != nil {
		s.log.Warn().Err(err).Str("upstream", name).Str("remote", r.RemoteAddr).Msg("upstream leave failed")
		web.WriteError(w, err)
		return
	}
	s.log.Info().Str("upstream", name).Msg("upstream is leaving")
	web.WriteJSON(w, http.StatusOK, struct{}{})
}

// nameForm describes namePattern in errors.
const nameForm = "allowed are 1 to 128 letters, digits, '.', '_', ':' and '-', first a letter or digit"

// checkAnnouncement refuses announcements with invalid or out-of-range fields.
func checkAnnouncement(u structs.Upstream) error {
	addr, addrErr := netip.ParseAddrPort(u.Address)
	switch {
	case !namePattern.MatchString(u.Name):
		return web.BadRequest("name %q: %s", u.Name, nameForm)
	case !namePattern.MatchString(u.Domain):
		return web.BadRequest("domain %q: %s", u.Domain, nameForm)
	case u.Worker != "" && !namePattern.MatchString(string(u.Worker)):
		return web.BadRequest("worker %q: %s", u.Worker, nameForm)
	case addrErr != nil:
		return web.BadRequest("address %q: it must be an IP address and port, such as 10.0.0.1:8080", u.Address)
	case addr.Port() == 0 || addr.Addr().IsUnspecified() || addr.Addr().IsMulticast():
		return web.BadRequest("address %q: it must name one host and a port above 0", u.Address)
	case u.Slots < 1 || u.Slots > maxSlots:
		return web.BadRequest("slots %d: allowed are 1 to %d", u.Slots, maxSlots)
	case u.Connections < 1 || u.Connections > maxConnections:
		return web.BadRequest("connections %d: allowed are 1 to %d", u.Connections, maxConnections)
	case u.Leaving:
		return web.BadRequest("leaving: use POST /v1/upstreams/%s/leave", u.Name)
	}
	return nil
}

// checkEntry refuses names that are not latency-critical entries of the
// catalogue.
func (s *server) checkEntry(name string) error {
	c := s.catalogue()
	if c == nil {
		return structs.Errorf(structs.CodeStaleView, "upstream.announce", "no catalogue yet").
			WithOutcome(structs.OutcomeNotRun).WithRetryAfter(structs.ViewMaxAge.Milliseconds())
	}
	e, ok := c.Entries[name]
	if !ok || e.Class != structs.ClassLatency {
		return structs.Errorf(structs.CodeNotFound, "upstream.announce", "the catalogue has no latency-critical entry %q", name).WithOutcome(structs.OutcomeNotRun)
	}
	return nil
}
