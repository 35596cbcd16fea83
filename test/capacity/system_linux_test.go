package capacity

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"parsleyscale/internal/config/loader"
	"parsleyscale/internal/fault/relayer"
	instance "parsleyscale/internal/group/emulator"
	"parsleyscale/internal/platform/client"
	platform "parsleyscale/internal/platform/emulator"
	"parsleyscale/internal/sheet/distributor"
	"parsleyscale/internal/sheet/parser"
)

const (
	tokenKey     = "capacity-test-key"
	startTimeout = 30 * time.Second
	replicas     = 2
	// firstNet and lastNet bound the second number of the VMs' IP numbers. The
	// numbers below are those of the bench and of the integration tests.
	firstNet, lastNet = 250, 254
)

// Ports of a VM.
const (
	callerPort = 5433
	peerPort   = 7000
	adminPort  = 7001
)

// Data centres of the sheet. Databases in awayCentre have no gateway, because no VM is there.
const (
	nearCentre  = "near"
	otherCentre = "other"
	awayCentre  = "away"
)

// size is the size of one system.
type size struct {
	databases int // with instances in nearCentre
	away      int // databases in the sheet only
	vms       int // in nearCentre
	others    int // VMs in otherCentre
}

// system is the platform and the instances in this process, and VM processes.
type system struct {
	t       *testing.T
	dir     string
	net     *relayer.Network
	admin   *client.Client
	store   string // URL, behind a relay
	server  *platform.Server
	sheet   parser.Sheet
	vms     []*vm
	program string

	prefix   [2]byte // second and third number of the VMs' IP numbers
	lastHost byte
}

// vm is a VM process.
type vm struct {
	id     string
	cmd    *exec.Cmd
	caller string
	admin  string
}

// start starts a system and waits until all VMs are ready. The test ends it.
func start(t *testing.T, program string, n size) *system {
	t.Helper()
	s := &system{t: t, program: program, dir: t.TempDir(), net: relayer.NewNetwork(relayer.Delays{}, 0)}
	s.prefix = [2]byte{byte(firstNet + rand.IntN(lastNet-firstNet)), byte(rand.IntN(256))}
	s.startPlatform()
	s.startInstances(n)
	s.applySheet()
	for i := range n.vms {
		s.startVM(fmt.Sprintf("%s-%d", nearCentre, i+1), nearCentre)
	}
	for i := range n.others {
		s.startVM(fmt.Sprintf("%s-%d", otherCentre, i+1), otherCentre)
	}
	for _, v := range s.vms {
		s.awaitReady(v)
	}
	return s
}

// relay returns the address of a new relay in front of an address.
func (s *system) relay(target string) string {
	s.t.Helper()
	r, err := s.net.Listen("127.0.0.1:0", target)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = r.Close() })
	return r.Addr()
}

func (s *system) startPlatform() {
	s.t.Helper()
	var err error
	if s.server, err = platform.Start(platform.Config{Address: "127.0.0.1:0"}); err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = s.server.Close() })
	if s.admin, err = client.New(client.Config{URL: s.server.URL()}); err != nil {
		s.t.Fatal(err)
	}
	s.store = "http://" + s.relay(s.server.Addr())
}

func (s *system) startInstances(n size) {
	s.t.Helper()
	var list []parser.Database
	for i := range n.databases {
		list = append(list, s.startDatabase(fmt.Sprintf("orders%d", i)))
	}
	for i := range n.away {
		list = append(list, awayDatabase(i))
	}
	s.sheet = parser.Sheet{
		Deployment: "capacity",
		Regions:    []parser.Region{{Name: "castilla", DataCentres: []string{nearCentre, otherCentre, awayCentre}}},
		Services: []parser.Service{{
			Name:      "plume-ledger",
			ReadKinds: []parser.ReadKind{{Name: "catalogue", MaxStaleness: parser.Duration(2 * time.Second)}},
			Databases: list,
		}},
	}
}

// startDatabase starts a primary and its replicas.
func (s *system) startDatabase(name string) parser.Database {
	s.t.Helper()
	db := parser.Database{Name: name}
	for n := range 1 + replicas {
		cfg := instance.Config{
			Name: fmt.Sprintf("%s-%d", name, n), Listen: "127.0.0.1:0", Primary: n == 0, Term: 1,
			Slots: 4, Connections: 64, ControlConnections: 64,
		}
		cfg.Dir = filepath.Join(s.dir, cfg.Name)
		if n > 0 {
			cfg.Upstream = db.Instances[0].Address
		}
		i, err := instance.Start(cfg)
		if err != nil {
			s.t.Fatal(err)
		}
		s.t.Cleanup(func() { _ = i.Close() })
		db.Instances = append(db.Instances, parser.Instance{
			Name: cfg.Name, Address: s.relay(i.Addr()), DataCentre: nearCentre, Slots: 4, Connections: 64, State: parser.Serving,
		})
	}
	return db
}

func awayDatabase(n int) parser.Database {
	db := parser.Database{Name: fmt.Sprintf("away%d", n)}
	for i := range 1 + replicas {
		db.Instances = append(db.Instances, parser.Instance{
			Name:       fmt.Sprintf("away%d-%d", n, i),
			Address:    netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i), byte(n >> 8), byte(n)}), 5432).String(),
			DataCentre: awayCentre, Slots: 4, Connections: 64, State: parser.Serving,
		})
	}
	return db
}

func (s *system) applySheet() {
	s.t.Helper()
	ctx, cancel := context.WithTimeout(s.t.Context(), startTimeout)
	defer cancel()
	if _, err := distributor.NewAcceptor(s.admin).Accept(ctx, "capacity", "first-sheet", 0, s.sheet); err != nil {
		s.t.Fatal(err)
	}
}

// startVM lists a VM and starts its process.
func (s *system) startVM(id, dataCentre string) {
	s.t.Helper()
	host := s.nextHost()
	caller, peer, admin := at(host, callerPort), at(host, peerPort), at(host, adminPort)
	cfg := loader.Default()
	cfg.ID, cfg.DataCentre, cfg.Region = id, dataCentre, "castilla"
	cfg.CallerAddress, cfg.PeerAddress, cfg.AdminAddress = caller, peer, admin
	cfg.Platform, cfg.PlainText, cfg.TokenKeys = s.store, true, []string{tokenKey}
	s.server.SetVM(client.VM{ID: id, Address: peer, Region: cfg.Region, DataCentre: dataCentre, State: client.VMLive})
	b, err := json.Marshal(cfg)
	if err != nil {
		s.t.Fatal(err)
	}
	file := filepath.Join(s.dir, id+".json")
	if err := os.WriteFile(file, b, 0o600); err != nil {
		s.t.Fatal(err)
	}
	v := &vm{id: id, caller: caller, admin: admin, cmd: exec.Command(s.program, "--settings", file)}
	v.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := v.cmd.Start(); err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() {
		_ = v.cmd.Process.Kill()
		_ = v.cmd.Wait()
	})
	s.vms = append(s.vms, v)
}

func at(host netip.Addr, port uint16) string { return netip.AddrPortFrom(host, port).String() }

// nextHost returns an IP number for a VM. Each VM has its own, and the ports are below
// those of outgoing connections, so that no other connection takes a port before the VM listens.
func (s *system) nextHost() netip.Addr {
	s.lastHost++
	return netip.AddrFrom4([4]byte{127, s.prefix[0], s.prefix[1], s.lastHost})
}

func (s *system) awaitReady(v *vm) {
	s.t.Helper()
	end := time.Now().Add(startTimeout)
	for {
		err := v.ready()
		if err == nil {
			return
		}
		if time.Now().After(end) {
			s.t.Fatalf("vm %s after %v: %v", v.id, startTimeout, err)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func (v *vm) ready() error {
	c := http.Client{Timeout: time.Second}
	defer c.CloseIdleConnections()
	r, err := c.Get("http://" + v.admin + "/ready")
	if err != nil {
		return err
	}
	defer r.Body.Close()
	if r.StatusCode != http.StatusOK {
		return errors.New(r.Status)
	}
	return nil
}

// measure returns the rates of all VMs over a window.
func (s *system) measure(window time.Duration) []rates {
	s.t.Helper()
	first := s.usages()
	time.Sleep(window)
	last := s.usages()
	list := make([]rates, len(s.vms))
	for i := range s.vms {
		list[i] = ratesOf(first[i], last[i])
	}
	return list
}

func (s *system) usages() []usage {
	s.t.Helper()
	list := make([]usage, len(s.vms))
	for i, v := range s.vms {
		var err error
		if list[i], err = usageOf(v.cmd.Process.Pid); err != nil {
			s.t.Fatal(err)
		}
	}
	return list
}
