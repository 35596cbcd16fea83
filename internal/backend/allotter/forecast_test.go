package allotter

import (
	"context"
	"maps"
	"reflect"
	"testing"
	"testing/synctest"
	"time"

	"parsleyscale/internal/backend/pacer"
	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/session/tokenizer"
	"parsleyscale/internal/statement/carrier"
)

// newForecastPool returns an allotter with limits and a dialer, in which two requests of team t use the only connections to
// an instance and three wait.
func newForecastPool(t *testing.T) (*Allotter, carrier.Target) {
	a := New(Config{
		Dialer: &fakeDialer{}, Limits: func(carrier.Target) Limits { return Limits{Open: 2} },
		Observe: func(carrier.Target, tokenizer.Position, time.Duration, error) {},
	})
	target := carrier.Target{Instance: "i", Group: "g", Address: "i", Team: "t"}
	for range 5 {
		go func() {
			if l, err := a.Acquire(t.Context(), target, 0); err == nil {
				<-t.Context().Done()
				l.Discard()
			}
		}()
	}
	time.Sleep(DefaultExtraIdleTimeout/2 + 50*time.Millisecond) // between two rounds of closeIdleLoop, which serves the queue
	return a, target
}

// poolState is the content of a pool without the identity of its maps and buffers.
type poolState struct {
	pool   instancePool
	scopes map[scope]scopeUse
	teams  map[string]teamUse
}

func (a *Allotter) stateOf(instance string) (s poolState, count int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	p := a.pools[instance]
	s = poolState{pool: *p, scopes: map[scope]scopeUse{}, teams: map[string]teamUse{}}
	for k := range maps.Keys(p.scopes) {
		s.scopes[k] = *p.scopes[k]
	}
	for k := range maps.Keys(p.teams) {
		s.teams[k] = *p.teams[k]
	}
	return s, len(a.pools)
}

// Guards against an explanation that takes a connection, a place in the queue or a record of overload, also where Acquire would
// record one, and where a reduced limit has grown back, which reading the limit records.
func TestForecastChangesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, target := newForecastPool(t)
		defer a.Close()
		a.mu.Lock()
		a.pools["i"].refusedAt, a.pools["i"].reducedLimit = time.Now().Add(-time.Hour), 1
		a.mu.Unlock()
		before, pools := a.stateOf("i")
		for k := range 1000 {
			switch k % 4 {
			case 0:
				a.Forecast(target, 0, time.Second)
			case 1: // would be rejected as overloaded
				a.Forecast(target.WithTeam("u"), 5, time.Microsecond)
			case 2: // another address
				a.Forecast(carrier.Target{Instance: "i", Group: "g", Address: "j"}, 0, time.Second)
			case 3:
				a.Peek(carrier.Target{Instance: "unknown", Group: "g", Address: "u"})
			}
		}
		after, poolsAfter := a.stateOf("i")
		if !reflect.DeepEqual(before, after) || pools != poolsAfter {
			t.Errorf("pool after 1,000 forecasts: %+v, want %+v; %d pools, want %d", after, before, poolsAfter, pools)
		}
	})
}

// Guards against a forecast that differs from what Acquire does with the same request.
func TestForecastIsWhatAcquireDoes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, target := newForecastPool(t)
		defer a.Close()
		for _, longest := range []time.Duration{time.Millisecond, 10 * time.Millisecond} {
			f := a.Forecast(target, 0, longest)
			ctx, cancel := context.WithTimeout(t.Context(), longest)
			start := time.Now()
			_, err := a.Acquire(ctx, target, 0)
			cancel()
			if isImmediate := time.Since(start) == 0; (f.Err != nil) != isImmediate || f.Err != nil && f.Err.Error() != err.Error() {
				t.Errorf("wait of at most %s: forecast %v, Acquire returned %v after %s", longest, f.Err, err, time.Since(start))
			}
			if f.Ahead != 3 || f.Load.Waiting != 3 || f.Load.InUse != 2 {
				t.Errorf("forecast %+v, want 3 requests ahead and 2 connections in use", f)
			}
		}
	})
}

// Guards against a fault in an explanation that leaves the allotter locked, so that it would end all requests.
func TestPanicInForecast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := New(Config{
			Dialer: &fakeDialer{}, Limits: func(carrier.Target) Limits { return Limits{Open: 2} },
			Observe:   func(carrier.Target, tokenizer.Position, time.Duration, error) {},
			PeekRoute: func(carrier.Target, float64) carrier.Target { panic("fault") },
		})
		defer a.Close()
		target := carrier.Target{Instance: "i", Address: "i"}
		func() {
			defer func() {
				if recover() == nil {
					t.Error("no panic")
				}
			}()
			a.Forecast(target, 0, time.Second)
		}()
		l, err := a.Acquire(t.Context(), target, 0)
		if err != nil {
			t.Fatalf("Acquire after the panic: %v, kind %s", err, classifier.KindOf(err))
		}
		l.Release()
	})
}

// Guards against a forecast with another pace than the one that Acquire applies to the same request, and against one that begins
// or reports a ramp: at an instance that is not known yet, that has restarted, and that has left its statements unanswered.
func TestForecastOfPace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		instance := pacer.Instance{Slots: 5, Pools: 4, StartedAtMs: 1}
		var ramps []pacer.Reason
		a := New(Config{
			Dialer: &fakeDialer{}, Limits: func(carrier.Target) Limits { return Limits{Open: 12, InUse: 10, Instance: instance} },
			Observe:     func(carrier.Target, tokenizer.Position, time.Duration, error) {},
			ObserveRamp: func(_ carrier.Target, r pacer.Reason) { ramps = append(ramps, r) },
		})
		defer a.Close()
		target := carrier.Target{Instance: "i", Group: "g", Address: "i"}
		check := func(want Pace) {
			t.Helper()
			known := len(ramps)
			f := a.Forecast(target, 0, time.Second)
			if f.Pace != want || len(ramps) != known {
				t.Errorf("pace %+v, ramps %v; want %+v and %d ramps", f.Pace, ramps, want, known)
			}
			if again := a.Forecast(target, 0, time.Second); !reflect.DeepEqual(again, f) {
				t.Errorf("second forecast %+v, want %+v", again, f)
			}
			a.mu.Lock()
			p := a.poolOf(target)
			a.updatePace(p, a.cfg.Limits(target))
			got := Pace{Limit: p.pace.Limit(p.usual), Usual: p.usual, Ramp: p.pace.Ramp()}
			a.mu.Unlock()
			if got != want || ramps[len(ramps)-1] != want.Ramp {
				t.Errorf("pace of a request %+v, ramps %v; want %+v", got, ramps, want)
			}
		}
		check(Pace{Limit: 1, Usual: 10, Ramp: pacer.Discovered})
		l, err := a.Acquire(t.Context(), target, 0)
		if err != nil {
			t.Fatal(err)
		}
		l.Release()
		check(Pace{Limit: 2, Usual: 10, Ramp: pacer.Discovered})
		instance.StartedAtMs = 2
		check(Pace{Limit: 1, Usual: 10, Ramp: pacer.Restarted})
		if l, err = a.Acquire(t.Context(), target, 0); err != nil {
			t.Fatal(err)
		}
		a.mu.Lock()
		a.pools["i"].answeredAt, a.pools["i"].busySince = time.Now().Add(-2*pacer.StaleSilence), time.Now().Add(-pacer.StaleSilence)
		a.pools["i"].pace = a.pools["i"].pace.WithRamp(time.Now().Add(-pacer.StaleSilence), pacer.Restarted, 10)
		a.mu.Unlock()
		check(Pace{Limit: 1, Usual: 10, Ramp: pacer.Stalled})
		l.Discard()
	})
}
