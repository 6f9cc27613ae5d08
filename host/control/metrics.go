package control

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"gooseberrypond/core/structs"
)

// metrics are the Prometheus metrics of the control role.
type metrics struct {
	h        *Host
	tick     prometheus.Histogram
	apply    prometheus.Histogram
	propose  *prometheus.HistogramVec
	failures *prometheus.CounterVec
	dropped  prometheus.Counter
	syncs    prometheus.Counter
	starts   prometheus.Histogram
	sent     *prometheus.CounterVec
}

// latencyBuckets span 0.25 ms to 4 s.
var latencyBuckets = prometheus.ExponentialBuckets(0.00025, 2, 15)

func newMetrics(reg prometheus.Registerer, h *Host) *metrics {
	if reg == nil {
		reg = prometheus.NewRegistry()
	}
	hist := func(name, help string) prometheus.Histogram {
		return prometheus.NewHistogram(prometheus.HistogramOpts{Name: "gooseberrypond_" + name, Help: help, Buckets: latencyBuckets})
	}
	count := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{Name: "gooseberrypond_" + name, Help: help})
	}
	m := &metrics{
		h:     h,
		tick:  hist("tick_seconds", "Time to compute one scheduling tick."),
		apply: hist("apply_seconds", "Time to apply one command of the log."),
		propose: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "gooseberrypond_propose_seconds", Help: "Time from proposal to local apply.", Buckets: latencyBuckets}, []string{"command"}),
		failures: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "gooseberrypond_propose_failures_total", Help: "Proposals without a known outcome or refused."}, []string{"command"}),
		dropped: count("plan_parts_dropped_total", "Parts of plans that no longer held when applied."),
		syncs:   count("worker_syncs_total", "Worker syncs answered."),
		starts:  hist("start_latency_seconds", "Time from a task becoming pending to its assignment in the log."),
	}
	m.sent = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "gooseberrypond_worker_commands_total", Help: "Commands sent to workers."}, []string{"type"})
	reg.MustRegister(m.tick, m.apply, m.propose, m.failures, m.dropped, m.syncs, m.starts, m.sent)
	gauge := func(name, help string, fn func() float64) {
		reg.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "gooseberrypond_" + name, Help: help}, fn))
	}
	gauge("leader", "1 while this replica leads and holds its lease.", func() float64 {
		if h.replica.HoldsLease() {
			return 1
		}
		return 0
	})
	gauge("term", "Current term of the replica.", func() float64 { return float64(h.replica.Status().Term) })
	gauge("commit_index", "Highest committed log index.", func() float64 { return float64(h.replica.Status().Commit) })
	gauge("applied_index", "Highest applied log index.", func() float64 { return float64(h.replica.Status().Applied) })
	return m
}

// commands counts the commands in one reply to a worker.
func (m *metrics) commands(cmds []structs.WorkerCommand) {
	for _, c := range cmds {
		m.sent.WithLabelValues(string(c.Type)).Inc()
	}
}

// proposed records the duration or the failure of a proposal.
func (m *metrics) proposed(cmd *structs.Command, took time.Duration, err error) {
	kind := kindOf(cmd)
	if err != nil {
		m.failures.WithLabelValues(kind).Inc()
		return
	}
	m.propose.WithLabelValues(kind).Observe(took.Seconds())
}

// applied records the duration of applying a command and the start latency of
// the tasks that it assigned. It is called with the machine's lock held.
func (m *metrics) applied(cmd *structs.Command, _ *structs.Result, took time.Duration) {
	m.apply.Observe(took.Seconds())
	if cmd.Plan == nil || m.h.machine.core == nil {
		return
	}
	for _, a := range cmd.Plan.Assign {
		if t := m.h.machine.tables.Task(a.Task); t != nil && t.Worker == a.Worker {
			m.starts.Observe(float64(max(cmd.NowMS-t.PendingSinceMS, 0)) / 1000)
		}
	}
}

// kindOf returns the name of a command for metrics and logs.
func kindOf(cmd *structs.Command) string {
	switch {
	case cmd.RegisterWorker != nil:
		return "register_worker"
	case cmd.WorkerEvents != nil:
		return "worker_events"
	case cmd.EndAttempts != nil:
		return "end_attempts"
	case cmd.Plan != nil:
		return "plan"
	case cmd.SubmitJobs != nil:
		return "submit_jobs"
	case cmd.CancelJob != nil:
		return "cancel_job"
	case cmd.PutCatalogue != nil:
		return "put_catalogue"
	case cmd.SetDomain != nil:
		return "set_domain"
	case cmd.Claim != nil:
		return "claim"
	case cmd.Complete != nil:
		return "complete"
	case cmd.Expire != nil:
		return "expire"
	}
	return "empty"
}
