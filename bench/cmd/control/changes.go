package main

import (
	"context"
	"fmt"
	"time"

	"gooseberrypond/core/structs"
	"gooseberrypond/host/localcluster"
	"gooseberrypond/host/rpc"
)

// applyCatalogue submits the catalogue of package localcluster as a change that is
// based on version base. It retries failed calls with the same change ID until ctx
// is done.
func applyCatalogue(ctx context.Context, client *rpc.Client, id string, base uint64) error {
	for {
		res, err := client.ApplyCatalogue(ctx, &structs.PutCatalogue{ChangeID: id, BaseVersion: base, Catalogue: localcluster.Catalogue()})
		if err == nil && res.Accepted {
			return nil
		}
		if err == nil {
			return fmt.Errorf("catalogue change %s refused: %+v", id, res)
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
	if err := waitInForce(ctx, cl, version); err != nil {
		return err
	}
	withoutLoss, withLeaderLoss := newTimes(), newTimes()
	for i := range m.Changes + m.Losses {
		killed := -1
		if i >= m.Changes {
			if killed, err = cl.Leader(ctx); err != nil {
				return err
			}
			cl.Kill(killed)
		}
		begun := time.Now()
		if err := applyCatalogue(ctx, client, fmt.Sprintf("change-%d", i), version); err != nil {
			return err
		}
		version++
		if err := waitInForce(ctx, cl, version); err != nil {
			return err
		}
		took := time.Since(begun)
		if killed < 0 {
			err = withoutLoss.add(took)
		} else if err = withLeaderLoss.add(took); err == nil {
			err = cl.StartHost(killed)
		}
		if err == nil {
			err = waitInForce(ctx, cl, version)
		}
		if err != nil {
			return err
		}
	}
	fmt.Printf("3 replicas, %d entry hosts\n", m.Entry+3)
	withoutLoss.print("change sent to in force on all entry hosts")
	withLeaderLoss.print("the same, leader killed just before")
	return nil
}

// waitInForce waits until this or a later catalogue version is in force on every
// running host.
func waitInForce(ctx context.Context, cl *localcluster.Cluster, version uint64) error {
	for {
		applied := true
		for _, n := range cl.Nodes {
			if n == nil {
				continue
			}
			have, _ := n.Versions()
			applied = applied && have >= version
		}
		if applied {
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
	catchUp := newTimes()
	for r := range m.Rounds {
		leader, err := cl.Leader(ctx)
		if err != nil {
			return err
		}
		replica := (leader + 1) % 3
		cl.Kill(replica)
		for i := range m.Changes {
			if err := applyCatalogue(ctx, client, fmt.Sprintf("r%d-%d", r, i), version); err != nil {
				return err
			}
			version++
		}
		target := cl.Nodes[leader].Control().LastApplied()
		begun := time.Now()
		if err := cl.StartHost(replica); err != nil {
			return err
		}
		for cl.Nodes[replica].Control().LastApplied() < target {
			if err := localcluster.Pause(ctx); err != nil {
				return err
			}
		}
		if err := catchUp.add(time.Since(begun)); err != nil {
			return err
		}
	}
	fmt.Printf("3 replicas, %d changes behind, a snapshot every %d entries\n", m.Changes, m.Snapshots)
	catchUp.print("start of the host to caught up")
	return nil
}
