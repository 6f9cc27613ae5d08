package soak

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"gooseberrypond/platform/standin"
)

// Options are the options of a run.
type Options struct {
	// Binary is the program gooseberrypond.
	Binary string
	// Dir gets the folders and logs of the hosts.
	Dir  string
	Seed uint64
	// Length is how long faults come. The checks after them take up to settleTime more.
	Length time.Duration
	// Control, Entry and Workers are the numbers of hosts and workers.
	Control, Entry, Workers int
	// Dense plays faults of control hosts only and no jobs, changes the configuration
	// all the time and reads it at each control host all the time.
	Dense bool
	// Reborn plays mostly workers that die and return under their ids while they are cut
	// off, with longer leases.
	Reborn bool
}

// Report is the result of a run.
type Report struct {
	Seed       uint64
	Faults     []string
	Counts     map[string]int
	Violations []string
	// Trace has what happened to the tasks and workers of the violations.
	Trace []string
}

const (
	// settleTime is how long after the last fault every accepted job must have ended.
	settleTime = 45 * time.Second
	// calmTime is how long after the last fault the tasks of ended jobs may go on.
	calmTime = 10 * time.Second
	// keyBound is how long after its acknowledgement a withdrawn key may still be used.
	keyBound    = 2500 * time.Millisecond
	workerCPU   = 8000
	ownerLimit  = 12000
	callTimeout = 3 * time.Second
	callers     = 6
)

var queues = []string{"/urgent/", "/plan/", "/watch/"}

// system is a running system with its stand-ins.
type system struct {
	o       Options
	ledger  *ledger
	control []*host
	entry   []*host
	client  *standin.Client // of the operator and the workers
	stop    chan struct{}
	wg      sync.WaitGroup
	callers sync.WaitGroup // they stop soon after the last fault
	random  *rand.Rand

	net   string   // the first three numbers of the hosts' addresses
	seeds []string // of every host

	mu           sync.Mutex
	controlsMade int
	workers      []*worker
	replaced     int
	keys         map[string]string // the present key of each organisation
	oldKeys      map[string]time.Time
	config       sync.Mutex // held while a configuration is being put
	members      sync.Mutex // held while a fault changes who the control hosts are
	mended       time.Time  // when the last such fault no longer counts as a loss
}

func newSystem(o Options) *system {
	return &system{
		o: o, ledger: newLedger(), client: standin.NewClient(callTimeout), stop: make(chan struct{}), random: rand.New(rand.NewPCG(o.Seed, 3)),
		keys: map[string]string{"harbour": "harbour-key-0", "mill": "mill-key-0"}, oldKeys: map[string]time.Time{},
	}
}

// start starts the hosts and workers and puts the first configuration.
func (s *system) start() error {
	if err := s.startHosts(); err != nil {
		return err
	}
	if err := s.startWorkers(); err != nil {
		return err
	}
	if !s.putConfig(1, 30*time.Second) {
		return errors.New("the first configuration was not acknowledged within 30 s")
	}
	return nil
}

// Run plays one seed. It ends the processes that it started also if ctx ends first.
func Run(ctx context.Context, o Options) (*Report, error) {
	s := newSystem(o)
	defer s.end()
	if err := s.start(); err != nil {
		return nil, err
	}
	s.startCallers()
	schedule := scheduleOf(o)
	r := &Report{Seed: o.Seed}
	for _, f := range schedule {
		r.Faults = append(r.Faults, f.String())
	}
	s.play(ctx, schedule)
	if ctx.Err() != nil {
		return nil, errors.Wrap(ctx.Err(), "interrupted")
	}
	s.settle()
	s.ledger.checkRefused()
	s.ledger.checkAbsent()
	r.Violations, r.Counts, r.Trace = s.ledger.violations(), maps.Clone(s.ledger.counts), s.ledger.trace()
	return r, nil
}

// startCallers starts whoever calls the system.
func (s *system) startCallers() {
	s.wg.Go(s.checkRoutes)
	if s.o.Dense {
		s.wg.Go(s.changeOften)
		for _, h := range s.controls() {
			s.wg.Go(func() { s.readAt(h) })
		}
		return
	}
	for i := range callers {
		s.callers.Go(func() { s.call(i) })
	}
	s.callers.Go(s.submitToRoutes)
	s.wg.Go(s.watchConfig)
}

func (s *system) startHosts() error {
	s.net = fmt.Sprintf("127.%d.%d", 1+os.Getpid()%250, os.Getpid()/250%250)
	for i := range min(3, s.o.Control) {
		s.seeds = append(s.seeds, fmt.Sprintf("%s.%d:%d", s.net, 10+i, controlPort))
	}
	for range s.o.Control {
		s.control = append(s.control, s.newControl(true))
	}
	for i := range s.o.Entry {
		h := &host{name: fmt.Sprintf("entry-%d", i), role: "entry", ip: fmt.Sprintf("%s.%d", s.net, 200+i), bootstrap: true}
		h.seeds, h.binary, h.dir, h.lease = s.seeds, s.o.Binary, filepath.Join(s.o.Dir, h.name), s.lease()
		s.entry = append(s.entry, h)
	}
	for _, h := range s.hosts() {
		if err := h.startEmpty(); err != nil {
			return err
		}
	}
	return nil
}

func (s *system) hosts() []*host { return slices.Concat(s.controls(), s.entry) }

func (s *system) startWorkers() error {
	for i := range s.o.Workers {
		if err := s.addWorker(fmt.Sprintf("w-%d", i), i); err != nil {
			return err
		}
	}
	s.wg.Go(func() { s.repeat(300*time.Millisecond, s.beatAll) })
	return nil
}

func (s *system) addWorker(id string, n int) error {
	s.ledger.with(func() { s.ledger.capacity[id] = workerCPU })
	own, err := standin.NewWorker(standin.WorkerConfig{ID: id, Domain: fmt.Sprintf("d%d", n%3+1), CPUMilli: workerCPU, LeaseMax: s.lease(), Seed: s.o.Seed + uint64(n)}, s.ledger)
	if err != nil {
		return err
	}
	w, err := newWorker(own, s.ledger)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if n < len(s.workers) {
		s.workers[n] = w
	} else {
		s.workers = append(s.workers, w)
	}
	return nil
}

// lease returns the longest lease of a worker.
func (s *system) lease() time.Duration {
	if s.o.Reborn {
		return rebornLease
	}
	return leaseMax
}

func (s *system) allWorkers() []*worker {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.workers)
}

// beatAll sends a heartbeat of each worker.
func (s *system) beatAll() {
	var wg sync.WaitGroup
	for i, w := range s.allWorkers() {
		wg.Go(func() { s.beat(i, w) })
	}
	wg.Wait()
}

// repeat runs f again and again until the run ends.
func (s *system) repeat(pause time.Duration, f func()) {
	for {
		select {
		case <-s.stop:
			return
		case <-time.After(pause):
			f()
		}
	}
}

// play brings the faults about, each in its own time.
func (s *system) play(ctx context.Context, schedule []fault) {
	begin := time.Now()
	var wg sync.WaitGroup
	for _, f := range schedule {
		select {
		case <-ctx.Done():
			wg.Wait()
			return
		case <-time.After(time.Until(begin.Add(f.at))):
		}
		s.ledger.count("fault " + string(f.kind))
		wg.Go(func() {
			if err := s.inject(f); err != nil {
				s.ledger.with(func() { s.ledger.report("%s could not be brought about: %v", f.kind, err) })
			}
		})
		for _, h := range s.hosts() {
			if h.crashed() {
				s.ledger.with(func() { s.ledger.report("%s ended by itself; its log ends with: %s", h.name, h.lastLine()) })
				return
			}
		}
	}
	wg.Wait()
}

func (s *system) inject(f fault) error {
	all := s.hosts()
	h := all[f.target%len(all)]
	w := s.allWorkers()[f.target%s.o.Workers]
	switch f.kind {
	case killHost:
		return s.down(f, syscall.SIGKILL, h)
	case terminate:
		return s.down(f, syscall.SIGTERM, h)
	case killLeader:
		return s.down(f, syscall.SIGKILL, s.leader())
	case killControl:
		return s.down(f, syscall.SIGKILL, s.controls()...)
	case wipeHost:
		c := s.anyControl(f)
		c.signal(syscall.SIGKILL)
		err := c.wipe()
		time.Sleep(f.duration)
		return errors.CombineErrors(err, c.start())
	case pauseHost, pauseLeader:
		if f.kind == pauseLeader {
			h = s.leader()
		}
		h.signal(syscall.SIGSTOP)
		time.Sleep(f.duration)
		h.signal(syscall.SIGCONT)
	case loseDisks, replaceUnplanned, replacePlanned, addHost:
		return s.changeMembers(f)
	case hangUp:
		h.signal(syscall.SIGHUP)
	case reborn:
		return s.playRebirth(f)
	case crashWorker:
		w.kill()
		return w.revive()
	case silentWorker:
		w.Silence(f.duration)
	case lateOrders:
		w.Delay(f.duration, f.share)
	case lostAnswers:
		w.LoseAnswers(f.duration, f.share)
	case drainWorker:
		return s.replaceWorker(f.target%s.o.Workers, w)
	case domainOut:
		s.setDomain(f)
	case changeConfig:
		s.changeConfig("")
	case withdrawKey:
		s.changeConfig([]string{"harbour", "mill"}[f.target%2])
	}
	return nil
}

// changeMembers brings about a fault that costs data or changes who the control hosts
// are, unless an earlier one is not mended yet.
func (s *system) changeMembers(f fault) error {
	s.members.Lock()
	defer s.members.Unlock()
	if time.Now().Before(s.mended) || !s.whole() {
		s.ledger.count("left out: the group is not whole")
		return nil
	}
	defer func() { s.mended = time.Now().Add(catchUp) }()
	switch f.kind {
	case loseDisks:
		return s.loseDisks(f)
	case addHost:
		if len(s.controls()) >= s.o.Control+2 {
			return nil
		}
		_, err := s.addControl()
		return err
	}
	return s.replaceControl(f, s.anyControl(f))
}

// anyControl returns the control host that a fault selects.
func (s *system) anyControl(f fault) *host {
	control := s.controls()
	return control[f.target%len(control)]
}

// down ends processes and starts them again after the fault's time.
func (s *system) down(f fault, sig syscall.Signal, hosts ...*host) error {
	var wg sync.WaitGroup
	for _, h := range hosts {
		wg.Go(func() { h.signal(sig) })
	}
	wg.Wait()
	time.Sleep(f.duration)
	var err error
	for _, h := range hosts {
		err = errors.CombineErrors(err, h.start())
	}
	return err
}

// leader returns the control host that says it leads, else the first.
func (s *system) leader() *host {
	control := s.controls()
	for _, h := range control {
		if s.client.Leading(h.address(metricsPort)) {
			return h
		}
	}
	return control[0]
}

func (s *system) replaceWorker(n int, w *worker) error {
	w.Drain()
	time.Sleep(2500 * time.Millisecond)
	w.end()
	for _, c := range s.controls() {
		if s.client.Leave(c.address(controlPort), w.ID).Status == 200 {
			break
		}
	}
	s.mu.Lock()
	s.replaced++
	id := fmt.Sprintf("w-%d-%d", n, s.replaced)
	s.mu.Unlock()
	return s.addWorker(id, n)
}

func (s *system) setDomain(f fault) {
	domain := fmt.Sprintf("d%d", f.target%3+1)
	s.untilAcknowledged(10*time.Second, func(c *host) int {
		return s.client.SetDomain(c.address(controlPort), domain, true).Status
	})
	time.Sleep(f.duration)
	s.untilAcknowledged(settleTime, func(c *host) int {
		return s.client.SetDomain(c.address(controlPort), domain, false).Status
	})
}

// untilAcknowledged repeats a call of the operator on the control hosts in turn until it
// is acknowledged.
func (s *system) untilAcknowledged(limit time.Duration, call func(*host) int) bool {
	for i, end := 0, time.Now().Add(limit); time.Now().Before(end); i++ {
		if control := s.controls(); call(control[i%len(control)]) == 200 {
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

// changeConfig puts the next version; withdrawn names the organisation whose key is
// replaced, if any.
func (s *system) changeConfig(withdrawn string) {
	s.config.Lock()
	defer s.config.Unlock()
	old := ""
	s.mu.Lock()
	if withdrawn != "" {
		old = s.keys[withdrawn]
		s.keys[withdrawn] = fmt.Sprintf("%s-key-%d", withdrawn, len(s.oldKeys)+1)
	}
	s.mu.Unlock()
	var version int
	s.ledger.with(func() { version = s.ledger.version + 1 + s.ledger.counts["unacknowledged versions"] })
	if !s.putConfig(version, settleTime) {
		s.ledger.count("unacknowledged versions")
		return
	}
	if old != "" {
		s.mu.Lock()
		s.oldKeys[old] = time.Now()
		s.mu.Unlock()
	}
}

// putConfig sends a version of the configuration to the control hosts in turn until it is
// acknowledged.
func (s *system) putConfig(version int, limit time.Duration) bool {
	cfg := s.newConfig(version)
	ok := s.untilAcknowledged(limit, func(c *host) int { return s.client.PutConfig(c.address(controlPort), cfg).Status })
	if ok {
		s.acknowledged(version)
	}
	return ok
}

// newConfig returns a version of the configuration that is about to be sent.
func (s *system) newConfig(version int) *standin.Config {
	s.mu.Lock()
	cfg := &standin.Config{Version: version, Pool: "pool", Queues: append(slices.Clone(queues), routeOf(version))}
	for name, key := range s.keys {
		o := standin.Owner{Name: name, Keys: []string{key}, Weight: 20}
		if name == "mill" {
			o.CPUMilli = ownerLimit
		}
		cfg.Owners = append(cfg.Owners, o)
	}
	s.mu.Unlock()
	s.ledger.with(func() { s.ledger.limit["mill"], s.ledger.sent = ownerLimit, max(s.ledger.sent, version) })
	return cfg
}

func (s *system) acknowledged(version int) {
	s.ledger.with(func() { s.ledger.version, s.ledger.ackedAt[version] = max(s.ledger.version, version), time.Now() })
}

// watchConfig reads the configuration at all control hosts in turn.
func (s *system) watchConfig() {
	i := 0
	s.repeat(50*time.Millisecond, func() {
		i++
		control := s.controls()
		s.readConfig(control[i%len(control)])
	})
}

func (s *system) end() {
	close(s.stop)
	s.callers.Wait()
	s.wg.Wait()
	for _, h := range s.hosts() {
		h.signal(syscall.SIGKILL)
	}
	for _, w := range s.allWorkers() {
		w.end()
	}
}

// settle waits until every accepted job has ended, then looks at what still runs.
func (s *system) settle() {
	for _, h := range s.hosts() {
		h.signal(syscall.SIGCONT)
		if err := h.start(); err != nil {
			s.ledger.with(func() { s.ledger.report("%v", err) })
		}
	}
	s.callers.Wait()
	end := time.Now().Add(settleTime)
	var open []string
	for time.Now().Before(end) {
		uncertain := s.resolveUncertain()
		if open = s.openJobs(); len(open) == 0 && uncertain == 0 {
			break
		}
		time.Sleep(200 * time.Millisecond)
	}
	for _, o := range open[:min(len(open), 10)] {
		s.ledger.with(func() {
			s.ledger.report("%d jobs have not ended %v after the last fault: %s", len(open), settleTime, o)
		})
	}
	s.checkLeftovers(time.Now().Add(calmTime))
	s.checkVersion()
}

func (s *system) checkLeftovers(end time.Time) {
	var left []string
	for time.Now().Before(end) {
		if left = s.ledger.leftovers(func(string) bool { return true }); len(left) == 0 {
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
	s.ledger.with(func() {
		s.ledger.report("%d tasks of ended jobs still run: %s", len(left), strings.Join(left[:min(len(left), 5)], " "))
	})
}

// checkVersion reads the configuration once more: what was acknowledged must be there.
func (s *system) checkVersion() {
	var v int
	if !s.untilAcknowledged(settleTime, func(c *host) int {
		var ok bool
		if v, ok = s.client.ConfigVersion(c.address(controlPort)); ok {
			return 200
		}
		return 0
	}) {
		s.ledger.with(func() { s.ledger.report("no control host answers with a configuration") })
		return
	}
	s.ledger.with(func() {
		if v < s.ledger.version {
			s.ledger.report("the configuration in force is %d, acknowledged was %d", v, s.ledger.version)
		}
	})
}
