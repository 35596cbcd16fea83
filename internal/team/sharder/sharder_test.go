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
	for _, slack := range []float64{0, 3, 20} {
		s := New(regionOf, slack, 5*time.Second)
		for k, burst := range []float64{0, 0.5, 1, 3.9, 4, 37, 1000} {
			team := cataloger.Team{Name: fmt.Sprint("t", k), Rate: 2.5, Burst: burst}
			d := s.Divide(team)
			n := float64(len(d.Shards))
			if d.Share.Capacity < 1 {
				t.Errorf("slack %g, burst %g: capacity %g, want at least 1", slack, burst, d.Share.Capacity)
			}
			if total := n * d.Share.Capacity; total > max(1, burst+slack/5)+1e-9 {
				t.Errorf("slack %g, burst %g: capacities add up to %g", slack, burst, total)
			}
			if total := n * d.Share.Rate * 5; total > 2.5*5+slack/4+1e-9 {
				t.Errorf("slack %g, burst %g: rates add up to %g in a window", slack, burst, total)
			}
			regions := map[string]bool{}
			for _, shard := range d.Shards {
				regions[s.Region(shard)] = true
			}
			if n >= 2 && len(regions) != 2 {
				t.Errorf("slack %g, burst %g: shards %v are all of one region", slack, burst, d.Shards)
			}
		}
	}
}

// Guards against a large VM that holds several shards, so that its loss costs teams more than a quarter of their limits, and against
// a shard whose first VM is in another region.
func TestRank(t *testing.T) {
	s := New(regionOf, 20, 5*time.Second)
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
