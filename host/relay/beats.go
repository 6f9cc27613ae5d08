package relay

import (
	"context"
	"time"

	"gooseberrypond/core/graph"
	"gooseberrypond/host/dispatcher"
)

const (
	// beatDelay is how long a heartbeat report waits for others to be forwarded with
	// it. Workers wait a second for their acknowledgement.
	beatDelay = 20 * time.Millisecond
	// maxBeats limits the reports in one call.
	maxBeats = 128
	// beatTimeout bounds a call with reports. Workers then turn to another host.
	beatTimeout = 900 * time.Millisecond
)

// BeatsArgs carries the heartbeat reports of several workers.
type BeatsArgs struct{ Reports []graph.WorkerReport }

// beatBatch collects reports until they are forwarded.
type beatBatch struct {
	reports []graph.WorkerReport
	// done is closed once answer, which holds for all reports, and err are set.
	done   chan struct{}
	answer dispatcher.Answer
	err    error
}

// Beat forwards a worker's heartbeat report, together with others that arrive at
// about the same time.
func (c *Client) Beat(ctx context.Context, r graph.WorkerReport) (dispatcher.Answer, error) {
	b := c.addBeat(r)
	select {
	case <-b.done:
		return b.answer, b.err
	case <-ctx.Done():
		return dispatcher.Answer{}, ErrNoAnswer
	}
}

// addBeat adds a report to the open batch.
func (c *Client) addBeat(r graph.WorkerReport) *beatBatch {
	c.mu.Lock()
	defer c.mu.Unlock()
	b := c.beats
	if b == nil {
		b = &beatBatch{done: make(chan struct{})}
		c.beats = b
		time.AfterFunc(beatDelay, func() { c.sendBeats(b) })
	}
	b.reports = append(b.reports, r)
	if len(b.reports) >= maxBeats {
		c.beats = nil // the next report opens another batch
	}
	return b
}

func (c *Client) sendBeats(b *beatBatch) {
	c.mu.Lock()
	if c.beats == b {
		c.beats = nil
	}
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), beatTimeout)
	defer cancel()
	defer close(b.done)
	b.answer, b.err = c.callLeader(ctx, "Beats", &BeatsArgs{Reports: b.reports})
}
