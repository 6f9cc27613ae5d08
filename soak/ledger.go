package soak

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"gooseberrypond/platform/standin"
)

// ledger records what workers, callers and the operator see and finds what must not be.
type ledger struct {
	mu    sync.Mutex
	began time.Time
	found []string

	// events has what happened, by task or worker; suspects are the tasks and workers of
	// violations.
	events   map[string][]string
	suspects map[string]bool
	// failed counts the ends of each task that were failures.
	failed map[string]int

	// running has the place of each run of a task that goes on.
	running map[string]map[place]int64
	// done has the runs of each task that ended done, and whether the task was started
	// after them. noted has the tasks of which such an end was noted.
	done     map[string]map[place]bool
	noted    map[string]bool
	started  map[string]bool // jobs of which a task was started
	used     map[string]int64
	capacity map[string]int64
	// owners has the organisation of each job; held and limit are processors by
	// organisation, largest the largest task.
	owners               map[string]string
	held, limit, largest map[string]int64

	accepted, refused map[string]bool
	// uncertain has the jobs whose submissions got no clear answer.
	uncertain map[string]bool
	cancelled map[string]bool // asked for, whatever the answer
	absent    map[string]bool // cancelled, with the answer that there is no such job
	version   int             // the newest acknowledged configuration
	sent      int             // the newest configuration that was sent
	ackedAt   map[int]time.Time
	shown     int // the highest version that a control host has answered
	counts    map[string]int
}

type place struct {
	worker string // the name of a life
	run    int
}

func newLedger() *ledger {
	return &ledger{
		began: time.Now(), events: map[string][]string{}, suspects: map[string]bool{}, failed: map[string]int{}, running: map[string]map[place]int64{}, done: map[string]map[place]bool{}, noted: map[string]bool{},
		started: map[string]bool{}, used: map[string]int64{}, capacity: map[string]int64{},
		owners: map[string]string{}, held: map[string]int64{}, limit: map[string]int64{}, largest: map[string]int64{},
		accepted: map[string]bool{}, refused: map[string]bool{}, uncertain: map[string]bool{}, cancelled: map[string]bool{}, absent: map[string]bool{}, ackedAt: map[int]time.Time{}, counts: map[string]int{},
	}
}

// quotaOverage is how far an organisation may be over its limit, beside one task: runs
// that a worker carries out late are not known to the leader.
const quotaOverage = 0.1

func (l *ledger) report(format string, args ...any) {
	l.found = append(l.found, fmt.Sprintf("%6.2f s: ", time.Since(l.began).Seconds())+fmt.Sprintf(format, args...))
}

// note records an event of a task or a worker.
func (l *ledger) note(subject, what string) { l.with(func() { l.noteLocked(subject, what) }) }

func (l *ledger) noteLocked(subject, what string) {
	l.events[subject] = append(l.events[subject], fmt.Sprintf("%8.3f s %s: %s", time.Since(l.began).Seconds(), subject, what))
}

// suspect has the events of a task and of workers kept for the trace.
func (l *ledger) suspect(task string, lives ...string) {
	l.suspects[task] = true
	for _, w := range lives {
		l.suspects[workerOf(w)] = true
	}
}

// trace returns the events of the tasks and workers of violations, in order.
func (l *ledger) trace() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []string
	for subject, events := range l.events {
		if l.suspects[subject] || l.suspects[jobOf(subject)] {
			out = append(out, events...)
		}
	}
	slices.Sort(out)
	return append([]string{"times count from " + l.began.UTC().Format(time.RFC3339Nano)}, out...)
}

// workerOf returns the id of the worker that has a life.
func workerOf(life string) string { return life[:strings.IndexByte(life+"#", '#')] }

// Lived implements standin.Ledger.
func (l *ledger) Lived(worker, what string) { l.note(workerOf(worker), worker+" "+what) }

// jobOf returns the job of a task.
func jobOf(task string) string { return task[:strings.IndexByte(task+".", '.')] }

// Started implements standin.Ledger.
func (l *ledger) Started(worker, task string, run int, cpuMilli int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts["starts"]++
	l.noteLocked(task, fmt.Sprintf("run %d began on %s", run, worker))
	if len(l.running[task]) > 0 {
		l.report("task %s started as run %d on %s while it runs at %v", task, run, worker, l.running[task])
		l.suspect(task, append(livesOf(l.running[task]), worker)...)
	}
	if l.noted[task] {
		l.report("task %s started as run %d on %s after its end was noted", task, run, worker)
		l.suspect(task, append(livesOf(l.done[task]), worker)...)
	}
	for at := range l.done[task] {
		l.done[task][at] = true
	}
	if l.running[task] == nil {
		l.running[task] = map[place]int64{}
	}
	l.running[task][place{worker, run}] = cpuMilli
	l.started[jobOf(task)] = true
	l.use(worker, task, cpuMilli)
}

func (l *ledger) use(worker, task string, cpuMilli int64) {
	l.used[worker] += cpuMilli
	if cpuMilli > 0 && l.used[worker] > l.capacity[workerOf(worker)] {
		l.report("worker %s has runs of %d thousandths of a core, capacity %d", worker, l.used[worker], l.capacity[workerOf(worker)])
		l.suspect(task, worker)
	}
	o := l.owners[jobOf(task)]
	l.held[o] += cpuMilli
	l.largest[o] = max(l.largest[o], cpuMilli)
	if limit := l.limit[o]; cpuMilli > 0 && limit > 0 && l.held[o] > int64(float64(limit)*(1+quotaOverage))+l.largest[o] {
		l.report("organisation %s holds %d thousandths of a core, limit %d", o, l.held[o], limit)
	}
}

// Ended implements standin.Ledger.
func (l *ledger) Ended(worker, task string, run int, how string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts["ends "+how]++
	l.noteLocked(task, fmt.Sprintf("run %d on %s ended %s", run, worker, how))
	if how == "failed" {
		l.failed[task]++
	}
	at := place{worker, run}
	l.use(worker, task, -l.running[task][at])
	delete(l.running[task], at)
	if how != "done" {
		return
	}
	if l.done[task] == nil {
		l.done[task] = map[place]bool{}
	}
	l.done[task][at] = false
}

// Noted implements standin.Ledger.
func (l *ledger) Noted(worker, task string, run int, how string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.noteLocked(task, fmt.Sprintf("the end %s of run %d on %s was noted", how, run, worker))
	if how != "done" {
		return
	}
	l.noted[task] = true
	if l.done[task][place{worker, run}] {
		l.report("task %s was started after its run %d on %s had ended done, which was noted", task, run, worker)
		l.suspect(task, append(livesOf(l.done[task]), worker)...)
	}
}

// livesOf returns the names of the lives of places.
func livesOf[V any](places map[place]V) []string {
	var out []string
	for at := range places {
		out = append(out, at.worker)
	}
	return out
}

// jobFailed reports a job that is shown as failed though no task of it has failed often
// enough. What ends otherwise, or dies with its worker, does not count.
func (l *ledger) jobFailed(job string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	most := 0
	for task, n := range l.failed {
		if jobOf(task) == job {
			most = max(most, n)
		}
	}
	if most < standin.Attempts {
		l.report("accepted job %s is shown as failed, and none of its tasks has failed more than %d times", job, most)
		l.suspect(job)
	}
}

// with runs f with the lock held.
func (l *ledger) with(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f()
}

func (l *ledger) count(what string) { l.with(func() { l.counts[what]++ }) }

// violations returns what was found.
func (l *ledger) violations() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.found)
}

// checkRefused finds jobs that were refused at every attempt and ran all the same.
func (l *ledger) checkRefused() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id := range l.refused {
		if l.started[id] && !l.accepted[id] {
			l.report("job %s was refused at every attempt, and a task of it was started", id)
		}
	}
}

// checkAbsent finds jobs that ran although a caller was told that there are none.
func (l *ledger) checkAbsent() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id := range l.absent {
		if l.started[id] {
			l.report("the cancel of job %s was answered that there is none, and a task of it was started", id)
		}
	}
}

// leftovers returns the tasks that run though their job has ended.
func (l *ledger) leftovers(ended func(job string) bool) []string {
	l.mu.Lock()
	tasks := slices.Collect(maps.Keys(l.running))
	running := slices.DeleteFunc(tasks, func(t string) bool { return len(l.running[t]) == 0 })
	l.mu.Unlock()
	return slices.DeleteFunc(running, func(t string) bool { return !ended(jobOf(t)) })
}
