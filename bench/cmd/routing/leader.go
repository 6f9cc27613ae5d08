package main

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"sync"
	"time"

	"gooseberrypond/core/leader"
	"gooseberrypond/core/state"
	"gooseberrypond/core/structs"
	"gooseberrypond/host/entry"
)

const (
	// upstreams and owners are close to the sizes of the installations in use.
	upstreams = 65
	owners    = 130
	slots     = 8
	token     = "token-0"
	// announceInterval is the interval at which upstreams renew their announcements.
	announceInterval = time.Second
)

// control implements entry.Control with the core of a leader in the same process.
type control struct {
	entry.Control // nil: no other method is called, as requests make no claims
	mu            sync.Mutex
	core          *leader.Core
	upstreams     []structs.Upstream
	lastAnnounced time.Time
}

// newControl returns a control whose leader is elected at now and knows the given
// entry hosts, and n upstreams that all have the same address.
func newControl(now time.Time, hosts []string, n int, address string) (*control, error) {
	c := structs.Catalogue{
		Owners:  make(map[string]structs.Owner),
		Entries: map[string]structs.Entry{"booking": {Owner: "owner-000", Class: structs.ClassLatency}},
	}
	for i := range owners {
		sum := sha256.Sum256(fmt.Appendf(nil, "token-%d", i))
		c.Owners[fmt.Sprintf("owner-%03d", i)] = structs.Owner{TokenSHA256: []string{hex.EncodeToString(sum[:])}}
	}
	t := state.New()
	l := &control{core: leader.New(now, t, hosts)}
	res := t.Apply(1, &structs.Command{
		Version: structs.CommandVersion, NowMS: now.UnixMilli(),
		PutCatalogue: &structs.PutCatalogue{ChangeID: "bench", Catalogue: c},
	})
	if res.Change == nil || !res.Change.Accepted {
		return nil, fmt.Errorf("catalogue refused: %+v", res)
	}
	for i := range n {
		l.upstreams = append(l.upstreams, structs.Upstream{
			Name: fmt.Sprintf("booking-%04d", i), Entry: "booking", Address: address, Domain: fmt.Sprintf("domain-%d", i%3),
			Slots: slots, Connections: 60,
		})
	}
	return l, l.announce(now)
}

// announce renews the announcements of all upstreams if announceInterval has passed.
func (l *control) announce(now time.Time) error {
	if now.Sub(l.lastAnnounced) < announceInterval {
		return nil
	}
	l.lastAnnounced = now
	for _, u := range l.upstreams {
		if err := l.core.Announce(now, u); err != nil {
			return err
		}
	}
	return nil
}

// Sync implements entry.Control.
func (l *control) Sync(_ context.Context, req *structs.EntrySync) (*structs.EntryView, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if err := l.announce(now); err != nil {
		return nil, err
	}
	return l.sync(now, req)
}

// sync answers a sync without locking or announcements.
func (l *control) sync(now time.Time, req *structs.EntrySync) (*structs.EntryView, error) {
	view, err := l.core.EntrySync(now, 1, req)
	if err != nil {
		return nil, err
	}
	return &view, nil
}
