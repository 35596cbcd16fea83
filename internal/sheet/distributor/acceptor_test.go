package distributor

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/platform/client"
	"parsleyscale/internal/platform/emulator"
	"parsleyscale/internal/sheet/parser"
)

// A fault of the store must neither lose nor double a change, and its author
// must be able to find out by repeating it.
func TestAcceptUnderFaults(t *testing.T) {
	for _, tc := range []struct {
		name     string
		faults   emulator.Faults
		want     classifier.Kind
		repeated bool // the record shows an earlier attempt of the same change
	}{
		{"none", emulator.Faults{}, "", false},
		{"answer lost", emulator.Faults{LoseAnswers: 1}, "", true},
		{"out", emulator.Faults{Out: true}, classifier.PlatformUnavailable, false},
		{"slow", emulator.Faults{DelayMs: 100}, "", false},
		{"slower than an attempt's deadline", emulator.Faults{DelayMs: 2000}, classifier.PlatformUnavailable, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s, c := startPlatform(t)
			first := example(t)
			accept(t, c, "first", 0, first)
			s.SetFaults(tc.faults)
			ctx, cancel := context.WithTimeout(context.Background(), 1500*time.Millisecond)
			defer cancel()
			r, err := NewAcceptor(c).Accept(ctx, "planner", "second", 1, withSlots(first, 5))
			if tc.want == "" && (err != nil || r.Version != 2 || r.Repeated != tc.repeated) {
				t.Errorf("got %+v, %v", r, err)
			}
			if tc.want != "" && !classifier.Is(err, tc.want) {
				t.Errorf("got %v, want kind %s", err, tc.want)
			}
			s.SetFaults(emulator.Faults{})
			again := accept(t, c, "second", 1, withSlots(first, 5))
			if again.Version != 2 || again.Repeated != (tc.want == "") {
				t.Errorf("repeat: %+v", again)
			}
			if version, _, err := NewAcceptor(c).Current(context.Background()); err != nil || version != 2 {
				t.Errorf("version %d, %v; want 2", version, err)
			}
		})
	}
}

// A change identity must not stand for two changes, and bad input must not reach the store.
func TestAcceptRefuses(t *testing.T) {
	_, c := startPlatform(t)
	s := example(t)
	accept(t, c, "first", 0, s)
	for _, tc := range []struct {
		name, who, identity string
		base                uint64
		sheet               parser.Sheet
		want                classifier.Kind
	}{
		{"identity of another sheet", "p", "first", 0, withSlots(s, 9), classifier.KeyReuse},
		{"identity with another base", "p", "first", 1, s, classifier.KeyReuse},
		{"no identity", "p", "", 1, s, classifier.Invalid},
		{"no operator", "", "second", 1, s, classifier.Invalid},
		{"invalid sheet", "p", "second", 1, parser.Sheet{}, classifier.Invalid},
		{"old base", "p", "second", 0, s, classifier.Conflict},
		{"base of the future", "p", "second", 7, s, classifier.Conflict},
	} {
		if _, err := NewAcceptor(c).Accept(context.Background(), tc.who, tc.identity, tc.base, tc.sheet); !classifier.Is(err, tc.want) {
			t.Errorf("%s: got %v, want kind %s", tc.name, err, tc.want)
		}
	}
}

// Of racing operators exactly one must win in each round, also when answers are
// lost, and the others must see the winner's change. The records of all rounds
// must have no gap and no duplicate.
func TestRacingOperators(t *testing.T) {
	const rounds, operators = 150, 4
	s, c := startPlatform(t)
	r := rand.New(rand.NewPCG(20261204, 1))
	sheet := example(t)
	accept(t, c, "start", 0, sheet)
	for round := range uint64(rounds) {
		s.SetFaults(emulator.Faults{LoseAnswers: r.IntN(3), WritesPerSecond: 100000, ReadsPerSecond: 100000})
		records, errs := race(c, round+1, operators, sheet)
		won := 0
		for i, err := range errs {
			var conflict *Conflict
			switch {
			case err == nil:
				won++
			case !errors.As(err, &conflict) || !classifier.Is(err, classifier.Conflict):
				t.Fatalf("round %d: operator %d: %v", round, i, err)
			case len(conflict.Since) != 1 || conflict.Since[0].Diff.Empty() || conflict.Diff.Empty() || conflict.Current != round+2:
				t.Fatalf("round %d: conflict without the differences: %v", round, conflict)
			}
		}
		if won != 1 {
			t.Fatalf("round %d: %d operators won: %+v", round, won, records)
		}
		var err error
		if _, sheet, err = NewAcceptor(c).Current(context.Background()); err != nil {
			t.Fatal(err)
		}
	}
	list, err := NewAcceptor(c).Records(context.Background(), 1, rounds+1)
	if err != nil || len(list) != rounds+1 {
		t.Fatalf("%d records, %v", len(list), err)
	}
	replayed := parser.Sheet{}
	for i, rec := range list {
		if rec.Version != uint64(i+1) {
			t.Fatalf("record %d has version %d", i, rec.Version)
		}
		if replayed, err = rec.Diff.Apply(replayed); err != nil {
			t.Fatal(err)
		}
	}
	if !parser.Diff(replayed, sheet).Empty() {
		t.Error("the differences of the records do not lead to the sheet in force")
	}
}

func race(c *client.Client, base uint64, n int, sheet parser.Sheet) ([]Record, []error) {
	records, errs := make([]Record, n), make([]error, n)
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() {
			next := withSlots(sheet, 1+(int(base)*n+i)%1000)
			records[i], errs[i] = NewAcceptor(c).Accept(context.Background(), fmt.Sprint("operator ", i), fmt.Sprint(base, "-", i), base, next)
		})
	}
	wg.Wait()
	return records, errs
}

// A missing audit record must be reported, not skipped.
func TestRecordsReportAGap(t *testing.T) {
	m := newMemStore()
	s := example(t)
	for i := range 3 {
		accept(t, m, fmt.Sprint("c", i), uint64(i), withSlots(s, i+1))
	}
	delete(m.rows, auditTable+"/"+auditKey(2))
	for _, r := range [][2]uint64{{1, 3}, {2, 2}, {2, 3}, {3, 4}} {
		if _, err := NewAcceptor(m).Records(context.Background(), r[0], r[1]); err == nil || !strings.Contains(err.Error(), "audit") {
			t.Errorf("versions %d to %d: got %v, want an error", r[0], r[1], err)
		}
	}
}
