package graph

import "testing"

// Guards against a job that loses its owner when its tasks are forgotten, or in a
// snapshot: others could then see it.
func TestOwnerIsKept(t *testing.T) {
	tables := New()
	c := &Config{Version: 1, Queues: []Queue{{Name: "q"}}, Organisations: []Organisation{{Name: "a", Keys: []KeyHash{HashKey("k")}, Weight: 1.5}, {Name: "b"}}}
	tables.Apply(1, &Batch{Config: c, NowMS: 1, Submits: []Spec{{ID: "j", Queue: "q", Organisation: "a", Steps: []Step{{Count: 1}}}}})
	tables.Apply(2, &Batch{NowMS: 2, Cancels: []JobID{"j"}})
	tables.Apply(3, &Batch{NowMS: 3, ForgetBeforeMS: 3})
	data, err := tables.Encode()
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := Decode(data)
	if err != nil {
		t.Fatal(err)
	}
	for name, tables := range map[string]*Tables{"tables": tables, "snapshot": decoded} {
		c, j := tables.Config(), tables.Job("j")
		if len(j.Occurrences) > 0 {
			t.Fatalf("%s: the job's tasks are kept", name)
		}
		q := c.QueueByName("q")
		if !c.MaySee(j, q, "a") || c.MaySee(j, q, "b") || c.MaySee(j, q, "") {
			t.Errorf("%s: a sees the job: %v, b: %v, a caller without a key: %v", name, c.MaySee(j, q, "a"), c.MaySee(j, q, "b"), c.MaySee(j, q, ""))
		}
		if o := c.OrganisationByKey(HashKey("k")); o == nil || o.Name != "a" || o.Weight != 1.5 {
			t.Errorf("%s: organisation of the key is %+v, want a", name, o)
		}
	}
}
