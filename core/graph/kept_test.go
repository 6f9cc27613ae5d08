package graph

import (
	"fmt"
	"strings"
	"testing"
)

// Guards against a count of the bytes of kept jobs that drifts from what is kept, over
// repeated submissions, ends, what is forgotten, and a restart from a snapshot.
func TestKeptBytes(t *testing.T) {
	tables := New()
	submits := func(first, n int) (b Batch) {
		for i := range n {
			b.Submits = append(b.Submits, Spec{ID: JobID(fmt.Sprintf("%016x", first+i)), Payload: strings.Repeat("x", 1000), Steps: []Step{{Count: 1}}})
		}
		return b
	}
	b := submits(0, 10)
	b.NowMS = 1000
	tables.Apply(1, &b)
	one := int64(b.Submits[0].Bytes())
	check := func(when string, x *Tables, jobs int64) {
		t.Helper()
		if got := x.KeptBytes(); got != jobs*one {
			t.Errorf("%s: %d bytes, want %d jobs of %d", when, got, jobs, one)
		}
	}
	check("accepted", tables, 10)
	repeated := submits(5, 10)
	tables.Apply(2, &repeated)
	check("five of them again", tables, 15)
	ended := Batch{NowMS: 2000}
	for i := range 5 {
		ended.Cancels = append(ended.Cancels, JobID(fmt.Sprintf("%016x", i)))
	}
	tables.Apply(3, &ended)
	check("ended jobs are kept", tables, 15)
	restored := (&fixture{t: t, tables: tables}).restored()
	check("restored", restored, 15)
	for _, x := range []*Tables{tables, restored} {
		x.Apply(4, &Batch{NowMS: 3000, ForgetBeforeMS: 3000})
		check("forgotten", x, 10)
	}
	check("restored after that", (&fixture{t: t, tables: tables}).restored(), 10)
}
