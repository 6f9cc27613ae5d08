package leader

import (
	"fmt"
	"testing"

	"gooseberrypond/core/structs"
)

// bookingCatalogue returns the catalogue of the booking scenario. If merged is
// set, the owner "nakhon" is merged into "desk", which then owns all entries.
func bookingCatalogue(merged bool) structs.Catalogue {
	former := "nakhon"
	owners := map[string]structs.Owner{"desk": {}, "nakhon": {}}
	if merged {
		former = "desk"
		owners = map[string]structs.Owner{"desk": {MergedFrom: []string{"nakhon"}}}
	}
	size := func(cores, gb int64) structs.Resources {
		return structs.Resources{CPUMilli: cores * 1000, MemoryMB: gb << 10}
	}
	return structs.Catalogue{Owners: owners, Entries: map[string]structs.Entry{
		"booking":  {Owner: "desk", Class: structs.ClassLatency, Resources: size(2, 4)},
		"plan":     {Owner: "desk", Class: structs.ClassBatch, Resources: size(4, 12), ExpectedRuntimeMS: 180_000},
		"reminder": {Owner: former, Class: structs.ClassBatch, Resources: size(1, 1), Priority: 50, ExpectedRuntimeMS: 5000},
		"callback": {Owner: former, Class: structs.ClassBatch, Resources: size(1, 1), Priority: 50, Missed: structs.MissedSkip, ExpectedRuntimeMS: 5000},
		"watch":    {Owner: former, Class: structs.ClassLatency, Resources: size(1, 2)},
	}}
}

// Runs services, recurring jobs and batch jobs with deadlines through the loss
// of a worker, the drain of a domain, a merge of two owners and a change of
// leader. Guards against starts in the drained domain, lost or repeated
// occurrences and evicted tasks, missed deadlines and changed job IDs.
func TestBookingScenario(t *testing.T) {
	const reminders, plans, deadline = 16, 12, 840.0
	d := newScenarioDriver(t, []string{"north", "east", "south"}, 65, 8, bookingCatalogue(false))
	d.taskRunMS = map[string]int64{"plan": 180_000, "reminder": 5000, "callback": 5000}
	d.addEntryHosts("booking")
	d.run(13) // workers have synced and a worker lease has passed since the election
	d.submit("desk", "bookings", structs.JobSpec{Entry: "booking", Kind: structs.KindService, Count: 130})
	d.submit("nakhon", "watches", structs.JobSpec{Entry: "watch", Kind: structs.KindService, Count: 60})
	var recurring []string
	for i := range reminders {
		spec := structs.JobSpec{Entry: "reminder", Kind: structs.KindRecurring, EveryMS: 60_000}
		if i%4 == 3 {
			spec.Entry = "callback"
		}
		if i%4 > 1 { // three occurrences are overdue at submission
			spec.FirstMS = d.now.UnixMilli() - 155_000
		}
		key := fmt.Sprintf("reminder%02d", i)
		recurring = append(recurring, key)
		d.submit("nakhon", key, spec)
	}
	d.run(120)
	plan := func(i int) structs.JobSpec {
		return structs.JobSpec{Entry: "plan", Kind: structs.KindBatch, Count: 60, Payload: fmt.Appendf(nil, "crew %d", i), DeadlineMS: epoch.UnixMilli() + int64(deadline*1000)}
	}
	for i := range plans {
		d.submit("desk", fmt.Sprintf("plan%02d", i), plan(i))
	}
	d.submit("desk", "plan00", plan(0))
	d.logf("plan00 resent: the same job")
	d.run(240)
	d.loseWorker(9)
	d.run(300)
	for i, w := range d.workers { // delay replies, as partitioned hosts would; 2.5 s is longer than StartWindow
		if w.domain == "east" && i%2 == 0 {
			w.delay = 1800e6
		} else if w.domain == "east" {
			w.delay = 2500e6
		}
	}
	d.run(329)
	d.hosts[2].partitioned = true // keeps its slots and a view that is still valid when the domain goes out
	d.run(330)
	d.domain("east", true)
	d.run(360)
	for _, w := range d.workers {
		w.delay = 0
	}
	d.hosts[2].partitioned = false
	d.run(420)
	d.mergeOwners(recurring)
	d.run(500)
	d.elect()
	d.run(600)
	d.register(d.workers[9])
	d.run(660)
	d.domain("east", false)
	d.run(960)
	for i := range plans {
		key := fmt.Sprintf("plan%02d", i)
		d.checkDone(key)
		job := d.tables.Job(d.jobs[key])
		d.logf("%s: %s at %.1fs, at risk %v", key, job.Status, float64(job.FinishedMS-epoch.UnixMilli())/1000, job.DeadlineAtRisk)
	}
	for _, key := range recurring {
		d.checkOccurrences(key)
	}
	d.checkServices("bookings", "watches")
	d.checkResumed()
	d.compareGolden("booking_day.golden")
}

// loseWorker stops a worker and its tasks without an event to the leader.
func (d *scenarioDriver) loseWorker(i int) {
	w := d.workers[i]
	d.logf("worker %s is lost with %d tasks", w.id, len(w.running))
	w.down, w.running = true, nil
}

// mergeOwners merges the owner "nakhon" into "desk". It resends the catalogue
// edit, and each submission under both owners, and requires unchanged answers
// and jobs.
func (d *scenarioDriver) mergeOwners(recurring []string) {
	before := map[string]structs.Job{}
	for _, key := range recurring {
		before[key] = *d.tables.Job(d.jobs[key])
	}
	put := &structs.PutCatalogue{ChangeID: "merge", BaseVersion: d.tables.Catalogue().Version, Catalogue: bookingCatalogue(true)}
	first := d.apply(&structs.Command{PutCatalogue: put}).Change
	again := d.apply(&structs.Command{PutCatalogue: put}).Change
	if !first.Accepted || *first != *again {
		d.t.Errorf("catalogue edit answered %+v, its resend %+v; want the edit accepted and equal answers", first, again)
	}
	d.logf("nakhon merged into desk: accepted %v, version %d; resent: the same answer", first.Accepted, first.Version)
	for _, key := range recurring {
		was := before[key]
		job := d.tables.Job(d.jobs[key])
		if job == nil || job.Owner != "desk" || job.Key != was.Key || job.NextOccurrence != was.NextOccurrence {
			d.t.Errorf("%s was %+v before the merge and is %+v; want owner desk, the same key and the same next occurrence", key, was, job)
		}
		spec := was.Spec
		if spec.FirstMS == was.SubmittedMS {
			spec.FirstMS = 0 // the value at submission; the tables replaced it by the submission time
		}
		d.submit("nakhon", key, spec)
		d.submit("desk", key, spec)
	}
	d.logf("%d recurring jobs keep their ids, keys and counts under both owners' names", len(recurring))
}

// checkServices requires every task of the given services to be running.
func (d *scenarioDriver) checkServices(keys ...string) {
	for _, key := range keys {
		job, running := d.tables.Job(d.jobs[key]), 0
		for _, w := range d.workers {
			for id := range w.running {
				if id.Job == job.ID {
					running++
				}
			}
		}
		if running != job.Spec.Count {
			d.t.Errorf("%s: %d tasks are running, want %d", key, running, job.Spec.Count)
		}
		d.logf("%s: job %s, owner %s, %s, %d running", key, job.ID, job.Owner, job.Status, running)
	}
}
