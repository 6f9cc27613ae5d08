package control

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"gooseberrypond/core/structs"
)

// metrics are the Prometheus metrics of the control role. Names follow the
// Prometheus conventions: base units, and the suffix _total for counters.
type metrics struct {
	h                *Host
	tickDuration     prometheus.Histogram
	applyDuration    prometheus.Histogram
	proposeDuration  *prometheus.HistogramVec
	proposeFailures  *prometheus.CounterVec
	planPartsDropped prometheus.Counter
	workerSyncs      prometheus.Counter
	startLatency     prometheus.Histogram
	commandsSent     *prometheus.CounterVec
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
		h:             h,
		tickDuration:  hist("tick_seconds", "Time to compute one scheduling tick."),
		applyDuration: hist("apply_seconds", "Time to apply one command of the log."),
		proposeDuration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "gooseberrypond_propose_seconds", Help: "Time from proposal to local apply.", Buckets: latencyBuckets}, []string{"command"}),
		proposeFailures: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "gooseberrypond_propose_failures_total", Help: "Proposals that were refused or whose outcome is unknown."}, []string{"command"}),
		planPartsDropped: count("plan_parts_dropped_total", "Parts of plans dropped on apply because the tables had changed since the plan was computed."),
		workerSyncs:      count("worker_syncs_total", "Worker syncs accepted by the leader."),
		startLatency:     hist("start_latency_seconds", "Time from a task becoming pending to its assignment in the log."),
	}
	m.commandsSent = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "gooseberrypond_worker_commands_total", Help: "Commands sent to workers."}, []string{"type"})
	reg.MustRegister(m.tickDuration, m.applyDuration, m.proposeDuration, m.proposeFailures, m.planPartsDropped, m.workerSyncs, m.startLatency, m.commandsSent)
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

// countCommands counts the commands in one reply to a worker.
func (m *metrics) countCommands(cmds []structs.WorkerCommand) {
	for _, c := range cmds {
		m.commandsSent.WithLabelValues(string(c.Type)).Inc()
	}
}

// observeProposal records the duration or the failure of a proposal.
func (m *metrics) observeProposal(cmd *structs.Command, took time.Duration, err error) {
	kind := commandName(cmd)
	if err != nil {
		m.proposeFailures.WithLabelValues(kind).Inc()
		return
	}
	m.proposeDuration.WithLabelValues(kind).Observe(took.Seconds())
}

// applied records the duration of applying a command and the start latency of
// the tasks that it assigned. It is called with stateMachine.mu held.
func (m *metrics) applied(cmd *structs.Command, _ *structs.Result, took time.Duration) {
	m.applyDuration.Observe(took.Seconds())
	if cmd.Plan == nil || m.h.stateMachine.core == nil {
		return
	}
	for _, a := range cmd.Plan.Assign {
		if t := m.h.stateMachine.tables.Task(a.Task); t != nil && t.Worker == a.Worker {
			m.startLatency.Observe(float64(max(cmd.NowMS-t.PendingSinceMS, 0)) / 1000)
		}
	}
}

// commandName returns the name of a command for metrics and logs.
func commandName(cmd *structs.Command) string {
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
