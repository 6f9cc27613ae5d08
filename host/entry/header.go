package entry

import (
	"net/http"
	"net/textproto"
	"strings"
)

// Headers of the caller interface that the entry host reads or sets.
const (
	HeaderTimeout    = "X-Timeout-Ms"
	HeaderKey        = "Idempotency-Key"
	HeaderIdempotent = "X-Idempotent"
	// HeaderReplayed marks a response that is the recorded one of an earlier
	// request with the same key.
	HeaderReplayed = "Idempotent-Replayed"
	// HeaderRequestID names the request in logs and at the upstream.
	HeaderRequestID = "X-Request-Id"
)

// hopByHop are the headers that apply to one connection only (RFC 9110, 7.6.1).
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// notForwarded are the headers that the entry host handles itself and does not
// send on. It checks the token, and it has read the complete body before sending
// it, so Expect and Content-Length of the caller do not apply.
var notForwarded = []string{"Authorization", "Expect", "Content-Length", HeaderIdempotent, HeaderTimeout}

// copyEndToEnd adds the end-to-end headers of src to dst.
func copyEndToEnd(dst, src http.Header) {
	named := connectionNamed(src)
	for key, values := range src {
		if !named[key] {
			dst[key] = append(dst[key], values...)
		}
	}
	for _, key := range hopByHop {
		delete(dst, key)
	}
}

// connectionNamed returns the headers listed in the Connection header.
func connectionNamed(h http.Header) map[string]bool {
	var named map[string]bool
	for _, value := range h["Connection"] {
		for key := range strings.SplitSeq(value, ",") {
			if named == nil {
				named = make(map[string]bool)
			}
			named[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(key))] = true
		}
	}
	return named
}

// upstreamHeader returns the header to send to the upstream.
func upstreamHeader(req *Request) http.Header {
	h := make(http.Header, len(req.Header)+1)
	copyEndToEnd(h, req.Header)
	for _, key := range notForwarded {
		delete(h, key)
	}
	if _, ok := h["User-Agent"]; !ok {
		h["User-Agent"] = nil // keeps net/http from adding its own
	}
	if !req.Idempotent {
		lowercaseKeyHeaders(h)
	}
	return h
}

// lowercaseKeyHeaders changes the names of idempotency key headers to lower
// case. net/http retries a request by itself on a new connection if it finds
// such a header under its canonical name. Header names on the wire are not case
// sensitive, so the upstream still finds the key.
func lowercaseKeyHeaders(h http.Header) {
	for _, key := range []string{HeaderKey, "X-Idempotency-Key"} {
		if values, ok := h[key]; ok {
			delete(h, key)
			h[strings.ToLower(key)] = values
		}
	}
}
