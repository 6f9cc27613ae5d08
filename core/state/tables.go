// Package state holds the replicated tables of the scheduler and the only
// code that changes them. Apply is deterministic: the same commands at the
// same log indexes give the same tables on every replica. The package does no
// I/O and reads no clock; the only time that it uses is Command.NowMS.
//
// Pointers returned by read methods refer to the live tables. Callers must
// not change what they point to, nor use them after the next Apply.
package state

import (
	"container/list"
	"slices"
	"strings"

	"gooseberrypond/core/structs"
)

// Tables is the replicated state with its indexes. Not safe for concurrent use.
type Tables struct {
	index uint64
	nowMS int64

	catalogue       *structs.Catalogue
	catalogueChange string
	aliases         map[string]string
	domains         map[string]structs.DomainState
	domainsVersion  uint64
	changes         map[string]*structs.ChangeResult
	changeOrder     []string

	workers          map[structs.WorkerID]*workerRec
	workerList       []*structs.Worker
	workerCapacities map[structs.Resources]int
	changed          []structs.WorkerID

	jobs           map[structs.JobID]*jobRec
	jobOrder       *list.List
	finished       *list.List
	finishOrder    uint64
	owners         map[string]*ownerRec
	entries        map[string]*entryRec
	pendingEntries []string
	recurring      recurringHeap

	keys     map[ownerKey][]*keyRec
	keyOrder *list.List

	claims     map[ownerKey][]*claimRec
	claimOrder *list.List

	counts totals
}

// totals are sums over all tables, kept up to date so that checking a limit needs no scan.
type totals struct {
	liveTasks     int
	pendingTasks  int
	attempts      int
	finishedTasks int
	payloadBytes  int
	answerBytes   int
}

type ownerKey struct{ owner, key string }

type workerRec struct {
	structs.Worker
	attempts  []*structs.Task
	committed structs.Resources
	changed   bool
}

// jobRec is a job with its tasks. Neither the Job nor the tasks of a finished
// job are changed in place, because images of the tables share them.
type jobRec struct {
	*structs.Job
	// tasks holds the tasks with indexes base, base+1 and so on.
	tasks        []*taskRec
	base         int64
	counts       [numStatuses]int
	attempts     int
	owner        *ownerRec
	ownerElem    *list.Element
	orderElem    *list.Element
	finishedElem *list.Element
	// finishOrder numbers finished jobs in the order in which they finished, from 1.
	finishOrder uint64
	key         *keyRec
	heapPos     int
}

type taskRec struct {
	structs.Task
	job        *jobRec
	prev, next *taskRec
	queued     bool
}

type ownerRec struct {
	name      string
	usage     structs.Resources
	jobs      *list.List
	liveJobs  int
	liveTasks int
	// jobPayloadBytes is the total size of the payloads of unfinished jobs, and
	// claimAnswerBytes that of the recorded answers.
	jobPayloadBytes  int
	claimAnswerBytes int
	claims           int
}

type entryRec struct {
	name       string
	liveJobs   int
	head, tail *taskRec
	queued     int
}

// New returns empty tables.
func New() *Tables {
	return &Tables{
		catalogue: &structs.Catalogue{
			Owners:  map[string]structs.Owner{},
			Entries: map[string]structs.Entry{},
		},
		aliases:          map[string]string{},
		domains:          map[string]structs.DomainState{},
		changes:          map[string]*structs.ChangeResult{},
		workers:          map[structs.WorkerID]*workerRec{},
		workerCapacities: map[structs.Resources]int{},
		jobs:             map[structs.JobID]*jobRec{},
		jobOrder:         list.New(),
		finished:         list.New(),
		owners:           map[string]*ownerRec{},
		entries:          map[string]*entryRec{},
		keys:             map[ownerKey][]*keyRec{},
		keyOrder:         list.New(),
		claims:           map[ownerKey][]*claimRec{},
		claimOrder:       list.New(),
	}
}

// Index returns the log index of the last applied command.
func (t *Tables) Index() uint64 { return t.index }

// NowMS returns the latest time of any applied command, in Unix milliseconds.
// It never decreases.
func (t *Tables) NowMS() int64 { return t.nowMS }

// Catalogue returns the current catalogue. A later change replaces the
// catalogue as a whole, so the result stays valid and unchanged.
func (t *Tables) Catalogue() *structs.Catalogue { return t.catalogue }

// CatalogueChange returns the change id that made the current catalogue version.
func (t *Tables) CatalogueChange() string { return t.catalogueChange }

// DomainsOut returns the names of the failure domains out of service, sorted.
func (t *Tables) DomainsOut() []string {
	var out []string
	for name, d := range t.domains {
		if d.Out {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// DomainOut reports whether the failure domain is out of service.
func (t *Tables) DomainOut(name string) bool { return t.domains[name].Out }

// Domain returns the operators' setting of a failure domain.
func (t *Tables) Domain(name string) structs.DomainState { return t.domains[name] }

// DomainsVersion returns the version of the domain states; it increases with each change.
func (t *Tables) DomainsVersion() uint64 { return t.domainsVersion }

// Change returns the recorded result of an operator's change, or nil.
func (t *Tables) Change(id string) *structs.ChangeResult { return t.changes[id] }

// Job returns a job, or nil.
func (t *Tables) Job(id structs.JobID) *structs.Job {
	if j := t.jobs[id]; j != nil {
		return j.Job
	}
	return nil
}

// Task returns a task, or nil.
func (t *Tables) Task(id structs.TaskID) *structs.Task {
	if r := t.task(id); r != nil {
		return &r.Task
	}
	return nil
}

func (t *Tables) task(id structs.TaskID) *taskRec {
	j := t.jobs[id.Job]
	if j == nil {
		return nil
	}
	i := id.Index - j.base
	if i < 0 || i >= int64(len(j.tasks)) {
		return nil
	}
	return j.tasks[i]
}

// TasksOf returns the kept tasks of a job in index order.
func (t *Tables) TasksOf(id structs.JobID) []*structs.Task {
	j := t.jobs[id]
	if j == nil {
		return nil
	}
	out := make([]*structs.Task, len(j.tasks))
	for i, r := range j.tasks {
		out[i] = &r.Task
	}
	return out
}

// JobsOf calls yield for each kept job of an owner in order of submission,
// until yield returns false.
func (t *Tables) JobsOf(owner string) func(yield func(*structs.Job) bool) {
	return func(yield func(*structs.Job) bool) {
		o := t.owners[owner]
		if o == nil {
			return
		}
		for e := o.jobs.Front(); e != nil; e = e.Next() {
			if !yield(e.Value.(*jobRec).Job) {
				return
			}
		}
	}
}

// Worker returns a worker, or nil.
func (t *Tables) Worker(id structs.WorkerID) *structs.Worker {
	if w := t.workers[id]; w != nil {
		return &w.Worker
	}
	return nil
}

// Workers returns all known workers sorted by id, also those that are not live.
func (t *Tables) Workers() []*structs.Worker { return t.workerList }

// AttemptsOn returns the tasks with an attempt on the worker, sorted by task id.
func (t *Tables) AttemptsOn(id structs.WorkerID) []*structs.Task {
	if w := t.workers[id]; w != nil {
		return w.attempts
	}
	return nil
}

// Committed returns the capacity occupied by the attempts on a worker.
func (t *Tables) Committed(id structs.WorkerID) structs.Resources {
	if w := t.workers[id]; w != nil {
		return w.committed
	}
	return structs.Resources{}
}

// TakeChangedWorkers returns the workers that were registered, ended or removed
// or whose committed capacity changed since the last call, and clears the list.
// The list holds each registered worker at most once, so it stays bounded
// without calls.
func (t *Tables) TakeChangedWorkers() []structs.WorkerID {
	out := t.changed
	t.changed = nil
	for _, id := range out {
		if w := t.workers[id]; w != nil {
			w.changed = false
		}
	}
	return out
}

func (t *Tables) markChanged(w *workerRec) {
	if w.changed {
		return
	}
	w.changed = true
	t.changed = append(t.changed, w.ID)
}

// OwnerUsage returns the resources reserved by an owner's attempts that have not ended.
func (t *Tables) OwnerUsage(owner string) structs.Resources {
	if o := t.owners[owner]; o != nil {
		return o.usage
	}
	return structs.Resources{}
}

// LiveJobs returns the number of an owner's jobs that are not finished.
func (t *Tables) LiveJobs(owner string) int {
	if o := t.owners[owner]; o != nil {
		return o.liveJobs
	}
	return 0
}

// ResolveOwner returns the current owner that name belongs to, following
// merges. It returns the empty string when there is none.
func (t *Tables) ResolveOwner(name string) string {
	return resolve(name, t.catalogue, t.aliases)
}

// OpenTasks returns the number of a job's kept tasks that are not finished.
func (t *Tables) OpenTasks(id structs.JobID) int {
	if j := t.jobs[id]; j != nil {
		return j.openTasks()
	}
	return 0
}

// SizeOf returns the declared size of one task of a job.
func (t *Tables) SizeOf(j *structs.Job) structs.Resources {
	if !j.Spec.Resources.IsZero() {
		return j.Spec.Resources
	}
	return t.catalogue.Entries[j.Spec.Entry].Resources
}

// Counts is a summary of the tables for metrics. Keys counts the keys of
// finished jobs only.
type Counts struct {
	Jobs, LiveJobs                      int
	Tasks, LiveTasks, Pending, Attempts int
	Workers, LiveWorkers                int
	Changes, Keys, Claims               int
	PayloadBytes, AnswerBytes           int
}

// Counts returns a summary of the tables.
func (t *Tables) Counts() Counts {
	c := Counts{
		Jobs: len(t.jobs), LiveJobs: len(t.jobs) - t.finished.Len(),
		LiveTasks: t.counts.liveTasks, Pending: t.counts.pendingTasks, Attempts: t.counts.attempts,
		Tasks:   t.counts.liveTasks + t.counts.finishedTasks,
		Workers: len(t.workers), Changes: len(t.changes),
		Keys: t.keyOrder.Len(), Claims: t.claimOrder.Len(),
		PayloadBytes: t.counts.payloadBytes, AnswerBytes: t.counts.answerBytes,
	}
	for _, w := range t.workerList {
		if w.Live {
			c.LiveWorkers++
		}
	}
	return c
}

func (t *Tables) owner(name string) *ownerRec {
	o := t.owners[name]
	if o == nil {
		o = &ownerRec{name: name, jobs: list.New()}
		t.owners[name] = o
	}
	return o
}

func (t *Tables) entry(name string) *entryRec {
	e := t.entries[name]
	if e == nil {
		e = &entryRec{name: name}
		t.entries[name] = e
	}
	return e
}

func compareTask(a, b structs.TaskID) int {
	if c := strings.Compare(string(a.Job), string(b.Job)); c != 0 {
		return c
	}
	switch {
	case a.Index < b.Index:
		return -1
	case a.Index > b.Index:
		return 1
	}
	return 0
}
