package node

import (
	"github.com/prometheus/client_golang/prometheus"

	"gooseberrypond/host/entry"
)

// entryMetrics exports the state of the entry role as Prometheus metrics. All
// metrics of a scrape are taken from one dump.
type entryMetrics struct {
	host     *entry.Host
	ready    *prometheus.Desc
	inFlight *prometheus.Desc
	queued   *prometheus.Desc
	claims   *prometheus.Desc
	version  *prometheus.Desc
	slots    *prometheus.Desc
	ejected  *prometheus.Desc
}

func newEntryMetrics(h *entry.Host) *entryMetrics {
	desc := func(name, help string) *prometheus.Desc {
		return prometheus.NewDesc("gooseberrypond_entry_"+name, help, nil, nil)
	}
	return &entryMetrics{
		host:     h,
		ready:    desc("ready", "1 while new requests are accepted."),
		inFlight: desc("requests_in_flight", "Admitted requests that have not ended, including queued ones."),
		queued:   desc("requests_queued", "Requests waiting for an upstream slot."),
		claims:   desc("claims_open", "Claimed requests whose outcome is not recorded."),
		version:  desc("catalogue_version", "Catalogue version in force."),
		slots:    desc("granted_slots", "Upstream slots granted to this host."),
		ejected:  desc("upstreams_ejected", "Upstreams ejected by this host."),
	}
}

// Describe implements prometheus.Collector.
func (m *entryMetrics) Describe(ch chan<- *prometheus.Desc) { prometheus.DescribeByCollect(m, ch) }

// Collect implements prometheus.Collector.
func (m *entryMetrics) Collect(ch chan<- prometheus.Metric) {
	d := m.host.Dump()
	gauge := func(desc *prometheus.Desc, v int) {
		ch <- prometheus.MustNewConstMetric(desc, prometheus.GaugeValue, float64(v))
	}
	slots, ejected := 0, 0
	for _, u := range d.Routing.Upstreams {
		slots += u.Grant
		if u.Ejected {
			ejected++
		}
	}
	ready := 0
	if d.Ready {
		ready = 1
	}
	gauge(m.ready, ready)
	gauge(m.inFlight, d.Routing.InFlight)
	gauge(m.queued, d.Routing.Queued)
	gauge(m.claims, d.OpenClaims)
	gauge(m.version, int(d.CatalogueVersion))
	gauge(m.slots, slots)
	gauge(m.ejected, ejected)
}
