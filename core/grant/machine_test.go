package grant

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"gooseberrypond/core/delta"
	"gooseberrypond/core/structs"
)

var slotKey = structs.GrantKey{Kind: structs.GrantUpstream, Name: "u1"}

// testHost models an entry host: it follows the same rules for its shares.
type testHost struct {
	name               string
	rate               float64 // of its clock, relative to the leader's
	incarnation        uint64
	seq, applied, term uint64
	delta              delta.Host
	granted            int
	firstSync          float64   // time of the first sync on its own clock, seconds
	validUntil         float64   // end of its shares on its own clock, seconds
	running            []float64 // end times of its requests on its own clock
	demand             int
}

type syncMsg struct {
	req    structs.EntrySync
	host   *testHost
	sentAt float64 // on the host's clock
}

type replyMsg struct {
	syncMsg
	view structs.EntryView
}

// orphan is a request of a crashed host that may still run at the upstream.
type orphan struct{ end float64 }

// world simulates several entry hosts, a sequence of leaders, and a network that
// loses, delays, repeats and reorders messages.
type world struct {
	now        float64 // true time, seconds
	capacity   int
	leaderTerm int
	table      *Table
	sessions   map[string]*delta.Session
	hosts      []*testHost
	syncs      []syncMsg
	replies    []replyMsg
	orphans    []orphan
}

// The seed is fixed so that CI runs are reproducible. Flags on the command line
// override these values.
func init() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "2000", "rapid.steps": "60"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

var epoch = time.Unix(1_000_000, 0)

func (w *world) at(seconds float64) time.Time {
	return epoch.Add(time.Duration(seconds * float64(time.Second)))
}

func (w *world) names() []string {
	var names []string
	for _, h := range w.hosts {
		names = append(names, h.name)
	}
	return names
}

func (w *world) elect() {
	w.leaderTerm++
	w.table = New(w.at(w.now), w.names())
	w.table.SetCapacity(slotKey, w.capacity, 0)
	if w.leaderTerm == 1 {
		w.table.SetFirstLeader()
	}
	w.sessions = make(map[string]*delta.Session)
	for _, h := range w.hosts {
		w.sessions[h.name] = &delta.Session{}
	}
}

func (h *testHost) clock(now float64) float64 { return now * h.rate }

// expireByHostClocks ends the shares and requests that have expired by each host's
// own clock.
func (w *world) expireByHostClocks() {
	for _, h := range w.hosts {
		if h.clock(w.now) >= h.validUntil {
			h.granted = 0
		}
		keep := h.running[:0]
		for _, end := range h.running {
			if end > h.clock(w.now) {
				keep = append(keep, end)
			}
		}
		h.running = keep
	}
	keep := w.orphans[:0]
	for _, o := range w.orphans {
		if o.end > w.now {
			keep = append(keep, o)
		}
	}
	w.orphans = keep
}

func (w *world) send(h *testHost) {
	w.expireByHostClocks() // a host drops expired shares before it reports
	confirmed := h.applied == h.seq
	if h.seq == 0 {
		h.firstSync = h.clock(w.now)
	}
	h.seq++
	held := max(h.granted, len(h.running))
	req := structs.EntrySync{Host: h.name, Incarnation: h.incarnation, Seq: h.seq, AppliedSeq: h.applied, AppliedTerm: h.term}
	req.Young = h.clock(w.now)-h.firstSync < structs.GrantReclaim.Seconds()
	if held > 0 || h.demand > 0 {
		req.Holdings = []structs.Holding{{Key: slotKey, Held: held, Demand: h.demand}}
	}
	h.delta.Reduce(&req, confirmed)
	w.syncs = append(w.syncs, syncMsg{req: req, host: h, sentAt: h.clock(w.now)})
}

// receive delivers a sync to the leader. With again set, a copy stays in the
// network and may reach a later leader, as when a host resends a sync that was
// not answered in time.
func (w *world) receive(i int, again bool) {
	m := w.syncs[i]
	if !again {
		w.syncs = append(w.syncs[:i], w.syncs[i+1:]...)
	}
	term, session := uint64(w.leaderTerm), w.sessions[m.host.name]
	req, ok := session.Expand(term, &m.req)
	if !ok {
		return
	}
	grants, err := w.table.Sync(w.at(w.now), req)
	if err != nil {
		return
	}
	view := session.Reduce(term, req, structs.EntryView{Seq: req.Seq, Term: term, Grants: grants})
	w.replies = append(w.replies, replyMsg{syncMsg: m, view: view})
}

// apply delivers a reply to its host, which applies it by the rules of an entry
// host.
func (w *world) apply(r replyMsg) {
	h, v := r.host, &r.view
	if r.req.Incarnation != h.incarnation || v.Seq != h.seq || v.Seq <= h.applied || v.Term < h.term {
		return
	}
	if v.Base != 0 && (v.Base != h.applied || v.Term != h.term) {
		return
	}
	v = h.delta.Apply(v)
	h.applied, h.term = v.Seq, v.Term
	h.granted = 0
	if len(v.Grants) == 1 {
		h.granted = v.Grants[0].Amount
	}
	h.validUntil = r.sentAt + structs.ViewMaxAge.Seconds()
}

// maxUse returns the maximum number of requests that run or may be started at the
// upstream.
func (w *world) maxUse() int {
	sum := 0
	for _, h := range w.hosts {
		sum += max(h.granted, len(h.running))
	}
	return sum + len(w.orphans)
}

func pick[T any](t *rapid.T, list []T, label string) int {
	if len(list) == 0 {
		// Skips only this action: rapid draws another one and the test continues.
		t.Skip("the list is empty")
	}
	return rapid.IntRange(0, len(list)-1).Draw(t, label)
}

// Guards against overcommitted upstreams. The hosts together must never hold or
// use more slots than there are, whichever syncs are lost, delayed, repeated or
// reordered, and whichever hosts crash or leaders change.
func TestHoldersNeverExceedCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{capacity: rapid.IntRange(1, 12).Draw(t, "capacity")}
		for i := range rapid.IntRange(2, 4).Draw(t, "hosts") {
			rate := rapid.SampledFrom([]float64{0.99, 1, 1.01}).Draw(t, "clock rate")
			w.hosts = append(w.hosts, &testHost{name: fmt.Sprintf("e%d", i), rate: rate, incarnation: 1})
		}
		w.elect()
		host := func(t *rapid.T) *testHost { return w.hosts[pick(t, w.hosts, "host")] }
		t.Repeat(map[string]func(*rapid.T){
			"send": func(t *rapid.T) {
				h := host(t)
				h.demand = rapid.IntRange(0, 12).Draw(t, "demand")
				w.send(h)
			},
			"round": func(t *rapid.T) {
				// A round without loss is the common case, so that faults occur while
				// shares are in use.
				repeat := rapid.Bool().Draw(t, "leave a copy")
				for _, h := range w.hosts {
					h.demand = rapid.IntRange(0, 12).Draw(t, "demand")
					w.send(h)
					w.receive(len(w.syncs)-1, repeat)
					if n := len(w.replies); n > 0 {
						w.apply(w.replies[n-1])
					}
				}
				w.now += 0.2
			},
			"receive": func(t *rapid.T) { w.receive(pick(t, w.syncs, "sync"), rapid.Bool().Draw(t, "again")) },
			"apply":   func(t *rapid.T) { w.apply(w.replies[pick(t, w.replies, "reply")]) },
			"lose": func(t *rapid.T) {
				i := pick(t, w.replies, "reply")
				w.replies = append(w.replies[:i], w.replies[i+1:]...)
			},
			"start": func(t *rapid.T) {
				h := host(t)
				for range rapid.IntRange(1, 4).Draw(t, "requests") {
					if len(h.running) < h.granted {
						end := rapid.SampledFrom([]float64{0.1, 3, structs.RequestTimeoutMax.Seconds()}).Draw(t, "duration")
						h.running = append(h.running, h.clock(w.now)+end)
					}
				}
			},
			"crash": func(t *rapid.T) {
				w.crash(host(t))
			},
			"elect": func(t *rapid.T) {
				if rapid.IntRange(0, 2).Draw(t, "rarely") == 0 {
					w.elect()
				}
			},
			"wait": func(t *rapid.T) {
				w.now += rapid.SampledFrom([]float64{0.05, 0.5, 1.7, 1.9, 10, 24, 28, 31, 33}).Draw(t, "seconds")
			},
			"": func(t *rapid.T) {
				w.expireByHostClocks()
				if got := w.maxUse(); got > w.capacity {
					t.Fatalf("%d of %d slots held or used", got, w.capacity)
				}
			},
		})
	})
}

// Guards against a new leader that mistakes the confirmation of a former leader's
// reply for the confirmation of its own reply with the same number. It would then
// grant slots to b that a later reply of the former leader granted to a.
func TestConfirmationForFormerLeaderIsIgnored(t *testing.T) {
	a, b := &testHost{name: "a", rate: 1, incarnation: 1}, &testHost{name: "b", rate: 1, incarnation: 1}
	w := &world{capacity: 8, hosts: []*testHost{a, b}}
	w.elect()
	w.now += structs.GrantReclaim.Seconds() + 1
	w.send(a)
	w.receive(0, true)
	w.apply(w.replies[0])
	w.send(a) // this sync is lost, so the next report is complete
	a.demand = 8
	w.send(a)
	w.receive(2, true)
	late := w.replies[1]
	w.elect()
	w.receive(0, true)
	w.receive(2, true)
	b.demand = 8
	for range 3 {
		w.send(b)
		w.receive(len(w.syncs)-1, false)
		w.apply(w.replies[len(w.replies)-1])
	}
	w.apply(late)
	if a.granted < 6 || w.maxUse() > w.capacity {
		t.Errorf("a holds %d and b %d of %d slots, want at least 6 for a and no overcommit", a.granted, b.granted, w.capacity)
	}
}
