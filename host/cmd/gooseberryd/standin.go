package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"gooseberrypond/core/structs"
	"gooseberrypond/host/standin"
)

// standinCmd runs stand-in workers and upstreams against running hosts.
type standinCmd struct {
	Platform []string      `help:"Addresses of platform listeners." placeholder:"IP:PORT"`
	Upstream []string      `help:"Addresses of upstream listeners." placeholder:"IP:PORT"`
	Domain   []string      `required:"" help:"Failure domains over which workers and upstreams are spread."`
	Workers  int           `help:"Number of workers." default:"6"`
	Serve    int           `help:"Number of upstreams." default:"0"`
	Entry    string        `help:"Catalogue entry that the upstreams serve."`
	Address  string        `help:"IP address on which the upstreams listen." default:"127.0.0.1"`
	Delay    time.Duration `help:"Time that an upstream takes for a request." default:"5ms"`
	LogLevel string        `help:"Log level." default:"info" enum:"debug,info,warn,error"`
}

// Validate is called by kong after the flags are parsed.
func (c *standinCmd) Validate() error {
	switch {
	case c.Workers > 0 && len(c.Platform) == 0:
		return errors.New("--platform is needed for workers")
	case c.Serve > 0 && (len(c.Upstream) == 0 || c.Entry == ""):
		return errors.New("--upstream and --entry are needed for upstreams")
	}
	return nil
}

// Run implements the command.
func (c *standinCmd) Run() error {
	log := newLogger(c.LogLevel)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	ledger := standin.NewLedger()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2 * (c.Workers + c.Serve)}}
	var wg sync.WaitGroup
	for i := range c.Workers {
		w := standin.NewWorker(standin.WorkerConfig{
			ID: structs.WorkerID(fmt.Sprintf("worker-%d", i+1)), Rack: fmt.Sprintf("rack-%d", i/8+1), Domain: c.Domain[i%len(c.Domain)],
			Capacity: structs.Resources{CPUMilli: 32_000, MemoryMB: 125 << 10},
			Platform: baseURLs(c.Platform), Client: client, Ledger: ledger,
		})
		wg.Go(func() { w.Run(ctx) })
	}
	for i := range c.Serve {
		l, err := net.Listen("tcp", net.JoinHostPort(c.Address, "0"))
		if err != nil {
			return err
		}
		u := standin.NewUpstream(standin.UpstreamConfig{
			Upstream: structs.Upstream{Name: fmt.Sprintf("upstream-%d", i+1), Entry: c.Entry, Domain: c.Domain[i%len(c.Domain)], Slots: 8, Connections: 60},
			Announce: baseURLs(c.Upstream), Delay: c.Delay, Client: client,
		})
		wg.Go(func() {
			if err := u.Run(ctx, l); err != nil {
				log.Warn().Err(err).Msg("stand-in upstream stopped with an error")
			}
		})
	}
	log.Info().Int("workers", c.Workers).Int("upstreams", c.Serve).Msg("stand-in workers and upstreams started")
	wg.Wait()
	for _, v := range ledger.Violations() {
		log.Error().Str("violation", v).Msg("scheduling guarantee violated")
	}
	return nil
}

// baseURLs returns the base URLs of listeners at the given addresses.
func baseURLs(addresses []string) []string {
	var urls []string
	for _, a := range addresses {
		urls = append(urls, "http://"+a)
	}
	return urls
}
