package crowd

import (
	"encoding/binary"
	"fmt"
	"net/http"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gooseberrypond/platform/standin"
)

// Each test starts its own processes with small limits. Its crowd takes more than they
// allow if nothing bounds the sum of the requests. No verdict depends on the machine's speed.

const (
	// pressTime is how long a crowd may take to send what it sends.
	pressTime = 30 * time.Second
	// answerTime is how long an ordinary caller repeats a refused request. A process that
	// serves none in this time hangs.
	answerTime  = 60 * time.Second
	callTimeout = 5 * time.Second
	retryPause  = 100 * time.Millisecond
)

// Limits that the settings of the tests name.
const (
	memoryMB      = 96
	maxFDs        = 1024
	silentMaxFDs  = 512
	silentMembers = 700
)

// The largest bodies that the pages allow clients, and for how many the limits have no room.
const (
	jobBytes      = 256 << 10
	jobMembers    = 512
	reportBytes   = 4 << 20
	reportMembers = 64
	// manyTasksMembers and manyWorkersMembers send three requests each, all of them whole.
	manyTasksMembers   = 64
	manyWorkersMembers = 256
	configBytes        = 3 << 20
	messageBytes       = 4 << 20
	messageMembers     = 64
	// unreadQueues make a configuration of 3 MB.
	unreadQueues  = 16000
	unreadMembers = 300
)

// heartbeat has the fields of a heartbeat that is accepted.
const heartbeat = `"backend":"s","address":"127.0.0.1:9","zone":"z","state":"ready","capacity":{"cpu":1000,"mem_mb":1000,"gpus":0},"seq":1,"born":1`

// padded returns a JSON object of the given length with the fields.
func padded(fields string, length int) []byte {
	return []byte("{" + fields + strings.Repeat(" ", length-len(fields)-2) + "}")
}

// mustAnswer repeats a request until it is answered with success.
func mustAnswer(t *testing.T, p *Process, what string, call func() (status int)) {
	t.Helper()
	last := 0
	for end := time.Now().Add(answerTime); time.Now().Before(end); time.Sleep(retryPause) {
		if p.Ended() {
			t.Fatalf("%s: the process has ended:\n%s", what, p.LogTail())
		}
		if last = call(); last/100 == 2 {
			return
		}
	}
	t.Fatalf("%s: not answered with success; the last status was %d", what, last)
}

// bound is what a process may take.
type bound struct{ memoryMB, descriptors int }

// play lets a crowd press on a process and checks what must hold meanwhile and afterwards.
func play(t *testing.T, p *Process, b bound, o Options, ordinary func() (status int)) []Answer {
	t.Helper()
	mustAnswer(t, p, "ordinary request before the crowd", ordinary)
	before := p.Peak()
	c := Start(o)
	c.Press(pressTime)
	p.Settle()
	open := c.Open()
	mustAnswer(t, p, "ordinary request beside the crowd", ordinary)
	answers := c.Stop()
	mustAnswer(t, p, "ordinary request after the crowd", ordinary)
	u := p.Peak()
	t.Logf("before: %d MB, %d descriptors; peak: %d MB, %d MB unread, %d descriptors; %d of %d connections left open; requests finished, by status: %v",
		before.MemoryBytes>>20, before.Descriptors, u.MemoryBytes>>20, u.UnreadBytes>>20, u.Descriptors, open, o.Members, byStatus(answers))
	if u.MemoryBytes > int64(b.memoryMB)<<20 {
		t.Errorf("the process took %d MB, %d are allowed", u.MemoryBytes>>20, b.memoryMB)
	}
	if u.Descriptors > b.descriptors {
		t.Errorf("the process had %d open descriptors, %d are allowed", u.Descriptors, b.descriptors)
	}
	return answers
}

func byStatus(answers []Answer) map[int]int {
	counts := map[int]int{}
	for _, a := range answers {
		counts[a.Status]++
	}
	return counts
}

// Ports of the hosts of gooseberrypond.
const (
	innerPort     = 21600 // and the next one
	controlPort   = 21602
	frontendPort  = 21603
	readinessPort = 21604
	metricsPort   = 9464 // fixed in the program
)

const (
	controlIP = "127.0.61.10"
	entryIP   = "127.0.61.20"
	queue     = "/urgent/"
)

func address(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, port) }

// followerIPs are the addresses of further control hosts.
var followerIPs = []string{"127.0.61.11", "127.0.61.12"}

// pond is a system of control hosts, of which control is the first, and an entry host.
type pond struct {
	control, entry *Process
	followers      []*Process
	client         *standin.Client
	version, jobs  int
	// queues is the number of further queues in the configuration.
	queues int
}

func startPond(t *testing.T, fds int) *pond { return startPondOf(t, fds, nil) }

// startPondOf starts a pond with further control hosts.
func startPondOf(t *testing.T, fds int, followers []string) *pond {
	t.Helper()
	s := &pond{client: standin.NewClient(callTimeout)}
	seeds := []string{address(controlIP, controlPort)}
	for _, ip := range followers {
		seeds = append(seeds, address(ip, controlPort))
	}
	s.control = startHost(t, "control", controlIP, fds, seeds)
	for _, ip := range followers {
		s.followers = append(s.followers, startHost(t, "control", ip, fds, seeds))
	}
	s.entry = startHost(t, "entry", entryIP, fds, seeds)
	mustAnswer(t, s.control, "configuration", s.configure)
	mustAnswer(t, s.entry, "job", s.submit)
	return s
}

func startHost(t *testing.T, role, ip string, fds int, seeds []string) *Process {
	t.Helper()
	dir := t.TempDir()
	file := filepath.Join(dir, "settings.json")
	data := standin.Settings{
		Name: role, IP: ip, Seeds: seeds, FirstStart: true, DataDir: dir, FirstInnerPort: innerPort, LeaseMS: 4000,
		Frontend: address(ip, frontendPort), Readiness: address(ip, readinessPort), Control: address(ip, controlPort), MemoryMB: memoryMB, MaxFDs: fds,
	}.Encode()
	writeFile(t, file, data)
	p, err := StartProcess(dir, ip, []string{"GOOSEBERRYPOND_NODE_FILE=" + file}, builtProgram(pondProgram), role)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Stop)
	return p
}

// configure puts the next version of the configuration.
func (s *pond) configure() int {
	s.version++
	c := &standin.Config{Version: 10 + s.version, Pool: "s", Queues: []string{queue}}
	for i := range s.queues {
		c.Queues = append(c.Queues, fmt.Sprintf("/further-%d/", i))
	}
	return s.client.PutConfig(address(controlIP, controlPort), c).Status
}

// submit hands in a small job.
func (s *pond) submit() int {
	s.jobs++
	return s.client.Submit(address(entryIP, frontendPort), queue, fmt.Sprintf("a%015x", s.jobs), "", &standin.Job{Work: standin.Work{CPUMilli: 100, DurationMS: 100}, Steps: []int{1}}).Status
}

// get returns the status of a request of a page.
func get(url string) func() int {
	client := http.Client{Timeout: callTimeout}
	return func() int {
		resp, err := client.Get(url)
		if err != nil {
			return 0
		}
		defer resp.Body.Close()
		return resp.StatusCode
	}
}

func (s *pond) submitHead(n int) string {
	return fmt.Sprintf("POST %s%016x HTTP/1.1\r\nHost: %s\r\n", queue, n, standin.QueueHost)
}

// Guards against a limit that keeps one request of the largest size, in any form, from
// being served in calm.
func TestLargestRequestsInCalm(t *testing.T) {
	startPond(t, maxFDs)
	for name, form := range Forms {
		for _, r := range []struct {
			line, address string
			body          []byte
		}{
			{"POST " + queue + "%016x", address(entryIP, frontendPort), padded(`"spec":"x","phases":[{"count":1,"cpu":100,"mem_mb":1}]`, jobBytes)},
			{"PUT /instances/w-%d", address(controlIP, controlPort), padded(heartbeat, reportBytes)},
			{"PUT /config?%d", address(controlIP, controlPort), padded(`"version":1,"routes":[],"services":[]`, configBytes)},
		} {
			c := Start(Options{Address: r.address, Members: 1, Form: form, AllFinish: true, Body: r.body, Head: func(n int) string {
				return fmt.Sprintf(r.line, n) + " HTTP/1.1\r\nHost: " + standin.QueueHost + "\r\n"
			}})
			c.Press(pressTime)
			answers := c.Stop()
			for _, a := range answers {
				if a.Status != http.StatusOK {
					t.Errorf("%s, %s: status %d", r.line, name, a.Status)
				}
			}
			if len(answers) != rounds {
				t.Errorf("%s, %s: %d answers, want %d", r.line, name, len(answers), rounds)
			}
		}
	}
}

// Guards against an entry host that runs out of memory for jobs that are still arriving.
func TestUnfinishedJobs(t *testing.T) {
	for name, form := range Forms {
		t.Run(name, func(t *testing.T) {
			s := startPond(t, maxFDs)
			answers := play(t, s.entry, bound{memoryMB, maxFDs}, Options{
				Address: address(entryIP, frontendPort), Members: jobMembers, Form: form, Head: s.submitHead,
				Body: padded(`"spec":"x","phases":[{"count":1,"cpu":100,"mem_mb":1}]`, jobBytes),
			}, s.submit)
			s.checkAnswers(t, answers)
			checkControl(t, s)
		})
	}
}

// largeJob returns a job of the largest size that is all content.
func largeJob() []byte {
	const steps, frame = 250, 60
	label := strings.Repeat("x", jobBytes/steps-frame)
	step := fmt.Sprintf(`{"count":1,"cpu":100,"mem_mb":1,"constraints":"%s"}`, label)
	return padded(`"spec":"x","phases":[`+step+strings.Repeat(","+step, steps-1)+`]`, jobBytes)
}

// Guards against control hosts that run out of memory for jobs that they have accepted.
func TestLargeJobs(t *testing.T) {
	s := startPond(t, maxFDs)
	answers := play(t, s.entry, bound{memoryMB, maxFDs}, Options{
		Address: address(entryIP, frontendPort), Members: jobMembers, Form: Whole, AllFinish: true, Head: s.submitHead, Body: largeJob(),
	}, s.submit)
	s.checkAnswers(t, answers)
	checkControl(t, s)
}

// Guards against control hosts that run out of memory for the tasks of jobs whose bodies
// are small.
func TestJobsOfManyTasks(t *testing.T) {
	s := startPond(t, maxFDs)
	answers := play(t, s.entry, bound{memoryMB, maxFDs}, Options{
		Address: address(entryIP, frontendPort), Members: manyTasksMembers, Form: Whole, AllFinish: true, Head: s.submitHead,
		Body: []byte(`{"spec":"x","phases":[{"count":20000,"cpu":100,"mem_mb":1}]}`),
	}, s.submit)
	s.checkAnswers(t, answers)
	checkControl(t, s)
}

// Guards against control hosts that run out of memory for workers that do not exist.
func TestHeartbeatsOfManyWorkers(t *testing.T) {
	s := startPond(t, maxFDs)
	const labels, labelBytes = 500, 500
	label := strings.Repeat("x", labelBytes)
	body := "{" + heartbeat + `,"labels":["` + label + strings.Repeat(`","`+label, labels-1) + `"]}`
	play(t, s.control, bound{memoryMB, maxFDs}, Options{
		Address: address(controlIP, controlPort), Members: manyWorkersMembers, Form: Whole, AllFinish: true, Body: []byte(body),
		Head: func(n int) string { return fmt.Sprintf("PUT /instances/w-%d HTTP/1.1\r\nHost: x\r\n", n) },
	}, s.configure)
	mustAnswer(t, s.entry, "job after the crowd", s.submit)
}

// checkAnswers checks that a job is known exactly if it was accepted. After 429 or 503 it
// was not accepted; after no answer, either is allowed.
func (s *pond) checkAnswers(t *testing.T, answers []Answer) {
	t.Helper()
	for _, a := range answers {
		id, want := fmt.Sprintf("%016x", a.Request), 0
		switch a.Status {
		case http.StatusOK:
			want = http.StatusOK
		case http.StatusTooManyRequests, http.StatusServiceUnavailable:
			want = http.StatusGone
		case 0, http.StatusBadGateway, http.StatusGatewayTimeout:
			continue
		default:
			t.Errorf("request %d of legal size answered with %d", a.Request, a.Status)
			continue
		}
		if got := s.client.Look(address(entryIP, frontendPort), queue, id, "").Status; got != want {
			t.Errorf("job %s was answered with %d and is then looked up with %d, want %d", id, a.Status, got, want)
		}
	}
}

// checkControl checks the control host, which the crowd has reached only through others.
func checkControl(t *testing.T, s *pond) {
	t.Helper()
	if u := s.control.Peak(); s.control.Ended() || u.MemoryBytes > memoryMB<<20 {
		t.Errorf("the control host has ended: %v; it took %d MB, %d are allowed", s.control.Ended(), u.MemoryBytes>>20, memoryMB)
	}
}

// Guards against a control host that runs out of memory for heartbeats, or for
// configurations, that are still arriving.
func TestUnfinishedReports(t *testing.T) {
	bodies := map[string][]byte{
		"PUT /instances/crowd-%d": padded(`"backend":"s","address":"127.0.0.1:9","zone":"z","state":"ready","seq":1,"born":1`, reportBytes),
		"PUT /config":             padded(`"version":1,"routes":[],"services":[]`, reportBytes),
	}
	for request, body := range bodies {
		for name, form := range Forms {
			t.Run(request[:strings.LastIndexAny(request, "/")]+" "+name, func(t *testing.T) {
				s := startPond(t, maxFDs)
				play(t, s.control, bound{memoryMB, maxFDs}, Options{
					Address: address(controlIP, controlPort), Members: reportMembers, Form: form, Body: body,
					Head: func(n int) string {
						line := strings.ReplaceAll(request, "%d", fmt.Sprint(n))
						return line + " HTTP/1.1\r\nHost: " + controlIP + "\r\n"
					},
				}, s.configure)
				mustAnswer(t, s.entry, "job after the crowd", s.submit)
			})
		}
	}
}

// Guards against a control host that runs out of memory for answers that nobody reads.
func TestUnreadAnswers(t *testing.T) {
	s := startPondOf(t, maxFDs, followerIPs)
	s.queues = unreadQueues
	mustAnswer(t, s.control, "large configuration", s.configure)
	for i, p := range append([]*Process{s.control}, s.followers...) {
		ip := append([]string{controlIP}, followerIPs...)[i]
		leads := s.client.Leading(address(ip, metricsPort))
		t.Run(fmt.Sprintf("%s leads %v", ip, leads), func(t *testing.T) {
			play(t, p, bound{memoryMB, maxFDs}, Options{
				Address: address(ip, controlPort), Members: unreadMembers, Form: Unread, Body: []byte("GET /config HTTP/1.1\r\nHost: x\r\n\r\n"),
			}, s.submit)
		})
	}
}

// message returns the start of a message between hosts that says how long it is.
func message(length int) []byte {
	const fourBytes = 0xFC // the count of the bytes that hold the length, negated
	return append(binary.BigEndian.AppendUint32([]byte{fourBytes}, uint32(length)), make([]byte, length)...)
}

// Guards against a control host that runs out of memory for messages on the ports of the
// other hosts.
func TestUnfinishedMessages(t *testing.T) {
	for name, port := range map[string]int{"relay": innerPort, "replica": innerPort + 1} {
		t.Run(name, func(t *testing.T) {
			s := startPond(t, maxFDs)
			play(t, s.control, bound{memoryMB, maxFDs}, Options{
				Address: address(controlIP, port), Members: messageMembers, Form: Raw, Body: message(messageBytes),
			}, s.configure)
			mustAnswer(t, s.entry, "job after the crowd", s.submit)
		})
	}
}

// Guards against a host that runs out of descriptors for connections on which nothing, or
// a part of a header, is sent.
func TestSilentConnections(t *testing.T) {
	type target struct {
		name, ip string
		port     int
		ordinary func(s *pond) func() int
	}
	submit := func(s *pond) func() int { return s.submit }
	configure := func(s *pond) func() int { return s.configure }
	page := func(ip string, port int, path string) func(*pond) func() int {
		return func(*pond) func() int { return get("http://" + address(ip, port) + path) }
	}
	for _, to := range []target{
		{"frontend", entryIP, frontendPort, submit},
		{"readiness", entryIP, readinessPort, page(entryIP, readinessPort, "/ready")},
		{"metrics", entryIP, metricsPort, page(entryIP, metricsPort, "/metrics")},
		{"control", controlIP, controlPort, configure},
		{"relay", controlIP, innerPort, configure},
		{"replica", controlIP, innerPort + 1, configure},
	} {
		t.Run(to.name, func(t *testing.T) {
			s := startPond(t, silentMaxFDs)
			p := s.control
			if to.ip == entryIP {
				p = s.entry
			}
			play(t, p, bound{memoryMB, silentMaxFDs}, Options{
				Address: address(to.ip, to.port), Members: silentMembers, Form: Raw, Body: []byte("GET / HTTP/1.1\r\n"), NoneFinishes: true,
			}, to.ordinary(s))
			mustAnswer(t, s.entry, "job after the crowd", s.submit)
		})
	}
}
