package main

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"sync"
	"time"

	"gooseberrypond/core/grant"
	"gooseberrypond/core/structs"
	"gooseberrypond/host/entry"
)

const (
	// upstreams and owners are about the sizes of the present users.
	upstreams = 65
	owners    = 130
	slots     = 8
	token     = "token-0"
)

// leader answers syncs from the real table of shares.
type leader struct {
	entry.Control // claims are not measured
	mu            sync.Mutex
	table         *grant.Table
	view          structs.EntryView
}

// newLeader returns a leader of the entry hosts, with all upstreams at address.
func newLeader(hosts []string, address string) *leader {
	c := &structs.Catalogue{
		Version: 1,
		Owners:  make(map[string]structs.Owner),
		Entries: map[string]structs.Entry{"booking": {Owner: "owner-000", Class: structs.ClassLatency}},
	}
	for i := range owners {
		sum := sha256.Sum256(fmt.Appendf(nil, "token-%d", i))
		c.Owners[fmt.Sprintf("owner-%03d", i)] = structs.Owner{TokenSHA256: []string{hex.EncodeToString(sum[:])}}
	}
	l := &leader{
		table: grant.New(time.Now(), hosts),
		view:  structs.EntryView{Term: 1, CatalogueVersion: 1, Catalogue: c, EntryHosts: len(hosts)},
	}
	for i := range upstreams {
		u := structs.Upstream{
			Name: fmt.Sprintf("booking-%02d", i), Entry: "booking", Address: address, Domain: fmt.Sprintf("domain-%d", i%3),
			Slots: slots, Connections: 60,
		}
		l.table.SetCapacity(structs.GrantKey{Kind: structs.GrantUpstream, Name: u.Name}, slots, u.Connections/len(hosts))
		l.view.Upstreams = append(l.view.Upstreams, u)
	}
	return l
}

// Sync implements entry.Control.
func (l *leader) Sync(_ context.Context, req *structs.EntrySync) (*structs.EntryView, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	grants, err := l.table.Sync(time.Now(), req)
	if err != nil {
		return nil, err
	}
	v := l.view
	v.Seq, v.Grants = req.Seq, grants
	if req.CatalogueVersion == v.CatalogueVersion {
		v.Catalogue = nil
	}
	return &v, nil
}
