// Package grant divides integer limits, such as the slots of an upstream or the
// request rate of an owner, among the entry hosts. Shares are leased: the sum of
// the shares that the hosts may believe they hold stays within the capacity when
// syncs are lost, delayed, repeated or reordered, when hosts restart and when the
// leader changes.
//
// The package does no I/O and reads no clock; time is passed in. A Table is not
// safe for concurrent use and is used for one leadership only.
package grant

import (
	"slices"
	"time"

	"gooseberrypond/core/structs"
)

const (
	// floorDivisor sets the part of a capacity that is granted without demand,
	// one in floorDivisor, so that an idle host can start some requests without
	// waiting for a sync. A larger part would leave slots unused on idle hosts.
	floorDivisor = 4
	// spareDivisor sets the part of the unused capacity that is granted to hosts
	// with demand beyond it, one in spareDivisor, so that a burst need not wait
	// for a sync. The rest stays free for immediate grants.
	spareDivisor = 2
	// rotatePeriod is the period at which a capacity smaller than the number of
	// hosts with demand is passed on to other hosts.
	rotatePeriod = time.Second
)

// Table is the leader's record of outstanding shares.
type Table struct {
	electedAt   time.Time
	firstLeader bool     // first leader of the cluster: no host holds shares from before
	names       []string // configured entry hosts, sorted
	holders     []holder // by index in names
	limits      map[structs.GrantKey]*limit
	keys        []structs.GrantKey // sorted keys of limits; nil after a change
}

// holder is the state of one configured entry host. Only entry hosts hold shares.
type holder struct {
	known bool // has synced with this leader
	// confirmed is set once the host has reported that it applied a reply of this
	// leader. Until then its report may be an old one, delayed since an earlier
	// leader, that does not include what the earlier leader granted afterwards.
	confirmed bool
	answered  []uint64 // numbers of the last syncs answered while not confirmed
	// priorSharesUnknown is set if the host restarted before it was confirmed, or
	// so shortly before its first report that requests of the earlier incarnation
	// may still run. The shares of that incarnation under an earlier leader can
	// then never be known.
	priorSharesUnknown bool
	incarnation        uint64
	seq                uint64
	lastSync           time.Time
	stopping           bool
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
	sent   []sentGrant // unconfirmed replies, in order, with strictly decreasing amounts
}

// sentGrant is an amount in a reply that the holder may still apply.
type sentGrant struct {
	seq    uint64
	amount int
}

// retired is a share of an earlier incarnation, whose requests may run until the
// given time.
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

// SetFirstLeader records that this is the first leader of the cluster, so that no
// entry host can have started a request before the election. Young hosts then
// have no earlier incarnation whose requests may still run.
func (g *Table) SetFirstLeader() { g.firstLeader = true }

// SetCapacity sets the capacity of a limit and the maximum share of one host;
// perHostMax 0 means no maximum. A lower capacity takes effect as holders confirm
// their reduced shares.
func (g *Table) SetCapacity(key structs.GrantKey, capacity int, perHostMax int) {
	l := g.limit(key)
	l.capacity = max(capacity, 0)
	l.perHostMax = max(perHostMax, 0)
	l.removed = false
}

// Remove removes a limit. Its outstanding shares still count if the limit is set
// again before they have ended.
func (g *Table) Remove(key structs.GrantKey) {
	l, ok := g.limits[key]
	if !ok {
		return
	}
	l.capacity = 0
	l.removed = true
}

// Outstanding returns the maximum total of a limit that holders may hold.
func (g *Table) Outstanding(key structs.GrantKey) int {
	l, ok := g.limits[key]
	if !ok {
		return 0
	}
	return l.outstandingExcept(-1)
}

// HoldingsKnown reports whether the outstanding shares are known, so that new
// shares may be granted. That is so once every configured entry host has reported its
// holdings after applying a reply of this leader, and none of them restarted
// shortly before, or once GrantReclaim has passed since the election.
func (g *Table) HoldingsKnown(now time.Time) bool {
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

// maxAnswered is the maximum length of holder.answered. A host that has confirmed
// none of these replies can still confirm a later one.
const maxAnswered = 16

// confirm records whether the report shows that the host has applied a reply of
// this leader.
func (h *holder) confirm(req *structs.EntrySync) {
	if h.confirmed || h.priorSharesUnknown {
		return
	}
	h.confirmed = slices.Contains(h.answered, req.AppliedSeq)
	if len(h.answered) == maxAnswered {
		h.answered = slices.Delete(h.answered, 0, 1)
	}
	h.answered = append(h.answered, req.Seq)
}

// limit returns the limit of key. If there is none, it creates one with capacity 0.
func (g *Table) limit(key structs.GrantKey) *limit {
	l, ok := g.limits[key]
	if !ok {
		l = &limit{rotation: keyHash(key), shares: make([]share, len(g.names))}
		g.limits[key] = l
		g.keys = nil
	}
	return l
}

// keyHash returns a hash of the key (FNV-1a). It spreads the floors and remainders
// of different limits over the hosts.
func keyHash(key structs.GrantKey) int {
	h := uint32(2166136261)
	for _, s := range []string{string(key.Kind), "/", key.Name} {
		for i := 0; i < len(s); i++ {
			h = (h ^ uint32(s[i])) * 16777619
		}
	}
	return int(h & 0xffff)
}

// bound returns the maximum amount that the holder may believe it holds.
func (s *share) bound() int {
	if len(s.sent) == 0 {
		return s.held
	}
	return max(s.held, s.sent[0].amount)
}

// confirm removes the replies that the holder can no longer apply.
func (s *share) confirm(applied uint64) {
	n := 0
	for n < len(s.sent) && s.sent[n].seq <= applied {
		n++
	}
	s.sent = slices.Delete(s.sent, 0, n)
}

// record adds a reply. It makes earlier replies with the same or a smaller amount
// redundant for bound, so they are removed.
func (s *share) record(seq uint64, amount int) {
	for n := len(s.sent); n > 0 && s.sent[n-1].amount <= amount; n-- {
		s.sent = s.sent[:n-1]
	}
	if amount > 0 {
		s.sent = append(s.sent, sentGrant{seq: seq, amount: amount})
	}
}

// outstandingExcept returns the maximum total that all holders but one and all
// earlier incarnations may hold. Index -1 excludes no holder.
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
