// Command standin2 plays the cases of the second review that are no days of the bench. It starts the gateways with the command of the
// deploy file, beside stand-ins for the platform's store, the replicas and the consumers, all on loopback addresses.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases maps the names of the cases to their functions, which return a description of how the rule was broken, or "". With trouble, the
// case has its disruption.
var cases = map[string]func(d *deployment, trouble bool) (string, error){
	"restore":  playRestore,
	"reuse":    playReuse,
	"rollback": playRollback,
}

func main() {
	os.Exit(play())
}

func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE FOLDER")
		return exitNotRun
	}
	d, err := newDeployment(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer d.close()
	fault, err := cases[os.Args[1]](d, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		d.rec.add("not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	case fault != "":
		d.rec.add("broken: %s", fault)
		fmt.Println("broken:", fault)
		return exitBroken
	default:
		d.rec.add("held")
		fmt.Println("held")
		return exitHeld
	}
}
