package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// kind is a kind of fault.
type kind string

// Kinds of faults. Those of hosts name a control or an entry host.
const (
	killHost     kind = "kill"      // and start again after the time
	pauseHost    kind = "pause"     // for the time
	terminate    kind = "terminate" // and start again after the time
	wipeHost     kind = "wipe"      // kill, remove the data, start again after the time
	killLeader   kind = "kill leader"
	pauseLeader  kind = "pause leader"
	killControl  kind = "kill all control hosts"
	hangUp       kind = "settings changed"
	crashWorker  kind = "worker crash"
	silentWorker kind = "worker silent"
	lateOrders   kind = "orders carried out late"
	lostAnswers  kind = "answers lost"
	drainWorker  kind = "worker leaves, another one comes"
	domainOut    kind = "domain out and in"
	changeConfig kind = "configuration change"
	withdrawKey  kind = "key withdrawn"
	// reborn is described in rebirth; stopLeader is used only there.
	reborn     kind = "workers die and return"
	stopLeader kind = "terminate leader"
	// The following ones change who the control hosts are, or cost data.
	loseDisks        kind = "control hosts killed, disks lost"
	replaceUnplanned kind = "control host gone, another one comes"
	replacePlanned   kind = "control host replaced as planned"
	addHost          kind = "control host added"
)

// fault is one fault of a schedule.
type fault struct {
	at, duration time.Duration
	kind         kind
	// target selects a host, worker or domain, modulo their number.
	target  int
	share   float64
	rebirth *rebirth
}

func (f fault) String() string {
	if f.rebirth != nil {
		return fmt.Sprintf("%6.2f s %s for %.2f s from worker %d: %v", f.at.Seconds(), f.kind, f.duration.Seconds(), f.target, f.rebirth)
	}
	return fmt.Sprintf("%6.2f s %-34s %5.2f s target %d share %.2f", f.at.Seconds(), f.kind, f.duration.Seconds(), f.target, f.share)
}

const (
	// wipePause is the shortest time between two faults of which one loses a disk: the
	// group has to have its copies back before it may lose one more.
	wipePause = 12 * time.Second
	// faultEvery is the mean time between two faults. They last longer, so they overlap.
	faultEvery = 700 * time.Millisecond
	// rebirthEvery is the mean time between two faults in which workers die and return, and
	// rebornEvery that of a run that is full of them.
	rebirthEvery, rebornEvery = 5 * time.Second, 900 * time.Millisecond
	// rebornFaultEvery is the mean time between two other faults of such a run.
	rebornFaultEvery = 2500 * time.Millisecond
	// leaseMax is the longest lease of a worker, rebornLease that of a run full of workers
	// that die and return: a run that is released too early goes on the longer.
	leaseMax, rebornLease = 4 * time.Second, 8 * time.Second
	// graceful is how long a process may take to end after SIGTERM.
	graceful = 6 * time.Second
)

// weighted lists each kind as often as it is drawn.
var weighted = []kind{
	killHost, killHost, pauseHost, pauseHost, terminate, terminate, wipeHost, killLeader, killLeader, pauseLeader, pauseLeader,
	killControl, hangUp, crashWorker, crashWorker, silentWorker, silentWorker, lateOrders, lateOrders, lostAnswers, lostAnswers,
	drainWorker, domainOut, changeConfig, changeConfig, withdrawKey,
}

// weightedDense lists the kinds of a dense run.
var weightedDense = []kind{
	killHost, killHost, pauseHost, pauseHost, terminate, terminate, killLeader, killLeader, pauseLeader, pauseLeader, killControl,
	loseDisks, loseDisks, replaceUnplanned, replacePlanned, replacePlanned, addHost,
}

// kindsOf returns the kinds of faults of a run, each as often as it is drawn.
func kindsOf(o Options) []kind {
	if o.Dense {
		return weightedDense
	}
	return weighted
}

// scheduleOf draws the faults of a run.
func scheduleOf(o Options) []fault {
	var out []fault
	switch {
	case o.Dense:
		return newSchedule(o.Seed, o.Length, faultEvery, kindsOf(o))
	case o.Reborn:
		out = addRebirths(o.Seed, o.Length, rebornEvery, newSchedule(o.Seed, o.Length, rebornFaultEvery, kindsOf(o)))
	default:
		out = addRebirths(o.Seed, o.Length, rebirthEvery, newSchedule(o.Seed, o.Length, faultEvery, kindsOf(o)))
	}
	slices.SortStableFunc(out, func(a, b fault) int { return int(a.at - b.at) })
	return out
}

// newSchedule draws faults for a run of the given length.
func newSchedule(seed uint64, length, every time.Duration, kinds []kind) []fault {
	r := rand.New(rand.NewPCG(seed, 2))
	var out []fault
	var lastWipe time.Duration = -wipePause
	for at := time.Second; at < length; {
		k := kinds[r.IntN(len(kinds))]
		f := fault{at: at, kind: k, target: r.IntN(1000), share: 0.2 + 0.6*r.Float64(), duration: 300*time.Millisecond + time.Duration(r.Int64N(int64(3500*time.Millisecond)))}
		if k == wipeHost {
			if at-lastWipe < wipePause {
				f.kind = killHost
			} else {
				lastWipe = at
			}
		}
		out = append(out, f)
		at += time.Duration(r.ExpFloat64() * float64(every))
	}
	return out
}
