package soak

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"gooseberrypond/platform/standin"
)

const (
	// heldTime is from when on a call counts as late in the trace.
	heldTime = 100 * time.Millisecond
	// forwardTime bounds the call that the proxy makes.
	forwardTime = 10 * time.Second
)

// link is what the proxy does to the calls between the control hosts and one worker.
type link struct {
	// calls and answers do not get through until the link is mended.
	calls, answers bool
	// lost drops what does not get through; otherwise it arrives when the link is mended.
	lost  bool
	reset bool // connections are reset
	delay time.Duration
	// keep lets calls that wait, and those that come while the process is gone, reach its
	// next life.
	keep bool
	// beats is what becomes of the worker's heartbeats.
	beats beats
}

func (l link) String() string {
	out := []string{}
	for word, is := range map[string]bool{"calls cut": l.calls, "answers cut": l.answers, "lost": l.lost, "reset": l.reset, "kept for the next life": l.keep, "heartbeats " + string(l.beats): l.beats != beatsArrive, fmt.Sprintf("delay %v", l.delay.Round(time.Millisecond)): l.delay > 0} {
		if is {
			out = append(out, word)
		}
	}
	slices.Sort(out)
	return "(" + strings.Join(out, ", ") + ")"
}

// beats is what becomes of heartbeats.
type beats string

const (
	beatsArrive     beats = ""
	beatsCut        beats = "cut"
	beatsUnanswered beats = "unanswered" // so each control host gets them
	beatsLate       beats = "late"       // one arrives when the link is mended
)

// worker is a stand-in worker behind its proxy, which passes calls on to the present life.
type worker struct {
	*standin.Worker
	ledger *ledger
	client *http.Client
	// busy is held while a fault uses the proxy.
	busy sync.Mutex

	mu   sync.Mutex
	link link
	// changed is closed when the link, the address or the life has changed.
	changed chan struct{}
	front   *http.Server
	conns   map[net.Conn]bool // of callers, open
	// address counts the addresses.
	address int
	// after is the number of calls to the present life after which the link becomes next.
	after    int
	next     *link
	lateBeat string
	starts   int // that have waited since the link was set
}

func newWorker(w *standin.Worker, l *ledger) (*worker, error) {
	p := &worker{Worker: w, ledger: l, client: &http.Client{Timeout: forwardTime, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}, changed: make(chan struct{}), conns: map[net.Conn]bool{}}
	return p, p.move()
}

// move gives the worker another address; nothing answers at the former one any more.
func (p *worker) move() error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrapf(err, "proxy of %s", p.ID)
	}
	p.mu.Lock()
	former := p.front
	p.address++
	address := p.address
	p.front = &http.Server{ReadHeaderTimeout: time.Second, ConnState: p.track, Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) { p.relay(rw, r, address) })}
	go func(s *http.Server) { _ = s.Serve(ln) }(p.front) // ends with the next move, or with end
	p.SetAddress(ln.Addr().String())
	p.wake()
	p.mu.Unlock()
	closeFront(former)
	return nil
}

// closeFront ends the server of an address to which nobody calls any more. Callers must not
// hold p.mu: it waits for connections that come in, and these are tracked under p.mu.
func closeFront(s *http.Server) {
	if s != nil {
		_ = s.Close() // it only accepts calls that nobody would get
	}
}

// end ends the worker and its proxy.
func (p *worker) end() {
	p.Close()
	p.mu.Lock()
	front := p.front
	p.address++
	p.wake()
	p.mu.Unlock()
	closeFront(front)
}

// wake lets calls that wait look again. The caller holds p.mu.
func (p *worker) wake() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// set changes the link at once.
func (p *worker) set(l link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.link, p.next, p.starts = l, nil, 0
	p.ledger.note(p.ID, fmt.Sprintf("link %v", l))
	p.wake()
}

// awaitStart waits for a start that the link holds up, for at most a time.
func (p *worker) awaitStart(limit time.Duration) {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(time.Millisecond) {
		p.mu.Lock()
		n := p.starts
		p.mu.Unlock()
		if n > 0 {
			return
		}
	}
}

// setAfter changes the link when some more calls have reached the present life.
func (p *worker) setAfter(calls int, l link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.after, p.next = calls, &l
}

// track keeps the set of the callers' connections.
func (p *worker) track(c net.Conn, state http.ConnState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch state {
	case http.StateNew:
		p.conns[c] = true
	case http.StateClosed, http.StateHijacked:
		delete(p.conns, c)
	}
}

// kill ends the present life. Connections to it break, unless the proxy keeps the calls
// that wait for the next one.
func (p *worker) kill() {
	p.Die()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.link.keep {
		return
	}
	for c := range p.conns {
		_ = c.Close() // the other end may have closed it
	}
	p.wake()
}

// revive begins the next life.
func (p *worker) revive() error {
	err := p.Return()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.wake()
	return err
}

// call is a call of a control host on its way to a worker.
type call struct {
	*standin.Call
	at      time.Time
	address int
	life    int // that went on when the call came
}

func (p *worker) relay(rw http.ResponseWriter, r *http.Request, address int) {
	c := &call{at: time.Now(), address: address}
	c.life, _, _ = p.Life()
	var err error
	if c.Call, err = standin.ReadCall(r); err != nil {
		panic(http.ErrAbortHandler)
	}
	target, life := p.pass(c)
	if target == "" {
		p.trace(c, "not delivered")
		reset(rw)
		return
	}
	name := standin.LifeOf(p.ID, life)
	if life != c.life {
		p.ledger.count("calls that reached a later life: " + c.Path)
	}
	if c.Task() != "" || time.Since(c.at) > heldTime {
		p.trace(c, "delivered to "+name)
	}
	status, answer := c.Send(p.client, target)
	if !p.back(c) || status == 0 {
		p.trace(c, fmt.Sprintf("%s answered %d, lost", name, status))
		reset(rw)
		return
	}
	rw.WriteHeader(status)
	_, _ = rw.Write(answer) // the caller may have gone
}

// pass waits until a call gets through and returns where the present life listens, or
// nothing if it never does.
func (p *worker) pass(c *call) (target string, life int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if d := p.link.delay; d > 0 {
		p.mu.Unlock()
		time.Sleep(d)
		p.mu.Lock()
	}
	lost := p.link.calls && p.link.lost
	if p.link.calls && c.IsStart() {
		p.starts++
	}
	for {
		life, target, up := p.Life()
		switch {
		case p.address != c.address, p.link.reset, lost && !p.link.calls, (!up || life != c.life) && !p.link.keep:
			return "", life
		case up && !p.link.calls:
			p.count()
			return target, life
		}
		p.wait()
	}
}

// count changes the link if this call is the last one before that. Its answer is the
// first thing that the new link meets. The caller holds p.mu.
func (p *worker) count() {
	if p.after--; p.next == nil || p.after > 0 {
		return
	}
	p.link, p.next = *p.next, nil
	p.ledger.note(p.ID, fmt.Sprintf("link %v", p.link))
	p.wake()
}

// wait waits for a change. The caller holds p.mu.
func (p *worker) wait() {
	changed := p.changed
	p.mu.Unlock()
	<-changed
	p.mu.Lock()
}

// back waits until an answer gets through and reports whether it does.
func (p *worker) back(c *call) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	lost := p.link.answers && p.link.lost
	for p.link.answers && p.address == c.address {
		p.wait()
	}
	return !lost && !p.link.reset && p.address == c.address
}

// reset breaks the connection of a call without an answer.
func reset(rw http.ResponseWriter) {
	conn, _, err := http.NewResponseController(rw).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // without it, Close ends the connection in order
	}
	_ = conn.Close() // the other end may have closed it
}

// trace notes what became of a call, for its task or else for the worker.
func (p *worker) trace(c *call, what string) {
	subject := c.Task()
	if subject == "" {
		subject = p.ID
	}
	p.ledger.note(subject, fmt.Sprintf("%v, sent at %.3f s in life %d: %s", c, c.at.Sub(p.ledger.began).Seconds(), c.life, what))
}

// beat sends a heartbeat to the first control host that takes it.
func (s *system) beat(i int, p *worker) {
	if _, _, up := p.Life(); !up {
		return
	}
	p.mu.Lock()
	how, body := p.link.beats, p.Heartbeat("pool")
	if how == beatsLate && p.lateBeat == "" {
		p.lateBeat = body // of a life that may be over when it arrives
	}
	p.mu.Unlock()
	if how == beatsCut || how == beatsLate {
		return
	}
	control := s.controls()
	for k := range control {
		status := s.client.Beat(control[(i+k)%len(control)].address(controlPort), p.ID, body).Status
		if status == http.StatusOK && how != beatsUnanswered {
			return
		}
	}
}

// mend makes the link sound again; a heartbeat that was held up arrives then.
func (s *system) mend(p *worker) {
	p.set(link{})
	p.mu.Lock()
	late := p.lateBeat
	p.lateBeat = ""
	p.mu.Unlock()
	if late != "" {
		s.client.Beat(s.controls()[0].address(controlPort), p.ID, late)
	}
}
