package registrar

import (
	"testing"
	"testing/synctest"
	"time"

	"parsleyscale/internal/session/tokenizer"
	"parsleyscale/internal/sheet/cataloger"
)

func newGroup() (*Registrar, *Group, cataloger.Registry) {
	start := time.Now()
	r := New(func() time.Duration { return time.Since(start) })
	reg := cataloger.Registry{}
	for _, id := range []string{"a", "b", "c"} {
		reg[id] = cataloger.Instance{ID: id, Group: "g", Address: "127.0.0.1:1", IsPrimary: id == "a"}
	}
	r.Update(reg)
	return r, r.Group("g"), reg
}

func prove(g *Group, id string, term, index uint64) {
	g.Prove(Proof{Instance: id, SentAt: g.Now(), Position: tokenizer.Position{Term: term, Index: index}})
}

// Guards against a replaced primary that comes back into use on a stale word.
func TestLead(t *testing.T) {
	r, g, reg := newGroup()
	if g.Lead().Instance != "a" {
		t.Fatal("the registry's primary is not asked first")
	}
	prove(g, "a", 1, 5)
	prove(g, "b", 2, 6)
	prove(g, "a", 1, 7)
	if l := g.Lead(); l.Instance != "b" || l.Term != 2 {
		t.Errorf("lead %+v after a proof of an old term", l)
	}
	old := reg["a"]
	old.IsPrimary = false
	r.Update(reg.With(map[string]*cataloger.Instance{"a": &old}))
	old.IsPrimary = true
	r.Update(reg.With(map[string]*cataloger.Instance{"a": &old}))
	if g.Lead().Instance != "b" || g.Health().Suggested != "a" {
		t.Errorf("lead %+v, suggested %q; an entry alone must not replace a proved primary", g.Lead(), g.Health().Suggested)
	}
	g.Refute("a")
	if g.Lead().Instance != "b" || g.Health().Suggested != "" {
		t.Error("a suggestion that was refuted is kept")
	}
}

// Guards against a dead primary that is replaced again, by a VM that learns of
// its successor's term only: the replicas of the new primary were held.
func TestSeeTermEndsTheLead(t *testing.T) {
	_, g, _ := newGroup()
	prove(g, "a", 1, 5)
	g.SeeTerm(1)
	if g.Lead().Instance != "a" {
		t.Fatal("the own term ended the lead")
	}
	g.SeeTerm(2)
	if l := g.Lead(); l.IsKnown() || l.Term != 2 {
		t.Errorf("lead %+v after a newer term was seen", l)
	}
}

// Guards against instances that vanish at once when their entries expire in an outage of the store.
func TestSweepWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, g, reg := newGroup()
		r.Update(cataloger.Registry{})
		time.Sleep(2 * time.Second)
		if gone := g.Sweep(); len(gone) != 0 {
			t.Fatalf("%v forgotten within 2 s", gone)
		}
		r.Update(reg)
		time.Sleep(3 * time.Second)
		if gone := g.Sweep(); len(gone) != 0 {
			t.Fatalf("%v forgotten although their entries are back", gone)
		}
		r.Update(cataloger.Registry{})
		time.Sleep(3 * time.Second)
		if gone := g.Sweep(); len(gone) != 3 || g.Lead().IsKnown() {
			t.Errorf("%v forgotten after 3 s, lead %+v", gone, g.Lead())
		}
	})
}
