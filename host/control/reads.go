package control

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"strconv"
	"time"

	"gooseberrypond/core/leader"
	"gooseberrypond/core/state"
	"gooseberrypond/core/structs"
	"gooseberrypond/store/replica"
)

// unreachableAfter is the time since the last contact with a replica after which it
// is reported as unreachable.
const unreachableAfter = 2 * time.Second

// changeInForce reports for each entry host whether the change is in force there.
// DomainsVersion is set only for a change of a domain state.
func changeInForce(core *leader.Core, c *structs.ChangeResult) map[string]bool {
	if c.DomainsVersion > 0 {
		return core.DomainsInForce(c.DomainsVersion)
	}
	return core.InForce(c.Version)
}

// Domains implements rpc.Control.
func (h *Host) Domains(context.Context) ([]structs.DomainInfo, error) {
	var out []structs.DomainInfo
	err := h.withLeader("control.domains", func(core *leader.Core, t *state.Tables) { out = domainInfos(core, t) })
	if err != nil {
		return nil, err
	}
	return out, nil
}

// domainInfos lists, sorted by name, every domain that has a worker or an upstream or
// is out of service.
func domainInfos(core *leader.Core, t *state.Tables) []structs.DomainInfo {
	byName := map[string]*structs.DomainInfo{}
	get := func(name string) *structs.DomainInfo {
		d := byName[name]
		if d == nil {
			d = &structs.DomainInfo{Name: name, Out: t.DomainOut(name)}
			byName[name] = d
		}
		return d
	}
	for _, name := range t.DomainsOut() {
		get(name)
	}
	for _, w := range t.Workers() {
		d := get(w.Domain)
		d.Workers++
		if !w.Live {
			continue
		}
		d.Live++
		d.Capacity = d.Capacity.Add(w.Capacity)
		d.Committed = d.Committed.Add(t.Committed(w.ID))
		d.Tasks += len(t.AttemptsOn(w.ID))
	}
	for _, u := range core.Upstreams(time.Now()) {
		get(u.Domain).Upstreams++
	}
	out := make([]structs.DomainInfo, 0, len(byName))
	for _, d := range byName {
		out = append(out, *d)
	}
	slices.SortFunc(out, func(a, b structs.DomainInfo) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// Status implements rpc.Control.
func (h *Host) Status(context.Context) (*structs.Status, error) {
	st := h.replica.Status()
	out := &structs.Status{
		Cluster: h.cfg.Cluster, Leader: h.cfg.HostID, Term: st.Term, Commit: st.Commit,
		Replicas: replicaInfos(&st),
		Jobs:     map[structs.JobStatus]int{}, Tasks: map[structs.JobStatus]int{},
		EntryHosts: []structs.EntryHostInfo{}, Owners: []structs.OwnerInfo{},
	}
	err := h.withLeader("control.status", func(core *leader.Core, t *state.Tables) { fillStatus(out, core, t) })
	if err != nil {
		return nil, err
	}
	return out, nil
}

// fillStatus adds to out what the leader's state and the tables hold.
func fillStatus(out *structs.Status, core *leader.Core, t *state.Tables) {
	out.CatalogueVersion = t.Catalogue().Version
	out.Domains = domainInfos(core, t)
	out.Upstreams = core.Upstreams(time.Now())
	for _, w := range t.Workers() {
		out.Workers++
		if w.Live {
			out.LiveWorkers++
		}
	}
	for name, e := range core.EntryHosts(time.Now()) {
		info := structs.EntryHostInfo{Host: name, LastSyncMS: -1, CatalogueVersion: e.CatalogueVersion, DomainsVersion: e.DomainsVersion, Stopping: e.Stopping}
		if e.Synced {
			info.LastSyncMS = e.SilentMS
		}
		out.EntryHosts = append(out.EntryHosts, info)
	}
	slices.SortFunc(out.EntryHosts, func(a, b structs.EntryHostInfo) int { return cmp.Compare(a.Host, b.Host) })
	for name, o := range t.Catalogue().Owners {
		out.Owners = append(out.Owners, ownerInfo(out, t, name, o))
	}
	slices.SortFunc(out.Owners, func(a, b structs.OwnerInfo) int { return cmp.Compare(a.Name, b.Name) })
}

// ownerInfo describes an owner and adds its jobs and tasks to the totals of out.
func ownerInfo(out *structs.Status, t *state.Tables, name string, o structs.Owner) structs.OwnerInfo {
	info := structs.OwnerInfo{Name: name, Quota: o.Quota, Used: t.OwnerUsage(name)}
	for j := range t.JobsOf(name) {
		out.Jobs[j.Status]++
		if j.Status.Finished() {
			continue
		}
		info.Jobs++
		for _, task := range t.TasksOf(j.ID) {
			out.Tasks[task.Status]++
			switch task.Status {
			case structs.StatusPending:
				info.Pending++
			case structs.StatusRunning:
				info.Running++
			}
		}
	}
	return info
}

// Members implements rpc.Control.
func (h *Host) Members(context.Context) ([]structs.ReplicaInfo, error) {
	if !h.replica.HoldsLease() {
		return nil, h.notLeader("control.members")
	}
	st := h.replica.Status()
	return replicaInfos(&st), nil
}

// replicaInfos describes the members of the group as the leader sees them.
func replicaInfos(st *replica.Status) []structs.ReplicaInfo {
	var out []structs.ReplicaInfo
	for _, m := range st.Members {
		id, err := strconv.ParseUint(m.ID, 10, 64)
		if err != nil {
			continue // cannot happen: replica ids are numbers in the settings
		}
		info := structs.ReplicaInfo{ID: id, Address: m.Address, Voter: m.Voter, Match: m.Match, Lag: st.Last - min(m.Match, st.Last)}
		switch {
		case m.ID == st.LeaderID:
			info.Role = "leader"
		case m.Silence > unreachableAfter:
			info.Role = "unreachable"
		case m.Voter:
			info.Role = "follower"
		default:
			info.Role = "learner"
		}
		out = append(out, info)
	}
	return out
}

// MemberChange implements rpc.Control. It succeeds without any action if the
// change has already been made.
func (h *Host) MemberChange(ctx context.Context, c structs.MemberRequest) error {
	const step = "control.member_change"
	if !h.replica.HoldsLease() {
		return h.notLeader(step)
	}
	id := strconv.FormatUint(c.ID, 10)
	if h.memberChangeDone(id, c) {
		return nil
	}
	var err error
	switch c.Action {
	case "add":
		err = h.replica.AddLearner(ctx, id, c.Address)
	case "promote":
		err = h.replica.Promote(ctx, id)
	case "remove":
		err = h.replica.Remove(ctx, id)
	default:
		return structs.Errorf(structs.CodeBadRequest, step, "action %q; allowed: add, promote, remove", c.Action).WithOutcome(structs.OutcomeNotRun)
	}
	if err != nil {
		return h.memberError(err)
	}
	h.cfg.Log.Info().Str("action", c.Action).Str("replica", id).Str("address", c.Address).Msg("replica group membership changed")
	return nil
}

// memberChangeDone reports whether a membership change has already been made, for
// example because its answer was lost and the request is repeated.
func (h *Host) memberChangeDone(id string, c structs.MemberRequest) bool {
	for _, m := range h.replica.Status().Members {
		if m.ID == id {
			return c.Action == "promote" && m.Voter || c.Action == "add" && m.Address == c.Address
		}
	}
	return c.Action == "remove"
}

// Dump implements rpc.Control. It returns a JSON document with all tables and the
// last applied commands. The tables are copied under the lock and encoded
// outside it.
func (h *Host) Dump(context.Context, string) ([]byte, error) {
	m := h.stateMachine
	out := dump{Host: h.cfg.HostID, Replica: h.replica.Status(), HoldsLease: h.replica.HoldsLease()}
	m.mu.Lock()
	out.Recent = append(out.Recent, m.recent...)
	if m.core != nil {
		d := m.core.Dump(time.Now())
		out.Leader = &d
	} else {
		out.Tables = m.tables.Fork()
	}
	m.mu.Unlock()
	data, err := json.Marshal(out)
	if err != nil {
		return nil, structs.Errorf(structs.CodeInternal, "control.dump", "%v", err)
	}
	return data, nil
}

// dump is the JSON document that Dump returns.
type dump struct {
	Host       string         `json:"host"`
	Replica    replica.Status `json:"replica"`
	HoldsLease bool           `json:"holds_lease"`
	// Leader holds the leader's state and the tables; it is set only on the leader.
	Leader *leader.Dump `json:"leader,omitempty"`
	// Tables holds the tables on replicas that do not lead.
	Tables *state.Image `json:"tables,omitempty"`
	// Recent lists the last applied commands, oldest first.
	Recent []recentCommand `json:"recent"`
}
