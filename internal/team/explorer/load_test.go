package explorer

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"parsleyscale/internal/sheet/cataloger"
)

// warmUp is the time after the start in which all buckets have filled.
const warmUp = 20 * time.Second

// run runs a test of a fleet in simulated time, after warmUp.
func run(t *testing.T, size int, test func(f *fleet), teams ...cataloger.Team) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, size, teams...)
		f.startAll()
		time.Sleep(warmUp)
		f.forget()
		test(f)
		f.stopAll()
		time.Sleep(time.Minute) // messages under way end
		for _, team := range teams {
			if team.Rate > 0 {
				f.checkBound(team, 0, f.clock())
			}
		}
	})
}

var (
	large = cataloger.Team{Name: "large", Rate: 100, Burst: 40}
	small = cataloger.Team{Name: "small", Rate: 4, Burst: 4}
)

// Load: all clients of a team are on one VM, at twice its limit. Guards against a team that gets only a part of its limit because
// the limit is divided among VMs.
func TestAllClientsOnOneVM(t *testing.T) {
	run(t, 65, func(f *fleet) {
		start := f.clock()
		f.load("large", 200, 7*time.Second, 1, func(*rand.Rand) *vm { return f.vms[7] })
		n := 0
		for _, at := range f.admitted["large"] {
			if at >= start+2*time.Second {
				n++
			}
		}
		if n < 475 {
			t.Errorf("%d operations from 2 s to 7 s after the start of the load, want at least 95%% of 500", n)
		}
	}, large)
}

// Load: a team below its limit, spread over 65 VMs. Guards against refusals below the limit because each VM has a few operations.
func TestSpreadLoad(t *testing.T) {
	run(t, 65, func(f *fleet) {
		f.load("large", 62, 30*time.Second, 2, f.anyVM)
		if n := f.refused["large"]; n > 0 {
			t.Errorf("%d of %d operations refused below the limit", n, n+len(f.admitted["large"]))
		}
		t.Logf("%d messages for %d operations, %d calls to the store in 30 s", f.messages, len(f.admitted["large"]), f.storeCalls)
	}, large)
}

// Load: a small team of 2.5 operations/s over 65 VMs, below its limit of 4.
func TestSmallTeam(t *testing.T) {
	run(t, 65, func(f *fleet) {
		f.load("small", 2.5, 4*time.Minute, 3, f.anyVM)
		if n := f.refused["small"]; n > 0 {
			t.Errorf("%d of %d operations refused below the limit", n, n+len(f.admitted["small"]))
		}
	}, small)
}

// Load: one team at seven times its usual load. Its excess must be refused at once, and other teams must not notice.
func TestHotTeam(t *testing.T) {
	run(t, 65, func(f *fleet) {
		var wg sync.WaitGroup
		wg.Go(func() { f.load("small", 2.5, 8*time.Second, 4, f.anyVM) })
		wg.Go(func() { f.load("large", 7*62, 8*time.Second, 5, f.anyVM) })
		wg.Wait()
		if n := f.refused["small"]; n > 0 {
			t.Errorf("%d operations of another team refused", n)
		}
		if n := len(f.admitted["large"]); n < 760 {
			t.Errorf("%d operations of the hot team in 8 s, want at least 95%% of 800", n)
		}
		if f.slowest > 100*time.Millisecond {
			t.Errorf("a refusal took %s, want at most 100ms", f.slowest)
		}
		t.Logf("%d messages for %d operations and %d refusals; slowest refusal %s", f.messages, len(f.admitted["large"]), f.refused["large"], f.slowest)
	}, large, small)
}

// Failure: a holder is killed, frozen, or restarted, while its team is at its usual load. The rest of the limit must suffice, and
// another VM must take the shard over.
func TestHolderFails(t *testing.T) {
	for name, fail := range map[string]func(v *vm){
		"killed":    func(v *vm) { v.kill() },
		"frozen":    func(v *vm) { v.freeze(); time.AfterFunc(50*time.Second, v.thaw) },
		"restarted": func(v *vm) { v.kill(); time.AfterFunc(time.Second, v.start) },
	} {
		t.Run(name, func(t *testing.T) {
			run(t, 65, func(f *fleet) {
				v := f.holding("large")
				clients := func(r *rand.Rand) *vm {
					for {
						if c := f.anyVM(r); c != v {
							return c
						}
					}
				}
				time.AfterFunc(2*time.Second, func() { fail(v) })
				f.load("large", 62, time.Minute, 6, clients)
				if n := f.refused["large"]; n > 20 {
					t.Errorf("%d operations refused in a minute, want at most 20", n)
				}
				if v.frozen.Load() == nil {
					for shard, n := range f.heldBy() {
						if n != 1 {
							t.Errorf("shard %d has %d holders a minute after the failure, want 1", shard, n)
						}
					}
				}
			}, large)
		})
	}
}

// Failure: a partition; half of the VMs reach neither the others nor the store for a minute, while both sides are at three times
// the limit. The sum must stay within the bound, and the side with the store must take all shards over.
func TestPartition(t *testing.T) {
	run(t, 64, func(f *fleet) {
		f.set(func() { f.side = func(n int) int { return n / 32 } })
		f.load("large", 300, time.Minute, 7, f.anyVM)
		n := 0
		for _, v := range f.vms[:32] {
			n += len(v.process.Load().holder.Held())
		}
		if n != 8 {
			t.Errorf("the side with the store holds %d shards after a minute, want 8", n)
		}
		f.set(func() { f.side = func(int) int { return 0 } })
		f.load("large", 300, 20*time.Second, 8, f.anyVM)
	}, large)
}

// Failure: all VMs are killed at once and start together. The first tokens must be there some hundred ms after the first claim, with
// few calls to the store, and the restart must not grant a second burst.
func TestAllVMsRestart(t *testing.T) {
	run(t, 65, func(f *fleet) {
		go f.load("large", 300, 10*time.Second, 9, f.anyVM)
		time.Sleep(2 * time.Second)
		for _, v := range f.vms {
			v.kill()
		}
		f.set(func() { f.storeCalls = 0 })
		f.startAll()
		startedAt := f.clock()
		time.Sleep(300 * time.Millisecond)
		f.mu.Lock()
		last, calls := f.admitted["large"][len(f.admitted["large"])-1], f.storeCalls
		f.mu.Unlock()
		if last < startedAt {
			t.Error("no operation was admitted in the first 300 ms after the start")
		}
		if calls > 2*65 {
			t.Errorf("%d calls to the store in the first 300 ms, want at most two for each VM", calls)
		}
		time.Sleep(9 * time.Second)
	}, large)
}

// Failure: all VMs start with an empty store.
func TestFirstStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 65, large)
		f.startAll()
		time.Sleep(200 * time.Millisecond)
		if n := f.heldBy(); n != [8]int{1, 1, 1, 1, 1, 1, 1, 1} {
			t.Errorf("holders of the shards 200 ms after the start: %v, want one each", n)
		}
		if f.storeCalls > 80 {
			t.Errorf("%d calls to the store, want at most 80", f.storeCalls)
		}
		f.stopAll()
		time.Sleep(time.Minute)
	})
}

// Load: the limit is reduced to a fifth while the team is at three times the old one. The new limit must be binding one window
// later.
func TestReducedLimit(t *testing.T) {
	reduced := cataloger.Team{Name: "large", Rate: 20, Burst: 8}
	run(t, 65, func(f *fleet) {
		at := f.clock() + 5*time.Second
		time.AfterFunc(5*time.Second, func() { f.setTeams(reduced) })
		f.load("large", 300, 20*time.Second, 10, f.anyVM)
		f.checkBound(reduced, at+window, f.clock())
	}, large)
}

// Failure: the store is out for 20 s, which is shorter than a lease. No operation below the limit may be refused.
func TestStoreOutage(t *testing.T) {
	run(t, 65, func(f *fleet) {
		f.set(func() { f.isStoreOut = true })
		f.load("large", 62, 18*time.Second, 11, f.anyVM)
		f.set(func() { f.isStoreOut = false })
		f.load("large", 62, 30*time.Second, 12, f.anyVM)
		if n := f.refused["large"]; n > 0 {
			t.Errorf("%d operations refused", n)
		}
	}, large)
}

// Load: a configuration whose teams have no limit. Nothing may be sent.
func TestNoLimit(t *testing.T) {
	run(t, 5, func(f *fleet) {
		f.load("free", 100, 5*time.Second, 13, f.anyVM)
		if f.messages+f.storeCalls > 0 || f.refused["free"] > 0 {
			t.Errorf("%d messages, %d calls to the store, %d refusals; want none", f.messages, f.storeCalls, f.refused["free"])
		}
	}, cataloger.Team{Name: "free", Rate: 0})
}

// Failure: a holder stops as planned, and returns. Its shards must pass on at once both times, without a refusal.
func TestPlannedStop(t *testing.T) {
	run(t, 65, func(f *fleet) {
		v := f.holding("large")
		p := v.process.Load()
		held := len(p.holder.Held())
		go f.load("large", 62, 4*time.Minute, 14, func(r *rand.Rand) *vm { return f.vms[(v.number+1+r.IntN(64))%65] })
		time.Sleep(time.Second)
		p.holder.Close(context.Background())
		v.process.Store(nil)
		time.Sleep(100 * time.Millisecond)
		for shard, n := range f.heldBy() {
			if n != 1 {
				t.Errorf("shard %d has %d holders 100 ms after the stop, want 1", shard, n)
			}
		}
		v.start()
		time.Sleep(2*time.Minute + time.Duration(held)*time.Minute)
		if n := len(v.process.Load().holder.Held()); n != held {
			t.Errorf("the VM holds %d shards some minutes after its return, want %d as before", n, held)
		}
		time.Sleep(2 * time.Minute)
		if n := f.refused["large"]; n > 0 {
			t.Errorf("%d operations refused", n)
		}
	}, large)
}

// Failure: one holder is killed at a random moment. The shard must be held again within 50 s.
func TestTakeOver(t *testing.T) {
	for k := range 5 {
		run(t, 65, func(f *fleet) {
			time.Sleep(time.Duration(k) * 2300 * time.Millisecond)
			f.holding("large").kill()
			killedAt := f.clock()
			for f.heldBy() != [8]int{1, 1, 1, 1, 1, 1, 1, 1} && f.clock() < killedAt+time.Minute {
				time.Sleep(100 * time.Millisecond)
			}
			if d := f.clock() - killedAt; d > 50*time.Second {
				t.Errorf("held again after %s, want at most 50s", d)
			} else {
				t.Logf("held again after %s", d)
			}
		}, large)
	}
}
