package dispatcher

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gooseberrypond/core/graph"
)

func putQueue(t *testing.T, d *Dispatcher) {
	t.Helper()
	cfg := &graph.Config{Version: 5, Pools: []graph.Pool{{Name: "p"}}, Queues: []graph.Queue{{Name: "q", Host: "h", PathPrefix: "/q/", Pool: "p", TimeoutMS: 1}}}
	if a := d.PutConfig(t.Context(), cfg); a.Code != Done {
		t.Fatalf("configuration answered %s, want done", a.Code)
	}
}

// largeReport is about as large as a report may be.
func largeReport(i int) graph.WorkerReport {
	r := report(i)
	for range 500 {
		r.Labels = append(r.Labels, strings.Repeat("x", 500))
	}
	return r
}

// Guards against reports that together are above the log's limit: the batch with all of
// them was refused at each try, and nothing else was committed any more.
func TestManyLargeReportsAreCommitted(t *testing.T) {
	d, _ := startSingleReplica(t)
	putQueue(t, d)
	var reports []graph.WorkerReport
	for i := range 40 {
		reports = append(reports, largeReport(i))
	}
	if a := d.Beats(t.Context(), reports); a.Code != Done {
		t.Errorf("reports answered %s (%s), want done", a.Code, a.Reason)
	}
	d.mu.Lock()
	for i := range reports {
		if d.tables.WorkerByID(reports[i].ID) == nil {
			t.Errorf("%s is not recorded although its report was acknowledged", reports[i].ID)
		}
	}
	d.mu.Unlock()
	if a := d.Submit(t.Context(), "h", "/q/00000000000000aa", oneTask); a.Code != Done {
		t.Errorf("submission answered %s (%s), want done", a.Code, a.Reason)
	}
}

// Guards against submissions that together are above the log's limit and are refused for
// ever, since all of them come again.
func TestManyLargeSubmissionsAreCommitted(t *testing.T) {
	d, _ := startSingleReplica(t)
	putQueue(t, d)
	large := oneTask
	large.Steps = []graph.Step{{Count: 1, EstimateMS: 1000, Label: strings.Repeat("x", 200<<10)}}
	var wg sync.WaitGroup
	for i := range 60 {
		wg.Go(func() {
			if a := d.Submit(t.Context(), "h", fmt.Sprintf("/q/%016x", i), large); a.Code != Done {
				t.Errorf("submission %d answered %s (%s), want done", i, a.Code, a.Reason)
			}
		})
	}
	wg.Wait()
}

// Guards against one record with which no batch can be committed: it was proposed again
// with every later batch of the term.
func TestRecordThatCannotBeCommittedIsDropped(t *testing.T) {
	d, log := startSingleReplica(t)
	putQueue(t, d)
	log.set(func() {
		log.rejects = func(b *graph.Batch) bool {
			return slices.ContainsFunc(b.Workers, func(w graph.WorkerChange) bool { return w.Report.ID == "w3" })
		}
	})
	d.Beats(t.Context(), []graph.WorkerReport{report(1), report(2), report(3), report(4), report(5)})
	if a := d.Submit(t.Context(), "h", "/q/00000000000000aa", oneTask); a.Code != Done {
		t.Errorf("submission answered %s (%s), want done", a.Code, a.Reason)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for i := 1; i <= 5; i++ {
		if id := report(i).ID; (d.tables.WorkerByID(id) != nil) != (i != 3) {
			t.Errorf("%s: recorded is %t", id, i == 3)
		}
	}
}

// Guards against one submission with which no batch can be committed and which comes again
// and again: the calls that come with it must be carried out meanwhile.
func TestCallThatCannotBeCommittedLeavesTheOthers(t *testing.T) {
	d, log := startSingleReplica(t)
	putQueue(t, d)
	const odd = "00000000000000ff"
	log.set(func() {
		log.rejects = func(b *graph.Batch) bool {
			return slices.ContainsFunc(b.Submits, func(s graph.Spec) bool { return s.ID == odd })
		}
	})
	var wg sync.WaitGroup
	submit := func(id string, want Code) {
		for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
			a := d.Submit(t.Context(), "h", "/q/"+id, oneTask)
			if a.Code == want && want == Done {
				return
			}
			if a.Code == Done || a.Code == Unknown {
				t.Errorf("%s answered %s, want %s", id, a.Code, want)
				return
			}
			if want == NotApplied && d.Look("h", "/q/0000000000000013").Code == Done {
				return
			}
		}
		t.Errorf("%s did not get %s", id, want)
	}
	wg.Go(func() { submit(odd, NotApplied) })
	for i := range 20 {
		wg.Go(func() { submit(fmt.Sprintf("%016x", i), Done) })
	}
	wg.Wait()
}

// Guards against a configuration above the log's limit that is answered as if it could be
// accepted later.
func TestTooLargeConfigurationIsInvalid(t *testing.T) {
	d, _ := startSingleReplica(t)
	keys := make([]graph.KeyHash, 200_000)
	for name, c := range map[string]*graph.Config{
		"document":           {Version: 1, Document: make([]byte, maxConfigBytes+1)},
		"hashes of its keys": {Version: 2, Document: make([]byte, 4*len(keys)), Organisations: []graph.Organisation{{Name: "a", Keys: keys}}},
	} {
		if a := d.PutConfig(t.Context(), c); a.Code != Invalid {
			t.Errorf("%s too large: answered %s (%s), want invalid", name, a.Code, a.Reason)
		}
	}
}

// Guards against names of failure domains that fill the tables for good.
func TestImpossibleDomainIsInvalid(t *testing.T) {
	d, _ := startSingleReplica(t)
	for _, name := range []string{"", strings.Repeat("z", 3000), "\xff"} {
		if a := d.SetDomain(t.Context(), name, true); a.Code != Invalid {
			t.Errorf("a name of %d bytes answered %s, want invalid", len(name), a.Code)
		}
	}
	if a := d.SetDomain(t.Context(), "z", true); a.Code != Done {
		t.Errorf("a sound name answered %s, want done", a.Code)
	}
}
