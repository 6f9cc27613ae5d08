package main

import (
	"bytes"
	"context"
	_ "embed"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The names of the platform stand in files beside this one.
var (
	//go:embed names.json
	namesFile []byte
	//go:embed beat.json
	beatFile string
	//go:embed settings.json
	settingsFile string
	//go:embed config.json
	configFile string
	//go:embed route.json
	routeFile string
	//go:embed service.json
	serviceFile string
	//go:embed jobs.txt
	jobsFile string
)

var names = readNames()

func readNames() map[string]string {
	out := map[string]string{}
	if err := json.Unmarshal(namesFile, &out); err != nil {
		panic(err) // the file is part of the program
	}
	return out
}

// job returns the body of a job of a kind in jobs.txt.
func job(kind string, values map[string]string) string {
	for line := range strings.Lines(jobsFile) {
		if text, ok := strings.CutPrefix(line, kind+" "); ok {
			return fill(strings.TrimSpace(text), values)
		}
	}
	panic("no job of kind " + kind)
}

// fill replaces {key} by its value.
func fill(text string, values map[string]string) string {
	var pairs []string
	for k, v := range values {
		pairs = append(pairs, "{"+k+"}", v)
	}
	return strings.NewReplacer(pairs...).Replace(text)
}

const (
	controlPort   = 8166
	frontendPort  = 8161
	readinessPort = 8167
	// stopPause is how long a process may take to end after a signal.
	stopPause = 5 * time.Second
	// readyLimit is how long the system may take to acknowledge the first configuration.
	readyLimit = 20 * time.Second
	// putPause is the operator's pause between two tries.
	putPause = 20 * time.Millisecond
	// queueHost is the host of all queues.
	queueHost = "desk.example"
)

// record writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	began time.Time
	file  *os.File
}

func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// host is one process of the system.
type host struct {
	name, role, ip string
	settings       string
	cmd            *exec.Cmd
	exited         chan struct{}
}

// system is the running system.
type system struct {
	rec      *record
	dir      string
	binary   string
	memoryMB int
	control  []*host
	entry    []*host
	mu       sync.Mutex
}

// newSystem starts control and entry hosts on loopback addresses of their own. losses is how
// many control hosts may be lost at once.
func newSystem(rec *record, controls, entries, losses int) (*system, error) {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	binary, err := filepath.Abs("target/gooseberrypond")
	if err != nil {
		return nil, err
	}
	s := &system{rec: rec, dir: dir, binary: binary, memoryMB: 280}
	prefix := fmt.Sprintf("127.%d.%d", 20+os.Getpid()%200, 1+os.Getpid()/200%250)
	var seeds []string
	for i := range controls {
		s.control = append(s.control, &host{name: fmt.Sprintf("core-%d", i+1), role: "control", ip: fmt.Sprintf("%s.%d", prefix, 10+i)})
		if i < 3 {
			seeds = append(seeds, strconv.Quote(s.control[i].address(controlPort)))
		}
	}
	for i := range entries {
		s.entry = append(s.entry, &host{name: fmt.Sprintf("edge-%d", i+1), role: "entry", ip: fmt.Sprintf("%s.%d", prefix, 100+i)})
	}
	for _, h := range append(append([]*host{}, s.control...), s.entry...) {
		values := map[string]string{
			"name": h.name, "role": h.role, "ip": h.ip, "seeds": "[" + strings.Join(seeds, ",") + "]",
			"class": "edge", "serves": "edge", "bootstrap": "true", "counts": "false", "dir": "null", "memory": strconv.Itoa(s.memoryMB), "losses": strconv.Itoa(losses),
			"listen": fmt.Sprintf(`{"frontend":%q,"readiness":%q}`, h.address(frontendPort), h.address(readinessPort)),
		}
		if h.role == "control" {
			data := filepath.Join(dir, h.name)
			if err := os.MkdirAll(data, 0o700); err != nil {
				return nil, err
			}
			values["class"], values["serves"], values["counts"], values["dir"] = "core", "control_plane", "true", strconv.Quote(data)
			values["listen"] = fmt.Sprintf(`{"control":%q}`, h.address(controlPort))
		}
		h.settings = filepath.Join(dir, h.name+".json")
		if err := os.WriteFile(h.settings, []byte(fill(settingsFile, values)), 0o600); err != nil {
			return nil, err
		}
		if err := s.start(h); err != nil {
			return nil, err
		}
	}
	return s, nil
}

func (h *host) address(port int) string { return fmt.Sprintf("%s:%d", h.ip, port) }

func (s *system) start(h *host) error {
	log, err := os.OpenFile(filepath.Join(s.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(s.binary, h.role)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), names["variable"] + "=" + h.settings}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // it ends with this program
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	s.mu.Lock()
	h.cmd, h.exited = cmd, exited
	s.mu.Unlock()
	go func() {
		_ = cmd.Wait() // how it ended is seen by whoever waits for exited
		close(exited)
	}()
	return nil
}

// afterBootstrap rewrites the settings files: the system has started for the first time.
func (s *system) afterBootstrap() error {
	for _, h := range append(append([]*host{}, s.control...), s.entry...) {
		data, err := os.ReadFile(h.settings)
		if err != nil {
			return err
		}
		if err := os.WriteFile(h.settings, bytes.Replace(data, []byte(`"bootstrap": true`), []byte(`"bootstrap": false`), 1), 0o600); err != nil {
			return err
		}
	}
	return nil
}

// kill ends a process and waits for it.
func (s *system) kill(h *host) {
	s.mu.Lock()
	cmd, exited := h.cmd, h.exited
	s.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(syscall.SIGKILL) // it may have ended by itself
	select {
	case <-exited:
	case <-time.After(stopPause):
	}
}

// wipe empties the folder of a control host that does not run.
func (s *system) wipe(h *host) error {
	data := filepath.Join(s.dir, h.name)
	if err := os.RemoveAll(data); err != nil {
		return err
	}
	return os.MkdirAll(data, 0o700)
}

// end ends all processes and removes the folder, unless KEEP is set.
func (s *system) end() {
	for _, h := range append(append([]*host{}, s.control...), s.entry...) {
		s.kill(h)
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir) // a temporary folder
	} else {
		fmt.Println(s.dir)
	}
}

// reply is the answer to a call; status 0 means that there was none.
type reply struct {
	status int
	body   string
	wait   time.Duration
}

func newHTTP(timeout time.Duration) *http.Client {
	return &http.Client{Timeout: timeout, Transport: &http.Transport{MaxIdleConnsPerHost: 8}}
}

func call(c *http.Client, method, address, path, body string, headers map[string]string) reply {
	req, err := http.NewRequestWithContext(context.Background(), method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return reply{body: err.Error()}
	}
	req.Host = queueHost
	req.Header.Set("Content-Type", "application/json")
	for k, v := range headers {
		req.Header.Set(k, v)
	}
	resp, err := c.Do(req)
	if err != nil {
		return reply{body: err.Error()}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return reply{body: err.Error()}
	}
	r := reply{status: resp.StatusCode, body: string(data)}
	if n, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil {
		r.wait = time.Duration(n) * time.Second
	}
	return r
}

// configure sends the first configuration until it is acknowledged.
func (s *system) configure(queues map[string]string) error {
	if err := s.put(queues, readyLimit); err != nil {
		return err
	}
	return s.afterBootstrap()
}

// put sends the configuration, each queue with its service, until it is acknowledged.
func (s *system) put(queues map[string]string, limit time.Duration) error {
	return s.putVersion(1, queues, limit)
}

func (s *system) putVersion(version int, queues map[string]string, limit time.Duration) error {
	var routes, services []string
	known := map[string]bool{}
	for queue, service := range queues {
		routes = append(routes, strings.TrimSpace(fill(routeFile, map[string]string{"queue": queue, "backend": service})))
		if !known[service] {
			services = append(services, strings.TrimSpace(fill(serviceFile, map[string]string{"service": service})))
		}
		known[service] = true
	}
	body := fill(configFile, map[string]string{"version": strconv.Itoa(version), "routes": strings.Join(routes, ","), "services": strings.Join(services, ",")})
	c := newHTTP(time.Second)
	for i, end := 0, time.Now().Add(limit); time.Now().Before(end); i++ {
		r := call(c, http.MethodPut, s.control[i%len(s.control)].address(controlPort), "/config", body, nil)
		if r.status == http.StatusOK {
			s.rec.note("operator: configuration %d acknowledged", version)
			return nil
		}
		if i%50 == 0 {
			s.rec.note("operator: PUT /config at %s -> %d %s", s.control[i%len(s.control)].name, r.status, strings.TrimSpace(r.body))
		}
		time.Sleep(putPause)
	}
	return fmt.Errorf("configuration %d was not acknowledged within %s", version, limit)
}

// client hands jobs in and asks for them.
type client struct {
	s    *system
	http *http.Client
}

// patience is how long a client waits for an answer.
const patience = 3 * time.Second

func (s *system) client() *client { return &client{s, newHTTP(patience)} }

// try makes one call to an entry host.
func (c *client) try(n int, method, path, body string) reply {
	h := c.s.entry[n%len(c.s.entry)]
	return call(c.http, method, h.address(frontendPort), path, body, map[string]string{names["patience"]: strconv.FormatInt(patience.Milliseconds(), 10)})
}

// submit hands a job in until there is a clear answer.
func (c *client) submit(queue, id, body string, limit time.Duration) reply {
	var r reply
	for i, end := 0, time.Now().Add(limit); time.Now().Before(end); i++ {
		r = c.try(i, http.MethodPost, "/"+queue+"/"+id, body)
		c.s.rec.note("client: POST /%s/%s -> %d %s", queue, id, r.status, r.body)
		if r.status >= 200 && r.status < 300 || r.status >= 400 && r.status < 500 && r.status != 429 {
			return r
		}
		time.Sleep(max(r.wait, 200*time.Millisecond))
	}
	return r
}

// state asks for a job's state until there is an answer; empty if there was none.
func (c *client) state(queue, id string, limit time.Duration) (state string, status int) {
	for i, end := 0, time.Now().Add(limit); time.Now().Before(end); i++ {
		r := c.try(i, http.MethodGet, "/"+queue+"/"+id, "")
		if r.status == http.StatusOK {
			var v struct{ State string }
			if err := json.Unmarshal([]byte(r.body), &v); err == nil {
				return v.State, r.status
			}
		}
		if r.status == http.StatusGone || r.status == http.StatusNotFound {
			return "", r.status
		}
		time.Sleep(200 * time.Millisecond)
	}
	return "", 0
}
