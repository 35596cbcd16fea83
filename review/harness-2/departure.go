package main

import (
	"fmt"
	"os"
	"path/filepath"
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

// playDeparture plays the planned stop of a replica, and then configurations in quick succession. The other replica receives nothing
// for a while, the primary crashes meanwhile, and all processes of the system are killed. It reports whether an instance was
// promoted that lacks an acknowledged write. Heartbeats do not change the rows of the registry: only the sequence would differ.
func playDeparture(hasTrouble bool) bool {
	zones := []string{"castilla-burgos", "cantabria-santander", "castilla-palencia"}
	op := &operator{services: []string{"ledger-a", "ledger-b", "ledger-c"}, maxConnections: 16}
	var groups []*emulator.Group
	for _, name := range op.services {
		g, err := emulator.StartGroup(emulator.Options{
			Name: name, Zones: zones, Slots: 2, Queue: 16, Connections: 16, StatementDuration: 3 * time.Millisecond, Lag: 8 * time.Millisecond,
			PromoteTime: 600 * time.Millisecond, SyncReplicas: 1,
		})
		if err != nil {
			giveUp(err.Error())
		}
		groups = append(groups, g)
	}
	store, err := emulator.StartStore(groups...)
	if err != nil {
		giveUp(err.Error())
	}
	op.store, dep.store, dep.orders = store, store.Address(), store.Address()
	var mu sync.Mutex
	removeEntry := func(i *emulator.Instance) {
		store.Put("servers", i.ID, nil)
		record("the registry entry of %s is removed", i.ID)
	}
	routes := []route{{"cortege", "primary", "ledger-a", 800}, {"cortege-b", "primary", "ledger-b", 800}, {"cortege-c", "primary", "ledger-c", 800}}
	op.write(routes...)
	dep.startVMs([]string{zones[0], zones[0], zones[0], zones[1], zones[1], zones[1], zones[2], zones[2]})
	dep.awaitReady()
	record("all %d VMs are ready", len(dep.vms))
	g := groups[0]
	primary, leaving, deaf := g.Instances()[0], g.Instances()[1], g.Instances()[2]

	var acked []ackedWrite
	for k, v := range dep.vms {
		go func() {
			for n := 0; ; n++ {
				c, err := dial(v.caller, "cortege")
				for ; err == nil; n++ {
					id, w := newID("w"), ackedWrite{item: fmt.Sprintf("x%d", k), data: fmt.Sprintf("v%d", n)}
					var a answer
					if a, err = c.query(id, "WRITE "+w.item+" "+w.data); err == nil && a.code == "" {
						w.at = time.Now()
						mu.Lock()
						acked = append(acked, w)
						mu.Unlock()
					}
					record("client: %s WRITE %s %s: %q, code %q, error %v", id, w.item, w.data, a.signature, a.code, err)
					time.Sleep(100 * time.Millisecond)
				}
				time.Sleep(100 * time.Millisecond)
			}
		}()
	}
	at := func(seconds float64) {
		time.Sleep(time.Until(started.Add(time.Duration(seconds * float64(time.Second)))))
	}
	at(4.5)
	store.Compact()
	record("the store keeps no history of before from now on: it is 20 s old when it is asked for")
	at(17)
	record("%s is about to be stopped as planned, and says so", leaving.ID)
	leaving.AnnounceStop()
	if hasTrouble {
		at(24)
		record("%s receives nothing for 7 s from now on", deaf.ID)
		deaf.SetReplicationPaused(true)
		time.AfterFunc(7*time.Second, func() {
			deaf.SetReplicationPaused(false)
			record("%s receives again", deaf.ID)
		})
	}
	at(25.5)
	record("%s stops", leaving.ID)
	leaving.Crash()
	removeEntry(leaving)
	at(26)
	for range 25 { // a config_storm with gap_s 0.06, for 1.5 s
		op.write(routes...)
		time.Sleep(60 * time.Millisecond)
	}
	if hasTrouble {
		at(30.2)
		record("the primary %s crashes", primary.ID)
		primary.Crash()
		removal := time.AfterFunc(3600*time.Millisecond, func() { removeEntry(primary) }) // three heartbeat intervals
		time.AfterFunc(7*time.Second, func() {
			record("%s is back with its log", primary.ID)
			if err := primary.Restart(); err != nil {
				giveUp(err.Error())
			}
			removal.Stop()
			primary.Register()
		})
		at(30.4)
		record("all processes of the system are killed")
		for _, v := range dep.vms {
			v.kill()
		}
		at(30.9)
		record("they start again")
		for _, v := range dep.vms {
			v.start()
		}
	}
	at(50)
	recordReplacements()
	successor := g.Primary()
	record("%d promotions; %s leads", g.PromotionCount(), successor.ID)
	mu.Lock()
	defer mu.Unlock()
	lost := 0
	for _, w := range acked {
		if !g.HasWrite(successor, w.item, w.data) {
			lost++
			record("LOST: the write of %s to %s was acknowledged at %.3f and is not in the log of %s", w.data, w.item, w.at.Sub(started).Seconds(), successor.ID)
		}
	}
	record("%d writes were acknowledged, %d of them are not in the log of %s", len(acked), lost, successor.ID)
	return lost > 0
}

// recordReplacements records what the VMs have logged of replacements.
func recordReplacements() {
	for _, v := range dep.vms {
		b, _ := os.ReadFile(strings.TrimSuffix(filepath.Clean(v.settings), ".json") + ".log")
		for _, line := range strings.Split(string(b), "\n") {
			if strings.Contains(line, "primaryReplaced") || strings.Contains(line, "promoteOrdered") {
				record("log: %s", line)
			}
		}
	}
}
