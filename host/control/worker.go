package control

import (
	"context"
	"time"

	"gooseberrypond/core/leader"
	"gooseberrypond/core/state"
	"gooseberrypond/core/structs"
)

// WorkerRegister implements rpc.Control.
func (h *Host) WorkerRegister(ctx context.Context, req *structs.WorkerRegister) error {
	_, err := h.proposeChange(ctx, &structs.Command{RegisterWorker: req})
	return err
}

// WorkerSync implements rpc.Control. The answer is held until there is a command
// for the worker or the wait that the worker asked for has passed. Events are
// committed to the log before the answer acknowledges them.
func (h *Host) WorkerSync(ctx context.Context, req *structs.WorkerSync) (*structs.WorkerSyncReply, error) {
	const step = "control.worker_sync"
	received := time.Now()
	var events *structs.Command
	var refused *structs.Error
	var held *heldSync
	stop := func() {}
	err := h.withLeader(step, func(core *leader.Core, _ *state.Tables) {
		_, events, refused = core.WorkerSync(received, req)
		if refused == nil {
			held, stop = h.stateMachine.registerHeldSync(req.ID)
		}
	})
	defer func() { stop() }()
	if refused != nil {
		return nil, refused
	}
	if err != nil {
		return nil, err
	}
	if events != nil {
		if _, err := h.proposeChange(ctx, events); err != nil {
			return nil, err
		}
	}
	h.metrics.workerSyncs.Inc()
	return h.awaitCommands(ctx, req, received, held)
}

// awaitCommands returns the reply as soon as it has commands or tells the worker to
// register again, and at the latest when the wait has passed.
func (h *Host) awaitCommands(ctx context.Context, req *structs.WorkerSync, received time.Time, held *heldSync) (*structs.WorkerSyncReply, error) {
	wait := min(time.Duration(req.WaitMS)*time.Millisecond, structs.WorkerSyncHold)
	timer := time.NewTimer(time.Until(received.Add(wait)))
	defer timer.Stop()
	for done := wait <= 0; ; {
		reply, err := h.syncReply(req)
		if err != nil {
			return nil, err
		}
		if done || reply.Reregister || len(reply.Commands) > 0 {
			h.metrics.countCommands(reply.Commands)
			return reply, nil
		}
		select {
		case <-held.wake:
		case <-timer.C:
			done = true
		case <-held.done:
			return nil, structs.Errorf(structs.CodeConflict, "control.worker_sync", "a newer sync of worker %s has arrived", req.ID).WithOutcome(structs.OutcomeNotRun)
		case <-ctx.Done():
			return nil, unknownOutcome("control.worker_sync", ctx.Err())
		}
	}
}

// syncReply returns the reply to a held sync as of now.
func (h *Host) syncReply(req *structs.WorkerSync) (*structs.WorkerSyncReply, error) {
	var reply structs.WorkerSyncReply
	var refused *structs.Error
	err := h.withLeader("control.worker_sync", func(core *leader.Core, _ *state.Tables) {
		reply, refused = core.WorkerPoll(time.Now(), req)
	})
	if refused != nil {
		return nil, refused
	}
	if err != nil {
		return nil, err
	}
	return &reply, nil
}
