package command

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"gooseberrypond/ctl/client"
)

// RequestCmd sends one request to a latency-critical entry. It never retries,
// because the request may not be idempotent.
type RequestCmd struct {
	Entry      string        `arg:"" help:"Catalogue entry."`
	Path       string        `arg:"" optional:"" help:"Path at the upstream."`
	Method     string        `short:"X" default:"GET" help:"HTTP method."`
	Data       string        `short:"d" help:"Body."`
	Key        string        `help:"Idempotency key of a request that is not idempotent."`
	Idempotent string        `enum:"auto,true,false" default:"auto" help:"Whether the request may run twice: auto goes by the method."`
	Within     time.Duration `help:"Time limit of the request; default is the entry's."`
}

// Run implements the command.
func (c *RequestCmd) Run(env *Env) error {
	header := http.Header{}
	if c.Key != "" {
		header.Set("Idempotency-Key", c.Key)
	}
	if c.Idempotent != "auto" {
		header.Set("X-Idempotent", c.Idempotent)
	}
	if c.Within > 0 {
		header.Set("X-Timeout-Ms", strconv.FormatInt(c.Within.Milliseconds(), 10))
	}
	path := "/v1/run/" + c.Entry + "/" + strings.TrimPrefix(c.Path, "/")
	resp, err := env.Caller.SendOnce(env.Ctx, client.Request{Method: c.Method, Path: path, Header: header}, []byte(c.Data))
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if _, err := io.Copy(env.Out, resp.Body); err != nil {
		return errors.Wrap(err, "read response")
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return errors.Newf("response has status %s", resp.Status)
	}
	return nil
}
