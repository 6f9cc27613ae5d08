package node

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"

	"gooseberrypond/host/admission"
	"gooseberrypond/host/edge/operator"
	"gooseberrypond/host/edge/platform"
	"gooseberrypond/host/edge/web"
)

// serveEdges serves the HTTP interfaces that do not depend on the entry role:
// platform, operator and health.
func (n *Node) serveEdges() {
	n.serve("platform", platform.Handler(n.client, n.log))
	n.serve("operator", operator.Handler(n.client, operator.Options{
		Host:         n.settings.HostID,
		TokenFile:    n.settings.Listeners.Operator.TokenFile,
		MaxCatalogue: int64(n.settings.Limits.MaxCatalogue),
		Dump:         n.Dump,
		Log:          n.log,
	}))
	n.serve("health", n.healthHandler())
}

// serve starts an HTTP server on the named listener. It does nothing if the
// listener is not enabled.
func (n *Node) serve(name string, h http.Handler) {
	l := n.listeners[name]
	if l == nil {
		return
	}
	s := web.NewServer(h, n.settings.Limits)
	n.servers = append(n.servers, s)
	go func() { n.reportFailure(name+" listener", admission.Serve(s, l)) }()
}

// healthHandler returns the handler for liveness, readiness and metrics.
func (n *Node) healthHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		web.WriteJSON(w, http.StatusOK, map[string]string{"status": "ok"})
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if reason := n.notReadyReason(); reason != "" {
			web.WriteJSON(w, http.StatusServiceUnavailable, map[string]string{"status": "not ready", "reason": reason})
			return
		}
		web.WriteJSON(w, http.StatusOK, map[string]string{"status": "ready"})
	})
	mux.Handle("GET /metrics", promhttp.HandlerFor(n.registry, promhttp.HandlerOpts{}))
	return mux
}

// notReadyReason returns the reason why the host should get no new work, or "" if it is
// ready.
func (n *Node) notReadyReason() string {
	switch {
	case n.draining.Load():
		return "stopping"
	case n.control != nil && n.control.LeaderHost() == "":
		return "no leader is known"
	case n.entry != nil && !n.entry.ready():
		return "the view of the control hosts is too old"
	}
	return ""
}

// Dump returns the state of the roles of this host for the operator interface.
func (n *Node) Dump() any {
	out := map[string]any{
		"host":    n.settings.HostID,
		"cluster": n.settings.ClusterID,
		"at":      time.Now().UTC().Format(time.RFC3339Nano),
	}
	if n.control != nil {
		if data, err := n.control.Dump(context.Background(), ""); err != nil {
			out["control_error"] = err.Error()
		} else {
			out["control"] = json.RawMessage(data)
		}
	}
	if n.entry != nil {
		out["entry"] = n.entry.dump()
	}
	return out
}
