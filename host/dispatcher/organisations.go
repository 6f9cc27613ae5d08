package dispatcher

import (
	"github.com/prometheus/client_golang/prometheus"

	"gooseberrypond/core/dispatch"
	"gooseberrypond/core/graph"
	"gooseberrypond/core/organisation"
)

// isExcess reports whether an organisation has sent a job beyond its weight in jobs a
// second. The caller must hold d.mu.
func (l *leadership) isExcess(o *graph.Organisation) bool {
	if o == nil {
		return false
	}
	return l.buckets.Excess(l.d.cfg.Now(), o.Name, organisation.Weight(o))
}

// organisationLabels is how many organisations have time series of their own. All others
// count under otherOrganisations.
const organisationLabels = 50

const (
	otherOrganisations = "(others)"
	noOrganisation     = "(none)"
)

// organisationMetrics are the figures of each organisation on the leader.
type organisationMetrics struct {
	d                          *Dispatcher
	use, limit, share, waiting *prometheus.Desc
}

func newOrganisationMetrics(d *Dispatcher) *organisationMetrics {
	desc := func(name, help string) *prometheus.Desc {
		return prometheus.NewDesc("gooseberrypond_organisation_"+name, help, []string{"organisation"}, nil)
	}
	return &organisationMetrics{
		d:       d,
		use:     desc("use_cores", "Processors that an organisation's runs hold, fillers included."),
		limit:   desc("limit_cores", "Processors that an organisation's runs may hold; 0 without a limit."),
		share:   desc("share", "Largest fraction of the usable workers' capacity that an organisation holds in any dimension, divided by its weight."),
		waiting: desc("waiting_tasks", "Tasks of an organisation's ready steps that have no run."),
	}
}

// Describe implements prometheus.Collector.
func (m *organisationMetrics) Describe(ch chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{m.use, m.limit, m.share, m.waiting} {
		ch <- d
	}
}

// Collect implements prometheus.Collector.
func (m *organisationMetrics) Collect(ch chan<- prometheus.Metric) {
	m.d.mu.Lock()
	var rows []dispatch.OrganisationDump
	if l := m.d.activeLeadership(); l != nil {
		rows = l.core.Organisations()
	}
	m.d.mu.Unlock()
	for _, r := range labelled(rows) {
		send := func(d *prometheus.Desc, v float64) {
			ch <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v, r.Name)
		}
		send(m.use, cores(r.Use.CPUMilli))
		send(m.limit, cores(r.Limit.CPUMilli))
		send(m.share, r.Share)
		send(m.waiting, float64(r.Waiting))
	}
}

// labelled returns the organisations with the names of their labels. Those beyond
// organisationLabels are one, with the sums of their use and waiting tasks.
func labelled(rows []dispatch.OrganisationDump) []dispatch.OrganisationDump {
	var out []dispatch.OrganisationDump
	others := dispatch.OrganisationDump{Name: otherOrganisations}
	for _, r := range rows {
		if r.Name == "" {
			r.Name = noOrganisation
		} else if len(out) >= organisationLabels {
			others.Use, others.Waiting = others.Use.Add(r.Use), others.Waiting+r.Waiting
			others.Share = max(others.Share, r.Share)
			continue
		}
		out = append(out, r)
	}
	if len(rows) > len(out) {
		out = append(out, others)
	}
	return out
}
