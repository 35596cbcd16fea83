// Command parsleyline is the daemon of an entry VM on the users' platform, with the line protocol.
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
	"parsleyscale/internal/daemon/assembler"
	"parsleyscale/internal/telemetry/logger"
	"parsleyscale/platform"
)

// Exit codes.
const (
	exitFailure = 1
	exitUsage   = 2
)

type options struct {
	Settings string `long:"settings" value-name:"FILE" required:"true" description:"run with the settings in FILE"`
	Check    bool   `long:"check" description:"check the settings and exit"`
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

// gcPercent is the growth of the heap between two collections on a VM whose memory is known. The live heap is a few MB, so that
// collections cost little processor time and save a fifth of the memory.
const gcPercent = 40

func run(o options) error {
	cfg, err := loader.LoadLine(o.Settings)
	if err != nil || o.Check {
		return err
	}
	if cfg.MemoryMB > 0 {
		debug.SetMemoryLimit(budgeter.MemoryLimit(cfg.MemoryMB))
		debug.SetGCPercent(gcPercent)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	reload := assembler.Reload{Signal: notifyReload(), Load: func() (loader.LineSettings, error) { return loader.LoadLine(o.Settings) }}
	return assembler.Run(ctx, cfg, platform.New(cfg.Store, cfg.Orders), reload, logger.NewBounded(os.Stdout, cfg.ID))
}

// notifyReload returns a channel that receives a value for each SIGHUP, with which an operator asks the process to reload
// its settings file. Signals may be dropped while earlier ones are pending.
func notifyReload() <-chan struct{} {
	signals, reloads := make(chan os.Signal, 1), make(chan struct{})
	signal.Notify(signals, syscall.SIGHUP)
	go func() {
		for range signals {
			reloads <- struct{}{}
		}
	}()
	return reloads
}
