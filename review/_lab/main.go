// Command lab plays one case of the review: it starts the project's own programs as separate
// processes on loopback addresses, with stand-ins for the clients, the workers and the platform,
// and checks one rule.
//
// It exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// timeLimit is the time in which a case must be done.
const timeLimit = 110 * time.Second

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the cases by their numbers; 4 to 6 are told in REPORT.md only. Each returns whether the rule was broken.
var cases = map[int]func(l *lab, trouble bool) (bool, error){
	1: notRunRepeated,
	2: doubleRun,
	4: unsignedSuccess,
	5: noFormation,
	6: shortStream,
}

func main() { os.Exit(run()) }

func run() int {
	number := flag.Int("case", 0, "number of the case")
	folder := flag.String("record", "", "folder in which record.txt is written")
	flag.Parse()
	play := cases[*number]
	if play == nil || *folder == "" {
		fmt.Fprintln(os.Stderr, "lab: -case and -record are required")
		return exitNotRun
	}
	l, err := newLab(filepath.Join(*folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, "lab:", err)
		return exitNotRun
	}
	defer l.close()
	watchdog := time.AfterFunc(timeLimit, func() {
		l.note("could not run: not done in %s", timeLimit)
		l.close()
		os.Exit(exitNotRun)
	})
	defer watchdog.Stop()
	trouble := os.Getenv("TROUBLE") != "0"
	l.note("case %d, trouble %t", *number, trouble)
	broken, err := play(l, trouble)
	switch {
	case err != nil:
		l.note("could not run: %v", err)
		fmt.Fprintln(os.Stderr, "lab:", err)
		return exitNotRun
	case broken:
		l.note("RULE BROKEN")
		return exitBroken
	}
	l.note("rule held")
	return exitHeld
}
