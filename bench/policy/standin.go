package policy

import (
	"math/rand/v2"
	"slices"

	"gooseberrypond/core/structs"
)

const (
	// throttledSpeed scales the speed, the CPU use and the noise of a throttled task.
	throttledSpeed = 0.4
	// checkpointLoadTime is the time to load a checkpoint, in seconds.
	checkpointLoadTime = 3.0
	// checkpointInterval is the work between the periodic checkpoints of a task, in seconds.
	checkpointInterval = 120.0
	// usageDelay is the age of usage reports and usageInterval their period, in seconds.
	usageDelay    = 15
	usageInterval = 10
)

// process is one running attempt on a simulated worker.
type process struct {
	ref   structs.AttemptRef
	entry int
	// reserved.MemoryMB is the memory limit: the worker's memory guard stops a
	// task that exceeds it.
	reserved structs.Resources
	memoryMB int64
	// total, done and saved are the work of the task, the part that is done and
	// the part in the last checkpoint, in seconds of run time without interference.
	total, done, saved float64
	// loadTimeLeft is the time left to load a checkpoint, in seconds.
	loadTimeLeft float64
	slowdown     float64
	throttled    bool
	// checkpointRequested requests a checkpoint and the end of the attempt.
	checkpointRequested bool
	started             float64
}

// worker is a simulated worker: bookkeeping of its attempts and reports, without a
// model of the host's hardware.
type worker struct {
	id          structs.WorkerID
	number      int
	incarnation uint64
	domain      string
	up          bool
	// failing makes every attempt that is started here fail.
	failing bool
	running []*process
	// events and usage are ready for delivery; reports still wait for usageDelay.
	events  []structs.TaskEvent
	usage   []structs.Usage
	reports [][]structs.Usage
}

// cluster is the simulated cluster: all workers and the progress of tasks.
type cluster struct {
	s       *scenario
	rng     *rand.Rand
	workers []*worker
	// saved is the work in the last checkpoint of each task, and totals its whole
	// work, both in seconds of run time without interference.
	saved   map[structs.TaskID]float64
	totals  map[structs.TaskID]float64
	metrics *recorder
}

// start starts an attempt, which fails at once on a failing worker.
func (c *cluster) start(wk *worker, task *structs.Task, entry int, at float64) {
	t := &c.s.models[entry]
	ref := structs.AttemptRef{Task: task.ID, Attempt: task.Attempt, Epoch: task.Epoch}
	if wk.failing {
		wk.event(structs.EventFailed, ref, "")
		return
	}
	total, known := c.totals[task.ID]
	if !known {
		total = t.runtime * (0.5 + c.rng.Float64())
		c.totals[task.ID] = total
	}
	p := &process{
		ref: ref, entry: entry, reserved: task.Reserved, total: total, slowdown: 1, started: at,
		memoryMB: int64(float64(t.use.MemoryMB) * (0.85 + 0.3*hashUnit(task.ID))),
		done:     c.saved[task.ID], saved: c.saved[task.ID],
	}
	if p.done > 0 {
		p.loadTimeLeft = checkpointLoadTime
	}
	wk.running = append(wk.running, p)
	wk.event(structs.EventStarted, ref, "")
}

// hashUnit returns a number in [0, 1) that depends only on the task ID, so that
// all attempts of a task use the same memory (FNV-1a).
func hashUnit(id structs.TaskID) float64 {
	h := uint64(14695981039346656037)
	for _, c := range []byte(id.String()) {
		h = (h ^ uint64(c)) * 1099511628211
	}
	return float64(h>>11) / (1 << 53)
}

// event queues a task event for delivery.
func (wk *worker) event(kind structs.EventType, ref structs.AttemptRef, checkpoint string) {
	wk.events = append(wk.events, structs.TaskEvent{
		Type: kind, Task: ref.Task, Attempt: ref.Attempt, Epoch: ref.Epoch, Checkpoint: checkpoint,
	})
}

// step simulates one second on a worker.
func (c *cluster) step(wk *worker, at float64) {
	overload := c.overload(wk, at)
	for _, p := range wk.running {
		p.slowdown = c.slowdown(wk, p, at, overload)
	}
	kept := wk.running[:0]
	for _, p := range wk.running {
		if c.advance(wk, p, at) {
			kept = append(kept, p)
		}
	}
	clear(wk.running[len(kept):])
	wk.running = kept
	if (int(at)+wk.number)%usageInterval == 0 {
		c.report(wk, at)
	}
}

// use returns the current CPU use of a process in thousandths of a core.
func (c *cluster) use(p *process, at float64) float64 {
	t := &c.s.models[p.entry]
	use := float64(t.use.CPUMilli)
	if t.Class == structs.ClassLatency {
		use *= c.s.loadFactor(at)
	}
	if p.throttled {
		use *= throttledSpeed
	}
	return use
}

// overload returns the CPU demand divided by the capacity, at least 1.
func (c *cluster) overload(wk *worker, at float64) float64 {
	sum := 0.0
	for _, p := range wk.running {
		sum += c.use(p, at)
	}
	return max(1, sum/float64(hostCapacity.CPUMilli))
}

// slowdown returns the current slowdown of a process, which results from the
// interference of its neighbours and the CPU overload. For a latency-critical task,
// the interference grows with the load, and only half of the overload above 1 is
// added, because the worker's guards shield the task from the rest. For a batch task,
// the interference is multiplied by the whole overload.
func (c *cluster) slowdown(wk *worker, p *process, at, overload float64) float64 {
	t := &c.s.models[p.entry]
	x := 0.0
	for _, q := range wk.running {
		if q == p {
			continue
		}
		noise := c.s.interference[p.entry][q.entry] * c.s.noiseFactor(q.entry, at) * noiseScale
		if q.throttled {
			noise *= throttledSpeed
		}
		x += noise
	}
	if t.Class == structs.ClassLatency {
		return 1 + x*c.s.loadFactor(at) + (overload-1)*0.5
	}
	return (1 + x) * overload
}

// noiseScale scales the interference of one neighbour. A worker runs about 10 to
// 20 tasks, whose interference adds up.
const noiseScale = 0.06

// advance runs a process for one second and reports whether it still runs.
func (c *cluster) advance(wk *worker, p *process, at float64) bool {
	if p.checkpointRequested {
		c.saved[p.ref.Task] = p.done
		wk.event(structs.EventCheckpointed, p.ref, "c")
		return false
	}
	if p.memoryMB > p.reserved.MemoryMB && at-p.started > 10 {
		c.metrics.guardStops++
		wk.event(structs.EventFailed, p.ref, "")
		return false
	}
	if p.loadTimeLeft > 0 {
		p.loadTimeLeft--
		return true
	}
	t := &c.s.models[p.entry]
	if t.kind == structs.KindService {
		c.metrics.addServiceSecond(at, p, t)
		return true
	}
	speed := 1 / p.slowdown
	if p.throttled {
		speed *= throttledSpeed
	}
	p.done += speed
	if p.done-p.saved >= checkpointInterval {
		p.saved = p.done
		c.saved[p.ref.Task] = p.done
	}
	if p.done < p.total {
		return true
	}
	c.metrics.addFinished(at, t, p.total)
	wk.event(structs.EventFinished, p.ref, "")
	return false
}

// report measures the usage of every task on the worker. The report becomes
// available for delivery with a delay of usageDelay.
func (c *cluster) report(wk *worker, at float64) {
	var usage []structs.Usage
	for _, p := range wk.running {
		var neighbours []string
		for _, q := range wk.running {
			if q != p {
				neighbours = append(neighbours, c.s.models[q.entry].name)
			}
		}
		noisy := 1 + 0.05*c.rng.NormFloat64()
		usage = append(usage, structs.Usage{
			Task: p.ref.Task, AgeMS: usageDelay * 1000, Slowdown: max(1, p.slowdown*noisy), Neighbours: neighbours,
			Used: structs.Resources{CPUMilli: int64(c.use(p, at) * noisy), MemoryMB: p.memoryMB},
		})
	}
	wk.reports = append(wk.reports, usage)
	if len(wk.reports) > usageDelay/usageInterval {
		wk.usage = append(wk.usage, wk.reports[0]...)
		wk.reports = wk.reports[1:]
	}
}

// sync applies the leader's desired state to a worker: it starts assigned tasks,
// checkpoints evicted or stopping ones, sets throttles, and reports tasks that it
// does not run as stopped.
func (c *cluster) sync(wk *worker, desired []*structs.Task, throttled []structs.TaskID, at float64, entryOf func(*structs.Task) int) {
	for _, task := range desired {
		i := slices.IndexFunc(wk.running, func(p *process) bool { return p.ref.Task == task.ID })
		switch {
		case i >= 0:
			wk.running[i].checkpointRequested = task.State == structs.AttemptEvicting || task.State == structs.AttemptStopping
			wk.running[i].throttled = slices.Contains(throttled, task.ID)
		case task.State == structs.AttemptAssigned:
			c.start(wk, task, entryOf(task), at)
		case len(wk.events) == 0:
			wk.event(structs.EventStopped, structs.AttemptRef{Task: task.ID, Attempt: task.Attempt, Epoch: task.Epoch}, "")
		}
	}
}

// powerOff stops a worker. Its tasks lose the work since their last checkpoint.
func (c *cluster) powerOff(wk *worker) {
	c.metrics.lostTasks += len(wk.running)
	wk.up, wk.running, wk.events, wk.usage, wk.reports = false, nil, nil, nil, nil
}
