package control

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"gooseberrypond/core/structs"
)

// Guards against the commands of a tick waiting for one another: the leases of
// a lost failure domain's workers would then end one sync of the log at a time.
func TestCommandsOfTickShareSyncs(t *testing.T) {
	const commands = 300
	// The limit only ends the hang of a failing run.
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	var proposed atomic.Int32
	all := make(chan struct{})
	cmds := make([]*structs.Command, commands)
	for i := range cmds {
		cmds[i] = &structs.Command{}
	}
	proposeAll(cmds, func(*structs.Command) {
		if proposed.Add(1) == commands {
			close(all)
		}
		select {
		case <-all:
		case <-ctx.Done():
		}
	})
	if ctx.Err() != nil {
		t.Fatal("commands were not proposed side by side")
	}
}
