package group

import (
	"time"

	"gooseberrypond/core/structs"
)

// promotableSilence is the longest silence of a learner that may be promoted: the
// consensus core refuses one that has been silent for longer.
const promotableSilence = structs.ElectionTimeoutMin

// member is what the leader knows of a member of the group.
type member struct {
	id      string
	address string
	voter   bool
	// silence is the time since the member last answered, or joined if that was later; 0
	// for the leader itself.
	silence time.Duration
	// heard is set if the member has answered this leader within voterTimeout.
	heard bool
	// leaving is set for a host that has announced that it stops.
	leaving bool
	// caughtUp is set if the member has every entry that is known to be committed.
	caughtUp bool
}

// changeKind is the kind of a membership change.
type changeKind int

const (
	noChange changeKind = iota
	promote
	remove
)

// change is a membership change that the leader makes by itself.
type change struct {
	kind   changeKind
	id     string
	reason string
}

// nextChange returns the change that brings the group nearer to surviving the loss of
// that many hosts, or noChange.
//
// The group survives them if a quorum of the voters is left, since it then has every
// acknowledged entry. Each voter that is gone for good uses up one loss, so it has to be
// removed; but a voter that is only silent has its data, and without it a group of
// 2*losses voters could not survive the loss of the disks of others. So:
//   - A voter whose data is certainly lost is removed at once, unless an entry could
//     then be acknowledged by so few voters that the losses can take all of them.
//   - A learner that has everything is promoted before any silent voter is removed.
//   - A silent voter is removed only if 2*losses+1 voters remain.
//   - A leaving voter, which has its data and may return soon, is removed only if as many
//     remain that answer.
func nextChange(members []member, losses int) change {
	voters := 0
	for _, m := range members {
		if m.voter {
			voters++
		}
	}
	for _, m := range members {
		successor, replaced := successorOf(m, members)
		if replaced && (!m.voter || voters-1 >= 2*losses || successor.voter) {
			return change{remove, m.id, "its data folder was lost"}
		}
	}
	for _, m := range members {
		if !m.voter && m.caughtUp && m.silence <= promotableSilence && !m.leaving {
			return change{promote, m.id, "it has every committed entry"}
		}
	}
	if voters-1 < minVoters(members, voters, losses) {
		return change{}
	}
	for _, m := range members {
		if m.voter && !m.answers() {
			return change{remove, m.id, "it has been silent for too long"}
		}
	}
	staying := 0
	for _, m := range members {
		if m.voter && m.heard && !m.leaving {
			staying++
		}
	}
	for _, m := range members {
		if m.voter && m.leaving && staying >= 2*losses+1 {
			return change{remove, m.id, "its host stops"}
		}
	}
	return change{}
}

// answers reports whether the member has answered within voterTimeout.
func (m member) answers() bool { return m.silence <= voterTimeout }

// successorOf returns the member that uses the address of m since m has lost its data
// folder. Only one replica at a time uses an address, so that is the one that answered
// later: after m did, or after m joined if it has not answered yet.
func successorOf(m member, members []member) (member, bool) {
	for _, x := range members {
		if x.id != m.id && m.address != "" && x.address == m.address && x.heard && x.silence < m.silence {
			return x, true
		}
	}
	return member{}, false
}

// minVoters returns the number of voters below which no voter is removed for silence. A
// group of fewer voters than the losses need, to which nobody is about to be added,
// keeps an odd number: with an even one more, a quorum needs one more too.
func minVoters(members []member, voters, losses int) int {
	needed := 2*losses + 1
	if voters >= needed || voters < len(members) {
		return needed
	}
	return voters - 1 + voters%2
}
