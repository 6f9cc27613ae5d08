package delta

import (
	"flag"
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"gooseberrypond/core/structs"
)

// The seed is fixed so that CI runs are reproducible. Flags on the command line
// override these values.
func init() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "1000", "rapid.steps": "60"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// simulation simulates an entry host, its leader, and a network that loses,
// repeats and reorders messages. Each message carries its complete lists for
// comparison.
type simulation struct {
	host                Host
	incarnation         uint64
	seq                 uint64
	applied             uint64
	appliedTerm         uint64
	term                uint64
	session             Session
	acceptedSeq         uint64 // highest report number of acceptedIncarnation that the leader accepted
	acceptedIncarnation uint64
	reports             []report
	replies             []reply
}

type report struct {
	sent structs.EntrySync
	full []structs.Holding
}

type reply struct {
	incarnation uint64
	sent, full  structs.EntryView
}

// keys draws a random list of keys, sorted.
func keys(t *rapid.T) []structs.GrantKey {
	var out []structs.GrantKey
	for _, kind := range []structs.GrantKind{structs.GrantRate, structs.GrantUpstream} {
		for i := range 4 {
			if rapid.IntRange(0, 2).Draw(t, "listed") > 0 {
				out = append(out, structs.GrantKey{Kind: kind, Name: fmt.Sprint(i)})
			}
		}
	}
	return out
}

func (p *simulation) send(t *rapid.T) {
	confirmed := p.applied == p.seq
	p.seq++
	r := report{sent: structs.EntrySync{Incarnation: p.incarnation, Seq: p.seq, AppliedSeq: p.applied, AppliedTerm: p.appliedTerm}}
	for _, k := range keys(t) {
		r.full = append(r.full, structs.Holding{Key: k, Held: rapid.IntRange(0, 2).Draw(t, "held"), Demand: 1})
	}
	r.sent.Holdings = slices.Clone(r.full)
	p.host.Reduce(&r.sent, confirmed)
	p.reports = append(p.reports, r)
}

// receive delivers a report to the leader, which ignores it if it is out of order.
func (p *simulation) receive(t *rapid.T, r report) {
	full, ok := p.session.Expand(p.term, &r.sent)
	if !ok {
		return
	}
	if !slices.Equal(full.Holdings, r.full) {
		t.Fatalf("report %+v restored as %+v, want %+v", r.sent, full.Holdings, r.full)
	}
	if other := r.sent.AppliedTerm != p.term; other && (full.AppliedSeq != 0 || r.sent.Base != 0) {
		t.Fatal("a reply of another leader counts as confirmed")
	}
	if r.sent.Incarnation < p.acceptedIncarnation || r.sent.Incarnation == p.acceptedIncarnation && r.sent.Seq <= p.acceptedSeq {
		return
	}
	p.acceptedIncarnation, p.acceptedSeq = r.sent.Incarnation, r.sent.Seq
	a := reply{incarnation: r.sent.Incarnation, full: structs.EntryView{Seq: r.sent.Seq, Term: p.term}}
	for _, k := range keys(t) {
		if k.Kind == structs.GrantRate {
			a.full.Grants = append(a.full.Grants, structs.Grant{Key: k, Amount: rapid.IntRange(1, 2).Draw(t, "amount")})
			continue
		}
		a.full.Upstreams = append(a.full.Upstreams, structs.Upstream{Name: k.Name, Leaving: rapid.Bool().Draw(t, "leaving")})
	}
	a.sent = p.session.Reduce(p.term, full, a.full)
	p.replies = append(p.replies, a)
}

// apply delivers a reply to the host, which applies it by the rules of an entry
// host.
func (p *simulation) apply(t *rapid.T, a reply) {
	v := &a.sent
	if a.incarnation != p.incarnation || v.Seq != p.seq || v.Seq <= p.applied || v.Term < p.appliedTerm {
		return
	}
	if v.Base != 0 && (v.Base != p.applied || v.Term != p.appliedTerm) {
		t.Fatalf("reply %+v to the newest report has a base that is not the last applied view", v)
	}
	got := p.host.Apply(v)
	if !slices.Equal(got.Upstreams, a.full.Upstreams) || !slices.Equal(got.Grants, a.full.Grants) {
		t.Fatalf("view %+v restored as %+v, want %+v", v, got, a.full)
	}
	p.applied, p.appliedTerm = v.Seq, v.Term
}

func (p *simulation) elect() {
	p.term++
	p.session, p.acceptedSeq, p.acceptedIncarnation = Session{}, 0, 0
}

// Guards against restoring a view or report wrongly: a removal in a lost view that
// is never repeated, differences applied to the lists of another leader or
// incarnation, and a base that the leader has dropped while it is the last view that
// the host applied.
func TestRestoredListsAreComplete(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := &simulation{incarnation: 1, term: 1}
		t.Repeat(map[string]func(*rapid.T){
			"send": p.send,
			"round": func(t *rapid.T) {
				p.send(t)
				p.receive(t, p.reports[len(p.reports)-1])
				if n := len(p.replies); n > 0 {
					p.apply(t, p.replies[n-1])
				}
			},
			"receive": func(t *rapid.T) {
				if len(p.reports) > 0 {
					p.receive(t, rapid.SampledFrom(p.reports).Draw(t, "report"))
				}
			},
			"apply": func(t *rapid.T) {
				if len(p.replies) > 0 {
					p.apply(t, rapid.SampledFrom(p.replies).Draw(t, "answer"))
				}
			},
			"restart": func(t *rapid.T) {
				if rapid.IntRange(0, 3).Draw(t, "rarely") == 0 {
					p.host, p.seq, p.applied, p.appliedTerm = Host{}, 0, 0, 0
					p.incarnation++
				}
			},
			"elect": func(t *rapid.T) {
				if rapid.IntRange(0, 3).Draw(t, "rarely") == 0 {
					p.elect()
				}
			},
		})
	})
}

// Guards against sending items that have not changed.
func TestUnchangedListsAreNotSent(t *testing.T) {
	var h Host
	var s Session
	for seq := uint64(1); seq <= 3; seq++ {
		req := &structs.EntrySync{Seq: seq, AppliedSeq: seq - 1, AppliedTerm: min(seq-1, 1)}
		req.Holdings = []structs.Holding{{Key: structs.GrantKey{Name: "u"}, Held: 1}}
		h.Reduce(req, true)
		full, ok := s.Expand(1, req)
		if !ok {
			t.Fatalf("report %d was refused", seq)
		}
		v := s.Reduce(1, full, structs.EntryView{Seq: seq, Upstreams: []structs.Upstream{{Name: "u"}}, Grants: []structs.Grant{{Amount: 1}}})
		if sent := len(req.Holdings) + len(v.Upstreams) + len(v.Grants); (sent > 0) != (seq == 1) {
			t.Errorf("exchange %d has %d items; only the first must have any", seq, sent)
		}
		h.Apply(&v)
	}
}
