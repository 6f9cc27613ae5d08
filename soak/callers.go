package soak

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"gooseberrypond/platform/standin"
)

const (
	// attempts is how often a caller sends a job.
	attempts = 5
	// retryPause is how long a caller waits after an answer without a time to come back.
	retryPause = 200 * time.Millisecond
	// jobPause is the mean time between two jobs of a caller.
	jobPause = 120 * time.Millisecond
	// shortPatience is how long a caller in a hurry waits before it cancels its job.
	shortPatience = 400 * time.Millisecond
	// routeJobPause is the mean time between two jobs for routes that are soon removed.
	routeJobPause = 60 * time.Millisecond
)

// call submits jobs until the run ends, looks at them and cancels some. The caller keeps
// its connections open until their other end is gone.
func (s *system) call(n int) {
	r := rand.New(rand.NewPCG(s.o.Seed, 100+uint64(n)))
	client, hurried := standin.NewClient(callTimeout), standin.NewClient(shortPatience)
	for i := 0; ; i++ {
		select {
		case <-s.stop:
			return
		case <-time.After(time.Duration(r.ExpFloat64() * float64(jobPause))):
		}
		if s.settling() {
			return
		}
		id := fmt.Sprintf("%04x%012x", n, i)
		if r.IntN(5) == 0 {
			s.submitInAHurry(client, hurried, r, id)
		} else {
			s.submit(client, r, id)
		}
		if i > 0 && r.IntN(3) == 0 {
			s.look(client, r, fmt.Sprintf("%04x%012x", n, r.IntN(i)))
		}
		if r.IntN(10) == 0 {
			s.withdrawn(client, r)
		}
	}
}

// settling reports whether the faults are over.
func (s *system) settling() bool { return time.Since(s.ledger.began) > s.o.Length+2*time.Second }

// queueOf returns the queue of a job; it is a function of the id alone.
func queueOf(id string) string {
	switch id[len(id)-1] % 8 {
	case 0:
		return queues[2]
	case 1, 2, 3:
		return queues[1]
	}
	return queues[0]
}

// ownerOf returns the organisation of a job.
func ownerOf(id string) string { return []string{"harbour", "mill"}[id[3]%2] }

// longWork lets a part of the jobs run longer than a lease, so that a run that is released
// too early is seen beside the next one. They must be able to end after the run.
func (s *system) longWork(r *rand.Rand, j *standin.Job) {
	share, until := 0.01, s.o.Length-8*time.Second
	if s.o.Reborn {
		share, until = 0.1, s.o.Length
	}
	if long := r.Float64() < share; long && !j.LongRunning && time.Since(s.ledger.began) < until {
		j.Work.CPUMilli, j.Work.DurationMS, j.Steps = int64(50+r.IntN(200)), int64(8000+r.IntN(4000)), []int{1 + r.IntN(3)}
	}
}

func (s *system) newJob(r *rand.Rand, queue string) *standin.Job {
	j := &standin.Job{Work: standin.Work{CPUMilli: int64(200 + r.IntN(1200)), DurationMS: int64(50 + r.IntN(500)), FailShare: 0.02}}
	switch queue {
	case queues[2]:
		j.LongRunning, j.Work.DurationMS, j.Steps = true, 0, []int{1 + r.IntN(3)}
	case queues[1]:
		j.Steps = []int{1 + r.IntN(6), 1 + r.IntN(3)}
	default:
		j.Steps = []int{1 + r.IntN(3)}
	}
	s.longWork(r, j)
	return j
}

func (s *system) key(owner string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.keys[owner]
}

func (s *system) submit(c *standin.Client, r *rand.Rand, id string) {
	queue, owner := queueOf(id), ownerOf(id)
	job := s.newJob(r, queue)
	s.ledger.with(func() { s.ledger.owners[id] = owner })
	certain := true // that no attempt was accepted
	for range attempts {
		reply := c.Submit(s.anyEntry(r), queue, id, s.key(owner), job)
		s.ledger.count(fmt.Sprintf("submissions answered %d", reply.Status))
		switch reply.Status {
		case 200:
			s.ledger.with(func() { s.ledger.accepted[id] = true })
			return
		case 429, 503:
			pause := retryPause
			if reply.RetryAfter > 0 {
				pause = reply.RetryAfter
			}
			time.Sleep(pause)
		case 401:
			time.Sleep(retryPause) // the key may just have been replaced
		default:
			certain = false
			time.Sleep(retryPause)
		}
	}
	s.ledger.with(func() {
		if certain {
			s.ledger.refused[id] = true
		} else {
			s.ledger.uncertain[id] = true
		}
	})
}

// submitToRoutes submits jobs to the route of the newest version of the configuration
// until the run ends; the next version removes it.
func (s *system) submitToRoutes() {
	r := rand.New(rand.NewPCG(s.o.Seed, 5))
	client := standin.NewClient(callTimeout)
	for i := 0; !s.settling(); i++ {
		select {
		case <-s.stop:
			return
		case <-time.After(time.Duration(r.ExpFloat64() * float64(routeJobPause))):
		}
		var version int
		s.ledger.with(func() { version = s.ledger.sent })
		status := s.submitOnce(client, s.entry[r.IntN(len(s.entry))], version, fmt.Sprintf("e000%012x", i))
		s.ledger.count(fmt.Sprintf("submissions to a route of one version: %d", status))
	}
}

// submitOnce sends a short job to the route of a version and returns the status. If it is
// a refusal, no task of the job may start.
func (s *system) submitOnce(c *standin.Client, entry *host, version int, id string) int {
	s.ledger.with(func() { s.ledger.owners[id] = "harbour" })
	job := &standin.Job{Work: standin.Work{CPUMilli: 50, DurationMS: 50}, Steps: []int{1}}
	status := c.Submit(entry.address(frontendPort), routeOf(version), id, s.key("harbour"), job).Status
	if isRefusal(status) {
		s.ledger.with(func() { s.ledger.refused[id] = true })
	}
	return status
}

// isRefusal reports whether a status says that a job was not accepted and never runs.
func isRefusal(status int) bool {
	return status >= 400 && status < 500 || status == http.StatusServiceUnavailable
}

// submitInAHurry sends a job once. Without an answer soon it is cancelled, at any entry
// host and until that is acknowledged. The answer 410 says that there is no such job, so
// none may run later.
func (s *system) submitInAHurry(c, hurried *standin.Client, r *rand.Rand, id string) {
	queue, owner := queueOf(id), ownerOf(id)
	job := s.newJob(r, queue)
	s.ledger.with(func() { s.ledger.owners[id] = owner })
	switch hurried.Submit(s.anyEntry(r), queue, id, s.key(owner), job).Status {
	case 200:
		s.ledger.with(func() { s.ledger.accepted[id] = true })
		return
	case 429, 503, 401:
		return
	}
	s.ledger.with(func() { s.ledger.cancelled[id] = true })
	for range attempts {
		status := c.Cancel(s.anyEntry(r), queue, id, s.key(owner)).Status
		s.ledger.count(fmt.Sprintf("cancels without an answer before: %d", status))
		switch status {
		case 410:
			s.ledger.with(func() { s.ledger.absent[id] = true })
			return
		case 200:
			return
		}
		time.Sleep(retryPause)
	}
	s.ledger.with(func() { s.ledger.uncertain[id] = true })
}

func (s *system) anyEntry(r *rand.Rand) string {
	return s.entry[r.IntN(len(s.entry))].address(frontendPort)
}

// look asks for a job's state and cancels it sometimes.
func (s *system) look(c *standin.Client, r *rand.Rand, id string) {
	var known bool
	s.ledger.with(func() { known = s.ledger.accepted[id] })
	if !known {
		return
	}
	entry, queue, key := s.anyEntry(r), queueOf(id), s.key(ownerOf(id))
	if queue == queues[2] || r.IntN(4) == 0 {
		s.ledger.with(func() { s.ledger.cancelled[id] = true }) // also if no answer comes
		c.Cancel(entry, queue, id, key)
		return
	}
	if reply := c.Look(entry, queue, id, key); reply.Status == 410 || reply.Status == 404 {
		s.ledger.with(func() { s.ledger.report("accepted job %s is answered %d", id, reply.Status) })
	}
}

// withdrawn uses a key that was withdrawn a while ago: it must be refused.
func (s *system) withdrawn(c *standin.Client, r *rand.Rand) {
	s.mu.Lock()
	old := slices.Sorted(maps.Keys(s.oldKeys))
	s.mu.Unlock()
	if len(old) == 0 {
		return
	}
	key := old[r.IntN(len(old))]
	s.mu.Lock()
	since := time.Since(s.oldKeys[key])
	s.mu.Unlock()
	if since < keyBound {
		return
	}
	reply := c.Look(s.anyEntry(r), queues[0], "", key)
	s.ledger.count(fmt.Sprintf("withdrawn keys answered %d", reply.Status))
	if reply.Status == 200 {
		s.ledger.with(func() {
			s.ledger.report("key %s works %v after its removal was acknowledged", key, since)
		})
	}
}

// resolveUncertain asks for the jobs whose submissions got no clear answer: those that are
// known count as accepted from then on. It returns how many could not be asked for.
func (s *system) resolveUncertain() int {
	var ids []string
	s.ledger.with(func() { ids = slices.Sorted(maps.Keys(s.ledger.uncertain)) })
	open := 0
	for i, id := range ids {
		status := s.client.Look(s.entry[i%len(s.entry)].address(frontendPort), queueOf(id), id, s.key(ownerOf(id))).Status
		if status != 200 && status != 410 {
			open++
			continue
		}
		s.ledger.with(func() {
			delete(s.ledger.uncertain, id)
			if status == 200 {
				s.ledger.accepted[id] = true
			}
		})
	}
	return open
}

// openJobs cancels the long-running jobs and returns the accepted jobs that have not
// ended, with their last answer.
func (s *system) openJobs() []string {
	var ids []string
	s.ledger.with(func() { ids = slices.Sorted(maps.Keys(s.ledger.accepted)) })
	var open []string
	for i, id := range ids {
		entry, queue, key := s.entry[i%len(s.entry)].address(frontendPort), queueOf(id), s.key(ownerOf(id))
		if queue == queues[2] {
			s.client.Cancel(entry, queue, id, key)
		}
		reply := s.client.Look(entry, queue, id, key)
		final := strings.Contains(reply.Body, "completed") || strings.Contains(reply.Body, "failed") || strings.Contains(reply.Body, "cancelled")
		if reply.Status != 200 || !final {
			open = append(open, fmt.Sprintf("%s: %d %s", id, reply.Status, reply.Body))
			continue
		}
		if strings.Contains(reply.Body, "failed") {
			s.ledger.jobFailed(id)
		}
		var cancelled bool
		s.ledger.with(func() { delete(s.ledger.accepted, id); cancelled = s.ledger.cancelled[id] })
		if strings.Contains(reply.Body, "cancelled") && !cancelled && queue != queues[2] {
			s.ledger.with(func() { s.ledger.report("job %s is cancelled, and nobody asked for it", id) })
		}
	}
	return open
}
