package main

import (
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"time"

	"gooseberrypond/platform/standin"
)

func init() { cases["gang"] = playGang }

const (
	// gangMinions is the number of minions; one of them is within the share of the site.
	gangMinions = 16
	// gangCPU is what each of them has, in thousandths of a core.
	gangCPU = 32000
	// gangLabels are those of the only minion on which the gang may run.
	gangLabels = `["a","b","r1"]`
	// settleTime is how long all run before the case begins.
	settleTime = 6 * time.Second
	// hangTime is how long the minion hangs: the longest of the site.
	hangTime = 5500 * time.Millisecond
	// drainTime is the rule's bound: drain_ms.
	drainTime = 2 * time.Second
	// drainDelay is the time from the submission to the notice that the minion drains.
	drainDelay = 400 * time.Millisecond
	// servesOn is how much longer the minion serves when it begins to drain.
	servesOn = 12 * time.Second
	// watchTime is how long starts are watched after the hang. It is shorter than
	// gang_timeout_ms, so that no run of the gang has to end yet.
	watchTime = 2500 * time.Millisecond
	// firstOrderLimit bounds the first order to the system.
	firstOrderLimit = 20 * time.Second
)

// playGang: a minion hangs as a gang is sent to it, and drains. The rule: no start later than
// drain_ms after the acknowledgement that it drains.
func playGang(e *env) (int, error) {
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
	var last atomic.Pointer[minion]
	var late, starts atomic.Int64
	l := &ledger{rec: e.rec, started: func(worker, task string, run int) {
		m := last.Load()
		if m == nil || !strings.HasPrefix(worker, m.ID+"#") {
			return
		}
		starts.Add(1)
		acked := m.drainAcked.Load()
		if after := time.Since(time.Unix(0, acked)); acked != 0 && after > drainTime {
			late.Add(1)
			e.rec.log("RULE BROKEN: %s run %d starts on %s %v after the acknowledgement that it drains", task, run, worker, after.Round(time.Millisecond))
		}
	}}
	minions, err := startMinions(p, controls, l, gangMinions, gangCPU, gangLabels, stop)
	if err != nil {
		return failed, err
	}
	m := minions[len(minions)-1]
	last.Store(m)
	if !configure(controls) {
		e.rec.say("no configuration was acknowledged")
		return failed, nil
	}
	time.Sleep(settleTime)
	body, err := os.ReadFile(filepath.Join(e.files, "gang.json"))
	if err != nil {
		return failed, err
	}
	client := newCaller(standin.QueueHost, 3*time.Second)
	if e.trouble {
		e.rec.say("minion %s hangs", m.ID)
		m.hanging.Store(true)
		time.AfterFunc(hangTime, func() {
			e.rec.say("minion %s answers again", m.ID)
			m.hanging.Store(false)
		})
	}
	hungAt := time.Now()
	status, answer := client.call(http.MethodPost, entries[0].address(3), "/batch/"+jobID(1), string(body))
	e.rec.say("the job was sent; answer %d %s", status, answer)
	if status/100 != 2 {
		return failed, nil
	}
	time.Sleep(drainDelay)
	e.rec.say("minion %s says that it drains", m.ID)
	m.drain(servesOn)
	time.Sleep(time.Until(hungAt.Add(hangTime + watchTime)))
	_, state := client.call(http.MethodGet, entries[1].address(3), "/batch/"+jobID(1), "")
	e.rec.say("the job: %s", state)
	e.rec.say("%d starts on minion %s, %d of them later than %v after the acknowledgement that it drains", starts.Load(), m.ID, late.Load(), drainTime)
	switch {
	case m.drainAcked.Load() == 0 || !e.trouble && starts.Load() == 0:
		return failed, nil
	case late.Load() > 0:
		return broken, nil
	}
	return held, nil
}

// configure sends the first configuration until it is acknowledged.
func configure(controls []*host) bool {
	op := standin.NewClient(2 * time.Second)
	cfg := &standin.Config{Version: 1, Pool: "svc", Queues: []string{"/batch/"}}
	for i, end := 0, time.Now().Add(firstOrderLimit); time.Now().Before(end); i++ {
		if op.PutConfig(controls[i%len(controls)].address(2), cfg).Status == http.StatusOK {
			return true
		}
		time.Sleep(50 * time.Millisecond)
	}
	return false
}
