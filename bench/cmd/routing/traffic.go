package main

import (
	"context"
	"encoding/gob"
	"fmt"
	"time"

	"gooseberrypond/core/route"
	"gooseberrypond/core/structs"
)

// trafficCmd measures the size of syncs and views as net/rpc encodes them.
type trafficCmd struct {
	Hosts   int `help:"Entry hosts that share the upstreams." default:"8"`
	Running int `help:"Requests in flight on each host." default:"30"`
	Syncs   int `help:"Syncs of each host." default:"50"`
}

// counter counts what is written.
type counter struct{ bytes int }

// Write implements io.Writer.
func (c *counter) Write(b []byte) (int, error) {
	c.bytes += len(b)
	return len(b), nil
}

// Run implements the command. Encoders live as long as connections do, so
// types are sent once.
func (c *trafficCmd) Run() error {
	var names []string
	for i := range c.Hosts {
		names = append(names, fmt.Sprintf("entry-%d", i))
	}
	l := newLeader(names, "10.0.0.1:8080")
	routers := make([]*route.Router, c.Hosts)
	var up, down counter
	upEnc, downEnc := gob.NewEncoder(&up), gob.NewEncoder(&down)
	for i := range routers {
		routers[i] = route.New(names[i], uint64(i+1))
	}
	warm := c.Syncs / 2
	for n := range c.Syncs {
		if n == warm {
			up.bytes, down.bytes = 0, 0
		}
		for _, r := range routers {
			if err := c.sync(l, r, upEnc, downEnc); err != nil {
				return err
			}
		}
	}
	perSecond := float64(time.Second/structs.EntrySyncInterval) / float64((c.Syncs-warm)*c.Hosts)
	fmt.Printf("per host: sent %.1f KB/s, received %.1f KB/s\n", float64(up.bytes)*perSecond/1000, float64(down.bytes)*perSecond/1000)
	return nil
}

// sync makes one sync of a host and keeps its requests in flight.
func (c *trafficCmd) sync(l *leader, r *route.Router, up, down *gob.Encoder) error {
	now := time.Now()
	req := r.PrepareSync(now)
	if err := up.Encode(req); err != nil {
		return err
	}
	view, err := l.Sync(context.Background(), req)
	if err != nil {
		return err
	}
	if err := down.Encode(view); err != nil {
		return err
	}
	r.ApplyView(now, view)
	r.Tick(now)
	for r.InFlight() < c.Running {
		if d := r.Admit(now, route.Request{Owner: "owner-000", Entry: "booking"}); d.Action != route.ActionStart {
			break
		}
	}
	return nil
}
