// Command stand-2 plays the cases of the second review: it starts the project's programs as
// separate processes and stands in for minions, clients, the operator and the platform.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"time"
)

// Exit codes of a case.
const (
	held, broken, cannotRun = 0, 1, 2
)

var cases = map[string]func(rec *record, trouble bool) (int, error){
	"writer": writer, "founding": founding, "dropped": dropped,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand-2 CASE FOLDER, from the root of the repository")
		os.Exit(cannotRun)
	}
	runtime.LockOSThread() // the processes end with the thread that started them
	file, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(cannotRun)
	}
	rec := &record{began: time.Now(), file: file}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.note("case %s, disruption %v", os.Args[1], trouble)
	code, err := cases[os.Args[1]](rec, trouble)
	if err != nil {
		rec.note("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		code = cannotRun
	}
	rec.note("%s", map[int]string{held: "the rule held", broken: "the rule was broken", cannotRun: "no verdict"}[code])
	if err := file.Close(); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	fmt.Println(map[int]string{held: "held", broken: "broken", cannotRun: "could not run"}[code])
	os.Exit(code)
}
