package claimer

import (
	"context"
	"encoding/json"
	"maps"
	"testing"
	"testing/synctest"
	"time"

	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/platform/follower"
)

// restorableStore is a Store that can be restored from a copy. Versions after the copy are issued again, in the next era.
type restorableStore struct {
	rows    map[string]follower.Row
	era     uint64
	version uint64
}

func (s *restorableStore) Swap(_ context.Context, _, key string, value []byte, version uint64) (uint64, follower.Row, error) {
	r, ok := s.rows[key]
	if ok {
		r.Version = follower.VersionAt(s.era, r.Version)
	}
	if r.Version != version {
		if version != 0 && follower.EraOf(version) < s.era {
			r = follower.Row{}
		}
		return 0, r, classifier.New(classifier.Conflict, "present version is %d, want %d", r.Version, version)
	}
	s.version++
	s.rows[key] = follower.Row{Key: key, Value: value, Version: s.version}
	return follower.VersionAt(s.era, s.version), follower.Row{}, nil
}

// copy returns a function that restores the present state.
func (s *restorableStore) copy() (restore func()) {
	rows, version := maps.Clone(s.rows), s.version
	return func() { s.rows, s.version, s.era = rows, version, s.era+1 }
}

// Guards against a fencing token that two VMs have or that is lower than one before, when the restored store issues the version
// of a claim again, and against a holder that goes on with a claim that the store has lost.
func TestClaimAfterRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &restorableStore{rows: map[string]follower.Row{}}
		a, b := New(s, "vm-a", 0), New(s, "vm-b", 0)
		ctx := t.Context()
		restore := s.copy()
		lost, err := a.Claim(ctx, "g", 1)
		if err != nil {
			t.Fatal(err)
		}
		restore()
		b.RecordRestore(1)
		claimed, err := b.Claim(ctx, "g", 1)
		if err != nil || claimed.FencingToken <= lost.FencingToken {
			t.Fatalf("claim after the restore: %+v, %v; want a higher token than %d", claimed, err, lost.FencingToken)
		}
		if !claimed.MayHaveLostChoice {
			t.Error("the claim doesn't say that another one may have been lost")
		}
		if _, err := a.Record(ctx, "g", 1, lost.FencingToken, "i"); !classifier.Is(err, classifier.Conflict) {
			t.Errorf("Record with the lost claim = %v, want kind conflict", err)
		}
		if _, err := b.Record(ctx, "g", 1, claimed.FencingToken, "j"); err != nil {
			t.Errorf("Record with the claim of after the restore: %v", err)
		}
	})
}

// Guards against an attempt that chooses another instance than the one that an attempt of before the restore has recorded: by the
// VM that knows that choice, which must write it again, and by others, which must not take the claim of before for the latest one.
func TestChoiceAfterRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &restorableStore{rows: map[string]follower.Row{}}
		a, b, c := New(s, "vm-a", 0), New(s, "vm-b", 0), New(s, "vm-c", 0)
		ctx := t.Context()
		claim := func(claimer *Claimer) ClaimResult {
			t.Helper()
			r, err := claimer.Claim(ctx, "g", 4)
			if err != nil {
				t.Fatal(err)
			}
			return r
		}
		if _, err := b.Claim(ctx, "g", 3); err != nil {
			t.Fatal(err)
		}
		restore := s.copy()
		if _, err := a.Record(ctx, "g", 4, claim(a).FencingToken, "i"); err != nil {
			t.Fatal(err)
		}
		restore()
		for _, o := range []*Claimer{a, b, c} {
			o.RecordRestore(1)
		}
		if r := claim(a); r.ChosenInstance != "i" || !r.MayHaveLostChoice {
			t.Errorf("claim of the VM with the choice is %+v, want its choice, and that a later one may have been lost", r)
		}
		expire := func(other *Claimer) {
			_, _ = other.Claim(ctx, "g", 4) // sees the claim of another VM
			time.Sleep(claimTTL)
		}
		expire(b)
		r := claim(b)
		if r.ChosenInstance != "i" || !r.MayHaveLostChoice {
			t.Errorf("claim of another VM is %+v, want the choice that was written again, and that a later one may have been lost", r)
		}
		if _, err := b.Record(ctx, "g", 4, r.FencingToken, "i"); err != nil {
			t.Fatal(err)
		}
		expire(c)
		if r := claim(c); r.ChosenInstance != "i" || r.MayHaveLostChoice {
			t.Errorf("claim of a third VM is %+v, want the recorded choice, of which none was lost", r)
		}
	})
}

// Guards against replacements that wait long after a restore, and against a VM that starts later and takes the era for a restore.
func TestRestoreLongAgo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &restorableStore{rows: map[string]follower.Row{}, era: 3}
		value, err := json.Marshal(claim{Holder: "vm-x", Term: 1})
		if err != nil {
			t.Fatal(err)
		}
		s.rows["g"] = follower.Row{Key: "g", Value: value, Version: 1}
		s.version = 1
		a, late := New(s, "vm-a", 0), New(s, "vm-b", 0)
		a.RecordRestore(3)
		time.Sleep(restoreWindow)
		if r, err := a.Claim(t.Context(), "g", 2); err != nil || r.MayHaveLostChoice {
			t.Errorf("claim long after the restore: %+v, %v", r, err)
		}
		if r, err := late.Claim(t.Context(), "h", 2); err != nil || r.MayHaveLostChoice {
			t.Errorf("claim of a VM that started later: %+v, %v", r, err)
		}
	})
}

// Guards against a claim, on a platform that doesn't check tokens, while a promote request of a lost claim may be carried out.
func TestUnfencedClaimAfterRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &restorableStore{rows: map[string]follower.Row{}}
		a := New(s, "vm-a", UnfencedRequestLifetime)
		s.copy()()
		a.RecordRestore(1)
		if _, err := a.Claim(t.Context(), "g", 2); !classifier.Is(err, classifier.Conflict) {
			t.Errorf("claim right after the restore: %v, want kind conflict", err)
		}
		time.Sleep(UnfencedRequestLifetime)
		if _, err := a.Claim(t.Context(), "g", 2); err != nil {
			t.Errorf("claim after the lifetime of requests: %v", err)
		}
	})
}
