package replacer

import (
	"testing"
	"testing/synctest"
	"time"

	"parsleyscale/internal/group/registrar"
	"parsleyscale/internal/session/tokenizer"
	"parsleyscale/internal/sheet/cataloger"
	"parsleyscale/internal/statement/carrier"
)

// Guards against the loss of commits of the term before that only the new primary holds, since it was the replica which had received them: its
// writes stall, or it crashes, before another replica has them.
func TestInheritedEntries(t *testing.T) {
	stalls := func(g *registrar.Group) {
		for n := range time.Duration(20) {
			time.AfterFunc(n*100*time.Millisecond, func() { stallWrites(g) })
		}
	}
	fails := func(g *registrar.Group) {
		for range 4 {
			g.RecordFailure("b")
		}
	}
	held := carrier.InstanceStatus{Term: 3, HoldTerm: 4, Received: position(3, 7)}
	for _, c := range []struct {
		name   string
		f      *fakeGroup
		happen func(g *registrar.Group)
		want   string // promoted instance; "": none
	}{
		{"stall", &fakeGroup{received: map[string]uint64{"a": 7, "b": 9, "c": 7}, errs: map[string]error{"probe b": nil}}, stalls, ""},
		{"stall, and replicas are held", &fakeGroup{received: map[string]uint64{"a": 7, "b": 9, "c": 7}, errs: map[string]error{"probe b": nil}, heldTerm: 5}, stalls, "b"},
		{"stall, and a replica holds the entries", &fakeGroup{received: map[string]uint64{"a": 7, "b": 9, "c": 9}, errs: map[string]error{"probe b": nil}}, stalls, "c"},
		{
			"crash, and the replicas have not heard of the term", &fakeGroup{
				received: map[string]uint64{"b": 9}, errs: map[string]error{"demote b": errNoAnswer, "status b": errNoAnswer}, states: map[string]carrier.InstanceStatus{"a": held, "c": held},
			}, fails, "",
		},
		{
			"crash, and a replica holds the entries", &fakeGroup{
				received: map[string]uint64{"b": 9}, errs: map[string]error{"demote b": errNoAnswer, "status b": errNoAnswer},
				states: map[string]carrier.InstanceStatus{"a": held, "c": {Term: 3, HoldTerm: 4, Received: position(3, 9)}},
			}, fails, "c",
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c.f.primary, c.f.term, c.f.entryTerm = "b", 4, 3
				got := promotedInstances(t, c.f, func(g *registrar.Group, _ *registrar.Registrar, _ cataloger.Registry) {
					g.RecordDenial("a")
					g.RecordProof(registrar.Proof{Instance: "b", SentAt: 2, Position: tokenizer.Position{Term: 3, Index: 9}})
					c.happen(g)
				})
				if c.want == "" && len(got) > 0 || c.want != "" && (len(got) == 0 || got[0] != c.want) {
					t.Errorf("%v promoted, want %q; commands %v", got, c.want, c.f.commands)
				}
			})
		})
	}
}
