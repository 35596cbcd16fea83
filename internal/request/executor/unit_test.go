package executor

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/group/sampler"
	"parsleyscale/internal/request/admitter"
	"parsleyscale/internal/request/exchanger"
	"parsleyscale/internal/request/router"
	"parsleyscale/internal/session/tokenizer"
)

// fakeHold holds writes until it is opened.
type fakeHold struct {
	open    chan struct{}
	running atomic.Int32
}

func (h *fakeHold) Wait(ctx context.Context) error {
	select {
	case <-h.open:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (h *fakeHold) Begin() { h.running.Add(1) }
func (h *fakeHold) End()   { h.running.Add(-1) }

// A write that arrives during a planned switch must run on the new primary, and the hold must see it end.
func TestHeldWrite(t *testing.T) {
	g := newGroup(t, "a", "b", "c")
	h := &fakeHold{open: make(chan struct{})}
	e := newExecutor(t, g, func(c *Config) { c.Hold = h })
	time.AfterFunc(50*time.Millisecond, func() {
		g.mu.Lock()
		g.promote("b")
		g.mu.Unlock()
		close(h.open)
	})
	res, err := e.Run(t.Context(), exchanger.Request{Database: "db", Class: exchanger.Write, Timeout: time.Second}, &fakeStream{in: queries("WRITE x")})
	if err != nil || res.ServedBy != "b" || h.running.Load() != 0 {
		t.Errorf("served by %q with error %v, %d still running", res.ServedBy, err, h.running.Load())
	}
}

// A write without a primary must wait for the next one, and must not claim to have run when there is none.
func TestWriteWithoutPrimary(t *testing.T) {
	g := newGroup(t, "a", "b", "c")
	e := newExecutor(t, g, nil)
	g.mu.Lock()
	g.primary = ""
	g.mu.Unlock()
	r := exchanger.Request{Database: "db", Class: exchanger.Write, Timeout: 100 * time.Millisecond}
	if _, err := e.Run(t.Context(), r, &fakeStream{in: queries("WRITE x")}); !classifier.Is(err, classifier.NoPrimary) {
		t.Errorf("without a primary: %v", err)
	}
	time.AfterFunc(50*time.Millisecond, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.promote("b")
	})
	r.Timeout = 5 * time.Second
	if res, err := e.Run(t.Context(), r, &fakeStream{in: queries("WRITE x")}); err != nil || res.ServedBy != "b" {
		t.Errorf("after the promotion: served by %q, %v", res.ServedBy, err)
	}
}

// A write whose primary is gone before anything was sent must wait for the next primary.
func TestPrimaryGoneBeforeWrite(t *testing.T) {
	g := newGroup(t, "a", "b", "c")
	e := newExecutor(t, g, nil)
	g.members["a"].stop()
	time.AfterFunc(50*time.Millisecond, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.promote("b")
	})
	r := exchanger.Request{Database: "db", Class: exchanger.Write, Timeout: 5 * time.Second}
	if res, err := e.Run(t.Context(), r, &fakeStream{in: queries("WRITE x")}); err != nil || res.ServedBy != "b" {
		t.Errorf("served by %q, %v", res.ServedBy, err)
	}
}

// A read must get the floor and the bound that its session and read kind ask for.
func TestReadQuery(t *testing.T) {
	floor := tokenizer.Position{Term: 1, Index: 1}
	cases := map[string]struct {
		r    exchanger.Request
		want router.Query
	}{
		"plain":           {exchanger.Request{}, router.Query{Bounded: true, MaxStaleness: DefaultMaxStaleness}},
		"kind":            {exchanger.Request{ReadKind: "recent"}, router.Query{Bounded: true, MaxStaleness: time.Second}},
		"exact":           {exchanger.Request{ReadKind: "exact"}, router.Query{Floor: floor}},
		"session":         {exchanger.Request{Session: "s"}, router.Query{Floor: floor, Bounded: true, MaxStaleness: DefaultMaxStaleness}},
		"token":           {exchanger.Request{Session: "s", HasToken: true, Floor: floor}, router.Query{Floor: floor, Bounded: true, MaxStaleness: DefaultMaxStaleness}},
		"token and exact": {exchanger.Request{HasToken: true, Floor: tokenizer.Position{Term: 1}, ReadKind: "exact"}, router.Query{Floor: floor}},
	}
	g := newGroup(t, "a", "b")
	for name, c := range cases {
		var got router.Query
		e := newExecutor(t, g, func(cfg *Config) {
			cfg.Decide = func(v sampler.View, q router.Query) router.Decision {
				got = q
				return decide(v, q)
			}
		})
		c.r.Database, c.r.Class, c.r.Timeout = "db", exchanger.Read, time.Second
		res, err := e.Run(t.Context(), c.r, &fakeStream{in: queries("READ 1")})
		if err != nil || got.Floor != c.want.Floor || got.Bounded != c.want.Bounded || got.MaxStaleness != c.want.MaxStaleness {
			t.Errorf("%s: got %+v, %v", name, got, err)
		}
		if res.Position != c.want.Floor {
			t.Errorf("%s: result has position %s, want the floor %s", name, res.Position, c.want.Floor)
		}
	}
}

// A session read must not be served while no round confirms that the primary is still one.
func TestSessionReadNeedsConfirmedRound(t *testing.T) {
	g := newGroup(t, "a")
	g.blind = true
	e := newExecutor(t, g, nil)
	for _, r := range []exchanger.Request{{Session: "s"}, {ReadKind: "exact"}, {HasToken: true, Floor: tokenizer.Position{Term: 1, Index: 1}}} {
		r.Database, r.Class, r.Timeout = "db", exchanger.Read, 50*time.Millisecond
		if _, err := e.Run(t.Context(), r, &fakeStream{in: queries("READ 1")}); !classifier.Is(err, classifier.StaleBound) {
			t.Errorf("%+v: got %v", r, err)
		}
	}
}

// A read without staleness that only the primary may serve must not wait for a
// confirmed round that starts after each look at the view.
func TestExactReadOnPrimary(t *testing.T) {
	g := newGroup(t, "a")
	e := newExecutor(t, g, func(c *Config) { c.Decide = router.Decide })
	r := exchanger.Request{Database: "db", Class: exchanger.Read, ReadKind: "exact", Timeout: time.Second}
	if res, err := e.Run(t.Context(), r, &fakeStream{in: queries("READ 1")}); err != nil || res.ServedBy != "a" {
		t.Errorf("served by %q, %v", res.ServedBy, err)
	}
}

// A read that may wait for a replica must fall back to the primary after the given time.
func TestReadFallsBackToPrimary(t *testing.T) {
	g := newGroup(t, "a", "b")
	e := newExecutor(t, g, func(c *Config) {
		c.Decide = func(v sampler.View, q router.Query) router.Decision {
			if len(q.Exclude) == 0 {
				return router.Decision{Wait: 30 * time.Millisecond}
			}
			return decide(v, q)
		}
	})
	start := time.Now()
	res, err := e.Run(t.Context(), exchanger.Request{Database: "db", Class: exchanger.Read, Timeout: time.Second}, &fakeStream{in: queries("READ 1")})
	if d := time.Since(start); err != nil || res.ServedBy != "a" || d < 30*time.Millisecond || d > 500*time.Millisecond {
		t.Errorf("served by %q after %s, %v", res.ServedBy, d, err)
	}
}

// Pieces of a batch must be answered in order, and a large batch must not block both sides in a write.
func TestPieces(t *testing.T) {
	g := newGroup(t, "a", "b")
	g.small.Store(true)
	e := newExecutor(t, g, nil)
	flushed := append(extended("READ 1")[:4], &pgproto3.Flush{})
	flushed = append(flushed, extended("READ 1")...)
	var large []pgproto3.FrontendMessage
	for range 60 {
		large = append(large, extended("READ 50 " + strings.Repeat(" ", 20000))[:4]...)
	}
	for _, c := range []struct {
		in   []pgproto3.FrontendMessage
		want string
	}{
		{flushed, "12nDC12nDC"},
		{append(large, &pgproto3.Sync{}), strings.Repeat("12nC", 60)},
		{append(extended("FAIL")[:4], append([]pgproto3.FrontendMessage{&pgproto3.Flush{}}, extended("READ 1")...)...), "12nE"},
	} {
		s := &fakeStream{in: c.in}
		_, err := e.Run(t.Context(), exchanger.Request{Database: "db", Class: exchanger.Read, Timeout: 20 * time.Second}, s)
		if err != nil || strings.ReplaceAll(s.types, "D", "") != strings.ReplaceAll(c.want, "D", "") || s.status != 'I' {
			t.Errorf("got %d messages ending with %q, status %q, %v", len(s.types), s.types[max(0, len(s.types)-20):], s.status, err)
		}
	}
}

// Copied data must reach the instance, and the caller's next unit must find the stream in step.
func TestCopy(t *testing.T) {
	g := newGroup(t, "a")
	e := newExecutor(t, g, nil)
	in := queries("COPY t")
	for range 3 {
		in = append(in, &pgproto3.CopyData{Data: make([]byte, copyBytes)})
	}
	s := &fakeStream{in: append(in, &pgproto3.CopyDone{}, &pgproto3.Query{String: "WRITE x"})}
	for range 2 {
		if _, err := e.Run(t.Context(), exchanger.Request{Database: "db", Class: exchanger.Write, Timeout: time.Second}, s); err != nil {
			t.Fatal(err)
		}
	}
	if s.types != "GCC" || !strings.Contains(string(s.out), "COPY 3") {
		t.Errorf("got messages %q: %q", s.types, s.out)
	}
}

// The words that end a transaction decide whether a lost connection means notRun.
func TestMayCommit(t *testing.T) {
	for text, want := range map[string]bool{
		"INSERT INTO t VALUES (1)": false, "commit": true, " ;\n END": true, "/* x */commit": true, "-- x\ncommit": true,
		"/* /* ; */ x */ COMMIT": true, "call p()": true, "SELECT CASE WHEN a THEN 1 END": false, "INSERT INTO t VALUES (1) ON CONFLICT DO NOTHING": false,
		"UPDATE t SET a = 1; Commit": true, "ROLLBACK": false, "commitment": false, "--\rCOMMIT": true,
	} {
		if mayCommit(text) != want {
			t.Errorf("mayCommit(%q) is %t", text, !want)
		}
	}
}

// A slow statement must not fail because the retry budget is used up.
func TestSilenceWithoutBudget(t *testing.T) {
	g := newGroup(t, "a", "b")
	g.faults = []scriptedFault{{Instance: "b", On: "READ", Act: "slow"}}
	b := admitter.NewBudget()
	for b.Spend() {
	}
	e := newExecutor(t, g, func(c *Config) { c.Budget, c.Silence = b, 5*time.Millisecond })
	for b.Spend() {
	}
	res, err := e.Run(t.Context(), exchanger.Request{Database: "db", Class: exchanger.Read, Timeout: 5 * time.Second}, &fakeStream{in: queries("READ 1")})
	if err != nil || res.ServedBy != "b" {
		t.Errorf("served by %q, %v", res.ServedBy, err)
	}
}

// A unit that is refused must leave the stream at the start of the next unit.
func TestRefusedUnitLeavesStreamInStep(t *testing.T) {
	g := newGroup(t, "a")
	e := newExecutor(t, g, nil)
	in := append(extended("WRITE y"), &pgproto3.FunctionCall{}, &pgproto3.CopyDone{}, &pgproto3.Query{String: "WRITE x"})
	s := &fakeStream{in: in}
	r := exchanger.Request{Database: "other", Class: exchanger.Write, Timeout: time.Second}
	for _, want := range []classifier.Kind{classifier.UnknownDatabase, classifier.Unsupported, ""} {
		if _, err := e.Run(t.Context(), r, s); kindOf(err) != want {
			t.Errorf("got %v, want kind %q", err, want)
		}
		r.Database = "db"
	}
	checkRuns(t, g, map[string]int{"x": 1})
}

// Old keys must be removed, but not before their retention is over.
func TestSweep(t *testing.T) {
	g := newGroup(t, "a")
	e := newExecutor(t, g, nil)
	r := exchanger.Request{Database: "db", Class: exchanger.Write, Key: keyAt(time.Now()), Timeout: time.Second}
	if _, err := e.Run(t.Context(), r, &fakeStream{in: queries("WRITE x")}); err != nil {
		t.Fatal(err)
	}
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		g.mu.Lock()
		limits := g.sweeps
		g.mu.Unlock()
		if len(limits) == 0 {
			continue
		}
		age := time.Since(time.UnixMilli(limits[0]))
		if want := DefaultRetention + sweepMargin; age < want || age > want+time.Minute {
			t.Errorf("keys older than %s are removed, want %s", age, want)
		}
		return
	}
	t.Error("no removal after a keyed write")
}

// A slow statement inside a read-only transaction cannot move, so it must not be given up.
func TestSlowStatementInTransaction(t *testing.T) {
	g := newGroup(t, "a", "b")
	g.faults = []scriptedFault{{Instance: "b", On: "READ", Act: "slow"}}
	e := newExecutor(t, g, func(c *Config) { c.Silence = 5 * time.Millisecond })
	s := &fakeStream{in: queries("BEGIN", "READ 1", "COMMIT")}
	_, err := e.Run(t.Context(), exchanger.Request{Database: "db", Class: exchanger.ReadOnlyTransaction, Timeout: 5 * time.Second}, s)
	if err != nil || s.types != "CTDCC" {
		t.Errorf("got messages %q, %v", s.types, err)
	}
}

// A caller that is idle in a transaction, or whose session has ended, must not hold its locks.
func TestIdleTransaction(t *testing.T) {
	for name, want := range map[string]classifier.Kind{"idle": classifier.NotRun, "ended": classifier.Canceled} {
		g := newGroup(t, "a")
		e := newExecutor(t, g, func(c *Config) { c.IdleInTransaction = 50 * time.Millisecond })
		ctx, cancel := context.WithCancel(t.Context())
		s := &fakeStream{in: queries("BEGIN", "WRITE x"), block: make(chan struct{}), late: queries("COMMIT")}
		ended := make(chan error)
		go func() {
			_, err := e.Run(ctx, exchanger.Request{Database: "db", Class: exchanger.Transaction, Timeout: 5 * time.Second}, s)
			ended <- err
		}()
		for s.count() < 2 {
			time.Sleep(time.Millisecond)
		}
		if name == "ended" {
			cancel()
		}
		for deadline := time.Now().Add(5 * time.Second); g.openCount("a") > 0; time.Sleep(time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatalf("%s: transaction still open", name)
			}
		}
		close(s.block)
		if err := <-ended; !classifier.Is(err, want) {
			t.Errorf("%s: got %v, want kind %q", name, err, want)
		}
		checkRuns(t, g, nil)
		cancel()
	}
}
