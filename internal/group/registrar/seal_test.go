package registrar

import (
	"testing"
	"testing/synctest"
	"time"

	"parsleyscale/internal/session/tokenizer"
)

func newTestGroup() *Group {
	start := time.Now()
	return New(func() time.Duration { return time.Since(start) }).Group("g")
}

// Guards against the acknowledgement of a commit that the successor of a primary may lack.
func TestSealStopsAcks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newTestGroup()
		check := func(when string, term uint64, want bool) {
			t.Helper()
			if got := g.Acknowledge(tokenizer.Position{Term: term, Index: 7}); got != want {
				t.Errorf("%s: commit of term %d is acknowledged: %t, want %t", when, term, got, want)
			}
		}
		seal := func(term uint64) {
			t.Helper()
			if err := g.Seal(Seal{Term: term, Holder: "vm-1", StopsAcks: true}); err != nil {
				t.Error(err)
			}
		}
		check("before the seal", 3, true)
		seal(3)
		check("sealed", 2, false)
		check("sealed", 3, false)
		check("sealed", 4, true)
		time.Sleep(sealTTL - time.Millisecond)
		seal(3)
		time.Sleep(sealTTL - time.Millisecond)
		check("renewed", 3, false)
		time.Sleep(time.Millisecond)
		check("expired", 3, true)
		seal(3)
		g.Unseal(Seal{Term: 3, Holder: "vm-2"})
		check("unsealed by another VM", 3, false)
		if err := g.Seal(Seal{Term: 3, Holder: "vm-2", StopsAcks: true}); err != nil {
			t.Error(err)
		}
		g.Unseal(Seal{Term: 3, Holder: "vm-2"})
		check("sealed by another VM as well, which has unsealed it", 3, false)
		g.Unseal(Seal{Term: 3, Holder: "vm-1"})
		check("unsealed", 3, true)
		if err := g.Seal(Seal{Term: 3, Holder: "vm-1", StopsAcks: true, After: tokenizer.Position{Term: 3, Index: 7}}); err != nil {
			t.Error(err)
		}
		check("sealed after the position of the commit", 3, true)
		if g.Acknowledge(tokenizer.Position{Term: 3, Index: 8}) {
			t.Error("sealed before the position of the commit: it is acknowledged")
		}
		for _, s := range []Seal{{Term: 3, Holder: "vm-1"}, {Term: 3, Holder: "vm-1", StopsAcks: true, After: tokenizer.Position{Term: 3, Index: 9}}} {
			if err := g.Seal(s); err != nil {
				t.Error(err)
			}
			if g.Acknowledge(tokenizer.Position{Term: 3, Index: 8}) {
				t.Errorf("sealed again with %+v: a commit after the first seal's position is acknowledged", s)
			}
		}
	})
}

// Guards against two VMs that end a term at the same time although one of them has no claim.
func TestSealExcludesSpareTokens(t *testing.T) {
	claimed, spare := Seal{Term: 3, Holder: "vm-1"}, Seal{Term: 3, Holder: "vm-2", IsSpare: true}
	for _, c := range []struct {
		name          string
		first, second Seal
		isRefused     bool
	}{
		{"two claims", claimed, Seal{Term: 3, Holder: "vm-2"}, false},
		{"a spare token after a claim", claimed, spare, true},
		{"a claim after a spare token", spare, claimed, true},
		{"two spare tokens", spare, Seal{Term: 3, Holder: "vm-3", IsSpare: true}, true},
		{"the same VM", spare, spare, false},
		{"a lower term", Seal{Term: 4, Holder: "vm-1"}, spare, true},
		{"a later term", spare, Seal{Term: 4, Holder: "vm-1", IsSpare: true}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newTestGroup()
				if err := g.Seal(c.first); err != nil {
					t.Fatal(err)
				}
				if err := g.Seal(c.second); (err != nil) != c.isRefused {
					t.Errorf("second seal: error %v, want one: %t", err, c.isRefused)
				}
				time.Sleep(sealTTL)
				if err := g.Seal(c.second); err != nil {
					t.Errorf("after the first seal has expired: %v", err)
				}
			})
		})
	}
}

// Guards against a seal that hides, or ends with, that of another VM.
func TestSealsOfTwoVMs(t *testing.T) {
	g := newTestGroup()
	for _, holder := range []string{"vm-1", "vm-2"} {
		if err := g.Seal(Seal{Term: 3, Holder: holder, StopsAcks: true}); err != nil {
			t.Fatal(err)
		}
	}
	g.Unseal(Seal{Term: 3, Holder: "vm-2"})
	if !g.StopsAck(tokenizer.Position{Term: 3, Index: 1}) {
		t.Error("the seal of vm-1 does not stop acknowledgements any more")
	}
	if err := g.Seal(Seal{Term: 3, Holder: "vm-3", IsSpare: true}); err == nil {
		t.Error("a spare token is used while vm-1 ends the term")
	}
}

// Guards against the loss of commits that are passed on after the VM which sealed the term has failed, while its promote request may still be
// carried out, and against a VM that is taken for one which works at that.
func TestOpenOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, g, _ := newGroup()
		at := func(term, index uint64) tokenizer.Position { return tokenizer.Position{Term: term, Index: index} }
		prove(g, "a", 3, 7)
		seal := Seal{Term: 3, Holder: "vm-1", StopsAcks: true, Order: Order{Instance: "b", Token: 9}}
		if err := g.Seal(seal); err != nil {
			t.Fatal(err)
		}
		sealedAt := time.Now()
		check := func(when string, wantStops, wantOrder bool, wantSince time.Time) {
			t.Helper()
			if got := g.StopsAck(at(3, 9)); got != wantStops {
				t.Errorf("%s: acknowledgements are stopped: %t, want %t", when, got, wantStops)
			}
			if got := g.OpenOrders(3); (len(got) == 1 && got[0] == seal.Order) != wantOrder {
				t.Errorf("%s: open orders %v, want one: %t", when, got, wantOrder)
			}
			if got := g.Health().AbandonedSince; !got.Equal(wantSince) {
				t.Errorf("%s: abandoned since %v, want %v", when, got, wantSince)
			}
		}
		check("in force", true, true, time.Time{})
		time.Sleep(sealTTL)
		check("expired", true, true, sealedAt.Add(sealTTL))
		if g.StopsAck(at(4, 9)) {
			t.Error("acknowledgements of the next term are stopped")
		}
		if err := g.Seal(Seal{Term: 3, Holder: "vm-1"}); err != nil {
			t.Fatal(err)
		}
		check("the VM works at the term again", true, true, time.Time{})
		time.Sleep(OrderLifetime - sealTTL - time.Millisecond)
		check("at the end of its lifetime", true, true, sealedAt.Add(2*sealTTL))
		time.Sleep(time.Millisecond)
		check("carried out or lost by now", false, false, time.Time{})
		if err := g.Seal(seal); err != nil {
			t.Fatal(err)
		}
		g.Unseal(seal)
		check("withdrawn", false, false, time.Time{})
		if err := g.Seal(seal); err != nil {
			t.Fatal(err)
		}
		time.Sleep(sealTTL)
		g.RecordDenial("a")
		prove(g, "b", 3, 9)
		check("carried out, without an entry of the new term", true, true, time.Time{})
		prove(g, "b", 4, 10)
		check("carried out", true, true, time.Time{})
	})
}

// Guards against the loss of commits between two promotions at the end of one term, which VMs requested that do not hear each other: a VM that
// knows of the second request does not pass them on.
func TestOrderOfOtherInstance(t *testing.T) {
	at := func(term, index uint64) tokenizer.Position { return tokenizer.Position{Term: term, Index: index} }
	for _, c := range []struct {
		name   string
		orders []Order
		later  time.Duration
		want   bool // acknowledgements of the next term are stopped
	}{
		{"for the new primary", []Order{{"b", 5}}, 0, false},
		{"for another instance", []Order{{"c", 5}}, 0, true},
		{"for both, the new primary first", []Order{{"b", 4}, {"c", 5}}, 0, true},
		{"for both, the new primary last", []Order{{"c", 4}, {"b", 5}}, 0, false},
		{"for another instance, by a VM that has failed", []Order{{"c", 5}}, sealTTL, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				_, g, _ := newGroup()
				prove(g, "a", 3, 7)
				for n, o := range c.orders {
					if err := g.Seal(Seal{Term: 3, Holder: string(rune('1' + n)), StopsAcks: true, Order: o}); err != nil {
						t.Fatal(err)
					}
				}
				time.Sleep(c.later)
				prove(g, "b", 4, 8)
				if got := g.StopsAck(at(4, 8)); got != c.want {
					t.Errorf("acknowledgements of the new primary are stopped: %t, want %t", got, c.want)
				}
				prove(g, "c", 5, 9)
				if g.StopsAck(at(5, 9)) {
					t.Error("acknowledgements of the term after the next one are stopped")
				}
			})
		})
	}
}
