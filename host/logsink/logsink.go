// Package logsink is a log writer that never blocks. It has a bounded queue and a
// byte rate limit; lines that exceed either are dropped and counted.
package logsink

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// DefaultRate is the rate limit in bytes per second, about 4 MiB per minute.
	DefaultRate = 64 << 10
	// burstSeconds is the size of the token bucket in seconds of the rate limit.
	// It admits bursts, for example after an election.
	burstSeconds = 4
	// maxQueuedLines bounds the lines that wait to be written to the output.
	maxQueuedLines = 2048
	// reportInterval is how long dropped lines are counted before a log line
	// reports their number.
	reportInterval = time.Second
)

// Sink is an io.Writer that expects one log line per Write and never blocks.
type Sink struct {
	out  io.Writer
	rate float64
	now  func() time.Time

	lines chan []byte
	done  chan struct{}

	mu         sync.Mutex
	tokens     float64
	refilledAt time.Time
	closed     bool
	// unreportedDrops counts the lines dropped since the last report.
	unreportedDrops uint64
	reportAt        time.Time
	// totalDropped counts the lines dropped by Write since the start.
	totalDropped uint64
}

// New returns a sink that writes at most rate bytes per second to out.
func New(out io.Writer, rate int) *Sink { return newSink(out, rate, time.Now) }

func newSink(out io.Writer, rate int, now func() time.Time) *Sink {
	s := &Sink{
		out: out, rate: float64(rate), now: now, tokens: float64(rate) * burstSeconds, refilledAt: now(),
		lines: make(chan []byte, maxQueuedLines), done: make(chan struct{}),
	}
	go s.run()
	return s
}

func (s *Sink) run() {
	defer close(s.done)
	for line := range s.lines {
		if _, err := s.out.Write(line); err != nil {
			s.mu.Lock()
			s.unreportedDrops++ // reported once the output can be written again
			s.mu.Unlock()
		}
	}
}

// Write queues one line or drops it. It always reports success.
func (s *Sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return len(line), nil
	}
	now := s.now()
	s.tokens = min(s.rate*burstSeconds, s.tokens+now.Sub(s.refilledAt).Seconds()*s.rate)
	s.refilledAt = now
	if s.unreportedDrops > 0 && !now.Before(s.reportAt) {
		report := fmt.Appendf(nil, "{\"level\":\"warn\",\"dropped\":%d,\"message\":\"log lines were dropped\"}\n", s.unreportedDrops)
		if s.enqueue(report) {
			s.unreportedDrops = 0
		}
	}
	if s.tokens < float64(len(line)) || !s.enqueue(append([]byte(nil), line...)) {
		s.countDropped(now)
	}
	return len(line), nil
}

// countDropped counts a dropped line. The report is delayed by reportInterval so
// that one report covers all lines of a burst.
func (s *Sink) countDropped(now time.Time) {
	if s.unreportedDrops == 0 {
		s.reportAt = now.Add(reportInterval)
	}
	s.unreportedDrops++
	s.totalDropped++
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

// Dropped returns the number of lines dropped by Write since the start.
func (s *Sink) Dropped() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.totalDropped
}

// Close stops accepting lines and waits up to wait until the queue is written.
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
