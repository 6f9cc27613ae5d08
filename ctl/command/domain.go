package command

import (
	"net/http"
	"net/url"
	"strconv"

	"gooseberrypond/core/structs"
	"gooseberrypond/ctl/client"
)

// DomainCmd groups the commands that manage failure domains.
type DomainCmd struct {
	Out  DomainOutCmd  `cmd:"" help:"Take a failure domain out of service."`
	In   DomainInCmd   `cmd:"" help:"Bring a failure domain back into service."`
	List DomainListCmd `cmd:"" help:"List failure domains."`
}

// domainChange holds the arguments that the out and in commands share.
type domainChange struct {
	Name     string `arg:"" help:"Failure domain."`
	ChangeID string `help:"Id of the change; a repeated id gets the first answer. Random if not given."`
	Wait     bool   `help:"Wait until the change is in force on every entry host."`
}

// DomainOutCmd takes a failure domain out of service.
type DomainOutCmd struct{ domainChange }

// Run implements the command.
func (c *DomainOutCmd) Run(env *Env) error { return c.set(env, "out") }

// DomainInCmd brings a failure domain back into service.
type DomainInCmd struct{ domainChange }

// Run implements the command.
func (c *DomainInCmd) Run(env *Env) error { return c.set(env, "in") }

func (c *domainChange) set(env *Env, direction string) error {
	id := c.ChangeID
	if id == "" {
		id = newID("domain")
	}
	var result structs.ChangeResult
	err := env.Operator.Do(env.Ctx, client.Request{
		Method: http.MethodPost,
		Path:   "/v1/domains/" + url.PathEscape(c.Name) + "/" + direction,
		Body:   structs.SetDomainRequest{ChangeID: id},
	}, &result)
	if err != nil {
		return err
	}
	return env.reportChange(result, c.Wait)
}

// DomainListCmd lists failure domains.
type DomainListCmd struct{}

// Run implements the command.
func (c *DomainListCmd) Run(env *Env) error {
	var domains []structs.DomainInfo
	err := env.Operator.Do(env.Ctx, client.Request{Method: http.MethodGet, Path: "/v1/domains"}, &domains)
	if err != nil {
		return err
	}
	if env.JSON {
		return env.printJSON(domains)
	}
	return env.printDomains(domains)
}

func (e *Env) printDomains(domains []structs.DomainInfo) error {
	rows := make([][]string, len(domains))
	for i, d := range domains {
		state := "in"
		if d.Out {
			state = "out"
		}
		rows[i] = []string{d.Name, state, strconv.Itoa(d.Live) + "/" + strconv.Itoa(d.Workers),
			strconv.Itoa(d.Upstreams), strconv.Itoa(d.Tasks), formatResources(d.Committed), formatResources(d.Capacity)}
	}
	return e.printTable([]string{"DOMAIN", "STATE", "LIVE", "UPSTREAMS", "TASKS", "COMMITTED", "CAPACITY"}, rows)
}
