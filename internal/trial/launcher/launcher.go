package launcher

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"parsleyscale/internal/config/loader"
	"parsleyscale/internal/daemon/runner"
	instance "parsleyscale/internal/group/emulator"
	"parsleyscale/internal/member/tracker"
	"parsleyscale/internal/platform/client"
	platform "parsleyscale/internal/platform/emulator"
	"parsleyscale/internal/sheet/distributor"
	"parsleyscale/internal/sheet/parser"
	"parsleyscale/internal/telemetry/logger"
)

const (
	database     = "plume-ledger-orders"
	region       = "castilla"                 // of the first two data centres
	readyTimeout = 10 * time.Second           // limit for applying the sheet, and for all VMs to become ready
	tokenKey     = "trial-key-of-one-process" // key of the VMs' session tokens
)

// dataCentres lists the data centres, each of which has one VM and one instance.
var dataCentres = []string{"castilla-burgos", "castilla-palencia", "cantabria-santander"}

// Config holds the settings of the trial's instances and its log.
type Config struct {
	Slots       int            // of an instance
	Connections int            // connection limit of an instance, without control connections
	ApplyDelay  time.Duration  // replication delay until a replica applies an entry
	Log         *logger.Logger // of the VMs; nil: no log
}

// Default returns the limits of the instances in examples/arrieta.jsonc and a short replication delay.
func Default() Config {
	return Config{Slots: 2, Connections: 16, ApplyDelay: 50 * time.Millisecond}
}

// Trial is a running trial system.
type Trial struct {
	cfg       Config
	dir       string
	platform  *platform.Server
	instances []*instance.Server
	vms       []*runner.Daemon
}

// Start starts a trial system and waits until all VMs are ready.
func Start(cfg Config) (*Trial, error) {
	t := &Trial{cfg: cfg}
	for _, step := range []func() error{t.startPlatform, t.startInstances, t.applySheet, t.startVMs, t.awaitReady} {
		if err := step(); err != nil {
			return nil, errors.Join(err, t.Close())
		}
	}
	return t, nil
}

// Close stops the VMs, the instances and the platform, and removes the instances' files.
func (t *Trial) Close() error {
	var errs []error
	for _, d := range t.vms {
		errs = append(errs, d.Close())
	}
	for _, i := range t.instances {
		errs = append(errs, i.Close())
	}
	if t.platform != nil {
		errs = append(errs, t.platform.Close())
	}
	return errors.Join(append(errs, os.RemoveAll(t.dir))...)
}

func (t *Trial) startPlatform() error {
	var err error
	if t.dir, err = os.MkdirTemp("", "parsleydev"); err != nil {
		return err
	}
	t.platform, err = platform.Start(platform.Config{Address: "127.0.0.1:0"})
	return err
}

func (t *Trial) startInstances() error {
	upstream := ""
	for n := range dataCentres {
		i, err := instance.Start(instance.Config{
			Name:               instanceName(n),
			Listen:             "127.0.0.1:0",
			Dir:                filepath.Join(t.dir, instanceName(n)),
			Primary:            n == 0,
			Term:               1,
			Upstream:           upstream,
			Slots:              t.cfg.Slots,
			Connections:        t.cfg.Connections,
			ControlConnections: 64,
			ApplyDelay:         t.cfg.ApplyDelay,
		})
		if err != nil {
			return err
		}
		if n == 0 {
			upstream = i.Addr()
		}
		t.instances = append(t.instances, i)
	}
	return nil
}

// instanceName returns the name of the instance with index n.
func instanceName(n int) string { return fmt.Sprintf("orders-%d", n+1) }

// sheet returns the sheet that describes the trial system.
func (t *Trial) sheet() parser.Sheet {
	db := parser.Database{Name: database}
	for n, i := range t.instances {
		db.Instances = append(db.Instances, parser.Instance{Name: instanceName(n), Address: i.Addr(), DataCentre: dataCentres[n], Slots: t.cfg.Slots, Connections: t.cfg.Connections, State: parser.Serving})
	}
	return parser.Sheet{
		Deployment: "trial",
		Regions:    []parser.Region{{Name: region, DataCentres: dataCentres[:2]}, {Name: "cantabria", DataCentres: dataCentres[2:]}},
		Services: []parser.Service{{
			Name:      "plume-ledger",
			ReadKinds: []parser.ReadKind{{Name: "current"}, {Name: "stock", MaxStaleness: parser.Duration(2 * time.Second)}, {Name: "catalogue", MaxStaleness: parser.Duration(30 * time.Second)}},
			Databases: []parser.Database{db},
		}},
	}
}

// applySheet submits the trial's sheet to the platform as its first version.
func (t *Trial) applySheet() error {
	c, err := client.New(client.Config{URL: t.platform.URL()})
	if err != nil {
		return err
	}
	defer c.Close()
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	_, err = distributor.NewAcceptor(c).Accept(ctx, "parsleydev", "first-sheet", 0, t.sheet())
	return err
}

// startVMs starts the VMs and registers them with the platform.
func (t *Trial) startVMs() error {
	regions := []string{region, region, "cantabria"}
	for n, dc := range dataCentres {
		cfg := loader.Default()
		cfg.ID = fmt.Sprintf("vm-%d", n+1)
		cfg.Region, cfg.DataCentre = regions[n], dc
		cfg.CallerAddress, cfg.PeerAddress, cfg.AdminAddress = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
		cfg.Platform, cfg.PlainText, cfg.TokenKeys = t.platform.URL(), true, []string{tokenKey}
		d, err := runner.Start(cfg, t.cfg.Log.WithVM(cfg.ID))
		if err != nil {
			return err
		}
		t.vms = append(t.vms, d)
		m := d.Member()
		t.platform.SetVM(client.VM{ID: m.ID, Address: m.Address, Region: m.Region, DataCentre: m.DataCentre, State: string(tracker.Live)})
	}
	return nil
}

// awaitReady waits until all VMs are ready, for at most readyTimeout.
func (t *Trial) awaitReady() error {
	deadline := time.Now().Add(readyTimeout)
	for _, d := range t.vms {
		for d.Ready() != nil {
			if time.Now().After(deadline) {
				return fmt.Errorf("vm %s is not ready after %v: %w", d.Member().ID, readyTimeout, d.Ready())
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	return nil
}

// VMURL returns the connection string of the VM with index vm, for clients.
func (t *Trial) VMURL(vm int) string {
	return fmt.Sprintf("postgres://trial@%s/%s?sslmode=disable", t.vms[vm].ClientAddress(), database)
}

// InstanceURL returns the connection string of the instance with index n, which bypasses the VMs.
func (t *Trial) InstanceURL(n int) string {
	return fmt.Sprintf("postgres://trial@%s/%s?sslmode=disable", t.instances[n].Addr(), database)
}

// PlatformURL returns the URL of the emulated platform, for parsleyctl.
func (t *Trial) PlatformURL() string { return t.platform.URL() }
