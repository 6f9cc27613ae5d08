package soak

import (
	"fmt"
	"net/http"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gooseberrypond/platform/standin"
)

// putAtAll sends a version of the configuration to all control hosts at once, again and
// again until one of them acknowledges it, so that it reaches the next leader early.
func (s *system) putAtAll(version int) bool {
	const pause = 5 * time.Millisecond
	cfg := s.newConfig(version)
	var done atomic.Bool
	var senders sync.WaitGroup
	for _, h := range s.controls() {
		senders.Go(func() {
			client := standin.NewClient(callTimeout)
			for end := time.Now().Add(settleTime); !done.Load() && time.Now().Before(end); time.Sleep(pause) {
				if client.PutConfig(h.address(controlPort), cfg).Status == http.StatusOK {
					done.Store(true)
				}
			}
		})
	}
	senders.Wait()
	if done.Load() {
		s.acknowledged(version)
	}
	return done.Load()
}

// Guards against jobs that run although every answer to their callers was a refusal: the
// leader is killed while they are handed in, and a configuration without their queue is in
// force before the entry hosts reach the next leader.
func TestRefusedJobsDoNotRunWhenTheLeaderDies(t *testing.T) {
	dir := t.TempDir()
	s := newSystem(Options{Binary: buildHosts(t, dir), Dir: filepath.Join(dir, "hosts"), Seed: 1, Control: 3, Entry: 2, Workers: 3})
	t.Cleanup(s.end)
	if err := s.start(); err != nil {
		t.Fatal(err)
	}
	const (
		rounds, handedIn = 8, 30
		spread           = 200 * time.Microsecond // between two submissions
		settling         = time.Second            // for tasks to start
	)
	statuses := map[int]int{}
	for round := range rounds {
		version := s.ledger.version
		var callers sync.WaitGroup
		for n := range handedIn {
			client := standin.NewClient(callTimeout)
			id := fmt.Sprintf("d%03x%012x", round, n)
			client.Look(s.entry[n%2].address(frontendPort), queues[0], "", s.key("harbour")) // opens the connection
			callers.Go(func() {
				time.Sleep(time.Duration(n) * spread)
				status := s.submitOnce(client, s.entry[n%2], version, id)
				s.ledger.with(func() { statuses[status]++ })
			})
		}
		leader := s.leader()
		time.Sleep(time.Duration(3+round%6) * time.Millisecond)
		leader.signal(syscall.SIGKILL)
		if !s.putAtAll(version + 1) { // without the route that the jobs are for
			t.Fatalf("version %d was not acknowledged", version+1)
		}
		callers.Wait()
		if err := leader.start(); err != nil {
			t.Fatal(err)
		}
		time.Sleep(settling)
	}
	t.Logf("answers by status: %v", statuses)
	s.ledger.checkRefused()
	for _, v := range s.ledger.violations() {
		t.Error(v)
	}
}
