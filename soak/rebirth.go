package soak

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// rebirth is a fault in which workers die and return under their ids, cut off from the
// control hosts, beside a fault of the leader.
type rebirth struct {
	// workers is how many die together.
	workers int
	// deaths is how often each dies, down how long it is gone each time.
	deaths int
	down   time.Duration
	move   bool // it returns at another address
	// link is what the proxy does when the last life has got the number of calls in after.
	link  link
	after int
	// before is what it does for the time lead before the first death.
	before link
	lead   time.Duration
	// late is the share of orders that are carried out late.
	late float64
	// leader is what becomes of the leader, at the time leaderAt after the first death.
	leader   kind
	leaderAt time.Duration
}

func (b *rebirth) String() string {
	return fmt.Sprintf("%d workers die %d times, gone %v, moved %t, %v before link %v, after %d calls link %v, late %.2f, %s after %v",
		b.workers, b.deaths, b.down.Round(time.Millisecond), b.move, b.lead.Round(time.Millisecond), b.before, b.after, b.link, b.late, b.leader, b.leaderAt.Round(time.Millisecond))
}

// startWait is how long a death waits for a start that is under way.
const startWait = 800 * time.Millisecond

func upTo(r *rand.Rand, d time.Duration) time.Duration { return time.Duration(r.Int64N(int64(d))) }

func newRebirth(r *rand.Rand) *rebirth {
	b := &rebirth{workers: 1 + r.IntN(2)*r.IntN(3), deaths: 1 + r.IntN(4)/3, down: 20*time.Millisecond + upTo(r, 600*time.Millisecond), move: r.IntN(6) == 0}
	b.link = newLink(r)
	b.after = r.IntN(2) * r.IntN(6)
	b.lead = 5*time.Millisecond + upTo(r, 400*time.Millisecond)
	b.before = link{keep: b.link.keep, calls: r.IntN(2) == 0} // orders under way at the death wait
	if r.IntN(4) == 0 {
		b.before = b.link
	}
	if r.IntN(3) == 0 {
		b.late = 0.2 + 0.6*r.Float64()
	}
	b.leader = []kind{"", "", "", "", "", killLeader, pauseLeader, stopLeader}[r.IntN(8)]
	b.leaderAt = upTo(r, 1500*time.Millisecond)
	return b
}

func newLink(r *rand.Rand) link {
	l := link{keep: r.IntN(4) > 0, lost: r.IntN(3) == 0}
	switch r.IntN(6) {
	case 0, 1:
		l.calls, l.answers = true, true
	case 2, 3:
		l.answers = true
	case 4:
		l.calls = true
	case 5:
		l.delay, l.reset = upTo(r, 800*time.Millisecond), r.IntN(2) == 0
	}
	l.beats = []beats{beatsArrive, beatsArrive, beatsArrive, beatsCut, beatsUnanswered, beatsLate}[r.IntN(6)]
	return l
}

// addRebirths adds faults of this kind to a schedule. They come from random numbers of
// their own, so that the others of a seed stay what they are.
func addRebirths(seed uint64, length, every time.Duration, schedule []fault) []fault {
	r := rand.New(rand.NewPCG(seed, 6))
	for at := time.Second; ; {
		if at += time.Duration(r.ExpFloat64() * float64(every)); at >= length {
			return schedule
		}
		schedule = append(schedule, fault{at: at, kind: reborn, target: r.IntN(1000), duration: time.Second + upTo(r, 6*time.Second), rebirth: newRebirth(r)})
	}
}

// playRebirth brings a fault of this kind about.
func (s *system) playRebirth(f fault) error {
	errs := make(chan error)
	b, begun := f.rebirth, 0
	all := s.allWorkers()
	for i := 0; i < len(all) && begun < b.workers; i++ {
		n := (f.target + i) % len(all)
		if p := all[n]; p.busy.TryLock() {
			begun++
			go func() {
				defer p.busy.Unlock()
				errs <- s.dieAndReturn(f, n, p)
			}()
		}
	}
	begun++
	go func() { errs <- s.besideIt(f) }()
	var err error
	for range begun {
		err = errors.CombineErrors(err, <-errs)
	}
	return err
}

// dieAndReturn plays the deaths and lives of one worker.
func (s *system) dieAndReturn(f fault, n int, p *worker) error {
	defer s.mend(p)
	b := f.rebirth
	if b.late > 0 {
		p.Delay(f.duration, b.late)
	}
	p.set(b.before)
	if b.before.calls && b.link.keep {
		p.awaitStart(startWait)
		time.Sleep(b.lead / 8)
	} else {
		time.Sleep(b.lead)
	}
	for d := range b.deaths {
		p.kill()
		time.Sleep(b.down)
		if err := s.comeBack(b, p, d == b.deaths-1); err != nil {
			return err
		}
		s.wg.Go(func() { s.beat(n, p) })
		time.Sleep(b.down)
	}
	time.Sleep(f.duration)
	return nil
}

// comeBack begins the next life of a worker; the link of the last one breaks as planned.
func (s *system) comeBack(b *rebirth, p *worker, last bool) error {
	var err error
	if b.move {
		err = p.move()
	}
	switch {
	case !last:
	case b.after > 0:
		p.set(link{keep: b.link.keep})
		p.setAfter(b.after, b.link)
	default:
		p.set(b.link)
	}
	return errors.CombineErrors(err, p.revive())
}

// besideIt brings the fault of the leader about. It is shorter than that of the workers.
func (s *system) besideIt(f fault) error {
	b := f.rebirth
	time.Sleep(b.lead + b.leaderAt)
	f.duration /= 4
	switch b.leader {
	case killLeader:
		return s.down(f, syscall.SIGKILL, s.leader())
	case stopLeader:
		return s.down(f, syscall.SIGTERM, s.leader())
	case pauseLeader:
		h := s.leader()
		h.signal(syscall.SIGSTOP)
		time.Sleep(f.duration)
		h.signal(syscall.SIGCONT)
	}
	return nil
}
