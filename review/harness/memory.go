package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// memoryLimit is `memory_mb` of the settings that DEPLOY.md shows, 284, above which the platform kills a process.
	memoryLimit = 284 << 20
	// maxMessage is the longest message that PROTOCOL.md allows.
	maxMessage = 1 << 20
	// endsNeeded is how often a process ends by itself until the rule counts it.
	endsNeeded = 3
	// restartDelay is the short delay after which the platform starts a process again.
	restartDelay = 300 * time.Millisecond
	memoryPlay   = 60 * time.Second
	// values is the number of session values that the client sets in a session.
	values = 900
)

// playMemory lets one client set many session values with messages of the allowed length, on one VM after the other. With
// no trouble, the values are short. The rule is broken if two processes are each killed three times for their memory.
func playMemory(d *deployment, trouble bool) (bool, error) {
	stopped := make(chan struct{})
	var wg sync.WaitGroup
	var served, cut atomic.Int64
	ends := make([]atomic.Int64, len(d.vms))
	for k, v := range d.vms {
		wg.Go(func() { d.enforceMemory(v, &ends[k], stopped) })
		wg.Go(func() { d.writeOrders(v, &served, &cut, stopped) })
	}
	length := 20
	if trouble {
		length = maxMessage - 100
	}
	for deadline := time.Now().Add(memoryPlay); time.Now().Before(deadline); {
		isDone := true
		for k, v := range d.vms {
			if ends[k].Load() < endsNeeded {
				isDone = false
				d.setValues(v, length)
			}
		}
		if isDone || !trouble {
			break
		}
	}
	close(stopped)
	wg.Wait()
	isBroken := true
	for k, v := range d.vms {
		d.record.printf("%s was over its memory %d times", v.id, ends[k].Load())
		isBroken = isBroken && ends[k].Load() >= endsNeeded
	}
	d.record.printf("writes of other clients: %d answered, %d sent and cut off without an answer", served.Load(), cut.Load())
	return isBroken, nil
}

// setValues sets session values in one session until it breaks.
func (d *deployment) setValues(v *vm, length int) {
	c, err := dial(v.frontAddress())
	if err != nil {
		time.Sleep(50 * time.Millisecond)
		return
	}
	defer c.close()
	d.record.printf("a client opens a session at %s and sets values with messages of %d bytes", v.id, length)
	for n := range values {
		text := fmt.Sprintf("SET v%d ", n)
		answer, err := c.query(newID(), text+strings.Repeat("x", length-len(text)))
		if err != nil {
			d.record.printf("after %d values the session ends: %v", n, err)
			return
		}
		if !strings.HasPrefix(answer[0], "DONE") {
			d.record.printf("value %d is answered with %q", n, answer)
			return
		}
	}
	d.record.printf("%d values are set; the client ends the session", values)
}

// enforceMemory does what the platform does with a process over its memory: it kills it and starts it again.
func (d *deployment) enforceMemory(v *vm, ends *atomic.Int64, stopped <-chan struct{}) {
	for {
		select {
		case <-stopped:
			return
		case <-time.After(5 * time.Millisecond):
		}
		used := residentBytes(v.pid())
		if used <= memoryLimit {
			continue
		}
		v.kill()
		ends.Add(1)
		d.record.printf("%s used %d MiB of %d MiB and is killed", v.id, used>>20, memoryLimit>>20)
		time.Sleep(restartDelay)
		if err := v.run(); err != nil {
			d.record.printf("%s cannot be started: %v", v.id, err)
			return
		}
		if err := v.awaitReady(); err != nil {
			d.record.printf("%v", err)
		}
	}
}

// residentBytes returns the resident memory of a process, or 0 if there is none.
func residentBytes(pid int) int64 {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	var size, resident int64
	if _, err := fmt.Sscan(string(b), &size, &resident); err != nil {
		return 0
	}
	return resident * int64(os.Getpagesize())
}

// writeOrders is another client, which writes all the while.
func (d *deployment) writeOrders(v *vm, served, cut *atomic.Int64, stopped <-chan struct{}) {
	var c *client
	for n := 0; ; n++ {
		select {
		case <-stopped:
			return
		case <-time.After(10 * time.Millisecond):
		}
		if c == nil {
			var err error
			if c, err = dial(v.frontAddress()); err != nil {
				c = nil
				continue
			}
		}
		if _, err := c.query(newID(), fmt.Sprintf("WRITE %s-%d data", v.id, n)); err != nil {
			cut.Add(1)
			c.close()
			c = nil
			continue
		}
		served.Add(1)
	}
}
