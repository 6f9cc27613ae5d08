package dispatcher

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"gooseberrypond/core/dispatch"
	"gooseberrypond/core/graph"
)

// latencyBuckets span 1 ms to 4 s.
var latencyBuckets = prometheus.ExponentialBuckets(0.001, 2, 13)

// metrics are the Prometheus metrics of one control host. Names follow the
// Prometheus conventions: base units, and the suffix _total for counters.
type metrics struct {
	plan     prometheus.Histogram
	commit   prometheus.Histogram
	order    prometheus.Histogram
	ready    prometheus.Histogram
	orders   *prometheus.CounterVec
	holds    *prometheus.CounterVec
	answers  *prometheus.CounterVec
	refusals *prometheus.CounterVec
	panics   prometheus.Counter
	// rejections counts the batches that can never be committed.
	rejections prometheus.Counter
}

func newMetrics() *metrics {
	hist := func(name, help string) prometheus.Histogram {
		return prometheus.NewHistogram(prometheus.HistogramOpts{Name: "gooseberrypond_" + name, Help: help, Buckets: latencyBuckets})
	}
	count := func(name, help string, labels ...string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Name: "gooseberrypond_" + name, Help: help}, labels)
	}
	return &metrics{
		plan:     hist("plan_seconds", "Time that the leader takes for a plan; nothing else is decided meanwhile."),
		commit:   hist("commit_seconds", "Time from proposal to local apply."),
		order:    hist("order_seconds", "Time from an order to its answer."),
		ready:    hist("step_ready_to_placed_seconds", "Time from the run end that made a step ready to the log entry that places its first task."),
		orders:   count("orders_total", "Orders to workers by kind and outcome.", "kind", "outcome"),
		holds:    count("holds_total", "Hold calls to workers by result.", "result"),
		answers:  count("answers_total", "Answers of the leader by call and code.", "call", "code"),
		refusals: count("key_refusals_total", "Calls that the leader refused because of their key, by rule.", "rule"),
		panics: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "gooseberrypond_internal_errors_total", Help: "Steps that were abandoned because of a panic.",
		}),
		rejections: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "gooseberrypond_rejected_batches_total", Help: "Batches that can never be committed because of what is in them.",
		}),
	}
}

func (m *metrics) observeOrder(o dispatch.Order, outcome dispatch.Outcome, took time.Duration) {
	m.order.Observe(took.Seconds())
	m.orders.WithLabelValues(o.Kind.String(), outcome.String()).Inc()
}

// observePlacement observes the time from ready to placed for the first run of
// the first task of a step that depends on others.
func (m *metrics) observePlacement(first *graph.Attempt) {
	if ready := first.Step.ReadyMS(); ready > 0 && first.Run == 1 && first.Index == 0 {
		m.ready.Observe(float64(first.StartedMS-ready) / 1000)
	}
}

// Register registers the metrics of this host.
func (d *Dispatcher) Register(reg prometheus.Registerer) {
	m := d.metrics
	reg.MustRegister(m.plan, m.commit, m.order, m.ready, m.orders, m.holds, m.answers, m.refusals, m.panics, m.rejections)
	reg.MustRegister(newOrganisationMetrics(d))
	gauge := func(name, help string, read func(*leadership) float64) {
		reg.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "gooseberrypond_" + name, Help: help}, d.leaderValue(read)))
	}
	counter := func(name, help string, read func(*dispatch.Stats) uint64) {
		f := d.leaderValue(func(l *leadership) float64 { return float64(read(&l.core.Stats)) })
		reg.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "gooseberrypond_" + name, Help: help}, f))
	}
	gauge("leader", "1 while this replica leads and holds its lease.", func(*leadership) float64 { return 1 })
	gauge("waiting_steps", "Ready steps with tasks that have no run.", func(l *leadership) float64 { return float64(l.core.Stats.Waiting) })
	gauge("usable_workers", "Workers that may get new work.", func(l *leadership) float64 { return float64(l.core.Stats.Usable) })
	gauge("quarantined_workers", "Workers that get no new work because runs failed or stood still there.", func(l *leadership) float64 { return float64(l.core.Stats.Quarantined) })
	gauge("free_cores", "Processors of usable workers that are not reserved by runs.", func(l *leadership) float64 { return cores(l.core.FreeCapacity().Sum) })
	gauge("largest_free_piece_cores", "Unreserved processors of the worker with the most free capacity, for the pool where this is lowest.", func(l *leadership) float64 { return cores(l.core.FreeCapacity().Largest) })
	gauge("live_jobs", "Jobs that have not reached a final state.", func(l *leadership) float64 { return float64(l.d.tables.LiveJobs()) })
	counter("worker_searches_total", "Searches of a pool for a worker, in this term.", func(s *dispatch.Stats) uint64 { return s.Scans })
	counter("workers_examined_total", "Workers compared by these searches, in this term.", func(s *dispatch.Stats) uint64 { return s.Examined })
	d.registerDelays(reg)
	counter("run_starts_total", "Run starts committed in this term.", func(s *dispatch.Stats) uint64 { return s.Starts })
	counter("run_ends_total", "Run ends reported by workers in this term.", func(s *dispatch.Stats) uint64 { return s.Ends })
	counter("run_releases_total", "Runs released because they are certainly no longer executing, in this term.", func(s *dispatch.Stats) uint64 { return s.Releases })
	counter("lease_ends_total", "Runs released because their worker's lease had ended, in this term.", func(s *dispatch.Stats) uint64 { return s.LeaseEnds })
	counter("orders_unanswered_total", "Orders without an answer, in this term.", func(s *dispatch.Stats) uint64 { return s.Unanswered })
	counter("worker_crash_runs_total", "Runs during which a worker crashed soon after their start, in this term.", func(s *dispatch.Stats) uint64 { return s.Crashes })
	counter("worker_crash_uncounted_runs_total", "Runs during which a worker crashed, probably for another reason, in this term.", func(s *dispatch.Stats) uint64 { return s.WeakCrashes })
	counter("crash_loop_jobs_total", "Jobs that failed because one of their tasks crashed its workers, in this term.", func(s *dispatch.Stats) uint64 { return s.CrashLoops })
	counter("unnamed_pool_reports_total", "Heartbeats that were ignored since the configuration does not name their pool, in this term.", func(s *dispatch.Stats) uint64 { return s.UnnamedPools })
	counter("refuted_reports_total", "Heartbeats that named a later incarnation of a worker that answered as itself afterwards, in this term.", func(s *dispatch.Stats) uint64 { return s.RefutedReports })
	counter("given_up_runs_total", "Long-running runs stopped for a job with nothing at work, in this term.", func(s *dispatch.Stats) uint64 { return s.GivenUp })
	gauge("expected_work_error", "Mean error of the expected work of tasks, as the absolute logarithm of its ratio to the time taken, in this term.", func(l *leadership) float64 { return meanOf(l.core.Stats.WorkError, l.core.Stats.WorkRuns) })
	gauge("estimate_error", "The same error of the callers' estimates.", func(l *leadership) float64 { return meanOf(l.core.Stats.EstimateError, l.core.Stats.WorkRuns) })
	counter("room_refusals_total", "Starts refused by a worker for lack of free capacity, in this term.", func(s *dispatch.Stats) uint64 { return s.RoomRefusals })
}

// registerDelays registers what steps have waited for, by cause.
func (d *Dispatcher) registerDelays(reg prometheus.Registerer) {
	for _, cause := range dispatch.Causes() {
		reg.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "gooseberrypond_step_wait_seconds_total", ConstLabels: prometheus.Labels{"cause": cause.String()},
			Help: "Time for which ready steps had tasks without a run, by what they waited for, in this term.",
		}, d.leaderValue(func(l *leadership) float64 { return l.core.Stats.Delays[cause].Seconds() })))
	}
}

func meanOf(sum float64, n uint64) float64 { return sum / float64(max(n, 1)) }

func cores(milli int64) float64 { return float64(milli) / 1000 }

// leaderValue returns a function that reads a value on the leader and returns 0
// on other hosts.
func (d *Dispatcher) leaderValue(read func(*leadership) float64) func() float64 {
	return func() float64 {
		d.mu.Lock()
		defer d.mu.Unlock()
		if l := d.activeLeadership(); l != nil {
			return read(l)
		}
		return 0
	}
}

// Dump is a snapshot of a control host's state, for debugging.
type Dump struct {
	Leading   bool                  `json:"leading"`
	Term      uint64                `json:"term,omitempty"`
	Index     uint64                `json:"index"`
	Version   uint64                `json:"config_version"`
	LiveJobs  int                   `json:"live_jobs"`
	Stats     *dispatch.Stats       `json:"stats,omitempty"`
	Pressures []graph.Pressure      `json:"pressures,omitempty"`
	Workers   []dispatch.WorkerDump `json:"workers,omitempty"`
	// Organisations is set on the leader.
	Organisations []dispatch.OrganisationDump `json:"organisations,omitempty"`
}

// Dump returns a snapshot of this host's state.
func (d *Dispatcher) Dump() Dump {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := Dump{Index: d.tables.Index(), LiveJobs: d.tables.LiveJobs()}
	if c := d.tables.Config(); c != nil {
		out.Version = c.Version
	}
	if l := d.activeLeadership(); l != nil {
		stats := l.core.Stats
		out.Leading, out.Term, out.Stats = true, l.term, &stats
		out.Organisations = l.core.Organisations()
		out.Pressures, out.Workers = l.core.Pressures(), l.core.Workers(d.cfg.Now())
	}
	return out
}
