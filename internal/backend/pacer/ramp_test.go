package pacer

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// pacedLimiter is the strategy of the product.
type pacedLimiter struct {
	pace     Pace
	instance Instance
	usual    int
}

func (l *pacedLimiter) limit(now time.Time) int {
	l.pace = l.pace.WithInstance(now, l.instance, l.usual)
	return l.pace.Limit(l.usual)
}
func (l *pacedLimiter) connected(time.Time) { l.pace = l.pace.WithConnection(l.usual) }
func (l *pacedLimiter) answered(now time.Time, took time.Duration, inUse int) {
	l.pace = l.pace.WithResponse(now, took, inUse, l.usual)
}
func (l *pacedLimiter) refused(now time.Time) { l.pace = l.pace.WithRefusal(now, l.usual) }
func (l *pacedLimiter) lost(now time.Time)    { l.pace = l.pace.WithRamp(now, Recovered, l.usual) }

// windowLimiter is a strategy that is not used: a window that begins at initial, shrinks by 0.7 with a refusal, and grows by growth
// over as many responses as it is wide.
type windowLimiter struct {
	window, initial, growth float64
	usual                   int
}

func (l *windowLimiter) limit(time.Time) int { return max(1, min(l.usual, int(l.window))) }
func (*windowLimiter) connected(time.Time)   {}
func (l *windowLimiter) answered(time.Time, time.Duration, int) {
	l.window += l.growth / max(1, l.window)
}
func (l *windowLimiter) refused(time.Time) {
	l.window = max(2, min(l.window, float64(l.usual))*refusalDecrease)
}
func (l *windowLimiter) lost(time.Time) {
	if l.initial > 0 {
		l.window = l.initial
	}
}

// timedLimiter is a strategy that is not used: the limit grows linearly from 1 over the warm-up that the instance reports.
type timedLimiter struct {
	from   time.Time
	warmUp time.Duration
	usual  int
}

func (l *timedLimiter) limit(now time.Time) int {
	if l.from.IsZero() {
		l.from = now
	}
	if l.warmUp == 0 {
		return l.usual
	}
	return max(1, int(math.Min(1, float64(now.Sub(l.from))/float64(l.warmUp))*float64(l.usual)))
}
func (*timedLimiter) connected(time.Time)                    {}
func (*timedLimiter) answered(time.Time, time.Duration, int) {}
func (*timedLimiter) refused(time.Time)                      {}
func (l *timedLimiter) lost(now time.Time)                   { l.from = now }

// probingLimiter is a strategy that is not used: one request at a time until n have been answered.
type probingLimiter struct{ n, left, usual int }

func (l *probingLimiter) limit(time.Time) int {
	if l.left > 0 {
		return 1
	}
	return l.usual
}
func (*probingLimiter) connected(time.Time)                      {}
func (l *probingLimiter) answered(time.Time, time.Duration, int) { l.left-- }
func (*probingLimiter) refused(time.Time)                        {}
func (l *probingLimiter) lost(time.Time)                         { l.left = l.n }

// fleet returns n pools that a strategy limits. Each of them may open its share of 53 connections.
func fleet(n, usual int, newLimiter func(usual int) limiter) []*pool {
	pools := make([]*pool, n)
	for k := range pools {
		share := max(1, 53/n)
		pools[k] = &pool{limiter: newLimiter(min(usual, share)), hasLoad: true, share: share}
	}
	return pools
}

// paced returns the product's limiter for one of n pools.
func paced(n int, warmUp time.Duration) func(usual int) limiter {
	return func(usual int) limiter {
		return &pacedLimiter{usual: usual, instance: Instance{Slots: modelSlots, Pools: n, WarmUp: warmUp}}
	}
}

// fleets are numbers of VMs with the pools that connect to the instance: VMs on their own up to eight for each slot, and else four
// gateways with at most ten connections in use.
var fleets = []struct{ vms, pools, usual int }{{1, 1, 53}, {4, 4, 13}, {40, 40, 1}, {90, 4, 10}}

// maxRefusals is the number of refused statements within modelBucket, in which about 50 are served, that counts as a burst if it is
// exceeded: one for each of four pools, which find the limit of the instance that way.
const maxRefusals = 4

// TestColdInstanceReachesThroughput guards against an instance that starts and is overloaded, or left idle while requests wait.
func TestColdInstanceReachesThroughput(t *testing.T) {
	for _, f := range fleets {
		for _, cold := range []time.Duration{0, time.Second, 20 * time.Second} {
			t.Run(fmt.Sprintf("%d VMs, cold for %v", f.vms, cold), func(t *testing.T) {
				m := newModel(fleet(f.pools, f.usual, paced(f.pools, cold)), cold)
				m.run(22 * time.Second)
				if d := m.reached(0, 0.9); d > 300*time.Millisecond {
					t.Errorf("90 %% of the throughput after %v, want within 300ms", d)
				}
				last := 0.0
				for k := 200; k < 220; k++ {
					last += float64(m.served[k]) / m.capacity(k) / 20
				}
				if last < 0.9 {
					t.Errorf("%.0f %% of the throughput after the ramp, want 90", 100*last)
				}
				if n := m.worstRefusals(); n > maxRefusals {
					t.Errorf("%d refusals within %v, want at most %d", n, modelBucket, maxRefusals)
				}
			})
		}
	}
}

// TestReturnAfterCrash guards against handshakes and statements of all pools at once at an instance that is back after a crash, and
// against a second crash during the ramp that does not begin it again.
func TestReturnAfterCrash(t *testing.T) {
	for _, f := range fleets {
		t.Run(fmt.Sprintf("%d VMs", f.vms), func(t *testing.T) {
			m := newModel(fleet(f.pools, f.usual, paced(f.pools, 0)), 0)
			m.run(3 * time.Second)
			for k := range 2 { // each time 1 s down, then 200 ms of the ramp
				m.crash(time.Second, time.Second)
				m.maxInside = 0
				m.run(1050 * time.Millisecond)
				if most := max(2*modelSlots+2, f.pools); m.maxInside > most {
					t.Errorf("crash %d: %d statements and handshakes in the instance within 50 ms of its return, want at most %d", k, m.maxInside, most)
				}
				m.run(150 * time.Millisecond)
			}
			m.run(5 * time.Second)
			if d := m.reached(5200*time.Millisecond, 0.9); d > 400*time.Millisecond {
				t.Errorf("90 %% of the throughput %v after the second return, want within 400ms", d)
			}
			if n := m.worstRefusals(); n > maxRefusals {
				t.Errorf("%d refusals within %v, want at most %d", n, modelBucket, maxRefusals)
			}
		})
	}
}

// TestLoadAtOneGateway guards against idle slots while the requests of one team, which meet at one of four gateways, wait.
func TestLoadAtOneGateway(t *testing.T) {
	pools := fleet(4, 10, paced(4, 0))
	for _, p := range pools[1:] {
		p.hasLoad = false
	}
	m := newModel(pools, 0)
	m.run(2 * time.Second)
	if d := m.reached(0, 0.9); d > 500*time.Millisecond {
		t.Errorf("90 %% of the throughput after %v, want within 500ms", d)
	}
}

// TestCommonStart guards against 300 VMs that start together and send the instance 300 first requests. All their requests wait at
// four gateways.
func TestCommonStart(t *testing.T) {
	m := newModel(fleet(4, 10, paced(4, 0)), 20*time.Second)
	m.run(time.Second)
	if m.firstRequests > 4 {
		t.Errorf("%d requests before the first response, want one for each gateway", m.firstRequests)
	}
}

// TestRampStrategies prints the figures of docs/design/pace.md. The load is a crash at 3 s, 1 s down, and a cold phase, with requests
// that always wait at four gateways or at one VM. It guards against a ramp that is worse than a window without one.
func TestRampStrategies(t *testing.T) {
	for _, f := range []struct{ vms, pools, usual int }{{1, 1, 53}, {90, 4, 10}} {
		for _, cold := range []time.Duration{time.Second, 20 * time.Second} {
			results := map[string]*model{}
			for _, s := range []struct {
				name string
				new  func(usual int) limiter
			}{
				{"usual limit, no ramp", func(usual int) limiter { return &timedLimiter{usual: usual} }},
				{"window 0.7/0.2 as before", func(usual int) limiter { return &windowLimiter{window: 1000, growth: 0.2, usual: usual} }},
				{"window 0.7/1 from 1", func(usual int) limiter {
					return &windowLimiter{window: 1000, initial: 1, growth: 1, usual: usual}
				}},
				{"timed over the warm-up", func(usual int) limiter { return &timedLimiter{warmUp: cold, usual: usual} }},
				{"one at a time, 100 times", func(usual int) limiter { return &probingLimiter{n: 100, usual: usual} }},
				{"pace", paced(f.pools, cold)},
			} {
				m := newModel(fleet(f.pools, f.usual, s.new), 0)
				m.run(3 * time.Second)
				m.crash(time.Second, cold)
				before, inside := total(m.served), m.timeInside
				refusedBefore := total(m.refusals)
				m.run(3 * time.Second)
				n := total(m.served) - before
				results[s.name] = m
				t.Logf("%2d VMs, cold %3v, %-26s 90 %% after %6v, served in 2 s %4d, refused %3d, mean time inside %5.1f ms", f.vms, cold, s.name,
					m.reached(4*time.Second, 0.9), n, total(m.refusals)-refusedBefore, float64((m.timeInside-inside).Microseconds())/1000/float64(n))
			}
			if p, w := total(results["pace"].served), total(results["window 0.7/0.2 as before"].served); float64(p) < 0.97*float64(w) {
				t.Errorf("%d VMs, cold %v: %d statements served, %d with a window alone", f.vms, cold, p, w)
			}
		}
	}
}
