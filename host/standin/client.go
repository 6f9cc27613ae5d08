// Package standin provides stand-in workers and upstreams that use the published
// HTTP protocols. The dev and standin commands, tests and benchmarks use them in
// place of real ones.
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

// maxResponseBytes limits the size of a response body in bytes.
const maxResponseBytes = 16 << 20

// apiClient posts JSON to one of several equivalent base URLs. After a connection
// failure or a 5xx status, the next call goes to the next URL.
type apiClient struct {
	client *http.Client
	bases  []string
	next   atomic.Uint32
}

// post sends in as JSON and decodes the response into out. If out is nil, the
// response body is ignored. post does not retry.
func (c *apiClient) post(ctx context.Context, path string, in, out any) error {
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
	data, err := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes))
	if err != nil {
		return err
	}
	if res.StatusCode >= http.StatusMultipleChoices {
		return c.responseError(res.StatusCode, data)
	}
	if out == nil {
		return nil
	}
	return json.Unmarshal(data, out)
}

// responseError returns the error of a response with an error status, as a
// *structs.Error if the body holds one.
func (c *apiClient) responseError(status int, data []byte) error {
	if status >= http.StatusInternalServerError {
		c.next.Add(1)
	}
	var e structs.ErrorBody
	if json.Unmarshal(data, &e) == nil && e.Error != nil {
		return e.Error
	}
	return fmt.Errorf("status %d: %.200s", status, data)
}
