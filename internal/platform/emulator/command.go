package emulator

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/tailscale/hujson"

	"parsleyscale/internal/platform/client"
)

// Command runs the emulator as a process until SIGTERM or SIGINT. It prints the address on which it listens.
type Command struct {
	Listen  string        `long:"listen" default:"127.0.0.1:0" description:"address to listen on"`
	ListLag time.Duration `long:"list-lag" default:"2s" description:"time until a change of a VM appears in the list"`
	VMs     string        `long:"vms" description:"file with the VMs listed from the start, JSON with comments"`
}

// Execute implements flags.Commander.
func (c *Command) Execute(args []string) error {
	if len(args) > 0 {
		return fmt.Errorf("platform: unexpected argument %q", args[0])
	}
	vms, err := readVMs(c.VMs)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	s, err := Start(Config{Address: c.Listen, ListLag: c.ListLag, VMs: vms})
	if err != nil {
		return err
	}
	fmt.Println("listening", s.Addr())
	<-ctx.Done()
	return s.Close()
}

// readVMs reads a list of VMs from a file. It returns none if the file name is empty.
func readVMs(file string) ([]client.VM, error) {
	if file == "" {
		return nil, nil
	}
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	standard, err := hujson.Standardize(b)
	if err != nil {
		return nil, fmt.Errorf("parse VM list %s: %w", file, err)
	}
	var vms []client.VM
	if err := json.Unmarshal(standard, &vms); err != nil {
		return nil, fmt.Errorf("decode VM list %s: %w", file, err)
	}
	return vms, nil
}
