package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"gooseberrypond/host/node"
)

const (
	// devStartTimeout is the time limit for starting a development cluster.
	devStartTimeout = 20 * time.Second
	// devDrainTimeout is the time limit for its graceful shutdown.
	devDrainTimeout = 35 * time.Second
)

// devCmd runs a development cluster in one process.
type devCmd struct {
	DataFolder string `help:"Folder for the data; default is a temporary one that is removed at the end." type:"path"`
	Address    string `help:"Loopback IP address." default:"127.0.0.1"`
	FirstPort  int    `help:"First of 7 ports; 0 takes free ones." default:"7401"`
	Domains    int    `help:"Number of failure domains." default:"3"`
	Workers    int    `help:"Stand-in workers per failure domain." default:"2"`
	LogLevel   string `help:"Log level." default:"warn" enum:"debug,info,warn,error"`
}

// Run implements the command.
func (c *devCmd) Run() error {
	folder := c.DataFolder
	if folder == "" {
		tmp, err := os.MkdirTemp("", "gooseberryd-dev-")
		if err != nil {
			return err
		}
		defer os.RemoveAll(tmp)
		folder = tmp
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	startCtx, cancel := context.WithTimeout(ctx, devStartTimeout)
	defer cancel()
	d, err := node.StartDev(startCtx, node.DevOptions{
		Folder: folder, Address: c.Address, FirstPort: c.FirstPort,
		Domains: c.Domains, WorkersPerDomain: c.Workers, Log: newLogger(c.LogLevel),
	})
	if err != nil {
		return err
	}
	fmt.Print(d.Describe())
	select {
	case <-ctx.Done():
	case err := <-d.Node.Failed():
		d.Kill()
		return err
	}
	stop() // restores the default handling: a second signal kills the process
	drainCtx, cancelDrain := context.WithTimeout(context.Background(), devDrainTimeout)
	defer cancelDrain()
	return d.Drain(drainCtx)
}
