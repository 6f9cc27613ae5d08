// Command routing measures the request path of an entry host: the latency that it
// adds compared with direct calls of the same upstream, the effect of losing the
// leader, and the control traffic. Everything runs in one process over loopback.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"
)

// cli is the command line.
type cli struct {
	Latency latencyCmd `cmd:"" help:"Latency of routed and direct requests."`
	Loss    lossCmd    `cmd:"" help:"What callers see when the leader of a whole cluster is lost."`
	Traffic trafficCmd `cmd:"" help:"Bytes per second between an entry host and the leader."`
}

func main() {
	var c cli
	k := kong.Parse(&c, kong.Name("routing"), kong.Description("Measures the request path of an entry host."))
	if err := k.Run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
