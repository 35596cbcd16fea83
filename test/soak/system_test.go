package soak

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"parsleyscale/platform/emulator"
)

// Ports of a host.
const (
	clientPort = 5432 + iota
	readyPort
	peerPort
	linkPort
	adminPort
)

const (
	startTimeout = 30 * time.Second
	stopGrace    = 6 * time.Second // from SIGTERM to SIGKILL
)

// relayHosts is added to the last number of a VM's address for that of its relays.
const relayHosts = 100

// zones are the data centres with their regions.
var zones = []string{"z1", "z2", "z3"}

// receiveDelays are those of the replicas in each zone.
var receiveDelays = map[string]time.Duration{"z1": 0, "z2": time.Millisecond, "z3": 8 * time.Millisecond}

// system is the platform and the VMs of a run.
type system struct {
	t        *testing.T
	dir      string
	timeline *timeline
	gates    *gates
	groups   []*emulator.Group
	store    *emulator.Store
	vms      []*vm
	host     string // the first three numbers of the addresses
}

// vm is a VM and its process, which is started again and again.
type vm struct {
	id, settings, logFile string
	callerAddress         string
	readyAddress          string
	store                 *emulator.Front
	timeline              *timeline

	fault sync.Mutex // held during a fault of the process

	mu   sync.Mutex
	cmd  *exec.Cmd     // nil if it does not run
	done chan struct{} // closed when the process has ended
}

// newHost returns the first three numbers of addresses that no other run on this machine uses. They are taken until the end of
// the test by listening on one of them.
func newHost(t *testing.T) string {
	t.Helper()
	for range 100 {
		host := fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), rand.IntN(250))
		if l, err := net.Listen("tcp", host+".254:5432"); err == nil {
			t.Cleanup(func() { _ = l.Close() })
			return host
		}
	}
	t.Fatal("no free addresses")
	return ""
}

// newSystem starts the groups, the store and the VMs, and waits until the VMs are ready.
func newSystem(t *testing.T, dir, program string, vms, groups int) *system {
	t.Helper()
	s := &system{t: t, dir: dir, timeline: &timeline{names: map[string]string{}}, host: newHost(t)}
	s.gates = newGates(&sources{timeline: s.timeline, pids: s.pids})
	for k := range groups {
		g, err := emulator.StartGroup(emulator.Options{
			Name: fmt.Sprintf("grp%d", k+1), Zones: zones, Slots: 2, Queue: 16, Connections: 16, StatementDuration: 2 * time.Millisecond,
			Lag: 8 * time.Millisecond, PromoteTime: 600 * time.Millisecond, SyncReplicas: 1, Host: fmt.Sprintf("%s.%d", s.host, 240+k),
			Wrap: s.gates.wrap, Trace: func(text string) { s.timeline.add("platform", "%s", text) },
		})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(g.Close)
		for _, i := range g.Instances() {
			i.SetReceiveDelay(receiveDelays[i.Zone])
			s.gates.place(i.ID, i.Zone)
		}
		s.groups = append(s.groups, g)
	}
	var err error
	if s.store, err = emulator.StartStore(s.groups...); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.store.Close)
	s.store.Put("op", "config", s.configuration())
	for k := range vms {
		s.vms = append(s.vms, s.newVM(k))
	}
	for _, v := range s.vms {
		if err := v.start(program); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(v.kill)
	}
	for _, v := range s.vms {
		s.awaitReady(v)
	}
	return s
}

// configuration returns the operator's configuration.
func (s *system) configuration() map[string]any {
	var routes, services []map[string]any
	for _, g := range s.groups {
		routes = append(routes,
			map[string]any{"name": "c" + g.Name, "host": "current" + g.Name, "type": "primary", "timeout_ms": 800, "target_latency_ms": 300, "priority": 1, "service": g.Name},
			map[string]any{"name": "o" + g.Name, "host": "own" + g.Name, "type": "read_your_writes", "timeout_ms": 800, "target_latency_ms": 500, "priority": 2, "service": g.Name, "max_staleness_ms": 2500})
		services = append(services, map[string]any{"name": g.Name, "max_connections": 16, "sync_replicas": 1})
	}
	return map[string]any{"version": 1, "routes": routes, "services": services, "limits": map[string]any{"tx_idle_ms": 1000}}
}

// newVM writes the settings of a VM and starts its relays.
func (s *system) newVM(k int) *vm {
	s.t.Helper()
	id := fmt.Sprintf("vm-%d", k+1)
	address := func(k, port int) string { return fmt.Sprintf("%s.%d:%d", s.host, k+1, port) }
	front, err := s.store.StartFront()
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(front.Close)
	v := &vm{
		id: id, settings: filepath.Join(s.dir, id+".json"), logFile: filepath.Join(s.dir, id+".log"), store: front, timeline: s.timeline,
		callerAddress: address(k, clientPort), readyAddress: address(k, readyPort),
	}
	s.gates.place(id, zones[k%3])
	front.SetAliases("vms", id, address(k, peerPort), address(k+relayHosts, peerPort), address(k, linkPort), address(k+relayHosts, linkPort))
	for _, port := range []int{peerPort, linkPort} {
		r, err := startRelay(s, address(k+relayHosts, port), v, address(k, port))
		if err != nil {
			s.t.Fatal(err)
		}
		s.t.Cleanup(r.Close)
	}
	seeds := []string{address(relayHosts, peerPort), address(relayHosts+1, peerPort)}
	if k < len(seeds) {
		seeds[k] = address(k, peerPort)
	}
	b, err := json.Marshal(map[string]any{
		"id": id, "region": map[int]string{0: "r1", 1: "r1", 2: "r2"}[k%3], "dataCentre": zones[k%3], "dataCentres": map[string]string{"z1": "r1", "z2": "r1", "z3": "r2"},
		"callerAddress": v.callerAddress, "readyAddress": v.readyAddress, "peerAddress": address(k, peerPort), "linkAddress": address(k, linkPort),
		"adminAddress": address(k, adminPort), "seeds": seeds, "store": front.Address(), "orders": front.Address(),
		"fencing": true, "linkMbps": 1000, "coreShare": 0.4, "memoryMB": 184, "maxDescriptors": 4200, "stopGrace": "6s",
	})
	if err != nil {
		s.t.Fatal(err)
	}
	if err := os.WriteFile(v.settings, b, 0o600); err != nil {
		s.t.Fatal(err)
	}
	return v
}

// start starts the process, whose output is added to the log file.
func (v *vm) start(program string) error {
	f, err := os.OpenFile(v.logFile, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	c, done := exec.Command(program, "--settings", v.settings), make(chan struct{})
	c.Stdout, c.Stderr = f, f
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return err
	}
	v.mu.Lock()
	v.cmd, v.done = c, done
	v.mu.Unlock()
	go func() {
		err := c.Wait()
		v.timeline.add(v.id, "process %d ended: %v", c.Process.Pid, err)
		close(done)
	}()
	return nil
}

// pid returns the ID of the process, or 0 if it does not run.
func (v *vm) pid() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.cmd == nil {
		return 0
	}
	return v.cmd.Process.Pid
}

// signal sends a signal to the process, if it runs.
func (v *vm) signal(sig syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.cmd != nil {
		_ = v.cmd.Process.Signal(sig)
	}
}

// kill ends the process and waits for that.
func (v *vm) kill() { v.end(syscall.SIGKILL, 0) }

// end sends a signal, and SIGKILL if the process has not ended after the grace time, and waits for the end.
func (v *vm) end(sig syscall.Signal, grace time.Duration) {
	v.signal(sig)
	v.mu.Lock()
	done, isRunning := v.done, v.cmd != nil
	v.mu.Unlock()
	if !isRunning {
		return
	}
	select {
	case <-done:
	case <-time.After(grace):
		v.signal(syscall.SIGKILL)
		<-done
	}
	v.mu.Lock()
	v.cmd = nil
	v.mu.Unlock()
}

// pids returns the processes that run.
func (s *system) pids() map[string]int {
	m := map[string]int{}
	for _, v := range s.vms {
		if pid := v.pid(); pid != 0 {
			m[v.id] = pid
		}
	}
	return m
}

// awaitReady waits until a VM reports itself ready.
func (s *system) awaitReady(v *vm) {
	s.t.Helper()
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		r, err := c.Get("http://" + v.readyAddress + "/ready")
		if err != nil {
			continue
		}
		_ = r.Body.Close()
		if r.StatusCode == http.StatusOK {
			return
		}
	}
	s.t.Fatalf("%s was not ready within %v", v.id, startTimeout)
}
