// Package organisation accounts for what organisations may hold: their limits, and
// their shares of a full pool.
package organisation

import (
	"math"

	"gooseberrypond/core/graph"
	"gooseberrypond/core/structs"
)

// Ledger has what each organisation holds while a plan is made. A nil Ledger knows no
// limits.
type Ledger struct {
	tables   *graph.Tables
	capacity structs.Resources
	accounts map[string]*Account
}

// Account is what a ledger has of one organisation.
type Account struct {
	ledger *Ledger
	weight float64
	limit  structs.Resources
	use    structs.Resources
	// held is room that is kept for work of the organisation that needs more.
	held structs.Resources

	// ranking is the ranking that the following fields are of.
	ranking *Ranking
	ranked  structs.Resources
	list    *list
}

// New returns a ledger with the usage in the tables. capacity is that of the usable
// workers.
func New(tables *graph.Tables, capacity structs.Resources) *Ledger {
	return &Ledger{tables: tables, capacity: capacity, accounts: map[string]*Account{}}
}

// Account returns the account of an organisation, which is valid as long as the ledger.
func (l *Ledger) Account(name string) *Account {
	a := l.accounts[name]
	if a == nil {
		a = &Account{ledger: l, weight: 1, use: l.tables.Usage(name)}
		if c := l.tables.Config(); c != nil {
			if o := c.OrganisationByName(name); o != nil {
				a.weight, a.limit = Weight(o), o.Limit
			}
		}
		l.accounts[name] = a
	}
	return a
}

// Weight returns the weight of an organisation in the configuration; 0 counts as 1.
func Weight(o *graph.Organisation) float64 {
	if o.Weight <= 0 {
		return 1
	}
	return o.Weight
}

// Weight returns an organisation's weight; one that the configuration does not name has 1.
func (l *Ledger) Weight(name string) float64 { return l.Account(name).weight }

// Limit returns an organisation's limit; a dimension of 0 has none.
func (l *Ledger) Limit(name string) structs.Resources { return l.Account(name).limit }

// Room returns what an organisation may still reserve. It is negative in the dimensions
// in which the organisation is over its limit.
func (l *Ledger) Room(name string) structs.Resources {
	if l == nil {
		return structs.Resources{}.Left(structs.Resources{})
	}
	a := l.Account(name)
	return a.limit.Left(a.use.Add(a.held))
}

// Fits reports whether an organisation may reserve need.
func (l *Ledger) Fits(name string, need structs.Resources) bool { return need.Fits(l.Room(name)) }

// Take records that n tasks of the given need are placed; a negative n takes them back.
func (l *Ledger) Take(name string, need structs.Resources, n int) {
	if l == nil {
		return
	}
	a := l.Account(name)
	a.use = a.use.Add(need.Scale(int64(n)))
}

// Hold keeps an organisation's room for work that needs more than there is, so that its
// smaller work does not keep that out for ever. Work that exceeds the whole limit holds
// nothing.
func (l *Ledger) Hold(name string, need structs.Resources) {
	if l == nil {
		return
	}
	a := l.Account(name)
	if !need.Within(a.limit) {
		return
	}
	room := a.limit.Left(a.use.Add(a.held))
	a.held = a.held.Add(structs.Resources{
		CPUMilli:     min(need.CPUMilli, max(0, room.CPUMilli)),
		MemoryMB:     min(need.MemoryMB, max(0, room.MemoryMB)),
		Accelerators: min(need.Accelerators, max(0, room.Accelerators)),
	})
}

// Share returns an organisation's weighted dominant share: the largest fraction of the
// capacity that it holds in any dimension, divided by its weight.
func (l *Ledger) Share(name string) float64 { return l.ShareWith(name, structs.Resources{}) }

// ShareWith returns what Share would be if the organisation held extra in addition.
func (l *Ledger) ShareWith(name string, extra structs.Resources) float64 {
	if l == nil {
		return 0
	}
	return l.Account(name).ShareWith(extra)
}

// ShareWith is Ledger.ShareWith for the organisation of the account.
func (a *Account) ShareWith(extra structs.Resources) float64 {
	return a.use.Add(extra).DominantShare(a.ledger.capacity) / a.weight
}

// Weight returns the organisation's weight.
func (a *Account) Weight() float64 { return a.weight }

// TasksWithin returns how many tasks of the given need, which is not zero, the
// organisation may hold besides extra without a share above the given one.
func (a *Account) TasksWithin(share float64, extra, need structs.Resources) int {
	use, capacity := a.use.Add(extra), a.ledger.capacity
	n := math.Inf(1)
	for _, d := range [...][3]int64{
		{need.CPUMilli, use.CPUMilli, capacity.CPUMilli},
		{need.MemoryMB, use.MemoryMB, capacity.MemoryMB},
		{need.Accelerators, use.Accelerators, capacity.Accelerators},
	} {
		if d[0] > 0 && d[2] > 0 {
			n = min(n, (share*a.weight*float64(d[2])-float64(d[1]))/float64(d[0]))
		}
	}
	return int(max(0, min(n, math.MaxInt32)))
}
