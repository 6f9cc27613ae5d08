package dispatcher

import (
	"context"

	"gooseberrypond/core/graph"
)

// DomainVersion names a state of the failure domains: that after the given number of orders
// which the leader of a term has taken. The zero value names none.
type DomainVersion struct{ Term, Orders uint64 }

// domainVersion returns the current state. The caller must hold d.mu.
func (l *leadership) domainVersion() DomainVersion { return DomainVersion{l.term, l.domainOrders} }

// ChangeDomain takes a failure domain out of service or brings it back, if seen names the
// current state of the failure domains; otherwise the answer names that.
//
// A network or a host may hold an order up while its caller repeats it elsewhere and gives newer
// orders. Nothing in an order tells its age, so it is carried out only on the state for which it
// was given: each order that is taken, also one that changes nothing, makes all earlier ones
// outdated. Numbers of another term never match, and orders of a former term that enter the log
// late have no effect (graph.Batch.DomainTerm).
func (d *Dispatcher) ChangeDomain(ctx context.Context, change graph.DomainChange, seen DomainVersion) Answer {
	return d.countAnswer("setdomain", d.withLeader(ctx, func(l *leadership) (Answer, bool) {
		if err := d.tables.CheckDomain(&change); err != nil {
			return answer(Invalid, err.Error()), false
		}
		if now := l.domainVersion(); seen != now {
			a := answer(Outdated, "the order was given for another state of the failure domains")
			a.Domains = now
			if seen != (DomainVersion{}) {
				d.cfg.Logger.Info().Str("domain", change.Name).Bool("out", change.Out).Uint64("seen_term", seen.Term).Uint64("seen_orders", seen.Orders).
					Uint64("term", now.Term).Uint64("orders", now.Orders).Msg("order for a failure domain refused: others were taken after the state that it names")
			}
			return a.settled(), false
		}
		l.domainOrders++
		l.queued.add(queuedCall{domain: &change})
		return Answer{}, true
	}))
}
