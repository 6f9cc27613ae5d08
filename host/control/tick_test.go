package control

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"gooseberrypond/core/structs"
)

// Guards against proposing the commands of a tick one after another. After the
// loss of a failure domain the leases of its workers would then end one by one,
// each after a disk sync of the log.
func TestTickCommandsAreProposedConcurrently(t *testing.T) {
	const commands = 300
	// The timeout only ends a failing run that would otherwise hang.
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
		t.Fatal("commands were not proposed concurrently")
	}
}
