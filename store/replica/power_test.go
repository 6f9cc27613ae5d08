package replica

import (
	"context"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"gooseberrypond/store/disk"
)

var errNoPower = errors.New("no power")

// inode is a file of a powerFS.
type inode struct {
	content, synced []byte
}

// rename is a change of names that is not durable yet. An empty name stands for none.
type rename struct{ from, to string }

// powerFS is a file system in one real directory that knows what is durable: the content
// of a file as of its last sync, a new name with the first sync of its file, other
// changes of names with a sync of the directory.
type powerFS struct {
	disk.OS
	dir string

	mu    sync.Mutex
	off   bool
	names map[string]*inode
	// durable are the names after a loss of power, without pending.
	durable map[string]*inode
	pending []rename
	// left is the number of changes after which the power fails; negative if it does not.
	left int
}

func newPowerFS(dir string) *powerFS {
	return &powerFS{dir: dir, names: map[string]*inode{}, durable: map[string]*inode{}, left: -1}
}

// change runs f, which changes the file system, unless there is no power.
func (p *powerFS) change(f func() error) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.off || p.left == 0 {
		p.off = true
		return errNoPower
	}
	p.left--
	return f()
}

func (p *powerFS) Create(path string) (disk.File, error) {
	var file disk.File
	err := p.change(func() (err error) {
		name := filepath.Base(path)
		if p.names[name] == nil {
			p.names[name] = &inode{}
		}
		p.names[name].content = nil
		file, err = p.OS.Create(path)
		file = &powerFile{File: file, fs: p, name: name, inode: p.names[name]}
		return err
	})
	return file, err
}

func (p *powerFS) Rename(from, to string) error {
	return p.change(func() error {
		if err := p.OS.Rename(from, to); err != nil {
			return err
		}
		r := rename{filepath.Base(from), filepath.Base(to)}
		p.names[r.to] = p.names[r.from]
		delete(p.names, r.from)
		p.pending = append(p.pending, r)
		return nil
	})
}

func (p *powerFS) Remove(path string) error {
	return p.change(func() error {
		if err := p.OS.Remove(path); err != nil {
			return err
		}
		name := filepath.Base(path)
		delete(p.names, name)
		p.pending = append(p.pending, rename{from: name})
		return nil
	})
}

func (p *powerFS) SyncDir(dir string) error {
	return p.change(func() error {
		p.pending = nil
		p.durable = maps.Clone(p.names)
		return p.OS.SyncDir(dir)
	})
}

// cut ends the power: every later change fails.
func (p *powerFS) cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.off = true
}

// restore replaces the directory by what a loss of power may have left, and returns the
// file system of the next start. Changes that were not synced are kept or lost one by one.
func (p *powerFS) restore(t testing.TB, r *rand.Rand) *powerFS {
	t.Helper()
	p.cut()
	after := maps.Clone(p.durable)
	for _, c := range p.pending {
		x := after[c.from]
		if x == nil || r.IntN(2) == 0 {
			continue
		}
		delete(after, c.from)
		if c.to != "" {
			after[c.to] = x
		}
	}
	if err := os.RemoveAll(p.dir); err != nil {
		t.Fatal(err)
	}
	if err := os.MkdirAll(p.dir, 0o750); err != nil {
		t.Fatal(err)
	}
	next := newPowerFS(p.dir)
	for name, x := range after {
		content := slices.Clone(x.synced)
		if extra := len(x.content) - len(content); extra > 0 && r.IntN(2) == 0 {
			content = append(content, x.content[len(content):len(content)+r.IntN(extra+1)]...)
		}
		if err := os.WriteFile(filepath.Join(p.dir, name), content, 0o640); err != nil {
			t.Fatal(err)
		}
		next.names[name] = &inode{content, content}
	}
	next.durable = maps.Clone(next.names)
	return next
}

type powerFile struct {
	disk.File
	fs    *powerFS
	name  string
	inode *inode
}

func (f *powerFile) Write(b []byte) (n int, err error) {
	err = f.fs.change(func() error {
		f.inode.content = append(f.inode.content, b...)
		n, err = f.File.Write(b)
		return err
	})
	return n, err
}

func (f *powerFile) Truncate(size int64) error {
	return f.fs.change(func() error {
		f.inode.content = f.inode.content[:size:size]
		return f.File.Truncate(size)
	})
}

func (f *powerFile) Sync() error {
	return f.fs.change(func() error {
		first := f.inode.synced == nil
		f.inode.synced = append([]byte{}, f.inode.content...)
		if first && f.fs.names[f.name] == f.inode {
			f.fs.durable[f.name] = f.inode
		}
		return f.File.Sync()
	})
}

// files returns the number of files.
func (p *powerFS) files() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.names)
}

// clone returns a file system in another directory with the same, durable files.
func (p *powerFS) clone(t testing.TB) *powerFS {
	t.Helper()
	out := newPowerFS(t.TempDir())
	for name, x := range p.names {
		if err := os.WriteFile(filepath.Join(out.dir, name), x.content, 0o640); err != nil {
			t.Fatal(err)
		}
		out.names[name] = &inode{x.content, x.content}
	}
	out.durable = maps.Clone(out.names)
	return out
}

// usedFolder returns the data folder of a closed replica with two snapshots.
func usedFolder(t *testing.T, id string) *powerFS {
	t.Helper()
	fs := newPowerFS(t.TempDir())
	rep := openOn(t, fs, id)
	for i := 0; fs.files() < 4; i++ {
		if _, err := awaitLeader(t.Context(), t, []*Replica{rep}).Propose(t.Context(), write(i)); err != nil {
			t.Fatal(err)
		}
	}
	rep.Close()
	return fs
}

func openOn(t *testing.T, fs *powerFS, id string) *Replica {
	t.Helper()
	rep, err := Open(Config{
		ID: id, ClusterID: "test", Dir: fs.dir, Members: []Member{{ID: id, Address: id}}, FS: fs,
		StateMachine: newRegister(), Transport: &endpoint{newMemNet(), id}, SnapshotEntries: 2, SnapshotInterval: 1,
	})
	if err != nil {
		t.Fatalf("the host does not start again as %s: %v", id, err)
	}
	return rep
}

// Guards against a host that cannot start again: the power fails while its replica, which
// was removed from the group, empties its data folder.
func TestInterruptedDiscardIsCompleted(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	used := usedFolder(t, "old")
	changes := len(used.names) + 5
	for attempt := range 20 * changes {
		fs := used.clone(t)
		fs.left = attempt % changes
		err := Discard(fs, fs.dir)
		fs = fs.restore(t, r)
		id, found, storedErr := StoredID(fs.dir)
		if storedErr != nil {
			t.Fatal(storedErr)
		}
		if found && err == nil {
			t.Fatalf("the folder was emptied but belongs to %s", id)
		}
		if !found {
			id = "new"
		}
		openOn(t, fs, id).Close()
	}
}

// powerGroup is a group of replicas whose machines can lose power and disks.
type powerGroup struct {
	*testGroup
	fs map[string]*powerFS
	// acknowledged is the last acknowledged value; a single writer writes rising values.
	acknowledged atomic.Int64
}

func newPowerGroup(t *testing.T, n int) *powerGroup {
	p := &powerGroup{fs: map[string]*powerFS{}}
	p.testGroup = newTestGroup(t, n, func(c *Config) {
		if p.fs[c.ID] == nil {
			p.fs[c.ID] = newPowerFS(c.Dir)
		}
		c.FS, c.SnapshotEntries, c.SnapshotInterval = p.fs[c.ID], 5, 1
	})
	return p
}

// writeUntil writes rising values until stop is closed.
func (p *powerGroup) writeUntil(stop chan struct{}) {
	for v := 1; ; v++ {
		select {
		case <-stop:
			return
		default:
		}
		for _, r := range p.running() {
			ctx, cancel := context.WithTimeout(p.ctx, 300*time.Millisecond)
			if _, err := r.Propose(ctx, write(v)); err == nil {
				p.acknowledged.Store(int64(v))
			}
			cancel()
		}
	}
}

// addVoter adds a replica and promotes it, as far as the power lasts.
func (p *powerGroup) addVoter(id string, r *rand.Rand) {
	l := p.leader()
	p.start(id, nil)
	ctx, cancel := context.WithTimeout(p.ctx, time.Second)
	defer cancel()
	if l.AddLearner(ctx, id, id) != nil {
		return
	}
	for range r.IntN(40) {
		if l.Promote(ctx, id) == nil {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// Guards against an acknowledged write that is missing, or out of reach, after all machines
// lose power at once and as many of them as may be lost lose their disks too: at any moment
// of writes, snapshots, changes of the log segment, transfers, joins and promotions.
func TestAcknowledgedWritesSurviveLossOfPowerAndDisks(t *testing.T) {
	const voters, losses = 5, 2
	for seed := range uint64(8) {
		r := rand.New(rand.NewPCG(seed, 7))
		p := newPowerGroup(t, voters)
		stop, ended := make(chan struct{}), make(chan struct{})
		go func() {
			defer close(ended)
			p.writeUntil(stop)
		}()
		await(p.ctx, t, "a first write", func() bool { return p.acknowledged.Load() > 0 })
		switch r.IntN(3) {
		case 0:
			p.addVoter("c6", r)
		case 1:
			go p.leader().TransferLeadership(p.ctx) // it fails if the power fails first
		}
		time.Sleep(time.Duration(r.IntN(200)) * time.Millisecond)
		for _, fs := range p.fs {
			fs.cut()
		}
		acknowledged := p.acknowledged.Load()
		close(stop)
		<-ended
		for id := range p.fs {
			p.stop(id)
		}
		ids := slices.Sorted(maps.Keys(p.fs))
		r.Shuffle(len(ids), func(i, k int) { ids[i], ids[k] = ids[k], ids[i] })
		for _, id := range ids[losses:] {
			p.fs[id] = p.fs[id].restore(t, r)
			p.start(id, p.members[:0:0])
		}
		l := p.leader()
		if err := l.ReadBarrier(p.ctx); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		if got := int64(l.cfg.StateMachine.(*register).get()); got < acknowledged {
			t.Fatalf("seed %d: the group holds %d after the loss of the disks of %v, but %d was acknowledged", seed, got, ids[:losses], acknowledged)
		}
		for _, id := range ids[losses:] {
			p.stop(id)
		}
	}
}
