package recorder

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"parsleyscale/internal/session/tokenizer"
)

func at(index uint64) tokenizer.Position { return tokenizer.Position{Term: 3, Index: index} }

// TestFloor guards against a floor below a write of the session, which would be
// a stale read, and against one above entries that are known to be others'.
func TestFloor(t *testing.T) {
	const me, other = "me", "other"
	cases := map[string]struct {
		writers   map[uint64]string // by index, in term 3
		confirmed tokenizer.Position
		enough    uint64
		want      uint64
	}{
		"own write":                {map[uint64]string{5: other, 6: me, 7: other, 8: other}, at(8), 4, 6},
		"others only":              {map[uint64]string{5: other, 6: other, 7: other}, at(7), 4, 4},
		"latest of two":            {map[uint64]string{5: me, 6: me, 7: other}, at(7), 4, 6},
		"gap may be mine":          {map[uint64]string{5: me, 7: other}, at(7), 4, 6},
		"gap at the end":           {map[uint64]string{5: other, 6: other}, at(7), 4, 7},
		"gap already applied":      {map[uint64]string{6: other, 7: other}, at(7), 5, 5},
		"records past confirmed":   {map[uint64]string{6: other, 7: me, 8: me}, at(6), 5, 5},
		"no identity is no one":    {map[uint64]string{6: "", 7: other}, at(7), 5, 5},
		"term without any records": {map[uint64]string{6: other}, tokenizer.Position{Term: 4, Index: 6}, 5, 6},
		"records of a newer term":  {map[uint64]string{6: other}, tokenizer.Position{Term: 2, Index: 6}, 5, 6},
		"confirmed before applied": {map[uint64]string{6: other}, at(4), 5, 4},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := New()
			for i, s := range c.writers {
				r.Add(at(i), s)
			}
			ctx, cancel := context.WithCancel(t.Context())
			cancel()
			if got := r.Floor(ctx, me, c.confirmed, c.enough); got.Index != c.want || got.Term != c.confirmed.Term {
				t.Errorf("floor %s, want index %d", got, c.want)
			}
		})
	}
}

// TestRecordOnItsWay guards against a floor that stays at a gap although the record arrives in time.
func TestRecordOnItsWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := New()
		r.Add(at(6), "other")
		go func() {
			time.Sleep(5 * time.Millisecond)
			r.Merge(3, []Write{{Index: 7, Session: HashOf("another")}})
		}()
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
		defer cancel()
		if got := r.Floor(ctx, "me", at(7), 5); got.Index != 5 {
			t.Errorf("floor %s, want index 5", got)
		}
	})
}

// TestWatch guards against records that are lost between two gateways: after a
// restart, after a new term, and when the reader is far behind.
func TestWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := New(), New()
		var epoch, next uint64
		pull := func() {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			got := a.Watch(ctx, epoch, next)
			epoch, next = got.Epoch, got.Next
			b.Merge(got.Term, got.Writes)
		}
		check := func(p tokenizer.Position, want uint64) {
			t.Helper()
			ctx, cancel := context.WithCancel(t.Context())
			cancel()
			if got := b.Floor(ctx, "me", p, 5); got.Index != want {
				t.Errorf("floor %s, want index %d", got, want)
			}
		}
		a.Add(at(6), "me")
		pull()
		a.Add(at(7), "other")
		pull()
		check(at(7), 6)
		a = New() // the gateway restarted and lost its records
		a.Add(at(9), "other")
		pull()
		check(at(9), 8)
		a.Add(tokenizer.Position{Term: 4, Index: 10}, "me")
		pull()
		check(tokenizer.Position{Term: 4, Index: 10}, 10)
		pull() // an empty batch after the wait
		check(tokenizer.Position{Term: 4, Index: 10}, 10)
	})
}
