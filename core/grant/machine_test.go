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

// testHost is a holder by the rules that every entry host follows.
type testHost struct {
	name               string
	rate               float64 // of its clock against the leader's
	incarnation        uint64
	seq, applied, term uint64
	delta              delta.Host
	believed           int
	born               float64   // first sync on its own clock, seconds
	validUntil         float64   // on its own clock, seconds
	running            []float64 // ends of its requests on its own clock
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

// orphan is a request of a crashed host that the upstream may still run.
type orphan struct{ end float64 }

// world is several holders, leaders in turn, and a network that loses,
// delays, repeats and reorders.
type world struct {
	now      float64 // true time, seconds
	capacity int
	gen      int
	table    *Table
	sessions map[string]*delta.Session
	hosts    []*testHost
	syncs    []syncMsg
	replies  []replyMsg
	orphans  []orphan
}

// The seed is fixed so that every run of CI reaches the same verdict; flags on
// the command line override these.
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
	w.gen++
	w.table = New(w.at(w.now), w.names())
	w.table.SetCapacity(slotKey, w.capacity, 0)
	if w.gen == 1 {
		w.table.SetFirstLeader()
	}
	w.sessions = make(map[string]*delta.Session)
	for _, h := range w.hosts {
		w.sessions[h.name] = &delta.Session{}
	}
}

func (h *testHost) clock(now float64) float64 { return now * h.rate }

// settle ends what is over by the host's own clock.
func (w *world) settle() {
	for _, h := range w.hosts {
		if h.clock(w.now) >= h.validUntil {
			h.believed = 0
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
	w.settle() // a host drops what has expired before it reports
	confirmed := h.applied == h.seq
	if h.seq == 0 {
		h.born = h.clock(w.now)
	}
	h.seq++
	held := max(h.believed, len(h.running))
	req := structs.EntrySync{Host: h.name, Incarnation: h.incarnation, Seq: h.seq, AppliedSeq: h.applied, AppliedTerm: h.term}
	req.Young = h.clock(w.now)-h.born < structs.GrantReclaim.Seconds()
	if held > 0 || h.demand > 0 {
		req.Holdings = []structs.Holding{{Key: slotKey, Held: held, Demand: h.demand}}
	}
	h.delta.Reduce(&req, confirmed)
	w.syncs = append(w.syncs, syncMsg{req: req, host: h, sentAt: h.clock(w.now)})
}

// receive hands a sync to the leader. A copy may reach a later leader than the
// first, as when a host sends again what got no answer in time.
func (w *world) receive(i int, again bool) {
	m := w.syncs[i]
	if !again {
		w.syncs = append(w.syncs[:i], w.syncs[i+1:]...)
	}
	term, session := uint64(w.gen), w.sessions[m.host.name]
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

// apply is what a host does with an answer.
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
	h.believed = 0
	if len(v.Grants) == 1 {
		h.believed = v.Grants[0].Amount
	}
	h.validUntil = r.sentAt + structs.ViewMaxAge.Seconds()
}

// use is the most that is or may be running at the upstream.
func (w *world) use() int {
	sum := 0
	for _, h := range w.hosts {
		sum += max(h.believed, len(h.running))
	}
	return sum + len(w.orphans)
}

func pick[T any](t *rapid.T, list []T, label string) int {
	if len(list) == 0 {
		// rapid draws another action instead; the test itself goes on.
		t.Skip("nothing to choose from")
	}
	return rapid.IntRange(0, len(list)-1).Draw(t, label)
}

// Guards against overcommitted upstreams: whatever is lost, late, repeated or
// reordered, and whoever crashes or leads, the hosts together never hold or
// use more slots than there are.
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
				// The common case, so that faults meet shares in use.
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
					if len(h.running) < h.believed {
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
				w.settle()
				if got := w.use(); got > w.capacity {
					t.Fatalf("%d of %d slots held or used", got, w.capacity)
				}
			},
		})
	})
}

// Guards against a new leader that takes the confirmation of a former leader's
// answer for one of its own with the same number, and so shares out what a
// later answer of the former leader has granted.
func TestConfirmationOfAnotherLeader(t *testing.T) {
	a, b := &testHost{name: "a", rate: 1, incarnation: 1}, &testHost{name: "b", rate: 1, incarnation: 1}
	w := &world{capacity: 8, hosts: []*testHost{a, b}}
	w.elect()
	w.now += structs.GrantReclaim.Seconds() + 1
	w.send(a)
	w.receive(0, true)
	w.apply(w.replies[0])
	w.send(a) // lost, so that the next report is complete
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
	if a.believed < 6 || w.use() > w.capacity {
		t.Errorf("a holds %d and b %d of %d", a.believed, b.believed, w.capacity)
	}
}
