package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// metricsPort is that of the deploy file.
const metricsPort = 9464

// leader returns the control host that says that it leads, nil if none does.
func (s *system) leader() *host {
	c := newHTTP(time.Second)
	for _, h := range s.control {
		var v struct{ Leading bool }
		r := call(c, http.MethodGet, h.address(metricsPort), "/dump", "", nil)
		if r.status == http.StatusOK && json.Unmarshal([]byte(r.body), &v) == nil && v.Leading {
			return h
		}
	}
	return nil
}

// lostLeader reports whether an entry host has been without a leader since it first had one,
// by its own metrics.
func (s *system) lostLeader() bool {
	c := newHTTP(time.Second)
	lost := false
	for _, h := range s.entry {
		r := call(c, http.MethodGet, h.address(metricsPort), "/metrics", "", nil)
		for line := range strings.Lines(r.body) {
			value, ok := strings.CutPrefix(line, "gooseberrypond_leader_recovery_seconds ")
			if ok && strings.TrimSpace(value) != "0" {
				s.rec.note("platform: %s says that its last recovery of the leader took %s s", h.name, strings.TrimSpace(value))
				lost = true
			}
		}
	}
	return lost
}

// dropped: clients hand jobs in, the leader is killed, and a configuration without their queue
// comes into force. A client that is told that there is no such queue has not handed its job
// in: no task of it may start.
func dropped(rec *record, trouble bool) (int, error) {
	with := map[string]string{"plan": "desk", "book": "desk"}
	s, err := newSetUp(rec, 4, with)
	defer s.close()
	if err != nil {
		return cannotRun, err
	}
	const (
		length  = 95 * time.Second
		clients = 30 // of the site's 34, so 11 jobs a second on average; the site has 14
		// spread is the time between two clients, so that some of their jobs are on their way
		// to the log when the leader is killed.
		spread   = 200 * time.Microsecond
		settling = 2 * time.Second // after a round
	)
	version := 1
	put := func(queues map[string]string, limit time.Duration) error {
		version++
		return s.putVersion(version, queues, limit)
	}
	rejected := map[string]bool{}
	var mu sync.Mutex
	counts := map[int]int{}
	began := time.Now()
	for round := 0; time.Since(began) < length; round++ {
		var l *host
		if err := s.waitFor("a control host leads", 20*time.Second, func() bool { l = s.leader(); return l != nil }); err != nil {
			return cannotRun, err
		}
		all := make([]*client, clients)
		var warm sync.WaitGroup
		for i := range all {
			all[i] = s.client()
			warm.Go(func() { all[i].try(i, http.MethodGet, "/plan/", "") })
		}
		warm.Wait()
		var answers sync.WaitGroup
		for i, c := range all {
			id := fmt.Sprintf("%08x%08x", round+1, i+1)
			answers.Go(func() {
				time.Sleep(time.Duration(i) * spread)
				r := c.try(i, http.MethodPost, "/plan/"+id, job("short", nil))
				mu.Lock()
				defer mu.Unlock()
				counts[r.status]++
				rec.note("client: POST /plan/%s -> %d %s", id, r.status, strings.TrimSpace(r.body))
				if r.status == http.StatusNotFound {
					rejected[id] = true
				}
			})
		}
		time.Sleep(time.Duration(3+round%6) * time.Millisecond)
		if trouble {
			s.kill(l)
			rec.note("platform: %s is killed", l.name)
		}
		if err := put(map[string]string{"book": "desk"}, 20*time.Second); err != nil {
			return cannotRun, err
		}
		rec.note("operator: version %d, without the queue plan, is acknowledged", version)
		answers.Wait()
		if trouble {
			if err := s.start(l); err != nil {
				return cannotRun, err
			}
		}
		time.Sleep(settling)
		if err := put(with, 20*time.Second); err != nil {
			return cannotRun, err
		}
		ran := s.ledger.ranOf(rejected)
		rec.note("round %d is over; answers so far: %v; of %d jobs that were answered 404, %d ran", round+1, counts, len(rejected), len(ran))
		for _, task := range ran {
			rec.note("REFUSED: %s has started; the only attempt to hand its job in was answered 404", task)
		}
		lost := s.lostLeader()
		if len(ran) > 0 && !trouble && lost {
			return cannotRun, fmt.Errorf("an entry host lost the leader though nothing was disturbed")
		}
		if len(ran) > 0 {
			return broken, nil
		}
	}
	rec.note("%d jobs were answered 404, none of them ran", len(rejected))
	return held, nil
}

// ranOf returns the tasks that have started of the given jobs.
func (l *ledger) ranOf(jobs map[string]bool) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []string
	for task := range l.starts {
		if jobs[task[:strings.IndexByte(task, '.')]] {
			out = append(out, task)
		}
	}
	return out
}
