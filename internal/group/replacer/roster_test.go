package replacer

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"parsleyscale/internal/group/registrar"
	"parsleyscale/internal/sheet/cataloger"
)

// Guards against a primary that no VM replaces while the store is out, since all of them have started a short time before.
func TestRosterIsReadAhead(t *testing.T) {
	for name, c := range map[string]struct {
		roster []registrar.Member
		want   []string
	}{
		"no replica has left": {[]registrar.Member{{ID: "b"}, {ID: "c"}}, []string{"b"}},
		"a replica has left":  {[]registrar.Member{{ID: "b"}, {ID: "c"}, {ID: "d"}}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fakeGroup{
					primary: "a", term: 3, received: map[string]uint64{"a": 9, "b": 8, "c": 7}, errs: map[string]error{"demote a": errNoAnswer},
					assumesDeparture: true, roster: registrar.Roster{Instances: c.roster, Primary: "a", Term: 3}, sealer: &fakeSealer{},
				}
				got := promotedInstances(t, f, func(g *registrar.Group, _ *registrar.Registrar, _ cataloger.Registry) {
					time.AfterFunc(3*minRosterPause/2, func() {
						f.mu.Lock()
						f.rosterErr = errNoAnswer
						f.mu.Unlock()
						failPrimary(g)
					})
				})
				if !slices.Equal(got, c.want) {
					t.Errorf("%v promoted, want %v; commands %v", got, c.want, f.commands)
				}
			})
		})
	}
}
