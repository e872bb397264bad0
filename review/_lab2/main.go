// Command review2 holds the stand-ins and the cases of the review; see REPORT-2.md.
package main

import (
	"fmt"
	"os"
)

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "review2 worker|CASE")
		os.Exit(2)
	}
	if os.Args[1] == "worker" {
		os.Exit(runWorker(os.Args[2:]))
	}
	run, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(2)
	}
	os.Exit(run(os.Getenv("TROUBLE") != "0"))
}

// cases are the cases by name. Each returns 1 if the rule was broken, 0 if it held and 2 if it
// could not run.
var cases = map[string]func(trouble bool) int{
	"cut": cutStreams,
}
