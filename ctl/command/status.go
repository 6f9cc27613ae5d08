package command

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"

	"gooseberrypond/core/structs"
	"gooseberrypond/ctl/client"
)

// StatusCmd shows the leader, replicas, entry hosts, failure domains, owners and
// upstreams.
type StatusCmd struct{}

// Run implements the command.
func (c *StatusCmd) Run(env *Env) error {
	var s structs.Status
	err := env.Operator.Do(env.Ctx, client.Request{Method: http.MethodGet, Path: "/v1/status"}, &s)
	if err != nil {
		return err
	}
	if env.JSON {
		return env.printJSON(s)
	}
	return env.printStatus(&s)
}

func (e *Env) printStatus(s *structs.Status) error {
	fmt.Fprintf(e.Out, "cluster %s  leader %s  term %d  commit %d  catalogue version %d  workers %d/%d live\n",
		s.Cluster, s.Leader, s.Term, s.Commit, s.CatalogueVersion, s.LiveWorkers, s.Workers)
	fmt.Fprintf(e.Out, "jobs %s  tasks %s\n\n", formatCounts(s.Jobs), formatCounts(s.Tasks))
	if err := e.printReplicas(s.Replicas); err != nil {
		return err
	}
	fmt.Fprintln(e.Out)
	if err := e.printEntryHosts(s.EntryHosts); err != nil {
		return err
	}
	fmt.Fprintln(e.Out)
	if err := e.printDomains(s.Domains); err != nil {
		return err
	}
	fmt.Fprintln(e.Out)
	if err := e.printOwners(s.Owners); err != nil {
		return err
	}
	fmt.Fprintln(e.Out)
	return e.printUpstreams(s.Upstreams)
}

func (e *Env) printReplicas(replicas []structs.ReplicaInfo) error {
	rows := make([][]string, len(replicas))
	for i, r := range replicas {
		rows[i] = []string{strconv.FormatUint(r.ID, 10), r.Address, r.Role, strconv.FormatBool(r.Voter),
			strconv.FormatUint(r.Match, 10), strconv.FormatUint(r.Lag, 10)}
	}
	return e.printTable([]string{"REPLICA", "ADDRESS", "ROLE", "VOTER", "MATCH", "LAG"}, rows)
}

func (e *Env) printEntryHosts(hosts []structs.EntryHostInfo) error {
	rows := make([][]string, len(hosts))
	for i, h := range hosts {
		age := "never"
		if h.LastSyncMS >= 0 {
			age = fmt.Sprintf("%d ms", h.LastSyncMS)
		}
		rows[i] = []string{h.Host, age, strconv.FormatUint(h.CatalogueVersion, 10),
			strconv.FormatUint(h.DomainsVersion, 10), strconv.FormatBool(h.Stopping)}
	}
	return e.printTable([]string{"ENTRY HOST", "LAST SYNC", "CATALOGUE", "DOMAINS", "STOPPING"}, rows)
}

func (e *Env) printOwners(owners []structs.OwnerInfo) error {
	rows := make([][]string, len(owners))
	for i, o := range owners {
		rows[i] = []string{o.Name, strconv.Itoa(o.Jobs), strconv.Itoa(o.Pending), strconv.Itoa(o.Running),
			formatResources(o.Used), formatResources(o.Quota)}
	}
	return e.printTable([]string{"OWNER", "JOBS", "PENDING", "RUNNING", "USED", "QUOTA"}, rows)
}

func (e *Env) printUpstreams(upstreams []structs.Upstream) error {
	rows := make([][]string, len(upstreams))
	for i, u := range upstreams {
		rows[i] = []string{u.Name, u.Entry, u.Address, u.Domain, strconv.Itoa(u.Slots),
			strconv.Itoa(u.Connections), strconv.FormatBool(u.Leaving)}
	}
	return e.printTable([]string{"UPSTREAM", "ENTRY", "ADDRESS", "DOMAIN", "SLOTS", "CONNECTIONS", "LEAVING"}, rows)
}

// DumpCmd prints the complete state of one host as JSON.
type DumpCmd struct {
	Host string `arg:"" optional:"" help:"Host id; without it the host that answers."`
}

// Run implements the command.
func (c *DumpCmd) Run(env *Env) error {
	req := client.Request{Method: http.MethodGet, Path: "/v1/dump"}
	if c.Host != "" {
		req.Query = url.Values{"host": {c.Host}}
	}
	var raw json.RawMessage
	if err := env.Operator.Do(env.Ctx, req, &raw); err != nil {
		return err
	}
	_, err := env.Out.Write(append(raw, '\n'))
	return err
}

// MemberCmd groups the commands that manage control replicas.
type MemberCmd struct {
	Add     MemberAddCmd     `cmd:"" help:"Add a control replica as a learner."`
	Promote MemberPromoteCmd `cmd:"" help:"Make a learner that has caught up a voter."`
	Remove  MemberRemoveCmd  `cmd:"" help:"Remove a control replica."`
	List    MemberListCmd    `cmd:"" help:"List control replicas."`
}

// MemberAddCmd adds a control replica as a learner.
type MemberAddCmd struct {
	ID      uint64 `arg:"" help:"New replica id, never used before."`
	Address string `arg:"" help:"Peer address of the replica, as ip:port."`
}

// Run implements the command.
func (c *MemberAddCmd) Run(env *Env) error {
	return env.changeMembership(structs.MemberRequest{Action: "add", ID: c.ID, Address: c.Address})
}

// MemberPromoteCmd makes a learner a voting replica.
type MemberPromoteCmd struct {
	ID uint64 `arg:"" help:"Replica id."`
}

// Run implements the command.
func (c *MemberPromoteCmd) Run(env *Env) error {
	return env.changeMembership(structs.MemberRequest{Action: "promote", ID: c.ID})
}

// MemberRemoveCmd removes a control replica.
type MemberRemoveCmd struct {
	ID uint64 `arg:"" help:"Replica id."`
}

// Run implements the command.
func (c *MemberRemoveCmd) Run(env *Env) error {
	return env.changeMembership(structs.MemberRequest{Action: "remove", ID: c.ID})
}

func (e *Env) changeMembership(req structs.MemberRequest) error {
	err := e.Operator.Do(e.Ctx, client.Request{Method: http.MethodPost, Path: "/v1/members", Body: req}, nil)
	if err != nil || e.JSON {
		return err
	}
	fmt.Fprintf(e.Out, "replica %d: %s done\n", req.ID, req.Action)
	return nil
}

// MemberListCmd lists control replicas.
type MemberListCmd struct{}

// Run implements the command.
func (c *MemberListCmd) Run(env *Env) error {
	var replicas []structs.ReplicaInfo
	err := env.Operator.Do(env.Ctx, client.Request{Method: http.MethodGet, Path: "/v1/members"}, &replicas)
	if err != nil {
		return err
	}
	if env.JSON {
		return env.printJSON(replicas)
	}
	return env.printReplicas(replicas)
}
