package relay

import (
	"context"
	"testing"

	"github.com/rs/zerolog"

	"gooseberrypond/host/dispatcher"
)

// restartedGroup is the group of a host that knows the other control hosts from its log.
type restartedGroup struct{ info Info }

func (g restartedGroup) Info() Info { return g.info }

func (restartedGroup) Join(context.Context, string, string) error { return nil }

func (restartedGroup) Leave(context.Context, string) error { return nil }

// Guards against a control host that is restarted after all of its seeds were replaced,
// and refuses every call: it must ask the hosts of its own group which of them leads.
func TestControlHostAsksItsOwnGroup(t *testing.T) {
	leader := &electingControl{}
	leader.asked.Store(1)
	address := serveControl(t, leader)
	const gone, self = "127.0.0.1:1", "127.0.0.1:2"
	c := newTestClient(gone)
	c.SetLocal(self, &Server{d: dispatcher.New(dispatcher.Config{Logger: zerolog.Nop()}), group: restartedGroup{Info{Hosts: []string{address, self}}}})
	for rounds := 0; !c.findLeader(t.Context()); rounds++ {
		if rounds > 100 {
			t.Fatal("the leader was not found")
		}
	}
	if c.Leader() != address {
		t.Fatalf("found leader %q, want %q", c.Leader(), address)
	}
}
