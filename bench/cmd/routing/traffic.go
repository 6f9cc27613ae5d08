package main

import (
	"encoding/gob"
	"fmt"
	"slices"
	"time"

	"gooseberrypond/core/route"
	"gooseberrypond/core/structs"
)

// trafficCmd measures the size of syncs and views in gob, the encoding of net/rpc,
// and the time that the leader takes to answer a sync.
type trafficCmd struct {
	Hosts     int `help:"Entry hosts that share the upstreams." default:"8"`
	Upstreams int `help:"Number of upstreams." default:"65"`
	Running   int `help:"Requests in flight on each host." default:"30"`
	Ended     int `help:"Requests of each host that end and are replaced between two syncs." default:"0"`
	Syncs     int `help:"Syncs of each host." default:"50"`

	control        *control
	now            time.Time // virtual; advances by the sync interval
	sent, received byteCounter
	sentEnc        *gob.Encoder
	receivedEnc    *gob.Encoder
	took           []time.Duration
}

// byteCounter is an io.Writer that counts the bytes written.
type byteCounter struct{ bytes int }

// Write implements io.Writer.
func (c *byteCounter) Write(b []byte) (int, error) {
	c.bytes += len(b)
	return len(b), nil
}

// loadedHost is an entry host with its requests in flight, oldest first.
type loadedHost struct {
	*route.Router
	inFlight []route.AttemptID
}

// Run implements the command. All hosts share one encoder for each direction, which
// sends type descriptions once, as on a long-lived connection. The first half of
// the syncs is warm-up and is not counted.
func (c *trafficCmd) Run() error {
	var names []string
	var hosts []*loadedHost
	for i := range c.Hosts {
		names = append(names, fmt.Sprintf("entry-%d", i))
		hosts = append(hosts, &loadedHost{Router: route.New(names[i], uint64(i+1))})
	}
	c.now = time.Now()
	var err error
	if c.control, err = newControl(c.now, names, c.Upstreams, "10.0.0.1:8080"); err != nil {
		return err
	}
	c.sentEnc, c.receivedEnc = gob.NewEncoder(&c.sent), gob.NewEncoder(&c.received)
	warmUp := c.Syncs / 2
	for n := range c.Syncs {
		if n == warmUp {
			c.sent.bytes, c.received.bytes, c.took = 0, 0, nil
		}
		if err := c.round(hosts); err != nil {
			return err
		}
	}
	perSecond := float64(time.Second/structs.EntrySyncInterval) / float64((c.Syncs-warmUp)*c.Hosts)
	fmt.Printf("per host: sent %.1f KB/s, received %.1f KB/s\n", float64(c.sent.bytes)*perSecond/1000, float64(c.received.bytes)*perSecond/1000)
	slices.Sort(c.took)
	fmt.Printf("leader: %v per sync at the median, %d syncs\n", c.took[len(c.took)/2], len(c.took))
	return nil
}

// round advances the clock and makes one sync for each host.
func (c *trafficCmd) round(hosts []*loadedHost) error {
	c.now = c.now.Add(structs.EntrySyncInterval)
	if err := c.control.announce(c.now); err != nil {
		return err
	}
	for _, h := range hosts {
		if err := c.sync(h); err != nil {
			return err
		}
	}
	return nil
}

// sync makes one sync for a host, then ends and replaces the oldest of its requests.
func (c *trafficCmd) sync(h *loadedHost) error {
	req := h.PrepareSync(c.now)
	if err := c.sentEnc.Encode(req); err != nil {
		return err
	}
	begun := time.Now()
	view, err := c.control.sync(c.now, req)
	if err != nil {
		return err
	}
	c.took = append(c.took, time.Since(begun))
	if err := c.receivedEnc.Encode(view); err != nil {
		return err
	}
	h.ApplyView(c.now, view)
	h.Tick(c.now)
	for n := 0; n < c.Ended && len(h.inFlight) > 0; n++ {
		h.Commit(h.inFlight[0])
		h.Done(c.now, h.inFlight[0], route.AttemptOK)
		h.inFlight = h.inFlight[1:]
	}
	for len(h.inFlight) < c.Running {
		d := h.Admit(c.now, route.Request{Owner: "owner-000", Entry: "booking"})
		if d.Action != route.ActionStart {
			break
		}
		h.inFlight = append(h.inFlight, d.AttemptID)
	}
	return nil
}
