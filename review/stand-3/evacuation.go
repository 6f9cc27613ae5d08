package main

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"gooseberrypond/platform/standin"
)

func init() { cases["evacuation"] = playEvacuation }

const (
	// evacMinions is the number of minions, a third of them in each zone.
	evacMinions, evacCPU = 12, 32000
	// evacZone is the zone that is evacuated.
	evacZone = "z1"
	// evacTime is the bound of the rule EVAC.
	evacTime = 5 * time.Second
	// contactTime is how long a machine has to be undisturbed to be in touch: contact_ms.
	contactTime = 3 * time.Second
	// slack is added to the bounds, for the time that the case itself takes.
	slack = 100 * time.Millisecond
	// operatorWait is how long the operator waits for an answer before it tries another host.
	operatorWait = time.Second
	// cutTime is how long the way between two control hosts is cut, freezeDelay when after its
	// begin the one of them freezes, and freezeTime for how long.
	cutTime, freezeDelay, freezeTime = 2 * time.Second, 150 * time.Millisecond, 3500 * time.Millisecond
	// orderDelay is the time from the cut to the operator's order.
	orderDelay = 20 * time.Millisecond
	// jobPause is the time between two jobs of the client.
	jobPause = 150 * time.Millisecond
	// evacWatch is how long starts are watched after the last acknowledgement.
	evacWatch = 14 * time.Second
	// routeTries is how often the host is started until it reaches the leader by the link.
	routeTries = 6
)

// playEvacuation: the operator takes an evacuation back and soon evacuates again. The first
// host that it asks is cut off from the leader and then freezes.
func playEvacuation(e *env) (int, error) {
	p, err := newPlatform(e.binary, e.dir, e.rec)
	if err != nil {
		return failed, err
	}
	defer p.end()
	controls, entries := p.add("control", 3, 280), p.add("entry", 2, 284)
	p.losses = 1
	if err := p.startAll(); err != nil {
		return failed, err
	}
	stop := make(chan struct{})
	defer close(stop)
	var judgedFrom, late atomic.Int64
	zones := map[string]string{}
	l := &ledger{rec: e.rec, started: func(worker, task string, run int) {
		id, _, _ := strings.Cut(worker, "#")
		from := judgedFrom.Load()
		if zones[id] == evacZone && from != 0 && time.Now().UnixNano() > from {
			late.Add(1)
			e.rec.log("RULE BROKEN: %s run %d starts on %s in the evacuated zone", task, run, worker)
		}
	}}
	for i := range evacMinions {
		zones[fmt.Sprintf("i-%04d", i)] = fmt.Sprintf("z%d", i%3+1)
	}
	if _, err := startMinions(p, controls, l, evacMinions, evacCPU, "", stop); err != nil {
		return failed, err
	}
	if !configure(controls) {
		e.rec.say("no configuration was acknowledged")
		return failed, nil
	}
	time.Sleep(settleTime)
	leader, first, second := rolesOf(controls)
	if leader == nil {
		e.rec.say("no control host says that it leads")
		return failed, nil
	}
	way, err := route(e, p, controls, first, leader)
	if err != nil {
		return failed, err
	}
	body, err := os.ReadFile(filepath.Join(e.files, "ordinary.json"))
	if err != nil {
		return failed, err
	}
	var client sync.WaitGroup
	client.Go(func() { sendJobs(e, entries, string(body), stop) })
	time.Sleep(settleTime)
	if now, _, _ := rolesOf(controls); now != leader {
		e.rec.say("the leader has changed before the case")
		return failed, nil
	}
	op := newCaller("", operatorWait)
	path := "/evacuate/" + evacZone
	order := func(method string, hosts ...*host) bool {
		for i := 0; i < 2*len(hosts); i++ {
			h := hosts[i%len(hosts)]
			e.rec.say("operator: %s %s to %s", method, path, h.name)
			status, _ := op.call(method, h.address(2), path, "")
			e.rec.say("operator: %s answers %d", h.name, status)
			if status == http.StatusOK {
				return true
			}
		}
		return false
	}
	if !order(http.MethodPost, second) {
		return failed, nil
	}
	time.Sleep(evacTime + time.Second)
	thaw := time.Now()
	if e.trouble {
		e.rec.say("the way between %s and the leader %s is cut", first.name, leader.name)
		way.setCut(true)
		thaw = thaw.Add(freezeDelay + freezeTime)
		time.AfterFunc(freezeDelay, func() { e.rec.say("%s freezes", first.name); first.pause() })
		time.AfterFunc(cutTime, func() { e.rec.say("the cut has ended"); way.setCut(false) })
		time.AfterFunc(freezeDelay+freezeTime, func() { e.rec.say("%s goes on", first.name); first.resume() })
	}
	time.Sleep(orderDelay)
	if !order(http.MethodDelete, first, second) || !order(http.MethodPost, second) {
		return failed, nil
	}
	acked := time.Now()
	from := acked.Add(evacTime + slack)
	if inTouch := thaw.Add(contactTime + slack); inTouch.After(from) {
		from = inTouch
	}
	judgedFrom.Store(from.UnixNano())
	time.Sleep(evacWatch)
	now, _, _ := rolesOf(controls)
	e.rec.say("the leader is still %s: %v", leader.name, now == leader)
	e.rec.say("%d starts in the zone later than %v after its evacuation was acknowledged", late.Load(), evacTime)
	if late.Load() > 0 {
		return broken, nil
	}
	return held, nil
}

// rolesOf returns the leader and the other control hosts; nil if none says that it leads.
func rolesOf(controls []*host) (leader, first, second *host) {
	c := standin.NewClient(time.Second)
	for i, h := range controls {
		if c.Leading(fmt.Sprintf("%s:%d", h.ip, metricsPort)) {
			return h, controls[(i+1)%len(controls)], controls[(i+2)%len(controls)]
		}
	}
	return nil, nil, nil
}

// route makes a control host reach the leader by a link: its settings name the other end of
// links as seeds, and it is started again until it uses that of the leader.
func route(e *env, p *platform, controls []*host, from, leader *host) (*link, error) {
	var way *link
	from.seeds = nil
	for i, h := range controls {
		if h == from {
			continue
		}
		ip := fmt.Sprintf("%s.%d", p.net, 21+i)
		l, err := newLink(fmt.Sprintf("%s:%d", ip, p.port), h.address(0))
		if err != nil {
			return nil, err
		}
		from.seeds = append(from.seeds, fmt.Sprintf("%s:%d", ip, p.port+2))
		if h == leader {
			way = l
		}
	}
	for range routeTries {
		from.term()
		if err := from.start(); err != nil {
			return nil, err
		}
		time.Sleep(settleTime)
		log, err := os.ReadFile(filepath.Join(from.dir, "log"))
		if err != nil {
			return nil, err
		}
		at := bytes.LastIndex(log, []byte(`"leader found"`))
		line := log[bytes.LastIndexByte(log[:max(at, 0)], '\n')+1 : max(at, 0)]
		e.rec.log("%s: %s", from.name, line)
		host, _, err := net.SplitHostPort(way.ln.Addr().String())
		if err != nil {
			return nil, err
		}
		if bytes.Contains(line, []byte(host+":")) {
			return way, nil
		}
	}
	return nil, fmt.Errorf("%s doesn't reach the leader by the link", from.name)
}

// sendJobs hands in small jobs until stop is closed.
func sendJobs(e *env, entries []*host, body string, stop chan struct{}) {
	c := newCaller(standin.QueueHost, callWait)
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(jobPause):
		}
		status, _ := c.call(http.MethodPost, entries[n%len(entries)].address(3), "/batch/"+jobID(n), body)
		e.rec.log("client: job %s sent; answer %d", jobID(n), status)
	}
}
