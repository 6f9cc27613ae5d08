package grant

import (
	"testing"

	"gooseberrypond/core/structs"
)

// restartWorld returns a world with an idle host b and a host a that has used all
// the slots it was granted of 8 for requests of the maximum duration.
func restartWorld() (w *world, a, b *testHost) {
	a, b = &testHost{name: "a", rate: 1, incarnation: 1}, &testHost{name: "b", rate: 1, incarnation: 1}
	w = &world{capacity: 8, hosts: []*testHost{a, b}}
	w.elect()
	a.demand = 8
	w.rounds(4)
	for range a.granted {
		a.running = append(a.running, w.now+structs.RequestTimeoutMax.Seconds())
	}
	return w, a, b
}

// rounds syncs every host n times without loss.
func (w *world) rounds(n int) {
	for range n {
		for _, h := range w.hosts {
			w.send(h)
			w.receive(len(w.syncs)-1, false)
			if r := w.replies[len(w.replies)-1]; r.host == h {
				w.apply(r)
			}
		}
		w.now += structs.EntrySyncInterval.Seconds()
	}
}

// crash restarts a host. Its requests keep running at the upstream.
func (w *world) crash(h *testHost) {
	for _, end := range h.running {
		w.orphans = append(w.orphans, orphan{end: end / h.rate})
	}
	*h = testHost{name: h.name, rate: h.rate, incarnation: h.incarnation + 1}
}

// Guards against granting slots that requests of a restarted host still use. The
// cases differ in the leader: the same one, a new one that knows only the later
// incarnation, and one elected after the former leader knew the later
// incarnation.
func TestRestartedHostsSlotsAreWithheld(t *testing.T) {
	tests := map[string]func(w *world, a *testHost){
		"no election":              func(w *world, a *testHost) { w.crash(a) },
		"crash, then election":     func(w *world, a *testHost) { w.crash(a); w.elect() },
		"election, then crash":     func(w *world, a *testHost) { w.elect(); w.crash(a) },
		"election after a sync":    func(w *world, a *testHost) { w.crash(a); w.rounds(2); w.elect() },
		"two elections after it":   func(w *world, a *testHost) { w.crash(a); w.elect(); w.rounds(2); w.elect() },
		"crash twice and election": func(w *world, a *testHost) { w.crash(a); w.rounds(2); w.crash(a); w.elect() },
	}
	for name, fault := range tests {
		t.Run(name, func(t *testing.T) {
			w, a, b := restartWorld()
			used := len(a.running)
			fault(w, a)
			b.demand = 8
			until := w.now + structs.RequestTimeoutMax.Seconds() - 2
			for w.now < until {
				w.rounds(1)
				w.expireByHostClocks()
				if used < 6 || w.maxUse() > w.capacity {
					t.Fatalf("%d of %d slots used or held, %d by requests of the first incarnation, want at least 6", w.maxUse(), w.capacity, used)
				}
			}
			w.now += 2 * structs.GrantReclaim.Seconds()
			w.rounds(3)
			if b.granted < 6 {
				t.Errorf("b holds %d of %d slots after the requests have ended, want at least 6", b.granted, w.capacity)
			}
		})
	}
}
