// Command parsleydev runs a small deployment in one process over loopback sockets, for trying it out.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"

	"parsleyscale/internal/telemetry/logger"
	"parsleyscale/internal/trial/launcher"
)

type options struct {
	Once bool `long:"once" description:"run the steps of the trial, which include a failure of the primary, print one line for each and exit"`
	Logs bool `long:"logs" description:"write the logs of the VMs to standard error"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(2)
	}
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, "parsleydev:", err)
		os.Exit(1)
	}
}

func run(o options) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	cfg := launcher.Default()
	if o.Logs {
		cfg.Log = logger.New(os.Stderr, "parsleydev")
	}
	trial, err := launcher.Start(cfg)
	if err != nil {
		return err
	}
	if o.Once {
		if err := trial.RunSteps(ctx, os.Stdout); err != nil {
			_ = trial.Close()
			return err
		}
		return trial.Close()
	}
	for n := range 3 {
		fmt.Println(trial.VMURL(n))
	}
	fmt.Println("platform", trial.PlatformURL())
	fmt.Println("running; press Ctrl-C to stop")
	<-ctx.Done()
	return trial.Close()
}
