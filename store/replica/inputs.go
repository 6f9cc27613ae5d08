package replica

import (
	"sync"
	"time"

	"gooseberrypond/store/consensus"
)

// inputQueue queues the inputs of the event loop until its next iteration.
type inputQueue struct {
	wake chan struct{}
	// senderAddresses maps replicas to the address of their last message, which is
	// needed to reply to a replica that is not in the membership known here. It is
	// used by the loop only.
	senderAddresses map[consensus.ID]string

	mu     sync.Mutex
	closed error
	next   inputBatch
}

type inputBatch struct {
	messages  []consensus.Message
	addresses map[consensus.ID]string
	calls     []func(now time.Time) error
	reads     []*readRequest
	proposals []*proposal
}

func newInputQueue() *inputQueue {
	return &inputQueue{wake: make(chan struct{}, 1), senderAddresses: map[consensus.ID]string{}}
}

func (in *inputQueue) notify() {
	select {
	case in.wake <- struct{}{}:
	default:
	}
}

func (in *inputQueue) dequeue() inputBatch {
	in.mu.Lock()
	defer in.mu.Unlock()
	b := in.next
	in.next = inputBatch{}
	return b
}

// add calls f with the inputs of the next iteration and wakes the loop. After
// close it returns the reason given there, and does not call f.
func (in *inputQueue) add(f func(b *inputBatch)) error {
	in.mu.Lock()
	if in.closed != nil {
		in.mu.Unlock()
		return in.closed
	}
	f(&in.next)
	in.mu.Unlock()
	in.notify()
	return nil
}

// putBack requeues, ahead of newer ones, proposals that the loop dequeued but did
// not append.
func (in *inputQueue) putBack(ps []*proposal) {
	in.mu.Lock()
	in.next.proposals = append(ps, in.next.proposals...)
	in.mu.Unlock()
	in.notify()
}

// putBackCalls requeues, ahead of newer ones, calls that the loop dequeued but did
// not run.
func (in *inputQueue) putBackCalls(calls []func(now time.Time) error) {
	in.mu.Lock()
	in.next.calls = append(calls, in.next.calls...)
	in.mu.Unlock()
	in.notify()
}

// addMessages queues received messages. It drops those that exceed maxInbox: the
// senders send lost entries and snapshot chunks again.
func (in *inputQueue) addMessages(from string, ms []consensus.Message) {
	_ = in.add(func(b *inputBatch) { // messages to a closed replica are dropped
		n := min(len(ms), maxInbox-len(b.messages))
		if n <= 0 {
			return
		}
		b.messages = append(b.messages, ms[:n]...)
		if b.addresses == nil {
			b.addresses = map[consensus.ID]string{}
		}
		b.addresses[ms[0].From] = from
	})
}

// close refuses further inputs and fails the queued proposals and reads.
func (in *inputQueue) close(reason error) {
	in.mu.Lock()
	in.closed = reason
	b := in.next
	in.next = inputBatch{}
	in.mu.Unlock()
	for _, p := range b.proposals {
		p.finish(nil, reason)
	}
	for _, q := range b.reads {
		q.done <- reason
	}
}
