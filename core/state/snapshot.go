package state

import (
	"cmp"
	"container/list"
	"encoding/json"
	"maps"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"gooseberrypond/core/codec"
	"gooseberrypond/core/structs"
)

// snapshotFormat is the format version of snapshots.
const snapshotFormat = 1

// Errors of Decode.
var (
	// ErrFormat means that the snapshot has a format that this program does not support.
	ErrFormat = errors.New("unknown snapshot format")
	// ErrCorrupt means that the records of the snapshot are inconsistent.
	ErrCorrupt = errors.New("corrupt snapshot")
)

// Image is a read-only copy of the tables without indexes. It shares nothing
// that Apply changes in place, so it may be encoded by another goroutine. Only
// unfinished jobs are copied; finished ones, their keys and claims are shared.
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
	// Finished lists the finished jobs in the order in which they finished. It
	// and the exported lists below are filled by flatten.
	Finished []structs.JobID
	// Tasks holds the tasks of all jobs, in the order of Jobs.
	Tasks  []structs.Task
	Keys   []keyImage
	Claims []claimImage

	unfinishedTasks []structs.Task
	keys            []*keyRec
	claims          []*claimRec
	flat            bool
}

type jobImage struct {
	Job   *structs.Job
	Base  int64
	Tasks int
	// finishedTasks holds the tasks of a finished job, and finishOrder is its
	// position in the order in which jobs finished. For an unfinished job they
	// are nil and 0.
	finishedTasks []*taskRec
	finishOrder   uint64
}

type keyImage struct {
	Owner      string
	Key        string
	Digest     []byte
	Job        structs.JobID
	FinishedMS int64
	// Rank is the position among the records of the same owner and key.
	Rank int
}

type claimImage struct {
	Owner string
	Key   string
	Claim structs.ClaimState
	Rank  int
}

// Fork copies the tables for a snapshot. The caller is blocked only while the
// unfinished jobs are copied; finished jobs are shared.
func (t *Tables) Fork() *Image {
	im := &Image{
		Index: t.index, NowMS: t.nowMS,
		Catalogue: t.catalogue, CatalogueChange: t.catalogueChange,
		Aliases: maps.Clone(t.aliases), Domains: maps.Clone(t.domains), DomainsVersion: t.domainsVersion,
		Changes:         make([]*structs.ChangeResult, 0, len(t.changeOrder)),
		Workers:         make([]structs.Worker, 0, len(t.workerList)),
		Jobs:            make([]jobImage, 0, len(t.jobs)),
		unfinishedTasks: make([]structs.Task, 0, t.counts.liveTasks),
		claims:          listElements[*claimRec](t.claimOrder),
	}
	for _, id := range t.changeOrder {
		im.Changes = append(im.Changes, t.changes[id])
	}
	for _, w := range t.workerList {
		im.Workers = append(im.Workers, *w)
	}
	t.copyJobs(im)
	im.keys = append(im.keys, listElements[*keyRec](t.keyOrder)...)
	return im
}

func listElements[E any](l *list.List) []E {
	out := make([]E, 0, l.Len())
	for e := l.Front(); e != nil; e = e.Next() {
		out = append(out, e.Value.(E))
	}
	return out
}

func (t *Tables) copyJobs(im *Image) {
	liveJobs := len(t.jobs) - t.finished.Len()
	jobs := make([]structs.Job, 0, liveJobs)
	keys := make([]keyRec, 0, liveJobs)
	for e := t.jobOrder.Front(); e != nil; e = e.Next() {
		j := e.Value.(*jobRec)
		if j.finishedElem != nil {
			im.Jobs = append(im.Jobs, jobImage{Job: j.Job, Base: j.base, Tasks: len(j.tasks), finishedTasks: j.tasks, finishOrder: j.finishOrder})
			continue
		}
		jobs = append(jobs, *j.Job)
		im.Jobs = append(im.Jobs, jobImage{Job: &jobs[len(jobs)-1], Base: j.base, Tasks: len(j.tasks)})
		for _, r := range j.tasks {
			im.unfinishedTasks = append(im.unfinishedTasks, r.Task)
		}
		if j.key != nil {
			keys = append(keys, *j.key)
			im.keys = append(im.keys, &keys[len(keys)-1])
		}
	}
}

// flatten fills the exported lists, which are the ones that are encoded.
func (im *Image) flatten() *Image {
	if im.flat {
		return im
	}
	im.flat = true
	unfinishedTasks := im.unfinishedTasks
	for _, j := range im.Jobs {
		if j.finishedTasks == nil {
			im.Tasks = append(im.Tasks, unfinishedTasks[:j.Tasks]...)
			unfinishedTasks = unfinishedTasks[j.Tasks:]
			continue
		}
		for _, r := range j.finishedTasks {
			im.Tasks = append(im.Tasks, r.Task)
		}
	}
	finishOrder := slices.DeleteFunc(slices.Clone(im.Jobs), func(j jobImage) bool { return j.finishOrder == 0 })
	slices.SortFunc(finishOrder, func(a, b jobImage) int { return cmp.Compare(a.finishOrder, b.finishOrder) })
	for _, j := range finishOrder {
		im.Finished = append(im.Finished, j.Job.ID)
	}
	for _, k := range im.keys {
		im.Keys = append(im.Keys, keyImage{k.Owner, k.Key, k.Digest[:], k.Job, k.FinishedMS, k.rank})
	}
	for _, c := range im.claims {
		im.Claims = append(im.Claims, claimImage{c.Owner, c.Key, c.ClaimState, c.rank})
	}
	return im
}

// MarshalJSON implements json.Marshaler.
func (im *Image) MarshalJSON() ([]byte, error) {
	type plain Image
	return json.Marshal((*plain)(im.flatten()))
}

var encMode = func() cbor.EncMode {
	m, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return m
}()

// Encode returns the snapshot as CBOR: the format version, then the tables.
func (im *Image) Encode() ([]byte, error) {
	header, err := encMode.Marshal(snapshotFormat)
	if err != nil {
		return nil, errors.Wrap(err, "encode snapshot format")
	}
	body, err := encMode.Marshal(im.flatten())
	if err != nil {
		return nil, errors.Wrap(err, "encode snapshot")
	}
	return append(header, body...), nil
}

// Encode returns a snapshot of the tables. To encode without blocking the
// caller, call Fork and encode the image in another goroutine.
func (t *Tables) Encode() ([]byte, error) { return t.Fork().Encode() }

// Decode returns the tables of a snapshot, with all indexes rebuilt.
func Decode(data []byte) (*Tables, error) {
	var format int
	body, err := codec.UnmarshalFirst(data, &format)
	if err != nil {
		return nil, errors.Wrap(err, "decode snapshot format")
	}
	if format != snapshotFormat {
		return nil, errors.Wrapf(ErrFormat, "snapshot has format %d, this program supports %d", format, snapshotFormat)
	}
	im := Image{flat: true}
	if err := codec.Unmarshal(body, &im); err != nil {
		return nil, errors.Wrap(err, "decode snapshot")
	}
	return im.restore()
}

// restore builds tables with indexes from an image.
func (im *Image) restore() (*Tables, error) {
	t := New()
	t.index, t.nowMS = im.Index, im.NowMS
	if im.Catalogue != nil {
		t.catalogue = normalizeCatalogue(im.Catalogue, im.Catalogue.Version)
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
		t.workerCapacities[w.Capacity]++
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
		if ji.Job == nil {
			return errors.Wrap(ErrCorrupt, "a job image has no job record")
		}
		if ji.Tasks < 0 || ji.Tasks > len(tasks) {
			return errors.Wrapf(ErrCorrupt, "job %s has %d tasks, %d are left in the snapshot", ji.Job.ID, ji.Tasks, len(tasks))
		}
		j := &jobRec{Job: ji.Job, base: ji.Base, heapPos: -1}
		t.linkJob(j)
		if j.Spec.Kind == structs.KindRecurring && !j.Status.Finished() && !j.Cancelled {
			t.addRecurring(j)
		}
		taskRecs := make([]taskRec, ji.Tasks)
		for i := range taskRecs {
			r := &taskRecs[i]
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
		if j == nil || !j.Status.Finished() || j.finishedElem != nil {
			return errors.Wrapf(ErrCorrupt, "job %s is in the list of finished jobs but is unknown, unfinished or listed twice", id)
		}
		t.pushFinished(j)
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
	for _, ki := range im.Keys {
		k := &keyRec{Owner: ki.Owner, Key: ki.Key, Job: ki.Job, FinishedMS: ki.FinishedMS}
		copy(k.Digest[:], ki.Digest)
		t.linkKey(k)
		k.rank = ki.Rank
		if j := t.jobs[k.Job]; j == nil || j.Status.Finished() {
			k.orderElem = t.keyOrder.PushBack(k)
		}
	}
	for _, recs := range t.keys {
		slices.SortFunc(recs, func(a, b *keyRec) int { return cmp.Compare(a.rank, b.rank) })
	}
}

func (t *Tables) restoreClaims(im *Image) {
	for _, ci := range im.Claims {
		c := &claimRec{Owner: ci.Owner, Key: ci.Key, ClaimState: ci.Claim}
		t.linkClaim(c)
		c.rank = ci.Rank
	}
	for _, recs := range t.claims {
		slices.SortFunc(recs, func(a, b *claimRec) int { return cmp.Compare(a.rank, b.rank) })
	}
}
