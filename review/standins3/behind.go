package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"time"
)

const (
	// stableWindow is how long a machine is out of touch after a disruption.
	stableWindow = 4 * time.Second
	// configApply is the time after its acknowledgement by which a version must be in force.
	configApply = 3 * time.Second
	// historyTime is how long the store keeps its history.
	historyTime = 20 * time.Second
	// behindStorms is the number of storms of the configuration during the cut.
	behindStorms = 4
	addedHost    = "added-db"
)

// playBehind cuts one VM off from the store and the other VMs for 12 s. Meanwhile, the configuration changes in storms, and the last
// version adds a route.
func playBehind(d *deployment, isTrouble bool) ([]string, error) {
	own, err := d.startCuttable()
	if err != nil {
		return nil, err
	}
	const routes = growths * moreRoutes
	version := 3
	size, err := putConfiguration(d.store, version, routes)
	if err != nil {
		return nil, err
	}
	d.record.printf("the configuration has %d more routes, %d bytes", routes, size)
	time.Sleep(membersRefresh)
	begin := time.Now()
	at := func(seconds float64) {
		time.Sleep(time.Until(begin.Add(time.Duration(seconds * float64(time.Second)))))
	}
	if isTrouble {
		own.setCut(true)
		d.record.printf("VM %s is cut off from the store and the other VMs", d.vms[cutVM].name)
	}
	at(3)
	firstAt := time.Now()
	for storm := range behindStorms {
		for range stormVersions {
			version += 2
			if _, err := putConfiguration(d.store, version, routes); err != nil {
				return nil, err
			}
			time.Sleep(stormGap)
		}
		d.record.printf("storm %d ends with version %d", storm+1, version)
		time.Sleep(stormPause)
	}
	version += 2
	if _, err := putConfiguration(d.store, version, routes, addedHost); err != nil {
		return nil, err
	}
	addedAt := time.Now()
	d.record.printf("version %d adds the route of %s", version, addedHost)
	at(12)
	own.setCut(false)
	healedAt := time.Now()
	if isTrouble {
		d.record.printf("VM %s is no longer cut off", d.vms[cutVM].name)
	}
	time.AfterFunc(time.Until(firstAt.Add(historyTime)), func() {
		d.store.Compact()
		d.record.printf("the store drops its history of the storms")
	})
	boundAt := addedAt.Add(configApply)
	if inTouchAt := healedAt.Add(stableWindow); isTrouble && inTouchAt.After(boundAt) {
		boundAt = inTouchAt
	}
	var broken []string
	for end := healedAt.Add(16 * time.Second); time.Now().Before(end); time.Sleep(250 * time.Millisecond) {
		for _, v := range d.vms {
			sentAt := time.Now()
			answer := startSession(v.caller, addedHost)
			if v == d.vms[cutVM] {
				d.record.printf("%s sent START %s: %s", v.name, addedHost, answer)
			}
			if strings.HasPrefix(answer, "ERR NODB") && sentAt.After(boundAt) {
				broken = append(broken, fmt.Sprintf("VM %s answers START %s with %q, %d ms after the acknowledgement of the route and %d ms after the end of the cut", v.name, addedHost, answer, sentAt.Sub(addedAt).Milliseconds(), sentAt.Sub(healedAt).Milliseconds()))
			}
		}
	}
	for _, v := range d.vms {
		d.record.printf("VM %s occupies %d MB", v.name, v.residentMB())
	}
	return broken, nil
}

// startSession starts a session, ends it, and returns the answer to START.
func startSession(address, database string) string {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return "no connection"
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(startTimeout))
	_, _ = fmt.Fprintf(c, "START %s u1\r\n", database)
	line, err := bufio.NewReader(c).ReadString('\n')
	if err != nil {
		return "no answer"
	}
	_, _ = fmt.Fprint(c, "BYE\r\n")
	return strings.TrimSuffix(line, "\r\n")
}
