// Package standin holds small workers and upstreams that speak the published
// protocols over HTTP. The dev command and the tests use them in place of the
// platform.
package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"

	"gooseberrypond/core/structs"
)

// maxAnswer bounds one answer body in bytes.
const maxAnswer = 16 << 20

// caller posts JSON to the first base URL that answers; it moves on to the
// next one after a failure.
type caller struct {
	client *http.Client
	bases  []string
	next   atomic.Uint32
}

// post sends in and decodes the answer into out, which may be nil.
func (c *caller) post(ctx context.Context, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return err
	}
	base := c.bases[int(c.next.Load())%len(c.bases)]
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, base+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := c.client.Do(req)
	if err != nil {
		if ctx.Err() == nil {
			c.next.Add(1)
		}
		return err
	}
	defer res.Body.Close()
	data, err := io.ReadAll(io.LimitReader(res.Body, maxAnswer))
	if err != nil {
		return err
	}
	if res.StatusCode >= http.StatusMultipleChoices {
		return c.refused(res.StatusCode, data)
	}
	if out == nil {
		return nil
	}
	return json.Unmarshal(data, out)
}

// refused returns the typed error of an answer.
func (c *caller) refused(status int, data []byte) error {
	if status >= http.StatusInternalServerError {
		c.next.Add(1)
	}
	var e structs.ErrorBody
	if json.Unmarshal(data, &e) == nil && e.Error != nil {
		return e.Error
	}
	return fmt.Errorf("status %d: %.200s", status, data)
}
