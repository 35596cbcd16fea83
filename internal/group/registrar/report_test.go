package registrar

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"parsleyscale/internal/session/tokenizer"
	"parsleyscale/internal/sheet/cataloger"
)

// Guards against a VM that is taken for one which has passed on nothing, although it has started again since, and against a departure that
// only some VMs have seen, and that the others do not hear of.
func TestReport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, g, reg := newGroup()
		at := func(index uint64) tokenizer.Position { return tokenizer.Position{Term: 1, Index: index} }
		check := func(when string, want Report) {
			t.Helper()
			if diff := cmp.Diff(want, g.Report()); diff != "" {
				t.Errorf("%s (-want +got):\n%s", when, diff)
			}
		}
		check("before a proof", Report{})
		prove(g, "a", 1, 5)
		check("after a proof", Report{PassedOn: at(5), IsComplete: true})
		g.Acknowledge(at(8))
		g.Acknowledge(at(7))
		check("after two acknowledgements", Report{PassedOn: at(8), IsComplete: true})
		r.Update(reg.With(map[string]*cataloger.Instance{"a": nil, "b": nil}))
		check("a replica and the primary have lost their entries", Report{PassedOn: at(8), IsComplete: true, Missing: []string{"b"}})
		r.Update(reg.With(map[string]*cataloger.Instance{"b": nil}))
		time.Sleep(missingRetention)
		g.RemoveMissing()
		check("the replica has left", Report{PassedOn: at(8), IsComplete: true})
		prove(g, "a", 1, 9)
		check("the primary has proved its position since", Report{PassedOn: at(8), IsComplete: true, SilentFloors: map[Member]tokenizer.Position{{ID: "b"}: at(9)}})
	})
}

// Guards against a part of a report that is lost when those of several VMs are put together.
func TestReportsAreAdded(t *testing.T) {
	at := func(index uint64) tokenizer.Position { return tokenizer.Position{Term: 1, Index: index} }
	c, d := Member{ID: "c"}, Member{ID: "d", StartedAtMs: 7}
	a := Report{PassedOn: at(5), IsComplete: true, DepartureFloor: at(2), SilentFloors: map[Member]tokenizer.Position{c: at(1), d: at(6)}, Missing: []string{"b"}}
	b := Report{PassedOn: at(4), IsComplete: true, DepartureFloor: at(3), SilentFloors: map[Member]tokenizer.Position{c: at(4)}, Missing: []string{"a", "b"}}
	want := Report{PassedOn: at(5), IsComplete: true, DepartureFloor: at(3), SilentFloors: map[Member]tokenizer.Position{c: at(4), d: at(6)}, Missing: []string{"a", "b"}}
	for _, got := range []Report{a.With(b), b.With(a)} {
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("sum of two (-want +got):\n%s", diff)
		}
	}
	for _, x := range []struct {
		p    tokenizer.Position
		held map[Member]tokenizer.Position
		want bool
	}{
		{at(6), nil, true}, {at(5), nil, false}, {at(5), map[Member]tokenizer.Position{d: at(5)}, true}, {at(5), map[Member]tokenizer.Position{d: at(6)}, false},
		{at(3), map[Member]tokenizer.Position{d: at(2)}, false}, {at(2), map[Member]tokenizer.Position{c: at(1), d: at(1)}, false},
	} {
		if got := want.IsMet(x.p, x.held); got != x.want {
			t.Errorf("met by %s while %v are held: %t, want %t", x.p, x.held, got, x.want)
		}
	}
	if got := a.With(Report{}); got.IsComplete {
		t.Error("complete, although a VM has not reported")
	}
}
