package allotter

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"time"

	"parsleyscale/internal/session/tokenizer"
	"parsleyscale/internal/statement/carrier"
)

// benchConn is a connection without state.
type benchConn struct{ carrier.Conn }

func (benchConn) IsBroken() bool        { return false }
func (benchConn) SetDeadline(time.Time) {}
func (benchConn) Close()                {}

// newBenchAllotter returns an allotter whose pool has one idle connection of each of n teams.
func newBenchAllotter(b *testing.B, n int) *Allotter {
	b.Helper()
	a := New(Config{
		Dialer: dialerFunc(func(carrier.Target) (carrier.Conn, error) { return benchConn{}, nil }),
		Limits: func(carrier.Target) Limits { return Limits{Open: 2 * n} }, Observe: func(carrier.Target, tokenizer.Position, time.Duration, error) {},
		IdleTimeout: time.Hour, CheckAfter: time.Hour,
	})
	b.Cleanup(a.Close)
	for k := range n {
		l, err := a.Acquire(context.Background(), target.WithTeam(fmt.Sprintf("team%d", k)), 1)
		if err != nil {
			b.Fatal(err)
		}
		l.Release()
	}
	return a
}

// BenchmarkAcquire measures a request that finds an idle connection of its team among those of 75 teams.
func BenchmarkAcquire(b *testing.B) {
	a := newBenchAllotter(b, 75)
	t := target.WithTeam("team0")
	b.ReportAllocs()
	for b.Loop() {
		l, err := a.Acquire(context.Background(), t, 1)
		if err != nil {
			b.Fatal(err)
		}
		l.Release()
	}
}

// BenchmarkDecide measures a decision for 100 waiting requests of 75 teams.
func BenchmarkDecide(b *testing.B) {
	now := time.Now()
	s := snapshot{teams: map[string]*teamUse{}, scopes: map[scope]*scopeUse{}, now: now, meanHoldTime: initialHoldTime, open: 18, maxOpen: 18, maxInUse: 10, maxDialing: 1, mayDial: true, inUse: 5}
	for k := range 75 {
		team := fmt.Sprintf("team%d", k)
		s.teams[team] = &teamUse{held: float64(k), heldAt: now}
		s.scopes[scope{team: team}] = &scopeUse{returns: float64(k), returnsAt: now}
		if k < 13 {
			s.idle = append(s.idle, idleConn{scope{team: team}, now.Add(-time.Second)})
		}
	}
	for k := range 100 {
		team := fmt.Sprintf("team%d", k%75)
		s.waiters = append(s.waiters, request{team: team, scope: scope{team: team}, priority: k % 3, effectiveArrival: now})
	}
	b.ReportAllocs()
	for b.Loop() {
		decide(s)
	}
}

// BenchmarkTeamState measures the memory of a team with one idle connection, without the connection itself.
func BenchmarkTeamState(b *testing.B) {
	const n = 1000
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		a := newBenchAllotter(b, n)
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/n, "B/team")
		runtime.KeepAlive(a)
	}
}
