package replacer

import (
	"slices"
	"testing"
	"testing/synctest"

	"github.com/google/go-cmp/cmp"

	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/group/registrar"
	"parsleyscale/internal/session/tokenizer"
	"parsleyscale/internal/sheet/cataloger"
)

// Guards against a promote request of which nobody can tell afterwards why its instance was chosen: commits were lost, and
// the log did not show which instances were compared, on which list, or how the old term was ended.
func TestBasis(t *testing.T) {
	unreachable := func(g *registrar.Group, _ *registrar.Registrar, _ cataloger.Registry) { failPrimary(g) }
	received := map[string]uint64{"a": 9, "b": 9, "c": 8}
	const version, age = 40, 1e9
	nine, seven := tokenizer.Position{Term: 3, Index: 9}, tokenizer.Position{Term: 3, Index: 7}
	for _, c := range []struct {
		name   string
		f      *fakeGroup
		claims *fakeTokens
		setUp  func(g *registrar.Group, r *registrar.Registrar, reg cataloger.Registry)
		want   Basis
	}{
		{
			"all replicas are held", &fakeGroup{received: received, errs: map[string]error{"demote a": errNoAnswer}}, &fakeTokens{last: 100}, unreachable,
			Basis{EndedBy: EndedByHold, Known: 3, Candidates: 2, Received: nine},
		},
		{
			"the store does not answer", &fakeGroup{received: received, errs: map[string]error{"demote a": errNoAnswer}}, &fakeTokens{err: errNoAnswer}, unreachable,
			Basis{EndedBy: EndedByHold, IsSpare: true, Known: 3, Candidates: 2, Received: nine},
		},
		{
			"a replica does not answer", &fakeGroup{received: received, errs: map[string]error{"hold c": errNoAnswer}}, &fakeTokens{last: 100, choice: "b"}, unreachable,
			Basis{EndedBy: EndedByHoldAndDemotion, EarlierChoice: "b", Known: 3, Unanswered: 1, Candidates: 2, Received: nine},
		},
		{
			"two VMs do not answer the seal", &fakeGroup{received: received, sealer: &fakeSealer{report: registrar.Report{Unanswered: 2}}, errs: map[string]error{"demote a": errNoAnswer}}, &fakeTokens{last: 100}, unreachable,
			Basis{EndedBy: EndedByHold, Known: 3, Unsealed: 2, Candidates: 2, Received: nine},
		},
		{
			"the primary is leaving", &fakeGroup{received: received}, &fakeTokens{last: 100}, markPrimaryLeaving,
			Basis{EndedBy: EndedByDemotion, Known: 3, Candidates: 1, Received: nine, Demoted: nine},
		},
		{
			"another VM reaches the primary", &fakeGroup{received: received, hasPeers: true}, &fakeTokens{last: 100}, unreachable,
			Basis{EndedBy: EndedByPeer, Via: "a", Known: 3, Candidates: 1, Received: nine, Demoted: nine},
		},
		{
			"the primary was demoted before", &fakeGroup{received: received, isDemoted: true}, &fakeTokens{last: 100},
			func(g *registrar.Group, _ *registrar.Registrar, _ cataloger.Registry) { g.RecordDenial("a") },
			Basis{EndedBy: EndedByFormerPrimary, Known: 3, Candidates: 2, Received: nine},
		},
		{
			"a replica may have left", &fakeGroup{received: received, assumesDeparture: true, errs: map[string]error{"demote a": errNoAnswer}}, &fakeTokens{last: 100}, unreachable,
			Basis{EndedBy: EndedByHold, Known: 3, Candidates: 2, Received: nine, IsDepartureAssumed: true, AssumedFloor: seven},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c.f.primary, c.f.term = "a", 3
				promotedInstancesWith(t, c.f, c.claims, nil, c.setUp)
				i := slices.IndexFunc(c.f.events, func(e Event) bool { return e.Name == EventPromoteRequested })
				if i < 0 || c.f.events[i].Basis == nil {
					t.Fatalf("no promote request with a basis in %v", c.f.events)
				}
				c.want.RegistryVersion, c.want.RegistryAge = version, age
				if diff := cmp.Diff(c.want, *c.f.events[i].Basis); diff != "" {
					t.Errorf("basis (-want +got):\n%s", diff)
				}
			})
		})
	}
}

// Guards against lines of a hold or a demotion that do not show which term they end, by which command and with what answer.
func TestCommandEvents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeGroup{primary: "a", term: 3, received: map[string]uint64{"a": 9, "b": 9, "c": 9}, errs: map[string]error{"hold c": classifier.New(classifier.AnswerIncomplete, "no answer")}}
		promotedInstances(t, f, func(g *registrar.Group, _ *registrar.Registrar, _ cataloger.Registry) { failPrimary(g) })
		for id, want := range map[string]Command{"a": CommandDemote, "b": CommandHold, "c": CommandHold} {
			i := slices.IndexFunc(f.events, func(e Event) bool { return e.Name == EventHeld && e.Instance == id })
			if i < 0 {
				t.Fatalf("no event of instance %s in %v", id, f.events)
			}
			if e := f.events[i]; e.Command != want || e.Term != 3 || (e.Err != nil) != (id == "c") || id != "c" && e.Status.Received.Index != 9 {
				t.Errorf("instance %s: %+v, want command %s of term 3 with the answer", id, e, want)
			}
		}
	})
}
