package logsink

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"
)

// blockedWriter is an output whose writes block until release is closed.
type blockedWriter struct{ release chan struct{} }

func (b blockedWriter) Write(p []byte) (int, error) {
	<-b.release
	return len(p), nil
}

// Guards against a process that stalls because the reader of its log output has
// stopped reading.
func TestWriteDoesNotBlockOnStalledOutput(t *testing.T) {
	b := blockedWriter{make(chan struct{})}
	s := New(b, 1<<30)
	done := make(chan struct{})
	go func() {
		for range 3 * maxQueuedLines {
			s.Write([]byte("line\n"))
		}
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(30 * time.Second):
		t.Fatal("writes block on a stalled output")
	}
	if s.Dropped() == 0 {
		t.Error("no line is counted as dropped")
	}
	close(b.release)
	s.Close(time.Second)
}

type syncBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (s *syncBuffer) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}

// Guards against a log volume that grows with the load, and against lines that
// are dropped without a report.
func TestRateLimitDropsAndReportsLines(t *testing.T) {
	var out syncBuffer
	now := time.Unix(1000, 0)
	s := newSink(&out, 100, func() time.Time { return now })
	line := []byte(strings.Repeat("x", 49) + "\n")
	for range 100 {
		s.Write(line)
	}
	now = now.Add(3 * time.Second)
	s.Write(line)
	s.Close(10 * time.Second)
	got := out.b.String()
	if n := strings.Count(got, "xxx\n"); n != 9 { // 400 bytes of burst, then one more
		t.Errorf("%d lines were written, want 9 within the rate limit", n)
	}
	if !strings.Contains(got, `"dropped":92`) {
		t.Errorf("the log does not report 92 dropped lines:\n%s", got)
	}
}
