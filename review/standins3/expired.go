package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"slices"
	"strings"
	"syscall"
	"time"

	"parsleyscale/platform/emulator"
)

// playExpired takes the store down for 4.5 s, so that the registry entries of the instances expire. They are back within two seconds
// of its return, one after the other. A VM that is stopped and started meanwhile starts before the last one is back. One replica
// receives nothing for a while, and the primary crashes.
func playExpired(d *deployment, isTrouble bool) ([]string, error) {
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
	}
	// The VM that replaces the primary of the database first.
	first := slices.MaxFunc(d.vms, func(a, b *vm) int { return cmpWeight(a, b) })
	for _, v := range d.vms {
		if v != first {
			d.startClient(v)
		}
	}
	time.Sleep(8 * time.Second)
	if d.row("rosters", group) == nil {
		return nil, errors.New("the VMs have written no roster")
	}
	instances := d.group.Instances()
	primary, deaf, last := instances[0], instances[1], instances[2]
	begin := time.Now()
	at := func(seconds float64) {
		time.Sleep(time.Until(begin.Add(time.Duration(seconds * float64(time.Second)))))
	}
	if isTrouble {
		d.store.SetMode(emulator.Unavailable)
		d.record.printf("the store is down")
	}
	first.signal(syscall.SIGTERM)
	d.record.printf("VM %s is stopped", first.name)
	at(4)
	if isTrouble {
		for _, i := range instances {
			d.store.Put("servers", i.ID, nil)
			d.record.printf("the registry entry of %s has expired", i.ID)
		}
	}
	at(4.5)
	<-first.ended
	d.store.SetMode(emulator.Available)
	d.record.printf("the store is available")
	at(4.55)
	primary.Register()
	at(4.6)
	deaf.Register()
	at(4.7)
	if err := first.start(); err != nil {
		return nil, err
	}
	d.record.printf("VM %s starts again", first.name)
	if err := first.awaitReady(); err != nil {
		return nil, err
	}
	d.wg.Go(func() { d.read(first) })
	at(5.1)
	d.setDeaf(true, deaf)
	at(5.6)
	primary.Crash()
	crashedAt := time.Now()
	d.record.printf("the primary %s crashes", primary.ID)
	time.AfterFunc(time.Until(begin.Add(6400*time.Millisecond)), func() {
		last.Register()
		d.record.printf("%s is in the registry", last.ID)
	})
	deafEnd := time.AfterFunc(time.Until(begin.Add(11600*time.Millisecond)), func() { d.setDeaf(false, deaf) })
	defer deafEnd.Stop()
	isPromoted := d.awaitPromotion(time.Until(begin.Add(14 * time.Second)))
	promotedAt := time.Now()
	if !isPromoted {
		return nil, fmt.Errorf("nobody was promoted within %s after the crash", time.Since(crashedAt))
	}
	at(15)
	return d.checkLost(promotedAt), nil
}

func cmpWeight(a, b *vm) int {
	if weight(a.name) < weight(b.name) {
		return -1
	}
	return 1
}

// read reads an item through a VM again and again until the end of the case.
func (d *deployment) read(v *vm) {
	c, err := net.DialTimeout("tcp", v.caller, startTimeout)
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	_, _ = fmt.Fprintf(c, "START %s u2\r\n", host)
	if line, err := r.ReadString('\n'); err != nil || !strings.HasPrefix(line, "READY") {
		return
	}
	for n := 0; ; n++ {
		select {
		case <-d.done:
			return
		case <-time.After(writePause):
		}
		_ = c.SetDeadline(time.Now().Add(statementTimeout))
		_, _ = fmt.Fprintf(c, "QUERY read-%d READ x\r\n", n)
		answer, err := readAnswer(r)
		if err != nil {
			return
		}
		d.record.printf("reader at %s: %s", v.name, answer)
	}
}
