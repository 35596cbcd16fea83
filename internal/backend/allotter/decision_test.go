package allotter

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/session/tokenizer"
	"parsleyscale/internal/statement/carrier"
)

// Guards against a connection that is given to another team, a control command that waits for a team, a needless dial, and a
// closed connection that another request waits for.
func TestDecide(t *testing.T) {
	now := time.Unix(1000, 0)
	ago := func(d time.Duration, team string) idleConn { return idleConn{scope{team: team}, now.Add(-d)} }
	want := func(team string) request { return request{team: team, scope: scope{team: team}, priority: 1} }
	control := request{anyTeam: true, isControl: true, priority: ControlPriority}
	often := &scopeUse{open: 1, returns: 100, returnsAt: now}
	for _, c := range []struct {
		name string
		s    snapshot
		want action
	}{
		{"own connection", snapshot{idle: []idleConn{ago(0, "a"), ago(0, "b"), ago(0, "c")}, waiters: []request{want("b")}, open: 3}, action{giveIdle, 0, 1}},
		{"no connection of the team", snapshot{idle: []idleConn{ago(0, "a")}, waiters: []request{want("b")}, open: 1}, action{dial, 0, 0}},
		{"no connection without a team", snapshot{idle: []idleConn{ago(0, "a")}, waiters: []request{want("")}, open: 1}, action{dial, 0, 0}},
		{"any connection", snapshot{idle: []idleConn{ago(0, "a")}, waiters: []request{{anyTeam: true}}, open: 1}, action{giveIdle, 0, 0}},
		{"link of another gateway", snapshot{idle: []idleConn{{scope{gateway: "x"}, now}}, waiters: []request{{team: "a", scope: scope{gateway: "y"}}}, open: 1}, action{dial, 0, 0}},
		{"behind a request that is being dialed for", snapshot{idle: []idleConn{ago(0, "a")}, waiters: []request{want("b"), want("a")}, scopes: map[scope]*scopeUse{{team: "b"}: {open: 1, dialing: 1}}, dialing: 1, open: 2}, action{giveIdle, 1, 0}},
		{"control command beyond the limit", snapshot{idle: []idleConn{ago(0, "a")}, waiters: []request{control, want("a")}, inUse: 4, open: 5}, action{giveIdle, 0, 0}},
		{"statement at the limit", snapshot{idle: []idleConn{ago(0, "a")}, waiters: []request{want("a")}, inUse: 4, open: 5}, action{}},
		{"least recently used of all teams", snapshot{idle: []idleConn{ago(2*time.Second, "a"), ago(time.Second, "b")}, waiters: []request{want("c")}, open: 6}, action{closeIdle, 0, 0}},
		{"team that returns often", snapshot{idle: []idleConn{ago(2*time.Second, "a"), ago(time.Second, "b")}, scopes: map[scope]*scopeUse{{team: "a"}: often}, waiters: []request{want("c")}, open: 6}, action{closeIdle, 0, 1}},
		{"connection that is awaited", snapshot{idle: []idleConn{ago(2*time.Second, "a"), ago(time.Second, "b")}, waiters: []request{want("c"), want("a")}, open: 6}, action{closeIdle, 0, 1}},
		{"all connections in transactions", snapshot{waiters: []request{want("c")}, open: 6}, action{}},
		{"team with most connections in transactions", snapshot{idle: []idleConn{ago(0, "a"), ago(0, "b")}, teams: map[string]*teamUse{"a": {leased: 4}, "b": {}}, waiters: []request{want("a"), want("b")}, open: 6}, action{giveIdle, 1, 1}},
		{"the only team, with most connections in transactions", snapshot{idle: []idleConn{ago(0, "a")}, teams: map[string]*teamUse{"a": {leased: 4}}, waiters: []request{want("a")}, open: 5}, action{giveIdle, 0, 0}},
		{"the only team besides the VM itself", snapshot{idle: []idleConn{ago(0, "a")}, teams: map[string]*teamUse{"a": {leased: 4}, "": {isOwn: true}}, waiters: []request{want("a")}, open: 5}, action{giveIdle, 0, 0}},
		{"team that held connections for less time", snapshot{idle: []idleConn{ago(0, "a"), ago(0, "b")}, teams: map[string]*teamUse{"a": {held: 1, heldAt: now}}, waiters: []request{want("a"), want("b")}, open: 2}, action{giveIdle, 1, 1}},
		{"more urgent request of a team that held connections", snapshot{idle: []idleConn{ago(0, "a"), ago(0, "b")}, teams: map[string]*teamUse{"a": {held: 1, heldAt: now}}, waiters: []request{{team: "a", scope: scope{team: "a"}}, want("b")}, open: 2}, action{giveIdle, 0, 0}},
	} {
		c.s.now, c.s.maxInUse, c.s.maxOpen, c.s.maxDialing, c.s.mayDial = now, 4, 6, 2, true
		if got := decide(c.s); got != c.want {
			t.Errorf("%s: got %+v, want %+v", c.name, got, c.want)
		}
	}
}

// Guards against a team's connection that comes back late, after the address of the instance has changed, and then serves a
// statement, against one that serves a statement without a team, and against a command of the VM that waits for a handshake.
func TestConnectionStaysWithItsTeam(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &teamInstance{slotDialer: slotDialer{usedSlots: make(chan struct{}, 5), handshakeTime: loadHandshakeTime}, conns: map[*teamFakeConn]bool{}}
		a := New(Config{Dialer: s, Limits: func(carrier.Target) Limits { return Limits{Open: 4} }, Observe: func(carrier.Target, tokenizer.Position, time.Duration, error) {}})
		defer a.Close()
		get := func(tt carrier.Target) *Lease {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			l, err := a.Acquire(ctx, tt, 1)
			if err != nil {
				t.Fatal(err)
			}
			return l
		}
		late := get(target.WithTeam("a"))
		get(target.WithTeam("a")).Release()
		moved := target
		moved.Address = "a2"
		none := get(moved)
		late.Release()
		own := get(moved.WithTeam("a"))
		if own.conn == late.conn || none.conn.(*teamFakeConn).team != "" || own.conn.(*teamFakeConn).team != "a" {
			t.Errorf("got connections of teams %q and %q; want none and a, the latter at the new address", none.conn.(*teamFakeConn).team, own.conn.(*teamFakeConn).team)
		}
		none.Discard()
		own.Release()
		before := s.handshakes
		get(moved.WithAnyTeam()).Release()
		if s.handshakes > before {
			t.Error("a command of the VM opened a connection, although one of a team was idle")
		}
		time.Sleep(DefaultIdleTimeout + time.Second)
		start := time.Now()
		get(moved.WithTeam("a")).Release()
		t.Logf("a team whose connections were closed waited %v for a new one", time.Since(start))
		if waited := time.Since(start); waited != loadHandshakeTime {
			t.Errorf("a team whose connections were closed waited %v, want one handshake of %v", waited, loadHandshakeTime)
		}
	})
}

// Guards against requests that wait for a gateway that cannot be reached although another one can, and against a link that is
// not shared by the teams that prefer its gateway.
func TestRouteChangesWhileWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var dialed []string
		f := dialerFunc(func(tt carrier.Target) (carrier.Conn, error) {
			time.Sleep(10 * time.Millisecond)
			dialed = append(dialed, tt.Gateway)
			if tt.Gateway == "x" {
				return nil, classifier.New(classifier.Overloaded, "gateway cannot be reached")
			}
			return &fakeConn{dialer: &fakeDialer{}}, nil
		})
		gateway := "x"
		a := New(Config{
			Dialer: f, Limits: func(carrier.Target) Limits { return Limits{Open: 9, InUse: 3} },
			Observe: func(_ carrier.Target, _ tokenizer.Position, _ time.Duration, err error) {
				if err != nil {
					gateway = "y"
				}
			},
			Route: func(tt carrier.Target, _ float64) carrier.Target { return tt.WithGateway(gateway) },
		})
		defer a.Close()
		for _, team := range []string{"a", "b"} {
			l, err := a.Acquire(t.Context(), target.WithTeam(team), 1)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := l.Exchange(carrier.Command{Statement: carrier.Internal(carrier.Begin)}); err != nil {
				t.Fatal(err)
			}
			if sent := l.conn.(*fakeConn).sent; sent[len(sent)-1].Team != team {
				t.Errorf("statement of %s was sent for %q", team, sent[len(sent)-1].Team)
			}
			l.Release()
		}
		if !slices.Equal(dialed, []string{"x", "y"}) {
			t.Errorf("dialed %q, want x once and then y for both teams", dialed)
		}
	})
}

// Guards against requests that wait until their deadline because the dial of another team, behind which they waited, failed.
func TestDialAfterFailedDial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var dialed []string
		a := New(Config{
			Dialer: dialerFunc(func(tt carrier.Target) (carrier.Conn, error) {
				time.Sleep(10 * time.Millisecond)
				if dialed = append(dialed, tt.Team); len(dialed) == 3 {
					return nil, classifier.New(classifier.Timeout, "no answer")
				}
				return &fakeConn{dialer: &fakeDialer{}}, nil
			}),
			Limits: func(carrier.Target) Limits { return Limits{Open: 9, Dialing: 1} }, Observe: func(carrier.Target, tokenizer.Position, time.Duration, error) {},
		})
		defer a.Close()
		acquire := func(team string) (*Lease, error) {
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			return a.Acquire(ctx, target.WithTeam(team), 1)
		}
		for _, team := range []string{"idle", "b"} {
			l, err := acquire(team)
			if err != nil {
				t.Fatal(err)
			}
			if team == "idle" {
				l.Release()
			} else {
				defer l.Discard()
			}
		}
		start := time.Now()
		go func() { _, _ = acquire("b") }()
		synctest.Wait()
		if _, err := acquire("c"); err != nil || time.Since(start) != 20*time.Millisecond {
			t.Errorf("team c: %v after %v; want a connection after its own dial and the failed one, 20 ms", err, time.Since(start))
		}
		if !slices.Equal(dialed, []string{"idle", "b", "b", "c"}) {
			t.Errorf("dialed for %q, want c directly after the failed dial for b", dialed)
		}
	})
}

type dialerFunc func(t carrier.Target) (carrier.Conn, error)

func (f dialerFunc) Dial(_ context.Context, t carrier.Target) (carrier.Conn, tokenizer.Position, error) {
	c, err := f(t)
	return c, tokenizer.Position{}, err
}

// A client keeps the only connection of its team in a transaction, so that no connection comes back. Guards against a request
// of the team that waits until its deadline because nothing dials again after a failed or refused dial.
func TestDialAgainWithoutReturns(t *testing.T) {
	for _, kind := range []classifier.Kind{classifier.Timeout, classifier.TooManyConnections} {
		synctest.Test(t, func(t *testing.T) {
			dials := 0
			a := New(Config{
				Dialer: dialerFunc(func(carrier.Target) (carrier.Conn, error) {
					time.Sleep(10 * time.Millisecond)
					if dials++; dials == 2 {
						return nil, classifier.New(kind, "no connection")
					}
					return &fakeConn{dialer: &fakeDialer{}}, nil
				}),
				Limits: func(carrier.Target) Limits { return Limits{Open: 9} }, Observe: func(carrier.Target, tokenizer.Position, time.Duration, error) {},
			})
			defer a.Close()
			l, err := acquire(t, a, time.Second)
			if err != nil {
				t.Fatal(err)
			}
			defer l.Discard()
			l.MarkIdleInTx()
			start := time.Now()
			second, err := acquire(t, a, 5*time.Second)
			if err != nil || time.Since(start) > time.Second {
				t.Fatalf("after a dial that failed with %s: %v after %s, want a connection within 1 s", kind, err, time.Since(start))
			}
			second.Release()
		})
	}
}

// Guards against a team that may use only a part of the connections because the VM itself sends commands to the instance.
func TestOnlyTeamUsesAllConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newAllotter(&fakeDialer{}, 2)
		defer a.Close()
		command, err := a.Acquire(t.Context(), target.WithAnyTeam(), ControlPriority)
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		command.Release()
		for n := range 2 {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			l, err := a.Acquire(ctx, target.WithTeam("a"), 1)
			if err != nil {
				t.Fatalf("connection %d of 2: %v", n+1, err)
			}
			defer l.Discard()
		}
	})
}
