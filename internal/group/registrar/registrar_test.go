package registrar

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

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
	g.RecordProof(Proof{Instance: id, SentAt: g.Now(), Position: tokenizer.Position{Term: term, Index: index}})
}

// Guards against a replaced primary that is used again because of stale information.
func TestPrimary(t *testing.T) {
	r, g, reg := newGroup()
	if g.Primary().Instance != "a" {
		t.Fatal("the primary named by the registry is not used before any proof")
	}
	prove(g, "a", 1, 5)
	prove(g, "b", 2, 6)
	prove(g, "a", 1, 7)
	if p := g.Primary(); p.Instance != "b" || p.Term != 2 {
		t.Errorf("primary %+v after a proof of an old term, want b in term 2", p)
	}
	old := reg["a"]
	old.IsPrimary = false
	r.Update(reg.With(map[string]*cataloger.Instance{"a": &old}))
	old.IsPrimary = true
	r.Update(reg.With(map[string]*cataloger.Instance{"a": &old}))
	if g.Primary().Instance != "b" || g.Health().RegistryPrimary != "a" {
		t.Errorf("primary %+v, suggested %q, want b and a: a registry entry alone must not replace a proven primary", g.Primary(), g.Health().RegistryPrimary)
	}
	g.RecordDenial("a")
	if g.Primary().Instance != "b" || g.Health().RegistryPrimary != "" {
		t.Error("primary or suggestion is wrong after the suggested instance denied being the primary, want b and none")
	}
}

// Guards against a second replacement of a dead primary by a VM that has seen only the term of
// its successor. Such a replacement held the replicas of the new primary.
func TestRecordTermDropsPrimary(t *testing.T) {
	_, g, _ := newGroup()
	prove(g, "a", 1, 5)
	g.RecordTerm(1)
	if g.Primary().Instance != "a" {
		t.Fatal("the primary was dropped when its own term was seen")
	}
	g.RecordTerm(2)
	if p := g.Primary(); p.IsKnown() || p.Term != 2 {
		t.Errorf("primary %+v after a newer term was seen, want none in term 2", p)
	}
}

// Guards against instances that are removed at once when their registry entries expire during an outage of the store.
func TestRemoveMissingRetainsInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, g, reg := newGroup()
		r.Update(cataloger.Registry{})
		time.Sleep(2 * time.Second)
		if removed := g.RemoveMissing(); len(removed) != 0 {
			t.Fatalf("%v removed within 2 s", removed)
		}
		r.Update(reg)
		time.Sleep(3 * time.Second)
		if removed := g.RemoveMissing(); len(removed) != 0 {
			t.Fatalf("%v removed although their entries have returned", removed)
		}
		r.Update(cataloger.Registry{})
		time.Sleep(3 * time.Second)
		if removed := g.RemoveMissing(); len(removed) != 3 || g.Primary().IsKnown() {
			t.Errorf("%v removed after 3 s, primary %+v, want 3 instances and no primary", removed, g.Primary())
		}
	})
}

// Guards against a lost commit of which no log tells: the VM that passed its acknowledgement on knows the position at that time, and that of
// the new primary.
func TestPrimaryLacksEntries(t *testing.T) {
	at := func(term, index uint64) tokenizer.Position { return tokenizer.Position{Term: term, Index: index} }
	for _, c := range []struct {
		name     string
		instance string
		p        tokenizer.Position
		want     bool
	}{
		{"successor without an entry, counted in the former term", "b", at(1, 7), true},
		{"successor with an entry", "b", at(2, 7), true},
		{"successor that holds all", "b", at(1, 8), false},
		{"the same primary, by an earlier answer", "a", at(1, 7), false},
		{"the same primary in a later term", "a", at(2, 7), true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := New(func() time.Duration { return time.Since(time.Time{}) })
				var got []PrimaryChange
				r.Observe(func(c PrimaryChange) { got = append(got, c) })
				r.Update(cataloger.Registry{"a": {ID: "a", Group: "g", IsPrimary: true}, "b": {ID: "b", Group: "g"}})
				g := r.Group("g")
				prove(g, "a", 1, 5)
				g.Acknowledge(at(1, 8))
				g.Acknowledge(at(1, 6))
				time.Sleep(time.Second)
				g.RecordDenial("a")
				got = nil
				prove(g, c.instance, c.p.Term, c.p.Index)
				if len(got) != 1 || got[0].LacksEntries() != c.want || c.want && (got[0].PassedOn != at(1, 8) || got[0].PassedOnAgo != time.Second) {
					t.Errorf("changes %+v, want one that lacks entries: %t", got, c.want)
				}
			})
		})
	}
}

// Guards against a log that does not show which instance a VM took for the primary when it sent a command or a commit.
func TestPrimaryChanges(t *testing.T) {
	start := time.Now()
	r := New(func() time.Duration { return time.Since(start) })
	var got []PrimaryChange
	r.Observe(func(c PrimaryChange) { got = append(got, c) })
	a := cataloger.Instance{ID: "a", Group: "g", IsPrimary: true}
	reg := cataloger.Registry{"a": a, "b": {ID: "b", Group: "g"}}
	r.Update(reg)
	g := r.Group("g")
	prove(g, "a", 1, 5)
	prove(g, "a", 1, 6)
	g.RecordDenial("b")
	g.RecordDenial("a")
	prove(g, "a", 1, 6)
	a.StartedAtMs = 1
	r.Update(reg.With(map[string]*cataloger.Instance{"a": &a}))
	prove(g, "a", 1, 6)
	g.RecordTerm(2)
	prove(g, "b", 2, 7)
	prove(g, "a", 1, 8)
	prove(g, "b", 3, 9)
	at := func(term, index uint64) tokenizer.Position { return tokenizer.Position{Term: term, Index: index} }
	want := []PrimaryChange{
		{Group: "g", Instance: "a", Term: 1, Position: at(1, 5)},
		{Group: "g", Instance: "a", LastTerm: 1, Term: 1, Reason: LossDenied},
		{Group: "g", Instance: "a", LastTerm: 1, Term: 1, Position: at(1, 6)},
		{Group: "g", Instance: "a", Term: 1, Position: at(1, 6)}, // after its restart
		{Group: "g", Instance: "a", LastTerm: 1, Term: 2, Reason: LossLaterTerm},
		{Group: "g", Instance: "b", Term: 2, Position: at(2, 7)},
		{Group: "g", Instance: "b", LastTerm: 2, Term: 3, Position: at(3, 9)},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("changes (-want +got):\n%s", diff)
	}
}
