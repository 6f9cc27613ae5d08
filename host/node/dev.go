package node

import (
	"cmp"
	"context"
	"crypto/sha256"
	_ "embed"
	"encoding/hex"
	"fmt"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"gooseberrypond/core/catalog"
	"gooseberrypond/core/structs"
	"gooseberrypond/host/config"
	"gooseberrypond/host/standin"
)

//go:embed dev_catalogue.jsonc
var devCatalogue string

// DevToken is the bearer token of the owner "dev" in the development catalogue.
const DevToken = "dev-token"

// devChangeID is the id of the change that applies the development catalogue.
const devChangeID = "dev-catalogue"

// DevOptions configure a development cluster.
type DevOptions struct {
	// Folder is the data folder of the host.
	Folder string
	// Address is the IP address of all listeners, a loopback address.
	Address string
	// FirstPort is the first of 7 consecutive ports for the listeners; 0 means
	// ports that are free.
	FirstPort int
	// Domains is the number of failure domains of the stand-in workers, and
	// WorkersPerDomain the number of workers in each.
	Domains          int
	WorkersPerDomain int
	// Delay is the time that the stand-in upstream takes for a request; 0 means 5 ms.
	Delay time.Duration
	Log   zerolog.Logger
}

// Dev is a development cluster in one process.
type Dev struct {
	Node     *Node
	Ledger   *standin.Ledger
	Workers  []*standin.Worker
	Upstream *standin.Upstream

	stop context.CancelFunc
	wg   sync.WaitGroup
}

// StartDev starts a host with both roles, stand-in workers, a stand-in upstream
// and the development catalogue.
func StartDev(ctx context.Context, o DevOptions) (*Dev, error) {
	s, err := devSettings(o)
	if err != nil {
		return nil, err
	}
	n, err := Start(s, o.Log)
	if err != nil {
		return nil, err
	}
	d := &Dev{Node: n, Ledger: standin.NewLedger()}
	run, stop := context.WithCancel(context.Background())
	d.stop = stop
	if err := d.applyCatalogue(ctx); err != nil {
		d.Kill()
		return nil, err
	}
	d.startWorkers(run, o)
	if err := d.startUpstream(run, o); err != nil {
		d.Kill()
		return nil, err
	}
	return d, nil
}

// devSettings returns the settings of a cluster with one host that has both roles.
func devSettings(o DevOptions) (*config.Settings, error) {
	ports, err := devPorts(o)
	if err != nil {
		return nil, err
	}
	l := func(i int) config.Listener { return config.Listener{Address: ports[i]} }
	return &config.Settings{
		ClusterID: "dev", HostID: "dev-1", FailureDomain: "domain-1", Region: "dev", DataFolder: o.Folder,
		Roles: []config.Role{config.RoleControl, config.RoleEntry},
		Listeners: config.Listeners{
			Caller: l(0), Upstream: l(1), Platform: l(2), Operator: l(3), Peer: l(4), Control: l(5), Health: l(6),
		},
		Hosts: []config.Host{{
			ID: "dev-1", Roles: []config.Role{config.RoleControl, config.RoleEntry},
			Replica: 1, Peer: ports[4], Control: ports[5],
		}},
		Limits: config.DefaultLimits(),
	}, nil
}

// devPorts returns the addresses of the 7 listeners, as IP:port.
func devPorts(o DevOptions) ([]string, error) {
	const count = 7
	var out []string
	for i := range count {
		if o.FirstPort > 0 {
			out = append(out, fmt.Sprintf("%s:%d", o.Address, o.FirstPort+i))
			continue
		}
		l, err := net.Listen("tcp", net.JoinHostPort(o.Address, "0"))
		if err != nil {
			return nil, errors.Wrap(err, "find a free port")
		}
		defer l.Close()
		out = append(out, l.Addr().String())
	}
	return out, nil
}

// applyCatalogue applies the development catalogue, unless the data folder already has a
// catalogue.
func (d *Dev) applyCatalogue(ctx context.Context) error {
	digest := sha256.Sum256([]byte(DevToken))
	text := strings.ReplaceAll(devCatalogue, "DEV_TOKEN_SHA256", hex.EncodeToString(digest[:]))
	c, err := catalog.Parse("dev_catalogue.jsonc", []byte(text))
	if err != nil {
		return err
	}
	now, err := d.Node.client.Catalogue(ctx)
	if err != nil {
		return errors.Wrap(err, "read the catalogue")
	}
	if now.Version > 0 {
		return nil
	}
	res, err := d.Node.client.ApplyCatalogue(ctx, &structs.PutCatalogue{ChangeID: devChangeID, Catalogue: *c})
	if err != nil {
		return errors.Wrap(err, "apply the catalogue")
	}
	if !res.Accepted && res.Error != nil {
		return errors.Wrap(res.Error, "apply the catalogue")
	}
	return nil
}

func (d *Dev) startWorkers(ctx context.Context, o DevOptions) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
	for i := range o.Domains * o.WorkersPerDomain {
		domain := i%o.Domains + 1
		w := standin.NewWorker(standin.WorkerConfig{
			ID:       structs.WorkerID(fmt.Sprintf("worker-%d", i+1)),
			Rack:     fmt.Sprintf("rack-%d", domain),
			Domain:   fmt.Sprintf("domain-%d", domain),
			Capacity: structs.Resources{CPUMilli: 32_000, MemoryMB: 125 << 10},
			Platform: []string{"http://" + d.Node.Address("platform")},
			Client:   client,
			Ledger:   d.Ledger,
		})
		d.Workers = append(d.Workers, w)
		d.wg.Go(func() { w.Run(ctx) })
	}
}

// startUpstream starts a stand-in upstream for the entry "echo".
func (d *Dev) startUpstream(ctx context.Context, o DevOptions) error {
	l, err := net.Listen("tcp", net.JoinHostPort(o.Address, "0"))
	if err != nil {
		return err
	}
	d.Upstream = standin.NewUpstream(standin.UpstreamConfig{
		Upstream: structs.Upstream{Name: "upstream-1", Entry: "echo", Domain: "domain-1", Slots: 8, Connections: 60},
		Announce: []string{"http://" + d.Node.Address("upstream")},
		Delay:    cmp.Or(o.Delay, 5*time.Millisecond),
	})
	d.wg.Go(func() {
		if err := d.Upstream.Run(ctx, l); err != nil {
			o.Log.Warn().Err(err).Msg("stand-in upstream stopped with an error")
		}
	})
	return nil
}

// Describe returns the addresses of the cluster and example requests.
func (d *Dev) Describe() string {
	n := d.Node
	caller, operator := n.Address("caller"), n.Address("operator")
	return fmt.Sprintf(`caller    http://%s
upstream  http://%s
platform  http://%s
operator  http://%s
health    http://%s/metrics
data      %s
token     %s

curl -H 'Authorization: Bearer %s' -d hello http://%s/v1/run/echo/
curl -H 'Authorization: Bearer %s' -H 'Idempotency-Key: job-1' -d '{"entry":"report","kind":"batch","count":3}' http://%s/v1/jobs
curl http://%s/v1/status
`, caller, n.Address("upstream"), n.Address("platform"), operator, n.Address("health"), filepath.Clean(n.settings.DataFolder),
		DevToken, DevToken, caller, DevToken, caller, operator)
}

// Drain stops the stand-in upstream and workers, then stops the host gracefully.
func (d *Dev) Drain(ctx context.Context) error {
	d.stop()
	d.wg.Wait()
	return d.Node.Drain(ctx)
}

// Kill stops everything without a graceful stop of the host.
func (d *Dev) Kill() {
	d.stop()
	d.Node.Kill()
	d.wg.Wait()
}
