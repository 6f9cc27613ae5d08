package command

import (
	"fmt"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"gooseberrypond/core/catalog"
	"gooseberrypond/core/document"
	"gooseberrypond/core/structs"
	"gooseberrypond/ctl/client"
)

// progressPollInterval is the interval at which the progress of a change is
// polled.
const progressPollInterval = 200 * time.Millisecond

// CatalogueCmd groups the commands that read the catalogue.
type CatalogueCmd struct {
	Get CatalogueGetCmd `cmd:"" help:"Print the catalogue in force as JSON."`
}

// CatalogueGetCmd prints the catalogue in force.
type CatalogueGetCmd struct{}

// Run implements the command.
func (c *CatalogueGetCmd) Run(env *Env) error {
	current, err := env.fetchCatalogue()
	if err != nil {
		return err
	}
	return env.printJSON(current)
}

// PlanCmd shows the changes that apply would make.
type PlanCmd struct {
	Path string `arg:"" help:"Catalogue file, or folder of .json and .jsonc files."`
}

// Run implements the command.
func (c *PlanCmd) Run(env *Env) error {
	desired, err := LoadCatalogue(c.Path)
	if err != nil {
		return err
	}
	current, err := env.fetchCatalogue()
	if err != nil {
		return err
	}
	return env.printPlan(current.Version, catalog.Diff(current, desired))
}

// ApplyCmd replaces the catalogue in force by the content of the files.
type ApplyCmd struct {
	Path     string `arg:"" help:"Catalogue file, or folder of .json and .jsonc files."`
	ChangeID string `help:"Id of the change; a repeated id gets the first answer. Random if not given."`
	Base     uint64 `help:"Version that the change is based on; 0 takes the version in force."`
	Wait     bool   `help:"Wait until the change is in force on every entry host."`
}

// Run implements the command.
func (c *ApplyCmd) Run(env *Env) error {
	desired, err := LoadCatalogue(c.Path)
	if err != nil {
		return err
	}
	current, err := env.fetchCatalogue()
	if err != nil {
		return err
	}
	diff := catalog.Diff(current, desired)
	if len(diff) == 0 && c.ChangeID == "" {
		return env.printPlan(current.Version, diff)
	}
	req := structs.PutCatalogueRequest{ChangeID: c.ChangeID, BaseVersion: c.Base, Catalogue: *desired}
	if req.ChangeID == "" {
		req.ChangeID = newID("change")
	}
	if req.BaseVersion == 0 {
		req.BaseVersion = current.Version
	}
	var result structs.ChangeResult
	err = env.Operator.Do(env.Ctx, client.Request{Method: http.MethodPut, Path: "/v1/catalogue", Body: req}, &result)
	if err != nil {
		return err
	}
	return env.reportChange(result, c.Wait)
}

// reportChange prints the outcome of a change. If wait is set, it first waits
// until the change is in force everywhere.
func (e *Env) reportChange(result structs.ChangeResult, wait bool) error {
	if !result.Accepted {
		return refusedChangeError(result)
	}
	if wait {
		if err := e.waitInForce(result.ChangeID); err != nil {
			return err
		}
	}
	if e.JSON {
		return e.printJSON(result)
	}
	fmt.Fprintf(e.Out, "change %s accepted, version %d\n", result.ChangeID, result.Version)
	return nil
}

func refusedChangeError(result structs.ChangeResult) error {
	if result.Error != nil && result.Winner == "" {
		return errors.Mark(errors.Newf("change %s: %s", result.ChangeID, result.Error.Message), ErrRefused)
	}
	return errors.Mark(errors.Newf("change %s: version %d is already in force, set by change %s; run plan again",
		result.ChangeID, result.Version, result.Winner), ErrRefused)
}

// waitInForce polls until the change is in force on every entry host and prints
// the progress whenever it changes.
func (e *Env) waitInForce(changeID string) error {
	lastLine := ""
	for {
		var status structs.ChangeStatus
		path := "/v1/changes/" + url.PathEscape(changeID)
		if err := e.Operator.Do(e.Ctx, client.Request{Method: http.MethodGet, Path: path}, &status); err != nil {
			return err
		}
		line := progressLine(status)
		if line != lastLine && !e.JSON {
			fmt.Fprintln(e.Out, line)
			lastLine = line
		}
		if status.Complete {
			return nil
		}
		select {
		case <-e.Ctx.Done():
			return errors.Wrapf(e.Ctx.Err(), "wait for change %s: %s", changeID, line)
		case <-time.After(progressPollInterval):
		}
	}
}

func progressLine(status structs.ChangeStatus) string {
	var missing []string
	for host, ok := range status.InForce {
		if !ok {
			missing = append(missing, host)
		}
	}
	sort.Strings(missing)
	line := fmt.Sprintf("in force on %d of %d entry hosts", len(status.InForce)-len(missing), len(status.InForce))
	if len(missing) > 0 {
		line += ", waiting for " + strings.Join(missing, ", ")
	}
	return line
}

func (e *Env) fetchCatalogue() (*structs.Catalogue, error) {
	var current structs.Catalogue
	err := e.Operator.Do(e.Ctx, client.Request{Method: http.MethodGet, Path: "/v1/catalogue"}, &current)
	return &current, err
}

func (e *Env) printPlan(version uint64, diff []catalog.Difference) error {
	if e.JSON {
		if diff == nil {
			diff = []catalog.Difference{}
		}
		return e.printJSON(struct {
			Version     uint64               `json:"version"`
			Differences []catalog.Difference `json:"differences"`
		}{version, diff})
	}
	if len(diff) == 0 {
		fmt.Fprintf(e.Out, "no difference from version %d\n", version)
		return nil
	}
	for _, d := range diff {
		fmt.Fprintf(e.Out, "%-6s %s %s\n", d.Action, d.Kind, d.Name)
		for _, f := range d.Fields {
			fmt.Fprintf(e.Out, "         %s: %s -> %s\n", f.Field, f.From, f.To)
		}
	}
	fmt.Fprintf(e.Out, "%d differences from version %d\n", len(diff), version)
	return nil
}

// LoadCatalogue reads a catalogue file, or every .json and .jsonc file of a
// folder.
func LoadCatalogue(path string) (*structs.Catalogue, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, errors.Wrap(err, "read catalogue")
	}
	files := []string{path}
	if info.IsDir() {
		files, err = catalogueFiles(path)
		if err != nil {
			return nil, err
		}
	}
	var sources []catalog.Source
	for _, name := range files {
		data, err := os.ReadFile(name)
		if err != nil {
			return nil, errors.Wrap(err, "read catalogue")
		}
		sources = append(sources, catalog.Source{Name: name, Data: data})
	}
	return catalog.ParseAll(sources)
}

func catalogueFiles(dir string) ([]string, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, errors.Wrap(err, "read catalogue folder")
	}
	var files []string
	for _, entry := range entries {
		switch filepath.Ext(entry.Name()) {
		case ".json", ".jsonc":
			files = append(files, filepath.Join(dir, entry.Name()))
		}
	}
	if len(files) == 0 {
		return nil, document.Problems{{File: dir, Field: "(folder)", Value: "no catalogue file",
			Allowed: "at least one .json or .jsonc file"}}
	}
	return files, nil
}
