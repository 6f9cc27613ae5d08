package main

import (
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"gooseberrypond/platform/standin"
)

func init() { cases["crash"] = playCrash }

const (
	// crashMinions is the number of minions; one of them is within the share of the site.
	crashMinions, crashCPU = 16, 32000
	// crashes is how many minions crash, one after the other.
	crashes = 5
	// downTime is how long each of them is down.
	downTime = 2 * time.Second
	// runTime is how long the task runs on a minion before that one crashes.
	runTime = 6 * time.Second
	// moveTime bounds the time until the task runs again after a crash.
	moveTime = 25 * time.Second
	// lastWait is the time from the last crash to the last look at the job.
	lastWait = 6 * time.Second
)

// playCrash: the minion on which a task that lasts runs crashes, several times. The rule: no
// job is shown as failed without ends that say so.
func playCrash(e *env) (int, error) {
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
	l := &ledger{rec: e.rec, started: func(worker, task string, run int) { d.begin(worker, task, run) }, ended: d.ended}
	minions, err := startMinions(p, controls, l, crashMinions, crashCPU, "", stop)
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
	look := func() string {
		status, answer := client.call(http.MethodGet, entries[1].address(3), "/batch/"+jobID(1), "")
		e.rec.say("the job: answer %d %s", status, answer)
		return answer
	}
	status, answer := client.call(http.MethodPost, entries[0].address(3), "/batch/"+jobID(1), string(body))
	e.rec.say("the job was sent; answer %d %s", status, answer)
	if status/100 != 2 {
		return failed, nil
	}
	hit := 0
	for range crashes {
		m := d.busy(minions, moveTime)
		if m == nil {
			e.rec.say("the task runs on no minion")
			break
		}
		time.Sleep(runTime)
		look()
		if !e.trouble {
			continue
		}
		e.rec.say("minion %s crashes", m.ID)
		hit++
		m.crash(downTime, 0)
	}
	time.Sleep(lastWait)
	state := look()
	e.rec.say("%d minions crashed; no run ended as failed", hit)
	switch {
	case strings.Contains(state, "failed"):
		e.rec.log("RULE BROKEN: the job is shown as failed")
		return broken, nil
	case !strings.Contains(state, "running") && !strings.Contains(state, "queued") || e.trouble && hit < crashes:
		return failed, nil
	}
	return held, nil
}

// begin takes note of a run, whatever else runs.
func (d *doubles) begin(worker, task string, run int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.runs[task] == nil {
		d.runs[task] = map[string]int{}
	}
	d.runs[task][worker] = run
}

// busy waits for a minion that runs a task.
func (d *doubles) busy(minions []*minion, limit time.Duration) *minion {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		for _, m := range minions {
			if d.on(m.ID) > 0 {
				return m
			}
		}
	}
	return nil
}

// crash ends the minion's life; after the given time the next one begins under the same
// id, and sends its first heartbeat a while later.
func (m *minion) crash(down, firstBeat time.Duration) {
	m.silent.Store(true)
	m.Die()
	time.Sleep(down)
	if err := m.Return(); err != nil {
		m.rec.say("minion %s can't return: %v", m.ID, err)
		return
	}
	_, address, _ := m.Life()
	m.target.Store(&address)
	time.AfterFunc(firstBeat, func() { m.silent.Store(false) })
}
