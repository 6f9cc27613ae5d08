package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// caller makes calls as clients and the operator do.
type caller struct {
	http http.Client
	host string
}

func newCaller(host string, timeout time.Duration) *caller {
	return &caller{http.Client{Timeout: timeout, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}, host}
}

// call makes one call. Status 0 means that there was no whole answer.
func (c *caller) call(method, address, path, body string) (status int, answer string) {
	req, err := http.NewRequestWithContext(context.Background(), method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	req.Host = c.host
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(data)
}

func jobID(n int) string { return fmt.Sprintf("%016x", 0x5eed000000000000+uint64(n)) }
