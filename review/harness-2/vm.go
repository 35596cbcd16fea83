package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// vm is a process of the system.
type vm struct {
	id, zone         string
	caller, readyURL string
	settings         string // file
	cmd              *exec.Cmd
}

// deployment is a small deployment: the zones and machines of arrieta-plumas.
type deployment struct {
	dir           string
	store, orders string
	vms           []*vm
}

var regionOf = map[string]string{"castilla-burgos": "castilla", "castilla-palencia": "castilla", "cantabria-santander": "cantabria"}

// usedPorts are the ports that freeAddress has returned.
var usedPorts = map[int]bool{}

// freeAddress returns a loopback address with a free port. The port lies below those that the system assigns to outgoing
// connections, one of which could take it before the VM starts, or starts again.
func freeAddress() string {
	const first, count = 12_000, 18_000
	for {
		port := first + rand.IntN(count)
		if usedPorts[port] {
			continue
		}
		usedPorts[port] = true
		address := fmt.Sprintf("127.0.0.1:%d", port)
		if l, err := net.Listen("tcp", address); err == nil {
			_ = l.Close()
			return address
		}
	}
}

// startVMs starts a VM in each of the zones, with the command of the deploy file and the settings that its template yields.
func (d *deployment) startVMs(zones []string) {
	type addresses struct{ caller, ready, peer, link, admin string }
	all := make([]addresses, len(zones))
	var seeds []string
	for k := range all {
		all[k] = addresses{freeAddress(), freeAddress(), freeAddress(), freeAddress(), freeAddress()}
		if k < 3 {
			seeds = append(seeds, all[k].peer)
		}
	}
	for k, zone := range zones {
		a := all[k]
		id := fmt.Sprintf("frontend-%s-%d", zone, k+1)
		b, err := json.MarshalIndent(map[string]any{
			"id": id, "region": regionOf[zone], "dataCentre": zone, "dataCentres": regionOf, "callerAddress": a.caller, "readyAddress": a.ready,
			"peerAddress": a.peer, "linkAddress": a.link, "coreShare": 0.4, "linkMbps": 1000, "memoryMB": 284, "maxDescriptors": 4200,
			"adminAddress": a.admin, "seeds": seeds, "store": d.store, "orders": d.orders, "fencing": true, "stopGrace": "6s",
		}, "", "  ")
		file := filepath.Join(d.dir, id+".json")
		if err == nil {
			err = os.WriteFile(file, b, 0o600)
		}
		if err != nil {
			giveUp(err.Error())
		}
		v := &vm{id: id, zone: zone, caller: a.caller, readyURL: "http://" + a.ready + "/ready", settings: file}
		v.start()
		d.vms = append(d.vms, v)
	}
}

// start starts the process of a VM with the command of the deploy file.
func (v *vm) start() {
	log, err := os.OpenFile(strings.TrimSuffix(v.settings, ".json")+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		giveUp(err.Error())
	}
	defer func() { _ = log.Close() }()
	v.cmd = exec.Command("target/parsleyline", "--settings", v.settings)
	v.cmd.Stdout, v.cmd.Stderr = log, log
	v.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // if the case itself is killed
	if err := v.cmd.Start(); err != nil {
		giveUp(err.Error())
	}
}

// kill kills the process of a VM.
func (v *vm) kill() {
	_ = v.cmd.Process.Kill()
	_ = v.cmd.Wait()
}

// awaitReady waits until all VMs are ready.
func (d *deployment) awaitReady() {
	deadline := time.Now().Add(20 * time.Second)
	for _, v := range d.vms {
		for {
			res, err := http.Get(v.readyURL)
			if err == nil {
				_ = res.Body.Close()
				if res.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				giveUp(v.id + " does not get ready")
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// stop ends all processes that were started.
func (d *deployment) stop() {
	for _, v := range d.vms {
		v.kill()
	}
}

// recordMemory records the largest resident size of each VM so far.
func (d *deployment) recordMemory() {
	for _, v := range d.vms {
		b, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", v.cmd.Process.Pid))
		for _, line := range strings.Split(string(b), "\n") {
			if strings.HasPrefix(line, "VmHWM") {
				record("%s: %s", v.id, strings.Join(strings.Fields(line), " "))
			}
		}
	}
}

// inZone returns the VMs of a zone.
func (d *deployment) inZone(zone string) (list []*vm) {
	for _, v := range d.vms {
		if v.zone == zone {
			list = append(list, v)
		}
	}
	return list
}
