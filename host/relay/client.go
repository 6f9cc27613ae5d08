package relay

import (
	"context"
	"math/rand/v2"
	"net"
	"net/rpc"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"gooseberrypond/core/graph"
	"gooseberrypond/core/outage"
	"gooseberrypond/host/arrival"
	"gooseberrypond/host/dispatcher"
	"gooseberrypond/store/clock"
)

const (
	// pingInterval is how often the leader is asked whether it still leads.
	// Together with pingTimeout it bounds how long a call waits for a leader
	// that does not answer.
	pingInterval = 250 * time.Millisecond
	// pingTimeout is several times the delay of the slowest link plus the
	// scheduling delay of a busy processor.
	pingTimeout = 350 * time.Millisecond
	// dialTimeout bounds connecting to a control host.
	dialTimeout = 300 * time.Millisecond
	// searchRetryInterval is the pause between two searches for the leader.
	searchRetryInterval = 50 * time.Millisecond
	// defaultPatience is the time that a caller without a deadline is assumed to have.
	defaultPatience = time.Second
)

// Errors returned by calls to the leader.
var (
	// ErrNoLeader means that no control host is known to lead; nothing was sent.
	ErrNoLeader = errors.New("no control host is known to lead")
	// ErrTooLate means that the caller has too little time left for an answer; nothing was
	// sent.
	ErrTooLate = errors.New("too little time left for an answer")
	// ErrCallerGone means that the caller has closed its connection; nothing was sent.
	ErrCallerGone = errors.New("the caller has closed its connection")
	// ErrNoAnswer means that the call was sent and may or may not take effect.
	ErrNoAnswer = errors.New("no answer from the leader")
)

// Client calls the leader of the control hosts. It is safe for concurrent use.
type Client struct {
	// seeds returns the relay addresses of the control hosts in the settings.
	seeds  func() []string
	logger zerolog.Logger

	mu     sync.Mutex
	conns  map[string]*rpc.Client
	leader string
	term   uint64
	// changed is closed and replaced whenever leader changes, and when the same
	// address leads in a new term.
	changed chan struct{}
	// hosts are the relay addresses learned from control hosts.
	hosts []string
	// lastInfo is the latest answer of a leader, and lastInfoAt when it arrived.
	lastInfo   Info
	lastInfoAt time.Time
	// absences has when a leader last answered and how long recoveries took.
	absences outage.Tracker
	// asked are the hosts that a search has asked and that have not answered yet.
	asked map[string]bool
	// searchNow starts the next check or search without delay.
	searchNow chan struct{}
	// beats collects heartbeat reports; nil if there are none.
	beats *beatBatch
	// local is this host's own server; nil if it has none.
	local atomic.Pointer[localHost]
	// sinceBoot reads the clock that also counts suspensions of the machine.
	sinceBoot func() time.Time
}

// NewClient returns a client; Run must be running for its calls to succeed.
func NewClient(seeds func() []string, logger zerolog.Logger) *Client {
	return &Client{
		seeds: seeds, logger: logger, conns: map[string]*rpc.Client{}, asked: map[string]bool{},
		changed: make(chan struct{}), searchNow: make(chan struct{}, 1), sinceBoot: clock.Now,
	}
}

// Run finds the leader and checks it periodically until ctx ends.
func (c *Client) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-c.searchNow:
		}
		if c.checkLeader(ctx) {
			timer.Reset(pingInterval)
		} else {
			timer.Reset(searchRetryInterval)
		}
	}
}

// checkLeader asks the known leader whether it still leads. If it does not,
// checkLeader searches for the new leader. It reports whether a leader is known.
func (c *Client) checkLeader(ctx context.Context) bool {
	leader, _ := c.currentLeader()
	if leader != "" {
		if info, err := c.info(ctx, leader); err == nil && info.Leading {
			c.setLeader(leader, info)
			return true
		}
		c.clearLeader(leader)
	}
	return c.findLeader(ctx)
}

// findLeader asks all known control hosts which of them leads, and waits a little for
// their answers. It reports whether a leader is known. A host that does not answer holds
// up no other: it is asked again once its call has ended, the others at the next search.
func (c *Client) findLeader(ctx context.Context) bool {
	_, changed := c.currentLeader()
	for _, a := range c.unaskedHosts() {
		go c.askWhetherLeading(ctx, a)
	}
	timer := time.NewTimer(searchRetryInterval)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
	leader, _ := c.currentLeader()
	return leader != ""
}

// unaskedHosts returns the control hosts that no search is asking, and marks them as
// asked.
func (c *Client) unaskedHosts() []string {
	hosts := c.candidates()
	c.mu.Lock()
	defer c.mu.Unlock()
	hosts = slices.DeleteFunc(hosts, func(a string) bool { return c.asked[a] })
	for _, a := range hosts {
		c.asked[a] = true
	}
	return hosts
}

func (c *Client) askWhetherLeading(ctx context.Context, address string) {
	info, err := c.info(ctx, address)
	c.mu.Lock()
	delete(c.asked, address)
	c.mu.Unlock()
	if err != nil {
		return
	}
	c.setHosts(info.Hosts)
	if info.Leading {
		c.setLeader(address, info)
	}
}

// candidates returns the addresses of all control hosts that may lead. A control host
// also knows those of its own group, which after a restart may be the only ones: the
// seeds may all have been replaced.
func (c *Client) candidates() []string {
	var own []string
	if local := c.local.Load(); local != nil {
		own = append(local.server.group.Info().Hosts, local.address)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	out := slices.Concat(c.seeds(), c.hosts, own)
	slices.Sort(out)
	return slices.Compact(out)
}

func (c *Client) setHosts(hosts []string) {
	if len(hosts) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hosts = hosts
}

func (c *Client) info(ctx context.Context, address string) (Info, error) {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	return callHost[Info](ctx, c, address, "Info", &None{}, nil)
}

// setLeader records a leader and its term. It keeps the known leader if that has a
// higher term, but takes the hosts and the time of contact in any case.
func (c *Client) setLeader(address string, info Info) {
	c.mu.Lock()
	defer c.mu.Unlock()
	away := c.absences.Contact(time.Now())
	c.hosts = info.Hosts
	c.lastInfo, c.lastInfoAt = info, time.Now()
	if c.leader == address && c.term == info.Term {
		return
	}
	if info.Term < c.term && c.leader != "" {
		return
	}
	c.logger.Info().Str("leader", address).Uint64("term", info.Term).Dur("away", away).Msg("leader found")
	c.leader, c.term = address, info.Term
	close(c.changed)
	c.changed = make(chan struct{})
}

func (c *Client) clearLeader(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader != address {
		return
	}
	c.logger.Warn().Str("leader", address).Uint64("term", c.term).Msg("leader lost: searching for a new one")
	c.leader = ""
	c.absences.Lost()
	close(c.changed)
	c.changed = make(chan struct{})
}

func (c *Client) currentLeader() (leader string, changed chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leader, c.changed
}

// Leader returns the relay address of the leader; empty if none is known.
func (c *Client) Leader() string {
	leader, _ := c.currentLeader()
	return leader
}

// LastLeaderInfo returns the latest answer of a leader and its age. The term is 0 if none
// has answered.
func (c *Client) LastLeaderInfo() (info Info, age time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastInfo, time.Since(c.lastInfoAt)
}

// SinceLeaderContact returns the time since a leader last answered, or the maximum
// duration if none has answered yet.
func (c *Client) SinceLeaderContact() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.absences.LastContact().IsZero() {
		return 1<<63 - 1
	}
	return time.Since(c.absences.LastContact())
}

// RetryAfter returns when a caller that was refused for lack of a leader should come
// back, in seconds. The caller gives up after left.
func (c *Client) RetryAfter(left time.Duration) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.absences.RetryAfter(time.Now(), left, rand.Float64())
}

// Recoveries returns how many recoveries this host has seen, of those that count for its
// estimate, and the length of the last.
func (c *Client) Recoveries() (n int, last time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.absences.Recoveries()
}

// leaderWait returns how much longer a call that began at the given time waits for a
// leader.
func (c *Client) leaderWait(ctx context.Context, began time.Time, sent bool) time.Duration {
	now, left := time.Now(), defaultPatience
	if deadline, ok := ctx.Deadline(); ok {
		left = deadline.Sub(now)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.absences.Wait(now, outage.Call{Left: left, Waited: now.Sub(began), Sent: sent})
}

// errLeaderChanged ends a call whose host no longer leads.
var errLeaderChanged = errors.New("leader changed during the call")

// callHost calls a method on one control host. It returns early with
// errLeaderChanged when changed is closed; nil never is. A call to the leader, which has
// changed, leaves its connection open when its own time is over: the checks of the leader
// judge the connection, which other calls share. The reply is read only
// after the call has completed, since net/rpc may decode a late answer after
// callHost has returned.
func callHost[R any](ctx context.Context, c *Client, address, method string, args any, changed <-chan struct{}) (R, error) {
	var none R
	conn, err := c.connect(ctx, address)
	if err != nil {
		return none, err
	}
	reply, done := new(R), make(chan *rpc.Call, 1)
	go conn.Go(serviceName+"."+method, args, reply, done) // sending blocks while the connection is silent
	select {
	case call := <-done:
		if call.Error == nil {
			return *reply, nil
		}
		if isTransportError(call.Error) {
			c.closeConn(address, conn)
		}
		return none, call.Error
	case <-changed:
		return none, errLeaderChanged
	case <-ctx.Done():
		if changed == nil && errors.Is(ctx.Err(), context.DeadlineExceeded) {
			c.closeConn(address, conn) // the host may never answer on this connection
		}
		return none, ctx.Err()
	}
}

// isTransportError reports whether err comes from the connection rather than from
// the called method.
func isTransportError(err error) bool {
	var server rpc.ServerError
	return err != nil && !errors.As(err, &server)
}

func (c *Client) connect(ctx context.Context, address string) (*rpc.Client, error) {
	c.mu.Lock()
	conn := c.conns[address]
	c.mu.Unlock()
	if conn != nil {
		return conn, nil
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "connect to control host %s", address)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if other := c.conns[address]; other != nil {
		raw.Close()
		return other, nil
	}
	conn = rpc.NewClient(raw)
	c.conns[address] = conn
	return conn, nil
}

func (c *Client) closeConn(address string, conn *rpc.Client) {
	c.mu.Lock()
	if c.conns[address] == conn {
		delete(c.conns, address)
	}
	c.mu.Unlock()
	conn.Close()
}

// callLeader calls a method on the leader. If the leader changes, it repeats the
// call on the new leader until ctx ends or no leader is found in time; all
// methods are idempotent. After an attempt that was sent and not answered, a refusal of
// a later one does not mean that nothing was done, and its outcome is unknown, unless
// the answer is final.
func (c *Client) callLeader(ctx context.Context, method string, args any) (dispatcher.Answer, error) {
	sent, began := false, time.Now()
	for {
		leader, changed := c.currentLeader()
		if leader == "" {
			if err := c.waitForLeaderChange(ctx, changed, c.leaderWait(ctx, began, sent)); err != nil {
				return dispatcher.Answer{}, callError(sent)
			}
			continue
		}
		if !sent {
			if err := checkCaller(ctx); err != nil {
				return dispatcher.Answer{}, err
			}
		}
		r, err := c.callLeaderOnce(ctx, changed, leader, method, args)
		sent = sent || err != nil && !errors.Is(err, errNotSent)
		switch {
		case err != nil && ctx.Err() != nil:
			// The caller's time is over or it has left, which tells nothing about the leader.
			return dispatcher.Answer{}, callError(sent)
		case err != nil && !isTransportError(err):
			// The method itself failed, and would fail again.
			return dispatcher.Answer{}, errors.Wrapf(ErrNoAnswer, "call %s: leader %s failed: %v", method, leader, err)
		case err == nil && r.Code != dispatcher.NotLeader:
			return c.outcomeOf(sent, leader, method, r.Answer)
		case errors.Is(err, errLeaderChanged):
			// The same host may have been found again meanwhile, in another term.
		default:
			c.clearLeader(leader)
			c.triggerSearch()
		}
	}
}

// outcomeOf returns the outcome of a call whose last attempt was answered. sent is set if
// an earlier attempt was sent and not answered.
func (c *Client) outcomeOf(sent bool, leader, method string, a dispatcher.Answer) (dispatcher.Answer, error) {
	if !sent || a.Final() {
		return a, nil
	}
	c.logger.Info().Str("call", method).Str("leader", leader).Stringer("code", a.Code).Str("reason", a.Reason).Uint64("version", a.Version).
		Msg("outcome is unknown: the call was refused after an attempt without an answer")
	return dispatcher.Answer{}, errors.Wrapf(ErrNoAnswer, "call %s: refused with %q after an attempt without an answer", method, a.Code)
}

// checkCaller returns an error if a call that is sent now would not be answered in time,
// or if nobody waits for its answer: the caller may have been told something else by now.
func checkCaller(ctx context.Context) error {
	deadline, ok := ctx.Deadline()
	switch {
	case ctx.Err() != nil || ok && time.Until(deadline) < outage.MinLeft:
		return ErrTooLate
	case arrival.CallerGone(ctx):
		return ErrCallerGone
	}
	return nil
}

// errNotSent marks the error of a call that was not sent.
var errNotSent = errors.New("not sent")

// callLeaderOnce sends a call to a host until it answers or stops leading. A call to
// this host itself does not use the network.
func (c *Client) callLeaderOnce(ctx context.Context, changed <-chan struct{}, address, method string, args any) (Reply, error) {
	if local := c.local.Load(); local != nil && local.address == address {
		a, err := local.server.execute(ctx, method, args)
		if err != nil {
			err = rpc.ServerError(err.Error()) // as over the network
		}
		return Reply{Answer: a}, err
	}
	if _, err := c.connect(ctx, address); err != nil {
		return Reply{}, errors.Mark(err, errNotSent)
	}
	return callHost[Reply](ctx, c, address, method, args, changed)
}

// localHost executes calls to this host.
type localHost struct {
	address string
	server  *Server
}

// SetLocal makes calls to the address of the server, which is this host's own, skip
// the network.
func (c *Client) SetLocal(address string, s *Server) {
	c.local.Store(&localHost{address, s})
}

// callError returns ErrNoAnswer if the call was sent, else ErrNoLeader.
func callError(sent bool) error {
	if sent {
		return ErrNoAnswer
	}
	return ErrNoLeader
}

// waitForLeaderChange waits until the leader changes. It fails after the given time.
func (c *Client) waitForLeaderChange(ctx context.Context, changed <-chan struct{}, wait time.Duration) error {
	c.triggerSearch()
	if wait <= 0 {
		return ErrNoLeader
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-changed:
		return nil
	case <-timer.C:
		return ErrNoLeader
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (c *Client) triggerSearch() {
	select {
	case c.searchNow <- struct{}{}:
	default:
	}
}

// Submit accepts a job. Like Cancel and Look, it carries the hash of the caller's key. All
// attempts of the call carry the same number, so that the leader knows the job that one of
// them has submitted.
func (c *Client) Submit(ctx context.Context, key graph.KeyHash, host, path string, spec graph.Spec) (dispatcher.Answer, error) {
	spec.Call = rand.Uint64()
	return c.callLeader(ctx, "Submit", &JobArgs{Key: key, Host: host, Path: path, Spec: spec})
}

// Cancel cancels a job.
func (c *Client) Cancel(ctx context.Context, key graph.KeyHash, host, path string) (dispatcher.Answer, error) {
	return c.callLeader(ctx, "Cancel", &JobArgs{Key: key, Host: host, Path: path})
}

// Look returns the state of a job, or the number of pending jobs of a queue.
func (c *Client) Look(ctx context.Context, key graph.KeyHash, host, path string) (dispatcher.Answer, error) {
	return c.callLeader(ctx, "Look", &JobArgs{Key: key, Host: host, Path: path})
}

// PutConfig commits a configuration.
func (c *Client) PutConfig(ctx context.Context, cfg *graph.Config) (dispatcher.Answer, error) {
	return c.callLeader(ctx, "PutConfig", &ConfigArgs{Config: *cfg})
}

// GetConfig returns the committed configuration.
func (c *Client) GetConfig(ctx context.Context) (dispatcher.Answer, error) {
	return c.callLeader(ctx, "GetConfig", &None{})
}

// Leave forwards a worker's notice that it has left.
func (c *Client) Leave(ctx context.Context, id string) (dispatcher.Answer, error) {
	return c.callLeader(ctx, "Leave", &LeaveArgs{ID: id})
}

// Info asks one control host for its view of the group.
func (c *Client) Info(ctx context.Context, address string) (Info, error) { return c.info(ctx, address) }

// Hosts returns the relay addresses of all known control hosts.
func (c *Client) Hosts() []string { return c.candidates() }

// LeaveGroup tells the leader that the host of a replica stops.
func (c *Client) LeaveGroup(ctx context.Context, leader, id string) error {
	_, err := callHost[None](ctx, c, leader, "LeaveGroup", &LeaveGroupArgs{ID: id}, nil)
	return err
}

// Join asks the leader to add a replica to the group.
func (c *Client) Join(ctx context.Context, leader, id, address string) error {
	_, err := callHost[None](ctx, c, leader, "Join", &JoinArgs{ID: id, Address: address}, nil)
	return err
}
