package consensus

import (
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"gooseberrypond/core/codec"
)

// Member is a replica of the group.
type Member struct {
	ID      ID     `cbor:"1,keyasint"`
	Address string `cbor:"2,keyasint"`
	// Voter is false for a learner, which receives entries but does not count
	// for any quorum.
	Voter bool `cbor:"3,keyasint"`
	// Instance identifies the member's data folder. It is empty until it is
	// recorded: by the first leader for initial members, and on promotion for
	// learners.
	Instance string `cbor:"4,keyasint"`
}

// Membership lists the members of the group, sorted by id.
type Membership struct {
	Members []Member `cbor:"1,keyasint"`
}

// Get returns the member with the id.
func (m Membership) Get(id ID) (Member, bool) {
	for _, x := range m.Members {
		if x.ID == id {
			return x, true
		}
	}
	return Member{}, false
}

// IsVoter reports whether id is a voter.
func (m Membership) IsVoter(id ID) bool {
	x, ok := m.Get(id)
	return ok && x.Voter
}

// VoterCount returns the number of voters.
func (m Membership) VoterCount() int {
	n := 0
	for _, x := range m.Members {
		if x.Voter {
			n++
		}
	}
	return n
}

// With returns a copy that includes x, in place of any member with the same id.
func (m Membership) With(x Member) Membership {
	c := m.Without(x.ID)
	c.Members = append(c.Members, x)
	slices.SortFunc(c.Members, func(a, b Member) int { return strings.Compare(a.ID, b.ID) })
	return c
}

// Without returns a copy that does not include the member.
func (m Membership) Without(id ID) Membership {
	var c Membership
	for _, x := range m.Members {
		if x.ID != id {
			c.Members = append(c.Members, x)
		}
	}
	return c
}

// Encode returns the membership encoded as the data of an EntryConfig.
func (m Membership) Encode() []byte {
	b, err := cbor.Marshal(m)
	if err != nil {
		panic(err) // strings and booleans always encode
	}
	return b
}

// DecodeMembership decodes the data of an EntryConfig.
func DecodeMembership(data []byte) (Membership, error) {
	var m Membership
	if err := codec.Unmarshal(data, &m); err != nil {
		return m, errors.Wrap(err, "decode membership")
	}
	return m, nil
}

// Bootstrap returns the persisted state with which every initial member starts.
func Bootstrap(members []Member) PersistedState {
	var m Membership
	for _, x := range members {
		m = m.With(Member{ID: x.ID, Address: x.Address, Voter: true})
	}
	e := Entry{Index: 1, Term: 1, Kind: EntryConfig, Data: m.Encode()}
	return PersistedState{State: HardState{Term: 1, Commit: 1}, Entries: []Entry{e}}
}
