package main

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"gooseberrypond/core/structs"
	"gooseberrypond/host/localcluster"
	"gooseberrypond/host/standin"
)

// lossCmd measures the latency and errors of requests before and after the loss of
// the leader.
type lossCmd struct {
	Upstreams int           `help:"Number of upstreams." default:"8"`
	Slots     int           `help:"Slots of each upstream." default:"4"`
	Clients   int           `help:"Callers at the same time, spread over the entry hosts." default:"16"`
	Work      time.Duration `help:"Time that each request takes." default:"10ms"`
	Phase     time.Duration `help:"Time before and after the loss." default:"5s"`
}

// outcome is the result of one request from the caller's point of view.
type outcome struct {
	ended time.Time
	took  time.Duration
	code  string // "ok", or the code and outcome of the error
}

// Run implements the command.
func (c *lossCmd) Run() error {
	folder, err := os.MkdirTemp("", "measure-routing-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(folder)
	cl, err := localcluster.Start(localcluster.Options{Folder: folder, Control: 3, Entry: 2, Log: zerolog.New(os.Stderr).Level(zerolog.ErrorLevel)})
	if err != nil {
		return err
	}
	defer cl.Close()
	ctx, cancel := context.WithTimeout(context.Background(), c.Phase*2+2*time.Minute)
	defer cancel()
	if err := c.applyCatalogue(ctx, cl); err != nil {
		return err
	}
	var wg sync.WaitGroup
	defer wg.Wait()
	upstreamCtx, stopUpstreams := context.WithCancel(ctx)
	defer stopUpstreams()
	servers, err := c.startUpstreams(upstreamCtx, cl, &wg)
	if err != nil {
		return err
	}
	leader, err := cl.Leader(ctx)
	if err != nil {
		return err
	}
	// Requests go to the two hosts without a replica, which are not killed.
	entryAddresses := []string{cl.Settings[3].Listeners.Caller.Address, cl.Settings[4].Listeners.Caller.Address}
	for _, address := range entryAddresses {
		for call(address).code != "ok" && ctx.Err() == nil {
			time.Sleep(50 * time.Millisecond)
		}
	}
	results := make(chan []outcome, c.Clients)
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	for i := range c.Clients {
		go func() { results <- load(loadCtx, entryAddresses[i%len(entryAddresses)]) }()
	}
	time.Sleep(c.Phase)
	lost := time.Now()
	cl.Kill(leader)
	time.Sleep(c.Phase)
	stopLoad()
	var all []outcome
	for range c.Clients {
		all = append(all, <-results...)
	}
	printOutcomes(all, lost)
	peak := 0
	for _, u := range servers {
		_, p, _ := u.Counts()
		peak = max(peak, p)
	}
	fmt.Printf("most requests at once on an upstream of %d slots: %d\n", c.Slots, peak)
	return nil
}

// applyCatalogue applies a catalogue with the entry of the upstreams.
func (c *lossCmd) applyCatalogue(ctx context.Context, cl *localcluster.Cluster) error {
	if _, err := cl.Leader(ctx); err != nil {
		return err
	}
	sum := sha256.Sum256([]byte(token))
	cat := localcluster.Catalogue()
	cat.Owners["desk"] = structs.Owner{TokenSHA256: []string{hex.EncodeToString(sum[:])}, MaxQueued: 1000}
	cat.Entries["booking"] = structs.Entry{Owner: "desk", Class: structs.ClassLatency}
	res, err := cl.Client().ApplyCatalogue(ctx, &structs.PutCatalogue{ChangeID: "routing", Catalogue: cat})
	if err == nil && !res.Accepted {
		err = fmt.Errorf("catalogue refused: %v", res.Error)
	}
	return err
}

// startUpstreams starts stand-in upstreams that announce themselves to every entry host.
func (c *lossCmd) startUpstreams(ctx context.Context, cl *localcluster.Cluster, wg *sync.WaitGroup) ([]*standin.Upstream, error) {
	var announce []string
	for _, s := range cl.Settings {
		announce = append(announce, "http://"+s.Listeners.Upstream.Address)
	}
	var out []*standin.Upstream
	for i := range c.Upstreams {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		u := standin.NewUpstream(standin.UpstreamConfig{
			Upstream: structs.Upstream{Name: fmt.Sprintf("booking-%d", i), Entry: "booking", Domain: fmt.Sprintf("d%d", i%3+1), Slots: c.Slots, Connections: 60},
			Announce: announce, Delay: c.Work,
		})
		out = append(out, u)
		wg.Go(func() { _ = u.Run(ctx, l) }) // until ctx ends
	}
	return out, nil
}

// load sends requests one after another until ctx ends.
func load(ctx context.Context, entryAddress string) []outcome {
	var out []outcome
	for ctx.Err() == nil {
		o := call(entryAddress)
		out = append(out, o)
		if o.code != "ok" {
			time.Sleep(20 * time.Millisecond) // a caller's delay before it tries again
		}
	}
	return out
}

var loadClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}

// call sends one non-idempotent request.
func call(entryAddress string) outcome {
	begun := time.Now()
	code := func() string {
		req, err := http.NewRequest(http.MethodPost, "http://"+entryAddress+"/v1/run/booking/visit", bytes.NewReader([]byte("x")))
		if err != nil {
			return err.Error()
		}
		req.Header.Set("Authorization", "Bearer "+token)
		resp, err := loadClient.Do(req)
		if err != nil {
			return "broken connection"
		}
		defer resp.Body.Close()
		data, err := io.ReadAll(resp.Body)
		var refused structs.ErrorBody
		switch {
		case err != nil:
			return "broken answer"
		case resp.StatusCode == http.StatusOK:
			return "ok"
		case json.Unmarshal(data, &refused) != nil || refused.Error == nil:
			return resp.Status
		}
		return string(refused.Error.Code) + " " + string(refused.Error.Outcome)
	}()
	return outcome{ended: time.Now(), took: time.Since(begun), code: code}
}

// printOutcomes prints the counts of outcomes and the latency quantiles before and after
// the loss.
func printOutcomes(all []outcome, lost time.Time) {
	for _, phase := range []struct {
		name  string
		after bool
	}{{"before the loss", false}, {"after the loss", true}} {
		counts := make(map[string]int)
		var took []time.Duration
		for _, o := range all {
			if o.ended.After(lost) == phase.after {
				counts[o.code]++
				took = append(took, o.took)
			}
		}
		slices.Sort(took)
		if len(took) == 0 {
			continue
		}
		at := func(q float64) time.Duration { return took[int(q*float64(len(took)-1))].Round(100 * time.Microsecond) }
		fmt.Printf("%s: %v; p50 %s p99 %s max %s\n", phase.name, counts, at(0.5), at(0.99), at(1))
	}
}
