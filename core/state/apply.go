package state

import "gooseberrypond/core/structs"

// Apply applies one command of the log to the tables. A command of a newer
// format changes nothing and returns CodeVersionMismatch; the replica must then
// stop. Commands must be applied in the order of their log indexes.
func (t *Tables) Apply(index uint64, cmd *structs.Command) structs.Result {
	const step = "apply command"
	if cmd.Version > structs.CommandVersion {
		return failure(structs.CodeVersionMismatch, step, "command %d has format %d, this program knows up to %d", index, cmd.Version, structs.CommandVersion)
	}
	if index <= t.index {
		return failure(structs.CodeInternal, step, "command %d comes after command %d", index, t.index)
	}
	t.index = index
	t.nowMS = max(t.nowMS, cmd.NowMS)
	switch {
	case cmd.Plan != nil:
		return t.applyPlan(cmd.Plan)
	case cmd.WorkerEvents != nil:
		return t.applyWorkerEvents(cmd.WorkerEvents)
	case cmd.SubmitJobs != nil:
		return t.applySubmitJobs(cmd.SubmitJobs)
	case cmd.EndAttempts != nil:
		return t.applyEndAttempts(cmd.EndAttempts)
	case cmd.RegisterWorker != nil:
		return t.applyRegisterWorker(cmd.RegisterWorker)
	case cmd.CancelJob != nil:
		return t.applyCancelJob(cmd.CancelJob)
	case cmd.PutCatalogue != nil:
		return t.applyPutCatalogue(cmd.PutCatalogue)
	case cmd.SetDomain != nil:
		return t.applySetDomain(cmd.SetDomain)
	case cmd.Claim != nil:
		return t.applyClaim(cmd.Claim)
	case cmd.Complete != nil:
		return t.applyComplete(cmd.Complete)
	case cmd.Expire != nil:
		return t.applyExpire()
	}
	return failure(structs.CodeBadRequest, step, "command %d is empty", index)
}
