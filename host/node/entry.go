package node

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"gooseberrypond/host/edge/caller"
	"gooseberrypond/host/edge/upstream"
	"gooseberrypond/host/entry"
	"gooseberrypond/host/rpc"
)

// entryRole is the running entry role and its watch of the control hosts.
type entryRole struct {
	host *entry.Host
	stop context.CancelFunc
	wg   sync.WaitGroup
}

// watchRetryDelay is the delay before a failed watch is repeated.
const watchRetryDelay = 100 * time.Millisecond

// startEntry starts the entry role and serves the caller and upstream interfaces.
func (n *Node) startEntry() {
	log := n.baseLog.With().Str("role", "entry").Logger() // the entry role adds the host to its log lines
	h := entry.New(entry.Config{Host: n.settings.HostID, Control: n.client, Log: log})
	ctx, stop := context.WithCancel(context.Background())
	n.entry = &entryRole{host: h, stop: stop}
	h.Start()
	n.registry.MustRegister(newEntryMetrics(h))
	n.entry.wg.Go(func() { n.entry.watch(ctx, n.client) })
	n.serve("caller", caller.Handler(h, n.client, caller.Options{MaxBody: int64(n.settings.Limits.MaxBody), Log: log}))
	n.serve("upstream", upstream.Handler(n.client, h.Catalogue, log))
}

// ready reports whether the role accepts new requests.
func (e *entryRole) ready() bool { return e.host.Ready() }

// dump returns the state of the role.
func (e *entryRole) dump() any { return e.host.Dump() }

// grantReleaseTimeout is the time for which an entry role without requests in flight
// tries to return its grants. Without a leader they cannot be returned and are
// reclaimed after a timeout.
const grantReleaseTimeout = 3 * time.Second

// drain waits for the requests in flight and returns the grants to the leader.
func (e *entryRole) drain(ctx context.Context, log zerolog.Logger) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go e.cancelWhenIdle(ctx, cancel)
	if err := e.host.Shutdown(ctx); err != nil {
		log.Warn().Err(err).Msg("entry role stopped with requests in flight or grants not returned")
	}
}

// cancelWhenIdle calls cancel once the role has had no requests in flight and no
// open claims for grantReleaseTimeout.
func (e *entryRole) cancelWhenIdle(ctx context.Context, cancel func()) {
	tick := time.NewTicker(grantReleaseTimeout / 30)
	defer tick.Stop()
	idle := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if d := e.host.Dump(); d.Routing.InFlight > 0 || d.OpenClaims > 0 {
			idle = time.Now()
		}
		if time.Since(idle) > grantReleaseTimeout {
			cancel()
			return
		}
	}
}

// watch triggers a sync as soon as the catalogue or a domain state has changed.
// Without it the change arrives with the next periodic sync.
func (e *entryRole) watch(ctx context.Context, client *rpc.Client) {
	var seen rpc.Versions
	for ctx.Err() == nil {
		now, err := client.Watch(ctx, seen)
		if err == nil {
			if now != seen {
				seen = now
				e.host.SyncSoon()
			}
			continue
		}
		t := time.NewTimer(watchRetryDelay)
		select {
		case <-ctx.Done():
		case <-t.C:
		}
		t.Stop()
	}
}

// versions returns the versions of the catalogue and of the domain states in force.
func (e *entryRole) versions() (catalogue, domains uint64) {
	d := e.host.Dump()
	return d.CatalogueVersion, d.DomainsVersion
}

// close stops the role without waiting for requests in flight.
func (e *entryRole) close() {
	e.stop()
	e.wg.Wait()
	e.host.Close()
}
