package distributor

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/peer/messenger"
	"parsleyscale/internal/platform/emulator"
)

// inForce reports whether all VMs that are up have a version.
func (f *fleet) inForce(version uint64) bool {
	for _, m := range f.Members() {
		v := f.vms[m.Address]
		if at, _, _ := v.d.Current(); !v.down.Load() && at != version {
			return false
		}
	}
	return true
}

// wait returns the time until all VMs that are up have a version.
func (f *fleet) wait(t testing.TB, version uint64, bound time.Duration) time.Duration {
	t.Helper()
	begin := time.Now()
	for !f.inForce(version) {
		if time.Since(begin) > bound {
			t.Fatalf("version %d is not in force everywhere after %s", version, bound)
		}
		time.Sleep(5 * time.Millisecond)
	}
	return time.Since(begin)
}

// A change must reach every VM within seconds under each fault, as a
// difference, and without a burst of requests to the store.
func TestSpreadUnderFaults(t *testing.T) {
	for _, tc := range []struct {
		name   string
		before func(f *fleet)
		bound  time.Duration
	}{
		{"none", func(*fleet) {}, 3 * time.Second},
		{"one poller dead", func(f *fleet) { f.vms["vm0"].down.Store(true) }, 3 * time.Second},
		{"one poller silent", func(f *fleet) { f.vms["vm0"].silent.Store(true) }, 8 * time.Second},
		{"all pollers dead", func(f *fleet) {
			for i := range pollers {
				f.vms[fmt.Sprint("vm", i)].down.Store(true)
			}
		}, 15 * time.Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m, f := newMemStore(), newFleet()
				defer f.close()
				accept(t, m, "1", 0, example(t))
				for i := range 8 {
					f.add(fmt.Sprint("vm", i), m)
				}
				f.wait(t, 1, 3*time.Second)
				tc.before(f)
				time.Sleep(10 * time.Second)
				var wholes uint64
				for _, v := range f.vms {
					wholes += v.wholes.Load()
				}
				for version := uint64(2); version < 6; version++ {
					accept(t, m, fmt.Sprint(version), version-1, withSlots(example(t), int(version)))
					t.Logf("version %d in force after %s", version, f.wait(t, version, tc.bound))
				}
				for _, v := range f.vms {
					wholes -= v.wholes.Load()
				}
				if wholes != 0 {
					t.Errorf("%d whole sheets were sent for changes", -wholes)
				}
			})
		})
	}
}

// After hours without the store, its return must cause no burst, and the next
// change must be in force within 15 s.
func TestStoreReturnsAfterHours(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m, f := newMemStore(), newFleet()
		defer f.close()
		accept(t, m, "1", 0, example(t))
		for i := range 32 {
			f.add(fmt.Sprint("vm", i), m)
		}
		f.wait(t, 1, 3*time.Second)
		m.setOut(true)
		time.Sleep(5 * time.Hour)
		during := len(m.requests())
		m.setOut(false)
		accept(t, m, "2", 1, withSlots(example(t), 9))
		m.setOut(false) // forget the requests of accept
		took := f.wait(t, 2, 15*time.Second)
		time.Sleep(time.Minute)
		peak, times := 0, m.requests()
		for i, at := range times {
			n := 0
			for _, later := range times[i:] {
				if later.Sub(at) < time.Second {
					n++
				}
			}
			peak = max(peak, n)
		}
		t.Logf("32 VMs, 5 h without the store: %.2f requests/s during, change in force after %s, peak %d requests in 1 s after the return", float64(during)/(5*3600), took, peak)
		if peak > 2*pollers {
			t.Errorf("%d requests within a second after the return", peak)
		}
	})
}

// A VM that starts while the store is out must take the highest version of its
// peers, and without one must say why it is not ready.
func TestStartWithoutStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m, none, f := newMemStore(), newMemStore(), newFleet()
		defer f.close()
		none.setOut(true)
		lone := f.add("lone", none)
		time.Sleep(time.Minute)
		err := lone.d.Ready()
		if !classifier.Is(err, classifier.NotReady) || !strings.Contains(err.Error(), "store: out") || !strings.Contains(err.Error(), "peers: 0 asked") {
			t.Errorf("without store and peers: %v", err)
		}
		old, latest := newMemStore(), newMemStore()
		accept(t, old, "1", 0, example(t))
		for i := range uint64(3) {
			accept(t, latest, fmt.Sprint(i), i, withSlots(example(t), int(i+1)))
		}
		f.add("old", old)
		f.add("latest", latest)
		time.Sleep(30 * time.Second)
		old.setOut(true)
		latest.setOut(true)
		f.add("watcher", none)
		f.add("watcher of a poller that has none", m)
		time.Sleep(time.Minute)
		for _, id := range []string{"lone", "watcher", "watcher of a poller that has none"} {
			version, sheet, _ := f.vms[id].d.Current()
			if err := f.vms[id].d.Ready(); err != nil || version != 3 || sheet.Services[0].Databases[0].Instances[0].Slots != 3 {
				t.Errorf("%s: version %d, %v", id, version, err)
			}
		}
	})
}

// A source that is behind must not take a VM back to an older sheet.
func TestVersionNeverFalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m, f := newMemStore(), newFleet()
		defer f.close()
		for i := range uint64(3) {
			accept(t, m, fmt.Sprint(i), i, withSlots(example(t), int(i+1)))
		}
		v := f.add("vm0", m)
		f.wait(t, 3, 3*time.Second)
		changed := v.d.Changed()
		whole, err := v.d.WatchSheet(context.Background(), &messenger.WatchSheetRequest{})
		if err != nil || len(whole.Whole) == 0 {
			t.Fatalf("no whole sheet: %v", err)
		}
		whole.Version = 2
		for name, r := range map[string]*messenger.WatchSheetResponse{
			"older whole sheet":  whole,
			"older difference":   {Version: 2, Changes: [][]byte{[]byte(`{"deployment":{"was":"kavango","now":"x"}}`)}},
			"difference of gap":  {Version: 9, Changes: [][]byte{[]byte(`{"deployment":{"was":"kavango","now":"x"}}`)}},
			"difference too few": {Version: 0, Changes: [][]byte{[]byte(`{}`), []byte(`{}`)}},
			"none":               {Version: 1},
		} {
			if err := v.d.take(r); err != nil {
				t.Errorf("%s: %v", name, err)
			}
			if version, s, _ := v.d.Current(); version != 3 || s.Deployment != "kavango" {
				t.Errorf("%s: version %d of %s", name, version, s.Deployment)
			}
		}
		empty := newMemStore()
		accept(t, empty, "1", 0, example(t))
		m.mu.Lock()
		m.rows = empty.rows // the store lost its later versions
		m.mu.Unlock()
		time.Sleep(time.Minute)
		select {
		case <-changed:
			t.Error("the sheet in force changed")
		default:
		}
	})
}

// A VM that is far behind must get the whole sheet, and others differences only.
func TestAnswerSize(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m, f := newMemStore(), newFleet()
		defer f.close()
		accept(t, m, "1", 0, example(t))
		v := f.add("vm0", m)
		const last = maxChanges + 10
		for i := uint64(1); i < last; i++ {
			f.wait(t, i, 3*time.Second)
			accept(t, m, fmt.Sprint("c", i), i, withSlots(example(t), int(i)))
		}
		f.wait(t, last, 3*time.Second)
		for version, want := range map[uint64]int{0: -1, 5: -1, last - maxChanges: maxChanges, last - 1: 1, last: 0, last + 1: 0, versionOnly: 0} {
			r, err := v.d.WatchSheet(context.Background(), &messenger.WatchSheetRequest{Version: version, WaitMs: 50})
			if err != nil || r.Version != last || (len(r.Whole) > 0) != (want < 0) || want >= 0 && len(r.Changes) != want {
				t.Errorf("from version %d: %d changes, %d bytes of whole sheet, %v", version, len(r.Changes), len(r.Whole), err)
			}
		}
	})
}

// Over loopback, with real trackers, a change must be in force within seconds,
// also on many VMs and after a poller was killed. The test logs the figures.
func TestSpreadOverLoopback(t *testing.T) {
	if testing.Short() {
		t.Skip("takes real time")
	}
	for _, n := range []int{8, 16, 32} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			t.Parallel()
			s, c := startPlatform(t)
			accept(t, c, "1", 0, example(t))
			var bytes traffic
			f := startOverLoopback(t, n, s, &bytes)
			t.Logf("%d VMs: first sheet in force after %s", n, f.wait(t, 1, 10*time.Second).Round(time.Millisecond))
			time.Sleep(3 * time.Second) // all VMs have the list of VMs
			logIdle(t, s, f, &bytes)
			next := logChanges(t, c, f, 1, 8, "")
			f.killPoller()
			logChanges(t, c, f, next, 3, " after a poller was killed")
		})
	}
}

// killPoller stops the first VM in rank.
func (f *fleet) killPoller() {
	first := f.vms[f.list[0].Address]
	f.vms[first.tracker.Ranked(rankName, "dc")[0].Address].stop()
}

// logChanges accepts n changes and logs the times until they are in force.
func logChanges(t *testing.T, s Store, f *fleet, version uint64, n int, when string) uint64 {
	t.Helper()
	var sum, worst time.Duration
	for range n {
		accept(t, s, fmt.Sprint("c", version), version, withSlots(example(t), int(version)))
		version++
		took := f.wait(t, version, 8*time.Second)
		sum, worst = sum+took, max(worst, took)
		time.Sleep(130 * time.Millisecond)
	}
	t.Logf("%d VMs: %d changes%s in force after %s on average, %s at worst", len(f.list), n, when,
		(sum / time.Duration(n)).Round(time.Millisecond), worst.Round(time.Millisecond))
	return version
}

// logIdle logs what idle VMs send and receive on the connections that they open.
func logIdle(t *testing.T, s *emulator.Server, f *fleet, bytes *traffic) {
	const idle = 2 * watchWait
	asked := func() (n uint64) {
		for _, v := range f.vms {
			n += v.asked.Load()
		}
		return n
	}
	b0, m0, a0, r0 := bytes.sheets.Load(), bytes.members.Load(), asked(), s.Counts().Reads
	time.Sleep(idle)
	each := float64(len(f.list)) * idle.Seconds()
	t.Logf("%d VMs idle, for each VM: sheets %.0f bytes/s and %.2f requests/s, of these %.2f to the store; members %.0f bytes/s", len(f.list),
		float64(bytes.sheets.Load()-b0)/each, float64(asked()-a0+s.Counts().Reads-r0)/each, float64(s.Counts().Reads-r0)/each,
		float64(bytes.members.Load()-m0)/each)
}
