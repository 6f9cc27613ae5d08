package graph

import "gooseberrypond/core/structs"

// Tables is the replicated state: workers, configuration and jobs. It is not
// safe for concurrent use.
type Tables struct {
	index uint64
	nowMS int64

	config  *Config
	domains map[string]bool // failure domains that are out of service
	// domainTerm is the highest term of a leader whose orders for failure domains were applied.
	domainTerm uint64

	lastHandle Handle
	workers    map[Handle]*Worker
	byID       map[string]*Worker // the current incarnation of each worker

	jobs map[JobID]*Job
	live map[JobID]*Job
	// ended lists the jobs in a final state whose tasks are still kept, in the
	// order in which they ended.
	ended []*Job
	// keptBytes is about what the specs of the jobs take whose tasks are kept.
	keptBytes int64
	// waiting holds the ready steps that have tasks without an attempt. Waiting
	// removes entries that no longer qualify.
	waiting []*StepState
	// withdrawn are the cancelled jobs that were not known.
	withdrawn withdrawals
	// pending counts, for each queue, the live jobs none of whose tasks has begun on a
	// worker.
	pending map[string]int
	// usage is what the attempts of each organisation hold; see Usage.
	usage map[string]structs.Resources
	// recurring holds the live jobs that have future occurrences.
	recurring map[JobID]*Job
	// pressures are the pressures of filler images on serving images, as last
	// recorded by a leader.
	pressures []Pressure
	// expected is what is known of expected work, as last recorded by a leader.
	expected []Expected
}

// New returns empty tables.
func New() *Tables {
	return &Tables{
		domains: map[string]bool{},
		workers: map[Handle]*Worker{}, byID: map[string]*Worker{},
		jobs: map[JobID]*Job{}, live: map[JobID]*Job{}, recurring: map[JobID]*Job{},
		pending: map[string]int{}, usage: map[string]structs.Resources{},
		withdrawn: withdrawals{first: 1, byJob: map[JobID][]Withdrawal{}},
	}
}

// Index returns the log index of the last applied batch.
func (t *Tables) Index() uint64 { return t.index }

// Pressures returns the pressures of filler images on serving images, as last
// recorded by a leader.
func (t *Tables) Pressures() []Pressure { return t.pressures }

// Expected returns what is known of expected work, as last recorded by a leader.
func (t *Tables) Expected() []Expected { return t.expected }

// Config returns the configuration in force, or nil.
func (t *Tables) Config() *Config { return t.config }

// DomainOut reports whether a failure domain is out of service.
func (t *Tables) DomainOut(name string) bool { return t.domains[name] }

// Worker returns the worker incarnation with the handle, or nil.
func (t *Tables) Worker(h Handle) *Worker { return t.workers[h] }

// WorkerByID returns the current incarnation of a worker, or nil.
func (t *Tables) WorkerByID(id string) *Worker { return t.byID[id] }

// Workers calls yield for each worker incarnation in the tables.
func (t *Tables) Workers(yield func(*Worker) bool) {
	for _, w := range t.workers {
		if !yield(w) {
			return
		}
	}
}

// Job returns a job, or nil.
func (t *Tables) Job(id JobID) *Job { return t.jobs[id] }

// KeptBytes returns about how many bytes the jobs take that were accepted and whose tasks are
// kept, live or ended.
func (t *Tables) KeptBytes() int64 { return t.keptBytes }

// Jobs calls yield for each job whose tasks are kept, live or ended.
func (t *Tables) Jobs(yield func(*Job) bool) {
	for _, j := range t.live {
		if !yield(j) {
			return
		}
	}
	for _, j := range t.ended {
		if !yield(j) {
			return
		}
	}
}

// LiveJobs returns the number of jobs that have not reached a final state.
func (t *Tables) LiveJobs() int { return len(t.live) }

// Pending returns the number of live jobs of a queue none of whose tasks has begun on a
// worker.
func (t *Tables) Pending(queue string) int { return t.pending[queue] }

// Recurring calls yield for each live job that has future occurrences.
func (t *Tables) Recurring(yield func(*Job) bool) {
	for _, j := range t.recurring {
		if !yield(j) {
			return
		}
	}
}

// Waiting returns the ready steps that have tasks without an attempt. The
// result is valid until the next Apply.
func (t *Tables) Waiting() []*StepState {
	kept := t.waiting[:0]
	for _, s := range t.waiting {
		if s.Waiting > 0 && s.Occurrence.Job.Live() {
			kept = append(kept, s)
			continue
		}
		s.queued = false
	}
	clear(t.waiting[len(kept):])
	t.waiting = kept
	return kept
}

func (t *Tables) enqueueStep(s *StepState) {
	if s.Ready && !s.queued && s.Waiting > 0 {
		s.queued = true
		t.waiting = append(t.waiting, s)
	}
}

// task returns the task that ref identifies and its step, or nil.
func (t *Tables) task(ref TaskRef) (*StepState, *Task) {
	j := t.jobs[ref.Job]
	if j == nil {
		return nil, nil
	}
	for _, o := range j.Occurrences {
		if o.Number != ref.Occurrence {
			continue
		}
		if ref.Step < 0 || ref.Step >= len(o.Steps) {
			return nil, nil
		}
		s := o.Steps[ref.Step]
		if ref.Index < 0 || ref.Index >= len(s.Tasks) {
			return nil, nil
		}
		return s, &s.Tasks[ref.Index]
	}
	return nil, nil
}

// Attempt returns the attempt of a task with the run number, or nil.
func (t *Tables) Attempt(ref TaskRef, run int) *Attempt {
	_, task := t.task(ref)
	if task == nil {
		return nil
	}
	for _, a := range task.Attempts {
		if a.Run == run {
			return a
		}
	}
	return nil
}
