// Package platform is the HTTP interface of workers:
//
//	POST /v1/workers/{id}/register  structs.WorkerRegister
//	POST /v1/workers/{id}/sync      structs.WorkerSync -> structs.WorkerSyncReply
//
// The id in the body must be empty or equal to the id in the path.
package platform

import (
	"context"
	"net/http"
	"strings"

	"github.com/rs/zerolog"

	"gooseberrypond/core/structs"
	"gooseberrypond/host/edge/web"
)

// Maximum body sizes in bytes. A sync lists all tasks of a worker and their
// events.
const (
	maxRegisterBytes = 16 << 10
	maxSyncBytes     = 4 << 20
)

// Control is the set of calls to the control hosts that the adapter uses.
type Control interface {
	WorkerRegister(ctx context.Context, req *structs.WorkerRegister) error
	WorkerSync(ctx context.Context, req *structs.WorkerSync) (*structs.WorkerSyncReply, error)
}

type server struct {
	control Control
	log     zerolog.Logger
}

// Handler returns the HTTP handler for workers.
func Handler(control Control, log zerolog.Logger) http.Handler {
	s := &server{control: control, log: log}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/workers/{id}/register", s.register)
	mux.HandleFunc("POST /v1/workers/{id}/sync", s.sync)
	return mux
}

func (s *server) register(w http.ResponseWriter, r *http.Request) {
	var req structs.WorkerRegister
	if err := web.ReadJSON(w, r, maxRegisterBytes, &req); err != nil {
		web.WriteError(w, err)
		return
	}
	if err := checkRegister(r.PathValue("id"), &req); err != nil {
		web.WriteError(w, err)
		return
	}
	if err := s.control.WorkerRegister(r.Context(), &req); err != nil {
		s.log.Warn().Str("worker", string(req.ID)).Err(err).Msg("worker registration failed")
		web.WriteError(w, err)
		return
	}
	s.log.Info().Str("worker", string(req.ID)).Uint64("incarnation", req.Incarnation).Str("domain", req.Domain).Msg("worker registered")
	web.WriteJSON(w, http.StatusOK, struct{}{})
}

// checkRegister refuses the registration of a worker on which no task could ever
// be placed. It sets req.ID to the id in the path.
func checkRegister(path string, req *structs.WorkerRegister) error {
	id, err := workerID(path, req.ID)
	if err != nil {
		return err
	}
	req.ID = id
	switch {
	case req.Incarnation == 0:
		return web.BadRequest("incarnation must be at least 1")
	case req.Domain == "":
		return web.BadRequest("domain is missing")
	case req.Rack == "":
		return web.BadRequest("rack is missing")
	case req.Capacity.HasNegative() || req.Capacity.CPUMilli == 0 || req.Capacity.MemoryMB == 0:
		return web.BadRequest("capacity %s: processors and memory must be above 0, accelerators at least 0", req.Capacity)
	}
	return nil
}

// workerID returns the worker id of a request, which must not differ between path
// and body.
func workerID(path string, body structs.WorkerID) (structs.WorkerID, error) {
	id := structs.WorkerID(path)
	if body != "" && body != id {
		return "", web.BadRequest("id %q in the body differs from %q in the path", body, id)
	}
	if len(id) > 128 || strings.ContainsAny(path, " \t\n/") {
		return "", web.BadRequest("worker id must have at most 128 characters and no white space")
	}
	return id, nil
}

func (s *server) sync(w http.ResponseWriter, r *http.Request) {
	var req structs.WorkerSync
	if err := web.ReadJSON(w, r, maxSyncBytes, &req); err != nil {
		web.WriteError(w, err)
		return
	}
	id, err := workerID(r.PathValue("id"), req.ID)
	if err == nil && (req.Seq == 0 || req.Incarnation == 0) {
		err = web.BadRequest("seq and incarnation must be at least 1")
	}
	if err == nil && req.WaitMS < 0 {
		err = web.BadRequest("wait_ms must be at least 0")
	}
	if err != nil {
		web.WriteError(w, err)
		return
	}
	req.ID = id
	req.WaitMS = min(req.WaitMS, structs.WorkerSyncHold.Milliseconds())
	reply, err := s.control.WorkerSync(r.Context(), &req)
	if err != nil {
		s.log.Debug().Str("worker", string(id)).Uint64("seq", req.Seq).Err(err).Msg("worker sync failed")
		web.WriteError(w, err)
		return
	}
	web.WriteJSON(w, http.StatusOK, reply)
}
