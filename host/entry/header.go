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
	// HeaderReplayed marks an answer that was recorded earlier.
	HeaderReplayed = "Idempotent-Replayed"
	// HeaderRequestID names the request in logs and at the upstream.
	HeaderRequestID = "X-Request-Id"
)

// hopByHop are the headers that concern one connection only (RFC 9110, 7.6.1).
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// notForwarded are the headers that the entry host uses up: the token is the
// entry host's to check, and the body is complete before it is sent.
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

// connectionNamed returns the headers that Connection lists.
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
		h["User-Agent"] = nil // or net/http adds its own
	}
	if !req.Idempotent {
		hideKeys(h)
	}
	return h
}

// hideKeys writes idempotency keys in lower case. net/http repeats a request
// on its own on a fresh connection when it finds such a key under its
// canonical name; header names on the wire are not case sensitive.
func hideKeys(h http.Header) {
	for _, key := range []string{HeaderKey, "X-Idempotency-Key"} {
		if values, ok := h[key]; ok {
			delete(h, key)
			h[strings.ToLower(key)] = values
		}
	}
}
