package soak

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gooseberrypond/platform/standin"
)

// lateSystem starts a system without callers and faults of its own.
func lateSystem(t *testing.T, control, entry int) *system {
	t.Helper()
	dir := t.TempDir()
	s := newSystem(Options{Binary: buildHosts(t, dir), Dir: filepath.Join(dir, "hosts"), Seed: 1, Control: control, Entry: entry, Workers: 3})
	t.Cleanup(s.end)
	if err := s.start(); err != nil {
		t.Fatal(err)
	}
	return s
}

// freeze stops the process and waits until all of its threads have stopped. The signal is
// handled by one of them, which may have to wait for a processor while others go on.
func (h *host) freeze(t *testing.T) {
	t.Helper()
	h.signal(syscall.SIGSTOP)
	tasks := fmt.Sprintf("/proc/%d/task", h.cmd.Process.Pid)
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		threads, err := os.ReadDir(tasks)
		if err != nil {
			t.Fatal(err)
		}
		if !slices.ContainsFunc(threads, func(e os.DirEntry) bool { return !isStopped(t, filepath.Join(tasks, e.Name(), "stat")) }) {
			return
		}
	}
	t.Fatalf("%s did not stop", h.name)
}

// isStopped reports whether the state in a thread's stat file, which follows the name in
// brackets, is that of a stopped one.
func isStopped(t *testing.T, stat string) bool {
	t.Helper()
	data, err := os.ReadFile(stat)
	if err != nil {
		t.Fatal(err)
	}
	text := string(data)
	return strings.HasPrefix(text[strings.LastIndexByte(text, ')')+1:], " T")
}

// Guards against jobs that run although their callers were told that there are none, when
// entry hosts wake that stood still. Meanwhile the leader is killed, or all control hosts
// are, so that only what is stored can keep the answers true.
func TestAbsentJobsDoNotRunWhenEntryHostsWake(t *testing.T) {
	s := lateSystem(t, 5, 3)
	key := s.keys["harbour"]
	const perRound = 8
	faults := map[string]func() error{
		"nothing else":             func() error { return nil },
		"leader killed":            func() error { return s.down(fault{duration: 500 * time.Millisecond}, syscall.SIGKILL, s.leader()) },
		"all control hosts killed": func() error { return s.down(fault{duration: 500 * time.Millisecond}, syscall.SIGKILL, s.controls()...) },
	}
	round := 0
	for name, bringAbout := range faults {
		id := func(n int) string { return fmt.Sprintf("0000%011x%d", 16*round+n, 1) }
		frozen, awake := s.entry[:2], s.entry[2].address(frontendPort)
		for _, h := range frozen {
			h.freeze(t)
		}
		var callers sync.WaitGroup
		for n := range perRound {
			callers.Go(func() {
				hurried := standin.NewClient(time.Second)
				job := &standin.Job{Work: standin.Work{CPUMilli: 100, DurationMS: 3000}, Steps: []int{1}}
				if reply := hurried.Submit(frozen[n%2].address(frontendPort), queueOf(id(n)), id(n), key, job); reply.Status != 0 {
					t.Errorf("%s: a host that stands still answered %d", name, reply.Status)
				}
				for range 2 {
					var reply standin.Reply
					for range 50 {
						if reply = s.client.Cancel(awake, queueOf(id(n)), id(n), key); reply.Status == http.StatusGone {
							break
						}
						time.Sleep(retryPause)
					}
					if reply.Status != http.StatusGone {
						t.Errorf("%s: cancel answered %d, want 410", name, reply.Status)
					}
				}
				s.ledger.with(func() { s.ledger.absent[id(n)] = true })
			})
		}
		callers.Wait()
		if err := bringAbout(); err != nil {
			t.Fatal(err)
		}
		// A host that wakes while nobody leads refuses what it finds.
		for range 100 {
			if s.client.Look(awake, queues[0], "", key).Status == http.StatusOK {
				break
			}
			time.Sleep(100 * time.Millisecond)
		}
		for _, h := range frozen {
			h.signal(syscall.SIGCONT)
		}
		time.Sleep(2 * time.Second)
		round++
	}
	s.ledger.checkAbsent()
	for _, v := range s.ledger.violations() {
		t.Error(v)
	}
}
