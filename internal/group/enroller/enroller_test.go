package enroller

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/group/registrar"
	"parsleyscale/internal/platform/follower"
	"parsleyscale/internal/session/tokenizer"
	"parsleyscale/internal/sheet/cataloger"
)

// fakeStore is a Store with one row.
type fakeStore struct {
	mu       sync.Mutex
	row      follower.Row
	err      error // of each call
	hidesRow bool  // a conflict is answered without the row
	swaps    int
}

func (s *fakeStore) Swap(_ context.Context, _, key string, value []byte, version uint64) (uint64, follower.Row, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.swaps++
	switch {
	case s.err != nil:
		return 0, follower.Row{}, s.err
	case s.row.Version != version && s.hidesRow:
		return 0, follower.Row{}, classifier.New(classifier.Conflict, "version is %d", s.row.Version)
	case s.row.Version != version:
		return 0, s.row, classifier.New(classifier.Conflict, "version is %d", s.row.Version)
	}
	s.row = follower.Row{Key: key, Value: value, Version: s.row.Version + 60}
	return s.row.Version, follower.Row{}, nil
}

func (s *fakeStore) ReadFrom(context.Context, string, string, int) (follower.Page, bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return follower.Page{Rows: []follower.Row{s.row}}, true, s.err
}

func (s *fakeStore) setErr(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.err = err
}

// members returns the instances of the stored roster and the number of writes so far.
func (s *fakeStore) state(t *testing.T) (instances string, swaps int) {
	t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	var r registrar.Roster
	if s.row.Version != 0 {
		if err := json.Unmarshal(s.row.Value, &r); err != nil {
			t.Fatal(err)
		}
	}
	var ids []string
	for _, m := range r.Instances {
		ids = append(ids, m.ID)
	}
	return strings.Join(ids, " "), s.swaps
}

// testVM is a VM that keeps the roster of a group.
type testVM struct {
	groups  *registrar.Registrar
	group   *registrar.Group
	samples int // requests for the position of the primary
}

// startVM starts a VM of a rank that knows instances, of which a is the primary. A sample proves its position.
func startVM(t *testing.T, s Store, rank int, ids ...string) *testVM {
	t.Helper()
	start := time.Now().Add(-time.Hour)
	vm := &testVM{groups: registrar.New(func() time.Duration { return time.Since(start) })}
	vm.groups.AssumeDepartures()
	vm.setInstances(ids...)
	vm.group = vm.groups.Group("g")
	var mu sync.Mutex
	e := Start(Config{
		Groups: vm.groups, Store: s, Rank: func(string) int { return rank }, IsReady: func() bool { return true }, IsConfigured: func(string) bool { return true },
		RegistryVersion: func() uint64 { return 100 },
		Sample: func(context.Context, *registrar.Group) error {
			mu.Lock()
			defer mu.Unlock()
			vm.samples++
			vm.group.RecordProof(registrar.Proof{Instance: "a", SentAt: vm.group.Now(), Position: tokenizer.Position{Term: 1, Index: 7}})
			return nil
		},
	})
	t.Cleanup(e.Close)
	return vm
}

func (vm *testVM) setInstances(ids ...string) {
	reg := cataloger.Registry{}
	for _, id := range ids {
		reg[id] = cataloger.Instance{ID: id, Group: "g", Address: id, IsPrimary: id == "a"}
	}
	vm.groups.Update(reg)
}

// Guards against a departed instance that is taken off the roster too soon or never, and against needless calls of the store.
func TestRosterFollowsGroup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{}
		vm := startVM(t, s, 0, "a", "b", "c")
		check := func(when, want string, wantSwaps int) {
			t.Helper()
			if got, swaps := s.state(t); got != want || swaps != wantSwaps {
				t.Errorf("%s: roster %q after %d writes, want %q after %d", when, got, swaps, want, wantSwaps)
			}
		}
		time.Sleep(3 * checkInterval)
		check("at the start", "a b c", 1)
		vm.setInstances("a", "b", "c", "d")
		time.Sleep(2 * checkInterval)
		check("d has joined", "a b c d", 2)
		vm.setInstances("a", "b", "d")
		time.Sleep(absenceRetention)
		vm.group.RemoveMissing()
		check("c has left", "a b c d", 2)
		time.Sleep(absenceRetention + 2*sampleInterval)
		check("c left some time ago", "a b d", 3)
		if vm.samples != 2 {
			t.Errorf("%d samples, want 2: one at the start, one before c is taken off", vm.samples)
		}
		time.Sleep(time.Hour)
		check("an hour later", "a b d", 3)
	})
}

// Guards against VMs that overwrite each other's rosters, and against calls by VMs that need not write.
func TestRosterOfOtherVM(t *testing.T) {
	for _, c := range []struct {
		name       string
		rank       int
		hidesRow   bool
		after      time.Duration
		wantRoster string
		wantSwaps  int
	}{
		{"the VM of rank 0 learns of the roster and adds to it", 0, false, 3 * checkInterval, "a b c d", 2},
		{"the store does not send the row", 0, true, 3 * checkInterval, "a b c d", 2},
		{"the VM of rank 1 waits", 1, false, rankDelay - checkInterval, "a b c", 0},
		{"the VM of rank 1 writes in place of the first", 1, false, 2*rankDelay + 3*checkInterval, "a b c d", 2},
		{"a VM of a higher rank leaves it alone", maxRank + 1, false, time.Minute, "a b c", 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &fakeStore{hidesRow: c.hidesRow}
				b, err := json.Marshal(registrar.Roster{Instances: []registrar.Member{{ID: "a"}, {ID: "b"}, {ID: "c"}}, Floor: tokenizer.Position{Term: 1, Index: 3}, RegistryVersion: 50})
				if err != nil {
					t.Fatal(err)
				}
				s.row = follower.Row{Key: "g", Value: b, Version: 60}
				vm := startVM(t, s, c.rank, "a", "b", "d")
				vm.group.RecordProof(registrar.Proof{Instance: "a", SentAt: vm.group.Now(), Position: tokenizer.Position{Term: 1, Index: 7}})
				time.Sleep(c.after)
				if got, swaps := s.state(t); got != c.wantRoster || swaps != c.wantSwaps {
					t.Errorf("roster %q after %d writes, want %q after %d", got, swaps, c.wantRoster, c.wantSwaps)
				}
			})
		})
	}
}

// Guards against an outage of the store that ends the upkeep of rosters, or in which each VM calls the store again and again.
func TestStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{err: classifier.New(classifier.PlatformUnavailable, "down")}
		startVM(t, s, 0, "a", "b")
		time.Sleep(time.Minute)
		if _, swaps := s.state(t); swaps > 12 {
			t.Errorf("%d calls in a minute of an outage, want at most 12", swaps)
		}
		s.setErr(nil)
		time.Sleep(maxRetryPause + checkInterval)
		if got, _ := s.state(t); got != "a b" {
			t.Errorf("roster %q after the outage, want a and b", got)
		}
	})
}

// Guards against a roster that is trusted although the store, which has been restored from an older copy, may lack later ones,
// and against one that cannot be decoded.
func TestRead(t *testing.T) {
	rows := map[string]follower.Row{
		"":                       {},
		"not JSON":               {Value: []byte("{"), Version: 60},
		"an instance with no ID": {Value: []byte(`{"instances":[{"id":""}],"registryVersion":50}`), Version: 60},
		"of an earlier era":      {Value: []byte(`{"instances":[{"id":"a"}],"registryVersion":50}`), Version: follower.VersionAt(1, 60)},
	}
	for _, name := range slices.Sorted(maps.Keys(rows)) {
		row := rows[name]
		row.Key = "g"
		r, err := Read(t.Context(), &fakeStore{row: row}, "g")
		if err != nil || len(r.Instances) > 0 {
			t.Errorf("%s: roster %+v, error %v; want none", name, r, err)
		}
	}
	r, err := Read(t.Context(), &fakeStore{row: follower.Row{Key: "g", Value: []byte(`{"instances":[{"id":"a"}],"registryVersion":50}`), Version: 60}}, "g")
	if err != nil || len(r.Instances) != 1 {
		t.Errorf("roster %+v, error %v; want one with an instance", r, err)
	}
}
