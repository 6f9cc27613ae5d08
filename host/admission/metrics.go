package admission

import "github.com/prometheus/client_golang/prometheus"

// The metrics of all ports of a process.
var (
	connectionsDesc = prometheus.NewDesc("gooseberrypond_port_connections", "Open connections of others.", []string{"port"}, nil)
	heldDesc        = prometheus.NewDesc("gooseberrypond_port_held_bytes", "Bytes of requests that are being received or answered, without the first 8 KiB of each.", []string{"port"}, nil)
	lostDesc        = prometheus.NewDesc("gooseberrypond_port_lost_places_total", "Clients whose connection was closed, or whose request was refused, because the port was at its limits: with an unfinished request, idle, or at once.", []string{"port", "client"}, nil)
)

// Describe implements prometheus.Collector.
func (p *Port) Describe(ch chan<- *prometheus.Desc) {
	// Ports of different names share the descriptions; an unchecked collector has none.
}

// Collect implements prometheus.Collector.
func (p *Port) Collect(ch chan<- prometheus.Metric) {
	p.mu.Lock()
	open, held, lost := len(p.conns), p.held, p.stats
	p.mu.Unlock()
	ch <- prometheus.MustNewConstMetric(connectionsDesc, prometheus.GaugeValue, float64(open), p.name)
	ch <- prometheus.MustNewConstMetric(heldDesc, prometheus.GaugeValue, float64(held), p.name)
	for client, n := range map[string]uint64{"unfinished": lost.unfinished, "idle": lost.idle, "refused": lost.refused} {
		ch <- prometheus.MustNewConstMetric(lostDesc, prometheus.CounterValue, float64(n), p.name, client)
	}
}
