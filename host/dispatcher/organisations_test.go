package dispatcher

import (
	"fmt"
	"testing"

	"github.com/prometheus/client_golang/prometheus"

	"gooseberrypond/core/dispatch"
	"gooseberrypond/core/graph"
	"gooseberrypond/core/structs"
)

// Guards against time series without bound, and against work that no series counts.
func TestOrganisationLabelsAreBounded(t *testing.T) {
	rows := []dispatch.OrganisationDump{{Name: "", Waiting: 1}}
	for i := range 200 {
		rows = append(rows, dispatch.OrganisationDump{Name: fmt.Sprint("o", i), Waiting: 1, Use: structs.Resources{CPUMilli: 1000}})
	}
	out := labelled(rows)
	if len(out) != organisationLabels+1 || out[0].Name != noOrganisation || out[len(out)-1].Name != otherOrganisations {
		t.Fatalf("%d labels from %q to %q", len(out), out[0].Name, out[len(out)-1].Name)
	}
	waiting, milli := 0, int64(0)
	for _, r := range out {
		waiting, milli = waiting+r.Waiting, milli+r.Use.CPUMilli
	}
	if waiting != 201 || milli != 200_000 {
		t.Fatalf("%d tasks and %d thousandths of a core are counted", waiting, milli)
	}
}

// Guards against a flood whose jobs are not marked, against marks on what others send
// within their weight, and against metrics that leave an organisation out.
func TestJobsBeyondTheWeightAreMarked(t *testing.T) {
	g := &sharedLog{}
	m := g.newMember(t)
	m.lead(t, 1)
	c := keyed(1, keptKey)
	c.Organisations[0].Weight = 2
	m.put(t, c)
	submit := func(key string, n int) (excess bool) {
		id := graph.JobID(fmt.Sprintf("%016x", n))
		if a := m.d.Caller(graph.HashKey(key)).Submit(t.Context(), "h", "/q/"+string(id), oneTask); a.Code != Done {
			t.Fatalf("submission %d: %+v", n, a)
		}
		m.d.mu.Lock()
		defer m.d.mu.Unlock()
		return m.d.tables.Job(id).Spec.Excess
	}
	marked := 0
	for i := range 60 {
		if submit(keptKey, i) {
			marked++
		}
	}
	if marked < 30 {
		t.Fatalf("%d of 60 jobs sent at once are marked, the weight is 2 a second", marked)
	}
	if submit(keyOfB, 1000) {
		t.Fatal("another organisation's only job is marked")
	}
	reg := prometheus.NewRegistry()
	m.d.Register(reg)
	families, err := reg.Gather()
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range families {
		if f.GetName() == "gooseberrypond_organisation_waiting_tasks" && len(f.GetMetric()) == 2 {
			return
		}
	}
	t.Fatal("the metrics do not have both organisations")
}
