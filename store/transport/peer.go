package transport

import (
	"crypto/tls"
	"net"
	"net/rpc"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"gooseberrypond/store/consensus"
)

// peer sends messages to one replica, in order and over one connection.
type peer struct {
	t    *RPC
	id   consensus.ID
	wake chan struct{}

	mu      sync.Mutex
	address string
	queue   []consensus.Message

	// The fields below are used only by the goroutine that executes run.
	// connectedTo is the address that client is connected to.
	conn        net.Conn
	client      *rpc.Client
	connectedTo string
	// failureLogged suppresses repeated log messages during one outage.
	failureLogged bool
}

// enqueue queues messages and records the current address of the replica.
func (p *peer) enqueue(address string, ms []consensus.Message) {
	p.mu.Lock()
	p.address = address
	if slices.ContainsFunc(ms, isOfFollower) {
		p.queue = slices.DeleteFunc(p.queue, isOfLeader)
	}
	p.queue = append(p.queue, ms...)
	if n := len(p.queue) - queueLimit; n > 0 {
		// Drop the oldest messages, which are of least use. The consensus core sends
		// lost entries and snapshot chunks again.
		p.queue = p.queue[n:]
	}
	p.mu.Unlock()
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// isOfFollower reports whether only a replica that does not lead sends the message.
func isOfFollower(m consensus.Message) bool {
	switch m.Kind {
	case consensus.MsgPreVote, consensus.MsgVote, consensus.MsgAppendReply, consensus.MsgSnapshotReply:
		return true
	}
	return false
}

// isOfLeader reports whether only a leader sends the message. One that arrives after its
// sender has given up leadership counts as contact with a leader, and delays an election.
func isOfLeader(m consensus.Message) bool {
	switch m.Kind {
	case consensus.MsgAppend, consensus.MsgSnapshot, consensus.MsgTimeoutNow:
		return true
	}
	return false
}

// nextBatch removes the next batch of messages from the queue.
func (p *peer) nextBatch() (string, []consensus.Message) {
	p.mu.Lock()
	defer p.mu.Unlock()
	n, size := 0, 0
	for n < min(len(p.queue), batchMessages) && (n == 0 || size < batchBytes) {
		size += messageBytes(&p.queue[n])
		n++
	}
	ms := p.queue[:n:n]
	p.queue = p.queue[n:]
	return p.address, ms
}

// messageBytes returns the size of the snapshot data and entry data in a message.
func messageBytes(m *consensus.Message) int {
	n := len(m.Data)
	for i := range m.Entries {
		n += len(m.Entries[i].Data)
	}
	return n
}

func (p *peer) run() {
	defer p.t.wg.Done()
	defer p.disconnect()
	for {
		select {
		case <-p.t.done:
			return
		case <-p.wake:
		}
		for address, ms := p.nextBatch(); len(ms) > 0; address, ms = p.nextBatch() {
			if err := p.call(address, ms); err != nil && !p.handleFailure(address, err) {
				return
			}
		}
	}
}

// handleFailure closes the connection after a failed call and waits for
// redialDelay. It returns false if the transport was closed.
func (p *peer) handleFailure(address string, err error) bool {
	p.disconnect()
	if !p.failureLogged {
		p.t.cfg.Logger.Warn().Err(err).Str("peer", p.id).Str("address", address).Msg("cannot send to replica")
	}
	p.failureLogged = true
	select {
	case <-p.t.done:
		return false
	case <-time.After(redialDelay):
		return true
	}
}

func (p *peer) call(address string, ms []consensus.Message) error {
	if err := p.connect(address); err != nil {
		return err
	}
	e := &Envelope{Version: FormatVersion, ClusterID: p.t.cfg.ClusterID, FromAddress: p.t.cfg.Advertise, Messages: ms}
	ack := new(Ack)
	call := p.client.Go(methodName, e, ack, make(chan *rpc.Call, 1))
	timer := time.NewTimer(callTimeout)
	defer timer.Stop()
	select {
	case <-call.Done:
	case <-timer.C:
		return errors.Newf("call did not return within %s", callTimeout)
	case <-p.t.done:
		return errors.New("transport is closed")
	}
	if call.Error != nil {
		return errors.Wrap(call.Error, "call")
	}
	if ack.Refused != "" {
		return errors.Newf("replica refused the message: %s", ack.Refused)
	}
	p.failureLogged = false
	return nil
}

func (p *peer) connect(address string) error {
	if p.client != nil && p.connectedTo == address {
		return nil
	}
	p.disconnect()
	d := &net.Dialer{Timeout: dialTimeout}
	var conn net.Conn
	var err error
	if p.t.cfg.TLS != nil {
		conn, err = tls.DialWithDialer(d, "tcp", address, p.t.cfg.TLS)
	} else {
		conn, err = d.Dial("tcp", address)
	}
	if err != nil {
		return errors.Wrap(err, "connect")
	}
	p.conn, p.client, p.connectedTo = conn, rpc.NewClient(conn), address
	return nil
}

func (p *peer) disconnect() {
	if p.client != nil {
		p.client.Close()
		p.conn, p.client = nil, nil
	}
}
