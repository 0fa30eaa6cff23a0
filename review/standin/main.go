// Command standin runs the scripts of the review. It starts gateways as separate processes, and plays the platform's store, the
// replicas and the consumers on loopback addresses. It exits with 1 if a rule was broken, 0 if it held, and 2 if the script could
// not run.
package main

import (
	"flag"
	"fmt"
	"os"
)

const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// scenario is one script.
type scenario func(d *deployment, trouble bool) (broken int, err error)

var scenarios = map[string]scenario{
	"poison":   poison,
	"shutdown": shutdown,
}

func main() {
	os.Exit(runScenario())
}

func runScenario() int {
	name := flag.String("scenario", "", "name of the script")
	binary := flag.String("gateway", "", "path of the gateway's program")
	path := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	f, ok := scenarios[*name]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown script", *name)
		return exitCannotRun
	}
	d, err := newDeployment(*binary, *path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	defer d.close()
	broken, err := f(d, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		d.rec.add("the script could not run: %v", err)
		return exitCannotRun
	}
	d.rec.add("%d requests broke the rule", broken)
	fmt.Println(broken, "requests broke the rule")
	if broken > 0 {
		return exitBroken
	}
	return exitHeld
}
