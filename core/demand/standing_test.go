package demand

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func drawStanding(t *rapid.T) Standing {
	return Standing{
		AtWork:    rapid.IntRange(0, 3).Draw(t, "at work"),
		RanBefore: rapid.Bool().Draw(t, "ran before"),
		Waited:    time.Duration(rapid.IntRange(0, 20_000).Draw(t, "waited ms")) * time.Millisecond,
		CPUMilli:  int64(rapid.IntRange(1, 30).Draw(t, "cores")) * 1000,
	}
}

// Guards against an order that depends on the order of the input, and against a job with
// nothing at work that comes after one that lacks a part.
func TestOrderOfStandingTasks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := drawStanding(t), drawStanding(t), drawStanding(t)
		if a.Compare(b) != -b.Compare(a) {
			t.Fatalf("%+v and %+v: %d one way, %d the other", a, b, a.Compare(b), b.Compare(a))
		}
		if a.Compare(b) <= 0 && b.Compare(c) <= 0 && a.Compare(c) > 0 {
			t.Fatalf("%+v, %+v, %+v are not in one order", a, b, c)
		}
		if a.First() && !b.First() && a.Compare(b) >= 0 {
			t.Fatalf("%+v comes after %+v", a, b)
		}
	})
}

// Guards against large first tasks that starve because smaller ones keep coming.
func TestLargeFirstTasksGoFirstInTheEnd(t *testing.T) {
	large := Standing{CPUMilli: 30_000, Waited: oldestFirst}
	small := Standing{CPUMilli: 1000, Waited: oldestFirst - time.Millisecond}
	if large.Compare(small) >= 0 {
		t.Error("a large task that has waited for long comes after a small one")
	}
	large.Waited = small.Waited
	if large.Compare(small) <= 0 {
		t.Error("of two that have not waited for long, the one that is hard to place comes first")
	}
}

// Guards against an order that leaves jobs with nothing where first come, first served
// does: there, the jobs that fit take all of their tasks and the others get none.
func TestJobsServedAgainstFirstCome(t *testing.T) {
	const jobs, tasks, room = 20, 14, 140 // room for half of the tasks
	served := func(byDemand bool) (n int) {
		atWork := make([]int, jobs)
		for range room {
			next := slices.IndexFunc(atWork, func(n int) bool { return n < tasks })
			for i := range atWork {
				a, b := Standing{AtWork: atWork[i], CPUMilli: 1000}, Standing{AtWork: atWork[next], CPUMilli: 1000}
				if byDemand && atWork[i] < tasks && a.Compare(b) < 0 {
					next = i
				}
			}
			atWork[next]++
		}
		for _, w := range atWork {
			if w > 0 {
				n++
			}
		}
		return n
	}
	if got, firstCome := served(true), served(false); got != jobs || firstCome != room/tasks {
		t.Errorf("%d of %d jobs have a task at work, %d by first come, first served", got, jobs, firstCome)
	}
}

// Guards against tasks that are moved for a job that waits for an instant, from one that
// lacks a part, or from the same one over and over.
func TestGivesUp(t *testing.T) {
	full := Holder{Tasks: 4, Rested: GiveUpRest}
	if !full.GivesUp(GiveUpAfter) {
		t.Error("a full job gives nothing up")
	}
	lacks, tired, only := full, full, full
	lacks.Away, tired.Rested, only.Tasks = 1, GiveUpRest-1, 1
	if lacks.GivesUp(GiveUpAfter) || tired.GivesUp(GiveUpAfter) || only.GivesUp(GiveUpAfter) || full.GivesUp(GiveUpAfter-1) {
		t.Error("a job gives a task up that lacks one, has just given one up or has only one, or for one that waits for an instant")
	}
}
