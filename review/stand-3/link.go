package main

import (
	"net"
	"sync"
	"time"
)

const (
	// linkDelay is the time that bytes take one way: that between the zones of the site.
	linkDelay = 1400 * time.Microsecond
	// linkBuffer is the most that one read takes from a connection.
	linkBuffer = 64 << 10
)

// link stands for the way from one host to another. While it is cut, what is sent waits, as
// the sender's kernel would send it again later.
type link struct {
	to string
	ln net.Listener

	mu   sync.Mutex
	open *sync.Cond
	cut  bool
}

// newLink listens on an address and passes on what comes to another one.
func newLink(at, to string) (*link, error) {
	ln, err := net.Listen("tcp", at)
	if err != nil {
		return nil, err
	}
	l := &link{to: to, ln: ln}
	l.open = sync.NewCond(&l.mu)
	go l.accept()
	return l, nil
}

func (l *link) setCut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
	l.open.Broadcast()
}

// wait returns when the link isn't cut.
func (l *link) wait() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.cut {
		l.open.Wait()
	}
}

func (l *link) accept() {
	for {
		near, err := l.ln.Accept()
		if err != nil {
			return // the case is over
		}
		go func() {
			l.wait()
			far, err := net.Dial("tcp", l.to)
			if err != nil {
				near.Close()
				return
			}
			go l.pass(near, far)
			l.pass(far, near)
		}()
	}
}

// pass passes on the bytes of one direction, and then its end.
func (l *link) pass(from, to net.Conn) {
	defer to.Close()
	buffer := make([]byte, linkBuffer)
	for {
		n, err := from.Read(buffer)
		time.Sleep(linkDelay)
		l.wait()
		if _, werr := to.Write(buffer[:n]); werr != nil || err != nil {
			from.Close()
			return
		}
	}
}
