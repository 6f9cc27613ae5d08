// Command gooseberryctl is the command-line client of the scheduler for operators
// and users.
package main

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"

	"gooseberrypond/ctl/client"
	"gooseberrypond/ctl/command"
)

type cli struct {
	Operator      []string      `help:"Operator addresses, tried in order." default:"127.0.0.1:7404" env:"GOOSEBERRY_OPERATOR"`
	Caller        []string      `help:"Caller addresses, tried in order." default:"127.0.0.1:7401" env:"GOOSEBERRY_CALLER"`
	Token         string        `help:"Owner's token for the caller interface." env:"GOOSEBERRY_TOKEN"`
	OperatorToken string        `help:"Token for the operator interface." env:"GOOSEBERRY_OPERATOR_TOKEN"`
	CA            string        `help:"File with the certificates that servers are checked against; addresses then need https://." type:"existingfile"`
	Output        string        `short:"o" help:"Output: table or json." enum:"table,json" default:"table"`
	Timeout       time.Duration `help:"Time limit of the whole command." default:"30s"`

	Plan      command.PlanCmd      `cmd:"" help:"Show what apply would change."`
	Apply     command.ApplyCmd     `cmd:"" help:"Make the files' catalogue the one in force."`
	Catalogue command.CatalogueCmd `cmd:"" help:"Read the catalogue."`
	Domain    command.DomainCmd    `cmd:"" help:"Take failure domains out of service and bring them back."`
	Job       command.JobCmd       `cmd:"" help:"Submit and follow jobs."`
	Request   command.RequestCmd   `cmd:"" help:"Send one request to a latency-critical entry."`
	Explain   command.ExplainCmd   `cmd:"" help:"Say why a job is pending, or where it runs and why."`
	Status    command.StatusCmd    `cmd:"" help:"Show leader, replicas, hosts, domains, owners and upstreams."`
	Dump      command.DumpCmd      `cmd:"" help:"Print the whole state of one host as JSON."`
	Member    command.MemberCmd    `cmd:"" help:"Manage control replicas."`
	Check     command.CheckCmd     `cmd:"" help:"Check a settings or catalogue file without a network."`
}

func main() {
	var args cli
	parser := kong.Must(&args, kong.Name("gooseberryctl"),
		kong.Description("Operates a gooseberrypond scheduler and submits work to it."), kong.UsageOnError())
	selected, err := parser.Parse(os.Args[1:])
	if err != nil {
		parser.Errorf("%s", err)
		os.Exit(command.ExitUsage)
	}
	err = run(&args, selected)
	if err != nil {
		fmt.Fprintln(os.Stderr, "gooseberryctl:", err)
	}
	os.Exit(command.ExitCode(err))
}

func run(args *cli, selected *kong.Context) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, args.Timeout)
	defer cancel()
	httpClient, err := newHTTPClient(args.CA)
	if err != nil {
		return err
	}
	env := &command.Env{
		Ctx:      ctx,
		Operator: &client.Client{Addresses: args.Operator, Token: args.OperatorToken, HTTP: httpClient},
		Caller:   &client.Client{Addresses: args.Caller, Token: args.Token, HTTP: httpClient},
		Out:      os.Stdout,
		JSON:     args.Output == "json",
	}
	return selected.Run(env)
}

func newHTTPClient(caFile string) (*http.Client, error) {
	transport := &http.Transport{ForceAttemptHTTP2: true}
	if caFile == "" {
		return &http.Client{Transport: transport}, nil
	}
	pem, err := os.ReadFile(caFile)
	if err != nil {
		return nil, errors.Wrap(err, "read certificates")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, errors.Newf("read certificates: %s holds no PEM certificate", caFile)
	}
	transport.TLSClientConfig = &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}
	return &http.Client{Transport: transport}, nil
}
