package group

import (
	"time"

	"gooseberrypond/store/replica"
)

// judgeAfter is how long a new leader waits for the first answer of a member before it
// counts the silence that earlier leaders have seen. One that is well answers within this
// time, also if a connection to it is dead and has to run into its time-out of 1 s first.
const judgeAfter = 1500 * time.Millisecond

// ledTerm is a term that this replica leads.
type ledTerm struct {
	term  uint64
	since time.Time
	// inherited is how long the members had been silent when the term began. Without it
	// a host that is gone would never be noticed while leaders change often.
	inherited map[string]time.Duration
}

// observeMembers returns what this replica, which leads, knows of the members.
func (g *Group) observeMembers(s replica.Status) []member {
	now := time.Now()
	if g.led.term != s.Term {
		g.led = ledTerm{term: s.Term, since: now, inherited: g.inheritedSilences(s.Term)}
	}
	var out []member
	var known strength
	silences := map[string]time.Duration{}
	for _, m := range s.Members {
		x := member{
			id: m.ID, address: m.Address, voter: m.Voter, caughtUp: m.Match >= s.Commit,
			heard: m.Silence <= voterTimeout, leaving: g.isLeaving(m.ID, now),
		}
		if m.ID != s.ID {
			x.silence, silences[m.ID] = g.led.silence(m, now)
			x.silence = g.joined.limit(m.ID, x.silence, now)
		}
		if m.Voter {
			known.add(x.heard)
		}
		out = append(out, x)
	}
	g.silences.Store(&silences)
	g.setStrength(s.ID, known)
	return out
}

// silence returns the silence by which a member is judged, and the time since it last
// answered any leader.
func (l ledTerm) silence(m replica.MemberStatus, now time.Time) (judged, total time.Duration) {
	if m.Silence != replica.NeverAnswered {
		return m.Silence, m.Silence
	}
	led := now.Sub(l.since)
	total = led + l.inherited[m.ID]
	if led < judgeAfter {
		return led, total
	}
	return total, total
}

// inheritedSilences returns the silences that the leader of an earlier term has told, as
// of now.
func (g *Group) inheritedSilences(term uint64) map[string]time.Duration {
	out := map[string]time.Duration{}
	if g.client == nil {
		return out
	}
	info, age := g.client.LastLeaderInfo()
	if info.Term >= term {
		return out
	}
	for id, d := range info.Silence {
		out[id] = d + age
	}
	return out
}
