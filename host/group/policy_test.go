package group

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// parseMembers reads members such as "a+ b- c~ d*": a and b are voters, of which b does
// not answer, c and d are learners, of which d has every committed entry. "e-/x" is a
// voter at the address x, "f!" a leaving one, and "g?" one that has not answered this
// leader yet.
func parseMembers(text string) []member {
	var out []member
	for _, w := range strings.Fields(text) {
		name, address, _ := strings.Cut(w, "/")
		m := member{id: name[:1], address: address, silence: time.Millisecond, heard: true, caughtUp: true}
		switch name[1] {
		case '+':
			m.voter = true
		case '!':
			m.voter, m.leaving = true, true
		case '-':
			m.voter, m.heard, m.silence = true, false, time.Minute
		case '?':
			m.voter, m.heard = true, false
		case '~':
			m.caughtUp = false
		}
		out = append(out, m)
	}
	return out
}

// Guards against a group whose number of voters follows from the order in which hosts
// came and went, so that it does not survive the losses that it is meant to.
func TestNextChange(t *testing.T) {
	for _, c := range []struct {
		members string
		losses  int
		want    string
	}{
		{"a+ b+ c+ d+ e+", 2, ""},
		{"a+ b+ c+ d+ e-", 2, ""},             // e has its data and may return
		{"a+ b+ c+ d+ e- f*", 2, "promote f"}, // before e is removed
		{"a+ b+ c+ d+ e- f+", 2, "remove e"},
		{"a+ b+ c+ d+ e+ f- g-", 2, "remove f"}, // odd, and no learner waits
		{"a+ b+ c+ d+ e+ f! g!", 2, "remove f"},
		{"a+ b+ c+ d+ e!", 2, ""},
		{"a+ b+ c+ d+ e! f?", 2, ""}, // e may return with its data, f may be gone
		{"a+ b+ c+ d+ e+ f! g?", 2, "remove f"},
		{"a+ b+ c+ d+ e-/x f~/x", 2, "remove e"}, // its data is lost
		{"a+ b+ c+ d-/x e-/y f~/x g~/y", 2, "remove d"},
		{"a+ b+ c+ e-/y f~/x g~/y", 2, ""}, // three voters could acknowledge with two
		{"a+ b+ c+ e-/y f~/x g*/y", 2, "promote g"},
		{"a+ b+ c+ d- f~/x", 2, ""},
		{"a+ b+ c+ d-", 2, "remove d"}, // smaller than the losses need, and nobody joins
		{"a+ b+ c-", 2, ""},
		{"a+ b+ c-", 1, ""},
		{"a+ b+ c- d*", 1, "promote d"},
		{"a+ b+ c- d+", 1, "remove c"},
		{"a+ b+ c-/x d~/x", 1, "remove c"},
		{"a+ b+ c-/x d+/x", 2, "remove c"}, // its successor votes in its place
	} {
		got := ""
		switch x := nextChange(parseMembers(c.members), c.losses); x.kind {
		case promote:
			got = "promote " + x.id
		case remove:
			got = "remove " + x.id
		}
		if got != c.want {
			t.Errorf("%s, %d losses: next change is %q, want %q", c.members, c.losses, got, c.want)
		}
	}
}

// machine is a machine of the model of TestGroupSurvivesItsLosses.
type machine struct {
	address int
	// up is false while the machine is away for a time; gone is set if it never returns.
	up, gone bool
	// replica is the id of the replica that has its data here; empty after the data was
	// lost and before the machine has joined again.
	replica string
}

// groupModel is a group that makes the changes of nextChange while a quorum is up.
type groupModel struct {
	t        *rapid.T
	losses   int
	machines []*machine
	members  []member
	next     int
	// lost is the number of machines whose data was lost since the group was last whole.
	lost int
}

// holder returns the machine that has the data of the replica; nil if it was lost.
func (g *groupModel) holder(id string) *machine {
	i := slices.IndexFunc(g.machines, func(m *machine) bool { return m.replica == id })
	if i < 0 {
		return nil
	}
	return g.machines[i]
}

// count returns the number of voters, of those whose data exists, and of those that are up.
func (g *groupModel) count() (voters, withData, up int) {
	for _, m := range g.members {
		if !m.voter {
			continue
		}
		voters++
		if h := g.holder(m.id); h != nil {
			withData++
			if h.up {
				up++
			}
		}
	}
	return voters, withData, up
}

// check fails the test if the losses that are left could take the quorum for good.
func (g *groupModel) check(event string) {
	voters, withData, _ := g.count()
	if left := withData - (g.losses - g.lost); left < voters/2+1 {
		g.t.Fatalf("after %s: %d voters, %d have their data; %d more losses leave %d, a quorum is %d: %+v",
			event, voters, withData, g.losses-g.lost, left, voters/2+1, g.members)
	}
}

func (g *groupModel) join(m *machine) {
	g.next++
	m.replica = fmt.Sprint("r", g.next)
	g.members = append(g.members, member{id: m.replica, address: fmt.Sprint(m.address)})
}

// maintain makes the changes that are due. noticed is false if silent members have not
// been silent for long enough yet, caughtUp if learners lack entries.
func (g *groupModel) maintain(noticed, caughtUp bool) {
	for range 50 {
		if voters, _, up := g.count(); up < voters/2+1 {
			return
		}
		for i := range g.members {
			m := &g.members[i]
			h := g.holder(m.id)
			m.caughtUp, m.heard = m.voter || caughtUp, h != nil && h.up
			switch {
			case h != nil && h.up:
				m.silence = time.Millisecond
			case noticed:
				m.silence = time.Minute
			default:
				m.silence = voterTimeout / 2
			}
		}
		c := nextChange(g.members, g.losses)
		i := slices.IndexFunc(g.members, func(m member) bool { return m.id == c.id })
		switch c.kind {
		case noChange:
			return
		case promote:
			g.members[i].voter = true
		case remove:
			if h := g.holder(c.id); h != nil {
				h.replica = ""
			}
			g.members = slices.Delete(g.members, i, i+1)
		}
		g.check(fmt.Sprint(c))
	}
	g.t.Fatalf("the membership does not settle: %+v", g.members)
}

// settle brings the machines back, lets everybody join and catch up, and fails the test
// if the group then does not survive its losses.
func (g *groupModel) settle() {
	for _, m := range g.machines {
		m.up = !m.gone
		if m.up && m.replica == "" {
			g.join(m)
		}
	}
	g.maintain(true, true)
	for _, m := range g.machines { // those that were removed while they were away
		if m.up && m.replica == "" {
			g.join(m)
		}
	}
	g.maintain(true, true)
	g.machines = slices.DeleteFunc(g.machines, func(m *machine) bool { return m.gone })
	g.lost = 0
	g.check("the return of all machines")
}

// Guards against an order of joins, promotions, stops, losses and wipes after which the
// losses that a group is meant to survive, beginning right then, take its quorum for good.
func TestGroupSurvivesItsLosses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		losses := rapid.IntRange(1, 3).Draw(t, "losses")
		g := &groupModel{t: t, losses: losses}
		add := func() *machine {
			g.next++
			m := &machine{address: g.next, up: true}
			g.machines = append(g.machines, m)
			return m
		}
		for range 2*losses + 1 {
			g.join(add())
			g.members[len(g.members)-1].voter = true
		}
		pick := func() *machine { return rapid.SampledFrom(g.machines).Draw(t, "machine") }
		t.Repeat(map[string]func(*rapid.T){
			"add": func(*rapid.T) {
				if len(g.machines) < 12 {
					g.join(add())
				}
			},
			"away": func(*rapid.T) { pick().up = false },
			"back": func(*rapid.T) {
				if m := pick(); !m.gone {
					m.up = true
					if m.replica == "" {
						g.join(m)
					}
				}
			},
			"wipe": func(*rapid.T) {
				if m := pick(); g.lost < losses && m.replica != "" {
					m.replica, m.up = "", false
					g.lost++
				}
			},
			"replace": func(*rapid.T) {
				if m := pick(); g.lost < losses && m.replica != "" {
					m.replica, m.up, m.gone = "", false, true
					g.lost++
					g.join(add())
				}
			},
			"planned replacement": func(*rapid.T) {
				m := pick()
				if g.lost > 0 || slices.ContainsFunc(g.machines, func(m *machine) bool { return !m.up }) {
					return
				}
				g.join(add())
				g.maintain(false, true)
				if i := slices.IndexFunc(g.members, func(x member) bool { return x.id == m.replica }); i >= 0 {
					g.members[i].leaving = true
				}
				g.maintain(false, true)
				m.replica, m.up, m.gone = "", false, true
				g.machines = slices.DeleteFunc(g.machines, func(m *machine) bool { return m.gone })
				g.check("a planned replacement")
			},
			"maintain": func(t *rapid.T) {
				g.maintain(rapid.Bool().Draw(t, "noticed"), rapid.Bool().Draw(t, "caught up"))
			},
			"settle": func(*rapid.T) { g.settle() },
			"":       func(*rapid.T) { g.check("an event") },
		})
		g.settle()
	})
}
