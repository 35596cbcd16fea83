package registrar

import (
	"testing"
	"testing/synctest"
	"time"

	"parsleyscale/internal/session/tokenizer"
	"parsleyscale/internal/sheet/cataloger"
)

// Guards against a commit that counts as received by a replica although it is on no known replica that stays.
func TestReceipt(t *testing.T) {
	at := func(term, index uint64) tokenizer.Position { return tokenizer.Position{Term: term, Index: index} }
	for _, c := range []struct {
		name string
		id   string // of the instance that has received the log
		p    tokenizer.Position
		edit func(i *cataloger.Instance) *cataloger.Instance // its registry entry
		want bool
	}{
		{name: "replica", id: "b", p: at(2, 6), want: true},
		{name: "replica that lacks the commit", id: "b", p: at(2, 5)},
		{name: "replica of a later term", id: "b", p: at(3, 6)},
		{name: "primary", id: "a", p: at(2, 6)},
		{name: "replica that is leaving", id: "b", p: at(2, 6), edit: func(i *cataloger.Instance) *cataloger.Instance { i.IsLeaving = true; return i }},
		{name: "replica that has gone missing", id: "b", p: at(2, 6), edit: func(*cataloger.Instance) *cataloger.Instance { return nil }},
		{name: "replica that has restarted", id: "b", p: at(2, 6), edit: func(i *cataloger.Instance) *cataloger.Instance { i.StartedAtMs++; return i }},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r, g := newStartedGroup()
				prove(g, "a", 2, 5)
				g.RecordReceipt(c.id, c.p)
				if c.edit != nil {
					i, _ := g.View(c.id)
					reg := cataloger.Registry{}
					for _, v := range g.Views() {
						reg[v.ID] = v.Instance
					}
					r.Update(reg.With(map[string]*cataloger.Instance{c.id: c.edit(&i.Instance)}))
				}
				if got := !g.NeedsReceipt(at(2, 6)); got != c.want {
					t.Errorf("counts as received: %t, want %t", got, c.want)
				}
				g.Acknowledge(at(2, 6))
				if got := g.IsCoveredDespiteDepartures(at(2, 5), true, nil); got != c.want {
					t.Errorf("covered by a replica that may lack the commit: %t, want %t", got, c.want)
				}
				if got := g.Report().PassedOn == at(2, 5); got != c.want {
					t.Errorf("left out of the report: %t, want %t", got, c.want)
				}
			})
		})
	}
}

// Guards against commits that wait for a receipt although all replicas are known.
func TestNoReceiptNeeded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, g := newStartedGroup()
		p := tokenizer.Position{Term: 2, Index: 6}
		if !g.NeedsReceipt(p) {
			t.Error("needs no receipt right after the start")
		}
		time.Sleep(rosterTime)
		if g.NeedsReceipt(p) {
			t.Error("needs a receipt although the VMs that act first have read a roster")
		}
		g.RecordGap()
		if !g.NeedsReceipt(p) {
			t.Error("needs no receipt right after a gap")
		}
		if err := g.ApplyRoster(Roster{Instances: []Member{{ID: "b", StartedAtMs: 5}}, Floor: p}); err != nil {
			t.Fatal(err)
		}
		if g.NeedsReceipt(p) {
			t.Error("needs a receipt although a roster shows that no replica has left")
		}
	})
}
