package graph

import "testing"

// Guards against changes of failure domains that a replica which leads again proposes late: those
// of a former term have no effect after those of a later one, also on a replica that has only its
// snapshot. The other parts of the batch are applied.
func TestDomainChangeOfAFormerTermHasNoEffect(t *testing.T) {
	tables := New()
	out := func(term uint64, out bool) *Batch {
		return &Batch{DomainTerm: term, NowMS: int64(term), Domains: []DomainChange{{Name: "z", Out: out}}}
	}
	tables.Apply(1, out(4, true))
	data, err := tables.Encode()
	if err != nil {
		t.Fatal(err)
	}
	restored, err := Decode(data)
	if err != nil {
		t.Fatal(err)
	}
	for name, tables := range map[string]*Tables{"applied": tables, "restored": restored} {
		late := out(3, false)
		late.Submits = []Spec{{ID: "00000000000000aa", Steps: []Step{{Count: 1}}}}
		if r := tables.Apply(2, late); !r.DomainsOutdated || !tables.DomainOut("z") || tables.Job("00000000000000aa") == nil {
			t.Errorf("%s: change of a former term: outdated %t, out %t", name, r.DomainsOutdated, tables.DomainOut("z"))
		}
		if r := tables.Apply(3, out(0, false)); r.DomainsOutdated || tables.DomainOut("z") {
			t.Errorf("%s: change of a former version: outdated %t, out %t", name, r.DomainsOutdated, tables.DomainOut("z"))
		}
		if r := tables.Apply(4, out(4, true)); r.DomainsOutdated || !tables.DomainOut("z") {
			t.Errorf("%s: change of the same term: outdated %t, out %t", name, r.DomainsOutdated, tables.DomainOut("z"))
		}
	}
}
