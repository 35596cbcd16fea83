package main

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// playRosters replaces two VMs for good, each by a new one at another address. Later a replica joins and leaves as planned, while
// the other replicas receive nothing, and a VM is added.
func playRosters(d *deployment, isTrouble bool) ([]string, error) {
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
	time.Sleep(6 * time.Second)
	if d.row("rosters", group) == nil {
		return nil, errors.New("the VMs have written no roster")
	}
	// The VMs that keep the roster of the database come first.
	slices.SortFunc(d.vms, func(a, b *vm) int { return cmp.Compare(weight(b.name), weight(a.name)) })
	d.lowestWeight = weight(d.vms[1].name)
	if isTrouble {
		for k, v := range d.vms[:2] {
			if err := d.replace(v, k, seeds); err != nil {
				return nil, err
			}
		}
	}
	for _, v := range d.vms {
		d.startClient(v)
	}
	time.Sleep(3 * time.Second)
	instances := d.group.Instances()
	begin := time.Now()
	at := func(seconds float64) {
		time.Sleep(time.Until(begin.Add(time.Duration(seconds * float64(time.Second)))))
	}
	joined, err := d.join("i-joined", zones[1])
	if err != nil {
		return nil, err
	}
	at(10)
	joined.AnnounceStop()
	d.record.printf("replica %s announces its stop", joined.ID)
	at(10 + drainTime.Seconds() - 1)
	d.setDeaf(true, instances[1:]...)
	at(10 + drainTime.Seconds())
	d.leave(joined)
	at(10 + drainTime.Seconds() + 0.5)
	added, err := freeAddresses()
	if err != nil {
		return nil, err
	}
	v, err := d.add("frontend-rundu-yard-4", zones[0], d.store.Address(), seeds, added)
	if err != nil {
		return nil, err
	}
	d.startClient(v)
	end := 10 + drainTime.Seconds() + 5.5
	isPromoted := d.awaitPromotion(time.Until(begin.Add(time.Duration(end * float64(time.Second)))))
	promotedAt := time.Now()
	at(end)
	d.setDeaf(false, instances[1:]...)
	at(end + 5)
	if !isPromoted {
		promotedAt = time.Now()
	}
	return d.checkLost(promotedAt), nil
}

// weight returns the number by which the VMs are ordered for the database.
func weight(name string) uint64 { return xxhash.Sum64String(name + " " + group) }

// replace starts a new VM at other addresses, and then stops one for good.
func (d *deployment) replace(old *vm, index int, seeds []string) error {
	a, err := freeAddresses()
	if err != nil {
		return err
	}
	name := ""
	for k := vmCount; name == "" || weight(name) > d.lowestWeight; k++ {
		name = fmt.Sprintf("frontend-%s-%d", old.zone, k)
	}
	next, err := d.add(name, old.zone, d.store.Address(), seeds, a)
	if err != nil {
		return err
	}
	if err := next.awaitReady(); err != nil {
		return err
	}
	d.record.printf("VM %s is stopped for good", old.name)
	old.stop()
	d.vms[index] = next
	return nil
}
