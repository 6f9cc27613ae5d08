package main

import (
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// setUp is a running system with minions that have registered.
type setUp struct {
	*system
	ledger  *ledger
	minions []*minion
	done    chan struct{}
}

// newSetUp starts control hosts, an entry host and minions of one service.
func newSetUp(rec *record, minions int, queues map[string]string, prepare func(s *setUp, m *minion) error) (*setUp, error) {
	sys, err := newSystem(rec, 3, 2, 1)
	s := &setUp{system: sys, ledger: newLedger(rec), done: make(chan struct{})}
	if err != nil {
		return s, err
	}
	if err := sys.configure(queues); err != nil {
		return s, err
	}
	var beats []string
	for _, h := range sys.control {
		beats = append(beats, h.address(controlPort))
	}
	for i := range minions {
		m, err := newMinion(fmt.Sprintf("i-%d", i+1), "desk", 16000, rec, s.ledger, beats)
		if err != nil {
			return s, err
		}
		s.minions = append(s.minions, m)
		if prepare != nil {
			if err := prepare(s, m); err != nil {
				return s, err
			}
		}
		go m.beat(s.done)
	}
	return s, s.waitFor("all minions are acknowledged", 15*time.Second, func() bool {
		for _, m := range s.minions {
			m.mu.Lock()
			acked := m.acked && m.token > 0
			m.mu.Unlock()
			if !acked {
				return false
			}
		}
		return true
	})
}

func (s *setUp) close() {
	close(s.done)
	if s.system != nil {
		s.end()
	}
	for _, m := range s.minions {
		m.mu.Lock()
		up := m.up
		m.mu.Unlock()
		if up {
			m.crash("ends with the case")
		}
	}
}

func (s *setUp) waitFor(what string, limit time.Duration, ok func() bool) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if ok() {
			return nil
		}
	}
	return fmt.Errorf("waited %s in vain until %s", limit, what)
}

// jobID is the id of the job that a case is about.
const jobID = "5c0e7a21d94b36f8"

// crashes: a task that lasts is on a minion that crashes, and on the next one, and so on. Each
// minion comes back under its id after 4.5 s. The task never ends "failed", so its job must
// not be shown as failed.
func crashes(rec *record, trouble bool) (int, error) {
	s, err := newSetUp(rec, 8, map[string]string{"watch": "desk"}, nil)
	defer s.close()
	if err != nil {
		return cannotRun, err
	}
	c := s.client()
	if r := c.submit("watch", jobID, job("lasting", nil), 10*time.Second); r.status != http.StatusOK {
		return cannotRun, fmt.Errorf("the job was not accepted: %d", r.status)
	}
	task := jobID + ".0.0.0"
	const crashesPlayed, down = 6, 4500 * time.Millisecond
	for n := range crashesPlayed {
		if err := s.waitFor("the task runs", 20*time.Second, func() bool { return s.ledger.place(task) != "" }); err != nil {
			if state, _ := c.state("watch", jobID, 5*time.Second); state == "failed" {
				break
			}
			return cannotRun, err
		}
		time.Sleep(2 * time.Second) // it has been at work for some time
		state, status := c.state("watch", jobID, 5*time.Second)
		rec.note("client: GET -> %d %s", status, state)
		if !trouble {
			continue
		}
		for _, m := range s.minions {
			if m.id == s.ledger.place(task) {
				m.crash(fmt.Sprintf("crash %d", n+1))
				time.Sleep(down)
				if err := m.begin(); err != nil {
					return cannotRun, err
				}
			}
		}
	}
	time.Sleep(3 * time.Second)
	state, status := c.state("watch", jobID, 10*time.Second)
	rec.note("client: GET -> %d %s; nobody has cancelled the job, and no run has ended failed", status, state)
	if state == "failed" || state == "cancelled" || status == http.StatusGone {
		return broken, nil
	}
	return held, nil
}

// link has the two ways between a minion and the system: calls to it, and its own calls to
// each control host.
type link struct {
	in  *proxy
	out []*proxy
}

// loseWayToMinion loses whatever the system sends to the minion, or no more. What the minion
// sends arrives.
func (l *link) loseWayToMinion(lost bool) {
	l.in.drop(lost, false)
	for _, p := range l.out {
		p.drop(false, lost)
	}
}

// newLink puts proxies between a minion and the system.
func newLink(m *minion) (*link, error) {
	l := &link{}
	var err error
	if l.in, err = newProxy("127.0.0.1:0", m.own); err != nil {
		return nil, err
	}
	m.shown = l.in.address()
	var beats []string
	for _, b := range m.beats {
		p, err := newProxy("127.0.0.1:0", b)
		if err != nil {
			return nil, err
		}
		l.out, beats = append(l.out, p), append(beats, p.address())
	}
	m.beats = beats
	return l, nil
}

// leaving: a minion is emptied and taken away while packets to it are lost. Its last call
// arrives, the acknowledgement does not, so it ends some seconds later. Its run must not be
// started elsewhere before.
func leaving(rec *record, trouble bool) (int, error) {
	links := map[*minion]*link{} // 16 minions: one of them is 0.0625 of all
	s, err := newSetUp(rec, 16, map[string]string{"plan": "desk"}, func(_ *setUp, m *minion) error {
		l, err := newLink(m)
		links[m] = l
		return err
	})
	defer s.close()
	if err != nil {
		return cannotRun, err
	}
	const (
		taskMS, estimateMS = 14000, 1000
		remains            = 5 * time.Second         // at least, says the minion
		staysAfterAck      = 2500 * time.Millisecond // drain_ms and a little longer
		cutBefore          = 100 * time.Millisecond
		cutLasts           = 5500 * time.Millisecond
		endsAfter          = 5 * time.Second // without an acknowledgement
	)
	c := s.client()
	body := job("long", map[string]string{"ms": strconv.Itoa(taskMS), "estimate": strconv.Itoa(estimateMS)})
	if r := c.submit("plan", jobID, body, 10*time.Second); r.status != http.StatusOK {
		return cannotRun, fmt.Errorf("the job was not accepted: %d", r.status)
	}
	task := jobID + ".0.0.0"
	if err := s.waitFor("the task runs", 20*time.Second, func() bool { return s.ledger.place(task) != "" }); err != nil {
		return cannotRun, err
	}
	var m *minion
	for _, x := range s.minions {
		if x.id == s.ledger.place(task) {
			m = x
		}
	}
	time.Sleep(500 * time.Millisecond)
	m.drain(remains)
	if err := s.waitFor("the draining minion is acknowledged", 5*time.Second, func() bool { return m.drainAcked() }); err != nil {
		return cannotRun, err
	}
	rec.note("minion %s: draining was acknowledged", m.id)
	time.Sleep(staysAfterAck - cutBefore)
	m.stopBeating()
	if trouble {
		links[m].loseWayToMinion(true)
		rec.note("network: packets to minion %s are lost from now on, for %s; those from it pass", m.id, cutLasts)
	}
	healed := time.AfterFunc(cutLasts, func() {
		links[m].loseWayToMinion(false)
		rec.note("network: packets to minion %s pass again", m.id)
	})
	defer healed.Stop()
	time.Sleep(cutBefore)
	left := time.Now()
	rec.note("minion %s: sends its notice that it leaves", m.id)
	if m.tell(http.MethodDelete, "") {
		rec.note("minion %s: its notice was acknowledged", m.id)
	} else {
		rec.note("minion %s: no acknowledgement of its notice; it ends %s after it", m.id, endsAfter)
		time.Sleep(time.Until(left.Add(endsAfter)))
	}
	m.crash("leaves")
	time.Sleep(3 * time.Second)
	if n := s.ledger.ranTwice(); n > 0 {
		return broken, nil
	}
	return held, nil
}

// writer: another writer sends one heartbeat under the id of each minion, with a service that
// is not named here. It names no minion to use, and the minions' own heartbeats hold: a job
// that is accepted later has to run.
func writer(rec *record, trouble bool) (int, error) {
	s, err := newSetUp(rec, 3, map[string]string{"plan": "desk"}, nil)
	defer s.close()
	if err != nil {
		return cannotRun, err
	}
	const (
		otherSeq = 1000000
		// finish is finish_s of settings.json, nothingRuns the time of the rule.
		finish, nothingRuns = 14 * time.Second, 3 * time.Second
	)
	c := s.client()
	if trouble {
		for i, m := range s.minions {
			body := m.foreign("old-desk", otherSeq)
			r := call(m.client, http.MethodPut, s.control[i%len(s.control)].address(controlPort), "/instances/"+m.id, body, nil)
			rec.note("another writer: heartbeat under the id %s with the service old-desk -> %d", m.id, r.status)
		}
	}
	time.Sleep(3 * time.Second) // the minions send six heartbeats of their own
	if r := c.submit("plan", jobID, job("short", nil), 10*time.Second); r.status != http.StatusOK {
		return cannotRun, fmt.Errorf("the job was not accepted: %d", r.status)
	}
	task := jobID + ".0.0.0"
	time.Sleep(finish)
	for idleSince := time.Now(); time.Since(idleSince) < nothingRuns; time.Sleep(200 * time.Millisecond) {
		if s.ledger.place(task) != "" {
			idleSince = time.Now()
		}
		if state, _ := c.state("plan", jobID, 5*time.Second); state == "completed" {
			rec.note("client: GET -> completed")
			return held, nil
		}
	}
	state, status := c.state("plan", jobID, 5*time.Second)
	for _, m := range s.minions {
		m.mu.Lock()
		rec.note("minion %s: newest heartbeat of its own acknowledged: %v; runs %d tasks", m.id, m.acked, len(m.runs))
		m.mu.Unlock()
	}
	rec.note("client: GET -> %d %s; accepted more than %s ago, nothing of it has run for %s though all minions are idle", status, state, finish, nothingRuns)
	return broken, nil
}

// founding: the whole system starts for the first time, and one of the machines that are named
// as seeds loses its disk right then. It comes back empty. The others are well, so the operator's
// configuration has to be acknowledged.
func founding(rec *record, trouble bool) (int, error) {
	s, err := newSystem(rec, 5, 2, 2)
	if s != nil {
		defer s.end()
	}
	if err != nil {
		return cannotRun, err
	}
	const (
		lostAfter = 100 * time.Millisecond // after the start of the last process
		downFor   = 3 * time.Second        // for_s of after_ack_wipe
		contact   = 3 * time.Second        // contact_ms
		ack       = 4 * time.Second        // ack_ms
		listed    = 60 * time.Second       // how long the operator goes on
	)
	if trouble {
		time.Sleep(lostAfter)
		lost := s.control[1]
		s.kill(lost)
		rec.note("platform: %s has lost its power and its disk", lost.name)
		if err := s.afterBootstrap(); err != nil {
			return cannotRun, err
		}
		if err := s.wipe(lost); err != nil {
			return cannotRun, err
		}
		time.Sleep(downFor)
		if err := s.start(lost); err != nil {
			return cannotRun, err
		}
		rec.note("platform: %s is back at its address, with an empty folder and bootstrap false", lost.name)
		time.Sleep(contact)
	}
	began := time.Now()
	err = s.put(map[string]string{"plan": "desk"}, listed)
	took := time.Since(began)
	rec.note("operator: %s after the core was stable: %v", took.Round(time.Millisecond), err)
	if err != nil || took > ack {
		return broken, nil
	}
	return held, nil
}
