package consensus

import (
	"fmt"
	"hash/crc32"
	"math/rand/v2"
	"time"

	"gooseberrypond/core/structs"
)

// step is the interval of virtual time between two ticks.
const step = 5 * time.Millisecond

// node is a simulated replica with its disk and its clock.
type node struct {
	id       ID
	instance string
	core     *Core // nil while crashed
	disk     PersistedState
	// snaps holds the state digest of each snapshot on disk, metas its metadata.
	snaps     map[Position]uint32
	metas     map[Position]SnapshotMeta
	applied   Position
	digest    uint32
	clockRate float64 // of the clock, relative to the group's
	lease     time.Time
	paused    time.Time
	diskLost  bool // stopped with ErrInstanceMismatch
}

type packet struct {
	at time.Time
	m  Message
}

// read is a read in progress; it must not return an index below minIndex.
type read struct{ minIndex uint64 }

// group simulates replicas on a network that loses, delays, reorders and
// duplicates messages, and checks Raft's safety properties as it runs.
type group struct {
	fail        func(format string, args ...any)
	rng         *rand.Rand
	now         time.Time
	nodes       map[ID]*node
	ids         []ID // in order of creation
	packets     []packet
	partitionOf map[ID]int // partition of each node
	loss        float64
	delay       time.Duration
	// linkDelay holds additional delays of single links, each in one direction.
	linkDelay     map[[2]ID]time.Duration
	clientsActive bool // clients send proposals and reads
	leaders       map[uint64]ID
	// committed holds the digest of the log up to each committed index, terms the
	// term of the entry there.
	committed map[uint64]uint32
	terms     map[uint64]uint64
	commit    uint64
	reads     map[uint64]read
	nextID    uint64
}

func newGroup(seed uint64, n int, fail func(string, ...any)) *group {
	g := &group{
		fail: fail, rng: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0),
		nodes: map[ID]*node{}, partitionOf: map[ID]int{}, delay: 3 * time.Millisecond,
		leaders: map[uint64]ID{}, committed: map[uint64]uint32{0: 0}, terms: map[uint64]uint64{},
		reads: map[uint64]read{},
	}
	var ms []Member
	for i := range n {
		ms = append(ms, Member{ID: fmt.Sprint("n", i+1)})
	}
	for _, m := range ms {
		g.add(m.ID, Bootstrap(ms))
	}
	return g
}

func (g *group) add(id ID, persisted PersistedState) *node {
	g.nextID++
	// The rates of two clocks differ by at most 1%.
	n := &node{id: id, instance: fmt.Sprint("folder", g.nextID), disk: persisted, clockRate: 0.995 + 0.01*g.rng.Float64()}
	n.snaps, n.metas = map[Position]uint32{}, map[Position]SnapshotMeta{}
	if g.nodes[id] == nil {
		g.ids = append(g.ids, id)
	}
	g.nodes[id] = n
	g.start(n)
	return n
}

// clock returns the time on the clock of a node.
func (g *group) clock(n *node) time.Time {
	return time.Unix(0, int64(float64(g.now.UnixNano()-1000e9)*n.clockRate)).Add(time.Hour)
}

func (g *group) start(n *node) {
	n.disk.Entries = append([]Entry(nil), n.disk.Entries...)
	core, err := New(g.clock(n), Config{
		ID: n.id, Instance: n.instance, Seed: g.rng.Uint64(),
		Heartbeat: structs.HeartbeatInterval, Lease: structs.LeaderLease,
		ElectionTimeoutMin: structs.ElectionTimeoutMin, ElectionTimeoutMax: structs.ElectionTimeoutMax,
		MaxBatchBytes: 200, MaxInflight: 4,
	}, n.disk)
	if err != nil {
		g.fail("%s: start: %v", n.id, err)
		return
	}
	n.core, n.lease = core, time.Time{}
	n.applied, n.digest = n.disk.Snapshot.Last, n.snaps[n.disk.Snapshot.Last]
}

func (g *group) crash(n *node) { n.core, n.lease = nil, time.Time{} }

func (g *group) isRunning(n *node) bool { return n.core != nil && !g.now.Before(n.paused) }

func (g *group) run(d time.Duration) {
	for end := g.now.Add(d); g.now.Before(end); {
		g.now = g.now.Add(step)
		g.deliver()
		for _, id := range g.ids {
			if n := g.nodes[id]; g.isRunning(n) {
				n.core.Tick(g.clock(n))
				if g.clientsActive && n.core.role == Leader {
					g.runClients(n)
				}
				g.applyEffects(n)
			}
		}
		g.checkLeases()
	}
}

// runClients sends occasional proposals and reads to a node in the leader role,
// which may be a former leader that has not noticed its replacement.
func (g *group) runClients(n *node) {
	switch g.rng.IntN(20) {
	case 0:
		g.propose(n, 1)
	case 1:
		g.read(n)
	}
}

func (g *group) propose(n *node, bytes int) {
	g.nextID++
	n.core.Propose(g.clock(n), []byte(fmt.Sprint(g.nextID)), make([]byte, bytes))
}

func (g *group) read(n *node) {
	g.nextID++
	g.reads[g.nextID] = read{minIndex: g.commit}
	n.core.ReadIndex(g.clock(n), g.nextID)
}

func (g *group) deliver() {
	g.rng.Shuffle(len(g.packets), func(i, j int) { g.packets[i], g.packets[j] = g.packets[j], g.packets[i] })
	due := g.packets
	g.packets = nil
	for _, p := range due {
		n := g.nodes[p.m.To]
		switch {
		case n == nil || n.core == nil || g.partitionOf[p.m.From] != g.partitionOf[p.m.To]:
		case p.at.After(g.now) || !g.isRunning(n):
			g.packets = append(g.packets, p)
		default:
			if err := n.core.Step(g.clock(n), p.m); err == ErrInstanceMismatch {
				n.diskLost = true
				g.crash(n)
				continue
			} else if err != nil {
				g.fail("%s: %v", n.id, err)
			}
			g.applyEffects(n)
		}
	}
}

func (g *group) send(ms []Message) {
	for _, m := range ms {
		for g.rng.Float64() >= g.loss {
			d := time.Duration(g.rng.Int64N(int64(g.delay)+1)) + g.linkDelay[[2]ID{m.From, m.To}]
			g.packets = append(g.packets, packet{g.now.Add(d), m})
			if g.rng.Float64() > 0.05 { // 5% of the messages are duplicated
				break
			}
		}
	}
}

// applyEffects carries out the effects of a node. With crashAfter, the node
// crashes in between: after sending Early for 0, after persisting for 1.
func (g *group) applyEffects(n *node, crashAfter ...int) {
	stop := func(i int) bool {
		if len(crashAfter) > 0 && crashAfter[0] == i {
			g.crash(n)
		}
		return n.core == nil
	}
	for n.core != nil {
		if term := n.core.term; n.core.role == Leader {
			if l, ok := g.leaders[term]; ok && l != n.id {
				g.fail("term %d has leaders %s and %s", term, l, n.id)
			}
			g.leaders[term] = n.id
		}
		n.lease = n.core.LeaseUntil(g.clock(n))
		e := n.core.TakeEffects()
		if e.Empty() {
			return
		}
		g.fillChunks(n, e.Early)
		g.send(e.Early)
		if stop(0) {
			return
		}
		g.persist(n, &e)
		if stop(1) {
			return
		}
		for _, ch := range e.Chunks {
			if ch.Done {
				g.installSnapshot(n, ch)
			}
		}
		g.send(e.Messages)
		for _, x := range e.Committed {
			g.apply(n, x)
		}
		for _, r := range e.Reads {
			if r.OK && r.Index < g.reads[r.ID].minIndex {
				g.fail("%s: read returned index %d, but %d was committed before the read", n.id, r.Index, g.reads[r.ID].minIndex)
			}
		}
	}
}

func (g *group) persist(n *node, e *Effects) {
	if e.State != nil {
		n.disk.State = *e.State
	}
	if len(e.Entries) == 0 {
		return
	}
	keep := e.Entries[0].Index - n.disk.Base.Index - 1
	n.disk.Entries = append(n.disk.Entries[:keep:keep], e.Entries...)
	last := e.Entries[len(e.Entries)-1]
	n.core.Persisted(g.clock(n), Position{last.Index, last.Term})
}

// fillChunks fills in the data of snapshot messages. A snapshot is sent as three
// chunks of one byte each.
func (g *group) fillChunks(n *node, ms []Message) {
	for i := range ms {
		if m := &ms[i]; m.Kind == MsgSnapshot {
			m.Data, m.Done = []byte{0}, m.Offset == 2
		}
	}
}

func (g *group) installSnapshot(n *node, ch Chunk) {
	from := g.nodes[ch.From]
	meta, ok := from.metas[ch.Last]
	if !ok { // the sender lost its disk in the meantime
		n.core.SnapshotFailed()
		return
	}
	n.metas[ch.Last], n.snaps[ch.Last] = meta, from.snaps[ch.Last]
	n.disk.Snapshot, n.disk.Base, n.disk.Entries = meta, meta.Last, nil
	n.disk.State.Commit = meta.Last.Index
	n.core.SnapshotInstalled(meta)
	n.applied, n.digest = meta.Last, n.snaps[meta.Last]
}

func (g *group) apply(n *node, e Entry) {
	if e.Index != n.applied.Index+1 {
		g.fail("%s: entry %d applied after %d", n.id, e.Index, n.applied.Index)
	}
	n.applied = Position{e.Index, e.Term}
	n.digest = crc32.Update(n.digest, crc32.IEEETable, append([]byte(fmt.Sprint(e.Index, e.Term, e.Kind)), e.Data...))
	if d, ok := g.committed[e.Index]; ok && d != n.digest {
		g.fail("%s: entry %d (term %d) differs from what was committed (term %d)", n.id, e.Index, e.Term, g.terms[e.Index])
	}
	g.committed[e.Index], g.terms[e.Index] = n.digest, e.Term
	g.commit = max(g.commit, e.Index)
}

// takeSnapshot takes a snapshot of a node and compacts its log as the replica
// package does: the entries after the previous snapshot are kept.
func (g *group) takeSnapshot(n *node) {
	if n.applied.Index <= n.disk.Snapshot.Last.Index {
		return
	}
	meta := SnapshotMeta{Last: n.applied, Membership: n.disk.Snapshot.Membership}
	for _, e := range n.disk.Entries {
		if e.Kind == EntryConfig && e.Index <= n.applied.Index {
			meta.Membership, _ = DecodeMembership(e.Data)
		}
	}
	base := n.disk.Snapshot.Last.Index
	n.metas[n.applied], n.snaps[n.applied] = meta, n.digest
	if err := n.core.Compact(meta, base); err != nil {
		g.fail("%s: compact: %v", n.id, err)
	}
	st, b, es := n.core.Log()
	n.disk = PersistedState{State: st, Snapshot: meta, Base: b, Entries: append([]Entry(nil), es...)}
}

// checkLeases checks that while a replica holds a lease, no other replica leads a
// later term.
func (g *group) checkLeases() {
	for _, id := range g.ids {
		a := g.nodes[id]
		if a.core == nil || !g.clock(a).Before(a.lease) {
			continue
		}
		for _, other := range g.ids {
			b := g.nodes[other]
			if b.core != nil && b.core.role == Leader && b.core.term > a.core.term {
				g.fail("%s holds the lease of term %d while %s leads term %d", a.id, a.core.term, b.id, b.core.term)
			}
		}
	}
}

// checkLogs checks the log matching property: if two logs hold the same entry at
// an index, they are equal up to that index.
func (g *group) checkLogs() {
	for i, x := range g.ids {
		for _, y := range g.ids[i+1:] {
			g.checkLogPair(g.nodes[x], g.nodes[y])
		}
	}
}

func (g *group) checkLogPair(a, b *node) {
	equal := false
	lo := max(a.disk.Base.Index, b.disk.Base.Index) + 1
	hi := min(a.disk.Base.Index+uint64(len(a.disk.Entries)), b.disk.Base.Index+uint64(len(b.disk.Entries)))
	for i := hi; i >= lo; i-- {
		x, y := a.disk.Entries[i-a.disk.Base.Index-1], b.disk.Entries[i-b.disk.Base.Index-1]
		equal = equal || x.Term == y.Term
		if equal && (x.Term != y.Term || x.Kind != y.Kind || string(x.Data) != string(y.Data)) {
			g.fail("logs of %s and %s differ at %d below an equal entry", a.id, b.id, i)
		}
	}
}

// leader returns the running leader with the highest term, or nil.
func (g *group) leader() *node {
	var best *node
	for _, id := range g.ids {
		n := g.nodes[id]
		if g.isRunning(n) && n.core.role == Leader && (best == nil || n.core.term > best.core.term) {
			best = n
		}
	}
	return best
}

// heal ends all faults and restarts the crashed nodes, except those that stopped
// because they lost their disk.
func (g *group) heal() {
	g.loss, g.delay, g.partitionOf, g.linkDelay = 0, 3*time.Millisecond, map[ID]int{}, nil
	for _, id := range g.ids {
		n := g.nodes[id]
		n.paused = time.Time{}
		if n.core == nil && !n.diskLost {
			g.start(n)
		}
	}
}

// initial returns the members that the group started with.
func (g *group) initial() []Member {
	var ms []Member
	for _, id := range g.ids {
		if id[0] == 'n' {
			ms = append(ms, Member{ID: id})
		}
	}
	return ms
}
