// Package client calls the operator and caller HTTP interfaces. Calls through
// Do are safe to repeat, because changes carry a change id and submissions an
// idempotency key. If a host gives no final response, the call is retried on the
// next address.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"gooseberrypond/core/structs"
)

const (
	// maxResponseBytes limits how much of a response body is read.
	maxResponseBytes = 256 << 20
	// retryDelay is the delay after a call has failed on every address.
	retryDelay = 200 * time.Millisecond
	// attemptTimeout is the time limit of one attempt, to which Request.Wait
	// is added.
	attemptTimeout = 5 * time.Second
)

// ErrUnreachable is returned if no host gave a final response before the context
// of the call ended, or if there is no address to call. A response that the host
// has no leader, for example, is not final; nor is the refusal of a change of which an
// earlier attempt may have taken effect.
var ErrUnreachable = errors.New("no host gave a final response")

// Client sends requests to a group of equivalent hosts.
type Client struct {
	// Addresses are base URLs or host:port pairs, tried in order.
	Addresses []string
	// Token is the bearer token; if empty, none is sent.
	Token string
	HTTP  *http.Client
}

// Request describes one call.
type Request struct {
	Method string
	Path   string
	Query  url.Values
	Header http.Header
	// Body is encoded as JSON; if nil, the request has no body.
	Body any
	// Wait is how long the server may hold the request open. It extends the
	// time limit of each attempt.
	Wait time.Duration
}

// Do tries the addresses in turn until a host gives a final response or ctx ends.
// It decodes the response into out unless out is nil. An error response is
// returned as *structs.Error.
func (c *Client) Do(ctx context.Context, req Request, out any) error {
	body, err := encodeBody(req.Body)
	if err != nil {
		return err
	}
	var lastErr error
	unknown := false // whether an earlier attempt may have taken effect
	for {
		for _, address := range c.Addresses {
			retry, err := c.attempt(ctx, address, req, body, out)
			switch {
			case !retry && err != nil && unknown:
				return errors.Wrapf(errors.Mark(err, ErrUnreachable), "%s %s: refused after an attempt whose outcome is unknown", req.Method, req.Path)
			case !retry:
				return err
			}
			unknown = unknown || req.Method != http.MethodGet && mayHaveRun(err)
			lastErr = err
		}
		select {
		case <-ctx.Done():
			return errors.Wrapf(ErrUnreachable, "%s %s: last error: %v", req.Method, req.Path, lastErr)
		case <-time.After(retryDelay):
		}
	}
}

// mayHaveRun reports whether an attempt that failed with err may have taken effect.
func mayHaveRun(err error) bool {
	var answered *structs.Error
	if errors.As(err, &answered) {
		return answered.Outcome != structs.OutcomeNotRun
	}
	var network *net.OpError
	return !errors.As(err, &network) || network.Op != "dial"
}

func encodeBody(body any) ([]byte, error) {
	if body == nil {
		return nil, nil
	}
	data, err := json.Marshal(body)
	return data, errors.Wrap(err, "encode request")
}

// attempt sends the request to one address once. retry reports whether another
// attempt may succeed.
func (c *Client) attempt(ctx context.Context, address string, req Request, body []byte, out any) (retry bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout+req.Wait)
	defer cancel()
	resp, err := c.send(ctx, address, req, body)
	if err != nil {
		return true, errors.Wrapf(err, "connect (peer %s)", address)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return true, errors.Wrapf(err, "read response (peer %s)", address)
	}
	if resp.StatusCode < http.StatusMultipleChoices {
		return false, decodeResponse(data, out, address)
	}
	return responseError(resp.StatusCode, data, out, address)
}

func (c *Client) send(ctx context.Context, address string, req Request, body []byte) (*http.Response, error) {
	target := baseURL(address) + req.Path
	if len(req.Query) > 0 {
		target += "?" + req.Query.Encode()
	}
	httpReq, err := http.NewRequestWithContext(ctx, req.Method, target, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	for name, values := range req.Header {
		httpReq.Header[name] = values
	}
	if body != nil {
		httpReq.Header.Set("Content-Type", "application/json")
	}
	if c.Token != "" {
		httpReq.Header.Set("Authorization", "Bearer "+c.Token)
	}
	return c.HTTP.Do(httpReq)
}

// responseError returns the error of a response with an error status. The call
// is retried if the host has no leader, is not the leader, has a stale view or
// is shutting down, and after a 5xx status without a structs.Error. A conflict
// without a structs.Error is decoded into out, because it carries the result of
// a change that was not accepted.
func responseError(status int, data []byte, out any, address string) (retry bool, err error) {
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

func decodeResponse(data []byte, out any, address string) error {
	if out == nil {
		return nil
	}
	if raw, ok := out.(*json.RawMessage); ok {
		*raw = data
		return nil
	}
	return errors.Wrapf(json.Unmarshal(data, out), "decode response (peer %s)", address)
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

// SendOnce sends req with body as it is to the first address and does not retry.
// req.Body is ignored. The caller must close the response body.
func (c *Client) SendOnce(ctx context.Context, req Request, body []byte) (*http.Response, error) {
	if len(c.Addresses) == 0 {
		return nil, errors.Wrap(ErrUnreachable, "no address given")
	}
	resp, err := c.send(ctx, c.Addresses[0], req, body)
	return resp, errors.Wrapf(err, "send request (peer %s)", c.Addresses[0])
}
