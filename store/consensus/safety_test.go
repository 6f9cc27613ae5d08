package consensus

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestMain sets a fixed seed so that every run has the same result; the flag
// -rapid.seed selects another one. rapid prints the seed of a failure and replays
// the failures stored under testdata.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20260101", "rapid.checks": "150", "rapid.steps": "60"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// Guards against two leaders in one term, diverging logs, lost committed entries,
// stale reads, leases that overlap with a later leader, and groups that do not
// recover. Random sequences of crashes, pauses, partitions, message faults,
// snapshots, leadership transfers, membership changes and lost disks cause them.
func TestSafetyUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.SampledFrom([]int{1, 3, 3, 5}).Draw(t, "size")
		g := newGroup(rapid.Uint64().Draw(t, "seed"), size, t.Fatalf)
		f := &faults{g: g}
		t.Repeat(map[string]func(*rapid.T){
			"propose":   f.thenRun(f.propose),
			"read":      f.thenRun(f.read),
			"crash":     f.thenRun(f.crash),
			"bounce":    f.thenRun(f.crashAndRestart),
			"restart":   f.thenRun(f.restart),
			"pause":     f.thenRun(f.pause),
			"partition": f.thenRun(f.partition),
			"isolate":   f.thenRun(f.isolate),
			"network":   f.thenRun(f.network),
			"heal":      f.thenRun(func(*rapid.T) { g.heal() }),
			"snapshot":  f.thenRun(f.takeSnapshot),
			"transfer":  f.thenRun(f.transfer),
			"change":    f.thenRun(f.change),
			"wipe":      f.thenRun(f.replaceDisk),
			"":          func(*rapid.T) { g.checkLogs() },
		})
		f.recover(t)
	})
}

// faults implements the random actions of TestSafetyUnderFaults.
type faults struct {
	g *group
	// lostDisk is the replica whose disk was lost. While it is a member, the removal
	// of another voter may leave no quorum that holds all committed entries.
	lostDisk ID
}

func (f *faults) node(t *rapid.T) *node {
	return f.g.nodes[rapid.SampledFrom(f.g.ids).Draw(t, "node")]
}

// thenRun returns an action that performs the given one and then runs the group
// for a random time.
func (f *faults) thenRun(action func(*rapid.T)) func(*rapid.T) {
	return func(t *rapid.T) {
		action(t)
		f.g.clientsActive = rapid.Bool().Draw(t, "busy")
		f.g.run(time.Duration(rapid.SampledFrom([]int{0, 1, 5, 20, 50, 90, 120, 200}).Draw(t, "steps")) * step)
	}
}

func (f *faults) propose(t *rapid.T) {
	if n := f.g.leader(); n != nil {
		f.g.propose(n, rapid.IntRange(0, 300).Draw(t, "bytes"))
		f.stepWithCrash(t, n)
	}
}

// stepWithCrash carries out the effects of a node, which in some cases crashes
// before it has carried out all of them.
func (f *faults) stepWithCrash(t *rapid.T, n *node) {
	f.g.applyEffects(n, rapid.IntRange(0, 12).Draw(t, "crash after"))
}

func (f *faults) read(t *rapid.T) {
	n := f.node(t)
	if f.g.isRunning(n) && n.core.role == Leader {
		f.g.read(n)
		f.g.applyEffects(n)
	}
}

func (f *faults) crash(t *rapid.T) { f.g.crash(f.node(t)) }

// crashAndRestart crashes a node, in some cases while it carries out effects, and
// restarts it at once.
func (f *faults) crashAndRestart(t *rapid.T) {
	n := f.node(t)
	if !f.g.isRunning(n) {
		return
	}
	f.g.propose(n, 1)
	f.stepWithCrash(t, n)
	f.g.crash(n)
	f.g.start(n)
}

func (f *faults) restart(t *rapid.T) {
	if n := f.node(t); n.core == nil && !n.diskLost {
		f.g.start(n)
	}
}

// pause suspends a node without a crash. Its lease may still be used.
func (f *faults) pause(t *rapid.T) {
	f.node(t).paused = f.g.now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "steps")) * step)
}

func (f *faults) partition(t *rapid.T) {
	for _, id := range f.g.ids {
		f.g.partitionOf[id] = rapid.IntRange(0, 1).Draw(t, id)
	}
}

// isolate partitions the leader from all others, or delays the messages to it.
func (f *faults) isolate(t *rapid.T) {
	n := f.g.leader()
	if n == nil {
		return
	}
	if rapid.Bool().Draw(t, "cut") {
		f.g.partitionOf = map[ID]int{n.id: 1}
		return
	}
	f.g.linkDelay = map[[2]ID]time.Duration{}
	for _, id := range f.g.ids {
		d := rapid.SampledFrom([]int{0, 50, 120, 250, 600}).Draw(t, "slow ms")
		f.g.linkDelay[[2]ID{id, n.id}] = time.Duration(d) * time.Millisecond
	}
}

func (f *faults) network(t *rapid.T) {
	f.g.loss = rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(t, "loss")
	f.g.delay = time.Duration(rapid.SampledFrom([]int{1, 20, 150}).Draw(t, "delay ms")) * time.Millisecond
}

func (f *faults) takeSnapshot(t *rapid.T) {
	if n := f.node(t); f.g.isRunning(n) {
		f.g.takeSnapshot(n)
	}
}

func (f *faults) transfer(t *rapid.T) {
	if n := f.g.leader(); n != nil {
		n.core.TransferLeadership(f.g.clock(n), "")
		f.stepWithCrash(t, n)
	}
}

func (f *faults) change(t *rapid.T) {
	n := f.g.leader()
	if n == nil {
		return
	}
	now := f.g.clock(n)
	id := rapid.SampledFrom(f.g.ids).Draw(t, "member")
	switch rapid.IntRange(0, 3).Draw(t, "change") {
	case 0:
		if len(f.g.ids) < 8 {
			f.g.nextID++
			id = fmt.Sprint("x", f.g.nextID)
			f.g.add(id, PersistedState{})
			n.core.AddLearner(now, id, "")
		}
	case 1:
		if f.lostDisk != "" {
			id = f.lostDisk
		}
		n.core.Remove(now, id)
	default:
		n.core.Promote(now, id)
	}
	f.stepWithCrash(t, n)
}

// replaceDisk replaces the data folder of one voter, at most once per run: committed
// entries may be lost if more than a minority lose their disks.
func (f *faults) replaceDisk(t *rapid.T) {
	n := f.node(t)
	if f.lostDisk != "" || n.disk.State.Commit < 2 || f.hasSmallMembership() {
		return
	}
	f.lostDisk = n.id
	persisted := PersistedState{}
	if rapid.Bool().Draw(t, "bootstrap settings") {
		persisted = Bootstrap(f.g.initial())
	}
	f.g.add(n.id, persisted)
}

// hasSmallMembership reports whether some replica has, or is being sent, a
// membership with fewer than three voters, which cannot tolerate the loss of a
// disk.
func (f *faults) hasSmallMembership() bool {
	few := func(es []Entry) bool {
		return slices.ContainsFunc(es, func(e Entry) bool {
			m, _ := DecodeMembership(e.Data)
			return e.Kind == EntryConfig && m.VoterCount() < 3
		})
	}
	for _, id := range f.g.ids {
		disk := f.g.nodes[id].disk
		if v := disk.Snapshot.Membership.VoterCount(); few(disk.Entries) || v == 1 || v == 2 {
			return true
		}
	}
	return slices.ContainsFunc(f.g.packets, func(p packet) bool { return few(p.m.Entries) })
}

// recover ends all faults and fails the test unless the group commits again and
// all members catch up.
func (f *faults) recover(t *rapid.T) {
	g := f.g
	g.heal()
	for range 40 {
		g.run(500 * time.Millisecond)
		before := g.commit
		if n := g.leader(); n != nil {
			n.core.Propose(g.clock(n), []byte("last"))
			g.applyEffects(n)
			g.run(500 * time.Millisecond)
			if g.commit > before && n.core != nil && n.core.role == Leader && n.core.commit > before && f.allApplied(n) {
				g.checkLogs()
				return
			}
		}
	}
	for _, id := range g.ids {
		if n := g.nodes[id]; n.core != nil {
			t.Logf("%s: %+v", id, n.core.Status())
		}
	}
	t.Fatalf("the group did not recover")
}

// allApplied reports whether all running members have applied the entries up to
// the leader's commit index.
func (f *faults) allApplied(l *node) bool {
	for _, x := range l.core.members.Members {
		n := f.g.nodes[x.ID]
		if n.core != nil && n.applied.Index < l.core.commit {
			return false
		}
	}
	return true
}
