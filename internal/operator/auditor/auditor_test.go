package auditor

import (
	"context"
	"encoding/json"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/platform/follower"
)

// fakeStore is an in-memory store that can fail before or after a write takes effect.
type fakeStore struct {
	mu               sync.Mutex
	rows             map[string]follower.Row
	version          uint64
	failsBeforeWrite bool
	failsAfterWrite  bool // writes take effect, but their answers are lost
}

func (s *fakeStore) Swap(_ context.Context, _, key string, value []byte, version uint64) (uint64, follower.Row, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failsBeforeWrite {
		return 0, follower.Row{}, classifier.New(classifier.PlatformUnavailable, "store is unavailable")
	}
	if r := s.rows[key]; r.Version != version {
		return 0, r, classifier.New(classifier.Conflict, "row has another version")
	}
	s.version++
	s.rows[key] = follower.Row{Key: key, Value: value, Version: s.version}
	if s.failsAfterWrite {
		return 0, follower.Row{}, classifier.New(classifier.PlatformUnavailable, "answer was lost")
	}
	return s.version, follower.Row{}, nil
}

func (s *fakeStore) setFailures(beforeWrite, afterWrite bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failsBeforeWrite, s.failsAfterWrite = beforeWrite, afterWrite
}

func (s *fakeStore) entries() []Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []follower.Row
	for _, r := range s.rows {
		rows = append(rows, r)
	}
	return Parse(rows)
}

func entryTokens(entries []Entry) []uint64 {
	var tokens []uint64
	for _, e := range entries {
		tokens = append(tokens, e.Token)
	}
	return tokens
}

// Guards against entries of two VMs that overwrite each other, against an entry that is lost while the store is
// unavailable, and against an entry that is written twice because the answer of the store was lost.
func TestRecordUnderStoreFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{rows: map[string]follower.Row{}}
		a, b := Start(s, "vm-a"), Start(s, "vm-b")
		defer a.Close()
		defer b.Close()
		record := func(auditor *Auditor, token uint64) {
			auditor.Record(Entry{Subject: "g", Action: Promote, Instance: "i", Token: token, Outcome: Done})
			time.Sleep(10 * time.Millisecond)
		}
		record(a, 1)
		record(b, 2)
		record(a, 3)
		s.setFailures(true, false)
		record(a, 4)
		time.Sleep(time.Minute)
		s.setFailures(false, true)
		time.Sleep(2 * retryDelay)
		s.setFailures(false, false)
		time.Sleep(2 * retryDelay)
		record(b, 5)
		if diff := cmp.Diff([]uint64{1, 2, 3, 4, 5}, entryTokens(s.entries())); diff != "" {
			t.Errorf("tokens of the entries (-want +got):\n%s", diff)
		}
		if e := s.entries()[1]; e.VM != "vm-b" || e.Subject != "g" {
			t.Errorf("second entry: got %+v, want VM vm-b and subject g", e)
		}
	})
}

// Guards against a row or a queue that grows without limit, and against discarded entries that are not counted. The row
// that cannot be decoded at the start must be replaced.
func TestLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{rows: map[string]follower.Row{"g": {Key: "g", Value: []byte("not JSON"), Version: 1}}, version: 1, failsBeforeWrite: true}
		a := Start(s, "vm")
		defer a.Close()
		const discarded = 10
		for n := range queueLength + 1 + discarded {
			a.Record(Entry{Subject: "g", Action: Promote, Token: uint64(n + 1)})
			time.Sleep(time.Millisecond)
		}
		s.setFailures(false, false)
		time.Sleep(time.Minute)
		a.Record(Entry{Subject: "g", Action: Promote, Token: 1000})
		time.Sleep(time.Second)
		entries := s.entries()
		if len(entries) != maxEntries || entries[maxEntries-1].Token != 1000 || entries[maxEntries-1].Discarded != discarded {
			t.Errorf("got %d entries, the last %+v; want %d, and %d left out before the last", len(entries), entries[len(entries)-1], maxEntries, discarded)
		}
	})
}

// Guards against entries that are missing after the store was restored from an older copy, and against entries that are written
// twice because the copy has them.
func TestWriteAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{rows: map[string]follower.Row{}}
		a := Start(s, "vm-a")
		defer a.Close()
		for token := range uint64(3) {
			a.Record(Entry{Subject: "g", Action: Promote, Instance: "i", Token: token + 1, Outcome: Done})
			time.Sleep(time.Minute)
		}
		s.mu.Lock()
		var first subjectRow
		if err := json.Unmarshal(s.rows["g"].Value, &first); err != nil {
			t.Fatal(err)
		}
		first.Entries = first.Entries[:1]
		value, err := json.Marshal(first)
		if err != nil {
			t.Fatal(err)
		}
		s.rows["g"] = follower.Row{Key: "g", Value: value, Version: 1}
		s.mu.Unlock()
		a.WriteAgain(2*time.Minute + time.Second)
		time.Sleep(time.Second)
		if d := cmp.Diff([]uint64{1, 2, 3}, entryTokens(s.entries())); d != "" {
			t.Errorf("tokens after the restore (-want +got):\n%s", d)
		}
	})
}
