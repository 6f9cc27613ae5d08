package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"gooseberrypond/platform/standin"
)

// ledger records what minions do, and when a task was last started on a minion.
type ledger struct {
	rec *record
	// started is told of each start; nil if nobody asks.
	started func(worker, task string, run int)
	// ended is told of each end; nil if nobody asks.
	ended func(worker, task string)
	// noted is told of each end of which the system has taken note; nil if nobody asks.
	noted func(worker, task, how string)
}

func (l *ledger) Lived(worker, what string) { l.rec.log("minion %s %s", worker, what) }
func (l *ledger) Started(worker, task string, run int, _ int64) {
	l.rec.log("minion %s starts %s run %d", worker, task, run)
	if l.started != nil {
		l.started(worker, task, run)
	}
}
func (l *ledger) Ended(worker, task string, run int, how string) {
	l.rec.log("minion %s ends %s run %d: %s", worker, task, run, how)
	if l.ended != nil {
		l.ended(worker, task)
	}
}
func (l *ledger) Noted(worker, task string, run int, how string) {
	l.rec.log("minion %s: end %s of %s run %d was taken note of", worker, how, task, run)
	if l.noted != nil {
		l.noted(worker, task, how)
	}
}

const (
	// heartbeatPause is the time between two heartbeats of a minion.
	heartbeatPause = 1100 * time.Millisecond
	// heartbeatWait is how long a minion waits for the answer to a heartbeat.
	heartbeatWait = time.Second
	// heartbeatRetry is the pause after a heartbeat without an acknowledgement.
	heartbeatRetry = 100 * time.Millisecond
	// plainLabels are the labels in the heartbeats of a standin.Worker.
	plainLabels = `["a","r1"]`
	// plainRemaining is the time until it leaves, in milliseconds, that a standin.Worker says.
	plainRemaining = `"remaining_ms":2000`
)

// minion is a worker behind a front that can hang: calls that arrive while it hangs, or that
// are open then, are never answered, and what arrives is not carried out. Its heartbeats go on.
type minion struct {
	*standin.Worker
	labels  string
	rec     *record
	target  atomic.Pointer[string]
	forward http.Client
	hanging atomic.Bool
	// silent is set while it sends no heartbeats; answered counts the calls that it has
	// answered after they came to it.
	silent   atomic.Bool
	answered atomic.Int64
	// late is what is done with the next order to start a task; nil if nothing special.
	late atomic.Pointer[lateOrder]
	// drainAcked is when a heartbeat that says that the minion drains was acknowledged, in
	// nanoseconds since 1970; 0 if none was.
	draining   atomic.Bool
	drainAcked atomic.Int64
	leavesAt   atomic.Pointer[time.Time]
	beatNow    chan struct{}
}

// newMinion starts a minion. Without labels it has those of a standin.Worker.
func newMinion(p *platform, id, zone, labels string, cpu int64, seed uint64, l standin.Ledger) (*minion, error) {
	w, err := standin.NewWorker(standin.WorkerConfig{ID: id, Domain: zone, CPUMilli: cpu, LeaseMax: time.Duration(p.leaseMS) * time.Millisecond, Seed: seed}, l)
	if err != nil {
		return nil, err
	}
	m := &minion{Worker: w, labels: labels, rec: p.rec, beatNow: make(chan struct{}, 1)}
	m.forward.Transport = &http.Transport{MaxIdleConnsPerHost: 8}
	_, address, _ := w.Life()
	m.target.Store(&address)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.SetAddress(ln.Addr().String())
	go func() { _ = (&http.Server{Handler: m}).Serve(ln) }() // ends with the process
	return m, nil
}

// ServeHTTP passes a call on to the worker.
func (m *minion) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if m.hanging.Load() {
		m.rec.log("minion %s hangs: %s isn't answered and not carried out", m.ID, r.URL.Path)
		<-r.Context().Done()
		return
	}
	if o := m.late.Load(); o != nil && strings.HasSuffix(r.URL.Path, startPath) && m.late.CompareAndSwap(o, nil) {
		m.carryOutLate(r, body, o)
		panic(http.ErrAbortHandler) // closes the connection without an answer
	}
	status, answer, err := m.pass(r.Context(), r, body)
	if m.hanging.Load() {
		<-r.Context().Done()
		return
	}
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	rw.WriteHeader(status)
	if _, err := rw.Write(answer); err != nil {
		m.rec.log("minion %s: an answer could not be written: %v", m.ID, err)
	}
	if err := http.NewResponseController(rw).Flush(); err != nil {
		m.rec.log("minion %s: an answer could not be sent: %v", m.ID, err)
	}
	m.answered.Add(1)
}

func (m *minion) pass(ctx context.Context, r *http.Request, body []byte) (int, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+*m.target.Load()+r.URL.Path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	req.Header = r.Header.Clone()
	resp, err := m.forward.Do(req)
	if err != nil {
		return 0, nil, err
	}
	answer, err := io.ReadAll(resp.Body)
	return resp.StatusCode, answer, errors.Join(err, resp.Body.Close())
}

// drain makes the minion say, at once, that it drains and serves on for the given time.
func (m *minion) drain(serves time.Duration) {
	leaves := time.Now().Add(serves)
	m.leavesAt.Store(&leaves)
	m.Drain()
	m.draining.Store(true)
	select {
	case m.beatNow <- struct{}{}:
	default:
	}
}

// beat sends heartbeats until stop is closed.
func (m *minion) beat(controls []*host, first int, stop chan struct{}) {
	c := newCaller("", heartbeatWait)
	for i := first; ; {
		if m.silent.Load() {
			select {
			case <-stop:
				return
			case <-time.After(heartbeatRetry):
			}
			continue
		}
		drains := m.draining.Load()
		body := m.Heartbeat("svc")
		if m.labels != "" {
			body = strings.Replace(body, plainLabels, m.labels, 1)
		}
		if at := m.leavesAt.Load(); at != nil {
			left := max(0, time.Until(*at).Milliseconds())
			body = strings.Replace(body, plainRemaining, fmt.Sprintf(`"remaining_ms":%d`, left), 1)
		}
		h := controls[i%len(controls)]
		status, _ := c.call("PUT", h.address(2), "/instances/"+m.ID, body)
		pause := heartbeatPause
		if status != http.StatusOK {
			i++
			pause = heartbeatRetry
		} else if drains && m.drainAcked.CompareAndSwap(0, time.Now().UnixNano()) {
			m.rec.say("%s has acknowledged that minion %s drains", h.name, m.ID)
		}
		select {
		case <-stop:
			return
		case <-m.beatNow:
		case <-time.After(pause):
		}
	}
}

// startMinions starts minions that send heartbeats until stop is closed. The last one also
// has the labels that are given.
func startMinions(p *platform, controls []*host, l standin.Ledger, n int, cpu int64, lastLabels string, stop chan struct{}) ([]*minion, error) {
	var out []*minion
	for i := range n {
		labels := ""
		if i == n-1 {
			labels = lastLabels
		}
		m, err := newMinion(p, fmt.Sprintf("i-%04d", i), fmt.Sprintf("z%d", i%3+1), labels, cpu, uint64(i), l)
		if err != nil {
			return nil, err
		}
		out = append(out, m)
		go m.beat(controls, i, stop)
	}
	return out, nil
}
