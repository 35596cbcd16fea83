package main

import (
	"errors"
	"fmt"
	"strings"
	"time"
)

// membersRefresh is longer than the time in which a VM reads the list of VMs again from the store after its start. Before, the VM
// may have the list from another one, with addresses that do not lead over its link.
const membersRefresh = 25 * time.Second

// cutVM is the index of the VM that can be cut off.
const cutVM = vmCount - 1

// playCutOff cuts one VM off from the store and the other VMs for 12 s. Meanwhile, a replica joins and leaves as planned, while
// the other replicas receive nothing.
func playCutOff(d *deployment, isTrouble bool) ([]string, error) {
	own, err := d.startCuttable()
	if err != nil {
		return nil, err
	}
	time.Sleep(36 * time.Second)
	if d.row("rosters", group) == nil {
		return nil, errors.New("the VMs have written no roster")
	}
	instances := d.group.Instances()
	begin := time.Now()
	at := func(seconds float64) {
		time.Sleep(time.Until(begin.Add(time.Duration(seconds * float64(time.Second)))))
	}
	if isTrouble {
		own.setCut(true)
		d.record.printf("VM %s is cut off from the store and the other VMs", d.vms[cutVM].name)
	}
	at(0.5)
	joined, err := d.join("i-joined", zones[1])
	if err != nil {
		return nil, err
	}
	at(1.5)
	joined.AnnounceStop()
	d.record.printf("replica %s announces its stop", joined.ID)
	at(8)
	d.setDeaf(true, instances[1:]...)
	at(1.5 + drainTime.Seconds())
	d.leave(joined)
	at(12)
	if isTrouble {
		own.setCut(false)
		d.record.printf("VM %s is no longer cut off", d.vms[cutVM].name)
	}
	isPromoted := d.awaitPromotion(time.Until(begin.Add(14500 * time.Millisecond)))
	promotedAt := time.Now()
	at(14.5)
	d.setDeaf(false, instances[1:]...)
	at(20)
	if !isPromoted {
		promotedAt = time.Now()
	}
	return d.checkLost(promotedAt), nil
}

// startCuttable starts the VMs and clients. The last VM reaches the store and the other VMs over the link that is returned, and is
// reached by them over it.
func (d *deployment) startCuttable() (*link, error) {
	own, open := newLink(), newLink()
	var list [vmCount]addresses
	for k := range list {
		var err error
		if list[k], err = freeAddresses(); err != nil {
			return nil, err
		}
	}
	// What the cut VM sees of the others leads over its link, and so does what the others see of it.
	var toOthers, toCut []string
	var seeds, relayedSeeds []string
	for k, a := range list {
		for _, target := range []string{a.peer, a.link} {
			relay, err := own.relay("127.0.0.1:0", target)
			if err != nil {
				return nil, err
			}
			pair := []string{`"` + target + `"`, `"` + relay + `"`}
			if k == cutVM {
				toCut = append(toCut, pair...)
				continue
			}
			toOthers = append(toOthers, pair...)
			if k < seedCount && target == a.peer {
				seeds, relayedSeeds = append(seeds, target), append(relayedSeeds, relay)
			}
		}
	}
	for k, a := range list {
		view := &storeView{link: open, store: d.store.Address(), relays: strings.NewReplacer(toCut...)}
		vmSeeds := seeds
		if k == cutVM {
			view.link, view.relays, vmSeeds = own, strings.NewReplacer(toOthers...), relayedSeeds
		}
		address, err := view.serve()
		if err != nil {
			return nil, err
		}
		zone := zones[k%len(zones)]
		v, err := d.add(fmt.Sprintf("frontend-%s-%d", zone, k/len(zones)+1), zone, address, vmSeeds, a)
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
	return own, nil
}
