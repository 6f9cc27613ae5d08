package main

import (
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"gooseberrypond/platform/standin"
)

// The platform runs each process on a machine of its own. Here each has an address of its
// own on the loopback network.

const (
	// graceTime is how long a process may take to end after SIGTERM.
	graceTime = 6 * time.Second
	// restartDelay is the pause before a process that has ended is started again.
	restartDelay = 300 * time.Millisecond
	// memoryCheck is how often the platform compares a process's memory with its limit.
	memoryCheck = 20 * time.Millisecond
	// metricsPort is the port that the deploy file names.
	metricsPort = 9464
)

// host is one machine with one process of the system.
type host struct {
	name, role, ip string
	dir            string
	memoryMB       int
	p              *platform
	// seeds are the seeds in the host's settings, those of the platform if empty.
	seeds []string

	mu        sync.Mutex
	cmd       *exec.Cmd
	exited    chan struct{}
	bootstrap bool
	// wanted is set while the process has to run: one that ends is started again.
	wanted bool
	// peakMB is the most memory that the process has used, ends counts the ends that nobody
	// asked for, and overLimit those among them for which its memory was above the limit.
	peakMB, ends, overLimit int
}

// platform starts and watches the processes.
type platform struct {
	binary, dir, net string
	port             int
	seeds            []string
	leaseMS, losses  int
	rec              *record
	hosts            []*host
}

// started is the platform of the case.
var started atomic.Pointer[platform]

// newPlatform chooses a free network and port range.
func newPlatform(binary, dir string, rec *record) (*platform, error) {
	for i := range 200 {
		n := (os.Getpid() + i*7) % 60000
		p := &platform{binary: binary, dir: dir, rec: rec, net: fmt.Sprintf("127.%d.%d", 2+n/250, 1+n%250), port: 23100 + n%50*10, leaseMS: 10000, losses: 2}
		if p.free() {
			started.Store(p)
			return p, nil
		}
	}
	return nil, errors.New("no free loopback network was found")
}

func (p *platform) free() bool {
	for _, port := range []int{metricsPort, p.port, p.port + 1, p.port + 2, p.port + 3, p.port + 4} {
		ln, err := net.Listen("tcp", fmt.Sprintf("%s.11:%d", p.net, port))
		if err != nil {
			return false
		}
		ln.Close()
	}
	return true
}

// add adds hosts of a role; they are started with startAll.
func (p *platform) add(role string, n, memoryMB int) (out []*host) {
	first := map[string]int{"control": 11, "entry": 101}[role]
	for i := range n {
		h := &host{name: fmt.Sprintf("%s-%d", role, i+1), role: role, ip: fmt.Sprintf("%s.%d", p.net, first+i), memoryMB: memoryMB, p: p, bootstrap: true}
		h.dir = filepath.Join(p.dir, h.name)
		if role == "control" && i < 3 {
			p.seeds = append(p.seeds, h.address(2))
		}
		p.hosts = append(p.hosts, h)
		out = append(out, h)
	}
	return out
}

func (p *platform) startAll() error {
	for _, h := range p.hosts {
		if err := h.start(); err != nil {
			return err
		}
	}
	return nil
}

// end ends all processes.
func (p *platform) end() {
	for _, h := range p.hosts {
		h.kill()
	}
}

// address returns one of the host's addresses: 0 and 1 are inner, 2 is for minions and
// operators, 3 for clients, 4 for readiness.
func (h *host) address(n int) string { return fmt.Sprintf("%s:%d", h.ip, h.p.port+n) }

func (h *host) start() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.startLocked()
}

func (h *host) startLocked() error {
	if h.cmd != nil {
		return nil
	}
	data := filepath.Join(h.dir, "data")
	if err := os.MkdirAll(data, 0o700); err != nil {
		return err
	}
	if h.role != "control" {
		data = ""
	}
	seeds := h.seeds
	if len(seeds) == 0 {
		seeds = h.p.seeds
	}
	s := standin.Settings{
		Name: h.name, IP: h.ip, Seeds: seeds, FirstStart: h.bootstrap, DataDir: data, FirstInnerPort: h.p.port,
		Control: h.address(2), Frontend: h.address(3), Readiness: h.address(4), LeaseMS: h.p.leaseMS, Losses: h.p.losses, MemoryMB: h.memoryMB, MaxFDs: 4096,
	}
	path := filepath.Join(h.dir, "settings.json")
	if err := os.WriteFile(path, s.Encode(), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(h.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(h.p.binary, h.role)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + h.dir, "GOOSEBERRYPOND_NODE_FILE=" + path}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return errors.Join(err, log.Close())
	}
	h.bootstrap, h.wanted = false, true
	h.cmd, h.exited = cmd, make(chan struct{})
	h.p.rec.log("%s started", h.name)
	go func(exited chan struct{}) {
		err := cmd.Wait()
		_ = log.Close()
		close(exited)
		h.ended(cmd, err)
	}(h.exited)
	go h.watchMemory(cmd, h.exited)
	return nil
}

// ended starts a process again that ended without being asked to.
func (h *host) ended(cmd *exec.Cmd, cause error) {
	h.mu.Lock()
	if h.cmd != cmd {
		h.mu.Unlock()
		return
	}
	h.cmd = nil
	again := h.wanted
	if again {
		h.ends++
		h.p.rec.log("%s ended by itself: %v", h.name, cause)
	}
	h.mu.Unlock()
	if again {
		time.Sleep(restartDelay)
		h.mu.Lock()
		defer h.mu.Unlock()
		if h.wanted {
			if err := h.startLocked(); err != nil {
				h.p.rec.log("%s can't be started: %v", h.name, err)
			}
		}
	}
}

// watchMemory ends a process that uses more memory than its machine has, as the platform does.
func (h *host) watchMemory(cmd *exec.Cmd, exited chan struct{}) {
	for {
		select {
		case <-exited:
			return
		case <-time.After(memoryCheck):
		}
		mb := residentMB(cmd.Process.Pid)
		h.mu.Lock()
		h.peakMB = max(h.peakMB, mb)
		over := h.memoryMB > 0 && mb > h.memoryMB && h.wanted
		if over {
			h.overLimit++
		}
		h.mu.Unlock()
		if over {
			h.p.rec.log("%s uses %d MB, more than its %d MB: the platform ends it", h.name, mb, h.memoryMB)
			_ = cmd.Process.Kill()
			<-exited
			return
		}
	}
}

func residentMB(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if f := strings.Fields(line); len(f) > 1 && f[0] == "VmRSS:" {
			kb, err := strconv.Atoi(f[1])
			if err != nil {
				return 0
			}
			return kb >> 10
		}
	}
	return 0
}

// kill ends the process at once; it stays down until start.
func (h *host) kill() { h.signalAndWait(syscall.SIGKILL) }

// term asks the process to end; it stays down until start.
func (h *host) term() { h.signalAndWait(syscall.SIGTERM) }

func (h *host) signalAndWait(sig syscall.Signal) {
	h.mu.Lock()
	cmd, exited := h.cmd, h.exited
	h.wanted = false
	h.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(syscall.SIGCONT)
	_ = cmd.Process.Signal(sig) // it may have ended by itself
	select {
	case <-exited:
	case <-time.After(graceTime):
		_ = cmd.Process.Kill()
		<-exited
	}
	h.mu.Lock()
	if h.cmd == cmd {
		h.cmd = nil
	}
	h.mu.Unlock()
}

// pause stops the process without ending it, resume lets it go on.
func (h *host) pause()  { h.send(syscall.SIGSTOP) }
func (h *host) resume() { h.send(syscall.SIGCONT) }

func (h *host) send(sig syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd != nil {
		_ = h.cmd.Process.Signal(sig)
	}
}

func (h *host) counts() (peakMB, ends, overLimit int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.peakMB, h.ends, h.overLimit
}
