// Command standins3 plays the cases of the third review that cannot be played on the users' bench: it starts the entry VMs of a
// small deployment as processes, and stands in for the clients, the instances and the platform. It exits with 1 if the rule of the
// case was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// maxListed limits the violations that are listed in the record.
const maxListed = 10

// cases are the scenarios by name. Each returns what broke the rule, or nothing.
var cases = map[string]func(d *deployment, isTrouble bool) ([]string, error){
	"behind":   playBehind,
	"cutoff":   playCutOff,
	"versions": playVersions,
	"expired":  playExpired,
	"rosters":  playRosters,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins3 CASE RECORD")
		return exitFailed
	}
	d, err := newDeployment(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer d.close()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-interrupted
		d.close()
		os.Exit(exitFailed)
	}()
	broken, err := cases[os.Args[1]](d, os.Getenv("TROUBLE") != "0")
	if err != nil {
		d.record.printf("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	if len(broken) == 0 {
		d.record.printf("the rule held")
		fmt.Println("held")
		return exitHeld
	}
	for k, b := range broken {
		if k == maxListed {
			break
		}
		d.record.printf("broken: %s", b)
	}
	fmt.Printf("broken: %s (%d in all)\n", broken[0], len(broken))
	return exitBroken
}
