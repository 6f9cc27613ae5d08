// Package grant shares integer limits, such as the slots of an upstream or
// the request rate of an owner, among the entry hosts. Shares are leased: the
// sum of what holders may believe they hold stays within the capacity under
// lost, delayed, repeated and reordered syncs, restarts of holders, and a
// change of the leader.
//
// The package is pure: time is passed in, and a Table is not safe for
// concurrent use. A table lives as long as one leadership.
package grant

import (
	"slices"
	"time"

	"gooseberrypond/core/structs"
)

const (
	// floorDivisor is the part of a capacity that is given without demand, so
	// that an idle host can start some requests without waiting for a sync. A
	// larger part would leave slots unused on idle hosts.
	floorDivisor = 4
	// spareDivisor is the part of the unused capacity that is spread over
	// hosts with demand, so that bursts need no sync. The rest stays free for
	// immediate grants.
	spareDivisor = 2
	// rotatePeriod is the time after which a capacity smaller than the number
	// of hosts with demand moves on to other hosts.
	rotatePeriod = time.Second
)

// Table is the leader's record of outstanding shares.
type Table struct {
	electedAt time.Time
	first     bool     // no host can hold anything from before the election
	names     []string // configured entry hosts, sorted
	holders   []holder // by index in names
	limits    map[structs.GrantKey]*limit
	keys      []structs.GrantKey // sorted keys of limits; nil after a change
}

// holder is one configured entry host.
type holder struct {
	known bool // has synced with this table
	// confirmed is set once the host has put an answer of this leader in force.
	// Before that its report may be an old one, delayed since an earlier
	// leader's time, that does not cover what the earlier leader granted later.
	confirmed bool
	answered  []uint64 // numbers of the last syncs answered before that
	// lost is set when the host restarted before that, or so shortly before its
	// first report that requests of the earlier incarnation may still run. What
	// that one held under an earlier leader is unknown for good.
	lost        bool
	incarnation uint64
	seq         uint64
	lastSync    time.Time
	stopping    bool
}

// limit is one shared capacity.
type limit struct {
	capacity   int
	perHostMax int
	removed    bool
	rotation   int
	shares     []share   // by index of the holder
	retired    []retired // shares of earlier incarnations
}

// share is one holder's part of a limit.
type share struct {
	held   int
	demand int
	sent   []sentGrant // replies not confirmed, amounts strictly falling
}

// sentGrant is an amount that the holder may yet put in force.
type sentGrant struct {
	seq    uint64
	amount int
}

// retired is a share of an incarnation that ended; its requests may run until then.
type retired struct {
	amount int
	until  time.Time
}

// New returns an empty table for a leader elected at electedAt.
func New(electedAt time.Time, entryHosts []string) *Table {
	names := slices.Clone(entryHosts)
	slices.Sort(names)
	names = slices.Compact(names)
	return &Table{
		electedAt: electedAt,
		names:     names,
		holders:   make([]holder, len(names)),
		limits:    make(map[structs.GrantKey]*limit),
	}
}

// SetFirstLeader notes that no entry host can have started a request before this
// leader was elected, so that young hosts have no predecessors.
func (g *Table) SetFirstLeader() { g.first = true }

// SetCapacity sets the capacity of a limit and the most that one host may
// hold of it; perHostMax 0 means no such bound. A lower capacity takes effect
// as holders confirm their reductions.
func (g *Table) SetCapacity(key structs.GrantKey, capacity int, perHostMax int) {
	l := g.limit(key)
	l.capacity = max(capacity, 0)
	l.perHostMax = max(perHostMax, 0)
	l.removed = false
}

// Remove ends a limit. What is outstanding of it still counts if the key is set again.
func (g *Table) Remove(key structs.GrantKey) {
	l, ok := g.limits[key]
	if !ok {
		return
	}
	l.capacity = 0
	l.removed = true
}

// Outstanding returns the most that holders may hold of a limit together.
func (g *Table) Outstanding(key structs.GrantKey) int {
	l, ok := g.limits[key]
	if !ok {
		return 0
	}
	return l.outstandingExcept(-1)
}

// Settled reports whether every configured entry host has reported its
// holdings after it put an answer of this leader in force, and none restarted
// shortly before, or GrantReclaim has passed since the election, so that new
// shares may be granted.
func (g *Table) Settled(now time.Time) bool {
	if now.Sub(g.electedAt) > structs.GrantReclaim {
		return true
	}
	for i := range g.holders {
		if !g.holders[i].confirmed {
			return false
		}
	}
	return true
}

// maxAnswered bounds holder.answered. A host that has not confirmed one of so
// many answers confirms a later one.
const maxAnswered = 16

// confirm notes whether the report follows an answer of this leader.
func (h *holder) confirm(req *structs.EntrySync) {
	if h.confirmed || h.lost {
		return
	}
	h.confirmed = slices.Contains(h.answered, req.AppliedSeq)
	if len(h.answered) == maxAnswered {
		h.answered = slices.Delete(h.answered, 0, 1)
	}
	h.answered = append(h.answered, req.Seq)
}

// limit returns the limit of key, creating one without capacity.
func (g *Table) limit(key structs.GrantKey) *limit {
	l, ok := g.limits[key]
	if !ok {
		l = &limit{rotation: keyHash(key), shares: make([]share, len(g.names))}
		g.limits[key] = l
		g.keys = nil
	}
	return l
}

// keyHash spreads floors and remainders of different limits over the hosts (FNV-1a).
func keyHash(key structs.GrantKey) int {
	h := uint32(2166136261)
	for _, s := range []string{string(key.Kind), "/", key.Name} {
		for i := 0; i < len(s); i++ {
			h = (h ^ uint32(s[i])) * 16777619
		}
	}
	return int(h & 0xffff)
}

// bound is the most that the holder may believe it holds.
func (s *share) bound() int {
	if len(s.sent) == 0 {
		return s.held
	}
	return max(s.held, s.sent[0].amount)
}

// confirm drops replies that the holder can no longer put in force.
func (s *share) confirm(applied uint64) {
	n := 0
	for n < len(s.sent) && s.sent[n].seq <= applied {
		n++
	}
	s.sent = slices.Delete(s.sent, 0, n)
}

// record notes a reply. Earlier replies of no larger amount are covered by it.
func (s *share) record(seq uint64, amount int) {
	for n := len(s.sent); n > 0 && s.sent[n-1].amount <= amount; n-- {
		s.sent = s.sent[:n-1]
	}
	if amount > 0 {
		s.sent = append(s.sent, sentGrant{seq: seq, amount: amount})
	}
}

// outstandingExcept returns what all holders but one, and ended incarnations,
// may hold.
func (l *limit) outstandingExcept(index int) int {
	sum := 0
	for i := range l.shares {
		if i != index {
			sum += l.shares[i].bound()
		}
	}
	for _, r := range l.retired {
		sum += r.amount
	}
	return sum
}
