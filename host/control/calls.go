package control

import (
	"cmp"
	"context"
	"slices"
	"time"

	"gooseberrypond/core/leader"
	"gooseberrypond/core/state"
	"gooseberrypond/core/structs"
	"gooseberrypond/host/rpc"
)

const (
	// maxJobWait is the maximum time for which the answer of GetJob is held.
	maxJobWait = 30 * time.Second
	// defaultPage is the number of jobs in a page of ListJobs if the request
	// gives no limit; maxPage is the largest limit.
	defaultPage = 100
	maxPage     = 1000
	// maxTasksShown is the maximum number of tasks in one JobView.
	maxTasksShown = 1000
)

// Sync implements rpc.Control.
func (h *Host) Sync(_ context.Context, req *structs.EntrySync) (*structs.EntryView, error) {
	received := time.Now()
	var view structs.EntryView
	var refused *structs.Error
	err := h.withLeader("control.sync", func(core *leader.Core, _ *state.Tables) {
		view, refused = core.EntrySync(received, h.stateMachine.term, req)
	})
	if refused != nil {
		return nil, refused
	}
	if err != nil {
		return nil, err
	}
	return &view, nil
}

// Watch implements rpc.Control. The answer is held until a version differs from
// seen, or for at most rpc.WatchHold.
func (h *Host) Watch(ctx context.Context, seen rpc.Versions) (rpc.Versions, error) {
	timer := time.NewTimer(rpc.WatchHold)
	defer timer.Stop()
	for done := false; ; {
		var now rpc.Versions
		var changed chan struct{}
		err := h.withLeader("control.watch", func(_ *leader.Core, t *state.Tables) {
			now = rpc.Versions{Catalogue: t.Catalogue().Version, Domains: t.DomainsVersion()}
			changed = h.stateMachine.changed
		})
		if err != nil || done || now != seen {
			return now, err
		}
		select {
		case <-changed:
		case <-timer.C:
			done = true
		case <-ctx.Done():
			done = true
		}
	}
}

// Announce implements rpc.Control.
func (h *Host) Announce(_ context.Context, u structs.Upstream) error {
	return h.withLeaderCore("control.announce", func(core *leader.Core) *structs.Error { return core.Announce(time.Now(), u) })
}

// Leave implements rpc.Control.
func (h *Host) Leave(_ context.Context, upstream string) error {
	return h.withLeaderCore("control.leave", func(core *leader.Core) *structs.Error { return core.Leave(time.Now(), upstream) })
}

// withLeaderCore runs fn on the leader's state and returns its error.
func (h *Host) withLeaderCore(step string, fn func(core *leader.Core) *structs.Error) error {
	var refused *structs.Error
	err := h.withLeader(step, func(core *leader.Core, _ *state.Tables) { refused = fn(core) })
	if refused != nil {
		return refused
	}
	return err
}

// Submit implements rpc.Control. Concurrent submissions share log entries.
func (h *Host) Submit(ctx context.Context, job structs.SubmitJob) (structs.SubmitResult, error) {
	if !h.replica.HoldsLease() {
		return structs.SubmitResult{}, h.notLeader("control.submit")
	}
	res, err := h.submissions.submit(ctx, job)
	if err == nil && res.Error != nil {
		return structs.SubmitResult{}, res.Error
	}
	return res, err
}

// Cancel implements rpc.Control.
func (h *Host) Cancel(ctx context.Context, c structs.CancelJob) error {
	_, err := h.proposeChange(ctx, &structs.Command{CancelJob: &c})
	return err
}

// Claim implements rpc.Control.
func (h *Host) Claim(ctx context.Context, c structs.Claim) (structs.Result, error) {
	return h.proposeChange(ctx, &structs.Command{Claim: &c})
}

// Complete implements rpc.Control.
func (h *Host) Complete(ctx context.Context, c structs.Complete) error {
	_, err := h.proposeChange(ctx, &structs.Command{Complete: &c})
	return err
}

// Catalogue implements rpc.Control.
func (h *Host) Catalogue(context.Context) (*structs.Catalogue, error) {
	var c structs.Catalogue
	err := h.withLeader("control.catalogue", func(_ *leader.Core, t *state.Tables) { c = *t.Catalogue() })
	if err != nil {
		return nil, err
	}
	return &c, nil
}

// ApplyCatalogue implements rpc.Control. A refusal of the change is returned in
// the result, not as an error.
func (h *Host) ApplyCatalogue(ctx context.Context, c *structs.PutCatalogue) (*structs.ChangeResult, error) {
	return h.proposeOperatorChange(ctx, &structs.Command{PutCatalogue: c})
}

// SetDomain implements rpc.Control.
func (h *Host) SetDomain(ctx context.Context, c structs.SetDomain) (*structs.ChangeResult, error) {
	return h.proposeOperatorChange(ctx, &structs.Command{SetDomain: &c})
}

// proposeOperatorChange proposes a change of the catalogue or of a domain.
func (h *Host) proposeOperatorChange(ctx context.Context, cmd *structs.Command) (*structs.ChangeResult, error) {
	res, err := h.propose(ctx, cmd)
	if err != nil {
		return nil, err
	}
	if res.Change != nil {
		return res.Change, nil
	}
	if res.Error != nil {
		return nil, res.Error
	}
	return nil, structs.Errorf(structs.CodeInternal, "control.change", "%s gave no result", commandName(cmd)).WithOutcome(structs.OutcomeUnknown)
}

// Change implements rpc.Control.
func (h *Host) Change(_ context.Context, id string) (*structs.ChangeStatus, error) {
	var out *structs.ChangeStatus
	err := h.withLeader("control.change", func(core *leader.Core, t *state.Tables) {
		c := t.Change(id)
		if c == nil {
			return
		}
		out = &structs.ChangeStatus{Change: *c, InForce: changeInForce(core, c), Complete: c.Accepted}
		for _, ok := range out.InForce {
			out.Complete = out.Complete && ok
		}
	})
	if err == nil && out == nil {
		return nil, structs.Errorf(structs.CodeNotFound, "control.change", "change %q is not known", id)
	}
	if err != nil {
		return nil, err
	}
	return out, nil
}

// GetJob implements rpc.Control. With a wait, the answer is held until the job
// has finished or the wait has passed.
func (h *Host) GetJob(ctx context.Context, q rpc.GetJob) (*structs.JobView, error) {
	wait := min(time.Duration(q.WaitMS)*time.Millisecond, maxJobWait)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for done := wait <= 0; ; {
		view, changed, stop, err := h.readJob(q)
		if err != nil {
			return nil, err
		}
		if done || view.Job.Status.Finished() {
			stop()
			return view, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			done = true
		case <-ctx.Done():
			done = true
		}
		stop()
	}
}

// readJob reads a job and registers a watch for its changes, which the caller
// ends with stop.
func (h *Host) readJob(q rpc.GetJob) (view *structs.JobView, changed chan struct{}, stop func(), err error) {
	err = h.withLeader("control.get_job", func(_ *leader.Core, t *state.Tables) {
		if j := ownedJob(t, q.Owner, q.Job); j != nil {
			view = jobView(t, j)
			changed, stop = h.stateMachine.watchJob(q.Job)
		}
	})
	if err != nil && stop != nil {
		stop()
	}
	if err == nil && view == nil {
		err = jobNotFound("control.get_job", q.Job)
	}
	return view, changed, stop, err
}

// ownedJob returns the job if it belongs to the owner or to an owner that was
// merged with it, else nil.
func ownedJob(t *state.Tables, owner string, id structs.JobID) *structs.Job {
	j := t.Job(id)
	if j == nil || t.ResolveOwner(j.Owner) != t.ResolveOwner(owner) {
		return nil
	}
	return j
}

func jobNotFound(step string, id structs.JobID) *structs.Error {
	return structs.Errorf(structs.CodeNotFound, step, "owner has no job %q", id)
}

// jobView copies a job, the counts of its tasks and its first maxTasksShown tasks.
func jobView(t *state.Tables, j *structs.Job) *structs.JobView {
	v := &structs.JobView{Job: *j, Counts: map[structs.JobStatus]int{}}
	for _, task := range t.TasksOf(j.ID) {
		v.Counts[task.Status]++
		if len(v.Tasks) < maxTasksShown {
			v.Tasks = append(v.Tasks, *task)
		}
	}
	return v
}

// Explain implements rpc.Control.
func (h *Host) Explain(_ context.Context, q rpc.Explain) ([]string, error) {
	var lines []string
	found := false
	err := h.withLeader("control.explain", func(core *leader.Core, t *state.Tables) {
		if ownedJob(t, q.Owner, q.Job) != nil {
			found, lines = true, core.Explain(q.Job)
		}
	})
	if err == nil && !found {
		return nil, jobNotFound("control.explain", q.Job)
	}
	return lines, err
}

// ListJobs implements rpc.Control.
func (h *Host) ListJobs(_ context.Context, q rpc.ListJobs) ([]structs.Job, error) {
	limit := q.Limit
	if limit <= 0 {
		limit = defaultPage
	}
	limit = min(limit, maxPage)
	var out []structs.Job
	err := h.withLeader("control.list_jobs", func(_ *leader.Core, t *state.Tables) { out = jobPage(t, q.Owner, q.After, limit) })
	if err != nil {
		return nil, err
	}
	return out, nil
}

// jobPage copies up to limit jobs of the owner with ids above after, in id order.
// It does not look up the job named by after, which may have been removed since
// the previous page. It sorts the jobs because those of a merged owner are not
// stored in id order.
func jobPage(t *state.Tables, owner string, after structs.JobID, limit int) []structs.Job {
	var next []*structs.Job
	for j := range t.JobsOf(t.ResolveOwner(owner)) {
		if j.ID > after {
			next = append(next, j)
		}
	}
	slices.SortFunc(next, func(a, b *structs.Job) int { return cmp.Compare(a.ID, b.ID) })
	out := make([]structs.Job, 0, min(limit, len(next)))
	for _, j := range next[:min(limit, len(next))] {
		out = append(out, *j)
	}
	return out
}
