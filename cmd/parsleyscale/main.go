// Command parsleyscale is the daemon of an entry VM, which clients connect to with the PostgreSQL protocol.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/jessevdk/go-flags"

	"parsleyscale/internal/client/budgeter"
	"parsleyscale/internal/config/loader"
	"parsleyscale/internal/daemon/runner"
	"parsleyscale/internal/telemetry/logger"
)

// Exit codes.
const (
	exitFailure = 1
	exitUsage   = 2
)

type options struct {
	Settings string `long:"settings" value-name:"FILE" description:"run with the settings in FILE"`
	Check    string `long:"check-settings" value-name:"FILE" description:"check the settings in FILE and exit"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(exitUsage)
	}
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailure)
	}
}

func run(o options) error {
	if o.Check != "" {
		cfg, err := loader.Load(o.Check)
		if err == nil {
			fmt.Println("ok", cfg)
		}
		return err
	}
	cfg, err := loader.Load(o.Settings)
	if err != nil {
		return err
	}
	if cfg.MemoryMB > 0 {
		debug.SetMemoryLimit(budgeter.MemoryLimit(cfg.MemoryMB))
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return runner.Run(ctx, cfg, logger.New(os.Stderr, cfg.ID))
}
