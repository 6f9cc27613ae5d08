package graph

import (
	"cmp"
	"slices"
	"time"
)

const (
	// CrashWindow is how soon after a run's start the crash of its worker counts against
	// the task. A run that lasts longer shows that its task does not crash workers.
	CrashWindow = time.Minute
	// crashLimit is the number of crashes during unsettled runs that fails the job. It is
	// above 2, because the other runs on a crashed worker are counted as well.
	crashLimit = 3
	// totalCrashLimit is the number of all counted crashes that fails the job. A settled
	// run survived its start, so it is less likely to be the cause of a crash.
	totalCrashLimit = 5
	// maxWeakCrashes bounds the weak crashes that are kept of a task, the latest ones.
	maxWeakCrashes = 8
)

// Crash records that a worker crashed while it was, or may have been, executing a run
// that had started less than CrashWindow before.
type Crash struct {
	_      struct{} `cbor:",toarray"`
	Task   TaskRef
	Run    int
	Worker Handle
	// Settled means that the run was known to run for some time after its start, or that
	// something else speaks against it as the cause.
	Settled bool
}

// WorkerCrash is a crash of a worker that a run was on.
type WorkerCrash struct {
	_       struct{} `cbor:",toarray"`
	Run     int
	Worker  Handle
	Settled bool
	// Weak means that the worker may well have crashed for another reason. Such a crash
	// makes the task a suspect, but counts towards no limit.
	Weak bool `cbor:"-"`
}

// CrashLoop is a task that has reached a limit of counted crashes.
type CrashLoop struct {
	Task    TaskRef
	Crashes []WorkerCrash
}

// IsCrashSuspect reports whether the task may be the one that crashed a worker.
func (t *Task) IsCrashSuspect() bool { return len(t.Crashes) > 0 }

// CountedCrashes returns the crashes that count towards the limits.
func (t *Task) CountedCrashes() []WorkerCrash { return t.crashes(false) }

// crashes returns the weak crashes of the task, or the others.
func (t *Task) crashes(weak bool) []WorkerCrash {
	var out []WorkerCrash
	for _, c := range t.Crashes {
		if c.Weak == weak {
			out = append(out, c)
		}
	}
	return out
}

func (t *Task) hasCrash(run int) bool {
	return slices.ContainsFunc(t.Crashes, func(c WorkerCrash) bool { return c.Run == run })
}

func (t *Task) reachedCrashLimit() bool {
	unsettled, total := 0, 0
	for _, c := range t.CountedCrashes() {
		total++
		if !c.Settled {
			unsettled++
		}
	}
	return unsettled >= crashLimit || total >= totalCrashLimit
}

// applyCrash records a crash, once per run, and fails the job at the limits unless it is
// weak. This includes jobs with long-running tasks: restarting such a task harms the workers
// that other jobs need.
func (t *Tables) applyCrash(c *Crash, weak bool, r *Result) {
	s, task := t.task(c.Task)
	if task == nil || task.Done || !s.Occurrence.Job.Live() || task.hasCrash(c.Run) {
		r.Dropped++
		return
	}
	task.addCrash(WorkerCrash{Run: c.Run, Worker: c.Worker, Settled: c.Settled, Weak: weak})
	if weak {
		r.WeakCrashes++
		return
	}
	r.Crashes++
	if !task.reachedCrashLimit() {
		return
	}
	r.CrashLoops = append(r.CrashLoops, CrashLoop{Task: c.Task, Crashes: task.CountedCrashes()})
	t.finish(s.Occurrence.Job, JobFailed, r)
}

// addCrash keeps the crashes in the order of their runs, which a snapshot restores.
func (t *Task) addCrash(c WorkerCrash) {
	if c.Weak && len(t.crashes(true)) >= maxWeakCrashes {
		oldest := slices.IndexFunc(t.Crashes, func(c WorkerCrash) bool { return c.Weak })
		t.Crashes = slices.Delete(t.Crashes, oldest, oldest+1)
	}
	t.Crashes = append(t.Crashes, c)
	slices.SortStableFunc(t.Crashes, func(a, b WorkerCrash) int { return cmp.Compare(a.Run, b.Run) })
}

// resetCrashes drops the counted crashes of a task after a run that outlived CrashWindow.
func (t *Tables) resetCrashes(a *Attempt) {
	task := a.Task()
	if t.nowMS-a.StartedMS >= CrashWindow.Milliseconds() && !task.hasCrash(a.Run) {
		task.Crashes = nil
	}
}
