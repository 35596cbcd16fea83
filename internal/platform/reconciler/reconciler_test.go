package reconciler

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"parsleyscale/internal/platform/follower"
	"parsleyscale/internal/sheet/cataloger"
)

func entry(version uint64, id, address string, startedAtMs int64) Entry {
	return Entry{ID: id, Version: version, Instance: &cataloger.Instance{ID: id, Address: address, StartedAtMs: startedAtMs}}
}

func addresses(r Registry) map[string]string {
	m := map[string]string{}
	for id, i := range r.Instances() {
		m[id] = i.Address
	}
	return m
}

// Guards against the use of entries of a restored table that are earlier than what the VM knows, and against entries that stay
// unused after their instance has written them again.
func TestRestoredTable(t *testing.T) {
	at := func(number uint64) uint64 { return follower.VersionAt(1, number) }
	before := Registry{}.WithTable([]Entry{entry(1, "kept", "k", 1), entry(2, "left", "l", 1), entry(3, "moved", "old", 1), entry(4, "draining", "d", 1)}, 9)
	before = before.WithChanges([]Entry{{ID: "left", Version: 10}, entry(11, "moved", "new", 5), entry(12, "late", "lost", 6)})
	restored := []Entry{entry(at(1), "kept", "k", 1), entry(at(2), "left", "l", 1), entry(at(3), "moved", "old", 1), entry(at(4), "draining", "d", 1), entry(at(8), "unseen", "u", 2)}
	r := before.WithTable(restored, at(9))
	want := map[string]string{"kept": "k", "moved": "new", "draining": "d", "unseen": "u"}
	if d := cmp.Diff(want, addresses(r)); d != "" || r.OutdatedCount() != 2 {
		t.Errorf("first table of the new era, %d outdated (-want +got):\n%s", r.OutdatedCount(), d)
	}
	again := r.WithTable(restored, at(9)).WithChanges([]Entry{entry(at(3), "moved", "old", 1)})
	if d := cmp.Diff(want, addresses(again)); d != "" {
		t.Errorf("the same table once more (-want +got):\n%s", d)
	}
	next := again.WithChanges([]Entry{entry(at(10), "moved", "new", 5), entry(at(11), "left", "l", 1), entry(at(12), "late", "lost", 6)})
	want["left"], want["late"] = "l", "lost"
	if d := cmp.Diff(want, addresses(next)); d != "" || next.OutdatedCount() != 0 {
		t.Errorf("entries that were written again, %d outdated (-want +got):\n%s", next.OutdatedCount(), d)
	}
	twice := r.WithTable([]Entry{entry(follower.VersionAt(2, 2), "left", "l", 1)}, follower.VersionAt(2, 5))
	if d := cmp.Diff(map[string]string{}, addresses(twice)); d != "" {
		t.Errorf("table of another restore (-want +got):\n%s", d)
	}
}

// Guards against an instance that has left with a table of the same era, such as one that is read after the history is gone, and is
// used again after a restore, and against a memory that grows with each departure.
func TestDepartedAreRemembered(t *testing.T) {
	r := Registry{}.WithTable([]Entry{entry(1, "a", "a", 1)}, 1).WithTable(nil, 2)
	for k := range uint64(maxDeparted - 1) {
		id := string(rune('b' + k))
		r = r.WithChanges([]Entry{entry(3+k, id, "x", 1)}).WithChanges([]Entry{{ID: id, Version: 4 + k}})
	}
	if got := r.WithTable([]Entry{entry(follower.VersionAt(1, 1), "a", "a", 1)}, follower.VersionAt(1, 1)); len(got.Instances()) > 0 {
		t.Errorf("%v in use, want none", addresses(got))
	}
	r = r.WithChanges([]Entry{entry(1000, "z2", "x", 1)}).WithChanges([]Entry{{ID: "z2", Version: 1001}})
	if len(r.departed) != maxDeparted {
		t.Errorf("%d departed instances are remembered, want %d", len(r.departed), maxDeparted)
	}
}

// Guards against a replica that joins and leaves while a VM gets no news, and that the VM never hears of, since the changes arrive at once.
func TestUnseen(t *testing.T) {
	r := Registry{}.WithTable([]Entry{entry(1, "a", "a", 1)}, 1)
	in := func(e Entry, group string) Entry {
		i := *e.Instance
		i.Group = group
		e.Instance = &i
		return e
	}
	joined, again := in(entry(2, "b", "b", 2), "g"), in(entry(4, "b", "b", 4), "g")
	left := Entry{ID: "b", Version: 3}
	for _, c := range []struct {
		name       string
		changes    []Entry
		wantGroups []string
		wantOK     bool
	}{
		{"none", nil, nil, true},
		{"one joins", []Entry{joined}, nil, true},
		{"one changes after it has joined", []Entry{joined, joined}, nil, true},
		{"one joins and leaves", []Entry{joined, left}, []string{"g"}, true},
		{"one joins, leaves and joins again", []Entry{joined, left, again}, []string{"g"}, true},
		{"one joins and restarts", []Entry{joined, again}, []string{"g"}, true},
		{"a known one leaves", []Entry{{ID: "a", Version: 2}}, nil, true},
		{"one leaves that was never there", []Entry{left}, nil, false},
		{"the entry of an unknown one is unusable", []Entry{{ID: "b", Version: 2, IsUnusable: true}}, nil, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			groups, ok := r.Unseen(c.changes)
			if !cmp.Equal(groups, c.wantGroups) || ok != c.wantOK {
				t.Errorf("groups %v, %t; want %v, %t", groups, ok, c.wantGroups, c.wantOK)
			}
		})
	}
}
