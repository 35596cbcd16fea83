package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// program is the program that deploy/system.toml runs on an entry VM.
const program = "target/parsleyline"

// addresses are the addresses of a VM.
type addresses struct{ caller, ready, peer, link, admin string }

// vm is a process of the program.
type vm struct {
	name, zone string
	addresses
	settings string // file
	cmd      *exec.Cmd
	ended    chan struct{}
}

// hosts counts the loopback hosts that VMs were given.
var hosts int

// freeAddresses returns free addresses on a loopback host of its own for a VM.
func freeAddresses() (addresses, error) {
	hosts++
	var list [5]string
	for k := range list {
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 64+os.Getpid()%128, os.Getpid()>>7%256, hosts))
		if err != nil {
			return addresses{}, err
		}
		defer func() { _ = l.Close() }()
		list[k] = l.Addr().String()
	}
	return addresses{list[0], list[1], list[2], list[3], list[4]}, nil
}

// newVM writes the settings of a VM like those that deploy/entry.jsonc gives it in a small deployment.
func newVM(dir, name, zone, store, orders string, seeds []string, a addresses) (*vm, error) {
	settings := map[string]any{
		"id": name, "region": regionOf(zone), "dataCentre": zone, "dataCentres": regions,
		"callerAddress": a.caller, "readyAddress": a.ready, "peerAddress": a.peer, "linkAddress": a.link, "adminAddress": a.admin,
		"coreShare": 0.4, "linkMbps": 1000.0, "memoryMB": 284, "maxDescriptors": 4200,
		"seeds": seeds, "store": store, "orders": orders, "fencing": true, "stopGrace": "6s",
	}
	b, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return nil, err
	}
	v := &vm{name: name, zone: zone, addresses: a, settings: filepath.Join(dir, name+".jsonc")}
	return v, os.WriteFile(v.settings, b, 0o600)
}

// start starts the process. Its log goes to a file beside the settings.
func (v *vm) start() error {
	log, err := os.OpenFile(v.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	v.cmd = exec.Command(program, "--settings", v.settings)
	v.cmd.Stdout, v.cmd.Stderr = log, log
	v.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := v.cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	v.ended = ended
	go func() {
		_ = v.cmd.Wait()
		_ = log.Close()
		close(ended)
	}()
	return nil
}

// signal sends a signal to the process.
func (v *vm) signal(s syscall.Signal) { _ = v.cmd.Process.Signal(s) }

// stop ends the process as the platform does: with SIGTERM, and with SIGKILL after the grace period.
func (v *vm) stop() {
	v.signal(syscall.SIGTERM)
	select {
	case <-v.ended:
	case <-time.After(6 * time.Second):
		v.kill()
	}
}

// kill kills the process and waits for its end.
func (v *vm) kill() {
	v.signal(syscall.SIGKILL)
	<-v.ended
}

// awaitReady waits until the VM reports that it is ready.
func (v *vm) awaitReady() error {
	c := http.Client{Timeout: time.Second}
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		res, err := c.Get("http://" + v.ready + "/ready")
		if err != nil {
			continue
		}
		_ = res.Body.Close()
		if res.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("VM %s did not become ready", v.name)
}

// record is the file in which a case states what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{file: f, start: time.Now()}, err
}

// printf writes a line with the time since the start.
func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}
