package explorer

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"parsleyscale/internal/sheet/cataloger"
)

// Runs the holders and limiters of a small fleet through random faults, at three times the limit of a team: messages and calls to
// the store are lost, repeated and delayed; VMs are killed, join, stop and freeze; the fleet is split; the limit is reduced and
// raised; the store is restored from older copies. Guards against a sum over all VMs above the bound.
func TestRandomFaults(t *testing.T) {
	for _, seed := range seeds(t, "testdata/faults.txt") {
		synctest.Test(t, func(t *testing.T) {
			high, low := cataloger.Team{Name: "t", Rate: 40, Burst: 60}, cataloger.Team{Name: "t", Rate: 10, Burst: 10}
			f := newFleet(t, 6, high)
			r := rand.New(rand.NewPCG(seed, 2))
			f.faults = rand.New(rand.NewPCG(seed, 3))
			for _, v := range f.vms[:4] {
				v.start()
			}
			start := f.clock()
			end := start + 5*time.Minute
			time.AfterFunc(2*time.Minute, func() { f.setTeams(low) })
			time.AfterFunc(4*time.Minute, func() { f.setTeams(high) })
			go f.load("t", 120, 5*time.Minute, seed, f.anyVM)
			for f.clock() < end {
				time.Sleep(time.Duration(r.ExpFloat64() * float64(4*time.Second)))
				v := f.anyVM(r)
				switch k := r.IntN(10); {
				case k < 3:
					v.restart()
				case k < 5 && v.frozen.Load() == nil:
					v.freeze()
					time.AfterFunc(time.Duration(r.ExpFloat64()*float64(20*time.Second)), v.thaw)
				case k < 7:
					side := r.IntN(2)
					f.set(func() { f.side = func(n int) int { return n % 2 * side } })
				case k < 8:
					isOut := r.IntN(2) == 0
					f.set(func() { f.isStoreOut = isOut })
				case k < 9:
					v.thaw()
					v.kill()
				default:
					rows := f.copyRows()
					time.AfterFunc(time.Duration(r.ExpFloat64()*float64(5*time.Second)), func() { f.restore(rows) })
				}
			}
			f.stopAll()
			time.Sleep(2 * time.Minute)
			f.checkBound(high, 0, end)
			f.checkBound(low, start+2*time.Minute+window, start+4*time.Minute-window)
			if n := len(f.admitted["t"]); n < 500 {
				t.Errorf("seed %d: only %d operations in 5 minutes", seed, n)
			}
			if t.Failed() {
				t.Logf("seed %d", seed)
			}
		})
	}
}
