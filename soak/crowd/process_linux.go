package crowd

import (
	"bufio"
	"bytes"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// sampleInterval is the time between two measurements of a process.
const sampleInterval = 20 * time.Millisecond

// Process is a process of the system that is measured while it runs.
type Process struct {
	cmd    *exec.Cmd
	ip     netip.Addr
	log    string
	exited chan struct{}
	wg     sync.WaitGroup

	mu   sync.Mutex
	peak Use
}

// Use is what a process takes.
type Use struct {
	// MemoryBytes is the resident memory, and what has arrived on the process's sockets
	// and has not been read.
	MemoryBytes int64
	// UnreadBytes is the second part of MemoryBytes alone.
	UnreadBytes int64
	// Descriptors is the number of open file descriptors.
	Descriptors int
}

// StartProcess starts a program whose sockets have the given local address. What it writes
// goes to a file in dir.
func StartProcess(dir, ip string, env []string, program string, args ...string) (*Process, error) {
	address, err := netip.ParseAddr(ip)
	if err != nil {
		return nil, errors.Wrap(err, "address of the process")
	}
	p := &Process{cmd: exec.Command(program, args...), ip: address, log: filepath.Join(dir, "log"), exited: make(chan struct{})}
	log, err := os.Create(p.log)
	if err != nil {
		return nil, errors.Wrapf(err, "log of %s", program)
	}
	p.cmd.Env, p.cmd.Stdout, p.cmd.Stderr = append(os.Environ(), env...), log, log
	if err := p.cmd.Start(); err != nil {
		return nil, errors.CombineErrors(errors.Wrapf(err, "start %s", program), log.Close())
	}
	go func() {
		_ = p.cmd.Wait() // Ended reports that it has ended
		_ = log.Close()
		close(p.exited)
	}()
	p.wg.Go(p.sample)
	return p, nil
}

// Stop ends the process.
func (p *Process) Stop() {
	_ = p.cmd.Process.Kill() // it may have ended by itself
	<-p.exited
	p.wg.Wait()
}

// Ended reports whether the process has ended.
func (p *Process) Ended() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// LogTail returns the end of what the process has written.
func (p *Process) LogTail() string {
	const tailBytes = 2000
	data, err := os.ReadFile(p.log)
	if err != nil {
		return err.Error()
	}
	return string(data[max(0, len(data)-tailBytes):])
}

// Peak returns the most that the process has taken so far.
func (p *Process) Peak() Use {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.peak
}

func (p *Process) sample() {
	for tick := time.NewTicker(sampleInterval); ; {
		select {
		case <-p.exited:
			tick.Stop()
			return
		case <-tick.C:
			p.measure()
		}
	}
}

// measure returns what the process takes now.
func (p *Process) measure() Use {
	resident, most := p.resident()
	waiting := unread(p.ip)
	u := Use{MemoryBytes: resident + waiting, UnreadBytes: waiting, Descriptors: p.descriptors()}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.peak = Use{max(p.peak.MemoryBytes, u.MemoryBytes, most), max(p.peak.UnreadBytes, u.UnreadBytes), max(p.peak.Descriptors, u.Descriptors)}
	return u
}

const (
	// steadyTime is for how long the descriptors and the memory, in MiB, of a steady process
	// stay the same, and settleTime how long that is waited for.
	steadyTime = time.Second
	settleTime = 15 * time.Second
)

// Settle waits until the process has taken in what waits for it.
func (p *Process) Settle() {
	end, last, since := time.Now().Add(settleTime), Use{}, time.Now()
	for time.Now().Before(end) && time.Since(since) < steadyTime {
		now := p.measure()
		if now.Descriptors != last.Descriptors || now.MemoryBytes>>20 != last.MemoryBytes>>20 {
			last, since = now, time.Now()
		}
		time.Sleep(sampleInterval)
	}
}

// resident returns the resident memory in bytes, now and at most. Both are 0 for a process
// that is just ending.
func (p *Process) resident() (now, most int64) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0, 0
	}
	return kilobytes(data, "VmRSS:"), kilobytes(data, "VmHWM:")
}

// kilobytes returns the value of a line of /proc/PID/status in bytes.
func kilobytes(status []byte, name string) int64 {
	for line := range strings.Lines(string(status)) {
		if fields := strings.Fields(line); len(fields) == 3 && fields[0] == name {
			n, _ := strconv.ParseInt(fields[1], 10, 64) // the kernel writes a number
			return n << 10
		}
	}
	return 0
}

func (p *Process) descriptors() int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	if err != nil { // the process is just ending
		return 0
	}
	return len(entries)
}

// unread returns how many bytes wait on the sockets with a local address.
func unread(ip netip.Addr) (total int64) {
	data, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0
	}
	b := ip.As4()
	local := fmt.Sprintf("%02X%02X%02X%02X:", b[3], b[2], b[1], b[0])
	const localField, stateField, queueField, listening = 1, 3, 4, "0A"
	for lines := bufio.NewScanner(bytes.NewReader(data)); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) <= queueField || !strings.HasPrefix(fields[localField], local) || fields[stateField] == listening {
			continue
		}
		_, queue, _ := strings.Cut(fields[queueField], ":")
		n, _ := strconv.ParseInt(queue, 16, 64) // the kernel writes a number
		total += n
	}
	return total
}
