package replacer

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/group/registrar"
	"parsleyscale/internal/session/tokenizer"
	"parsleyscale/internal/sheet/cataloger"
	"parsleyscale/internal/statement/carrier"
)

// fakeSealer records the requests to other VMs.
type fakeSealer struct {
	mu        sync.Mutex
	seals     []registrar.Seal
	isUnseal  bool // the latest seal was withdrawn
	sealError error
	report    registrar.Report
}

func (s *fakeSealer) Seal(_ context.Context, _ string, seal registrar.Seal) (registrar.Report, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seals, s.isUnseal = append(s.seals, seal), false
	return s.report, s.sealError
}

func (s *fakeSealer) Unseal(context.Context, string, registrar.Seal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isUnseal = true
}

func stallWrites(g *registrar.Group) {
	g.RecordUnansweredWrite()
	g.RecordUnansweredWrite()
}

// Guards against the loss of commits that a stalled primary acknowledges after it has not answered its demotion, or has answered that
// it goes on.
func TestStalledPrimaryIsNotDemoted(t *testing.T) {
	for name, c := range map[string]struct {
		errs   map[string]error
		states map[string]carrier.InstanceStatus
	}{
		"no answer": {map[string]error{"demote a": errNoAnswer, "probe a": errNoAnswer}, nil},
		"no effect": {map[string]error{"probe a": errNoAnswer}, map[string]carrier.InstanceStatus{"a": {Term: 3, IsPrimary: true, Received: tokenizer.Position{Term: 3, Index: 9}}}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fakeGroup{primary: "a", term: 3, received: map[string]uint64{"a": 9, "b": 8, "c": 8}, errs: c.errs, states: c.states}
				got := promotedInstances(t, f, func(g *registrar.Group, _ *registrar.Registrar, _ cataloger.Registry) { stallWrites(g) })
				if len(got) > 0 {
					t.Errorf("%v promoted, want none; commands %v", got, f.commands)
				}
			})
		})
	}
}

// Guards against a stall that lasts for as long as a departure before the VM's start is assumed, since no roster could be read, or it has a
// floor that no replica holds: the VM did not ask the other VMs what they had passed on. If that is more than the replicas hold, the reads are
// not interrupted.
func TestStallSoonAfterStart(t *testing.T) {
	at := func(index uint64) tokenizer.Position { return tokenizer.Position{Term: 3, Index: index} }
	members := []registrar.Member{{ID: "a"}, {ID: "b"}, {ID: "c"}}
	for _, c := range []struct {
		name   string
		roster registrar.Roster
		report registrar.Report
		want   string // promoted instance; "": none
	}{
		{"without a roster, and the replicas hold all", registrar.Roster{}, registrar.Report{PassedOn: at(8), IsComplete: true}, "b"},
		{"without a roster, and no replica holds all", registrar.Roster{}, registrar.Report{PassedOn: at(9), IsComplete: true}, ""},
		{"without a roster, and not all VMs answer", registrar.Roster{}, registrar.Report{PassedOn: at(8)}, ""},
		{"no replica holds the floor of the roster, but all that was passed on", registrar.Roster{Instances: members, Floor: at(9)}, registrar.Report{PassedOn: at(8), IsComplete: true}, "b"},
		{"the replicas hold the floor of the roster", registrar.Roster{Instances: members, Floor: at(8)}, registrar.Report{PassedOn: at(9)}, "b"},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fakeGroup{
					primary: "a", term: 3, received: map[string]uint64{"a": 9, "b": 8, "c": 8}, errs: map[string]error{"probe a": nil},
					assumesDeparture: true, roster: c.roster, sealer: &fakeSealer{report: c.report},
				}
				got := promotedInstances(t, f, func(g *registrar.Group, _ *registrar.Registrar, _ cataloger.Registry) { stallWrites(g) })
				switch {
				case c.want == "" && (len(got) > 0 || f.hasCommand("hold b") || f.hasCommand("demote a")):
					t.Errorf("%v promoted, commands %v; want none", got, f.commands)
				case c.want != "" && (len(got) != 1 || got[0] != c.want):
					t.Errorf("%v promoted, commands %v; want %s", got, f.commands, c.want)
				}
			})
		})
	}
}

// Guards against the promotion of an instance of a later term, which covers every position of the term that ends.
func TestNewcomerOfLaterTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeGroup{primary: "a", term: 3, received: map[string]uint64{"a": 9, "b": 8, "c": 8}, errs: map[string]error{"probe a": errNoAnswer},
			states: map[string]carrier.InstanceStatus{"d": {Term: 4, Received: tokenizer.Position{Term: 4, Index: 12}}}}
		got := promotedInstances(t, f, func(g *registrar.Group, r *registrar.Registrar, reg cataloger.Registry) {
			stallWrites(g)
			time.AfterFunc(600*time.Millisecond, func() {
				r.Update(reg.With(map[string]*cataloger.Instance{"d": {ID: "d", Group: "g", Address: "d"}}))
			})
		})
		for k, token := range f.tokens {
			if k < len(got) && got[k] == "d" && token>>termShift == 3 {
				t.Errorf("d of term 4 was promoted with a token that ends term 3: %v", got)
			}
		}
	})
}

// Guards against the loss of commits that a demoted primary acknowledges after it has restarted: the VMs that reach it were not
// told. Commits in flight at the demotion must still be acknowledged.
func TestDemotionStopsLaterAcks(t *testing.T) {
	for _, isLeaving := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			s := &fakeSealer{}
			f := &fakeGroup{primary: "a", term: 3, received: map[string]uint64{"a": 9, "b": 9, "c": 9}, errs: map[string]error{}, hasPeers: true, sealer: s}
			promotedInstances(t, f, func(g *registrar.Group, r *registrar.Registrar, reg cataloger.Registry) {
				if isLeaving {
					markPrimaryLeaving(g, r, reg)
					return
				}
				f.errs["demote a"] = errNoAnswer
				failPrimary(g)
			})
			after := tokenizer.Position{Term: 3, Index: 9}
			if !slices.ContainsFunc(s.seals, func(seal registrar.Seal) bool { return seal.StopsAcks && seal.After == after }) {
				t.Errorf("leaving %t: seals %+v, want one that stops acknowledgements after %v", isLeaving, s.seals, after)
			}
		})
	}
}

// Guards against the loss of commits that other VMs passed on with the help of a replica that has left, or left before this VM started, and
// of those that depend on a departure which only they have seen.
func TestReportsOfOtherVMs(t *testing.T) {
	at := func(index uint64) tokenizer.Position { return tokenizer.Position{Term: 3, Index: index} }
	for _, c := range []struct {
		name    string
		hasLeft bool // the VM has seen the departure; otherwise, it assumes one
		report  registrar.Report
		want    string // promoted instance; "": none
	}{
		{"no replica holds all, and the departure is assumed", false, registrar.Report{PassedOn: at(9), IsComplete: true}, ""},
		{"a replica holds all, and the departure is assumed", false, registrar.Report{PassedOn: at(8), IsComplete: true}, "b"},
		{"not all have told, and the departure is assumed", false, registrar.Report{PassedOn: at(7)}, ""},
		{"no replica holds all, and the departure was seen", true, registrar.Report{PassedOn: at(9)}, ""},
		{"a replica holds all, and the departure was seen", true, registrar.Report{PassedOn: at(8)}, "b"},
		{"no replica holds the floor of another VM", true, registrar.Report{DepartureFloor: at(9)}, ""},
		{"a replica holds the floor of another VM", true, registrar.Report{DepartureFloor: at(8)}, "b"},
		{"no replica holds the floor of another VM for a replica that is not known here", true, registrar.Report{SilentFloors: map[registrar.Member]tokenizer.Position{{ID: "e"}: at(9)}}, ""},
		{"another VM does not know that a replica is back", true, registrar.Report{SilentFloors: map[registrar.Member]tokenizer.Position{{ID: "b"}: at(9)}}, "b"},
		{"another VM misses a replica that is not known here", true, registrar.Report{Missing: []string{"e"}}, ""},
		{"another VM misses a replica that has answered", true, registrar.Report{Missing: []string{"b"}}, "b"},
		{"another VM misses the primary", true, registrar.Report{Missing: []string{"a"}}, "b"},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fakeGroup{
					primary: "a", term: 3, received: map[string]uint64{"a": 9, "b": 8, "c": 7}, errs: map[string]error{"demote a": errNoAnswer},
					assumesDeparture: !c.hasLeft, roster: registrar.Roster{Instances: []registrar.Member{{ID: "d"}}, Primary: "a", Term: 3}, sealer: &fakeSealer{report: c.report},
				}
				got := promotedInstances(t, f, func(g *registrar.Group, r *registrar.Registrar, reg cataloger.Registry) {
					if c.hasLeft {
						r.Update(reg.With(map[string]*cataloger.Instance{"d": {ID: "d", Group: "g", Address: "d"}}))
						r.Update(reg)
						time.Sleep(3 * time.Second)
						g.RemoveMissing()
						g.RecordProof(registrar.Proof{Instance: "a", SentAt: g.Now(), Position: at(7)})
					}
					failPrimary(g)
				})
				if c.want == "" && len(got) > 0 || c.want != "" && (len(got) != 1 || got[0] != c.want) {
					t.Errorf("%v promoted, want %q; commands %v", got, c.want, f.commands)
				}
			})
		})
	}
}

// Guards against the end of a seal while a promote request without an answer may still be carried out.
func TestSealOutlastsRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeSealer{}
		f := &fakeGroup{primary: "a", term: 3, received: map[string]uint64{"a": 9, "b": 9, "c": 9}, errs: map[string]error{"demote a": errNoAnswer}, dropsPromote: true, sealer: s}
		promotedInstancesWith(t, f, &fakeTokens{last: 100, lostAt: 2}, nil, func(g *registrar.Group, _ *registrar.Registrar, _ cataloger.Registry) { failPrimary(g) })
		if len(f.tokens) == 0 || s.isUnseal {
			t.Errorf("%d promote requests, seal withdrawn: %t; want some, and false", len(f.tokens), s.isUnseal)
		}
	})
}

// Guards against two VMs that end a term at the same time, one of them with a spare token.
func TestSealConflictEndsAttempt(t *testing.T) {
	for _, isLeaving := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			s := &fakeSealer{sealError: classifier.New(classifier.Conflict, "another VM ends the term")}
			f := &fakeGroup{primary: "a", term: 3, received: map[string]uint64{"a": 9, "b": 9, "c": 9}, errs: map[string]error{}, sealer: s}
			got := promotedInstancesWith(t, f, &fakeTokens{last: 100, err: errNoAnswer}, nil, func(g *registrar.Group, r *registrar.Registrar, reg cataloger.Registry) {
				if isLeaving {
					markPrimaryLeaving(g, r, reg)
					return
				}
				f.errs["demote a"] = errNoAnswer
				failPrimary(g)
			})
			if len(got) > 0 || !s.isUnseal {
				t.Errorf("leaving %t: %v promoted, seal withdrawn: %t; want none, and true", isLeaving, got, s.isUnseal)
			}
		})
	}
}

// Guards against two promotions of different instances: the VM that recorded the choice repeats its request without the store, and
// another one, whose claim succeeds, would prefer an instance with more entries.
func TestChoiceOfActiveVMStands(t *testing.T) {
	for _, isActive := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			f := &fakeGroup{primary: "a", term: 3, received: map[string]uint64{"a": 9, "b": 9, "c": 8}, errs: map[string]error{"demote a": errNoAnswer}}
			got := promotedInstancesWith(t, f, &fakeTokens{last: 100, choice: "c"}, nil, func(g *registrar.Group, _ *registrar.Registrar, _ cataloger.Registry) {
				failPrimary(g)
				for n := 0; isActive && n < 3; n++ {
					time.AfterFunc(time.Duration(n)*time.Second, func() { _ = g.Seal(registrar.Seal{Term: 3, Holder: "vm-2", StopsAcks: true}) })
				}
			})
			if want := !isActive; slices.Contains(got, "b") != want {
				t.Errorf("other VM active %t: %v promoted, want b: %t", isActive, got, want)
			}
		})
	}
}

// Guards against a late request that makes a stalled or leaving primary lead again after its demotion.
func TestDemotionsAreFenced(t *testing.T) {
	for name, setUp := range map[string]func(g *registrar.Group, r *registrar.Registrar, reg cataloger.Registry){
		"leaving": markPrimaryLeaving,
		"stalled": func(g *registrar.Group, _ *registrar.Registrar, _ cataloger.Registry) { stallWrites(g) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fakeGroup{primary: "a", term: 3, received: map[string]uint64{"a": 9, "b": 9, "c": 9}, errs: map[string]error{"probe a": nil}, fenceErr: errNoAnswer}
				if got := promotedInstances(t, f, setUp); len(got) > 0 || f.fences == 0 || f.hasCommand("demote a") {
					t.Errorf("%v promoted after %d fences without an answer; commands %v", got, f.fences, f.commands)
				}
			})
		})
	}
}

// Guards against a late request for a primary that does not answer: it makes the primary lead again, in a term that nobody has sealed, until
// the request for its successor is carried out.
func TestReplacementOfNewPrimaryIsFenced(t *testing.T) {
	for _, fenceErr := range []error{nil, errNoAnswer} {
		synctest.Test(t, func(t *testing.T) {
			f := &fakeGroup{primary: "a", term: 3, received: map[string]uint64{"a": 9, "b": 9, "c": 9}, errs: map[string]error{"demote a": errNoAnswer}, fenceErr: fenceErr}
			got := promotedInstances(t, f, func(g *registrar.Group, _ *registrar.Registrar, _ cataloger.Registry) { failPrimary(g) })
			if f.fences == 0 || (len(got) > 0) != (fenceErr == nil) {
				t.Errorf("error %v of the platform: %v promoted after %d fences", fenceErr, got, f.fences)
			}
		})
	}
}

// Guards against two promotions of one term by VMs that do not reach each other: one has ended the term with a spare token, so that its
// choice is not recorded, and the platform may have accepted its request.
func TestTermIsEndedByOther(t *testing.T) {
	held := func(term uint64) carrier.InstanceStatus {
		return carrier.InstanceStatus{Term: 3, HoldTerm: term, Received: position(3, 9)}
	}
	for _, c := range []struct {
		name    string
		f       *fakeGroup
		isFirst bool
		isVoid  bool // the attempt waits until an earlier request has taken effect
	}{
		{"a replica is held", &fakeGroup{heldTerm: 4}, true, true},
		{"a replica is held for an earlier term", &fakeGroup{heldTerm: 3}, true, false},
		{"the primary is demoted", &fakeGroup{isDemoted: true, hasPeers: true}, true, true},
		{"by a VM whose claim is known", &fakeGroup{heldTerm: 4}, false, false},
		{"a replica does not answer", &fakeGroup{errs: map[string]error{"status b": errNoAnswer}}, true, false},
		{"only one replica is held", &fakeGroup{states: map[string]carrier.InstanceStatus{"c": held(4)}}, true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c.f.primary, c.f.term, c.f.received = "a", 3, map[string]uint64{"a": 9, "b": 9, "c": 9}
				if c.f.errs == nil {
					c.f.errs = map[string]error{}
				}
				if !c.f.hasPeers {
					c.f.errs["demote a"] = errNoAnswer
				}
				start := time.Now()
				got := promotedInstancesWith(t, c.f, &fakeTokens{last: 100, isFirst: c.isFirst}, nil, func(g *registrar.Group, _ *registrar.Registrar, _ cataloger.Registry) { failPrimary(g) })
				if len(got) != 1 {
					t.Fatalf("%v promoted, want one instance; commands %v", got, c.f.commands)
				}
				if isVoid := c.f.promotedAt.Sub(start) >= maxPromotionTime; isVoid != c.isVoid {
					t.Errorf("promoted after %s, want a wait for earlier requests: %t", c.f.promotedAt.Sub(start), c.isVoid)
				}
				if c.isVoid {
					checkEarlierOrderIsVoid(t, c.f)
				}
			})
		})
	}
}

// Guards against two promotions of one term where the store is back before a VM with a spare token sends its request: another VM may have claimed
// the term since.
func TestSpareTokenAfterStoreIsBack(t *testing.T) {
	for _, c := range []struct {
		name string
		err  error // of the claim when the request is about to be sent
		want bool  // a spare token is used
	}{
		{"still out", errNoAnswer, true},
		{"claimed by another VM", classifier.New(classifier.Conflict, "claimed"), false},
		{"back", nil, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fakeGroup{primary: "a", term: 3, received: map[string]uint64{"a": 9, "b": 9, "c": 9}, errs: map[string]error{"demote a": errNoAnswer}}
				claims := &fakeTokens{last: 100, err: errNoAnswer, laterErr: func() error { return c.err }}
				promotedInstancesWith(t, f, claims, nil, func(g *registrar.Group, _ *registrar.Registrar, _ cataloger.Registry) { failPrimary(g) })
				isSpare := len(f.tokens) > 0 && f.tokens[0] == fencingToken(3, 1, false)
				if isSpare != c.want {
					t.Errorf("tokens %v, want a spare one: %t", f.tokens, c.want)
				}
			})
		})
	}
}

// slowSealer seals a term on another VM, which takes up each request after a delay. The end of a seal arrives at once.
type slowSealer struct {
	group *registrar.Group
	delay time.Duration
}

func (s slowSealer) Seal(_ context.Context, _ string, seal registrar.Seal) (registrar.Report, error) {
	time.Sleep(s.delay)
	return registrar.Report{}, s.group.Seal(seal)
}

func (s slowSealer) Unseal(_ context.Context, _ string, seal registrar.Seal) { s.group.Unseal(seal) }

// Guards against a VM that goes on to stop acknowledgements, or ends the term, because of a promote request that was never sent: the news of it
// arrives after the seal has ended.
func TestOrderThatWasNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := registrar.New(func() time.Duration { return time.Second })
		r.Update(cataloger.Registry{"a": {ID: "a", Group: "g", Address: "a", IsPrimary: true}, "b": {ID: "b", Group: "g", Address: "b"}})
		other := r.Group("g")
		f := &fakeGroup{primary: "a", term: 3, received: map[string]uint64{"a": 9, "b": 9, "c": 9}, errs: map[string]error{"demote a": errNoAnswer}, sealer: slowSealer{other, 30 * time.Millisecond}}
		claims := &fakeTokens{last: 100, lostAt: 1}
		got := promotedInstancesWith(t, f, claims, nil, func(g *registrar.Group, _ *registrar.Registrar, _ cataloger.Registry) {
			failPrimary(g)
			time.AfterFunc(time.Second, func() { // it has recovered
				f.mu.Lock()
				defer f.mu.Unlock()
				f.errs["probe a"] = nil
			})
		})
		time.Sleep(2 * time.Second) // the seals have expired
		if orders := other.OpenOrders(3); len(got) > 0 || len(f.tokens) > 0 || len(orders) > 0 {
			t.Errorf("%v promoted after %d requests; the other VM knows of the orders %v, want none", got, len(f.tokens), orders)
		}
	})
}
