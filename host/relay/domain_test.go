package relay

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"gooseberrypond/host/dispatcher"
)

// domainLeader takes orders for failure domains that name its current state.
type domainLeader struct {
	mu     sync.Mutex
	now    dispatcher.DomainVersion
	orders []DomainArgs
	// outdated is called before an order is refused.
	outdated func()
}

func (f *domainLeader) SetDomain(a *DomainArgs, r *Reply) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.orders = append(f.orders, *a)
	if a.Seen != f.now {
		r.Answer = dispatcher.Answer{Code: dispatcher.Outdated, Domains: f.now, Settled: true}
		f.outdated()
		return nil
	}
	f.now.Orders++
	r.Code = dispatcher.Done
	return nil
}

func clientOfDomains(t *testing.T) (*Client, *domainLeader) {
	f := &domainLeader{now: dispatcher.DomainVersion{Term: 3, Orders: 7}, outdated: func() {}}
	address := serveControl(t, f)
	c := NewClient(func() []string { return []string{address} }, zerolog.Nop())
	c.setLeader(address, Info{Term: 3})
	return c, f
}

// Guards against an order that names no state of the failure domains, or not the newest one that
// its host knows while its caller waits: no such order can be told from one that was held up.
func TestDomainOrderNamesTheStateItIsGivenFor(t *testing.T) {
	c, f := clientOfDomains(t)
	refused := 0
	f.outdated = func() { // others are faster, twice
		if refused++; refused < 3 {
			f.now.Orders++
		}
	}
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	if a, err := c.SetDomain(ctx, "z", true); err != nil || a.Code != dispatcher.Done {
		t.Fatalf("the caller was told %s, %v, want done", a.Code, err)
	}
	if n := len(f.orders); n != 4 || f.orders[n-1].Seen.Orders != 9 || !f.orders[n-1].Out {
		t.Errorf("orders %+v, want four, the last for the state after 9 orders", f.orders)
	}
}

// Guards against an order for a state that was read after the caller had turned to another host:
// the caller may have given newer orders before that state. The host may have stood still, or its
// machine was suspended, which its steady clock does not count.
func TestDomainOrderOfACallerThatIsGoneIsNotGivenAgain(t *testing.T) {
	for _, suspended := range []bool{false, true} {
		c, f := clientOfDomains(t)
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		defer cancel()
		var mu sync.Mutex
		var slept time.Duration
		c.sinceBoot = func() time.Time {
			mu.Lock()
			defer mu.Unlock()
			return time.Now().Add(slept)
		}
		f.outdated = func() {
			if !suspended {
				cancel()
				return
			}
			mu.Lock()
			defer mu.Unlock()
			slept = time.Minute
		}
		_, err := c.SetDomain(ctx, "z", true)
		if err == nil || suspended && !errors.Is(err, ErrTooLate) {
			t.Errorf("suspended %t: the caller was told %v, want that it is too late", suspended, err)
		}
		f.mu.Lock()
		if len(f.orders) != 1 {
			t.Errorf("suspended %t: orders %+v, want only the first, which has no effect", suspended, f.orders)
		}
		f.mu.Unlock()
	}
}
