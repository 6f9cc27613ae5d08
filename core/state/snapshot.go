package state

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"gooseberrypond/core/structs"
)

// snapshotFormat is the format version of snapshots.
const snapshotFormat = 1

// Errors of Decode.
var (
	// ErrFormat means that the snapshot has a format this program does not know.
	ErrFormat = errors.New("unknown snapshot format")
	// ErrCorrupt means that the snapshot contradicts itself.
	ErrCorrupt = errors.New("corrupt snapshot")
)

// Image is a read-only copy of the tables without indexes. It shares nothing
// that Apply changes, so it may be encoded by another goroutine.
type Image struct {
	Index           uint64
	NowMS           int64
	Catalogue       *structs.Catalogue
	CatalogueChange string
	Aliases         map[string]string
	Domains         map[string]structs.DomainState
	DomainsVersion  uint64
	Changes         []*structs.ChangeResult
	Workers         []structs.Worker
	Jobs            []jobImage
	// Tasks holds the tasks of all jobs, in the order of Jobs.
	Tasks    []structs.Task
	Finished []structs.JobID
	Keys     []keyImage
	Claims   []claimImage
}

type jobImage struct {
	Job   structs.Job
	Base  int64
	Tasks int
}

type keyImage struct {
	Owner      string
	Key        string
	Digest     []byte
	Job        structs.JobID
	FinishedMS int64
	// Rank is the position among the keys of the same name.
	Rank int
}

type claimImage struct {
	Owner string
	Key   string
	Claim structs.ClaimState
	Rank  int
}

// Fork copies the tables for a snapshot.
func (t *Tables) Fork() *Image {
	im := &Image{
		Index: t.index, NowMS: t.nowMS,
		Catalogue: t.catalogue, CatalogueChange: t.catalogueChange,
		Aliases: maps.Clone(t.aliases), Domains: maps.Clone(t.domains), DomainsVersion: t.domainsVersion,
		Changes: make([]*structs.ChangeResult, 0, len(t.changeOrder)),
		Workers: make([]structs.Worker, 0, len(t.workerList)),
		Jobs:    make([]jobImage, 0, len(t.jobs)),
		Tasks:   make([]structs.Task, 0, t.counts.liveTasks+t.counts.finishedTasks),
	}
	for _, id := range t.changeOrder {
		im.Changes = append(im.Changes, t.changes[id])
	}
	for _, w := range t.workerList {
		im.Workers = append(im.Workers, *w)
	}
	t.forkJobs(im)
	t.forkKeys(im)
	for e := t.claimOrder.Front(); e != nil; e = e.Next() {
		c := e.Value.(*claimRec)
		rank := slices.Index(t.claims[ownerKey{c.Owner, c.Key}], c)
		im.Claims = append(im.Claims, claimImage{c.Owner, c.Key, c.ClaimState, rank})
	}
	return im
}

func (t *Tables) forkJobs(im *Image) {
	for e := t.jobOrder.Front(); e != nil; e = e.Next() {
		j := e.Value.(*jobRec)
		im.Jobs = append(im.Jobs, jobImage{j.Job, j.base, len(j.tasks)})
		for _, r := range j.tasks {
			im.Tasks = append(im.Tasks, r.Task)
		}
	}
	im.Finished = make([]structs.JobID, 0, t.finished.Len())
	for e := t.finished.Front(); e != nil; e = e.Next() {
		im.Finished = append(im.Finished, e.Value.(*jobRec).ID)
	}
}

func (t *Tables) forkKeys(im *Image) {
	im.Keys = make([]keyImage, 0, t.keyOrder.Len()+len(t.jobs))
	add := func(k *keyRec) {
		rank := slices.Index(t.keys[ownerKey{k.Owner, k.Key}], k)
		im.Keys = append(im.Keys, keyImage{k.Owner, k.Key, k.Digest[:], k.Job, k.FinishedMS, rank})
	}
	for e := t.jobOrder.Front(); e != nil; e = e.Next() {
		if j := e.Value.(*jobRec); j.key != nil && j.key.elem == nil {
			add(j.key)
		}
	}
	for e := t.keyOrder.Front(); e != nil; e = e.Next() {
		add(e.Value.(*keyRec))
	}
}

var encMode = func() cbor.EncMode {
	m, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return m
}()

var decMode = func() cbor.DecMode {
	// The default bounds on elements are below the number of tasks at full size.
	m, err := cbor.DecOptions{MaxArrayElements: 1 << 26, MaxMapPairs: 1 << 26}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}()

// Encode returns the snapshot as CBOR: the format version, then the tables.
func (im *Image) Encode() ([]byte, error) {
	head, err := encMode.Marshal(snapshotFormat)
	if err != nil {
		return nil, errors.Wrap(err, "encode snapshot format")
	}
	body, err := encMode.Marshal(im)
	if err != nil {
		return nil, errors.Wrap(err, "encode snapshot")
	}
	return append(head, body...), nil
}

// Encode returns a snapshot of the tables. To keep the caller free while
// encoding, call Fork and encode the image elsewhere.
func (t *Tables) Encode() ([]byte, error) { return t.Fork().Encode() }

// Decode returns the tables of a snapshot, with all indexes rebuilt.
func Decode(data []byte) (*Tables, error) {
	var format int
	body, err := decMode.UnmarshalFirst(data, &format)
	if err != nil {
		return nil, errors.Wrap(err, "decode snapshot format")
	}
	if format != snapshotFormat {
		return nil, errors.Wrapf(ErrFormat, "snapshot has format %d, this program knows %d", format, snapshotFormat)
	}
	var im Image
	if err := decMode.Unmarshal(body, &im); err != nil {
		return nil, errors.Wrap(err, "decode snapshot")
	}
	return im.restore()
}

// restore builds tables with indexes from an image.
func (im *Image) restore() (*Tables, error) {
	t := New()
	t.index, t.nowMS = im.Index, im.NowMS
	if im.Catalogue != nil {
		t.catalogue = normalCatalogue(im.Catalogue, im.Catalogue.Version)
	}
	t.catalogueChange, t.domainsVersion = im.CatalogueChange, im.DomainsVersion
	maps.Copy(t.aliases, im.Aliases)
	maps.Copy(t.domains, im.Domains)
	for _, c := range im.Changes {
		t.recordChange(c)
	}
	for i := range im.Workers {
		w := &workerRec{Worker: im.Workers[i]}
		t.workers[w.ID] = w
		t.workerList = append(t.workerList, &w.Worker)
		t.shapes[w.Capacity]++
		t.markChanged(w)
	}
	if err := t.restoreJobs(im); err != nil {
		return nil, err
	}
	t.restoreKeys(im)
	t.restoreClaims(im)
	return t, nil
}

func (t *Tables) restoreJobs(im *Image) error {
	tasks := im.Tasks
	var queued []*taskRec
	for _, ji := range im.Jobs {
		if ji.Tasks < 0 || ji.Tasks > len(tasks) {
			return errors.Wrapf(ErrCorrupt, "job %s has %d tasks, %d are left", ji.Job.ID, ji.Tasks, len(tasks))
		}
		j := &jobRec{Job: ji.Job, base: ji.Base, heapPos: -1}
		t.linkJob(j)
		t.counts.payloadBytes += len(j.Spec.Payload)
		if j.Spec.Kind == structs.KindRecurring && !j.Status.Finished() && !j.Cancelled {
			t.addStanding(j)
		}
		block := make([]taskRec, ji.Tasks)
		for i := range block {
			r := &block[i]
			r.Task, r.job = tasks[i], j
			t.addTask(r)
			if err := t.restoreAttempt(r); err != nil {
				return err
			}
			if r.State == structs.AttemptNone && !r.Status.Finished() {
				queued = append(queued, r)
			}
		}
		tasks = tasks[ji.Tasks:]
	}
	slices.SortFunc(queued, func(a, b *taskRec) int {
		return cmp.Or(cmp.Compare(a.PendingSinceMS, b.PendingSinceMS), compareTask(a.ID, b.ID))
	})
	for _, r := range queued {
		t.enqueue(r)
	}
	for _, id := range im.Finished {
		j := t.jobs[id]
		if j == nil || !j.Status.Finished() || j.finElem != nil {
			return errors.Wrapf(ErrCorrupt, "job %s is listed as finished", id)
		}
		j.finElem = t.finished.PushBack(j)
	}
	return nil
}

func (t *Tables) restoreAttempt(r *taskRec) error {
	if r.State == structs.AttemptNone {
		return nil
	}
	w := t.workers[r.Worker]
	if w == nil || r.Status.Finished() {
		return errors.Wrapf(ErrCorrupt, "task %s has an attempt on %q with status %s", r.ID, r.Worker, r.Status)
	}
	w.committed = w.committed.Add(r.Reserved)
	i, _ := slices.BinarySearchFunc(w.attempts, r.ID, findTask)
	w.attempts = slices.Insert(w.attempts, i, &r.Task)
	r.job.owner.usage = r.job.owner.usage.Add(r.Reserved)
	r.job.attempts++
	t.counts.attempts++
	return nil
}

func (t *Tables) restoreKeys(im *Image) {
	ranks := map[*keyRec]int{}
	for _, ki := range im.Keys {
		k := &keyRec{Owner: ki.Owner, Key: ki.Key, Job: ki.Job, FinishedMS: ki.FinishedMS}
		copy(k.Digest[:], ki.Digest)
		ranks[k] = ki.Rank
		t.linkKey(k)
		if j := t.jobs[k.Job]; j == nil || j.Status.Finished() {
			k.elem = t.keyOrder.PushBack(k)
		}
	}
	for _, recs := range t.keys {
		slices.SortFunc(recs, func(a, b *keyRec) int { return cmp.Compare(ranks[a], ranks[b]) })
	}
}

func (t *Tables) restoreClaims(im *Image) {
	ranks := map[*claimRec]int{}
	for _, ci := range im.Claims {
		c := &claimRec{Owner: ci.Owner, Key: ci.Key, ClaimState: ci.Claim}
		ranks[c] = ci.Rank
		t.linkClaim(c)
	}
	for _, recs := range t.claims {
		slices.SortFunc(recs, func(a, b *claimRec) int { return cmp.Compare(ranks[a], ranks[b]) })
	}
}
