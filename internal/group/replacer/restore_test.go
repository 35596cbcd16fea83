package replacer

import (
	"testing"
	"testing/synctest"
	"time"

	"parsleyscale/internal/group/registrar"
	"parsleyscale/internal/platform/follower"
	"parsleyscale/internal/sheet/cataloger"
)

// Guards against tokens that are equal or decrease for one group and term when a restored store issues versions again, and against
// other tokens than before for a store that doesn't name its era.
func TestTokensOfEras(t *testing.T) {
	var last uint64
	for _, v := range []uint64{follower.VersionAt(0, 700_000), follower.VersionAt(1, 600_000), follower.VersionAt(1, 700_000), follower.VersionAt(2, 690_000)} {
		for _, isClaimed := range []bool{false, true} {
			if token := fencingToken(5, v, isClaimed); isClaimed && token <= last || token <= fencingToken(5, v-1, isClaimed) || token >= fencingToken(6, 1, false) {
				t.Errorf("token of version %d is %d, want it above %d and below those of the next term", v, token, last)
			} else if isClaimed {
				last = token
			}
		}
	}
	if token := fencingToken(5, 1<<33, true); token != 5<<36|1<<35|1<<33 {
		t.Errorf("token in era 0 is %d, want the term, the bit of a claim and the version", token)
	}
}

// Guards against the promotion of a second instance while that of a choice which the restored store has lost takes effect.
func TestLostChoiceTakesEffect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeGroup{term: 3, received: map[string]uint64{"a": 7, "b": 7, "c": 7}, errs: map[string]error{"demote a": errNoAnswer}}
		claims := &fakeTokens{last: 100, mayHaveLostChoice: true}
		promoted := promotedInstancesWith(t, f, claims, nil, func(g *registrar.Group, _ *registrar.Registrar, _ cataloger.Registry) {
			failPrimary(g)
			time.AfterFunc(time.Second, func() {
				f.mu.Lock()
				defer f.mu.Unlock()
				f.primary, f.term = "c", 4
			})
		})
		if len(promoted) > 0 || f.hasCommand("hold b") || f.fences == 0 {
			t.Errorf("promoted %v after %v and %d tokens shown, want only the token until c leads", promoted, f.commands, f.fences)
		}
	})
}

// Guards against a replacement that never takes place because a choice may have been lost.
func TestNoLostChoice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeGroup{term: 3, received: map[string]uint64{"a": 7, "b": 7, "c": 7}, errs: map[string]error{"demote a": errNoAnswer}}
		claims := &fakeTokens{last: 100, mayHaveLostChoice: true}
		promoted := promotedInstancesWith(t, f, claims, nil, func(g *registrar.Group, _ *registrar.Registrar, _ cataloger.Registry) { failPrimary(g) })
		if len(promoted) == 0 {
			t.Error("no instance was promoted")
		}
	})
}
