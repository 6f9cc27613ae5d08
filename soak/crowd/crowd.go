// Package crowd plays many clients at once that send requests of legal size and do not
// finish them, against one address of a running process, and measures the process.
package crowd

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Form is how the members of a crowd send their bodies.
type Form int

// Forms.
const (
	// Whole bodies are sent in one write.
	Whole Form = iota
	// Pieces of pieceBytes follow each other.
	Pieces
	// LargeChunks are chunks of largeChunkBytes, and SmallChunks of smallChunkBytes.
	LargeChunks
	SmallChunks
	// Raw requests have no HTTP header: the body is all that is sent.
	Raw
	// Unread requests are like Raw ones, but sent whole, and their answers are not read.
	Unread
)

// Forms has the forms of HTTP requests by name.
var Forms = map[string]Form{"whole": Whole, "pieces": Pieces, "large chunks": LargeChunks, "small chunks": SmallChunks}

const (
	pieceBytes      = 4 << 10
	largeChunkBytes = 32 << 10
	smallChunkBytes = 16
	// finishers is the fraction of the members, one in so many, that finish their requests.
	finishers = 8
	// unreadBuffer is what the kernel keeps of an answer that is not read.
	unreadBuffer = 16 << 10
	// rounds is how often a member connects, at most.
	rounds = 3
	// dialTimeout bounds one attempt to connect.
	dialTimeout = 5 * time.Second
)

// Options describe a crowd.
type Options struct {
	// Address is where its members connect.
	Address string
	Members int
	Form    Form
	// Head returns the request line and header lines of one request, without those that
	// say how long the body is. Requests have numbers from 0.
	Head func(request int) string
	// Body is the body of each request.
	Body []byte
	// NoneFinishes is set if all members stop short of the end of their requests, and
	// AllFinish if none does.
	NoneFinishes, AllFinish bool
}

// Answer is the answer to a request that a member finished. Status 0 means that there was
// none.
type Answer struct{ Request, Status int }

// Crowd is a running crowd.
type Crowd struct {
	o        Options
	requests atomic.Int64
	// pressing is the number of members that still connect, write, or wait for the answers
	// to finished requests.
	pressing atomic.Int64
	stop     chan struct{}
	wg       sync.WaitGroup

	mu      sync.Mutex
	conns   map[net.Conn]bool
	answers []Answer
}

// Start starts a crowd. Stop must be called.
func Start(o Options) *Crowd {
	c := &Crowd{o: o, stop: make(chan struct{}), conns: map[net.Conn]bool{}}
	c.pressing.Store(int64(o.Members))
	for i := range o.Members {
		c.wg.Go(func() { c.member(i) })
	}
	return c
}

// Press waits until no member has more to send and finished requests are answered, for at
// most the given time: a process may stop reading for good.
func (c *Crowd) Press(most time.Duration) {
	for end := time.Now().Add(most); c.pressing.Load() > 0 && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
}

// Open returns the number of open connections.
func (c *Crowd) Open() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.conns)
}

// Stop closes all connections and returns the answers.
func (c *Crowd) Stop() []Answer {
	close(c.stop)
	c.mu.Lock()
	for conn := range c.conns {
		conn.Close()
	}
	c.mu.Unlock()
	c.wg.Wait()
	return c.answers
}

// member connects again when its connection is closed, up to rounds times.
func (c *Crowd) member(i int) {
	defer c.pressing.Add(-1)
	finishes := c.o.AllFinish || i%finishers == 0 && !c.o.NoneFinishes
	for range rounds {
		select {
		case <-c.stop:
			return
		default:
		}
		c.request(finishes)
	}
}

// request sends one request and returns when the connection has ended.
func (c *Crowd) request(finish bool) {
	conn, err := net.DialTimeout("tcp", c.o.Address, dialTimeout)
	if err != nil || !c.track(conn) {
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok && c.o.Form == Unread {
		_ = tcp.SetReadBuffer(unreadBuffer) // a larger one would only take more of the answer
	}
	defer c.untrack(conn)
	n := int(c.requests.Add(1)) - 1
	if c.o.Form == Unread {
		c.leaveUnread(conn, n)
		return
	}
	answer := make(chan int, 1)
	go func() { answer <- readStatus(conn) }()
	if err := c.send(conn, n, finish); err == nil && !finish {
		c.pressing.Add(-1)
		defer c.pressing.Add(1)
	}
	status := <-answer
	if !finish {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answers = append(c.answers, Answer{n, status})
}

// leaveUnread sends a request and keeps the connection open until the crowd stops.
func (c *Crowd) leaveUnread(conn net.Conn, n int) {
	if err := c.send(conn, n, true); err != nil {
		return
	}
	c.pressing.Add(-1)
	defer c.pressing.Add(1)
	<-c.stop
}

// readStatus waits for an answer or the end of the connection.
func readStatus(conn net.Conn) int {
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, resp.Body) // only the status is judged
	return resp.StatusCode
}

// send writes a request, but for its last byte unless finish is set.
func (c *Crowd) send(w io.Writer, n int, finish bool) error {
	text := c.encode(n)
	if !finish {
		text = text[:len(text)-1]
	}
	if c.o.Form == Whole || c.o.Form == LargeChunks {
		_, err := w.Write(text)
		return err
	}
	for len(text) > 0 {
		piece := text[:min(pieceBytes, len(text))]
		if _, err := w.Write(piece); err != nil {
			return err
		}
		text = text[len(piece):]
	}
	return nil
}

// encode returns a request as it is on the wire.
func (c *Crowd) encode(n int) []byte {
	var b bytes.Buffer
	switch c.o.Form {
	case Raw, Unread:
		return c.o.Body
	case LargeChunks:
		c.encodeChunks(&b, n, largeChunkBytes)
	case SmallChunks:
		c.encodeChunks(&b, n, smallChunkBytes)
	default:
		fmt.Fprintf(&b, "%sContent-Length: %d\r\n\r\n", c.o.Head(n), len(c.o.Body))
		b.Write(c.o.Body)
	}
	return b.Bytes()
}

func (c *Crowd) encodeChunks(b *bytes.Buffer, n, size int) {
	fmt.Fprintf(b, "%sTransfer-Encoding: chunked\r\n\r\n", c.o.Head(n))
	for rest := c.o.Body; len(rest) > 0; {
		chunk := rest[:min(size, len(rest))]
		fmt.Fprintf(b, "%x\r\n%s\r\n", len(chunk), chunk)
		rest = rest[len(chunk):]
	}
	b.WriteString("0\r\n\r\n")
}

func (c *Crowd) track(conn net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case <-c.stop:
		conn.Close()
		return false
	default:
	}
	c.conns[conn] = true
	return true
}

func (c *Crowd) untrack(conn net.Conn) {
	conn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.conns, conn)
}
