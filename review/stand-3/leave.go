package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"gooseberrypond/platform/standin"
)

func init() { cases["leave"] = playLeave }

const (
	// leaveMinions is the number of minions; one of them is within the share of the site.
	leaveMinions, leaveCPU = 16, 32000
	// leaveServes is how long a minion serves after the acknowledgement that it drains.
	leaveServes = 3 * time.Second
	// leaveLinger is how long a minion works on that gets no acknowledgement when it leaves.
	leaveLinger = 4 * time.Second
	// beginTime is how long the job's tasks get to begin, and leaveWatch how long the case is
	// watched after a minion has left.
	beginTime, leaveWatch = 3 * time.Second, 3 * time.Second
	// watchPause is the time between two looks at what is to happen.
	watchPause = 100 * time.Microsecond
)

// doubles finds tasks that run twice at the same time.
type doubles struct {
	rec   *record
	mu    sync.Mutex
	runs  map[string]map[string]int // by task, the run on each minion's life
	found atomic.Int64
}

func (d *doubles) started(worker, task string, run int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.runs[task] == nil {
		d.runs[task] = map[string]int{}
	}
	for other, n := range d.runs[task] {
		d.found.Add(1)
		d.rec.log("RULE BROKEN: %s run %d starts on %s while run %d goes on on %s", task, run, worker, n, other)
	}
	d.runs[task][worker] = run
}

func (d *doubles) ended(worker, task string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.runs[task], worker)
}

func (d *doubles) on(id string) (n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, runs := range d.runs {
		for worker := range runs {
			if strings.HasPrefix(worker, id+"#") {
				n++
			}
		}
	}
	return n
}

// playLeave: a minion leaves, and is cut off before the acknowledgement reaches it.
func playLeave(e *env) (int, error) {
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
	d := &doubles{rec: e.rec, runs: map[string]map[string]int{}}
	l := &ledger{rec: e.rec, started: d.started, ended: d.ended}
	minions, err := startMinions(p, controls, l, leaveMinions, leaveCPU, "", stop)
	if err != nil {
		return failed, err
	}
	if !configure(controls) {
		e.rec.say("no configuration was acknowledged")
		return failed, nil
	}
	time.Sleep(settleTime)
	body, err := os.ReadFile(filepath.Join(e.files, "job.json"))
	if err != nil {
		return failed, err
	}
	client := newCaller(standin.QueueHost, callWait)
	status, answer := client.call(http.MethodPost, entries[0].address(3), "/batch/"+jobID(1), string(body))
	e.rec.say("the job was sent; answer %d %s", status, answer)
	if status/100 != 2 {
		return failed, nil
	}
	time.Sleep(beginTime)
	m := minions[0]
	if d.on(m.ID) == 0 {
		e.rec.say("minion %s has no run", m.ID)
		return failed, nil
	}
	e.rec.say("minion %s with %d runs says that it drains", m.ID, d.on(m.ID))
	m.drain(leaveServes)
	time.Sleep(leaveServes)
	cut := leave(e, p, m, controls[0], d) || !e.trouble
	time.Sleep(leaveWatch)
	e.rec.say("%d times a task was started while a run of it went on", d.found.Load())
	switch {
	case !cut:
		e.rec.say("the minion was not cut off in time")
		return failed, nil
	case d.found.Load() > 0:
		return broken, nil
	}
	return held, nil
}

// leave lets a minion leave by a link to a control host. With trouble the minion is cut off
// from the whole system as soon as it has answered a call that came after its notice, unless
// it has the acknowledgement by then. It reports whether it was cut off.
func leave(e *env, p *platform, m *minion, h *host, d *doubles) bool {
	way, err := newLink(fmt.Sprintf("%s.%d:%d", p.net, 31, p.port+2), h.address(2))
	if err != nil {
		e.rec.say("no link: %v", err)
		return false
	}
	var acked, over atomic.Bool
	if e.trouble {
		before := m.answered.Load()
		go func() {
			for m.answered.Load() == before && !over.Load() {
				time.Sleep(watchPause)
			}
			if acked.Load() || over.Load() {
				return
			}
			way.setCut(true)
			m.hanging.Store(true)
			m.silent.Store(true)
			e.rec.say("minion %s is cut off", m.ID)
		}()
	}
	e.rec.say("minion %s with %d runs leaves: notice to %s", m.ID, d.on(m.ID), h.name)
	status, _ := newCaller("", heartbeatWait).call(http.MethodDelete, way.ln.Addr().String(), "/instances/"+m.ID, "")
	acked.Store(status == http.StatusOK)
	over.Store(true)
	e.rec.say("minion %s: answer to its notice: %d", m.ID, status)
	wasCut := m.hanging.Load()
	if status != http.StatusOK {
		time.Sleep(leaveLinger - heartbeatWait)
	}
	e.rec.say("minion %s ends with %d runs", m.ID, d.on(m.ID))
	m.silent.Store(true)
	m.Close()
	way.setCut(false)
	return wasCut && status != http.StatusOK
}
