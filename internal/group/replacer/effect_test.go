package replacer

import (
	"testing"
	"testing/synctest"
	"time"

	"parsleyscale/internal/group/registrar"
	"parsleyscale/internal/session/tokenizer"
	"parsleyscale/internal/sheet/cataloger"
)

// Guards against the loss of commits by a hold or a demotion that is answered but has no effect: a replica went on receiving, or
// the primary acknowledging, while an instance was promoted that had been compared before.
func TestCommandWithoutEffect(t *testing.T) {
	received := map[string]uint64{"a": 9, "b": 9, "c": 9}
	fail := func(g *registrar.Group, _ *registrar.Registrar, _ cataloger.Registry) { failPrimary(g) }
	stall := func(g *registrar.Group, _ *registrar.Registrar, _ cataloger.Registry) {
		g.RecordUnansweredWrite()
		g.RecordUnansweredWrite()
	}
	for _, c := range []struct {
		name  string
		f     *fakeGroup
		setUp func(*registrar.Group, *registrar.Registrar, cataloger.Registry)
	}{
		{"a replica is in the next term", &fakeGroup{primary: "x", term: 4, entryTerm: 3, received: received, errs: map[string]error{"demote a": errNoAnswer}}, fail},
		{"a replica is not held", &fakeGroup{primary: "a", term: 3, received: received, errs: map[string]error{"demote a": errNoAnswer}, ignoresHold: map[string]bool{"c": true}}, fail},
		{"the stalled primary leads the next term", &fakeGroup{primary: "a", term: 4, entryTerm: 3, received: received, errs: map[string]error{"hold c": errNoAnswer, "probe a": errNoAnswer}}, stall},
		{"the leaving primary leads the next term", &fakeGroup{primary: "a", term: 4, entryTerm: 3, received: received, errs: map[string]error{"probe a": errNoAnswer}}, markPrimaryLeaving},
		{"another VM reaches the primary, which leads the next term", &fakeGroup{primary: "a", term: 4, entryTerm: 3, received: received, errs: map[string]error{"probe a": errNoAnswer}, hasPeers: true}, fail},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				promotedInstances(t, c.f, c.setUp)
				for _, token := range c.f.tokens {
					if ended := token >> termShift; ended < c.f.term-uint64(len(c.f.promoted)) || len(c.f.ignoresHold) > 0 {
						t.Fatalf("promote request that ends term %d, the group is in term %d; commands %v", ended, c.f.term, c.f.commands)
					}
				}
			})
		})
	}
}

// Guards against a group without a primary: its new primary crashed before any VM saw it lead, and only its replicas knew the
// term that it led.
func TestNewPrimaryCrashesUnseen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeGroup{primary: "b", term: 4, entryTerm: 3, received: map[string]uint64{"a": 9, "b": 9, "c": 9}, errs: map[string]error{"probe b": errNoAnswer, "status b": errNoAnswer, "hold b": errNoAnswer, "demote b": errNoAnswer, "probe a": errNoAnswer}}
		claims := &fakeTokens{last: 100, choice: "b", choiceTerm: 3}
		got := promotedInstancesWith(t, f, claims, nil, func(g *registrar.Group, _ *registrar.Registrar, _ cataloger.Registry) {
			failPrimary(g)
			time.AfterFunc(time.Second, func() {
				for range 4 {
					g.RecordFailure("b")
				}
			})
		})
		if len(got) != 1 || got[0] == "b" || f.tokens[0]>>termShift != 4 {
			t.Errorf("%v promoted, tokens %v; want a or c, in place of the primary of term 4; commands %v", got, f.tokens, f.commands)
		}
	})
}

// Guards against the loss of commits when an instance that only the registry names as the primary stands in for the primary that
// this VM does not reach: its demotion had no effect, and it went on receiving.
func TestRegistryPrimaryDoesNotLead(t *testing.T) {
	received := map[string]uint64{"a": 9, "b": 9, "c": 9}
	unreachable := func() map[string]error {
		return map[string]error{"probe b": errNoAnswer, "status b": errNoAnswer, "hold b": errNoAnswer, "probe a": errNoAnswer}
	}
	fail := func(g *registrar.Group, _ *registrar.Registrar, _ cataloger.Registry) { failPrimary(g) }
	for _, c := range []struct {
		name  string
		f     *fakeGroup
		setUp func(*registrar.Group, *registrar.Registrar, cataloger.Registry)
	}{
		{"it stands in for the primary", &fakeGroup{errs: unreachable()}, fail},
		{"it is leaving", &fakeGroup{errs: unreachable()}, markPrimaryLeaving},
		{"another VM reaches it", &fakeGroup{errs: unreachable(), hasPeers: true}, fail},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c.f.primary, c.f.term, c.f.received = "b", 4, received
				got := promotedInstances(t, c.f, func(g *registrar.Group, r *registrar.Registrar, reg cataloger.Registry) {
					g.RecordTerm(4)
					a := reg["a"]
					a.IsPrimary = false
					r.Update(reg.With(map[string]*cataloger.Instance{"a": &a}))
					r.Update(reg)
					c.setUp(g, r, reg)
				})
				if len(got) > 0 {
					t.Errorf("%v promoted, want none; commands %v", got, c.f.commands)
				}
			})
		})
	}
}

// Guards against the loss of commits when a demoted primary that stands in for a replica has lost its log, or reports less than it
// proved before: each other instance then seemed to hold all of its entries.
func TestDemotedPrimaryLacksEntries(t *testing.T) {
	for _, c := range []struct {
		name     string
		f        *fakeGroup
		setUp    func(*registrar.Group, *registrar.Registrar, cataloger.Registry)
		wantHold bool
	}{
		{"it stands in for a silent replica, with an empty log", &fakeGroup{received: map[string]uint64{"b": 6, "c": 9}, errs: map[string]error{"hold c": errNoAnswer}}, func(g *registrar.Group, _ *registrar.Registrar, _ cataloger.Registry) { failPrimary(g) }, true},
		{"it stands in for a silent replica, which lacks what it proved", &fakeGroup{received: map[string]uint64{"a": 5, "b": 6, "c": 9}, errs: map[string]error{"hold c": errNoAnswer}}, func(g *registrar.Group, _ *registrar.Registrar, _ cataloger.Registry) { failPrimary(g) }, true},
		{"another VM reaches it", &fakeGroup{received: map[string]uint64{"a": 5, "b": 7, "c": 9}, hasPeers: true, errs: map[string]error{"hold c": errNoAnswer, "status c": errNoAnswer}}, func(g *registrar.Group, _ *registrar.Registrar, _ cataloger.Registry) { failPrimary(g) }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c.f.primary, c.f.term = "a", 3
				got := promotedInstances(t, c.f, func(g *registrar.Group, r *registrar.Registrar, reg cataloger.Registry) {
					g.RecordProof(registrar.Proof{Instance: "a", SentAt: 2, Position: tokenizer.Position{Term: 3, Index: 7}})
					c.setUp(g, r, reg)
				})
				if len(got) > 0 {
					t.Errorf("%v promoted, want none; commands %v", got, c.f.commands)
				}
			})
		})
	}
}

// Guards against the loss of commits of a demoted primary that led again before the replicas were held: the chosen replica lacked
// what it had acknowledged meanwhile.
func TestDemotedPrimaryLedBeforeHolds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeGroup{primary: "a", term: 3, received: map[string]uint64{"a": 9, "b": 9, "c": 8}, leadsAgainAt: "hold b"}
		got := promotedInstances(t, f, markPrimaryLeaving)
		if len(got) == 0 || got[0] != "a" {
			t.Errorf("%v promoted, want a, which alone holds all of its entries; commands %v", got, f.commands)
		}
	})
}

// Guards against a promote request that is repeated after another VM has claimed the group: its instance, which had been demoted
// since, led again.
func TestRequestIsNotRepeatedAfterOtherClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeGroup{primary: "a", term: 3, received: map[string]uint64{"a": 9, "b": 9, "c": 9}, errs: map[string]error{"demote a": errNoAnswer}, dropsPromote: true}
		promotedInstancesWith(t, f, &fakeTokens{last: 100, lostAt: 2}, nil, func(g *registrar.Group, _ *registrar.Registrar, _ cataloger.Registry) { failPrimary(g) })
		if len(f.tokens) != 1 {
			t.Errorf("%d promote requests, want 1", len(f.tokens))
		}
	})
}
