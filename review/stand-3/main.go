// Command stand-3 plays the cases of the third review: it starts the project's programs as
// separate processes and stands in for the platform, its clients, its operator and its minions.
package main

import (
	"flag"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"gooseberrypond/platform/standin"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

const (
	// settleTime is how long all run before a case begins.
	settleTime = 6 * time.Second
	// firstOrderLimit bounds the first order to the system.
	firstOrderLimit = 20 * time.Second
	// caseLimit is how long a case may run.
	caseLimit = 115 * time.Second
)

// env is what a case gets.
type env struct {
	binary, dir, files string
	trouble            bool
	rec                *record
}

func main() {
	var e env
	name := flag.String("case", "", "the case")
	flag.StringVar(&e.binary, "binary", "target/gooseberrypond", "the project's program")
	flag.StringVar(&e.dir, "dir", "", "an empty folder for the processes")
	flag.StringVar(&e.files, "files", "", "the folder of the case")
	out := flag.String("record", "", "where the record is written")
	flag.Parse()
	e.trouble = os.Getenv("TROUBLE") != "0"
	rec, err := newRecord(*out)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(failed)
	}
	e.rec = rec
	play := cases[*name]
	if play == nil {
		fmt.Fprintln(os.Stderr, "no such case:", *name)
		os.Exit(failed)
	}
	go e.giveUp()
	code, err := play(&e)
	if err != nil {
		rec.say("the case could not run: %v", err)
		code = failed
	}
	os.Exit(code)
}

var cases = map[string]func(*env) (int, error){}

// giveUp ends all processes and the case when it takes too long or is asked to end.
func (e *env) giveUp() {
	asked := make(chan os.Signal, 1)
	signal.Notify(asked, syscall.SIGTERM, syscall.SIGINT)
	select {
	case <-asked:
	case <-time.After(caseLimit):
	}
	e.rec.say("the case was given up")
	if p := started.Load(); p != nil {
		p.end()
	}
	os.Exit(failed)
}

// configure sends the first configuration until it is acknowledged.
func configure(controls []*host) bool {
	op := standin.NewClient(2 * time.Second)
	cfg := &standin.Config{Version: 1, Pool: "svc", Queues: []string{"/batch/"}}
	for i, end := 0, time.Now().Add(firstOrderLimit); time.Now().Before(end); i++ {
		if op.PutConfig(controls[i%len(controls)].address(2), cfg).Status == http.StatusOK {
			return true
		}
		time.Sleep(50 * time.Millisecond)
	}
	return false
}
