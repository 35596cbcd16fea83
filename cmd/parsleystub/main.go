// Command parsleystub runs the stand-ins for the platform and for database instances.
package main

import (
	"os"

	"github.com/jessevdk/go-flags"

	instance "parsleyscale/internal/group/emulator"
	platform "parsleyscale/internal/platform/emulator"
)

type options struct {
	Platform platform.Command `command:"platform" description:"run a stand-in for the platform's service"`
	Instance instance.Command `command:"instance" description:"run a stand-in for a database instance"`
}

func main() {
	if _, err := flags.Parse(&options{}); err != nil && !flags.WroteHelp(err) {
		os.Exit(1)
	}
}
