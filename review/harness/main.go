// Command harness plays the review cases that are scripts. It runs stand-ins for the platform,
// the instances and the clients, and starts the project's daemon as separate processes.
package main

import (
	"fmt"
	"os"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases maps the name of a case to its function, which reports whether the rule was broken.
var cases = map[string]func(d *deployment, trouble bool) (isBroken bool, err error){
	"smuggle": playSmuggle,
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness smuggle RECORD")
		return exitNotRun
	}
	f, err := os.Create(args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = f.Close() }()
	d, err := startDeployment(newRecord(f))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer d.close()
	isBroken, err := cases[args[0]](d, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		d.record.printf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	case isBroken:
		d.record.printf("verdict: the rule was broken")
		return exitBroken
	}
	d.record.printf("verdict: the rule held")
	return exitHeld
}
