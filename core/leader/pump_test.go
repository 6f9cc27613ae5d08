package leader

import (
	"fmt"
	"testing"

	"gooseberrypond/core/structs"
)

// urgentStartMS is the time in milliseconds within which an urgent task must
// start.
const urgentStartMS = 1200

func pumpCatalogue() structs.Catalogue {
	size := func(cores, gb int64) structs.Resources {
		return structs.Resources{CPUMilli: cores * 1000, MemoryMB: gb << 10}
	}
	noisy := size(4, 10)
	noisy.Accelerators = 1
	return structs.Catalogue{Owners: map[string]structs.Owner{"pumps": {}, "vans": {}}, Entries: map[string]structs.Entry{
		"check":     {Owner: "pumps", Class: structs.ClassBatch, Resources: size(4, 8), Urgent: true, Priority: 100, ExpectedRuntimeMS: 4000},
		"diagnosis": {Owner: "vans", Class: structs.ClassBatch, Resources: noisy, ExpectedRuntimeMS: 240_000},
		"pressure":  {Owner: "pumps", Class: structs.ClassLatency, Resources: size(2, 4)},
	}}
}

// Runs urgent checks among long batch jobs that slow their neighbours, with a
// worker that fails every task, a burst of cancels and two domains out at the
// same time. Guards against urgent checks that wait for the batch jobs, evicted
// batch jobs that are lost or run twice, and starts in a domain that is out.
func TestPumpScenario(t *testing.T) {
	const until = 720
	d := newScenarioDriver(t, []string{"north", "east", "south", "west"}, 50, 6, pumpCatalogue())
	d.taskRunMS = map[string]int64{"check": 4000, "diagnosis": 240_000}
	d.addEntryHosts("pressure")
	d.noisyEntry = "diagnosis"
	d.workers[7].failsAll = true
	d.run(13)
	d.submit("pumps", "pressure", structs.JobSpec{Entry: "pressure", Kind: structs.KindService, Count: 100})
	d.run(30)
	for i := range 700 {
		d.submit("vans", fmt.Sprintf("diagnosis%03d", i), structs.JobSpec{Entry: "diagnosis", Kind: structs.KindBatch, Payload: fmt.Appendf(nil, "%d", i)})
	}
	var checks []string
	events := map[int]func(){
		180: func() { d.hosts[4].partitioned = true },
		300: func() { d.hosts[4].partitioned = false },
		150: func() { d.cancelBurst(200) },
		210: func() { d.domain("north", true) },
		240: func() { d.domain("west", true) },
		360: func() { d.domain("north", false) },
		390: func() { d.domain("west", false) },
		450: func() {
			d.workers[7].failsAll = false
			d.logf("worker w07 repaired after %d starts", d.workers[7].starts)
		},
	}
	for at := 60; at < until; at += 10 {
		d.run(float64(at))
		if event := events[at]; event != nil {
			event()
		}
		for i := range 6 {
			if at < until-60 {
				key := fmt.Sprintf("check%03d-%d", at, i)
				checks = append(checks, key)
				d.submit("pumps", key, structs.JobSpec{Entry: "check", Kind: structs.KindBatch})
			}
		}
	}
	worst, prompt := int64(0), 0
	for _, key := range checks {
		d.checkDone(key)
		job := d.tables.Job(d.jobs[key])
		started := d.tables.TasksOf(job.ID)[0].StartedMS - job.SubmittedMS
		if started <= urgentStartMS {
			prompt++
		}
		worst = max(worst, started)
	}
	if prompt != len(checks) {
		d.t.Errorf("%d of %d urgent checks started later than %d ms after submission, the slowest after %d ms", len(checks)-prompt, len(checks), urgentStartMS, worst)
	}
	d.logf("%d checks done, %d started within %d ms, the last after %d ms", len(checks), prompt, urgentStartMS, worst)
	done, cancelled := 0, 0
	for i := range 700 {
		key := fmt.Sprintf("diagnosis%03d", i)
		if d.tables.Job(d.jobs[key]).Status == structs.StatusCancelled {
			cancelled++
			continue
		}
		d.checkDone(key)
		done++
	}
	d.logf("%d diagnoses done, %d cancelled", done, cancelled)
	d.checkServices("pressure")
	d.checkResumed()
	d.compareGolden("pump_checks.golden")
}

// cancelBurst cancels the last n diagnosis jobs, each twice.
func (d *scenarioDriver) cancelBurst(n int) {
	for i := 700 - n; i < 700; i++ {
		cmd := structs.CancelJob{Owner: "vans", Job: d.jobs[fmt.Sprintf("diagnosis%03d", i)]}
		for range 2 {
			if res := d.apply(&structs.Command{CancelJob: &cmd}); res.Error != nil {
				d.t.Errorf("cancel %s: %v", cmd.Job, res.Error)
			}
		}
	}
	d.logf("%d diagnoses cancelled at once", n)
}
