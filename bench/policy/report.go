package policy

import (
	"fmt"
	"io"
)

// Mean returns the mean of the results of one policy over several seeds.
func Mean(results []Result) Result {
	m := Result{Policy: results[0].Policy}
	k := float64(len(results))
	for _, r := range results {
		m.TailP99 += r.TailP99 / k
		m.Throughput += r.Throughput / k
		m.Evictions += r.Evictions / k
		m.Transition += r.Transition / k
		m.UrgentP99 += r.UrgentP99 / k
		m.Checkpoints += r.Checkpoints / k
		m.GuardStops += r.GuardStops / k
		m.Lost += r.Lost / k
		m.Finished += r.Finished / k
		m.EarlyError += r.EarlyError / k
		m.LateError += r.LateError / k
	}
	return m
}

// Header writes the header of the Markdown table of results.
func Header(w io.Writer) {
	fmt.Fprintln(w, "| size | policy | seed | service p99 slowdown | batch core-hours | evictions (checkpoint+guard+lost) | transition core-hours | urgent wait p99 s | batch tasks | prediction error early/late |")
	fmt.Fprintln(w, "|---|---|---|---|---|---|---|---|---|---|")
}

// Write writes one result as a row of the Markdown table.
func Write(w io.Writer, size, seed string, r Result) {
	fmt.Fprintf(w, "| %s | %s | %s | %.3f | %.1f | %.1f (%.1f+%.1f+%.1f) | %.1f | %.1f | %.0f | %.4f/%.4f |\n",
		size, r.Policy, seed, r.TailP99, r.Throughput, r.Evictions, r.Checkpoints, r.GuardStops, r.Lost, r.Transition, r.UrgentP99, r.Finished, r.EarlyError, r.LateError)
}
