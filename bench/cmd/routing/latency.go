package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rs/zerolog"

	"gooseberrypond/host/edge/caller"
	"gooseberrypond/host/entry"
)

// latencyCmd compares the latency of routed and direct requests.
type latencyCmd struct {
	Requests int           `help:"Number of routed and of direct requests." default:"20000"`
	Clients  int           `help:"Clients that call at the same time." default:"1"`
	Body     int           `help:"Bytes of each body; the upstream sends it back." default:"512"`
	Work     time.Duration `help:"Time that the upstream takes." default:"0s"`
}

// Run implements the command. Clients alternate direct and routed calls, so that
// both are measured under the same load of the machine.
func (c *latencyCmd) Run() error {
	upstream, err := serveLoopback(http.HandlerFunc(c.echo))
	if err != nil {
		return err
	}
	control, err := newControl(time.Now(), []string{"e1"}, upstreams, upstream)
	if err != nil {
		return err
	}
	h := entry.New(entry.Config{Host: "e1", Control: control, Log: zerolog.Nop()})
	h.Start()
	defer h.Close()
	entryAddress, err := serveLoopback(caller.Handler(h, nil, caller.Options{Log: zerolog.Nop()}))
	if err != nil {
		return err
	}
	for !h.Ready() {
		time.Sleep(time.Millisecond)
	}
	m := &measurement{
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2 * c.Clients}},
		body:   bytes.Repeat([]byte("x"), c.Body),
		direct: target{url: "http://" + upstream + "/visit"},
		routed: target{url: "http://" + entryAddress + "/v1/run/booking/visit"},
	}
	if err := m.run(c.Clients, 200*c.Clients); err != nil { // warm-up, opens the connections
		return err
	}
	m.direct.times, m.routed.times = newHistogram(), newHistogram()
	if err := m.run(c.Clients, c.Requests); err != nil {
		return err
	}
	m.print()
	return nil
}

// echo is the upstream: it returns the body after the configured time.
func (c *latencyCmd) echo(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the client closed the connection
	}
	time.Sleep(c.Work)
	_, _ = w.Write(body)
}

// serveLoopback serves h on a loopback port until the process ends, and returns the address.
func serveLoopback(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(l, h) }()
	return l.Addr().String(), nil
}

// target is one of the two paths to the upstream: direct or through the entry host.
type target struct {
	url   string
	times *hdrhistogram.Histogram // microseconds
}

// newHistogram returns a histogram for 1 us to 1 min with three significant digits.
func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 60_000_000, 3) }

// measurement is the comparison of both targets with the same client and body.
type measurement struct {
	client         *http.Client
	body           []byte
	direct, routed target
	mu             sync.Mutex
	err            error
}

// run makes the given number of calls of each target, divided among the clients.
func (m *measurement) run(clients, requests int) error {
	var wg sync.WaitGroup
	for k := range clients {
		wg.Go(func() {
			for i := k; i < requests; i += clients {
				m.record(&m.direct)
				m.record(&m.routed)
			}
		})
	}
	wg.Wait()
	return m.err
}

// record makes one call and records its latency.
func (m *measurement) record(t *target) {
	took, err := m.call(t.url)
	m.mu.Lock()
	defer m.mu.Unlock()
	if err != nil {
		m.err = err
	}
	if t.times != nil && err == nil {
		// Requests time out after 30 s, so no value exceeds the histogram's range.
		_ = t.times.RecordValue(took.Microseconds())
	}
}

func (m *measurement) call(url string) (time.Duration, error) {
	req, err := http.NewRequest(http.MethodPost, url, bytes.NewReader(m.body))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Authorization", "Bearer "+token)
	begun := time.Now()
	resp, err := m.client.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	took := time.Since(begun)
	if err == nil && (resp.StatusCode != http.StatusOK || !bytes.Equal(data, m.body)) {
		err = fmt.Errorf("%s: status %d, %d bytes: %.200s", url, resp.StatusCode, len(data), data)
	}
	return took, err
}

// print writes the quantiles of both targets and their difference in microseconds.
func (m *measurement) print() {
	fmt.Printf("%-8s %9s %9s %9s %9s\n", "us", "p50", "p90", "p99", "p99.9")
	quantiles := []float64{50, 90, 99, 99.9}
	var added []int64
	for _, t := range []struct {
		name string
		*target
	}{{"direct", &m.direct}, {"routed", &m.routed}} {
		fmt.Printf("%-8s", t.name)
		for i, q := range quantiles {
			v := t.times.ValueAtQuantile(q)
			fmt.Printf(" %9d", v)
			if t.target == &m.direct {
				added = append(added, -v)
			} else {
				added[i] += v
			}
		}
		fmt.Println()
	}
	fmt.Printf("%-8s", "added")
	for _, v := range added {
		fmt.Printf(" %9d", v)
	}
	fmt.Println()
}
