package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"gooseberrypond/platform/standin"
)

// Ports of every host; the hosts have addresses of their own.
const (
	innerPort     = 21500 // and the next one
	controlPort   = 21502
	frontendPort  = 21503
	readinessPort = 21504
	metricsPort   = 9464 // fixed in the program
)

// host is one process of the system. It may be started again after it has ended.
type host struct {
	name, role, ip string
	dir            string
	binary         string
	seeds          []string
	losses         int // how many control hosts may be lost at once
	lease          time.Duration

	mu        sync.Mutex
	cmd       *exec.Cmd
	exited    chan struct{}
	expected  bool // that the process ends
	bootstrap bool
	stopped   bool // by a signal that pauses it
	retired   bool // it is not started again
}

func (h *host) address(port int) string { return fmt.Sprintf("%s:%d", h.ip, port) }

func (h *host) writeSettings(bootstrap bool) (path string, err error) {
	data := standin.Settings{
		Name: h.name, IP: h.ip, Seeds: h.seeds, FirstStart: bootstrap, DataDir: h.dataDir(), FirstInnerPort: innerPort, LeaseMS: int(h.lease.Milliseconds()), Losses: h.losses,
		Frontend: h.address(frontendPort), Readiness: h.address(readinessPort), Control: h.address(controlPort),
	}.Encode()
	path = filepath.Join(h.dir, "settings.json")
	return path, errors.Wrap(os.WriteFile(path, data, 0o600), "write settings")
}

func (h *host) dataDir() string { return filepath.Join(h.dir, "data") }

// startEmpty starts a new host. Its folder may hold what an earlier run has left there.
func (h *host) startEmpty() error {
	if err := os.RemoveAll(h.dir); err != nil {
		return errors.Wrapf(err, "folder of %s", h.name)
	}
	return h.start()
}

func (h *host) setSeeds(seeds []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.seeds = seeds
}

// start starts the process unless it runs.
func (h *host) start() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd != nil || h.retired {
		return nil
	}
	if err := os.MkdirAll(h.dataDir(), 0o700); err != nil {
		return errors.Wrapf(err, "folder of %s", h.name)
	}
	path, err := h.writeSettings(h.bootstrap)
	if err != nil {
		return err
	}
	h.bootstrap = false
	log, err := os.OpenFile(filepath.Join(h.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrapf(err, "log of %s", h.name)
	}
	cmd := exec.Command(h.binary, h.role)
	cmd.Env = append(os.Environ(), "GOOSEBERRYPOND_NODE_FILE="+path)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return errors.CombineErrors(errors.Wrapf(err, "start %s", h.name), log.Close())
	}
	h.cmd, h.exited, h.expected, h.stopped = cmd, make(chan struct{}), false, false
	go func(exited chan struct{}) {
		_ = cmd.Wait() // how it ended is judged by expected
		_ = log.Close()
		close(exited)
	}(h.exited)
	return nil
}

// signal sends a signal to the process if it runs. A signal that ends it is waited for,
// for at most the time that the platform gives.
func (h *host) signal(sig syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd == nil {
		return
	}
	ends := sig == syscall.SIGKILL || sig == syscall.SIGTERM
	h.expected = h.expected || ends
	if sig == syscall.SIGTERM && h.stopped {
		sig = syscall.SIGKILL // a paused process does not handle it
	}
	_ = h.cmd.Process.Signal(sig) // it may have ended by itself, which crashed reports
	h.stopped = sig == syscall.SIGSTOP
	if !ends {
		return
	}
	select {
	case <-h.exited:
	case <-time.After(graceful):
		_ = h.cmd.Process.Kill()
		<-h.exited
	}
	h.cmd = nil
}

// retire ends the process for good.
func (h *host) retire(sig syscall.Signal) {
	h.mu.Lock()
	h.retired = true
	h.mu.Unlock()
	h.signal(sig)
}

// wipe removes the data of a host that does not run.
func (h *host) wipe() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd != nil {
		return nil
	}
	return errors.Wrapf(os.RemoveAll(h.dataDir()), "wipe %s", h.name)
}

// crashed reports whether the process has ended by itself.
func (h *host) crashed() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd == nil || h.expected {
		return false
	}
	select {
	case <-h.exited:
		return true
	default:
		return false
	}
}

// lastLine returns the last line of the log, which says why a process has ended.
func (h *host) lastLine() string {
	data, err := os.ReadFile(filepath.Join(h.dir, "log"))
	if err != nil {
		return err.Error()
	}
	lines := strings.Split(strings.TrimSpace(string(data)), "\n")
	return lines[len(lines)-1]
}
