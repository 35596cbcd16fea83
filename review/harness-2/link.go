package main

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// crowdPerVM is the number of clients that send large messages to a VM.
	crowdPerVM = 24
	// largeMessage is nearly the size of the largest message that the pages allow, 1 MiB.
	largeMessage = 1<<20 - 64
	// valueBytes is the size of the session values of the ordinary clients.
	valueBytes = 20_000
)

// setValue is a session value that was acknowledged to its client.
type setValue struct{ name, value string }

// playLink plays sessions with a value each, on a VM that reaches the primary through other VMs. Other clients of these VMs send
// large messages. It reports whether a statement ran with other values than those acknowledged to its client.
func playLink(hasTrouble bool) bool {
	store := startStore()
	zones := []string{"castilla-burgos", "cantabria-santander", "castilla-palencia"}
	var mu sync.Mutex
	wanted, ran, wrong := map[string]setValue{}, 0, 0
	g := &group{name: "ledger-a", slots: 2, queue: 16, maxConnections: 16, work: 9 * time.Millisecond, lag: 8 * time.Millisecond}
	g.onRun = func(r run) {
		mu.Lock()
		defer mu.Unlock()
		e, ok := wanted[r.id]
		if !ok {
			return
		}
		ran++
		record("%s runs %s %q with the session values %q", r.instance, r.id, r.text, r.values)
		if len(r.values) != 1 || r.values[e.name] != e.value {
			wrong++
			record("PINNED: %s ran %s with the session values %q; acknowledged to its client is %s=%q", r.instance, r.id, r.values, e.name, e.value)
		}
	}
	if err := startGroup(g, zones); err != nil {
		giveUp(err.Error())
	}
	go g.register(store.Put, 1200*time.Millisecond)
	op := &operator{store: store, services: []string{"ledger-a"}, maxConnections: g.maxConnections}
	op.write(route{"cortege", "primary", "ledger-a", 800})
	dep.startVMs([]string{zones[0], zones[0], zones[0], zones[1], zones[1], zones[1], zones[2], zones[2], zones[2]})
	dep.awaitReady()
	time.Sleep(4 * time.Second)
	record("all %d VMs are ready; each instance accepts %d connections, so that VMs use gateways", len(dep.vms), g.maxConnections)
	var stop atomic.Bool
	var wg sync.WaitGroup
	var crowd answerCount
	if hasTrouble {
		record("%d clients on each VM of %s begin to send writes of %d bytes", crowdPerVM, zones[0], largeMessage)
		for _, v := range dep.inZone(zones[0]) {
			for k := range crowdPerVM {
				wg.Go(func() { sendLarge(v, k, &crowd, &stop) })
			}
		}
	}
	ordinary := dep.inZone("castilla-palencia")[0]
	for k := range 4 {
		wg.Go(func() {
			for n := 0; !stop.Load(); n++ {
				e := setValue{[]string{"tag", "desk"}[(k+n)%2], fmt.Sprintf("desk%d-%04d-%s", k, n, strings.Repeat("v", valueBytes))}
				readWith(ordinary, e, func(id string) {
					mu.Lock()
					defer mu.Unlock()
					wanted[id] = setValue{e.name, short(e.value)}
				})
			}
		})
	}
	time.Sleep(25 * time.Second)
	dep.recordMemory()
	stop.Store(true)
	wg.Wait()
	record("crowd: answers by code: %v", crowd.counts)
	record("%d reads of the ordinary sessions ran, %d of them with wrong session values", ran, wrong)
	if ran == 0 {
		giveUp("no read of the ordinary sessions ran")
	}
	return wrong > 0
}

// answerCount counts answers by code.
type answerCount struct {
	mu     sync.Mutex
	counts map[string]int
}

func (c *answerCount) add(code string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts == nil {
		c.counts = map[string]int{}
	}
	c.counts[code]++
}

// sendLarge sends large writes to a VM, each after the answer to the one before.
func sendLarge(v *vm, client int, answers *answerCount, stop *atomic.Bool) {
	data := strings.Repeat("p", largeMessage)
	for !stop.Load() {
		c, err := dial(v.caller, "cortege")
		for err == nil && !stop.Load() {
			var a answer
			if a, err = c.query(newID("c"), fmt.Sprintf("WRITE big%d %s", client, data)); err == nil {
				answers.add(a.code)
			}
			time.Sleep(10 * time.Millisecond)
		}
		if c != nil {
			c.close()
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// readWith plays a session that sets a value and then reads ten times. expect is called with the id of each read before it is sent.
func readWith(v *vm, e setValue, expect func(id string)) {
	c, err := dial(v.caller, "cortege")
	if err != nil {
		return
	}
	defer c.close()
	id := newID("s")
	a, err := c.query(id, "SET "+e.name+" "+e.value)
	record("client: %s SET %s %s... (%d bytes) is answered: %q, code %q, error %v", id, e.name, short(e.value), len(e.value), a.signature, a.code, err)
	if err != nil || a.code != "" {
		return
	}
	for range 10 {
		id := newID("s")
		expect(id)
		a, err := c.query(id, "READ x1")
		record("client: %s READ x1 is answered: rows %q, %q, code %q, error %v", id, a.rows, a.signature, a.code, err)
		if err != nil {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}
