package dispatcher

import (
	"context"
	"fmt"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"gooseberrypond/core/dispatch"
	"gooseberrypond/core/graph"
	"gooseberrypond/host/standin"
	"gooseberrypond/store/replica"
)

// stoppableClock stands still while stopped is set.
type stoppableClock struct {
	stopped atomic.Bool
	last    atomic.Pointer[time.Time]
}

func (c *stoppableClock) now() time.Time {
	if c.stopped.Load() {
		return *c.last.Load()
	}
	now := time.Now()
	c.last.Store(&now)
	return now
}

// replicatedHost is a dispatcher on a replica of a group.
type replicatedHost struct {
	id    string
	d     *Dispatcher
	rep   *replica.Replica
	clock stoppableClock
}

func startReplicatedHosts(t *testing.T, n *standin.Network, count int) []*replicatedHost {
	t.Helper()
	dir := t.TempDir()
	var members []replica.Member
	for i := range count {
		members = append(members, replica.Member{ID: fmt.Sprint("c", i+1)})
	}
	var hosts []*replicatedHost
	for _, m := range members {
		h := &replicatedHost{id: m.ID}
		h.d = New(Config{Workers: fakeWorkers{}, Logger: zerolog.Nop(), Limits: dispatch.Limits{LeaseMax: 10 * time.Second, Interference: 4 * time.Second}})
		rep, err := replica.Open(replica.Config{
			ID: m.ID, ClusterID: "test", Dir: filepath.Join(dir, m.ID), Members: members,
			StateMachine: h.d, Transport: n.Transport(m.ID), Now: h.clock.now,
		})
		if err != nil {
			t.Fatal(err)
		}
		h.rep = rep
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			h.d.Run(ctx, rep)
		}()
		t.Cleanup(func() {
			cancel()
			<-ended
			rep.Close()
		})
		hosts = append(hosts, h)
	}
	return hosts
}

// putConfig commits a configuration on whichever host but except leads, and returns that
// host.
func putConfig(t *testing.T, hosts []*replicatedHost, except *replicatedHost, version uint64) *replicatedHost {
	t.Helper()
	var leader *replicatedHost
	waitUntil(t, fmt.Sprintf("version %d to be committed", version), func() bool {
		for _, h := range hosts {
			if h == except {
				continue
			}
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			a := h.d.PutConfig(ctx, &graph.Config{Version: version, Document: fmt.Append(nil, version)})
			cancel()
			if a.Code == Done {
				leader = h
				return true
			}
		}
		return false
	})
	return leader
}

// Guards against a configuration that is read back older than one that was acknowledged:
// a leader that was suspended, with its clock, believes in its lease as it wakes up.
func TestConfigurationReadBySuspendedLeaderIsNotOlder(t *testing.T) {
	n := standin.NewNetwork()
	hosts := startReplicatedHosts(t, n, 3)
	old := putConfig(t, hosts, nil, 1)
	old.clock.stopped.Store(true)
	n.SetCut(old.id, true)
	putConfig(t, hosts, old, 2)
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	if a := old.d.GetConfig(ctx); a.Code == Done && a.Version < 2 {
		t.Errorf("the host that led reads version %d, but version 2 was acknowledged", a.Version)
	}
	n.SetCut(old.id, false)
	waitUntil(t, "the host that led to learn of its successor", func() bool { return old.d.GetConfig(t.Context()).Code == NotLeader })
	old.clock.stopped.Store(false)
}
