// Package client calls the operator and caller HTTP interfaces. Every call may
// be repeated safely: edits carry a change id and submissions an idempotency
// key, so a lost answer is retried on the next address.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"gooseberrypond/core/structs"
)

const (
	// maxBodyBytes bounds the answers read.
	maxBodyBytes = 256 << 20
	// retryPause is the pause after all addresses have failed once.
	retryPause = 200 * time.Millisecond
	// attemptTimeout bounds one try of a call that does not wait.
	attemptTimeout = 5 * time.Second
)

// ErrUnreachable reports that no address answered within the caller's time.
var ErrUnreachable = errors.New("no host answered")

// Client calls one of several equivalent addresses.
type Client struct {
	// Addresses are base URLs or host:port pairs, tried in order.
	Addresses []string
	// Token is the bearer token; empty means none.
	Token string
	HTTP  *http.Client
}

// Request is one call.
type Request struct {
	Method string
	Path   string
	Query  url.Values
	Header http.Header
	// Body is sent as JSON unless nil.
	Body any
	// Wait extends the time of one try for calls that the server holds open.
	Wait time.Duration
}

// Do sends req until a host gives a final answer or ctx ends, and decodes the
// answer into out unless out is nil. A refusal is returned as *structs.Error.
func (c *Client) Do(ctx context.Context, req Request, out any) error {
	body, err := encode(req.Body)
	if err != nil {
		return err
	}
	var last error
	for {
		for _, address := range c.Addresses {
			retry, err := c.try(ctx, address, req, body, out)
			if !retry {
				return err
			}
			last = err
		}
		select {
		case <-ctx.Done():
			return errors.Wrapf(ErrUnreachable, "%s %s: last error: %v", req.Method, req.Path, last)
		case <-time.After(retryPause):
		}
	}
}

func encode(body any) ([]byte, error) {
	if body == nil {
		return nil, nil
	}
	data, err := json.Marshal(body)
	return data, errors.Wrap(err, "encode request")
}

// try sends the request to one address and says whether another try may help.
func (c *Client) try(ctx context.Context, address string, req Request, body []byte, out any) (retry bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout+req.Wait)
	defer cancel()
	resp, err := c.send(ctx, address, req, body)
	if err != nil {
		return true, errors.Wrapf(err, "connect (peer %s)", address)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxBodyBytes))
	if err != nil {
		return true, errors.Wrapf(err, "read answer (peer %s)", address)
	}
	if resp.StatusCode < http.StatusMultipleChoices {
		return false, decode(data, out, address)
	}
	return refusal(resp.StatusCode, data, out, address)
}

func (c *Client) send(ctx context.Context, address string, req Request, body []byte) (*http.Response, error) {
	target := baseURL(address) + req.Path
	if len(req.Query) > 0 {
		target += "?" + req.Query.Encode()
	}
	hr, err := http.NewRequestWithContext(ctx, req.Method, target, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	for name, values := range req.Header {
		hr.Header[name] = values
	}
	if body != nil {
		hr.Header.Set("Content-Type", "application/json")
	}
	if c.Token != "" {
		hr.Header.Set("Authorization", "Bearer "+c.Token)
	}
	return c.HTTP.Do(hr)
}

// refusal turns an answer with an error status into an error. Hosts without a
// leader or with a stale view are tried again.
func refusal(status int, data []byte, out any, address string) (retry bool, err error) {
	var body structs.ErrorBody
	if json.Unmarshal(data, &body) != nil || body.Error == nil {
		if status == http.StatusConflict && out != nil && json.Unmarshal(data, out) == nil {
			return false, nil
		}
		return status >= http.StatusInternalServerError,
			structs.Errorf(structs.CodeInternal, "answer", "status %d: %s", status, firstLine(data)).WithPeer(address)
	}
	switch body.Error.Code {
	case structs.CodeNoLeader, structs.CodeNotLeader, structs.CodeStaleView, structs.CodeShuttingDown:
		return true, body.Error
	}
	return false, body.Error
}

func decode(data []byte, out any, address string) error {
	if out == nil {
		return nil
	}
	if raw, ok := out.(*json.RawMessage); ok {
		*raw = data
		return nil
	}
	return errors.Wrapf(json.Unmarshal(data, out), "decode answer (peer %s)", address)
}

func baseURL(address string) string {
	if strings.Contains(address, "://") {
		return strings.TrimSuffix(address, "/")
	}
	return "http://" + address
}

func firstLine(data []byte) string {
	line, _, _ := strings.Cut(string(data), "\n")
	return line
}

// SendOnce sends req with a raw body to the first address, without any retry. The
// caller closes the answer's body.
func (c *Client) SendOnce(ctx context.Context, req Request, body []byte) (*http.Response, error) {
	if len(c.Addresses) == 0 {
		return nil, errors.Wrap(ErrUnreachable, "no address given")
	}
	resp, err := c.send(ctx, c.Addresses[0], req, body)
	return resp, errors.Wrapf(err, "send request (peer %s)", c.Addresses[0])
}
