package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"

	"parsleyscale/platform/emulator"
)

// ackedWrite is a write that was acknowledged to its client.
type ackedWrite struct {
	item, data string
	at         time.Time
}

// databases are the groups of a small deployment, with instances of the project's own stand-in, whose primaries can be replaced.
// Clients write to the first group. Heartbeats do not change the rows of the registry: only the sequence would differ.
type databases struct {
	store  *emulator.Store
	op     *operator
	routes []route
	group  *emulator.Group // the first one

	mu    sync.Mutex
	acked []ackedWrite
}

// startDatabases starts three groups of three instances, eight VMs and a client of each VM.
func startDatabases() *databases {
	zones := []string{"castilla-burgos", "cantabria-santander", "castilla-palencia"}
	d := &databases{op: &operator{services: []string{"ledger-a", "ledger-b", "ledger-c"}, maxConnections: 16}}
	var groups []*emulator.Group
	for _, name := range d.op.services {
		g, err := emulator.StartGroup(emulator.Options{
			Name: name, Zones: zones, Slots: 2, Queue: 16, Connections: 16, StatementDuration: 3 * time.Millisecond, Lag: 8 * time.Millisecond,
			PromoteTime: 600 * time.Millisecond, SyncReplicas: 1,
		})
		if err != nil {
			giveUp(err.Error())
		}
		groups = append(groups, g)
		d.routes = append(d.routes, route{"cortege-" + name, "primary", name, 800})
	}
	d.group = groups[0]
	var err error
	if d.store, err = emulator.StartStore(groups...); err != nil {
		giveUp(err.Error())
	}
	d.op.store, dep.store, dep.orders = d.store, d.store.Address(), d.store.Address()
	d.op.write(d.routes...)
	dep.startVMs([]string{zones[0], zones[0], zones[0], zones[1], zones[1], zones[1], zones[2], zones[2]})
	dep.awaitReady()
	record("all %d VMs are ready", len(dep.vms))
	for k, v := range dep.vms {
		go d.writeThrough(v, fmt.Sprintf("x%d", k))
	}
	return d
}

// writeThrough writes to an item through a VM again and again.
func (d *databases) writeThrough(v *vm, item string) {
	for n := 0; ; n++ {
		c, err := dial(v.caller, d.routes[0].host)
		for ; err == nil; n++ {
			id, w := newID("w"), ackedWrite{item: item, data: fmt.Sprintf("v%d", n)}
			var a answer
			if a, err = c.query(id, "WRITE "+w.item+" "+w.data); err == nil && a.code == "" {
				w.at = time.Now()
				d.mu.Lock()
				d.acked = append(d.acked, w)
				d.mu.Unlock()
			}
			record("client: %s WRITE %s %s: %q, code %q, error %v", id, w.item, w.data, a.signature, a.code, err)
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// deafen lets a replica receive nothing for a time.
func (d *databases) deafen(i *emulator.Instance, duration time.Duration) {
	record("%s receives nothing for %s from now on", i.ID, duration)
	i.SetReplicationPaused(true)
	time.AfterFunc(duration, func() {
		i.SetReplicationPaused(false)
		record("%s receives again", i.ID)
	})
}

// removeEntry removes the registry entry of an instance.
func (d *databases) removeEntry(i *emulator.Instance) {
	d.store.Put("servers", i.ID, nil)
	record("the registry entry of %s is removed", i.ID)
}

// crash crashes an instance, which is back with its log after a time. The store removes its entry after three heartbeat intervals.
func (d *databases) crash(i *emulator.Instance, duration time.Duration) {
	record("%s crashes", i.ID)
	i.Crash()
	removal := time.AfterFunc(3600*time.Millisecond, func() { d.removeEntry(i) })
	time.AfterFunc(duration, func() {
		record("%s is back with its log", i.ID)
		if err := i.Restart(); err != nil {
			giveUp(err.Error())
		}
		removal.Stop()
		i.Register()
	})
}

// killVMs kills all processes of the system, which start again half a second later.
func (d *databases) killVMs() {
	record("all processes of the system are killed")
	for _, v := range dep.vms {
		v.kill()
	}
	time.Sleep(500 * time.Millisecond)
	record("they start again")
	for _, v := range dep.vms {
		v.start()
	}
}

// hasLost records what has become of the acknowledged writes, and reports whether the primary lacks one.
func (d *databases) hasLost() bool {
	for _, v := range dep.vms {
		b, _ := os.ReadFile(strings.TrimSuffix(v.settings, ".json") + ".log")
		for _, line := range strings.Split(string(b), "\n") {
			if strings.Contains(line, "primaryReplaced") || strings.Contains(line, "promoteOrdered") {
				record("log: %s", line)
			}
		}
	}
	primary := d.group.Primary()
	record("%d promotions; %s leads", d.group.PromotionCount(), primary.ID)
	d.mu.Lock()
	defer d.mu.Unlock()
	lost := 0
	for _, w := range d.acked {
		if !d.group.HasWrite(primary, w.item, w.data) {
			lost++
			record("LOST: the write of %s to %s was acknowledged at %.3f and is not in the log of %s", w.data, w.item, w.at.Sub(started).Seconds(), primary.ID)
		}
	}
	record("%d writes were acknowledged, %d of them are not in the log of %s", len(d.acked), lost, primary.ID)
	return lost > 0
}

// at waits until a time since the start of the case.
func at(seconds float64) {
	time.Sleep(time.Until(started.Add(time.Duration(seconds * float64(time.Second)))))
}
