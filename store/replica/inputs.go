package replica

import (
	"sync"
	"time"

	"gooseberrypond/store/consensus"
)

// inputs collects what the loop is to handle in its next turn.
type inputs struct {
	wake chan struct{}
	// learned holds addresses of senders, for replies to replicas that are not
	// in the membership known here. It is used by the loop only.
	learned map[consensus.ID]string

	mu     sync.Mutex
	closed error
	next   turnInputs
}

type turnInputs struct {
	messages  []consensus.Message
	addresses map[consensus.ID]string
	calls     []func(now time.Time) error
	reads     []*readRequest
	proposals []*proposal
}

func newInputs() *inputs {
	return &inputs{wake: make(chan struct{}, 1), learned: map[consensus.ID]string{}}
}

func (in *inputs) notify() {
	select {
	case in.wake <- struct{}{}:
	default:
	}
}

func (in *inputs) take() turnInputs {
	in.mu.Lock()
	defer in.mu.Unlock()
	t := in.next
	in.next = turnInputs{}
	return t
}

// add runs f on the next turn's inputs; after close it returns the reason.
func (in *inputs) add(f func(t *turnInputs)) error {
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

// putBack returns proposals that the loop took but did not append.
func (in *inputs) putBack(ps []*proposal) {
	in.mu.Lock()
	in.next.proposals = append(ps, in.next.proposals...)
	in.mu.Unlock()
	in.notify()
}

// addMessages drops what exceeds maxInbox; senders repeat what was not answered.
func (in *inputs) addMessages(from string, ms []consensus.Message) {
	_ = in.add(func(t *turnInputs) { // a closed replica needs no messages
		n := min(len(ms), maxInbox-len(t.messages))
		if n <= 0 {
			return
		}
		t.messages = append(t.messages, ms[:n]...)
		if t.addresses == nil {
			t.addresses = map[consensus.ID]string{}
		}
		t.addresses[ms[0].From] = from
	})
}

// close refuses further inputs and answers those that wait.
func (in *inputs) close(reason error) {
	in.mu.Lock()
	in.closed = reason
	t := in.next
	in.next = turnInputs{}
	in.mu.Unlock()
	for _, p := range t.proposals {
		p.finish(nil, reason)
	}
	for _, q := range t.reads {
		q.done <- reason
	}
}
