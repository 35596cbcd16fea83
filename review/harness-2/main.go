package main

import (
	"fmt"
	"os"
	"runtime"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

var (
	started   = time.Now()
	recordMu  sync.Mutex
	recordOut *os.File
	dep       = &deployment{}
	endOnce   sync.Once
)

// record writes a line of the record.
func record(format string, args ...any) {
	recordMu.Lock()
	defer recordMu.Unlock()
	_, _ = fmt.Fprintf(recordOut, "%8.3f "+format+"\n", append([]any{time.Since(started).Seconds()}, args...)...)
}

// end ends the processes and the case.
func end(code int) {
	endOnce.Do(func() {
		dep.stop()
		_ = os.RemoveAll(dep.dir)
		os.Exit(code)
	})
	select {} // another goroutine is ending the case
}

// giveUp ends a case that could not run.
func giveUp(reason string) {
	record("the case could not run: %s", reason)
	end(exitNotRun)
}

func main() {
	runtime.LockOSThread() // the VMs are killed when the thread that started them ends
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: harness-2 CASE RECORD")
		os.Exit(exitNotRun)
	}
	var err error
	if recordOut, err = os.Create(os.Args[2]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	if dep.dir, err = os.MkdirTemp("", "review-2-"); err != nil {
		giveUp(err.Error())
	}
	time.AfterFunc(110*time.Second, func() { giveUp("the case took too long") })
	hasTrouble := os.Getenv("TROUBLE") != "0"
	cases := map[string]func(bool) bool{"route": playRoute, "link": playLink, "departure": playDeparture, "empty": playEmpty}
	play, ok := cases[os.Args[1]]
	if !ok {
		giveUp("unknown case")
	}
	if play(hasTrouble) {
		record("result: the rule was broken")
		end(exitBroken)
	}
	record("result: the rule held")
	end(exitHeld)
}
