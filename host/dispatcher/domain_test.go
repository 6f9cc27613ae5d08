package dispatcher

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"gooseberrypond/core/dispatch"
	"gooseberrypond/core/graph"
	"gooseberrypond/store/replica"
)

// SetDomain gives an order as a host does whose caller waits.
func (d *Dispatcher) SetDomain(ctx context.Context, name string, out bool) Answer {
	change := graph.DomainChange{Name: name, Out: out}
	a := d.ChangeDomain(ctx, change, DomainVersion{})
	for a.Code == Outdated {
		a = d.ChangeDomain(ctx, change, a.Domains)
	}
	return a
}

// seen returns the current state of the failure domains, as an order without one is told.
func seen(t *testing.T, d *Dispatcher) DomainVersion {
	t.Helper()
	a := d.ChangeDomain(t.Context(), graph.DomainChange{Name: "z"}, DomainVersion{})
	if a.Code != Outdated || a.Domains.Term == 0 {
		t.Fatalf("an order without a state of the domains is answered %s, %+v", a.Code, a.Domains)
	}
	return a.Domains
}

func isOut(d *Dispatcher, name string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.tables.DomainOut(name)
}

// Guards against an order for a failure domain that was held up and is carried out after newer
// ones: it would undo what was acknowledged. That holds both ways, after orders that changed
// nothing, and after a change of leader.
func TestHeldUpDomainOrderHasNoEffect(t *testing.T) {
	for _, out := range []bool{false, true} {
		for name, newer := range map[string][]bool{
			"repeated, then the other": {out, !out},
			"the other":                {!out},
			"the other twice":          {!out, !out},
		} {
			for _, elects := range []bool{false, true} {
				d, log := startSingleReplica(t)
				if a := d.SetDomain(t.Context(), "z", !out); a.Code != Done {
					t.Fatalf("setup: %s", a.Code)
				}
				held := seen(t, d)
				for _, o := range newer {
					if a := d.SetDomain(t.Context(), "z", o); a.Code != Done {
						t.Fatalf("%s: newer order answered %s", name, a.Code)
					}
				}
				if elects {
					log.set(func() { log.term = 2 })
					log.changes <- replica.LeaderChange{Leading: true, Term: 2}
					for d.Dump().Term != 2 || !d.Dump().Leading {
						time.Sleep(time.Millisecond)
					}
				}
				if a := d.ChangeDomain(t.Context(), graph.DomainChange{Name: "z", Out: out}, held); a.Code != Outdated || !a.Final() {
					t.Errorf("%s, out %t, new leader %t: held-up order answered %s, want outdated for good", name, out, elects, a.Code)
				}
				if isOut(d, "z") == out {
					t.Errorf("%s, out %t, new leader %t: the held-up order has undone a newer one", name, out, elects)
				}
			}
		}
	}
}

// Guards against orders given at the same time that are refused for ever, or that are
// acknowledged without an effect.
func TestDomainOrdersAtTheSameTime(t *testing.T) {
	d, _ := startSingleReplica(t)
	var orders sync.WaitGroup
	for i := range 8 {
		orders.Go(func() {
			name := string(rune('a' + i))
			if a := d.SetDomain(t.Context(), name, true); a.Code != Done {
				t.Errorf("order for %s answered %s", name, a.Code)
			}
			if !isOut(d, name) {
				t.Errorf("%s is in service after its order was acknowledged", name)
			}
		})
	}
	orders.Wait()
}

// Guards against changes of failure domains of a former term that a replica which leads again
// proposes late: they have no effect, and are not acknowledged.
func TestDomainChangeOfAFormerTermIsNotApplied(t *testing.T) {
	d := New(Config{Workers: fakeWorkers{}, Logger: zerolog.Nop(), Limits: dispatch.Limits{LeaseMax: time.Second}})
	log := &singleReplicaLog{d: d}
	d.log = log
	l := &leadership{d: d, term: 2}
	commit := func(term uint64, out bool) error {
		return l.commit(t.Context(), &graph.Batch{DomainTerm: term, Domains: []graph.DomainChange{{Name: "z", Out: out}}})
	}
	if err := commit(2, true); err != nil {
		t.Fatal(err)
	}
	if a := answerOf(commit(1, false)); a.Code != Unknown {
		t.Errorf("change of a former term answered %s", a.Code)
	}
	if !isOut(d, "z") {
		t.Error("a change of a former term was applied after one of a later term")
	}
}
