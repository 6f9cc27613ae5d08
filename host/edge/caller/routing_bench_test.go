package caller_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"gooseberrypond/core/grant"
	"gooseberrypond/core/structs"
	"gooseberrypond/host/edge/caller"
	"gooseberrypond/host/entry"
)

// leader answers syncs from the real table of shares.
type leader struct {
	entry.Control
	mu    sync.Mutex
	table *grant.Table
	view  structs.EntryView
}

func (l *leader) Sync(_ context.Context, req *structs.EntrySync) (*structs.EntryView, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	grants, err := l.table.Sync(time.Now(), req)
	if err != nil {
		return nil, err
	}
	v := l.view
	v.Seq, v.Grants = req.Seq, grants
	return &v, nil
}

// routed starts an entry host in front of the upstream address, announced
// under as many names as the present users have upstreams.
func routed(b *testing.B, address string) string {
	const upstreams, owners = 65, 130
	sum := sha256.Sum256([]byte("secret"))
	c := &structs.Catalogue{Version: 1, Owners: map[string]structs.Owner{}, Entries: map[string]structs.Entry{"book": {Owner: "owner0", Class: structs.ClassLatency}}}
	for i := range owners {
		c.Owners[fmt.Sprintf("owner%d", i)] = structs.Owner{TokenSHA256: []string{hex.EncodeToString(sum[:])}}
		sum = sha256.Sum256(sum[:])
	}
	l := &leader{table: grant.New(time.Now(), []string{"e1"}), view: structs.EntryView{Term: 1, CatalogueVersion: 1, Catalogue: c, EntryHosts: 1}}
	for i := range upstreams {
		name := fmt.Sprintf("u%d", i)
		l.table.SetCapacity(structs.GrantKey{Kind: structs.GrantUpstream, Name: name}, 8, 0)
		l.view.Upstreams = append(l.view.Upstreams, structs.Upstream{Name: name, Entry: "book", Address: address, Domain: "d", Slots: 8, Connections: 60})
	}
	h := entry.New(entry.Config{Host: "e1", Control: l, Log: zerolog.Nop()})
	h.Start()
	srv := httptest.NewServer(caller.Handler(h, nil, caller.Options{Log: zerolog.Nop()}))
	b.Cleanup(func() {
		srv.Close()
		h.Close()
	})
	for !h.Ready() {
		time.Sleep(time.Millisecond)
	}
	return srv.URL + "/v1/run/book/x"
}

// times calls url and returns how long that took.
func times(b *testing.B, client *http.Client, url string, body []byte) time.Duration {
	req, err := http.NewRequest(http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		b.Error(err)
		return 0
	}
	req.Header.Set("Authorization", "Bearer secret")
	begun := time.Now()
	resp, err := client.Do(req)
	if err != nil {
		b.Error(err)
		return 0
	}
	data, err := io.ReadAll(resp.Body)
	took := time.Since(begun)
	resp.Body.Close()
	if err != nil || resp.StatusCode != http.StatusOK || !bytes.Equal(data, body) {
		b.Errorf("status %d, %d bytes, error %v", resp.StatusCode, len(data), err)
	}
	return took
}

// quantile returns a quantile in microseconds.
func quantile(sorted []time.Duration, q float64) float64 {
	return float64(sorted[int(q*float64(len(sorted)-1))].Nanoseconds()) / 1000
}

// BenchmarkRouting compares routed requests with direct calls of the same
// upstream. Both are made in turn by the same clients, so that they meet the
// same load of the machine; an operation is one of each.
func BenchmarkRouting(b *testing.B) {
	for _, clients := range []int{1, 8} {
		b.Run(fmt.Sprintf("clients=%d", clients), func(b *testing.B) {
			upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				body, _ := io.ReadAll(r.Body)
				_, _ = w.Write(body)
			}))
			b.Cleanup(upstream.Close)
			url := routed(b, upstream.Listener.Addr().String())
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2 * clients}}
			body := bytes.Repeat([]byte("x"), 512)
			for range 200 * clients { // connections and estimates
				times(b, client, upstream.URL, body)
				times(b, client, url, body)
			}
			var mu sync.Mutex
			var direct, via []time.Duration
			b.ResetTimer()
			var wg sync.WaitGroup
			for k := range clients {
				wg.Go(func() {
					var d, v []time.Duration
					for i := k; i < b.N; i += clients {
						d = append(d, times(b, client, upstream.URL, body))
						v = append(v, times(b, client, url, body))
					}
					mu.Lock()
					defer mu.Unlock()
					direct, via = append(direct, d...), append(via, v...)
				})
			}
			wg.Wait()
			slices.Sort(direct)
			slices.Sort(via)
			for _, q := range []struct {
				name string
				q    float64
			}{{"p50", 0.5}, {"p99", 0.99}} {
				b.ReportMetric(quantile(direct, q.q), "direct-"+q.name+"-us")
				b.ReportMetric(quantile(via, q.q), "routed-"+q.name+"-us")
				b.ReportMetric(quantile(via, q.q)-quantile(direct, q.q), "added-"+q.name+"-us")
			}
		})
	}
}
