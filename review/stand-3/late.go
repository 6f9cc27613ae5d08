package main

import (
	"bytes"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"gooseberrypond/platform/standin"
)

func init() { cases["late"] = playLate }

const (
	// lateMinions is the number of minions; one of them is within the shares of the site.
	lateMinions, lateCPU = 16, 32000
	// lateLabels are those of the only minion on which the task may run.
	lateLabels = `["a","b","r1"]`
	// lateTime is how late the order is carried out, the least that the pages name and a bit.
	lateTime = 2100 * time.Millisecond
	// lateCrash is when after the order the minion crashes, and lateDown how long it is down.
	lateCrash, lateDown = 1500 * time.Millisecond, 400 * time.Millisecond
	// firstHeartbeat is when after its start the minion sends its first heartbeat.
	firstHeartbeat = 900 * time.Millisecond
	// lateWatch is how long starts are watched after the order.
	lateWatch = 8 * time.Second
	// startPath is the end of the path of an order that starts a task.
	startPath = "-start"
)

// lateOrder is what a minion does with its next order to start a task: no answer, and it is
// carried out late.
type lateOrder struct {
	after time.Duration
	sent  func()
}

// carryOutLate keeps a call from the worker for a time, and gives it to the life that goes on
// then.
func (m *minion) carryOutLate(r *http.Request, body []byte, o *lateOrder) {
	path, header := r.URL.Path, r.Header.Clone()
	m.rec.say("minion %s: an order gets no answer and will be carried out %v late", m.ID, o.after)
	time.AfterFunc(o.after, func() {
		req, err := http.NewRequest(http.MethodPost, "http://"+*m.target.Load()+path, bytes.NewReader(body))
		if err != nil {
			m.rec.say("the late order can't be carried out: %v", err)
			return
		}
		req.Header = header
		resp, err := m.forward.Do(req)
		if err != nil {
			m.rec.say("the late order was not carried out: %v", err)
			return
		}
		answer, err := io.ReadAll(resp.Body)
		m.rec.say("minion %s carries the late order out: its answer, which nobody gets, is %d %s", m.ID, resp.StatusCode, answer)
		if err != nil {
			m.rec.log("minion %s: %v", m.ID, err)
		}
		if err := resp.Body.Close(); err != nil {
			m.rec.log("minion %s: %v", m.ID, err)
		}
	})
	o.sent()
}

// playLate: an order to start a task gets no answer and is carried out late; in between the
// task is done on a second order, and the minion crashes and is back.
func playLate(e *env) (int, error) {
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
	var mu sync.Mutex
	done := map[string]bool{}
	var late, noted atomic.Int64
	l := &ledger{rec: e.rec, started: func(worker, task string, run int) {
		mu.Lock()
		defer mu.Unlock()
		if done[task] {
			late.Add(1)
			e.rec.log("RULE BROKEN: %s run %d starts on %s, after a run of it has ended done, of which the system has taken note", task, run, worker)
		}
	}, noted: func(_, task, how string) {
		mu.Lock()
		defer mu.Unlock()
		if how == "done" {
			done[task] = true
			noted.Add(1)
		}
	}}
	minions, err := startMinions(p, controls, l, lateMinions, lateCPU, lateLabels, stop)
	if err != nil {
		return failed, err
	}
	if !configure(controls) {
		e.rec.say("no configuration was acknowledged")
		return failed, nil
	}
	time.Sleep(settleTime)
	m := minions[len(minions)-1]
	body, err := os.ReadFile(filepath.Join(e.files, "job.json"))
	if err != nil {
		return failed, err
	}
	ordered := make(chan struct{})
	if e.trouble {
		m.late.Store(&lateOrder{lateTime, func() { close(ordered) }})
	}
	client := newCaller(standin.QueueHost, callWait)
	status, answer := client.call(http.MethodPost, entries[0].address(3), "/batch/"+jobID(1), string(body))
	e.rec.say("the job was sent; answer %d %s", status, answer)
	if status/100 != 2 {
		return failed, nil
	}
	if e.trouble {
		select {
		case <-ordered:
		case <-time.After(callWait):
			e.rec.say("no order came")
			return failed, nil
		}
		time.Sleep(lateCrash)
		if noted.Load() == 0 {
			e.rec.say("the system has taken note of no end in time")
			return failed, nil
		}
		e.rec.say("minion %s crashes", m.ID)
		m.crash(lateDown, firstHeartbeat)
		e.rec.say("minion %s is back", m.ID)
	}
	time.Sleep(lateWatch)
	status, answer = client.call(http.MethodGet, entries[1].address(3), "/batch/"+jobID(1), "")
	e.rec.say("the job: answer %d %s", status, answer)
	e.rec.say("%d starts after an end that the system had taken note of", late.Load())
	switch {
	case late.Load() > 0:
		return broken, nil
	case noted.Load() == 0:
		return failed, nil
	}
	return held, nil
}
