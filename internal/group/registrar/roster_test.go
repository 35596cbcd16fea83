package registrar

import (
	"testing"
	"testing/synctest"
	"time"

	"parsleyscale/internal/session/tokenizer"
	"parsleyscale/internal/sheet/cataloger"
)

// newStartedGroup returns a group of a VM that has just started, and knows the instances a, b and c in term 2.
func newStartedGroup() (*Registrar, *Group) {
	start := time.Now()
	r := New(func() time.Duration { return time.Hour + time.Since(start) })
	r.AssumeDepartures()
	reg := cataloger.Registry{}
	for _, id := range []string{"a", "b", "c"} {
		reg[id] = cataloger.Instance{ID: id, Group: "g", Address: id, StartedAtMs: 5}
	}
	r.Update(reg)
	g := r.Group("g")
	g.RecordTerm(2)
	return r, g
}

// Guards against a roster that hides a departure before the VM's start, and against one that keeps a primary from being replaced
// although nobody has left.
func TestApplyRoster(t *testing.T) {
	at := func(id string, startedAtMs int64) Member { return Member{ID: id, StartedAtMs: startedAtMs} }
	all := []Member{at("a", 5), at("b", 5), at("c", 5)}
	for _, c := range []struct {
		name    string
		roster  Roster
		wantErr bool
	}{
		{"all are there", Roster{Instances: all}, false},
		{"one has joined since", Roster{Instances: all[:2]}, false},
		{"one has left", Roster{Instances: append(all, at("d", 5)), Primary: "a", Term: 2}, true},
		{"one has restarted", Roster{Instances: append(all[:2:2], at("c", 4)), Primary: "a", Term: 2}, true},
		{"the primary has left", Roster{Instances: append(all, at("d", 5)), Primary: "d", Term: 2}, false},
		{"the primary of an earlier term has left", Roster{Instances: append(all, at("d", 5)), Primary: "d", Term: 1}, true},
		{"none", Roster{}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, g := newStartedGroup()
			c.roster.Floor = tokenizer.Position{Term: 1, Index: 7}
			if err := g.ApplyRoster(c.roster); (err != nil) != c.wantErr {
				t.Errorf("error %v, want one: %t", err, c.wantErr)
			}
			if got := g.IsCoveredDespiteDepartures(tokenizer.Position{Term: 1, Index: 6}, true, nil); got {
				t.Error("covered by a replica that lacks the floor")
			}
			if got := g.IsCoveredDespiteDepartures(tokenizer.Position{Term: 1, Index: 7}, true, nil); got == c.wantErr {
				t.Errorf("covered by a replica that holds the floor: %t, want %t", got, !c.wantErr)
			}
		})
	}
}

// Guards against the loss of commits that only a replica holds which had left the registry before the VM started, and went on
// receiving, while other VMs passed the commits on.
func TestOtherVMsPassOnAfterStart(t *testing.T) {
	five, six := tokenizer.Position{Term: 2, Index: 5}, tokenizer.Position{Term: 2, Index: 6}
	for _, c := range []struct {
		name        string
		report      Report        // by other VMs
		provedAfter time.Duration // from the start to a second proof, of position 6; zero: none
		p           tokenizer.Position
		wantCovered bool
	}{
		{"all have told, and the replica lacks one", Report{PassedOn: six, IsComplete: true}, 0, five, false},
		{"all have told, and the replica lacks none", Report{PassedOn: six, IsComplete: true}, 0, six, true},
		{"all have told, and there are none", Report{IsComplete: true}, 0, five, true},
		{"not all have told", Report{PassedOn: five}, 0, six, false},
		{"not all have told, and a proof may precede the departure", Report{}, maxStopTime / 2, six, false},
		{"not all have told, and the replica lacks a proof after the departure", Report{}, maxStopTime, five, false},
		{"not all have told, and the replica holds a proof after the departure", Report{PassedOn: five}, maxStopTime, six, true},
		{"a proof after the departure covers what was told", Report{PassedOn: tokenizer.Position{Term: 2, Index: 7}}, maxStopTime, six, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				_, g := newStartedGroup()
				prove(g, "a", 2, 5)
				if c.provedAfter > 0 {
					time.Sleep(c.provedAfter)
					prove(g, "a", 2, 6)
				}
				g.RecordReport(c.report)
				if got := g.IsCoveredDespiteDepartures(c.p, c.report.IsComplete, nil); got != c.wantCovered {
					t.Errorf("covered by a replica at %s: %t, want %t", c.p, got, c.wantCovered)
				}
			})
		})
	}
}

// Guards against the loss of commits that other VMs passed on soon after the start of this VM, which hears of them later.
func TestReportLongAfterStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, g := newStartedGroup()
		prove(g, "a", 2, 5)
		time.Sleep(2 * maxStopTime)
		g.RecordReport(Report{PassedOn: tokenizer.Position{Term: 2, Index: 6}, IsComplete: true})
		if g.IsCoveredDespiteDepartures(tokenizer.Position{Term: 2, Index: 5}, true, nil) {
			t.Error("covered by a replica that lacks a commit")
		}
	})
}

// Guards against a VM that never learns a position of the primary from after the time in which a departed replica may receive, since no
// caller of it needs one.
func TestAssumedDepartureNeedsLateSample(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, g := newStartedGroup()
		prove(g, "a", 2, 5)
		if g.NeedsDepartureSample() {
			t.Error("needs a sample while a departed replica may receive")
		}
		time.Sleep(maxStopTime)
		if !g.NeedsDepartureSample() {
			t.Error("needs no sample after that")
		}
		prove(g, "a", 2, 6)
		if g.NeedsDepartureSample() {
			t.Error("needs another sample")
		}
	})
}

// Guards against the loss of commits that only a replica holds which had left the registry before the VM started, and went on
// receiving.
func TestAssumedDepartureGoesOnReceiving(t *testing.T) {
	for _, c := range []struct {
		name        string
		after       time.Duration // from the start to the commit
		wantCovered bool          // whether a replica without the commit may be promoted
	}{
		{"soon after the start", maxStopTime / 2, false},
		{"long after the start", 2 * maxStopTime, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				_, g := newStartedGroup()
				if g.IsCoveredDespiteDepartures(tokenizer.Position{Term: 2, Index: 9}, true, nil) {
					t.Error("covered before a primary has proved its position")
				}
				prove(g, "a", 2, 5)
				time.Sleep(c.after)
				g.Acknowledge(tokenizer.Position{Term: 2, Index: 6})
				if got := g.IsCoveredDespiteDepartures(tokenizer.Position{Term: 2, Index: 5}, true, nil); got != c.wantCovered {
					t.Errorf("covered by a replica that lacks the commit: %t, want %t", got, c.wantCovered)
				}
				if !g.IsCoveredDespiteDepartures(tokenizer.Position{Term: 2, Index: 6}, true, nil) {
					t.Error("not covered by a replica that holds the commit")
				}
			})
		})
	}
}

// Guards against the loss of commits that only a replica held which joined and left while this VM missed changes of the registry, long after
// the VM's start.
func TestGapAssumesDeparture(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, g, _ := newGroup()
		at := func(index uint64) tokenizer.Position { return tokenizer.Position{Term: 1, Index: index} }
		prove(g, "a", 1, 5)
		time.Sleep(time.Hour)
		if !g.IsCoveredDespiteDepartures(at(4), false, nil) {
			t.Fatal("not covered although no replica has left")
		}
		r.RecordGap()
		if g.IsCoveredDespiteDepartures(at(9), true, nil) {
			t.Error("covered although no primary has proved its position since the gap")
		}
		time.Sleep(time.Second)
		prove(g, "a", 1, 6)
		if g.IsCoveredDespiteDepartures(at(6), false, nil) {
			t.Error("covered although not all VMs have told what they passed on")
		}
		if g.IsCoveredDespiteDepartures(at(5), true, nil) || !g.IsCoveredDespiteDepartures(at(6), true, nil) {
			t.Error("want covered by a replica that holds the position proved since the gap, and by no other")
		}
		if err := g.ApplyRoster(Roster{Instances: []Member{{ID: "b"}}, Floor: at(2)}); err != nil {
			t.Fatal(err)
		}
		if !g.IsCoveredDespiteDepartures(at(2), false, nil) {
			t.Error("not covered although the roster shows that no replica has left")
		}
	})
}
