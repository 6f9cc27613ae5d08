// Command gooseberryd runs one host of the scheduler.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/rs/zerolog"

	"gooseberrypond/core/document"
	"gooseberrypond/host/config"
	"gooseberrypond/host/node"
)

// cli declares the commands and flags.
type cli struct {
	Run   runCmd   `cmd:"" help:"Run one host from a settings file until SIGTERM."`
	Check checkCmd `cmd:"" help:"Check settings files without starting anything."`
	Dev   devCmd   `cmd:"" help:"Run control, entry, stand-in workers and an upstream in one process on loopback."`

	Standin standinCmd `cmd:"" help:"Run stand-in workers and upstreams against running hosts."`
}

// gcPercent lets the heap grow to five times its live size between two garbage
// collections. With the default of 100, there was a collection every few hundred
// requests, which added up to 1 ms to the slowest 1% of routed requests; with 400
// it is up to 0.36 ms. GOGC overrides it.
const gcPercent = 400

// heapShare is the part of the memory of the settings that the heap may take. Garbage
// collections become more frequent before the process exceeds its memory; the rest is left
// for stacks, and for what has arrived and is not read. GOMEMLIMIT overrides it.
const heapShare = 0.75

// setMemory tells the runtime what memory the process may take.
func setMemory(memory document.Bytes) {
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(int64(float64(memory) * heapShare))
	}
}

func main() {
	var c cli
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	setMemory(config.DefaultLimits().Memory)
	k := kong.Parse(&c, kong.Name("gooseberryd"), kong.Description("One host of the gooseberrypond scheduler."), kong.UsageOnError())
	if err := k.Run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// checkCmd checks settings files.
type checkCmd struct {
	Files []string `arg:"" name:"file" help:"Settings files." type:"path"`
}

// Run implements the command.
func (c *checkCmd) Run() error {
	invalid := 0
	for _, f := range c.Files {
		s, err := config.Load(f)
		if err != nil {
			invalid++
			fmt.Fprintln(os.Stderr, err)
			continue
		}
		fmt.Printf("%s: ok: host %s of cluster %s, %d hosts\n", f, s.HostID, s.ClusterID, len(s.Hosts))
	}
	if invalid > 0 {
		return fmt.Errorf("%d of %d files are invalid", invalid, len(c.Files))
	}
	return nil
}

// runCmd runs one host until SIGTERM or SIGINT, then drains it.
type runCmd struct {
	Settings string `required:"" help:"Settings file." type:"path"`
}

// Run implements the command.
func (c *runCmd) Run() error {
	s, err := config.Load(c.Settings)
	if err != nil {
		return err
	}
	setMemory(s.Limits.Memory)
	log := newLogger(s.Log.Level)
	n, err := node.Start(s, log)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	select {
	case <-ctx.Done():
		stop() // restores the default handling: a second signal kills the process
		drainCtx, cancel := context.WithTimeout(context.Background(), time.Duration(s.Limits.DrainTimeout))
		defer cancel()
		return n.Drain(drainCtx)
	case err := <-n.Failed():
		n.Kill()
		return err
	}
}

// newLogger returns a logger that writes JSON lines to standard error.
func newLogger(level string) zerolog.Logger {
	l, err := zerolog.ParseLevel(level)
	if err != nil {
		l = zerolog.InfoLevel
	}
	zerolog.TimeFieldFormat = time.RFC3339Nano
	return zerolog.New(os.Stderr).Level(l).With().Timestamp().Logger()
}
