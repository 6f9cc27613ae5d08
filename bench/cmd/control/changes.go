package main

import (
	"context"
	"fmt"
	"time"

	"gooseberrypond/core/structs"
	"gooseberrypond/host/localcluster"
	"gooseberrypond/host/rpc"
)

// put submits the catalogue of package localcluster as a change of version base.
// It retries failed calls with the same change ID until ctx is done.
func put(ctx context.Context, cl *rpc.Client, id string, base uint64) error {
	for {
		res, err := cl.ApplyCatalogue(ctx, &structs.PutCatalogue{ChangeID: id, BaseVersion: base, Catalogue: localcluster.Catalogue()})
		if err == nil && res.Accepted {
			return nil
		}
		if err == nil {
			return fmt.Errorf("change %s refused: %+v", id, res)
		}
		if perr := localcluster.Pause(ctx); perr != nil {
			return err
		}
	}
}

// catalogueCmd measures the time until catalogue changes are in force.
type catalogueCmd struct {
	Changes int `help:"Changes without fault." default:"200"`
	Losses  int `help:"Changes during which the leader is killed." default:"20"`
	Entry   int `help:"Entry hosts without a replica, besides 3 with one." default:"5"`
}

// Run implements the command.
func (m *catalogueCmd) Run(c *cli) error {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Minute)
	defer cancel()
	cl, stop, err := c.start(ctx, localcluster.Options{Control: 3, Entry: m.Entry})
	if err != nil {
		return err
	}
	defer stop()
	client := cl.Client()
	version := uint64(1)
	if err := inForce(ctx, cl, version); err != nil {
		return err
	}
	plain, lossy := newTimes(), newTimes()
	for i := range m.Changes + m.Losses {
		kill := -1
		if i >= m.Changes {
			if kill, err = cl.Leader(ctx); err != nil {
				return err
			}
			cl.Kill(kill)
		}
		begun := time.Now()
		if err := put(ctx, client, fmt.Sprintf("change-%d", i), version); err != nil {
			return err
		}
		version++
		if err := inForce(ctx, cl, version); err != nil {
			return err
		}
		took := time.Since(begun)
		if kill < 0 {
			err = plain.add(took)
		} else if err = lossy.add(took); err == nil {
			err = cl.StartHost(kill)
		}
		if err == nil {
			err = inForce(ctx, cl, version)
		}
		if err != nil {
			return err
		}
	}
	fmt.Printf("3 replicas, %d entry hosts\n", m.Entry+3)
	plain.print("change sent to in force on all entry hosts")
	lossy.print("the same, leader killed just before")
	return nil
}

// inForce waits until every running host applies this or a later catalogue version.
func inForce(ctx context.Context, cl *localcluster.Cluster, version uint64) error {
	for {
		everywhere := true
		for _, n := range cl.Nodes {
			if n == nil {
				continue
			}
			have, _ := n.Versions()
			everywhere = everywhere && have >= version
		}
		if everywhere {
			return nil
		}
		if err := localcluster.Pause(ctx); err != nil {
			return err
		}
	}
}

// restartCmd measures how long a restarted replica needs to catch up.
type restartCmd struct {
	Rounds    int `help:"Restarts." default:"10"`
	Changes   int `help:"Changes made while the replica is down." default:"1000"`
	Snapshots int `help:"Log entries between snapshots; below the changes, the replica needs a snapshot." default:"500"`
}

// Run implements the command.
func (m *restartCmd) Run(c *cli) error {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Minute)
	defer cancel()
	cl, stop, err := c.start(ctx, localcluster.Options{Control: 3, SnapshotEntries: m.Snapshots})
	if err != nil {
		return err
	}
	defer stop()
	client := cl.Client()
	version := uint64(1)
	caught := newTimes()
	for r := range m.Rounds {
		leader, err := cl.Leader(ctx)
		if err != nil {
			return err
		}
		down := (leader + 1) % 3
		cl.Kill(down)
		for i := range m.Changes {
			if err := put(ctx, client, fmt.Sprintf("r%d-%d", r, i), version); err != nil {
				return err
			}
			version++
		}
		target := cl.Nodes[leader].Control().Applied()
		begun := time.Now()
		if err := cl.StartHost(down); err != nil {
			return err
		}
		for cl.Nodes[down].Control().Applied() < target {
			if err := localcluster.Pause(ctx); err != nil {
				return err
			}
		}
		if err := caught.add(time.Since(begun)); err != nil {
			return err
		}
	}
	fmt.Printf("3 replicas, %d changes behind, a snapshot every %d entries\n", m.Changes, m.Snapshots)
	caught.print("start of the host to caught up")
	return nil
}
