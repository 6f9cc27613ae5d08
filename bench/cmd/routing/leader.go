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
	// upstreams and owners are about the sizes of the present users.
	upstreams = 65
	owners    = 130
	slots     = 8
	token     = "token-0"
	// announceInterval is how often upstreams renew their announcements.
	announceInterval = time.Second
)

// control answers syncs from the real state of a leader.
type control struct {
	entry.Control // claims are not measured
	mu            sync.Mutex
	core          *leader.Core
	upstreams     []structs.Upstream
	announced     time.Time
}

// newControl returns a leader elected at now of the entry hosts, with n
// upstreams at address.
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

// announce renews the announcements when they are due.
func (l *control) announce(now time.Time) error {
	if now.Sub(l.announced) < announceInterval {
		return nil
	}
	l.announced = now
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

func (l *control) sync(now time.Time, req *structs.EntrySync) (*structs.EntryView, error) {
	view, err := l.core.EntrySync(now, 1, req)
	if err != nil {
		return nil, err
	}
	return &view, nil
}
