package main

import (
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"parsleyscale/platform/emulator"
)

const (
	// memoryMB is the memory of a machine. The platform kills a process that exceeds it.
	memoryMB = 284
	// storms is the number of storms of the configuration, each of stormVersions versions.
	storms        = 50
	stormVersions = 25
	// stormGap is the time between two versions in a storm, and stormPause that between two storms.
	stormGap   = 60 * time.Millisecond
	stormPause = 150 * time.Millisecond
	// moreRoutes is how many routes a growth of the configuration adds, and growths the number of growths.
	moreRoutes = 400
	growths    = 4
)

// playVersions changes the configuration in storms, after it has grown by many routes.
func playVersions(d *deployment, isTrouble bool) ([]string, error) {
	var seeds []string
	var list [vmCount]addresses
	for k := range list {
		var err error
		if list[k], err = freeAddresses(); err != nil {
			return nil, err
		}
		if k < seedCount {
			seeds = append(seeds, list[k].peer)
		}
	}
	for k, a := range list {
		zone := zones[k%len(zones)]
		v, err := d.add(fmt.Sprintf("frontend-%s-%d", zone, k/len(zones)+1), zone, d.store.Address(), seeds, a)
		if err != nil {
			return nil, err
		}
		d.vms = append(d.vms, v)
	}
	for _, v := range d.vms {
		if err := v.awaitReady(); err != nil {
			return nil, err
		}
		d.startClient(v)
	}
	time.Sleep(2 * time.Second)
	routes := 0
	if isTrouble {
		routes = growths * moreRoutes
	}
	version := 1
	killed := map[*vm]bool{}
	var broken []string
	for storm := range storms {
		for range stormVersions {
			version += 2
			size, err := putConfiguration(d.store, version, routes)
			if err != nil {
				return nil, err
			}
			if version == 3 {
				d.record.printf("the configuration has %d more routes, %d bytes", routes, size)
			}
			time.Sleep(stormGap)
		}
		d.store.Compact()
		highest := 0
		for _, v := range d.vms {
			mb := v.residentMB()
			highest = max(highest, mb)
			if mb > memoryMB && !killed[v] {
				killed[v] = true
				broken = append(broken, fmt.Sprintf("VM %s occupies %d MB of its %d MB after %d versions and is killed by the platform", v.name, mb, memoryMB, version/2))
				v.signal(syscall.SIGKILL)
			}
		}
		d.record.printf("after %d storms, %d versions: at most %d MB resident", storm+1, version/2, highest)
		if len(killed) == len(d.vms) {
			break
		}
		time.Sleep(stormPause)
	}
	return broken, nil
}

// putConfiguration writes a version of the configuration with more routes that nobody uses and one for each of some hosts, and returns its size.
func putConfiguration(store *emulator.Store, version, more int, hosts ...string) (int, error) {
	routes := []map[string]any{{"name": "r1", "host": host, "type": "primary", "timeout_ms": 800, "target_latency_ms": 300, "priority": 1, "service": group}}
	for _, h := range hosts {
		routes = append(routes, map[string]any{"name": h, "host": h, "type": "primary", "timeout_ms": 800, "target_latency_ms": 300, "priority": 1, "service": group})
	}
	for k := range more {
		routes = append(routes, map[string]any{"name": fmt.Sprintf("more-%d", k), "host": fmt.Sprintf("more-%d-db", k), "type": "read_your_writes", "timeout_ms": 800, "target_latency_ms": 500, "priority": 2, "service": group, "max_staleness_ms": 2500})
	}
	b, err := json.Marshal(map[string]any{
		"version": version, "routes": routes,
		"services": []map[string]any{{"name": group, "max_connections": 43, "sync_replicas": 1}}, "limits": map[string]any{"tx_idle_ms": 4000 + version%2},
	})
	store.PutBytes("op", "config", b)
	return len(b), err
}

// residentMB returns the memory that the process occupies.
func (v *vm) residentMB() int {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", v.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(b), "\n") {
		if f := strings.Fields(line); len(f) > 1 && f[0] == "VmRSS:" {
			kb, _ := strconv.Atoi(f[1])
			return kb >> 10
		}
	}
	return 0
}
