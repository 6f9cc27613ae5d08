// Command stand plays the scripts of the review: it starts a small deployment of the
// project's own programs on loopback addresses, with stand-ins for minions, clients and
// the operator, brings one disruption about and judges what the stand-ins have seen.
//
//	stand SCENARIO RECORD
//
// It exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
// With TROUBLE=0 in the environment it does the same without the disruption.
package main

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"gooseberrypond/platform/standin"
)

const (
	exitHeld, exitBroken, exitNotRun = 0, 1, 2
	// leaseMS is the longest lease that a minion grants; the value is that of srt-pond.
	leaseMS       = 10000
	beatInterval  = 1100 * time.Millisecond
	callTimeout   = time.Second // after which minions and the operator move on
	clientTimeout = 3 * time.Second
	minionCPU     = 8000 // thousandths of a core
	metricsPort   = 9464 // fixed in the deploy file
	queue         = "/urgent/"
	pool          = "pool"
)

// scenario is one script.
type scenario struct {
	// control and entry are the numbers of hosts.
	control, entry int
	// play returns whether the rule was broken.
	play func(s *system, trouble bool) (broken bool)
}

var scenarios = map[string]*scenario{}

func main() {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand SCENARIO RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(play(scenarios[os.Args[1]], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

func play(run *scenario, recordPath string, trouble bool) (code int) {
	f, err := os.Create(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer f.Close()
	s := &system{control: run.control, entry: run.entry, record: f, began: time.Now(), running: map[string]map[place]bool{}, begun: map[string]int{}, doneNoted: map[string]bool{}, placesBegun: map[string]bool{}, failed: map[string]int{}}
	s.note("trouble: %v", trouble)
	defer s.end()
	defer func() {
		if p := recover(); p != nil {
			if _, own := p.(notRun); !own {
				panic(p)
			}
			s.note("the case could not run: %v", p)
			code = exitNotRun
		}
	}()
	s.start()
	broken := run.play(s, trouble)
	s.note("rule broken: %v", broken)
	if broken {
		return exitBroken
	}
	return exitHeld
}

// notRun ends a case that cannot run.
type notRun string

func giveUp(format string, args ...any) { panic(notRun(fmt.Sprintf(format, args...))) }

// system is the deployment with its stand-ins.
type system struct {
	control, entry int // numbers of hosts
	// sameID is set if minions keep their ids when they start again.
	sameID  bool
	record  io.Writer
	began   time.Time
	dir     string
	hosts   []*host
	client  *standin.Client
	clients http.Client
	// ending is set once the script ends its processes.
	ending atomic.Bool

	mu      sync.Mutex
	minions []*minion
	// running has the places of the runs of each task that go on, begun counts the runs of
	// a task and failed those of its runs that ended failed.
	running map[string]map[place]bool
	begun   map[string]int
	failed  map[string]int
	// placesBegun has the minions that have begun a run.
	placesBegun map[string]bool
	// doneNoted has the tasks of which an end done was taken note of, again the first start of one.
	doneNoted map[string]bool
	again     string
	// twice is the first time that two runs of a task were seen at once.
	twice string
}

type place struct {
	worker string
	run    int
}

func (s *system) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.noteLocked(format, args...)
}

func (s *system) noteLocked(format string, args ...any) {
	fmt.Fprintf(s.record, "%8.3f s  %s\n", time.Since(s.began).Seconds(), fmt.Sprintf(format, args...))
}

// started records that a run has begun.
func (s *system) started(worker, task string, run int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running[task] == nil {
		s.running[task] = map[place]bool{}
	}
	s.running[task][place{worker, run}] = true
	s.begun[task]++
	s.placesBegun[worker] = true
	s.noteLocked("%s starts %s run %d", worker, task, run)
	if s.doneNoted[task] && s.again == "" {
		s.again = fmt.Sprintf("task %s starts again after its end was taken note of", task)
		s.noteLocked("%s", s.again)
	}
	if len(s.running[task]) > 1 && s.twice == "" {
		s.twice = fmt.Sprintf("task %s runs twice: %v", task, s.running[task])
		s.noteLocked("%s", s.twice)
	}
}

// ended records that a run has ended.
func (s *system) ended(worker, task string, run int, how string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.running[task], place{worker, run})
	if how == "failed" {
		s.failed[task]++
	}
	s.noteLocked("%s ends %s run %d: %s", worker, task, run, how)
}

// noted records that the system has taken note of an end.
func (s *system) noted(worker, task string, run int, how string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.noteLocked("%s: end of %s run %d (%s) is taken note of", worker, task, run, how)
	s.doneNoted[task] = s.doneNoted[task] || how == "done"
}

// placeOf returns the worker on which a task runs; empty if there is none.
func (s *system) placeOf(task string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	for at := range s.running[task] {
		return at.worker
	}
	return ""
}

// host is one process of the system.
type host struct {
	name, role, ip string
	seeds          []string
	ports          []int // two for calls between hosts, then control, frontend and readiness
	cmd            *exec.Cmd
}

func (h *host) control() string  { return fmt.Sprintf("%s:%d", h.ip, h.ports[2]) }
func (h *host) frontend() string { return fmt.Sprintf("%s:%d", h.ip, h.ports[3]) }

// start starts the hosts and puts the first configuration.
func (s *system) start() {
	var err error
	if s.dir, err = os.MkdirTemp("", "review"); err != nil {
		giveUp("%v", err)
	}
	s.client = standin.NewClient(clientTimeout)
	s.clients.Timeout = clientTimeout
	network, ports := freeNetwork(s.control + s.entry)
	var seeds []string
	for i := range s.control + s.entry {
		h := &host{name: fmt.Sprintf("control-%d", i), role: "control", ip: fmt.Sprintf("%s.%d", network, 10+i), ports: ports}
		if i >= s.control {
			h.name, h.role = fmt.Sprintf("entry-%d", i-s.control), "entry"
		} else {
			seeds = append(seeds, h.control())
		}
		s.hosts = append(s.hosts, h)
	}
	for _, h := range s.hosts {
		s.startHost(h, seeds)
	}
	s.putConfig(1)
}

// freeNetwork returns the first three bytes of loopback addresses on which the ports are
// free, and the ports.
func freeNetwork(hosts int) (string, []int) {
	for try := range 200 {
		network := fmt.Sprintf("127.%d.%d", 1+(os.Getpid()+try*7)%250, (os.Getpid()/250+try)%250)
		ports := []int{21500, 21501, 21502, 21503, 21504, metricsPort}
		free := true
		for i := range hosts {
			for _, p := range ports {
				ln, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", network, 10+i, p))
				if err != nil {
					free = false
					continue
				}
				ln.Close()
			}
		}
		if free {
			return network, ports
		}
	}
	giveUp("no free loopback addresses")
	return "", nil
}

func (s *system) startHost(h *host, seeds []string) {
	dir := filepath.Join(s.dir, h.name)
	data := filepath.Join(dir, "data")
	if err := os.MkdirAll(data, 0o700); err != nil {
		giveUp("%v", err)
	}
	log, err := os.Create(filepath.Join(dir, "log"))
	if err != nil {
		giveUp("%v", err)
	}
	log.Close()
	h.seeds = seeds
	s.run(h, true)
}

// run starts a host's process with the command of the deploy file.
func (s *system) run(h *host, firstStart bool) {
	dir := filepath.Join(s.dir, h.name)
	path := filepath.Join(dir, "settings.json")
	settings := standin.Settings{
		Name: h.name, IP: h.ip, Seeds: h.seeds, FirstStart: firstStart, DataDir: filepath.Join(dir, "data"), FirstInnerPort: h.ports[0], LeaseMS: leaseMS,
		Frontend: h.frontend(), Readiness: fmt.Sprintf("%s:%d", h.ip, h.ports[4]), Control: h.control(),
	}.Encode()
	if err := os.WriteFile(path, settings, 0o600); err != nil {
		giveUp("%v", err)
	}
	log, err := os.OpenFile(filepath.Join(dir, "log"), os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		giveUp("%v", err)
	}
	defer log.Close()
	cmd := exec.Command("target/gooseberrypond", h.role)
	cmd.Env = append(os.Environ(), "GOOSEBERRYPOND_NODE_FILE="+path)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		giveUp("start %s: %v", h.name, err)
	}
	s.mu.Lock()
	h.cmd = cmd
	s.mu.Unlock()
}

// end ends all processes and keeps their logs if KEEP names a folder.
func (s *system) end() {
	s.ending.Store(true)
	s.mu.Lock()
	for _, h := range s.hosts {
		if h.cmd != nil && h.cmd.Process != nil {
			_ = h.cmd.Process.Kill() // it may have ended
			_, _ = h.cmd.Process.Wait()
		}
	}
	s.mu.Unlock()
	if keep := os.Getenv("KEEP"); keep != "" {
		for _, h := range s.hosts {
			if b, err := os.ReadFile(filepath.Join(s.dir, h.name, "log")); err == nil {
				_ = os.WriteFile(filepath.Join(keep, h.name+".log"), b, 0o600)
			}
		}
	}
	if s.dir != "" {
		_ = os.RemoveAll(s.dir)
	}
}

// untilDone repeats a call on the control hosts in turn until it is acknowledged.
func (s *system) untilDone(what string, limit time.Duration, call func(h *host) int) {
	for i, end := 0, time.Now().Add(limit); ; i++ {
		h := s.hosts[i%s.control]
		if status := call(h); status == http.StatusOK {
			s.note("%s: acknowledged by %s", what, h.name)
			return
		}
		if time.Now().After(end) {
			giveUp("%s was not acknowledged within %s", what, limit)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

func (s *system) putConfig(version int) {
	cfg := &standin.Config{Version: version, Pool: pool, Queues: []string{queue}}
	s.untilDone(fmt.Sprintf("configuration %d", version), 30*time.Second, func(h *host) int {
		return s.client.PutConfig(h.control(), cfg).Status
	})
}

// submit hands a job in at the entry hosts in turn until it is accepted.
func (s *system) submit(id, body string) {
	for i, end := 0, time.Now().Add(20*time.Second); time.Now().Before(end); i++ {
		h := s.hosts[s.control+i%s.entry]
		status, _ := s.ask(http.MethodPost, h, id, body)
		s.note("client: POST job %s at %s: %d", id, h.name, status)
		if status == http.StatusOK {
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
	giveUp("job %s was not accepted", id)
}

// look returns the answer to a GET for a job: its state, or the status.
func (s *system) look(id string) string {
	h := s.hosts[s.control+int(time.Now().UnixMilli())%s.entry]
	status, body := s.ask(http.MethodGet, h, id, "")
	if status != http.StatusOK {
		return fmt.Sprint(status)
	}
	return strings.TrimSuffix(strings.TrimPrefix(body, `{"state":"`), `"}`)
}

// ask sends a client's request for a job; status 0 means that there was no answer.
func (s *system) ask(method string, h *host, id, body string) (status int, answer string) {
	return s.askWith(&s.clients, method, h, id, body)
}

func (s *system) askWith(c *http.Client, method string, h *host, id, body string) (status int, answer string) {
	req, err := http.NewRequest(method, "http://"+h.frontend()+queue+id, strings.NewReader(body))
	if err != nil {
		giveUp("%v", err)
	}
	req.Host = standin.QueueHost
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(data)
}

// signal sends a signal to a process of the system.
func (h *host) signal(sig syscall.Signal) {
	if err := h.cmd.Process.Signal(sig); err != nil {
		giveUp("signal to %s: %v", h.name, err)
	}
}

// link is a proxy of TCP connections between two machines. It stands for the network.
type link struct {
	ln net.Listener

	mu     sync.Mutex
	cond   *sync.Cond
	target string
	// noForward and noBack hold up the bytes to the target and from it, and new
	// connections, which need both directions.
	noForward, noBack bool
	pairs             map[*pair]struct{}
}

// pair is a connection through a link: from is the caller's end, to the other's.
type pair struct {
	from, to net.Conn
	// dead is set once the target has lost power: it knows nothing of the connection and
	// resets it when the next bytes arrive.
	dead bool
}

func newLink(target string) *link {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		giveUp("%v", err)
	}
	l := &link{ln: ln, target: target, pairs: map[*pair]struct{}{}}
	l.cond = sync.NewCond(&l.mu)
	go l.accept()
	return l
}

func (l *link) address() string { return l.ln.Addr().String() }

func (l *link) accept() {
	for {
		c, err := l.ln.Accept()
		if err != nil {
			return // closed
		}
		go l.serve(c)
	}
}

func (l *link) serve(c net.Conn) {
	l.wait(func() bool { return !l.noForward && !l.noBack })
	l.mu.Lock()
	target := l.target
	l.mu.Unlock()
	t, err := net.Dial("tcp", target)
	if err != nil {
		reset(c)
		return
	}
	p := &pair{from: c, to: t}
	l.mu.Lock()
	l.pairs[p] = struct{}{}
	l.mu.Unlock()
	go l.back(p)
	l.forward(p)
}

// wait waits until ok, which is called with l.mu held, returns true.
func (l *link) wait(ok func() bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for !ok() {
		l.cond.Wait()
	}
}

// forward copies bytes to the target; those that arrive while the direction is cut are
// held up.
func (l *link) forward(p *pair) {
	buf := make([]byte, 64<<10)
	for {
		n, err := p.from.Read(buf)
		l.wait(func() bool { return !l.noForward })
		switch {
		case l.isDead(p):
			reset(p.from)
		case n > 0:
			_, werr := p.to.Write(buf[:n])
			if err == nil && werr == nil {
				continue
			}
		case err == nil:
			continue
		}
		p.from.Close()
		p.to.Close()
		l.mu.Lock()
		delete(l.pairs, p)
		l.mu.Unlock()
		return
	}
}

// back copies bytes from the target. A target that has lost power does not close the
// connection.
func (l *link) back(p *pair) {
	buf := make([]byte, 64<<10)
	for {
		n, err := p.to.Read(buf)
		if l.isDead(p) {
			return
		}
		l.wait(func() bool { return !l.noBack })
		if n > 0 {
			if _, werr := p.from.Write(buf[:n]); werr != nil {
				err = werr
			}
		}
		if err != nil {
			p.from.Close()
			p.to.Close()
			return
		}
	}
}

func (l *link) isDead(p *pair) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return p.dead
}

// cut holds up bytes and new connections from now on, or lets them pass again.
func (l *link) cut(forward, back bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.noForward, l.noBack = forward, back
	l.cond.Broadcast()
}

// retarget sends later connections to another address. Those to the former one are dead.
func (l *link) retarget(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.pairs {
		p.dead = true
	}
	l.target = address
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // the connection is closed in any case
	}
	c.Close()
}

// wireJSON has the names of the platform's protocol that stand only in platform/ otherwise.
//
//go:embed wire.json
var wireJSON []byte

// wire has those names by what they mean.
var wire = func() map[string]string {
	m := map[string]string{}
	if err := json.Unmarshal(wireJSON, &m); err != nil {
		panic(err) // the file is part of the program
	}
	return m
}()

// work is what a task does. It is the spec of its job.
type work struct {
	CPU int64 `json:"cpu"`
	// MS is how long a run takes; 0 means until it is stopped.
	MS int64 `json:"ms"`
}

// life is one incarnation of a minion.
type life struct {
	s    *system
	id   string
	ln   net.Listener
	srv  *http.Server
	born time.Time

	mu       sync.Mutex
	gone     bool
	token    float64
	leaseEnd time.Time
	lapsedAt time.Time
	runs     map[string]*run
	highest  map[string]int
	ends     []end
	lastEnd  int
	changed  chan struct{}
}

type run struct {
	number  int
	work    work
	startAt time.Time
}

type end struct {
	number int
	task   string
	run    int
	how    string
	at     time.Time
}

// leaseCheck is how often a minion looks whether its lease has expired.
const leaseCheck = 20 * time.Millisecond

func newLife(s *system, id string) *life {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		giveUp("%v", err)
	}
	l := &life{s: s, id: id, ln: ln, born: time.Now(), runs: map[string]*run{}, highest: map[string]int{}, changed: make(chan struct{})}
	l.leaseEnd = l.born
	mux := http.NewServeMux()
	mux.HandleFunc("POST /hold", l.serve(l.hold))
	mux.HandleFunc("POST "+wire["start"], l.serve(l.start))
	mux.HandleFunc("POST "+wire["stop"], l.serve(l.halt))
	mux.HandleFunc("POST /pace", l.serve(func(call, *http.Request) (int, map[string]any) { return http.StatusOK, map[string]any{} }))
	l.srv = &http.Server{Handler: mux}
	go func() { _ = l.srv.Serve(ln) }() // ends with end
	go l.watch()
	return l
}

// end ends the incarnation with all that it runs.
func (l *life) end() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.gone = true
	for task, r := range l.runs {
		l.s.ended(l.id, task, r.number, "gone")
	}
	clear(l.runs)
	_ = l.srv.Close() // nothing is left to be served
}

func (l *life) clock() int64 { return time.Since(l.born).Milliseconds() + 1 }

// watch ends runs that are done, and all of them when the lease has expired.
func (l *life) watch() {
	for range time.Tick(leaseCheck) {
		l.mu.Lock()
		if l.gone {
			l.mu.Unlock()
			return
		}
		now := time.Now()
		lapsed := now.After(l.leaseEnd)
		if lapsed {
			l.lapsedAt = now
		}
		for task, r := range l.runs {
			switch {
			case r.work.MS > 0 && now.Sub(r.startAt) >= time.Duration(r.work.MS)*time.Millisecond:
				l.finish(task, "done")
			case lapsed:
				l.finish(task, "lapsed")
			}
		}
		l.mu.Unlock()
	}
}

// finish ends a run. The caller holds l.mu.
func (l *life) finish(task, how string) {
	r := l.runs[task]
	delete(l.runs, task)
	l.highest[task] = max(l.highest[task], r.number)
	l.lastEnd++
	l.ends = append(l.ends, end{l.lastEnd, task, r.number, how, time.Now()})
	l.s.ended(l.id, task, r.number, how)
	close(l.changed)
	l.changed = make(chan struct{})
}

// call is the body of a call.
type call map[string]any

func (c call) number(name string) float64 { v, _ := c[name].(float64); return v }
func (c call) text(name string) string    { v, _ := c[name].(string); return v }

// serve answers a call, which do carries out with l.mu held.
func (l *life) serve(do func(call, *http.Request) (int, map[string]any)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var c call
		if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		if r.Header.Get(wire["expect"]) != l.id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		l.mu.Lock()
		defer l.mu.Unlock()
		status, answer := http.StatusConflict, map[string]any{"reason": "fence"}
		if token := c.number(wire["token"]); token >= l.token {
			l.token = token
			status, answer = do(c, r)
		}
		answer[wire["clock"]], answer["born"] = l.clock(), l.born.UnixMilli()
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(answer) // the caller may have left
	}
}

func (l *life) extend(deadlineMS float64) {
	if deadlineMS <= 0 {
		return
	}
	now := time.Now()
	if now.After(l.leaseEnd) {
		l.lapsedAt = now
	}
	left := min(int64(deadlineMS)-l.clock(), leaseMS)
	if e := now.Add(time.Duration(left) * time.Millisecond); e.After(l.leaseEnd) {
		l.leaseEnd = e
	}
}

func (l *life) start(c call, _ *http.Request) (int, map[string]any) {
	task, number := c.text("task"), int(c.number("run"))
	if c.number("deadline_ms") <= float64(l.clock()) {
		return http.StatusConflict, map[string]any{"reason": "late"}
	}
	l.extend(c.number("deadline_ms"))
	r := l.runs[task]
	switch {
	case r != nil && r.number == number:
		return http.StatusOK, map[string]any{}
	case r != nil || number <= l.highest[task]:
		return http.StatusConflict, map[string]any{"reason": "old"}
	}
	var w work
	if err := json.Unmarshal([]byte(c.text("spec")), &w); err != nil {
		return http.StatusBadRequest, map[string]any{}
	}
	used := w.CPU
	for _, other := range l.runs {
		used += other.work.CPU
	}
	if used > minionCPU {
		return http.StatusConflict, map[string]any{"reason": "room"}
	}
	l.runs[task] = &run{number, w, time.Now()}
	l.s.started(l.id, task, number)
	return http.StatusOK, map[string]any{}
}

func (l *life) halt(c call, _ *http.Request) (int, map[string]any) {
	task, number := c.text("task"), int(c.number("run"))
	l.highest[task] = max(l.highest[task], number)
	if r := l.runs[task]; r != nil && r.number == number {
		l.finish(task, "stopped")
	}
	return http.StatusOK, map[string]any{}
}

func (l *life) hold(c call, r *http.Request) (int, map[string]any) {
	l.extend(c.number("deadline_ms"))
	for cursor := int(c.number(wire["cursor"])); len(l.ends) > 0 && l.ends[0].number <= cursor; l.ends = l.ends[1:] {
		if e := l.ends[0]; e.at.After(l.lapsedAt) {
			l.s.noted(l.id, e.task, e.run, e.how)
		}
	}
	if wait := c.number("wait_ms"); wait > 0 && len(l.ends) == 0 {
		changed := l.changed
		l.mu.Unlock()
		select {
		case <-changed:
		case <-r.Context().Done():
		case <-time.After(time.Duration(wait) * time.Millisecond):
		}
		l.mu.Lock()
	}
	running, finished := [][]any{}, [][]any{}
	for task, r := range l.runs {
		running = append(running, []any{task, r.number, "", r.percent(), 5})
	}
	for _, e := range l.ends[:min(len(l.ends), 500)] {
		finished = append(finished, []any{e.number, e.task, e.run, e.how, ""})
	}
	return http.StatusOK, map[string]any{"running": running, "finished": finished}
}

// percent is a run's progress; one that lasts is at work at once.
func (r *run) percent() int {
	if r.work.MS == 0 {
		return 100
	}
	return int(math.Min(99, 100*float64(time.Since(r.startAt).Milliseconds())/float64(r.work.MS)))
}

// minion is a machine of a minion with its links: in from the control hosts, out to them.
type minion struct {
	s      *system
	number int
	in     *link
	out    []*link
	http   *http.Client

	mu sync.Mutex
	// life is the present incarnation; nil while the machine is down.
	life     *life
	lives    int
	seq      int
	draining bool
	// leaves is when a draining minion leaves at the earliest.
	leaves time.Time
	// silent is set while it sends no heartbeats.
	silent bool
	// sameID is set if the minion keeps its id when it starts again.
	sameID bool
	// now sends the next heartbeat without delay.
	now chan struct{}
	// at is the control host that took the last heartbeat.
	at int
}

func (s *system) startMinions(n int) {
	for i := range n {
		m := &minion{s: s, number: i, sameID: s.sameID, in: newLink(""), now: make(chan struct{}, 1)}
		for _, h := range s.hosts[:s.control] {
			m.out = append(m.out, newLink(h.control()))
		}
		m.http = &http.Client{Timeout: callTimeout, Transport: &http.Transport{}}
		m.boot()
		s.minions = append(s.minions, m)
		go m.beats()
	}
	time.Sleep(2 * time.Second) // all have sent a heartbeat and answered a call
}

// boot starts an incarnation under a new id at the machine's address.
func (m *minion) boot() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lives++
	m.seq = 0
	id := fmt.Sprintf("i-%d-%d", m.number, m.lives)
	if m.sameID {
		id = fmt.Sprintf("i-%d", m.number)
	}
	m.life = newLife(m.s, id)
	m.in.retarget(m.life.ln.Addr().String())
	m.s.note("%s is up", m.life.id)
}

func (m *minion) id() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.life == nil {
		return ""
	}
	return m.life.id
}

// beats sends a heartbeat in every interval, to the first control host that takes it.
func (m *minion) beats() {
	for m.at = m.number % len(m.out); ; {
		for range m.out {
			status, sent := m.send(http.MethodPut, m.at, m.heartbeat())
			if !sent || status == http.StatusOK {
				break
			}
			m.at = (m.at + 1) % len(m.out)
		}
		select {
		case <-m.now:
		case <-time.After(beatInterval):
		}
	}
}

// heartbeat returns the body of the next heartbeat; empty if there is none to send.
func (m *minion) heartbeat() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.life == nil || m.silent {
		return ""
	}
	m.seq++
	b := map[string]any{
		"backend": pool, "address": m.in.address(), "zone": fmt.Sprintf("d%d", m.number%3+1), "version": "v1", "slots": 8, "state": "ready",
		"capacity": map[string]int64{"cpu": minionCPU, "mem_mb": 64000, "gpus": 0}, "labels": []string{"a", fmt.Sprintf("r-%d", m.number/4)},
		wire["clock"]: m.life.clock(), "born": m.life.born.UnixMilli(), "seq": m.seq,
	}
	if m.draining {
		b["state"], b["remaining_ms"] = "draining", max(0, time.Until(m.leaves).Milliseconds())
	}
	data, err := json.Marshal(b)
	if err != nil {
		giveUp("%v", err)
	}
	return string(data)
}

// send sends a call about the minion to a control host. sent is false if the machine is
// down, or a heartbeat is empty.
func (m *minion) send(method string, at int, body string) (status int, sent bool) {
	id := m.id()
	if id == "" || method == http.MethodPut && body == "" {
		return 0, false
	}
	req, err := http.NewRequest(method, "http://"+m.out[at].address()+"/instances/"+id, strings.NewReader(body))
	if err != nil {
		giveUp("%v", err)
	}
	resp, err := m.http.Do(req)
	if err != nil {
		return 0, true
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body) // the status tells all
	return resp.StatusCode, true
}

// crash takes the machine's power away for a time; then another incarnation is up.
func (m *minion) crash(down time.Duration) {
	m.mu.Lock()
	l := m.life
	m.life = nil
	m.mu.Unlock()
	m.s.note("%s loses power for %s", l.id, down)
	m.cut(true, true)
	m.in.retarget("")
	m.http.CloseIdleConnections()
	l.end()
	time.Sleep(down)
	m.boot()
	m.cut(false, false)
	select {
	case m.now <- struct{}{}:
	default:
	}
}

// cut holds up the packets to the machine, and those from it.
func (m *minion) cut(to, from bool) {
	m.in.cut(to, from)
	for _, l := range m.out {
		l.cut(from, to)
	}
}

func (s *system) minionOf(id string) *minion {
	for _, m := range s.minions {
		if id != "" && m.id() == id {
			return m
		}
	}
	return nil
}

// job is a job of one step; estimateMS is the client's estimate of a task's duration.
func job(count int, w work, estimateMS int64) string {
	spec, err := json.Marshal(w)
	if err != nil {
		giveUp("%v", err)
	}
	phase := map[string]any{"count": count, "cpu": w.CPU, "mem_mb": 10, wire["estimate"]: estimateMS}
	if w.MS == 0 {
		phase[wire["lasting"]] = true
	}
	body, err := json.Marshal(map[string]any{"spec": string(spec), "phases": []any{phase}})
	if err != nil {
		giveUp("%v", err)
	}
	return string(body)
}

func init() { scenarios["flap"] = &scenario{3, 2, flap} }

const (
	flapMinions = 8
	flapCrashes = 5
	// flapDown is how long the machine is without power, flapGap the pause between two losses.
	flapDown = 800 * time.Millisecond
	flapGap  = 5 * time.Second
)

// flap: one machine of eight loses power three times for a second each. No run ends failed,
// so no job may be shown as failed.
func flap(s *system, trouble bool) (broken bool) {
	s.startMinions(flapMinions)
	jobs := []string{"00000000000000a1", "00000000000000a2", "00000000000000a3"}
	s.submit(jobs[0], job(16, work{CPU: 1000}, 9000))
	s.submit(jobs[1], job(16, work{CPU: 1000, MS: 9000}, 9000))
	s.submit(jobs[2], job(16, work{CPU: 1000, MS: 9000}, 9000))
	time.Sleep(2 * time.Second)
	m := s.minionOf(s.placeOf(jobs[1] + ".0.0.0"))
	if m == nil {
		giveUp("the first task of job %s does not run", jobs[1])
	}
	for range flapCrashes {
		if trouble {
			m.crash(flapDown)
		} else {
			time.Sleep(flapDown)
		}
		time.Sleep(flapGap)
	}
	for end := time.Now().Add(40 * time.Second); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		open := 0
		for _, id := range jobs {
			switch state := s.look(id); state {
			case "failed":
				s.note("client: GET job %s: failed", id)
				broken = true
			case "completed":
			default:
				open++
			}
		}
		if broken || open == 1 && time.Until(end) < 30*time.Second { // one job lasts
			break
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for task, n := range s.begun {
		s.noteLocked("task %s: %d runs begun, %d ended failed", task, n, s.failed[task])
	}
	return broken && len(s.failed) == 0
}

func init() { scenarios["leave"] = &scenario{3, 2, leave} }

const (
	leaveMinions = 8
	// drain is drain_ms; a minion serves a little longer. cutAfter is when the cut of one
	// direction begins, between two heartbeats.
	drain, alittle = 2 * time.Second, 100 * time.Millisecond
	cutAfter       = 1250 * time.Millisecond
	// linger is how long a minion whose notice was not acknowledged goes on ("some seconds"; linger_ms
	// of srt-pond).
	linger = 4 * time.Second
	// leaveWorkMS is how long a task takes and leaveEstimateMS the client's estimate; workedFor is
	// how long tasks have worked when the minion begins to drain.
	leaveWorkMS, leaveEstimateMS = 15_000, 2_000
	workedFor                    = 9 * time.Second
)

// leave: a minion is emptied and taken away. Shortly before it leaves, packets to it begin to be
// lost: its notice that it leaves arrives, the acknowledgement does not, and it ends some seconds
// later.
func leave(s *system, trouble bool) (broken bool) {
	s.startMinions(leaveMinions)
	id := "00000000000000b1"
	s.submit(id, job(16, work{CPU: 1000, MS: leaveWorkMS}, leaveEstimateMS))
	time.Sleep(workedFor)
	m := s.minionOf(s.placeOf(id + ".0.0.0"))
	if m == nil {
		giveUp("the first task of job %s does not run", id)
	}
	began := time.Now()
	m.mu.Lock()
	m.draining, m.leaves = true, began.Add(drain)
	m.mu.Unlock()
	m.now <- struct{}{}
	s.note("%s drains", m.id())
	time.Sleep(time.Until(began.Add(cutAfter)))
	if trouble {
		s.note("packets to %s are lost from now on", m.id())
		m.cut(true, false)
	}
	time.Sleep(time.Until(began.Add(drain + alittle)))
	m.mu.Lock()
	m.silent = true
	m.mu.Unlock()
	acknowledged := false
	for sent, k := time.Now(), m.at; !acknowledged && time.Since(sent) < linger; k++ {
		status, _ := m.send(http.MethodDelete, k%len(m.out), "")
		s.note("%s sends its notice that it leaves to control-%d: %d", m.id(), k%len(m.out), status)
		acknowledged = status == http.StatusOK
	}
	s.note("%s ends", m.id())
	m.life.end()
	m.cut(false, false)
	time.Sleep(20 * time.Second)
	s.note("client: GET job %s: %s", id, s.look(id))
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.twice != ""
}

func init() { scenarios["unreadable"] = &scenario{3, 2, unreadable} }

const (
	unreadableMinions = 6
	// settle is finish_s of srt-pond: how long after the end of the traffic jobs have.
	settle = 14 * time.Second
)

// unreadable: one heartbeat comes from another writer. Its id is a byte that can't be read.
func unreadable(s *system, trouble bool) (broken bool) {
	s.startMinions(unreadableMinions)
	first, second := "00000000000000c1", "00000000000000c2"
	s.submit(first, steps(6, work{CPU: 1000, MS: 1000}, 3))
	time.Sleep(500 * time.Millisecond)
	if trouble {
		m := s.minions[0]
		body := strings.Replace(m.heartbeat(), m.in.address(), "127.0.0.1:9", 1)
		req, err := http.NewRequest(http.MethodPut, "http://"+s.hosts[0].control()+"/instances/%FF", strings.NewReader(body))
		if err != nil {
			giveUp("%v", err)
		}
		status := 0
		if resp, err := m.http.Do(req); err == nil {
			status = resp.StatusCode
			resp.Body.Close()
		}
		s.note("another writer: PUT /instances/%%FF at control-0: %d", status)
	}
	for range 5 { // the client's retries
		status, _ := s.ask(http.MethodPost, s.hosts[s.control], second, steps(6, work{CPU: 1000, MS: 1000}, 1))
		s.note("client: POST job %s at entry-0: %d", second, status)
		if status == http.StatusOK {
			break
		}
	}
	time.Sleep(settle)
	for _, id := range []string{first, second} {
		state := s.look(id)
		s.note("client: GET job %s: %s", id, state)
		broken = broken || id == first && state != "completed"
	}
	return broken
}

// steps is a job of n steps, one after the other.
func steps(count int, w work, n int) string {
	spec, err := json.Marshal(w)
	if err != nil {
		giveUp("%v", err)
	}
	var phases []any
	for i := range n {
		phase := map[string]any{"count": count, "cpu": w.CPU, "mem_mb": 10, wire["estimate"]: w.MS}
		if i > 0 {
			phase["depends_on"] = []int{i - 1}
		}
		phases = append(phases, phase)
	}
	body, err := json.Marshal(map[string]any{"spec": string(spec), "phases": phases})
	if err != nil {
		giveUp("%v", err)
	}
	return string(body)
}

func init() { scenarios["many"] = &scenario{3, 2, many} }

const (
	// manyJobs is how many jobs are handed in and cancelled at once; the traffic of srt-pond,
	// 14.2 jobs a second, has as many in less than three hours. keptJobs are not cancelled;
	// their specs are longer, so that the log takes its next snapshot.
	manyJobs    = 132_000
	keptJobs    = 4_800
	keptSpec    = 3_900 // bytes
	manyClients = 128
	// manyLimit is how long handing them in may take.
	manyLimit = 85 * time.Second
	// backWithin is within what time killed processes are back, recovery what they then have
	// (recovery_s of srt-pond).
	backWithin = 500 * time.Millisecond
	recovery   = 12 * time.Second
)

// laterJob is a job for later: nothing runs yet.
func laterJob(specBytes int) string {
	body, err := json.Marshal(map[string]any{
		"spec": strings.Repeat("x", specBytes), "times": 1, "start_at_ms": time.Now().Add(time.Hour).UnixMilli(), "interval_ms": 1000,
		"phases": []any{map[string]any{"count": 1, "cpu": 1000, "mem_mb": 10}},
	})
	if err != nil {
		giveUp("%v", err)
	}
	return string(body)
}

// many: all processes of the core are killed at the same moment, after many jobs were accepted.
func many(s *system, trouble bool) (broken bool) {
	s.clients.Transport = &http.Transport{MaxIdleConnsPerHost: manyClients}
	short, long := laterJob(1), laterJob(keptSpec)
	var next, accepted, cancelled atomic.Int64
	var wg sync.WaitGroup
	end := time.Now().Add(manyLimit)
	until := func(method string, n int64, body string) bool {
		for time.Now().Before(end) {
			if status, _ := s.ask(method, s.hosts[s.control+int(n)%s.entry], fmt.Sprintf("%016x", n), body); status == http.StatusOK {
				return true
			}
		}
		return false
	}
	for range manyClients {
		wg.Go(func() {
			for n := next.Add(1); n <= manyJobs+keptJobs; n = next.Add(1) {
				body := short
				if n > manyJobs {
					body = long
				}
				if !until(http.MethodPost, n, body) {
					return
				}
				accepted.Add(1)
				if n <= manyJobs && until(http.MethodDelete, n, "") {
					cancelled.Add(1)
				}
			}
		})
	}
	for time.Now().Before(end) && accepted.Load() < manyJobs+keptJobs {
		time.Sleep(2 * time.Second)
		s.note("clients: %d jobs accepted, %d of them cancelled", accepted.Load(), cancelled.Load())
	}
	wg.Wait()
	if accepted.Load() < manyJobs+keptJobs {
		giveUp("only %d jobs were accepted in %s", accepted.Load(), manyLimit)
	}
	time.Sleep(3 * time.Second)
	if trouble {
		for _, h := range s.hosts[:s.control] {
			h.signal(syscall.SIGKILL)
			_ = h.cmd.Wait() // it was killed
			s.note("%s is killed", h.name)
		}
		time.Sleep(backWithin)
		for _, h := range s.hosts[:s.control] {
			s.restart(h)
		}
	}
	time.Sleep(recovery)
	answered := 0
	for n := int64(manyJobs + 1); n <= manyJobs+keptJobs; n += keptJobs / 12 {
		id := fmt.Sprintf("%016x", n)
		state := s.look(id)
		s.note("client: GET job %s, accepted and not cancelled: %s", id, state)
		if state == "queued" {
			answered++
		}
	}
	if v, ok := s.client.ConfigVersion(s.hosts[0].control()); !ok || v != 1 {
		s.note("operator: GET /config at control-0: no version")
	}
	return answered == 0
}

// restart starts a host's process again as the platform does, until the script ends.
func (s *system) restart(h *host) {
	s.note("%s starts again", h.name)
	go func() {
		for !s.ending.Load() {
			s.run(h, false)
			err := h.cmd.Wait()
			if s.ending.Load() {
				return
			}
			s.note("%s ends by itself: %v", h.name, err)
			time.Sleep(time.Second)
		}
	}()
}

func init() { scenarios["cancelled"] = &scenario{5, 6, cancelled} }

const (
	cancelledMinions = 6
	cancelledJobs    = 8
	// freeze is how long a machine stands still (node_freeze of srt-pond), deadline how long the
	// client waits for an answer, and cancelTime is cancel_ms.
	freeze     = 5 * time.Second
	deadline   = time.Second
	cancelTime = 3 * time.Second
)

// cancelled: one entry host stands still while eight clients hand a job in there. They get no
// answer, cancel their jobs at another host, and are told that there are no such jobs.
func cancelled(s *system, trouble bool) (broken bool) {
	s.startMinions(cancelledMinions)
	frozen, other := s.hosts[s.control], s.hosts[s.control+1]
	if trouble {
		frozen.signal(syscall.SIGSTOP)
		s.note("%s stands still", frozen.name)
	}
	began := time.Now()
	var wg sync.WaitGroup
	var refused atomic.Bool
	for n := range cancelledJobs {
		wg.Go(func() {
			id := fmt.Sprintf("00000000000000d%d", n)
			status, _ := s.askWith(&http.Client{Timeout: deadline}, http.MethodPost, frozen, id, job(3, work{CPU: 1000, MS: 10000}, 10000))
			s.note("client: POST job %s at %s: %d", id, frozen.name, status)
			time.Sleep(time.Until(began.Add(deadline)))
			status, _ = s.ask(http.MethodDelete, other, id, "")
			s.note("client: DELETE job %s at %s: %d", id, other.name, status)
			if status != http.StatusOK && status != http.StatusGone {
				refused.Store(true)
			}
		})
	}
	wg.Wait()
	acknowledged := time.Now()
	if refused.Load() {
		giveUp("a cancel was not acknowledged")
	}
	time.Sleep(time.Until(began.Add(freeze)))
	if time.Since(acknowledged) < cancelTime {
		giveUp("cancel_ms is not over")
	}
	before := s.begunRuns()
	s.note("more than cancel_ms after the acknowledgements")
	if trouble {
		frozen.signal(syscall.SIGCONT)
		s.note("%s wakes", frozen.name)
	}
	time.Sleep(15 * time.Second)
	for n := range cancelledJobs {
		id := fmt.Sprintf("00000000000000d%d", n)
		s.note("client: GET job %s: %s", id, s.look(id))
	}
	return s.begunRuns() > before
}

// begunRuns returns how many runs have begun.
func (s *system) begunRuns() (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, k := range s.begun {
		n += k
	}
	return n
}

func init() { scenarios["evacuated"] = &scenario{5, 6, evacuated} }

const (
	evacuatedMinions = 9
	// evacuateTime is how long an evacuation may take to be in force, contact contact_ms.
	evacuateTime = 5 * time.Second
	contact      = 3 * time.Second
)

// evacuated: one control host that does not lead stands still while the operator takes a zone's
// evacuation back there. It gets no answer, takes it back at another host, and evacuates the zone
// anew.
func evacuated(s *system, trouble bool) (broken bool) {
	s.startMinions(evacuatedMinions)
	zones := []string{"d1", "d2"}
	var frozen *host
	var others []*host
	for _, h := range s.hosts[:s.control] {
		if frozen == nil && !s.client.Leading(fmt.Sprintf("%s:%d", h.ip, metricsPort)) {
			frozen = h
		} else {
			others = append(others, h)
		}
	}
	operator := standin.NewClient(callTimeout)
	order := func(zone string, out bool, hosts ...*host) {
		for i := range 40 {
			h := hosts[i%len(hosts)]
			status := operator.SetDomain(h.control(), zone, out).Status
			s.note("operator: evacuate %s %v at %s: %d", zone, out, h.name, status)
			if status == http.StatusOK {
				return
			}
		}
		giveUp("an order was not acknowledged")
	}
	each := func(do func(zone string)) {
		var wg sync.WaitGroup
		for _, z := range zones {
			wg.Go(func() { do(z) })
		}
		wg.Wait()
	}
	each(func(z string) { order(z, true, others...) })
	time.Sleep(contact)
	if trouble {
		frozen.signal(syscall.SIGSTOP)
		s.note("%s stands still", frozen.name)
	}
	began := time.Now()
	each(func(z string) { order(z, false, append([]*host{frozen}, others...)...) })
	time.Sleep(500 * time.Millisecond)
	each(func(z string) { order(z, true, others...) })
	acknowledged := time.Now()
	time.Sleep(time.Until(began.Add(freeze)))
	if trouble {
		frozen.signal(syscall.SIGCONT)
		s.note("%s wakes", frozen.name)
	}
	time.Sleep(time.Until(time.Now().Add(contact)))
	time.Sleep(time.Until(acknowledged.Add(evacuateTime)))
	s.note("the time of an evacuation after the acknowledgement, and contact_ms after the disruption")
	s.submit("00000000000000e1", job(18, work{CPU: 1000, MS: 2000}, 2000))
	time.Sleep(6 * time.Second)
	s.mu.Lock()
	defer s.mu.Unlock()
	for at := range s.placesBegun {
		if m := s.minionOf(at); m != nil && m.number%3 < len(zones) {
			broken = true
		}
	}
	return broken
}

func init() { scenarios["times"] = &scenario{3, 2, times} }

const (
	timesMinions = 6
	// pastTimes is how many times of a scheduled job were due before it was handed in.
	pastTimes = 150_000
)

// times: a client hands in a scheduled job of which many times are due already.
func times(s *system, trouble bool) (broken bool) {
	s.startMinions(timesMinions)
	first, second := "00000000000000f1", "00000000000000f2"
	s.submit(first, steps(6, work{CPU: 1000, MS: 1000}, 3))
	time.Sleep(500 * time.Millisecond)
	if trouble {
		body, err := json.Marshal(map[string]any{
			"spec": `{"cpu":1000,"ms":500}`, "times": pastTimes, "start_at_ms": time.Now().Add(-pastTimes * time.Second).UnixMilli(), "interval_ms": 1000,
			"phases": []any{map[string]any{"count": 1, "cpu": 1000, "mem_mb": 10, wire["estimate"]: 500}},
		})
		if err != nil {
			giveUp("%v", err)
		}
		s.submit("00000000000000ff", string(body))
	}
	for range 5 { // the client's retries
		status, _ := s.ask(http.MethodPost, s.hosts[s.control], second, steps(6, work{CPU: 1000, MS: 1000}, 1))
		s.note("client: POST job %s at entry-0: %d", second, status)
		if status == http.StatusOK {
			break
		}
	}
	time.Sleep(settle)
	for _, id := range []string{first, second} {
		state := s.look(id)
		s.note("client: GET job %s: %s", id, state)
		broken = broken || id == first && state != "completed"
	}
	return broken
}

func init() { scenarios["reborn"] = &scenario{3, 2, reborn} }

const (
	rebornMinions = 8
	// rebornDown is how long the minion is without power, rebornBeat when it sends its first
	// heartbeat after that.
	rebornDown = 400 * time.Millisecond
	rebornBeat = 900 * time.Millisecond
	// quiet is how long nothing is ordered before: the control host then has one connection to
	// each minion, on which a call waits for an end.
	quiet = 12 * time.Second
)

// reborn: a minion loses power for a moment and starts again under its id. A job is handed in and
// another one cancelled before it has sent its first heartbeat.
func reborn(s *system, trouble bool) (broken bool) {
	s.sameID = true
	s.startMinions(rebornMinions)
	first, lasting, second := "00000000000000f1", "00000000000000f2", "00000000000000f3"
	s.submit(first, job(32, work{CPU: 500, MS: 300}, 300))
	time.Sleep(time.Second)
	s.submit(lasting, job(16, work{CPU: 1000}, 9000))
	time.Sleep(quiet)
	m := s.minionOf(s.placeOf(lasting + ".0.0.0"))
	if m == nil {
		giveUp("the first task of job %s does not run", lasting)
	}
	m.mu.Lock()
	m.silent = true
	m.mu.Unlock()
	if trouble {
		m.crash(rebornDown)
	}
	began := time.Now()
	s.submit(second, job(16, work{CPU: 500, MS: 20}, 20))
	time.Sleep(60 * time.Millisecond)
	status, _ := s.ask(http.MethodDelete, s.hosts[s.control], lasting, "")
	s.note("client: DELETE job %s: %d", lasting, status)
	time.Sleep(time.Until(began.Add(rebornBeat)))
	m.mu.Lock()
	m.silent = false
	m.mu.Unlock()
	m.now <- struct{}{}
	time.Sleep(8 * time.Second)
	s.note("client: GET job %s: %s", second, s.look(second))
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.again != "" || s.twice != ""
}
