package main

import (
	"os"
	"sync"
	"time"
)

// playLeaving plays the planned stop of a primary while its replicas are down, and kills and starts the VMs again meanwhile. It
// reports whether a client's request reached the primary more than drain_ms after the store had accepted the notice of its stop.
func playLeaving(hasTrouble bool) bool {
	const drain, replicasDown = 7 * time.Second, 7 * time.Second
	// TROUBLE=replicas leaves out the restart of the VMs.
	restarts := hasTrouble && os.Getenv("TROUBLE") != "replicas"
	zones := []string{"castilla-burgos", "cantabria-santander", "castilla-palencia"}
	var mu sync.Mutex
	var noticeAt time.Time
	late, runs := 0, 0
	ended := make(chan string, 64)
	g := &group{name: "ledger-a", slots: 2, queue: 16, maxConnections: 16, work: 3 * time.Millisecond, lag: 8 * time.Millisecond}
	g.onOrder = func(what string) {
		select {
		case ended <- what:
		default:
		}
	}
	store := startStore(g.onOrder)
	op := &operator{store: store, services: []string{"ledger-a"}, maxConnections: 16}
	g.onRun = func(r run) {
		mu.Lock()
		defer mu.Unlock()
		if noticeAt.IsZero() || r.instance != g.primary.id {
			return
		}
		runs++
		after := r.at.Sub(noticeAt)
		record("%s runs %s %q, %.3f s after its notice", r.instance, r.id, r.text, after.Seconds())
		if after > drain+g.work {
			late++
			record("DRAIN: %s reached %s %.3f s after its notice", r.id, r.instance, after.Seconds())
		}
	}
	if err := startGroup(g, zones); err != nil {
		giveUp(err.Error())
	}
	for _, i := range g.instances {
		store.Put("servers", i.id, i.entryOf(1))
	}
	op.write(route{"cortege", "primary", "ledger-a", 800})
	dep.startVMs([]string{zones[0], zones[0], zones[0], zones[1], zones[1], zones[1], zones[2], zones[2]})
	dep.awaitReady()
	record("all %d VMs are ready", len(dep.vms))
	for _, v := range dep.vms {
		go func() {
			for {
				c, err := dial(v.caller, "cortege")
				for err == nil {
					id := newID("s")
					var a answer
					a, err = c.query(id, "READ x1")
					record("client: %s READ x1 through %s: rows %q, %q, code %q, error %v", id, v.id, a.rows, a.signature, a.code, err)
					time.Sleep(100 * time.Millisecond)
				}
				time.Sleep(100 * time.Millisecond)
			}
		}()
	}
	at := func(seconds float64) {
		time.Sleep(time.Until(started.Add(time.Duration(seconds * float64(time.Second)))))
	}
	at(6)
	if hasTrouble {
		for _, r := range g.instances[1:] {
			record("%s crashes", r.id)
			r.crash()
			time.AfterFunc(replicasDown, func() {
				r.restart()
				record("%s is back", r.id)
			})
		}
	}
	at(6.1)
	g.mu.Lock()
	g.primary.leaving = true
	g.mu.Unlock()
	entry := g.primary.entryOf(2)
	mu.Lock()
	store.Put("servers", g.primary.id, entry)
	noticeAt = time.Now()
	mu.Unlock()
	record("the store has accepted that %s is draining", g.primary.id)
	if restarts {
		at(8.2)
		record("all processes of the system are killed")
		for _, v := range dep.vms {
			v.kill()
		}
		at(8.5)
		for _, v := range dep.vms {
			v.start()
		}
		record("they have started again")
	}
	select {
	case what := <-ended: // the primary is being replaced
		record("%s", what)
	case <-time.After(12 * time.Second):
	}
	mu.Lock()
	defer mu.Unlock()
	record("%d requests ran on the leaving primary after its notice, %d of them late", runs, late)
	return late > 0
}
