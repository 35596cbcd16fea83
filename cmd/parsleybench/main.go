// Command parsleybench loads a deployment, makes faults and reports what callers saw.
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
	exitFault = 1 // the run failed, or a count is not zero
	exitUsage = 2
)

type options struct {
	List runner.ListCommand `command:"list" description:"list the scenarios"`
	Run  runner.RunCommand  `command:"run" description:"run a scenario and print what was measured"`
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
	os.Exit(exitFault)
}
