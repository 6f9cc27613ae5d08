// Package command implements the subcommands of gooseberryctl.
package command

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"gooseberrypond/core/document"
	"gooseberrypond/core/structs"
	"gooseberrypond/ctl/client"
)

// Exit codes of gooseberryctl.
const (
	ExitOK = 0
	// ExitFailed is any failure that has no specific code.
	ExitFailed = 1
	// ExitUsage is an invalid command line, file or request.
	ExitUsage = 2
	// ExitRefused is a conflict, an exceeded limit or a refused change.
	ExitRefused = 3
	// ExitNotFound is an unknown job, host or change.
	ExitNotFound = 4
	// ExitUnreachable means that no host gave a final response in time, or that the
	// time limit of the command passed.
	ExitUnreachable = 5
	// ExitUnauthorized is a missing or wrong token.
	ExitUnauthorized = 6
)

// Env holds the clients and output settings that all subcommands share.
type Env struct {
	Ctx      context.Context
	Operator *client.Client
	Caller   *client.Client
	Out      io.Writer
	// JSON selects JSON output in place of tables.
	JSON bool
}

// ErrRefused marks the error of a change that was not accepted, either because it
// is invalid or because another change took effect first.
var ErrRefused = errors.New("refused")

// ExitCode returns the exit code of gooseberryctl for err.
func ExitCode(err error) int {
	var problems document.Problems
	var apiErr *structs.Error
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &problems):
		return ExitUsage
	case errors.Is(err, client.ErrUnreachable), errors.Is(err, context.DeadlineExceeded):
		return ExitUnreachable
	case errors.Is(err, ErrRefused):
		return ExitRefused
	case errors.As(err, &apiErr):
		return exitCodeFor(apiErr.Code)
	}
	return ExitFailed
}

func exitCodeFor(code structs.ErrorCode) int {
	switch code {
	case structs.CodeBadRequest, structs.CodeTooLarge:
		return ExitUsage
	case structs.CodeConflict, structs.CodeKeyReused, structs.CodeQuota, structs.CodeQueueFull, structs.CodeOverloaded:
		return ExitRefused
	case structs.CodeNotFound:
		return ExitNotFound
	case structs.CodeUnauthorized:
		return ExitUnauthorized
	case structs.CodeNoLeader, structs.CodeNotLeader, structs.CodeStaleView:
		return ExitUnreachable
	}
	return ExitFailed
}

// printJSON writes v as indented JSON.
func (e *Env) printJSON(v any) error {
	enc := json.NewEncoder(e.Out)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

// printTable prints rows in aligned columns. Each row must have as many cells
// as header.
func (e *Env) printTable(header []string, rows [][]string) error {
	w := tabwriter.NewWriter(e.Out, 0, 4, 2, ' ', 0)
	writeRow(w, header)
	for _, row := range rows {
		writeRow(w, row)
	}
	return w.Flush()
}

func writeRow(w io.Writer, cells []string) {
	for i, cell := range cells {
		if i > 0 {
			fmt.Fprint(w, "\t")
		}
		fmt.Fprint(w, cell)
	}
	fmt.Fprintln(w)
}

// newID returns a random change id or idempotency key that begins with prefix.
func newID(prefix string) string {
	var raw [8]byte
	// crypto/rand.Read never returns an error.
	rand.Read(raw[:])
	return prefix + "-" + hex.EncodeToString(raw[:])
}

func formatTime(ms int64) string {
	if ms == 0 {
		return "-"
	}
	return time.UnixMilli(ms).UTC().Format("2006-01-02T15:04:05Z")
}

func formatResources(r structs.Resources) string {
	return fmt.Sprintf("%g cores, %d MiB, %d acc", float64(r.CPUMilli)/1000, r.MemoryMB, r.Accelerators)
}
