package replacer

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/group/registrar"
	"parsleyscale/internal/session/tokenizer"
	"parsleyscale/internal/sheet/cataloger"
)

// Guards against the loss of commits that only a replica holds which registered last: the VM that replaced the primary
// compared the replicas of its copy of the registry, which lacked that one.
func TestReplicaRegisteredLast(t *testing.T) {
	for _, c := range []struct {
		name    string
		f       *fakeGroup
		entry   cataloger.Instance
		want    string // promoted instance; "": none
		isStall bool   // writes stall, and the primary answers
	}{
		{"it holds the most", &fakeGroup{received: map[string]uint64{"a": 9, "b": 7, "c": 7, "d": 9}, errs: map[string]error{"demote a": errNoAnswer}}, cataloger.Instance{ID: "d", Address: "d"}, "d", false},
		{"it does not answer", &fakeGroup{received: map[string]uint64{"a": 9, "b": 7, "c": 7, "d": 9}, errs: map[string]error{"demote a": errNoAnswer, "hold d": errNoAnswer}}, cataloger.Instance{ID: "d", Address: "d"}, "", false},
		{"a known replica has restarted", &fakeGroup{received: map[string]uint64{"a": 9, "b": 7, "c": 1}, errs: map[string]error{"demote a": errNoAnswer}}, cataloger.Instance{ID: "c", Address: "c", StartedAtMs: 5}, "", false},
		{"writes stall", &fakeGroup{received: map[string]uint64{"a": 9, "b": 7, "c": 7, "d": 9}, errs: map[string]error{"probe a": nil}}, cataloger.Instance{ID: "d", Address: "d"}, "d", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c.f.primary, c.f.term = "a", 3
				got := promotedInstances(t, c.f, func(g *registrar.Group, r *registrar.Registrar, reg cataloger.Registry) {
					c.entry.Group = "g"
					c.f.refresh = func() { r.Update(reg.With(map[string]*cataloger.Instance{c.entry.ID: &c.entry})) }
					if !c.isStall {
						failPrimary(g)
						return
					}
					for range 4 {
						g.RecordUnansweredWrite()
					}
				})
				if c.want == "" && len(got) > 0 || c.want != "" && (len(got) != 1 || got[0] != c.want) {
					t.Errorf("%v promoted, want %q; commands %v", got, c.want, c.f.commands)
				}
			})
		})
	}
}

// Guards against the loss of commits that only a replica holds which this VM cannot know, and against a VM that is cut off from
// the store and from most other VMs: with a spare token, it held the replicas, which stopped the writes of all others.
func TestInstancesNotConfirmed(t *testing.T) {
	for _, c := range []struct {
		name     string
		claimErr error
	}{
		{"with a claim", nil},
		{"with a spare token", classifier.New(classifier.PlatformUnavailable, "503")},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fakeGroup{primary: "a", term: 3, received: map[string]uint64{"a": 9, "b": 7, "c": 7}, errs: map[string]error{"demote a": errNoAnswer}, refreshErr: errNoAnswer}
				got := promotedInstancesWith(t, f, &fakeTokens{last: 100, err: c.claimErr}, nil, func(g *registrar.Group, _ *registrar.Registrar, _ cataloger.Registry) { failPrimary(g) })
				if len(got) > 0 || c.claimErr != nil && f.hasCommand("hold b") {
					t.Errorf("%v promoted, want none; commands %v", got, f.commands)
				}
			})
		})
	}
}

// Guards against the loss of commits that only a replica held which has restarted without its log: its answer to the hold
// counted, although it had reported more before.
func TestRestartedReplicaIsHeld(t *testing.T) {
	for _, c := range []struct {
		name string
		errs map[string]error
		want string // promoted instance; "": none
	}{
		{"the primary does not answer", map[string]error{"demote a": errNoAnswer}, ""},
		{"the primary answers", nil, "a"},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fakeGroup{primary: "a", term: 3, received: map[string]uint64{"a": 9, "b": 7, "c": 0}, errs: c.errs}
				got := promotedInstances(t, f, func(g *registrar.Group, _ *registrar.Registrar, _ cataloger.Registry) {
					g.RecordAnswer("c", tokenizer.Position{Term: 3, Index: 8}, 0)
					failPrimary(g)
				})
				if c.want == "" && len(got) > 0 || c.want != "" && (len(got) != 1 || got[0] != c.want) {
					t.Errorf("%v promoted, want %q; commands %v", got, c.want, f.commands)
				}
			})
		})
	}
}

// Guards against the loss of commits that only a replica held which joined and left while this VM missed changes of the registry: the
// refresh shows the gap, but the replicas had been compared before.
func TestGapDuringRefresh(t *testing.T) {
	for name, c := range map[string]struct {
		roster []registrar.Member
		want   []string
	}{
		"a replica has left":  {[]registrar.Member{{ID: "b"}, {ID: "c"}, {ID: "d"}}, nil},
		"no replica has left": {[]registrar.Member{{ID: "b"}, {ID: "c"}}, []string{"b"}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fakeGroup{
					primary: "a", term: 3, received: map[string]uint64{"a": 9, "b": 8, "c": 7}, errs: map[string]error{"demote a": errNoAnswer},
					roster: registrar.Roster{Instances: c.roster, Primary: "a", Term: 3},
				}
				got := promotedInstances(t, f, func(g *registrar.Group, _ *registrar.Registrar, _ cataloger.Registry) {
					f.refresh = func() {
						time.Sleep(50 * time.Millisecond) // until the replicas have answered
						g.RecordGap()
					}
					failPrimary(g)
				})
				if !slices.Equal(got, c.want) {
					t.Errorf("%v promoted, want %v; commands %v", got, c.want, f.commands)
				}
			})
		})
	}
}
