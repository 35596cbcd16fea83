// Command parsleystub runs emulators of the platform and of database instances.
package main

import (
	"os"

	"github.com/jessevdk/go-flags"

	instance "parsleyscale/internal/group/emulator"
	platform "parsleyscale/internal/platform/emulator"
)

type options struct {
	Platform platform.Command `command:"platform" description:"run an emulator of the platform's services"`
	Instance instance.Command `command:"instance" description:"run an emulator of a database instance"`
}

func main() {
	if _, err := flags.Parse(&options{}); err != nil && !flags.WroteHelp(err) {
		os.Exit(1)
	}
}
