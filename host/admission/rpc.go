package admission

import (
	"bufio"
	"encoding/gob"
	"io"
	"net"
	"net/rpc"
	"sync"

	"github.com/cockroachdb/errors"
)

// callBytes is counted for each call beside its messages: it has a goroutine of its own.
const callBytes = 4 << 10

// ServeRPC answers the calls on a connection of the port until it is closed. A message above
// the limit ends it, as does one for which the port has no room.
func (p *Port) ServeRPC(srv *rpc.Server, raw net.Conn) {
	c := connOf(raw)
	c.inBody.Store(true) // the messages are counted, not the reads
	out := bufio.NewWriter(raw)
	calls := &callTable{conn: c, inProgress: map[uint64]int64{}}
	srv.ServeCodec(&codec{
		conn: raw, calls: calls, out: out, enc: gob.NewEncoder(out),
		dec: gob.NewDecoder(&messageReader{from: bufio.NewReader(raw), limit: p.limits.MessageBytes, calls: calls}),
	})
}

// codec is the gob codec of net/rpc. It counts the calls in progress.
type codec struct {
	conn  net.Conn
	calls *callTable
	dec   *gob.Decoder
	out   *bufio.Writer
	enc   *gob.Encoder
	close sync.Once
	// seq is the number of the call that is being read.
	seq uint64
}

// ReadRequestHeader implements rpc.ServerCodec.
func (c *codec) ReadRequestHeader(r *rpc.Request) error {
	err := c.dec.Decode(r)
	c.seq = r.Seq
	return c.closeAfter(err)
}

// ReadRequestBody implements rpc.ServerCodec.
func (c *codec) ReadRequestBody(body any) error {
	err := c.dec.Decode(body)
	if counted := c.calls.begin(c.seq); err == nil {
		err = counted
	}
	return err
}

// closeAfter closes the connection if no further call can be read. net/rpc would first wait for
// the calls in progress, and the host on the other side for answers that do not come.
func (c *codec) closeAfter(err error) error {
	if err == nil || err == io.EOF {
		return err
	}
	return errors.CombineErrors(err, c.Close())
}

// WriteResponse implements rpc.ServerCodec. After an error the connection is of no use: a
// part of the answer may be on it.
func (c *codec) WriteResponse(r *rpc.Response, body any) error {
	c.calls.release(r.Seq) // the next call may arrive as soon as the answer is sent
	defer c.calls.end(r.Seq)
	err := c.enc.Encode(r)
	if err == nil {
		err = c.enc.Encode(body)
	}
	if err == nil {
		err = c.out.Flush()
	}
	if err != nil {
		return errors.CombineErrors(err, c.Close())
	}
	return nil
}

// Close implements rpc.ServerCodec.
func (c *codec) Close() (err error) {
	c.close.Do(func() { err = c.conn.Close() })
	return err
}

// callTable counts the calls of a connection.
type callTable struct {
	conn *conn

	mu sync.Mutex
	// inProgress has what is counted for each call that has arrived, by its number.
	inProgress map[uint64]int64
	// arriving is what is counted for the call that is being read.
	arriving int64
	// last is what is counted for the last call once it has ended, if its message was
	// large: the decoder keeps it until the next one.
	last int64
	// partial is set while a call is being read.
	partial bool
}

// message counts a message that begins.
func (t *callTable) message(length int64) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.conn.port
	p.release(t.conn, t.last)
	t.last = 0
	if !t.partial {
		t.partial, length = true, length+callBytes
	}
	t.update()
	if err := p.hold(t.conn, length); err != nil {
		return err
	}
	t.arriving += length
	return nil
}

// begin records that a call has arrived.
func (t *callTable) begin(seq uint64) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, twice := t.inProgress[seq]; twice {
		return errors.Newf("call %d is in progress", seq)
	}
	t.inProgress[seq], t.arriving, t.partial = t.arriving, 0, false
	t.update()
	return nil
}

// release ends the counting of a call whose answer is about to be sent, but for a large
// message that the decoder still keeps: it does until the next message begins.
func (t *callTable) release(seq uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	n, p := t.inProgress[seq], t.conn.port
	t.inProgress[seq] = 0
	if kept := n - callBytes; kept > freeBytes && !t.partial {
		p.release(t.conn, t.last+callBytes)
		t.last = kept
		return
	}
	p.release(t.conn, n)
}

// end records that a call has been answered.
func (t *callTable) end(seq uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.inProgress, seq)
	t.update()
}

// update sets the connection's state. A call in progress is not cut off for another client.
// The caller must hold t.mu.
func (t *callTable) update() {
	next := idle
	switch {
	case len(t.inProgress) > 0:
		next = answering
	case t.partial:
		next = receiving
	}
	if t.conn.state.load() != next {
		t.conn.port.enter(t.conn, next)
	}
}

// messageReader passes on a stream of gob messages and looks at their lengths.
type messageReader struct {
	from  *bufio.Reader
	limit int64
	calls *callTable
	// prefix is the rest of the length of the message, and left that of the message.
	prefix []byte
	left   int64
	// failed is why no further message is read.
	failed error
}

// Read implements io.Reader.
func (m *messageReader) Read(b []byte) (int, error) {
	if len(m.prefix) == 0 && m.left == 0 && m.failed == nil {
		m.failed = m.begin()
	}
	if m.failed != nil {
		return 0, m.failed
	}
	if len(m.prefix) > 0 {
		n := copy(b, m.prefix)
		m.prefix = m.prefix[n:]
		return n, nil
	}
	n, err := m.from.Read(b[:min(int64(len(b)), m.left)])
	m.left -= int64(n)
	return n, err
}

// Limits of the length of a gob message: one byte if it is at most maxShortLength, else the
// negated number of the bytes that follow, and these.
const (
	maxShortLength  = 0x7f
	maxLengthBytes  = 8
	lengthByteRange = 0x100
)

// begin reads the length of the next message.
func (m *messageReader) begin() error {
	first, err := m.from.ReadByte()
	if err != nil {
		return err
	}
	m.prefix, m.left = []byte{first}, int64(first)
	if first > maxShortLength {
		if err := m.readLength(lengthByteRange - int(first)); err != nil {
			return err
		}
	}
	if m.left > m.limit {
		return errors.Newf("message of %d bytes, at most %d are allowed", m.left, m.limit)
	}
	return m.calls.message(m.left)
}

func (m *messageReader) readLength(size int) error {
	if size > maxLengthBytes {
		return errors.Newf("length of a message in %d bytes", size)
	}
	rest := make([]byte, size)
	if _, err := io.ReadFull(m.from, rest); err == io.EOF {
		return io.ErrUnexpectedEOF
	} else if err != nil {
		return err
	}
	m.prefix, m.left = append(m.prefix, rest...), 0
	for _, b := range rest {
		if m.left > m.limit {
			break // one more byte could exceed the type
		}
		m.left = m.left<<8 | int64(b)
	}
	return nil
}
