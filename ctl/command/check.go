package command

import (
	"fmt"
)

// CheckCmd checks a catalogue without a network.
type CheckCmd struct {
	Path string `arg:"" help:"Catalogue file or folder." type:"path"`
}

// Run implements the command.
func (c *CheckCmd) Run(env *Env) error {
	wanted, err := LoadCatalogue(c.Path)
	if err != nil {
		return err
	}
	if env.JSON {
		return env.printJSON(wanted)
	}
	fmt.Fprintf(env.Out, "%s: %d owners, %d entries, no errors\n", c.Path, len(wanted.Owners), len(wanted.Entries))
	return nil
}
