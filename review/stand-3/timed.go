package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"gooseberrypond/platform/standin"
)

func init() { cases["timed"] = playTimed }

const (
	// timedMinions is the number of minions, timedCPU what each has, in thousandths of a core.
	timedMinions, timedCPU = 12, 32000
	// ordinaryJobs is the number of jobs of an ordinary client.
	ordinaryJobs = 8
	// overdue is how long ago the first time of the scheduled job was.
	overdue = 365 * 24 * time.Hour
	// playTime is how long the case is watched after the scheduled job was sent.
	playTime = 50 * time.Second
	// askPause is the time between two looks at a job.
	askPause = time.Second
	// callWait is how long clients wait for an answer.
	callWait = 3 * time.Second
	// lookTries is how often a client asks for a job at the end.
	lookTries = 2
)

// playTimed: a client hands in a scheduled job, with its times as they stand in a file.
func playTimed(e *env) (int, error) {
	p, err := newPlatform(e.binary, e.dir, e.rec)
	if err != nil {
		return failed, err
	}
	defer p.end()
	controls, entries := p.add("control", 3, 280), p.add("entry", 2, 284)
	p.losses = 1
	if err := p.startAll(); err != nil {
		return failed, err
	}
	stop := make(chan struct{})
	defer close(stop)
	if _, err := startMinions(p, controls, &ledger{rec: e.rec}, timedMinions, timedCPU, "", stop); err != nil {
		return failed, err
	}
	if !configure(controls) {
		e.rec.say("no configuration was acknowledged")
		return failed, nil
	}
	time.Sleep(settleTime)
	client := newCaller(standin.QueueHost, callWait)
	ordinary, err := os.ReadFile(filepath.Join(e.files, "ordinary.json"))
	if err != nil {
		return failed, err
	}
	accepted := map[string]bool{}
	for n := range ordinaryJobs {
		status, _ := client.call(http.MethodPost, entries[n%2].address(3), "/batch/"+jobID(n), string(ordinary))
		e.rec.log("ordinary job %s sent; answer %d", jobID(n), status)
		accepted[jobID(n)] = status/100 == 2
	}
	scheduled, err := os.ReadFile(filepath.Join(e.files, "scheduled.json"))
	if err != nil {
		return failed, err
	}
	start := time.Now()
	if e.trouble {
		start = start.Add(-overdue)
	}
	body := strings.Replace(string(scheduled), "START", strconv.FormatInt(start.UnixMilli(), 10), 1)
	e.rec.log("scheduled job: %s", body)
	status, answer := client.call(http.MethodPost, entries[0].address(3), "/batch/"+jobID(1000), body)
	e.rec.say("the scheduled job was sent; answer %d %s", status, answer)
	for end := time.Now().Add(playTime); time.Now().Before(end); time.Sleep(askPause) {
		status, answer := client.call(http.MethodGet, entries[1].address(3), "/batch/"+jobID(1), "")
		e.rec.log("ordinary job 1: answer %d %.80s; control hosts: %s", status, answer, memoryOf(controls))
	}
	unanswered := 0
	for id, ok := range accepted {
		if !ok {
			continue
		}
		answered := false
		for try := 0; try < lookTries && !answered; try++ {
			status, answer := client.call(http.MethodGet, entries[try%2].address(3), "/batch/"+id, "")
			answered = status == http.StatusOK
			e.rec.log("ordinary job %s: answer %d %.80s", id, status, answer)
		}
		if !answered {
			unanswered++
		}
	}
	ends := 0
	for _, h := range controls {
		_, n, _ := h.counts()
		ends += n
	}
	e.rec.say("control hosts ended by themselves %d times; %d accepted jobs get no answer; %s", ends, unanswered, memoryOf(controls))
	if ends > 0 || unanswered > 0 {
		return broken, nil
	}
	return held, nil
}

func memoryOf(hosts []*host) string {
	var b strings.Builder
	for _, h := range hosts {
		peak, ends, over := h.counts()
		fmt.Fprintf(&b, "%s peak %d MB, ended %d times, %d for its memory; ", h.name, peak, ends, over)
	}
	return b.String()
}
