package graph

import (
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"gooseberrypond/core/codec"
)

// image is the encoded form of the tables. Indexes and sums are not stored;
// Decode rebuilds them.
type image struct {
	Version    int             `cbor:"1,keyasint"`
	Index      uint64          `cbor:"2,keyasint"`
	NowMS      int64           `cbor:"3,keyasint"`
	Config     *Config         `cbor:"4,keyasint,omitempty"`
	Domains    map[string]bool `cbor:"5,keyasint,omitempty"`
	LastHandle Handle          `cbor:"6,keyasint"`
	Workers    []workerImage   `cbor:"7,keyasint,omitempty"`
	Jobs       []jobImage      `cbor:"8,keyasint,omitempty"`
	Pressures  []Pressure      `cbor:"9,keyasint,omitempty"`
	// Crashes lists the tasks with counted crashes. They are apart from taskImage, whose
	// array has a fixed length, so that snapshots of earlier versions can be decoded.
	Crashes []crashImage `cbor:"10,keyasint,omitempty"`
	// Ended lists when the last runs of tasks ended, for the reason given for Crashes.
	Ended    []endedImage `cbor:"11,keyasint,omitempty"`
	Expected []Expected   `cbor:"12,keyasint,omitempty"`
	// Withdrawals follow the given number of forgotten ones.
	Withdrawals          []Withdrawal `cbor:"13,keyasint,omitempty"`
	ForgottenWithdrawals uint64       `cbor:"14,keyasint,omitempty"`
	// WeakCrashes are apart from Crashes, because an earlier version would count them.
	WeakCrashes []crashImage `cbor:"15,keyasint,omitempty"`
	DomainTerm  uint64       `cbor:"16,keyasint,omitempty"`
}

type endedImage struct {
	_       struct{} `cbor:",toarray"`
	Task    TaskRef
	EndedMS int64
}

type crashImage struct {
	_       struct{} `cbor:",toarray"`
	Task    TaskRef
	Crashes []WorkerCrash
}

type workerImage struct {
	_       struct{} `cbor:",toarray"`
	Report  WorkerReport
	Handle  Handle
	Left    bool
	Current bool
}

type jobImage struct {
	_           struct{} `cbor:",toarray"`
	Spec        Spec
	Queue       Queue
	AcceptedMS  int64
	EndedMS     int64
	State       JobState
	Occurrences []occurrenceImage
}

type occurrenceImage struct {
	_      struct{} `cbor:",toarray"`
	Number int
	DueMS  int64
	Steps  [][]taskImage
}

type taskImage struct {
	_          struct{} `cbor:",toarray"`
	Done       bool
	LastRun    int
	Failures   int
	Checkpoint string
	LastWorker Handle
	Attempts   []attemptImage
}

type attemptImage struct {
	_         struct{} `cbor:",toarray"`
	Run       int
	Worker    Handle
	StartedMS int64
	Resumed   string
}

// Encode returns a snapshot of the tables.
func (t *Tables) Encode() ([]byte, error) {
	im := image{
		Version: BatchVersion, Index: t.index, NowMS: t.nowMS,
		Config: t.config, Domains: t.domains, LastHandle: t.lastHandle, Pressures: t.pressures, Expected: t.expected,
		Withdrawals: t.withdrawn.ordered, ForgottenWithdrawals: t.withdrawn.first - 1, DomainTerm: t.domainTerm,
	}
	for _, w := range t.workers {
		im.Workers = append(im.Workers, workerImage{Report: w.WorkerReport, Handle: w.Handle, Left: w.Left, Current: t.byID[w.ID] == w})
	}
	slices.SortFunc(im.Workers, func(a, b workerImage) int { return int(a.Handle) - int(b.Handle) })
	for _, j := range t.jobs {
		im.Jobs = append(im.Jobs, j.image())
	}
	slices.SortFunc(im.Jobs, func(a, b jobImage) int {
		switch {
		case a.Spec.ID < b.Spec.ID:
			return -1
		case a.Spec.ID > b.Spec.ID:
			return 1
		}
		return 0
	})
	for i := range im.Jobs {
		j := t.jobs[im.Jobs[i].Spec.ID]
		im.Crashes = j.appendCrashes(im.Crashes, false)
		im.WeakCrashes = j.appendCrashes(im.WeakCrashes, true)
		im.Ended = j.appendEnded(im.Ended)
	}
	data, err := cbor.Marshal(im)
	return data, errors.Wrap(err, "encode snapshot")
}

func (j *Job) image() jobImage {
	im := jobImage{Spec: j.Spec, Queue: j.Queue, AcceptedMS: j.AcceptedMS, EndedMS: j.EndedMS, State: j.State}
	for _, o := range j.Occurrences {
		om := occurrenceImage{Number: o.Number, DueMS: o.DueMS}
		for _, s := range o.Steps {
			om.Steps = append(om.Steps, s.image())
		}
		im.Occurrences = append(im.Occurrences, om)
	}
	return im
}

// appendCrashes appends the tasks of the job that have weak crashes, or other ones.
func (j *Job) appendCrashes(out []crashImage, weak bool) []crashImage {
	for _, o := range j.Occurrences {
		for _, s := range o.Steps {
			for i := range s.Tasks {
				if c := s.Tasks[i].crashes(weak); len(c) > 0 {
					out = append(out, crashImage{Task: s.Ref(i), Crashes: c})
				}
			}
		}
	}
	return out
}

// appendEnded appends the tasks of a live job that wait for another run, and of each step
// that is done the one that ended last.
func (j *Job) appendEnded(out []endedImage) []endedImage {
	if !j.Live() {
		return out
	}
	for _, o := range j.Occurrences {
		for _, s := range o.Steps {
			last := -1
			for i := range s.Tasks {
				t := &s.Tasks[i]
				switch {
				case t.EndedMS == 0:
				case !t.Done:
					out = append(out, endedImage{Task: s.Ref(i), EndedMS: t.EndedMS})
				case s.Open == 0 && (last < 0 || t.EndedMS > s.Tasks[last].EndedMS):
					last = i
				}
			}
			if last >= 0 {
				out = append(out, endedImage{Task: s.Ref(last), EndedMS: s.Tasks[last].EndedMS})
			}
		}
	}
	return out
}

func (s *StepState) image() []taskImage {
	out := make([]taskImage, len(s.Tasks))
	for i := range s.Tasks {
		task := &s.Tasks[i]
		ti := taskImage{Done: task.Done, LastRun: task.LastRun, Failures: task.Failures, Checkpoint: task.Checkpoint, LastWorker: task.LastWorker}
		for _, a := range task.Attempts {
			ti.Attempts = append(ti.Attempts, attemptImage{Run: a.Run, Worker: a.Worker.Handle, StartedMS: a.StartedMS, Resumed: a.Resumed})
		}
		out[i] = ti
	}
	return out
}

// Decode restores the tables from a snapshot.
func Decode(data []byte) (*Tables, error) {
	var im image
	if err := codec.Unmarshal(data, &im); err != nil {
		return nil, errors.Wrap(err, "decode snapshot")
	}
	if im.Version != BatchVersion {
		return nil, errors.Newf("snapshot has format version %d, want %d", im.Version, BatchVersion)
	}
	t := New()
	t.index, t.nowMS, t.lastHandle, t.domainTerm = im.Index, im.NowMS, im.LastHandle, im.DomainTerm
	if im.Config != nil {
		im.Config.index()
		t.config = im.Config
	}
	for name := range im.Domains {
		t.domains[name] = true
	}
	for _, wi := range im.Workers {
		w := &Worker{WorkerReport: wi.Report, Handle: wi.Handle, Left: wi.Left, Attempts: map[*Attempt]struct{}{}}
		t.workers[w.Handle] = w
		if wi.Current {
			t.byID[w.ID] = w
		}
	}
	t.pressures, t.expected = im.Pressures, im.Expected
	t.withdrawn.first += im.ForgottenWithdrawals
	for _, w := range im.Withdrawals {
		t.withdrawn.add(w)
	}
	for i := range im.Jobs {
		if err := t.restoreJob(&im.Jobs[i]); err != nil {
			return nil, err
		}
	}
	if err := t.restoreCrashes(im.Crashes, false); err != nil {
		return nil, err
	}
	if err := t.restoreCrashes(im.WeakCrashes, true); err != nil {
		return nil, err
	}
	for i := range im.Ended {
		_, task := t.task(im.Ended[i].Task)
		if task == nil {
			return nil, errors.Newf("end of %s, which is not in the snapshot", im.Ended[i].Task)
		}
		task.EndedMS = im.Ended[i].EndedMS
	}
	slices.SortStableFunc(t.ended, func(a, b *Job) int { return int(a.EndedMS - b.EndedMS) })
	return t, nil
}

func (t *Tables) restoreCrashes(images []crashImage, weak bool) error {
	for i := range images {
		_, task := t.task(images[i].Task)
		if task == nil {
			return errors.Newf("crashes of %s, which is not in the snapshot", images[i].Task)
		}
		for _, c := range images[i].Crashes {
			c.Weak = weak
			task.addCrash(c)
		}
	}
	return nil
}

func (t *Tables) restoreJob(im *jobImage) error {
	j := &Job{Spec: im.Spec, Queue: im.Queue, AcceptedMS: im.AcceptedMS, EndedMS: im.EndedMS, State: im.State}
	t.jobs[j.Spec.ID] = j
	if j.Live() || len(im.Occurrences) > 0 {
		t.keptBytes += int64(j.Spec.Bytes())
	}
	j.open = max(j.Spec.Times, 1)
	if j.Live() {
		t.live[j.Spec.ID] = j
		if j.State == JobQueued {
			t.pending[j.Spec.Queue]++
		}
		if len(im.Occurrences) < j.Spec.Times {
			t.recurring[j.Spec.ID] = j
		}
	} else if len(im.Occurrences) > 0 {
		t.ended = append(t.ended, j)
	}
	for _, om := range im.Occurrences {
		if err := t.restoreOccurrence(j, &om); err != nil {
			return errors.Wrapf(err, "job %s", j.Spec.ID)
		}
	}
	return nil
}

func (t *Tables) restoreOccurrence(j *Job, om *occurrenceImage) error {
	if len(om.Steps) != len(j.Spec.Steps) {
		return errors.Newf("occurrence has %d steps in the snapshot, want %d as in the job", len(om.Steps), len(j.Spec.Steps))
	}
	o := &Occurrence{Job: j, Number: om.Number, DueMS: om.DueMS}
	for i, tasks := range om.Steps {
		s := &StepState{Step: &j.Spec.Steps[i], Occurrence: o, Number: i, Tasks: make([]Task, len(tasks))}
		o.Steps = append(o.Steps, s)
		for k := range tasks {
			if err := t.restoreTask(s, k, &tasks[k]); err != nil {
				return err
			}
		}
		if s.Open > 0 {
			o.open++
		}
	}
	if o.open == 0 {
		j.open--
	}
	j.Occurrences = append(j.Occurrences, o)
	if j.Live() {
		t.updateReady(o)
	}
	return nil
}

func (t *Tables) restoreTask(s *StepState, k int, im *taskImage) error {
	s.Tasks[k] = Task{Done: im.Done, LastRun: im.LastRun, Failures: im.Failures, Checkpoint: im.Checkpoint, LastWorker: im.LastWorker}
	if !im.Done {
		s.Open++
		s.Waiting++
	}
	for _, am := range im.Attempts {
		w := t.workers[am.Worker]
		if w == nil {
			return errors.Newf("attempt %d of %s is on worker %d, which is not in the snapshot", am.Run, s.Ref(k), am.Worker)
		}
		t.attach(&Attempt{Step: s, Index: k, Run: am.Run, Worker: w, StartedMS: am.StartedMS, Resumed: am.Resumed})
	}
	return nil
}
