// Command parsleydev runs a trial system in one process over loopback sockets.
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
	Once bool `long:"once" description:"run the trial's steps, print one line for each and exit"`
	Logs bool `long:"logs" description:"write the VMs' logs to standard error"`
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
	t, err := launcher.Start(cfg)
	if err != nil {
		return err
	}
	if o.Once {
		if err := t.Once(ctx, os.Stdout); err != nil {
			_ = t.Close()
			return err
		}
		return t.Close()
	}
	for n := range 3 {
		fmt.Println(t.URL(n))
	}
	fmt.Println("platform", t.PlatformURL())
	fmt.Println("waiting; end with Ctrl-C")
	<-ctx.Done()
	return t.Close()
}
