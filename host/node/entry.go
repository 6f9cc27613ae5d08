package node

import (
	"context"

	"github.com/rs/zerolog"

	"gooseberrypond/host/entry"
)

// entryRole is the entry role with its interfaces.
type entryRole struct{ host *entry.Host }

// startEntry starts the entry role and serves callers and upstreams.
func (n *Node) startEntry() error {
	log := n.base.With().Str("role", "entry").Logger() // the role adds the host
	h := entry.New(entry.Config{Host: n.settings.HostID, Control: n.client, Log: log})
	n.entry = &entryRole{host: h}
	h.Start()
	return nil
}

// ready reports whether new requests are accepted.
func (e *entryRole) ready() bool { return e.host.Ready() }

// dump returns the state of the role.
func (e *entryRole) dump() any { return e.host.Dump() }

// drain finishes the requests in flight and gives back the grants.
func (e *entryRole) drain(ctx context.Context, log zerolog.Logger) {
	if err := e.host.Shutdown(ctx); err != nil {
		log.Warn().Err(err).Msg("entry role stopped with work left")
	}
}

// close stops at once.
func (e *entryRole) close() { e.host.Close() }
