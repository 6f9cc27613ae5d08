package standin

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"gooseberrypond/core/structs"
)

// announceInterval is the interval between an upstream's announcements.
const announceInterval = time.Second

// UpstreamConfig describes a stand-in upstream.
type UpstreamConfig struct {
	// Upstream is the description that is announced; its Address is replaced
	// by that of the listener.
	Upstream structs.Upstream
	// Announce lists the base URLs of the hosts' upstream listeners.
	Announce []string
	// Delay is the time between receiving a request and answering it.
	Delay  time.Duration
	Client *http.Client
}

// Upstream is a stand-in upstream that echoes request bodies after a delay.
type Upstream struct {
	cfg    UpstreamConfig
	api    apiClient
	server *http.Server

	mu       sync.Mutex
	inFlight int
	peak     int
	byKey    map[string]int
	total    int
}

// NewUpstream returns an upstream that has not been started; call Run to serve.
func NewUpstream(cfg UpstreamConfig) *Upstream {
	if cfg.Client == nil {
		cfg.Client = http.DefaultClient
	}
	u := &Upstream{cfg: cfg, api: apiClient{client: cfg.Client, bases: cfg.Announce}, byKey: map[string]int{}}
	u.server = &http.Server{Handler: http.HandlerFunc(u.echo), ReadHeaderTimeout: 10 * time.Second}
	return u
}

// Run serves on l and announces the upstream until ctx is cancelled. It then
// withdraws the upstream and waits for the requests in flight.
func (u *Upstream) Run(ctx context.Context, l net.Listener) error {
	u.cfg.Upstream.Address = l.Addr().String()
	served := make(chan error, 1)
	go func() { served <- u.server.Serve(l) }()
	tick := time.NewTicker(announceInterval)
	defer tick.Stop()
	for u.announce(ctx); ; u.announce(ctx) {
		select {
		case <-ctx.Done():
			return u.leave()
		case err := <-served:
			return err
		case <-tick.C:
		}
	}
}

// announce sends one announcement and retries until it is accepted or ctx is
// cancelled.
func (u *Upstream) announce(ctx context.Context) {
	for ctx.Err() == nil {
		attemptCtx, cancel := context.WithTimeout(ctx, announceInterval)
		err := u.api.post(attemptCtx, "/v1/upstreams", u.cfg.Upstream, nil)
		cancel()
		if err == nil {
			return
		}
		t := time.NewTimer(retryDelay)
		select {
		case <-ctx.Done():
		case <-t.C:
		}
		t.Stop()
	}
}

// leave withdraws the upstream, then shuts the server down once the requests in
// flight have finished. If the withdrawal was accepted, it keeps serving for
// ViewMaxAge first, because entry hosts may route new requests here until their
// view expires.
func (u *Upstream) leave() error {
	ctx, cancel := context.WithTimeout(context.Background(), structs.ViewMaxAge+5*time.Second)
	defer cancel()
	err := u.api.post(ctx, "/v1/upstreams/"+u.cfg.Upstream.Name+"/leave", struct{}{}, nil)
	if err == nil {
		t := time.NewTimer(structs.ViewMaxAge)
		defer t.Stop()
		<-t.C
	}
	if shutdownErr := u.server.Shutdown(ctx); err == nil {
		err = shutdownErr
	}
	return err
}

// Counts returns the number of requests received, the highest number in flight
// at once, and the number of requests per idempotency key. Requests without a
// key are not in byKey.
func (u *Upstream) Counts() (total, peak int, byKey map[string]int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	byKey = map[string]int{}
	for k, n := range u.byKey {
		byKey[k] = n
	}
	return u.total, u.peak, byKey
}

// beginRequest counts the start of a request.
func (u *Upstream) beginRequest(key string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.total++
	u.inFlight++
	u.peak = max(u.peak, u.inFlight)
	if key != "" {
		u.byKey[key]++
	}
}

func (u *Upstream) endRequest() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.inFlight--
}

// echo responds with the request's body after the configured delay.
func (u *Upstream) echo(w http.ResponseWriter, r *http.Request) {
	u.beginRequest(r.Header.Get("Idempotency-Key"))
	defer u.endRequest()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if u.cfg.Delay > 0 {
		t := time.NewTimer(u.cfg.Delay)
		defer t.Stop()
		select {
		case <-t.C:
		case <-r.Context().Done():
			return
		}
	}
	w.Header().Set("X-Upstream", u.cfg.Upstream.Name)
	if len(body) == 0 {
		body = []byte("served by " + u.cfg.Upstream.Name + "\n")
	}
	// The write fails only if the client has disconnected.
	_, _ = w.Write(body)
}
