package graph

import (
	"math"
	"strings"
	"testing"
	"time"
)

// Guards against a report of another writer that names a worker which cannot exist.
func TestCheckRefusesImpossibleReports(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	good := func() WorkerReport {
		return WorkerReport{ID: "w", Born: now.UnixMilli(), Address: "10.0.0.9:80", Pool: "p", Domain: "d", Labels: []string{"a"}}
	}
	for _, address := range []string{"10.0.0.9:1", "10.0.0.9:65535", "[::1]:80", "127.0.0.1:80", "host-1.example:80"} {
		r := good()
		r.Address = address
		if err := r.Check(now); err != nil {
			t.Errorf("%s: %v", address, err)
		}
	}
	for _, address := range []string{"", ":80", "10.0.0.9", "10.0.0.9:", "10.0.0.9:0", "10.0.0.9:-1", "10.0.0.9:99999", "10.0.0.9:4294967376", "10.0.0.9:+80", "10.0.0.9:8o", "0.0.0.0:80", "[::]:80", "224.0.0.1:80", "a b:80", "a/b:80", "a@b:80"} {
		r := good()
		r.Address = address
		if r.Check(now) == nil {
			t.Errorf("address %q is accepted", address)
		}
	}
	for name, change := range map[string]func(*WorkerReport){
		"processors":      func(r *WorkerReport) { r.Capacity.CPUMilli = math.MaxInt64 },
		"memory":          func(r *WorkerReport) { r.Capacity.MemoryMB = math.MaxInt64 },
		"accelerators":    func(r *WorkerReport) { r.Capacity.Accelerators = -1 },
		"born":            func(r *WorkerReport) { r.Born = math.MaxInt64 },
		"born ahead":      func(r *WorkerReport) { r.Born = now.Add(48 * time.Hour).UnixMilli() },
		"born before":     func(r *WorkerReport) { r.Born = -1 },
		"sequence":        func(r *WorkerReport) { r.Seq = math.MaxInt64 },
		"remaining":       func(r *WorkerReport) { r.RemainingMS = math.MaxInt64 },
		"negative":        func(r *WorkerReport) { r.RemainingMS = -1 },
		"odd id":          func(r *WorkerReport) { r.ID = "\xff" },
		"odd label":       func(r *WorkerReport) { r.Labels = []string{"\xc3("} },
		"long name":       func(r *WorkerReport) { r.Pool = strings.Repeat("p", 1000) },
		"long label":      func(r *WorkerReport) { r.Labels = []string{strings.Repeat("p", 1000)} },
		"too many labels": func(r *WorkerReport) { r.Labels = make([]string, 1000) },
	} {
		r := good()
		change(&r)
		if r.Check(now) == nil {
			t.Errorf("%s: an impossible report is accepted", name)
		}
	}
}
