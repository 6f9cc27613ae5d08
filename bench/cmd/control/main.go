// Command control measures the control path of a complete cluster in one process.
// Hosts and stand-in workers use the real protocols over loopback, and the logs are
// synced to disk.
package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/alecthomas/kong"
	"github.com/rs/zerolog"

	"gooseberrypond/host/localcluster"
)

// cli is the command line.
type cli struct {
	Urgent    urgentCmd    `cmd:"" help:"Latency of urgent starts, from submit to the start on a worker, under a burst of submissions."`
	Catalogue catalogueCmd `cmd:"" help:"Time until a catalogue change is in force on all entry hosts."`
	Restart   restartCmd   `cmd:"" help:"Time for a replica that is behind to catch up after a restart."`
	Folder    string       `help:"Folder for the logs; default is a temporary one." type:"path"`
	LogLevel  string       `help:"Log level." default:"error" enum:"debug,info,warn,error"`
}

func main() {
	var c cli
	k := kong.Parse(&c, kong.Name("control"), kong.Description("Measures the control path."))
	if err := k.Run(&c); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// start starts a cluster and applies the catalogue of package localcluster. The
// returned function stops the cluster and removes its files.
func (c *cli) start(ctx context.Context, o localcluster.Options) (*localcluster.Cluster, func(), error) {
	folder, err := os.MkdirTemp(c.Folder, "measure-control-")
	if err != nil {
		return nil, nil, err
	}
	level, err := zerolog.ParseLevel(c.LogLevel)
	if err != nil {
		return nil, nil, err
	}
	o.Folder, o.Log = folder, zerolog.New(os.Stderr).Level(level)
	cl, err := localcluster.Start(o)
	if err != nil {
		os.RemoveAll(folder)
		return nil, nil, err
	}
	stop := func() {
		cl.Close()
		os.RemoveAll(folder)
	}
	if _, err := cl.Leader(ctx); err != nil {
		stop()
		return nil, nil, err
	}
	if err := applyCatalogue(ctx, cl.Client(), "first", 0); err != nil {
		stop()
		return nil, nil, err
	}
	return cl, stop, nil
}

// times collects durations in a histogram.
type times struct{ h *hdrhistogram.Histogram }

// newTimes returns a histogram for 1 µs to 2 min with 3 significant digits.
func newTimes() times {
	return times{hdrhistogram.New(1, (2 * time.Minute).Microseconds(), 3)}
}

func (t times) add(d time.Duration) error { return t.h.RecordValue(max(d.Microseconds(), 1)) }

// print writes the count and quantiles of the durations in milliseconds.
func (t times) print(what string) {
	ms := func(us int64) float64 { return float64(us) / 1000 }
	fmt.Printf("%-44s n=%-6d p50=%.1f ms  p99=%.1f ms  p99.9=%.1f ms  max=%.1f ms\n", what, t.h.TotalCount(),
		ms(t.h.ValueAtQuantile(50)), ms(t.h.ValueAtQuantile(99)), ms(t.h.ValueAtQuantile(99.9)), ms(t.h.Max()))
}
