package command

import (
	"fmt"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/tailscale/hujson"

	"gooseberrypond/host/config"
)

// CheckCmd validates a settings or catalogue file without contacting a host.
type CheckCmd struct {
	Path string `arg:"" help:"Settings file, catalogue file, or catalogue folder."`
}

// Run implements the command.
func (c *CheckCmd) Run(env *Env) error {
	settings, err := isSettings(c.Path)
	if err != nil {
		return err
	}
	if settings {
		return c.checkSettings(env)
	}
	desired, err := LoadCatalogue(c.Path)
	if err != nil {
		return err
	}
	if env.JSON {
		return env.printJSON(desired)
	}
	fmt.Fprintf(env.Out, "%s: catalogue with %d owners and %d entries, no errors\n", c.Path, len(desired.Owners), len(desired.Entries))
	return nil
}

func (c *CheckCmd) checkSettings(env *Env) error {
	s, err := config.Load(c.Path)
	if err != nil {
		return err
	}
	if env.JSON {
		return env.printJSON(s)
	}
	fmt.Fprintf(env.Out, "%s: settings of host %s in cluster %s, no errors\n", c.Path, s.HostID, s.ClusterID)
	return nil
}

// isSettings reports whether the file has a top-level field that only settings
// have. It returns false for a file that cannot be parsed; loading that as a
// catalogue then reports the syntax error.
func isSettings(path string) (bool, error) {
	info, err := os.Stat(path)
	if err != nil {
		return false, errors.Wrap(err, "check")
	}
	if info.IsDir() {
		return false, nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return false, errors.Wrap(err, "check")
	}
	root, err := hujson.Parse(data)
	if err != nil {
		return false, nil
	}
	return root.Find("/host_id") != nil || root.Find("/cluster_id") != nil || root.Find("/listeners") != nil, nil
}
