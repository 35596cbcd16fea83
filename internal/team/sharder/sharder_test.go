package sharder

import (
	"fmt"
	"testing"
	"time"

	"parsleyscale/internal/sheet/cataloger"
)

var regionOf = map[string]string{"d1": "r1", "d2": "r2", "d3": "r1"}

// Guards against parts of a limit that add up to more than the permitted total, against a bucket that can never grant, and against a
// team that loses its whole limit with one region.
func TestDivide(t *testing.T) {
	const lifetime = 100 * time.Millisecond
	for _, e := range []Excess{{Window: 5 * time.Second}, {5 * time.Second, 0, 3}, {5 * time.Second, 0.1, 20}, {time.Second, 0.5, 2}} {
		s := New(regionOf, e, lifetime)
		for k, burst := range []float64{0, 0.5, 1, 3.9, 4, 37, 1000} {
			team := cataloger.Team{Name: fmt.Sprint("t", k), Rate: 2.5, Burst: burst}
			d := s.Divide(team)
			n := float64(len(d.Shards))
			if d.Share.Capacity < 1 {
				t.Errorf("%v, burst %g: capacity %g, want at least 1", e, burst, d.Share.Capacity)
			}
			granted := n*d.Share.Capacity + n*d.Share.Rate*(e.Window+lifetime+MaxArrivalDelay).Seconds()
			permitted := (team.Rate*e.Window.Seconds()+burst)*(1+e.Overage) + e.Slack
			if n > 1 || d.Share.Capacity > 1 { // one bucket holds a token even if nothing is permitted at once
				if granted > permitted+1e-9 {
					t.Errorf("%v, burst %g: up to %g operations arrive in a window, permitted %g", e, burst, granted, permitted)
				}
			}
			if granted < permitted/2 && burst > 1 {
				t.Errorf("%v, burst %g: at most %g operations arrive in a window, although %g are permitted", e, burst, granted, permitted)
			}
			regions := map[string]bool{}
			for _, shard := range d.Shards {
				regions[s.Region(shard)] = true
			}
			if n >= 2 && len(regions) != 2 {
				t.Errorf("%v, burst %g: shards %v are all of one region", e, burst, d.Shards)
			}
		}
	}
}

// Guards against a large VM that holds several shards, so that its loss costs teams more than a quarter of their limits, and against
// a shard whose first VM is in another region.
func TestRank(t *testing.T) {
	s := New(regionOf, Excess{5 * time.Second, 0.1, 20}, 100*time.Millisecond)
	var vms []VM
	for k := range 20 {
		vms = append(vms, VM{ID: fmt.Sprint("vm", k), Region: fmt.Sprint("r", k%2+1), CoreShare: float64(k%5) / 10})
	}
	first := map[string]int{}
	for shard := range Count {
		list := s.Rank(shard, vms)
		if len(list) != len(vms) || list[0].Region != s.Region(shard) {
			t.Errorf("shard %d: %d VMs, first in region %s", shard, len(list), list[0].Region)
		}
		first[list[0].ID]++
	}
	if len(first) != Count {
		t.Errorf("the shards rank %d VMs first, want %d different ones", len(first), Count)
	}
}
