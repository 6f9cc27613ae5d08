// Command stand-3 plays the cases of the third review: it starts the project's programs as
// separate processes and stands in for the platform, its clients, its operator and its minions.
package main

import (
	"flag"
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2
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
	code, err := play(&e)
	if err != nil {
		rec.say("the case could not run: %v", err)
		code = failed
	}
	os.Exit(code)
}

var cases = map[string]func(*env) (int, error){}
