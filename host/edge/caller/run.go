package caller

import (
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"gooseberrypond/core/structs"
	"gooseberrypond/host/edge/web"
	"gooseberrypond/host/entry"
)

// runPrefix is the path prefix of routed requests.
const runPrefix = "/v1/run/"

// run reads a routed request with its whole body and passes it to the entry role.
func (s *server) run(w http.ResponseWriter, r *http.Request, owner string) error {
	req, err := parseRun(r, owner)
	if err != nil {
		return err
	}
	if req.Body, err = s.readBody(w, r); err != nil {
		return err
	}
	return s.entry.Run(r.Context(), w, req)
}

// parseRun parses path and headers of a routed request. It does not read the
// body.
func parseRun(r *http.Request, owner string) (*entry.Request, error) {
	name, rest, _ := strings.Cut(strings.TrimPrefix(r.URL.EscapedPath(), runPrefix), "/")
	name, nameErr := url.PathUnescape(name)
	raw := "/" + rest
	path, pathErr := url.PathUnescape(raw)
	if nameErr != nil || pathErr != nil || name == "" {
		return nil, web.BadRequest("the path must be %s{entry}/{path}", runPrefix)
	}
	req := &entry.Request{
		Owner: owner, Entry: name,
		Method: r.Method, Path: path, RawPath: raw, RawQuery: r.URL.RawQuery, Host: r.Host, Header: r.Header,
	}
	var err error
	if req.Key, err = idempotencyKey(r); err != nil {
		return nil, err
	}
	if req.Idempotent, err = idempotent(r); err != nil {
		return nil, err
	}
	req.Timeout, err = timeout(r)
	return req, err
}

// idempotent returns the value of X-Idempotent. Without the header, GET, HEAD and
// OPTIONS requests are idempotent.
func idempotent(r *http.Request) (bool, error) {
	switch text := r.Header.Get(entry.HeaderIdempotent); text {
	case "true":
		return true, nil
	case "false":
		return false, nil
	case "":
		return r.Method == http.MethodGet || r.Method == http.MethodHead || r.Method == http.MethodOptions, nil
	default:
		return false, web.BadRequest("%s is %q; allowed are true and false", entry.HeaderIdempotent, text)
	}
}

// timeout returns the value of X-Timeout-Ms, at most structs.RequestTimeoutMax.
// Without the header it returns 0, which means the entry's default.
func timeout(r *http.Request) (time.Duration, error) {
	text := r.Header.Get(entry.HeaderTimeout)
	if text == "" {
		return 0, nil
	}
	ms, err := strconv.ParseInt(text, 10, 32)
	if err != nil || ms < 1 {
		return 0, web.BadRequest("%s is %q; it must be a whole number of milliseconds from 1", entry.HeaderTimeout, text)
	}
	return min(time.Duration(ms)*time.Millisecond, structs.RequestTimeoutMax), nil
}

// readBody reads the whole body before anything is sent to an upstream, so a
// request whose caller disconnects half-way has not run.
func (s *server) readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	return web.ReadBody(w, r, s.opts.MaxBody, "caller.run")
}
