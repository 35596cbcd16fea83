package main

import (
	"os"
	"strings"
	"sync"
	"time"
)

// playRoute plays a session that commits, while its route moves to another service and back. The replicas of the service lag
// meanwhile. It reports whether a read of the session ran on a log without the session's own commit.
func playRoute(hasTrouble bool) bool {
	store := startStore()
	const usualLag, troubleLag = 8 * time.Millisecond, 1200 * time.Millisecond // 150 times as late: the largest replica_lag of the site
	const changeGap = 100 * time.Millisecond                                   // more than the least gap_s of a config_storm on the site, 0.06
	// TROUBLE=lag and TROUBLE=moves play one half of the disruption.
	trouble := os.Getenv("TROUBLE")
	moves, lag := hasTrouble && trouble != "lag", usualLag
	if hasTrouble && trouble != "moves" {
		lag = troubleLag
	}
	var mu sync.Mutex
	runs := map[string]run{}
	zones := []string{"castilla-burgos", "cantabria-santander", "castilla-palencia"}
	op := &operator{store: store, services: []string{"ledger-a", "ledger-b", "ledger-c"}, maxConnections: 16}
	var groups []*group
	for _, name := range op.services {
		g := &group{name: name, slots: 2, queue: 16, maxConnections: 16, work: 3 * time.Millisecond, lag: usualLag, onRun: func(r run) {
			mu.Lock()
			defer mu.Unlock()
			runs[r.id] = r
		}}
		if err := startGroup(g, zones); err != nil {
			giveUp(err.Error())
		}
		groups = append(groups, g)
		go g.register(store.Put, 1200*time.Millisecond)
	}
	cortege := route{"cortege", "primary", "ledger-a", 800}
	routesTo := func(service string, timeoutMs int) []route {
		return []route{{"dye-room", "read_your_writes", service, timeoutMs}, cortege}
	}
	// move removes the route of the session and adds it again. The session rests meanwhile.
	move := func(service string, timeoutMs int) {
		if moves {
			op.write(cortege)
			time.Sleep(changeGap)
		}
		op.write(routesTo(service, timeoutMs)...)
		time.Sleep(changeGap)
	}
	op.write(routesTo("ledger-a", 800)...)
	dep.startVMs([]string{zones[0], zones[0], zones[0], zones[1], zones[1], zones[1], zones[2], zones[2]})
	dep.awaitReady()
	record("all %d VMs are ready", len(dep.vms))
	target := dep.inZone("castilla-palencia")[0]

	// Other clients of the same VM read through both routes.
	for k := range 8 {
		go func() {
			c, err := dial(target.caller, []string{"cortege", "dye-room"}[k%2])
			if err != nil {
				giveUp(err.Error())
			}
			for {
				if a, err := c.query(newID("b"), "READ x1"); err != nil || a.code == "NODB" {
					return // the route was removed
				}
				time.Sleep(50 * time.Millisecond)
			}
		}()
	}
	time.Sleep(5 * time.Second)
	groups[0].mu.Lock()
	groups[0].lag = lag
	groups[0].mu.Unlock()
	record("the replicas of ledger-a apply %s late from now on", lag)
	time.Sleep(time.Second)

	c, err := dial(target.caller, "dye-room")
	if err != nil {
		giveUp(err.Error())
	}
	ask := func(text string) (string, answer) {
		id := newID("s")
		sentAt := time.Now()
		a, err := c.query(id, text)
		if err != nil {
			giveUp(err.Error())
		}
		mu.Lock()
		r, ran := runs[id]
		mu.Unlock()
		where := "not run"
		if ran {
			where = "run by " + r.instance
		}
		record("session: %s %q is answered after %.1f ms: rows %q, signature %q, code %q; %s", id, text, float64(time.Since(sentAt).Microseconds())/1000, a.rows, a.signature, a.code, where)
		return id, a
	}
	isServedBy := func(a answer, service string) bool { return strings.HasPrefix(a.signature, "i-"+service) }
	// readUntil reads until the answer comes from a service.
	readUntil := func(service string) (id string, a answer) {
		for range 100 {
			if id, a = ask("READ ticket"); isServedBy(a, service) {
				return id, a
			}
			time.Sleep(10 * time.Millisecond)
		}
		giveUp("no answer from " + service)
		return id, a
	}
	commitID, a := ask("WRITE ticket black-ostrich")
	if a.code != "" || !isServedBy(a, "ledger-a") {
		giveUp("the first write was not acknowledged by ledger-a")
	}
	committedAt := time.Now()
	service := "ledger-a"
	if moves {
		service = "ledger-b"
	}
	move(service, 801)
	readUntil(service)
	if _, a = ask("WRITE other plume"); a.code != "" {
		giveUp("the second write was not acknowledged")
	}
	move("ledger-a", 802)
	isBroken := false
	for time.Since(committedAt) < 2*troubleLag {
		id, a := readUntil("ledger-a")
		mu.Lock()
		r := runs[id]
		mu.Unlock()
		if r.lacks(commitID) {
			isBroken = true
			record("STALE: read %s of the session ran on the log of %s, which lacks the session's commit %s, acknowledged %.0f ms before; the client got %q",
				id, r.instance, commitID, float64(time.Since(committedAt).Milliseconds()), a.rows)
		}
		time.Sleep(100 * time.Millisecond)
	}
	return isBroken
}
