package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// leaseMax is the longest lease that a minion grants, as in settings.json.
	leaseMax = 10 * time.Second
	// leaseCheck is how often a minion looks whether its lease has expired.
	leaseCheck = 20 * time.Millisecond
	// beatInterval is the time between two heartbeats.
	beatInterval = 500 * time.Millisecond
	// startup is how long a task that lasts takes until it is at work.
	startup = 300 * time.Millisecond
	// holdWaitMax is the longest time for which a call waits for an end.
	holdWaitMax = 2 * time.Second
)

// work is what a job's spec tells its tasks to do: to run for a time, 0 for ever.
type work struct {
	MS int64 `json:"ms"`
}

// run is one run of a task on a minion.
type run struct {
	task      string
	number    int
	startedAt time.Time
	lasts     time.Duration
}

type ended struct {
	seq  uint64
	task string
	run  int
	how  string
}

// ledger sees what all minions run.
type ledger struct {
	mu sync.Mutex
	// running has the minions on which each task runs now.
	running map[string]map[string]int
	// twice lists the tasks that ran at two places at once, starts counts the starts.
	twice  []string
	starts map[string]int
	done   map[string]int
	rec    *record
}

func newLedger(rec *record) *ledger {
	return &ledger{running: map[string]map[string]int{}, starts: map[string]int{}, done: map[string]int{}, rec: rec}
}

func (l *ledger) started(minion, task string, number int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.starts[task]++
	l.rec.note("minion %s: run %d of %s starts", minion, number, task)
	if on := l.running[task]; len(on) > 0 {
		l.twice = append(l.twice, fmt.Sprintf("%s starts on %s while it runs on %v", task, minion, on))
		l.rec.note("TWICE: %s starts on %s while it runs on %v", task, minion, on)
	}
	if l.running[task] == nil {
		l.running[task] = map[string]int{}
	}
	l.running[task][minion] = number
}

func (l *ledger) over(minion, task string, number int, how string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.running[task][minion] == number {
		delete(l.running[task], minion)
	}
	if how == "done" {
		l.done[task]++
	}
	l.rec.note("minion %s: run %d of %s ends: %s", minion, number, task, how)
}

// place returns the minion on which a task runs now; empty if on none.
func (l *ledger) place(task string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	for m := range l.running[task] {
		return m
	}
	return ""
}

// minion runs tasks on orders. It keeps its id and its address over its lives.
type minion struct {
	id, service string
	cpu         int64
	rec         *record
	ledger      *ledger
	// shown is the address in its heartbeats, beats are the control addresses that it calls.
	shown string
	beats []string
	own   string // its listener's address

	mu       sync.Mutex
	up       bool
	server   *http.Server
	born     time.Time
	token    uint64
	leaseEnd time.Time
	seq      int64
	runs     map[string]*run
	ends     []ended
	lastEnd  uint64
	highest  map[string]int
	changed  chan struct{}
	acked    bool // the newest heartbeat was acknowledged
	client   *http.Client
	next     string
}

func newMinion(id, service string, cpu int64, rec *record, l *ledger, beats []string) (*minion, error) {
	m := &minion{id: id, service: service, cpu: cpu, rec: rec, ledger: l, beats: beats, own: "127.0.0.1:0", client: newHTTP(time.Second)}
	if err := m.begin(); err != nil {
		return nil, err
	}
	m.shown = m.own
	return m, nil
}

// begin starts a life.
func (m *minion) begin() error {
	ln, err := net.Listen("tcp", m.own)
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.own = ln.Addr().String()
	m.up, m.born, m.token, m.seq = true, time.Now(), 0, 0
	m.leaseEnd = m.born
	m.runs, m.ends, m.lastEnd, m.highest = map[string]*run{}, nil, 0, map[string]int{}
	m.changed = make(chan struct{})
	mux := http.NewServeMux()
	born := m.born
	for path, do := range map[string]func(order) (int, string){names["start"]: m.start, names["stop"]: m.stop, names["pace"]: m.pace} {
		mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) { m.order(w, r, born, do) })
	}
	mux.HandleFunc("POST "+names["hold"], func(w http.ResponseWriter, r *http.Request) { m.hold(w, r, born) })
	m.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func(s *http.Server) { _ = s.Serve(ln) }(m.server) // ends with Close
	go m.expire(born)
	m.rec.note("minion %s: begins a life, born %d", m.id, m.born.UnixMilli())
	return nil
}

// crash ends a life: everything that runs on the minion ends, its connections too.
func (m *minion) crash(why string) {
	m.mu.Lock()
	m.up = false
	server, runs := m.server, m.runs
	m.runs = map[string]*run{}
	m.mu.Unlock()
	_ = server.Close() // its listener and connections
	for task, r := range runs {
		m.ledger.over(m.id, task, r.number, why)
	}
	m.rec.note("minion %s: %s", m.id, why)
}

func (m *minion) clockLocked() int64 { return time.Since(m.born).Milliseconds() + 1 }

// expire ends all runs when the lease has expired, and runs whose time is over.
func (m *minion) expire(born time.Time) {
	for range time.Tick(leaseCheck) {
		m.mu.Lock()
		if !m.up || m.born != born {
			m.mu.Unlock()
			return
		}
		now := time.Now()
		for task, r := range m.runs {
			switch {
			case now.After(m.leaseEnd):
				m.finishLocked(task, r.number, "lapsed")
			case r.lasts > 0 && now.Sub(r.startedAt) >= r.lasts:
				m.finishLocked(task, r.number, "done")
			}
		}
		m.mu.Unlock()
	}
}

func (m *minion) finishLocked(task string, number int, how string) {
	r := m.runs[task]
	if r == nil || r.number != number {
		return
	}
	delete(m.runs, task)
	m.highest[task] = max(m.highest[task], number)
	m.lastEnd++
	m.ends = append(m.ends, ended{m.lastEnd, task, number, how})
	m.ledger.over(m.id, task, number, how)
	close(m.changed)
	m.changed = make(chan struct{})
}

// order is the body of a call.
type order struct {
	task, spec     string
	run            int
	deadline, wait int64
	token, cursor  uint64
}

func readOrder(r *http.Request) (order, error) {
	var o order
	raw := map[string]json.RawMessage{}
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return o, err
	}
	if err := json.Unmarshal(data, &raw); err != nil {
		return o, err
	}
	for key, into := range map[string]any{"task": &o.task, "spec": &o.spec, "run": &o.run, names["deadline"]: &o.deadline, names["wait"]: &o.wait, names["token"]: &o.token, names["cursor"]: &o.cursor} {
		if v, ok := raw[key]; ok {
			if err := json.Unmarshal(v, into); err != nil {
				return o, err
			}
		}
	}
	return o, nil
}

func (m *minion) order(w http.ResponseWriter, r *http.Request, born time.Time, do func(order) (int, string)) {
	o, err := readOrder(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if r.Header.Get(names["expect"]) != m.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.up || m.born != born {
		panic(http.ErrAbortHandler) // this life is over
	}
	status, reason := http.StatusConflict, "fence"
	if o.token >= m.token {
		m.token = o.token
		status, reason = do(o)
	}
	w.WriteHeader(status)
	fmt.Fprintf(w, `{"%s":%d,"reason":%q,"born":%d}`, names["clock"], m.clockLocked(), reason, m.born.UnixMilli())
}

func (m *minion) extendLocked(deadline int64) {
	if deadline <= 0 {
		return
	}
	left := min(time.Duration(deadline-m.clockLocked())*time.Millisecond, leaseMax)
	if e := time.Now().Add(left); e.After(m.leaseEnd) {
		m.leaseEnd = e
	}
}

func (m *minion) start(o order) (int, string) {
	var x work
	if err := json.Unmarshal([]byte(o.spec), &x); err != nil {
		return http.StatusBadRequest, err.Error()
	}
	r := m.runs[o.task]
	switch {
	case o.deadline <= m.clockLocked():
		return http.StatusConflict, "late"
	case r != nil && r.number == o.run:
		m.extendLocked(o.deadline)
		return http.StatusOK, ""
	case o.run <= m.highest[o.task] || r != nil && o.run < r.number:
		m.extendLocked(o.deadline)
		return http.StatusConflict, "old"
	}
	m.extendLocked(o.deadline)
	m.runs[o.task] = &run{task: o.task, number: o.run, startedAt: time.Now(), lasts: time.Duration(x.MS) * time.Millisecond}
	m.ledger.started(m.id, o.task, o.run)
	return http.StatusOK, ""
}

func (m *minion) stop(o order) (int, string) {
	m.highest[o.task] = max(m.highest[o.task], o.run)
	m.finishLocked(o.task, o.run, "stopped")
	return http.StatusOK, ""
}

func (m *minion) pace(order) (int, string) { return http.StatusOK, "" }

func (m *minion) hold(w http.ResponseWriter, r *http.Request, born time.Time) {
	o, err := readOrder(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if r.Header.Get(names["expect"]) != m.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.up || m.born != born {
		panic(http.ErrAbortHandler)
	}
	if o.token < m.token {
		w.WriteHeader(http.StatusConflict)
		fmt.Fprintf(w, `{"%s":%d,"reason":"fence","born":%d}`, names["clock"], m.clockLocked(), m.born.UnixMilli())
		return
	}
	m.token = o.token
	m.extendLocked(o.deadline)
	for len(m.ends) > 0 && m.ends[0].seq <= o.cursor {
		m.ends = m.ends[1:]
	}
	if len(m.ends) == 0 && o.wait > 0 {
		changed := m.changed
		m.mu.Unlock()
		select {
		case <-changed:
		case <-r.Context().Done():
		case <-time.After(min(time.Duration(o.wait)*time.Millisecond, holdWaitMax)):
		}
		m.mu.Lock()
		if !m.up || m.born != born {
			panic(http.ErrAbortHandler)
		}
	}
	running, finished := [][]any{}, [][]any{}
	for task, r := range m.runs {
		since, percent := time.Since(r.startedAt), 0
		switch {
		case r.lasts > 0:
			percent = int(100 * since / r.lasts)
		case since >= startup:
			percent = 100
		}
		running = append(running, []any{task, r.number, "", percent, 5})
	}
	for _, e := range m.ends {
		finished = append(finished, []any{e.seq, e.task, e.run, e.how, ""})
	}
	data, err := json.Marshal(map[string]any{names["clock"]: m.clockLocked(), "born": m.born.UnixMilli(), "running": running, "finished": finished})
	if err != nil {
		panic(err) // plain values always encode
	}
	_, _ = w.Write(data) // the caller may have left
}

// heartbeat returns the body of the next heartbeat; ok is false if there is none.
func (m *minion) heartbeat() (body string, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.up {
		return "", false
	}
	m.seq++
	return strings.TrimSpace(fill(beatFile, map[string]string{
		"backend": m.service, "address": m.shown, "zone": "zone-a", "state": "ready", "cpu": strconv.FormatInt(m.cpu, 10),
		"clock": strconv.FormatInt(m.clockLocked(), 10), "seq": strconv.FormatInt(m.seq, 10), "born": strconv.FormatInt(m.born.UnixMilli(), 10),
	})), true
}

// tell makes a call to the control hosts, one after the other, until one acknowledges it.
func (m *minion) tell(method, body string) bool {
	targets := m.beats
	if m.next != "" {
		targets = append([]string{m.next}, targets...)
	}
	for _, t := range targets {
		r := call(m.client, method, t, "/instances/"+m.id, body, nil)
		if r.status == http.StatusOK {
			return true
		}
		m.next = ""
	}
	return false
}

// beat sends heartbeats until done is closed. It keeps one connection while that works.
func (m *minion) beat(done <-chan struct{}) {
	for {
		if body, ok := m.heartbeat(); ok {
			acked := m.tell(http.MethodPut, body)
			m.mu.Lock()
			m.acked = acked
			m.mu.Unlock()
		}
		select {
		case <-done:
			return
		case <-time.After(beatInterval):
		}
	}
}

// foreign returns a heartbeat that another writer sends under the minion's id, all of whose
// fields are the minion's but the service and the number.
func (m *minion) foreign(service string, seq int64) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return strings.TrimSpace(fill(beatFile, map[string]string{
		"backend": service, "address": m.shown, "zone": "zone-a", "state": "ready", "cpu": strconv.FormatInt(m.cpu, 10),
		"clock": strconv.FormatInt(m.clockLocked(), 10), "seq": strconv.FormatInt(seq, 10), "born": strconv.FormatInt(m.born.UnixMilli(), 10),
	}))
}
