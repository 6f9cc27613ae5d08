package dispatcher

import (
	"testing"

	"gooseberrypond/core/graph"
)

// Guards against a repeated cancel whose outcome counts as unknown although the answer is
// certain, or as certain although an earlier attempt may have cancelled the job.
func TestWhichAnswersToACancelAreFinal(t *testing.T) {
	const unknownJob, cancelledJob = "/q/00000000000000bb", "/q/00000000000000cc"
	d, _ := startSingleReplica(t)
	put := func(c *graph.Config) {
		t.Helper()
		if a := d.PutConfig(t.Context(), c); a.Code != Done {
			t.Fatalf("configuration answered %s", a.Code)
		}
	}
	cancel := func(path string, code Code, final bool) {
		t.Helper()
		if a := d.Caller(graph.HashKey(withdrawnKey)).Cancel(t.Context(), "h", path); a.Code != code || a.Final() != final {
			t.Errorf("cancel of %s answered %s, final %t; want %s, %t", path, a.Code, a.Final(), code, final)
		}
	}
	put(keyed(1, keptKey, withdrawnKey))
	for _, path := range []string{jobOfA, cancelledJob} {
		if a := d.Caller(graph.HashKey(withdrawnKey)).Submit(t.Context(), "h", path, oneTask); a.Code != Done {
			t.Fatalf("submission answered %s", a.Code)
		}
	}
	cancel(unknownJob, NoJob, true)
	cancel(unknownJob, NoJob, true)
	cancel(cancelledJob, Done, true)
	cancel(cancelledJob, Done, true)
	moved := keyed(2, keptKey)
	moved.Organisations[1].Keys = append(moved.Organisations[1].Keys, graph.HashKey(withdrawnKey))
	put(moved)
	cancel(cancelledJob, NoJob, false)
	cancel("/none/00000000000000aa", NoQueue, false)
	put(keyed(3, keptKey))
	cancel(cancelledJob, NoKey, false)
}

// Guards against a repeated read whose outcome counts as unknown: reads change nothing.
func TestAnswersToReadsAreFinal(t *testing.T) {
	d, _ := startSingleReplica(t)
	if a := d.GetConfig(t.Context()); a.Code != NoConfig || !a.Final() {
		t.Errorf("read without a configuration answered %s, final %t", a.Code, a.Final())
	}
	putQueue(t, d)
	for path, want := range map[string]Code{"/none/": NoQueue, jobOfA: NoJob, "/q/": Done} {
		if a := d.Look("h", path); a.Code != want || !a.Final() {
			t.Errorf("read of %s answered %s, final %t; want %s", path, a.Code, a.Final(), want)
		}
	}
}

// Guards against a submission that is refused by rules that came after an earlier attempt
// of it was accepted, by the same leader, the next one, or one that was started again from
// a snapshot. Another submission with the same id is refused as the rules say.
func TestAcceptedAttemptIsKnownUnderLaterRules(t *testing.T) {
	withoutQueue := func(version uint64) *graph.Config {
		c := keyed(version, keptKey)
		c.Queues = c.Queues[1:]
		return c
	}
	moved := func(version uint64) *graph.Config {
		c := keyed(version)
		c.Organisations[1].Keys = append(c.Organisations[1].Keys, graph.HashKey(keptKey))
		return c
	}
	for name, test := range map[string]struct {
		later func(version uint64) *graph.Config
		want  Code
	}{
		"queue removed":  {withoutQueue, NoQueue},
		"key removed":    {func(version uint64) *graph.Config { return keyed(version) }, NoKey},
		"key of another": {moved, IDInUse},
	} {
		t.Run(name, func(t *testing.T) {
			g := &sharedLog{}
			old, next := g.newMember(t), g.newMember(t)
			old.lead(t, 1)
			old.put(t, keyed(1, keptKey))
			submit := func(m *member, call uint64) Answer {
				spec := oneTask
				spec.Call = call
				return m.d.Caller(graph.HashKey(keptKey)).Submit(t.Context(), "h", jobOfA, spec)
			}
			if a := submit(old, 7); a.Code != Done {
				t.Fatalf("first attempt answered %s", a.Code)
			}
			old.put(t, test.later(2))
			restarted := g.newMember(t)
			restarted.restore(t, old)
			for term, m := range []*member{old, next, restarted} {
				m.lead(t, uint64(term)+2)
				if a := submit(m, 7); a.Code != Done {
					t.Errorf("member %d answered another attempt of the call with %s, want done", term, a.Code)
				}
				for _, call := range []uint64{0, 8} {
					if a := submit(m, call); a.Code != test.want || a.Final() {
						t.Errorf("member %d answered call %d with %s, final %t; want %s", term, call, a.Code, a.Final(), test.want)
					}
				}
			}
		})
	}
}
