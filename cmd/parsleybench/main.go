// Command parsleybench runs load and injects faults against a test deployment, and reports what clients observed.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"

	"parsleyscale/internal/bench/runner"
)

// Exit statuses.
const (
	exitFailure = 1 // the command failed, or a count that must be zero is not
	exitUsage   = 2 // the command line is not valid
)

type options struct {
	List runner.ListCommand `command:"list" description:"list the scenarios"`
	Run  runner.RunCommand  `command:"run" description:"run a scenario and print the measurements"`
}

func main() {
	var o options
	p := flags.NewParser(&o, flags.HelpFlag|flags.PassDoubleDash)
	_, err := p.Parse()
	if err == nil {
		return
	}
	if flags.WroteHelp(err) {
		fmt.Println(err)
		return
	}
	fmt.Fprintln(os.Stderr, "parsleybench:", err)
	var usage *flags.Error
	if errors.As(err, &usage) {
		os.Exit(exitUsage)
	}
	os.Exit(exitFailure)
}
