package assembler

import (
	"testing"
	"testing/synctest"
	"time"

	"parsleyscale/internal/config/loader"
)

// Guards against a VM that takes all connections of the instances because it
// started before the others had entered themselves: the other VM had no link
// left for the orders of a replacement, which took over 3 s.
func TestCountBeforeTheOthersAreKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &members{cfg: loader.LineSettings{ID: "vm-1"}, settled: time.Now().Add(settleTime)}
		m.others = []member{m.self()}
		if n := m.count(); n != firstMembers {
			t.Errorf("%d VMs right after the start, want %d", n, firstMembers)
		}
		time.Sleep(settleTime)
		if n := m.count(); n != 1 {
			t.Errorf("%d VMs after the others had time, want 1", n)
		}
	})
}
