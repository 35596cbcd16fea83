package registrar

import (
	"testing"
	"testing/synctest"
	"time"

	"parsleyscale/internal/session/tokenizer"
	"parsleyscale/internal/sheet/cataloger"
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
				if got := g.IsCoveredDespiteDepartures(tokenizer.Position{Term: 1, Index: 5}); got != c.wantCovered {
					t.Errorf("covered by a replica that lacks the commit: %t, want %t", got, c.wantCovered)
				}
				if !g.IsCoveredDespiteDepartures(tokenizer.Position{Term: 1, Index: 6}) {
					t.Error("not covered by a replica that holds the commit")
				}
			})
		})
	}
}
