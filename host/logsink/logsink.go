// Package logsink writes log lines without ever making their writer wait: a
// bounded buffer, a budget of bytes a second, and a count of what was left out.
package logsink

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// DefaultRate is the budget in bytes a second; a minute of it is 4 MiB.
	DefaultRate = 64 << 10
	// burstSeconds of the budget may be used at once, after an election for instance.
	burstSeconds = 4
	// queueLines bounds the lines that wait for the reader.
	queueLines = 2048
	// reportInterval is how long lines are counted before one says how many were left out.
	reportInterval = time.Second
)

// Sink is an io.Writer for one log line a call. Write never blocks.
type Sink struct {
	out  io.Writer
	rate float64
	now  func() time.Time

	lines chan []byte
	done  chan struct{}

	mu       sync.Mutex
	tokens   float64
	filledAt time.Time
	closed   bool
	// dropped counts the lines left out since the last report.
	dropped  uint64
	reportAt time.Time
	total    uint64
}

// New returns a sink that writes to out at most rate bytes a second.
func New(out io.Writer, rate int) *Sink { return newSink(out, rate, time.Now) }

func newSink(out io.Writer, rate int, now func() time.Time) *Sink {
	s := &Sink{
		out: out, rate: float64(rate), now: now, tokens: float64(rate) * burstSeconds, filledAt: now(),
		lines: make(chan []byte, queueLines), done: make(chan struct{}),
	}
	go s.run()
	return s
}

func (s *Sink) run() {
	defer close(s.done)
	for line := range s.lines {
		if _, err := s.out.Write(line); err != nil {
			s.mu.Lock()
			s.dropped++ // nobody reads; said once somebody does
			s.mu.Unlock()
		}
	}
}

// Write takes one line, or leaves it out.
func (s *Sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return len(line), nil
	}
	now := s.now()
	s.tokens = min(s.rate*burstSeconds, s.tokens+now.Sub(s.filledAt).Seconds()*s.rate)
	s.filledAt = now
	if s.dropped > 0 && !now.Before(s.reportAt) {
		report := fmt.Appendf(nil, "{\"level\":\"warn\",\"dropped\":%d,\"message\":\"log lines were left out\"}\n", s.dropped)
		if s.enqueue(report) {
			s.dropped = 0
		}
	}
	if s.tokens < float64(len(line)) || !s.enqueue(append([]byte(nil), line...)) {
		s.drop(now)
	}
	return len(line), nil
}

// drop counts a line that is left out; the report follows a little later, so
// that it covers the lines that come with it.
func (s *Sink) drop(now time.Time) {
	if s.dropped == 0 {
		s.reportAt = now.Add(reportInterval)
	}
	s.dropped++
	s.total++
}

func (s *Sink) enqueue(line []byte) bool {
	select {
	case s.lines <- line:
		s.tokens -= float64(len(line))
		return true
	default:
		return false
	}
}

// Dropped returns the number of lines left out since the start.
func (s *Sink) Dropped() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.total
}

// Close writes what waits, for at most wait.
func (s *Sink) Close(wait time.Duration) {
	s.mu.Lock()
	if !s.closed {
		s.closed = true
		close(s.lines)
	}
	s.mu.Unlock()
	select {
	case <-s.done:
	case <-time.After(wait):
	}
}
