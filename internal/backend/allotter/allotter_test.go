package allotter

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"parsleyscale/internal/backend/pacer"
	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/session/tokenizer"
	"parsleyscale/internal/statement/carrier"
)

// fakeDialer opens fake connections after 10 ms, or fails with err.
type fakeDialer struct {
	mu      sync.Mutex
	dials   int
	open    int
	maxOpen int // highest value of open
	err     error
}

func (f *fakeDialer) Dial(context.Context, carrier.Target) (carrier.Conn, tokenizer.Position, error) {
	time.Sleep(10 * time.Millisecond)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dials++
	if f.err != nil {
		return nil, tokenizer.Position{}, f.err
	}
	f.open++
	f.maxOpen = max(f.maxOpen, f.open)
	return &fakeConn{dialer: f}, tokenizer.Position{}, nil
}

// fakeConn is a connection on which each command succeeds, or gets no reply if isSilent is set.
type fakeConn struct {
	dialer   *fakeDialer
	sent     []carrier.Command
	isBroken bool
	isSilent bool
}

func (f *fakeConn) Send(c ...carrier.Command) error { f.sent = append(f.sent, c...); return nil }
func (f *fakeConn) Receive() (carrier.Reply, error) {
	if f.isSilent {
		return carrier.Reply{}, errors.New("no reply")
	}
	return carrier.Reply{}, nil
}
func (*fakeConn) SetDeadline(time.Time) {}
func (f *fakeConn) IsBroken() bool      { return f.isBroken }
func (f *fakeConn) Close() {
	f.dialer.mu.Lock()
	f.dialer.open--
	f.dialer.mu.Unlock()
}

var target = carrier.Target{Instance: "i", Group: "g", Address: "a"}

func newAllotter(f *fakeDialer, share int) *Allotter {
	return New(Config{
		Dialer: f, Limits: func(carrier.Target) Limits { return Limits{Open: share} },
		Observe: func(carrier.Target, tokenizer.Position, time.Duration, error) {},
	})
}

func acquire(t *testing.T, a *Allotter, timeout time.Duration) (*Lease, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return a.Acquire(ctx, target, 1)
}

// serveAll makes n concurrent requests, each of which keeps a connection for holdTime, and
// waits until all have been served.
func serveAll(t *testing.T, a *Allotter, n int, holdTime time.Duration) {
	t.Helper()
	var wg sync.WaitGroup
	for range n {
		wg.Go(func() {
			l, err := acquire(t, a, time.Minute)
			if err != nil {
				t.Error(err)
				return
			}
			time.Sleep(holdTime)
			l.Release()
		})
	}
	wg.Wait()
}

// Guards against more connections than the share, and against requests that stay in the queue forever.
func TestShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeDialer{}
		a := newAllotter(f, 3)
		defer a.Close()
		serveAll(t, a, 50, 5*time.Millisecond)
		if f.maxOpen != 3 {
			t.Errorf("%d connections open at once, want the share of 3", f.maxOpen)
		}
	})
}

// Guards against a request that waits although it cannot get a connection before its deadline.
func TestRejectionWithoutWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newAllotter(&fakeDialer{}, 1)
		defer a.Close()
		l, err := acquire(t, a, time.Second)
		if err != nil {
			t.Fatal(err)
		}
		for range 30 {
			go func() { _, _ = acquire(t, a, time.Minute) }()
		}
		synctest.Wait()
		start := time.Now()
		if _, err := acquire(t, a, 50*time.Millisecond); !classifier.Is(err, classifier.Overloaded) || time.Since(start) > 0 {
			t.Errorf("got error %v after %s, want kind overloaded without a wait", err, time.Since(start))
		}
		l.Discard()
	})
}

// Guards against requests that wait until their deadline for an instance that has been
// unreachable for seconds, as all requests of a region did during a network partition
// between regions, and against an instance that is not used again once it is reachable.
func TestUnreachableInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeDialer{err: errors.New("no route to host")}
		a := newAllotter(f, 3)
		defer a.Close()
		for start := time.Now(); time.Since(start) < unreachableAfter; time.Sleep(5 * time.Millisecond) {
			if _, err := acquire(t, a, time.Second); IsRejected(err) {
				t.Fatalf("rejected after %s: %v; want a wait, because a failover may take %s", time.Since(start), err, unreachableAfter)
			}
		}
		for range 10 {
			_, _ = acquire(t, a, time.Second)
		}
		dials, start := f.dials, time.Now()
		for time.Since(start) < time.Second {
			before := time.Now()
			if _, err := acquire(t, a, time.Second); !IsUnreachable(err) || time.Since(before) > 0 {
				t.Fatalf("got error %v after %s, want an unreachable instance without a wait", err, time.Since(before))
			}
			time.Sleep(time.Millisecond)
		}
		if n := f.dials - dials; n < 3 || n > 6 {
			t.Errorf("%d dials within a second, want 3 to 6", n)
		}
		f.mu.Lock()
		f.err = nil
		f.mu.Unlock()
		time.Sleep(unreachableRedialInterval)
		_, _ = acquire(t, a, time.Second)
		time.Sleep(20 * time.Millisecond)
		l, err := acquire(t, a, time.Second)
		if err != nil {
			t.Fatalf("instance is reachable again: %v", err)
		}
		l.Release()
	})
}

// A gateway restarts and has the requests of many VMs in its queue. Guards against a handshake
// for each queued request, which occupied the slots of the instances for a second
// (60 to 109 statements/s of 167), and against connections that
// are idle in a transaction but count as in use.
func TestLimitOfConnectionsInUse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeDialer{}
		a := New(Config{
			Dialer: f, Limits: func(carrier.Target) Limits { return Limits{Open: 42, InUse: 4} },
			Observe: func(carrier.Target, tokenizer.Position, time.Duration, error) {},
		})
		defer a.Close()
		serveAll(t, a, 100, 18*time.Millisecond)
		if f.maxOpen != 4 {
			t.Errorf("%d connections open at once, want at most 4 that can be in use", f.maxOpen)
		}
		var held []*Lease
		for range 4 {
			l, err := acquire(t, a, time.Second)
			if err != nil {
				t.Fatal(err)
			}
			held = append(held, l)
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		control, err := a.Acquire(ctx, target, ControlPriority)
		if err != nil {
			t.Fatalf("control command waits for statements, which may wait for it: %v", err)
		}
		control.Release()
		for _, l := range held {
			l.Release()
		}
		for range 10 {
			l, err := acquire(t, a, time.Second)
			if err != nil {
				t.Fatal(err)
			}
			l.MarkIdleInTx()
			defer l.Discard()
		}
		if _, err := acquire(t, a, time.Second); err != nil {
			t.Errorf("with 10 connections idle in a transaction: %v", err)
		}
	})
}

// Guards against the lease of a connection that was closed, or stopped answering, while it was idle.
func TestBrokenIdleConnections(t *testing.T) {
	for _, c := range []struct {
		name     string
		fail     func(*fakeConn)
		idleTime time.Duration
	}{
		{"closed by the instance", func(l *fakeConn) { l.isBroken = true }, time.Millisecond},
		{"does not answer", func(l *fakeConn) { l.isSilent = true }, 2 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fakeDialer{}
				a := newAllotter(f, 4)
				defer a.Close()
				l, err := acquire(t, a, time.Second)
				if err != nil {
					t.Fatal(err)
				}
				first := l.conn.(*fakeConn)
				l.Release()
				c.fail(first)
				time.Sleep(c.idleTime)
				if l, err = acquire(t, a, time.Second); err != nil || l.conn == first {
					t.Errorf("got the broken connection, or error %v", err)
				} else {
					l.Release()
				}
			})
		})
	}
}

// Guards against session values and prepared statements that are visible to another session.
func TestSessionCommands(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newAllotter(&fakeDialer{}, 1)
		defer a.Close()
		l, err := acquire(t, a, time.Second)
		if err != nil {
			t.Fatal(err)
		}
		p := carrier.Statement{Verb: carrier.Prepare, Name: "p1", PreparedVerb: carrier.Read, Args: "q"}
		if n := len(l.SessionCommands(map[string]string{"x": "1"}, &p)); n != 2 {
			t.Errorf("got %d commands, want 2: set and prepare", n)
		}
		if n := len(l.SessionCommands(map[string]string{"x": "1"}, &p)); n != 0 {
			t.Errorf("got %d commands for an unchanged session, want none", n)
		}
		cmds := l.SessionCommands(nil, &p)
		if len(cmds) != 2 || cmds[0].Verb != carrier.Reset || cmds[1].Verb != carrier.Prepare {
			t.Errorf("got %+v, want a reset and a prepare", cmds)
		}
		l.Release()
	})
}

// Guards against connections that keep the large values of sessions that have ended, and against a large value that is not
// sent although it differs from the one before.
func TestLargeValuesAreNotRemembered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newAllotter(&fakeDialer{}, 1)
		defer a.Close()
		l, err := acquire(t, a, time.Second)
		if err != nil {
			t.Fatal(err)
		}
		first, second := strings.Repeat("x", 1<<20), strings.Repeat("x", 1<<20-1)+"y"
		for i, c := range []struct {
			value string
			want  int
		}{{first, 1}, {first, 0}, {second, 1}, {first, 1}} {
			if cmds := l.SessionCommands(map[string]string{"v": c.value}, nil); len(cmds) != c.want || c.want > 0 && cmds[0].Args != c.value {
				t.Errorf("step %d: %d commands, want %d", i, len(cmds), c.want)
			}
		}
		if n := len(l.sessionValues["v"]); n > maxRememberedValueBytes {
			t.Errorf("the connection remembers %d bytes of a value", n)
		}
		l.Release()
	})
}

// Many requests arrive at once while no connection is open, as after a restart of all VMs.
// Guards against simultaneous dials for all of them. Their handshakes occupy the slots
// of the instance: with 8 VMs and 5 connections each, all slots for a third of a second.
func TestConnectionsAtMostDouble(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeDialer{}
		a := newAllotter(f, 8)
		defer a.Close()
		var wg sync.WaitGroup
		for range 40 {
			wg.Go(func() {
				l, err := acquire(t, a, time.Minute)
				if err != nil {
					t.Error(err)
					return
				}
				time.Sleep(100 * time.Millisecond)
				l.Release()
			})
		}
		for _, want := range []int{0, 1, 2, 4} { // a dial takes 10 ms
			synctest.Wait()
			f.mu.Lock()
			if f.open > want {
				t.Errorf("%d connections open although dials of only %d can have finished, want at most %d", f.open, want, want)
			}
			f.mu.Unlock()
			time.Sleep(10*time.Millisecond + time.Nanosecond)
		}
		wg.Wait()
		if f.maxOpen != 8 {
			t.Errorf("%d connections open at once, want the share of 8", f.maxOpen)
		}
	})
}

// All VMs send their statements through the gateways of an instance that is overloaded. Guards against an order of arrival at
// the gateway that serves statements of low priority first, and against one that forgets how long a repeated statement has
// waited at its VM.
func TestUrgencyOfOtherVMs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newAllotter(&fakeDialer{}, 1)
		defer a.Close()
		l, err := acquire(t, a, time.Second)
		if err != nil {
			t.Fatal(err)
		}
		var mu sync.Mutex
		var order []string
		var wg sync.WaitGroup
		for _, c := range []struct {
			name string
			u    carrier.Urgency
		}{
			{"batch", carrier.Urgency{Priority: 2}},
			{"counter", carrier.Urgency{Priority: 0}},
			{"batch that has waited for 700 ms", carrier.Urgency{Priority: 2, Age: 700 * time.Millisecond}},
			{"look-up", carrier.Urgency{Priority: 1}},
		} {
			wg.Go(func() {
				l, err := a.AcquireUrgent(t.Context(), target, c.u)
				if err != nil {
					t.Error(err)
					return
				}
				mu.Lock()
				order = append(order, c.name)
				mu.Unlock()
				time.Sleep(time.Millisecond)
				l.Release()
			})
			synctest.Wait()
		}
		l.Release()
		wg.Wait()
		if want := []string{"batch that has waited for 700 ms", "counter", "look-up", "batch"}; !slices.Equal(order, want) {
			t.Errorf("served in the order %q, want %q", order, want)
		}
	})
}

// An instance that is used by four gateways closes its connections and returns. Guards against a gateway that opens and uses all of its
// connections at once, against connections without an answer that keep it from opening any, against control commands (which replace a
// primary) that wait for the ramp, and against a limit that stays low afterwards.
func TestRampAfterReturn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, ramps := &fakeDialer{}, []pacer.Reason{}
		a := New(Config{
			Dialer: f, Limits: func(carrier.Target) Limits {
				return Limits{Open: 12, InUse: 10, Instance: pacer.Instance{Slots: 5, Pools: 4}}
			},
			Observe:     func(carrier.Target, tokenizer.Position, time.Duration, error) {},
			ObserveRamp: func(_ carrier.Target, r pacer.Reason) { ramps = append(ramps, r) },
		})
		defer a.Close()
		serveAll(t, a, 20, time.Millisecond)
		time.Sleep(time.Minute)
		serveAll(t, a, 40, 10*time.Millisecond)
		if l := a.Load(target); l.MaxInUse != 10 || l.Ramp != "" {
			t.Errorf("in calm operation %d connections may be in use, ramp %q; want the usual 10 and none", l.MaxInUse, l.Ramp)
		}
		var silent []*Lease
		for range 3 {
			l, err := acquire(t, a, time.Second)
			if err != nil {
				t.Fatal(err)
			}
			silent = append(silent, l)
		}
		a.mu.Lock()
		for _, l := range a.pools[target.Instance].idle {
			l.conn.(*fakeConn).isBroken = true
		}
		a.mu.Unlock()
		var wg sync.WaitGroup
		wg.Go(func() { serveAll(t, a, 8, 100*time.Millisecond) })
		time.Sleep(50 * time.Millisecond)
		if n := a.Load(target).InUse - len(silent); n != 2 {
			t.Errorf("%d connections in use 50 ms after the return, besides those without an answer; want 2, the gateway's share of 5 slots", n)
		}
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		control, err := a.Acquire(ctx, target, ControlPriority)
		if err != nil {
			t.Errorf("control command during the ramp: %v", err)
		} else {
			control.Release()
		}
		wg.Wait()
		for _, l := range silent {
			l.Discard()
		}
		time.Sleep(2 * time.Second)
		serveAll(t, a, 1, time.Millisecond)
		if l := a.Load(target); l.MaxInUse != 10 || !slices.Equal(ramps, []pacer.Reason{pacer.Discovered, pacer.Recovered}) {
			t.Errorf("%d connections may be in use after the ramps %q, want 10 after one at the start and one at the return", l.MaxInUse, ramps)
		}
	})
}

// An instance hangs and leaves the statements that it has unanswered for good. Guards against a gateway whose connections in use are all
// taken by these, so that it sends nothing to the instance until they time out, and against one that sends more than one statement a
// second before an answer.
func TestStalledInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := New(Config{
			Dialer: &fakeDialer{}, Limits: func(carrier.Target) Limits {
				return Limits{Open: 13, InUse: 10, Instance: pacer.Instance{Slots: 5, Pools: 4}}
			},
			Observe: func(carrier.Target, tokenizer.Position, time.Duration, error) {},
		})
		defer a.Close()
		serveAll(t, a, 60, 50*time.Millisecond)
		time.Sleep(2 * time.Second)
		var leases []*Lease
		for range 10 {
			l, err := acquire(t, a, time.Second)
			if err != nil {
				t.Fatal(err)
			}
			leases = append(leases, l)
		}
		for start := time.Now(); time.Since(start) < 2500*time.Millisecond; {
			if l, err := acquire(t, a, 50*time.Millisecond); err == nil {
				leases = append(leases, l)
			}
		}
		if n := len(leases) - 10; n != 2 {
			t.Errorf("%d statements sent within 2.5 s after the instance hung, want one after each second", n)
		}
		leases[len(leases)-1].Release()
		if _, err := acquire(t, a, 50*time.Millisecond); err != nil {
			t.Errorf("the instance answers again, but gets no statement: %v", err)
		}
		for _, l := range leases[:len(leases)-1] {
			l.Discard()
		}
	})
}
