package explorer

import (
	"context"
	"fmt"
	"testing"
	"time"

	"parsleyscale/internal/sheet/cataloger"
	"parsleyscale/internal/team/granter"
	"parsleyscale/internal/team/limiter"
	"parsleyscale/internal/team/messenger"
	"parsleyscale/internal/team/sharder"
)

// BenchmarkGrant measures a grant at a holder of 75 teams.
func BenchmarkGrant(b *testing.B) {
	g := granter.New()
	g.Start(0, time.Second)
	names := make([]string, 75)
	for k := range names {
		names[k] = fmt.Sprint("team", k)
	}
	now := time.Hour
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		now += time.Millisecond
		g.Grant(now, names[n%len(names)], 0, sharder.Share{Rate: 100, Capacity: 40}, 1)
	}
}

// BenchmarkAdmit measures the admission of operations on one VM, without the network: with a request for each operation, and with
// tokens that were requested in advance.
func BenchmarkAdmit(b *testing.B) {
	var vms []sharder.VM
	for k := range 65 {
		vms = append(vms, sharder.VM{ID: fmt.Sprint("vm", k), Region: fmt.Sprint("r", k%2), Address: fmt.Sprint(k)})
	}
	for name, pause := range map[string]time.Duration{"requested": 2 * time.Second, "inAdvance": 0} {
		b.Run(name, func(b *testing.B) {
			now := time.Hour
			l := limiter.New(limiter.Config{
				Self: vms[0], Sharder: sharder.New(map[string]string{"a": "r0", "b": "r1"}, slack, window), Clock: func() time.Duration { return now },
				TokenLifetime: time.Second, VMs: func() []sharder.VM { return vms }, Observe: func(string, time.Duration, error) {},
				Send: func(_ context.Context, _ string, q messenger.Request) (messenger.Response, error) {
					a := messenger.Response{Held: []int{0, 1, 2, 3, 4, 5, 6, 7}}
					for _, ask := range q.Asks {
						a.Grants = append(a.Grants, messenger.Grant{Count: ask.Count})
					}
					return a, nil
				},
			})
			t := cataloger.Team{Name: "t", Rate: 100, Burst: 100}
			b.ReportAllocs()
			for b.Loop() {
				now += pause
				_ = l.Admit(b.Context(), t)
			}
		})
	}
}

// BenchmarkRank measures what a VM computes when the list of VMs changes.
func BenchmarkRank(b *testing.B) {
	s := sharder.New(map[string]string{"a": "r0", "b": "r1"}, slack, window)
	var vms []sharder.VM
	for k := range 300 {
		vms = append(vms, sharder.VM{ID: fmt.Sprint("vm", k), Region: fmt.Sprint("r", k%2), CoreShare: float64(k%7) / 10})
	}
	for b.Loop() {
		for shard := range sharder.Count {
			s.Rank(shard, vms)
		}
	}
}
