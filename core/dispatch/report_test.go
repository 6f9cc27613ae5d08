package dispatch

import (
	"testing"

	"gooseberrypond/core/graph"
)

// Guards against a failed proposal that restores an older report of a worker over a
// newer one.
func TestFailedProposalKeepsNewerReport(t *testing.T) {
	r := newRig(t)
	r.register("a", 1)
	r.reportCapacity("a", 2, 6000)
	b := r.core.Plan(r.now, r.now.UnixMilli())
	r.reportCapacity("a", 3, 2000)
	r.core.ProposalFailed(b)
	r.commitPlan()
	if got := r.tables.WorkerByID("a").Capacity.CPUMilli; got != 2000 {
		t.Errorf("recorded capacity is %d, want 2000 as last reported", got)
	}
}

// Guards against a failed proposal that replaces the registration of a new incarnation
// by a report of the one before.
func TestFailedProposalKeepsNewIncarnation(t *testing.T) {
	r := newRig(t)
	r.register("a", 1)
	r.reportCapacity("a", 2, 6000)
	b := r.core.Plan(r.now, r.now.UnixMilli())
	r.restart(worker("a", 2))
	r.core.ProposalFailed(b)
	r.commitPlan()
	if got := r.tables.WorkerByID("a").Born; got != 2 {
		t.Errorf("recorded incarnation is %d, want 2, whose registration was acknowledged", got)
	}
}

// Guards against an acknowledged report that is lost because it equals the record that
// an earlier report, not yet committed, is about to change.
func TestReportOfOldCapacityReplacesPendingChange(t *testing.T) {
	for _, inFlight := range []bool{false, true} {
		r := newRig(t)
		r.register("a", 1)
		r.reportCapacity("a", 2, 2000)
		r.commitPlan()
		r.reportCapacity("a", 3, 8000)
		var b *graph.Batch
		if inFlight {
			b = r.core.Plan(r.now, r.now.UnixMilli())
		}
		r.reportCapacity("a", 4, 2000)
		if inFlight {
			r.apply(b)
		}
		r.commitPlan()
		if got := r.tables.WorkerByID("a").Capacity.CPUMilli; got != 2000 {
			t.Errorf("in flight %t: recorded capacity is %d, want 2000 as last reported", inFlight, got)
		}
	}
}

// Guards against reports of a new incarnation that arrive out of order before its
// registration is committed.
func TestEarlierReportOfUnrecordedIncarnationIsIgnored(t *testing.T) {
	r := newRig(t)
	r.reportCapacity("a", 2, 2000)
	r.reportCapacity("a", 1, 8000)
	r.commitPlan()
	if got := r.tables.WorkerByID("a").Capacity.CPUMilli; got != 2000 {
		t.Errorf("recorded capacity is %d, want 2000 as reported last", got)
	}
}
