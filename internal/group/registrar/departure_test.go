package registrar

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"parsleyscale/internal/session/tokenizer"
	"parsleyscale/internal/sheet/cataloger"
	"parsleyscale/internal/statement/carrier"
)

// Guards against the loss of commits that only a leaving replica holds: it went on receiving after its registry entry had
// expired, and the position that the others must hold did not rise. It must not rise for good either, after each release.
func TestLeavingReplicaGoesOnReceiving(t *testing.T) {
	for _, c := range []struct {
		name        string
		isLeaving   bool
		after       time.Duration // from the expiry of the entry to the commit
		wantCovered bool          // whether a replica without the commit may be promoted
	}{
		{"leaving, soon after the notice", true, 10 * time.Second, false},
		{"leaving, long after the notice", true, time.Minute, true},
		{"not leaving", false, time.Minute, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r, g, reg := newGroup()
				b := reg["b"]
				b.IsLeaving = c.isLeaving
				reg = reg.With(map[string]*cataloger.Instance{"b": &b})
				r.Update(reg)
				time.Sleep(time.Second)
				r.Update(reg.With(map[string]*cataloger.Instance{"b": nil}))
				time.Sleep(3 * time.Second)
				g.RemoveMissing()
				prove(g, "a", 1, 5)
				time.Sleep(c.after)
				g.Acknowledge(tokenizer.Position{Term: 1, Index: 6})
				if got := g.IsCoveredDespiteDepartures(tokenizer.Position{Term: 1, Index: 5}, true, nil); got != c.wantCovered {
					t.Errorf("covered by a replica that lacks the commit: %t, want %t", got, c.wantCovered)
				}
				if !g.IsCoveredDespiteDepartures(tokenizer.Position{Term: 1, Index: 6}, true, nil) {
					t.Error("not covered by a replica that holds the commit")
				}
			})
		})
	}
}

// Guards against the loss of commits that only a silent replica holds, and that other VMs passed on.
func TestOtherVMsPassOnAfterDeparture(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, g, reg := newGroup()
		r.Update(reg.With(map[string]*cataloger.Instance{"b": nil}))
		time.Sleep(3 * time.Second)
		g.RemoveMissing()
		prove(g, "a", 1, 5)
		g.RecordReport(Report{PassedOn: tokenizer.Position{Term: 1, Index: 6}})
		if g.IsCoveredDespiteDepartures(tokenizer.Position{Term: 1, Index: 5}, false, nil) {
			t.Error("covered by a replica that lacks a commit")
		}
		if !g.IsCoveredDespiteDepartures(tokenizer.Position{Term: 1, Index: 6}, false, nil) {
			t.Error("not covered by a replica that holds all commits")
		}
	})
}

// Guards against the loss of commits that other VMs passed on while a leaving replica received them, and that this VM hears of later, and
// against a floor that rises for good after each release.
func TestOtherVMsPassOnDuringStop(t *testing.T) {
	at := func(index uint64) tokenizer.Position { return tokenizer.Position{Term: 1, Index: index} }
	for _, isProved := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			r, g, reg := newGroup()
			b := reg["b"]
			b.IsLeaving = true
			r.Update(reg.With(map[string]*cataloger.Instance{"b": &b}))
			r.Update(reg.With(map[string]*cataloger.Instance{"b": nil}))
			time.Sleep(missingRetention)
			g.RemoveMissing()
			prove(g, "a", 1, 5)
			if g.NeedsDepartureSample() {
				t.Error("needs another sample while the replica may receive")
			}
			time.Sleep(2 * maxStopTime)
			if !g.NeedsDepartureSample() {
				t.Error("needs no sample after the replica has stopped")
			}
			if isProved {
				prove(g, "a", 1, 6)
			}
			g.RecordReport(Report{PassedOn: at(7)})
			if got := g.IsCoveredDespiteDepartures(at(6), false, nil); got != isProved {
				t.Errorf("the primary has proved its position since the stop: %t; covered by a replica that holds that, but not what was passed on: %t", isProved, got)
			}
			if g.IsCoveredDespiteDepartures(at(5), false, nil) {
				t.Error("covered by a replica that lacks a commit")
			}
			if got := g.NeedsDepartureSample(); got == isProved {
				t.Errorf("needs a sample: %t, want %t", got, !isProved)
			}
		})
	}
}

// Guards against a group that stays without a primary: the position at an acknowledgement may lie beyond the commit, and what lies beyond
// it is rolled back if the primary is replaced, so that no instance ever reaches the floor.
func TestPromotionLowersFloors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, g, reg := newGroup()
		r.Update(reg.With(map[string]*cataloger.Instance{"b": nil}))
		time.Sleep(3 * time.Second)
		g.RemoveMissing()
		prove(g, "a", 1, 5)
		g.Acknowledge(tokenizer.Position{Term: 1, Index: 9})
		promoted := tokenizer.Position{Term: 1, Index: 8}
		g.RecordStatus("c", carrier.InstanceStatus{IsPrimary: true, Term: 2, Received: promoted})
		if !g.IsCoveredDespiteDepartures(promoted, false, nil) {
			t.Error("not covered by the position of the new primary")
		}
		if got := g.Report().PassedOn; got != promoted {
			t.Errorf("other VMs are told of acknowledgements at %s, want %s", got, promoted)
		}
	})
}

// Guards against a group that waits for a failed primary although all replicas are there: the floor for a replica that had gone missing stayed
// after the replica had come back, and the position at an acknowledgement may lie beyond what any replica has received.
func TestSilentReplicaReturns(t *testing.T) {
	at := func(index uint64) tokenizer.Position { return tokenizer.Position{Term: 1, Index: index} }
	for _, c := range []struct {
		name         string
		hasDeparture bool // whether another replica has restarted without its log before
		isProved     bool // whether the primary proves its position while the replica is missing
		hasRestarted bool
		received     tokenizer.Position // by the replica when it is back
		wantFloor    tokenizer.Position
		wantCovered  bool // by a replica that lacks only what no replica has received
	}{
		{name: "with its log", isProved: true, received: at(8), wantCovered: true},
		{name: "with its log, before a proof", received: at(8), wantCovered: true},
		{name: "with its log, after another departure", hasDeparture: true, isProved: true, received: at(8), wantFloor: at(5), wantCovered: true},
		{name: "restarted", isProved: true, hasRestarted: true, received: at(8), wantFloor: at(9)},
		{name: "restarted, before a proof", hasRestarted: true, received: at(8)},
		{name: "with less than it had received", isProved: true, received: at(3)},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r, g, reg := newGroup()
				if c.hasDeparture {
					c := reg["c"]
					c.StartedAtMs++
					reg = reg.With(map[string]*cataloger.Instance{"c": &c})
					r.Update(reg)
				}
				prove(g, "a", 1, 5)
				g.RecordReceived("b", at(5), 1)
				time.Sleep(time.Second)
				r.Update(reg.With(map[string]*cataloger.Instance{"b": nil}))
				time.Sleep(missingRetention)
				g.RemoveMissing()
				if c.isProved {
					prove(g, "a", 1, 6)
				}
				g.Acknowledge(at(9))
				g.RecordReport(Report{PassedOn: at(9)})
				if g.IsCoveredDespiteDepartures(at(8), true, nil) {
					t.Error("covered by a replica that lacks a commit, while another one is missing")
				}
				if c.hasRestarted {
					b := reg["b"]
					b.StartedAtMs++
					reg = reg.With(map[string]*cataloger.Instance{"b": &b})
				}
				r.Update(reg)
				g.RecordReceived("b", c.received, 1)
				if got := g.Report().WithoutHolds().DepartureFloor; got != c.wantFloor {
					t.Errorf("a new primary must hold %s, want %s", got, c.wantFloor)
				}
				if got := g.IsCoveredDespiteDepartures(at(8), true, nil); got != c.wantCovered {
					t.Errorf("covered by a replica that lacks what no replica has received: %t, want %t", got, c.wantCovered)
				}
			})
		})
	}
}

// Guards against memory that grows with each replica that goes missing for good, and against its floor getting lost.
func TestManySilentReplicas(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, g, reg := newGroup()
		b := reg["b"]
		for n := range maxSilent + 3 {
			b.ID = fmt.Sprint("b", n)
			r.Update(reg.With(map[string]*cataloger.Instance{b.ID: &b}))
			r.Update(reg)
			time.Sleep(missingRetention)
			g.RemoveMissing()
			prove(g, "a", 1, uint64(n+1))
		}
		if n := len(g.SilentReplicas()); n != maxSilent {
			t.Errorf("%d silent replicas, want %d", n, maxSilent)
		}
		last := uint64(maxSilent + 3)
		if g.IsCoveredDespiteDepartures(tokenizer.Position{Term: 1, Index: last - 1}, true, nil) || !g.IsCoveredDespiteDepartures(tokenizer.Position{Term: 1, Index: last}, true, nil) {
			t.Error("want covered by a replica that holds what was proved after the last departure, and by no other")
		}
	})
}

// Guards against the loss of commits that only a replica held which has restarted without its log: its answer counted, although
// its registry entry did not show the restart yet.
func TestReplicaReportsLess(t *testing.T) {
	at := func(term, index uint64) tokenizer.Position { return tokenizer.Position{Term: term, Index: index} }
	for _, c := range []struct {
		name         string
		know         func(g *Group) // what b has reported before
		seenFor      time.Duration
		received     tokenizer.Position
		wantDeparted bool
	}{
		{"less than it had received", func(g *Group) { g.RecordReceived("b", at(3, 7), 3) }, 0, at(3, 6), true},
		{"less than it had applied", func(g *Group) { g.RecordAnswer("b", at(3, 7), 0) }, 0, at(1, 0), true},
		{"as much", func(g *Group) { g.RecordReceived("b", at(3, 7), 3); g.RecordAnswer("b", at(3, 6), 0) }, 0, at(3, 7), false},
		{"less than before a promotion, which rolled it back", func(g *Group) { g.RecordReceived("b", at(2, 7), 2) }, 0, at(2, 6), false},
		{"nothing, and it has long been known", func(*Group) {}, time.Minute, at(1, 0), true},
		{"nothing, and it has just joined", func(*Group) {}, time.Second, at(1, 0), false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				_, g, _ := newGroup()
				time.Sleep(c.seenFor)
				prove(g, "a", 3, 7)
				c.know(g)
				g.RecordReceived("b", c.received, 3)
				if got := g.NeedsDepartureSample(); got != c.wantDeparted {
					t.Fatalf("counts as departed: %t, want %t", got, c.wantDeparted)
				}
				g.RecordReceived("b", c.received, 3)
				prove(g, "a", 3, 8)
				if g.NeedsDepartureSample() || !g.IsCoveredDespiteDepartures(at(3, 8), true, nil) {
					t.Error("counts as departed after the primary has proved its position, and another replica holds that")
				}
			})
		})
	}
}

// Guards against the departure of a replica whose entry the restored store lacks until the replica writes it again.
func TestMissingInRestoredStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, g, reg := newGroup()
		r.RecordRestore()
		r.Update(reg.With(map[string]*cataloger.Instance{"b": nil, "c": nil}))
		time.Sleep(missingRetention)
		r.Update(reg.With(map[string]*cataloger.Instance{"c": nil}))
		if removed := g.RemoveMissing(); len(removed) > 0 {
			t.Errorf("%v have left, want none yet", removed)
		}
		time.Sleep(restoredRetention - missingRetention)
		if removed := g.RemoveMissing(); len(removed) != 1 || removed[0] != "c" {
			t.Errorf("%v have left, want c, which has not written its entry again", removed)
		}
	})
}
