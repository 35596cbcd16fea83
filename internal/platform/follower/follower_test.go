package follower

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"parsleyscale/internal/failure/classifier"
)

// fakeSource answers feed calls from a script, and without changes once the script has ended.
type fakeSource struct {
	mu          sync.Mutex
	reads       int           // of the whole table
	feedCalls   int           // to Follow
	feedAnswers []feedAnswer  // to the next feed calls
	readGate    chan struct{} // closed when Read may return; nil: it returns at once
}

type feedAnswer struct {
	page Page
	err  error
}

func (f *fakeSource) Read(context.Context, string) (Page, error) {
	f.mu.Lock()
	gate := f.readGate
	f.mu.Unlock()
	if gate != nil {
		<-gate
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reads++
	return Page{Rows: []Row{{Key: "a", Version: 1}}, Version: uint64(f.reads)}, nil
}

func (f *fakeSource) Follow(ctx context.Context, _ string, _ uint64, wait time.Duration) (Page, error) {
	f.mu.Lock()
	f.feedCalls++
	if len(f.feedAnswers) > 0 {
		answer := f.feedAnswers[0]
		f.feedAnswers = f.feedAnswers[1:]
		f.mu.Unlock()
		return answer.page, answer.err
	}
	f.mu.Unlock()
	select {
	case <-time.After(wait):
		return Page{}, nil
	case <-ctx.Done():
		return Page{}, ctx.Err()
	}
}

// TestFollower guards against changes that are missed after the store dropped the history of the feed, and against
// calls in quick succession during an outage of the store.
func TestFollower(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		outage := classifier.New(classifier.PlatformUnavailable, "503")
		src := &fakeSource{feedAnswers: []feedAnswer{
			{page: Page{Rows: []Row{{Key: "b", Version: 2}}, Version: 2}},
			{err: classifier.New(classifier.Conflict, "410")},
			{err: outage}, {err: outage}, {err: outage}, {err: outage}, {err: outage},
		}}
		var wholeCalls, changedCalls, faultCalls int
		follower := Start(Config{
			Source: src, Table: "t",
			OnTable:   func([]Row, uint64) { wholeCalls++ },
			OnChanges: func([]Row, uint64) { changedCalls++ },
			OnFault:   func(error) { faultCalls++ },
		})
		time.Sleep(3 * time.Second)
		follower.Close()
		if wholeCalls != 2 || changedCalls != 1 {
			t.Errorf("%d calls of OnTable and %d of OnChanges, want 2 and 1", wholeCalls, changedCalls)
		}
		if src.feedCalls > 12 {
			t.Errorf("%d feed calls within 3 s, want at most 12", src.feedCalls)
		}
		if faultCalls != 4 { // begin and end of the lost history and of the outage
			t.Errorf("%d calls of OnFault, want 4", faultCalls)
		}
	})
}

// TestMerge guards against a change that is lost, or an older row that replaces a newer one, when a change arrives from
// another VM before the store's feed delivers it.
func TestMerge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		src := &fakeSource{readGate: make(chan struct{})}
		var passedOn []Row
		f := Start(Config{
			Source: src, Table: "t", OnTable: func(rows []Row, _ uint64) { passedOn = append([]Row(nil), rows...) },
			OnChanges: func(rows []Row, _ uint64) { passedOn = append(passedOn, rows...) },
		})
		defer f.Close()
		if f.Merge(Page{Rows: []Row{{Key: "b", Version: 3}}, Version: 3}, false) {
			t.Error("changes were merged before the table was read")
		}
		close(src.readGate)
		synctest.Wait()
		src.mu.Lock()
		src.feedAnswers = []feedAnswer{{page: Page{Rows: []Row{{Key: "b", Version: 2}, {Key: "c", Version: 4}}, Version: 4}}}
		src.mu.Unlock()
		if !f.Merge(Page{Rows: []Row{{Key: "b", Version: 2}, {Key: "b", Version: 3}}, Version: 3}, false) || f.Version() != 3 {
			t.Error("changes of another VM were not merged")
		}
		if f.Merge(Page{Rows: []Row{{Key: "b", Version: 2}}, Version: 2}, true) {
			t.Error("an older table of another VM was merged")
		}
		time.Sleep(2 * initialWait) // the waiting feed call returns, and the next one delivers the other changes
		synctest.Wait()
		var versions []uint64
		for _, r := range passedOn {
			versions = append(versions, r.Version)
		}
		if d := cmp.Diff([]uint64{1, 2, 3, 4}, versions); d != "" {
			t.Errorf("versions of the rows in the order in which they were passed on (-want +got):\n%s", d)
		}
	})
}

// Guards against a wait that does not follow from the latest rows: the first configuration with keys must be followed with the
// short wait at once.
func TestWaitDependsOnRows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		src := &fakeSource{feedAnswers: []feedAnswer{{page: Page{Rows: []Row{{Key: "b", Version: 2}}, Version: 2}}}}
		wait := time.Hour
		f := Start(Config{
			Source: src, Table: "t", OnTable: func([]Row, uint64) {},
			OnChanges: func([]Row, uint64) { wait = time.Second }, Wait: func() time.Duration { return wait },
		})
		time.Sleep(2500 * time.Millisecond)
		f.Close()
		if src.feedCalls != 4 {
			t.Errorf("%d feed calls within 2.5 s, want 4: one that is answered at once, and one each second", src.feedCalls)
		}
	})
}

// Guards against changes that a VM has missed without knowing it: of a table that is read again, and of another VM that missed them.
func TestGap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var gaps []uint64
		f := Start(Config{
			Source: &fakeSource{}, Table: "t", OnTable: func([]Row, uint64) {}, OnChanges: func([]Row, uint64) {},
			OnGap: func(version uint64) { gaps = append(gaps, version) },
		})
		defer f.Close()
		synctest.Wait()
		first := f.Version()
		row := func(version uint64) []Row { return []Row{{Key: "b", Version: version}} }
		none := func(Page) []Row { return nil }
		for _, c := range []struct {
			name  string
			merge func(version uint64)
			want  bool
		}{
			{"all changes", func(v uint64) { f.Merge(Page{Rows: row(v), Version: v}, false) }, false},
			{"changes of a VM that missed some of them", func(v uint64) { f.Merge(Page{Rows: row(v), Version: v, Gap: v}, false) }, true},
			{"changes of a VM that missed earlier ones", func(v uint64) { f.Merge(Page{Rows: row(v), Version: v, Gap: v - 1}, false) }, false},
			{"the whole table of another VM", func(v uint64) { f.Merge(Page{Rows: row(v), Version: v}, true) }, true},
			{"the table after the changes", func(v uint64) { f.MergeTable(Page{Rows: row(v), Version: v}, none) }, false},
			{"the table without the changes", func(v uint64) { f.MergeTable(Page{Rows: row(v), Version: v, Gap: v}, none) }, true},
		} {
			version := f.Version() + 1
			gaps = nil
			c.merge(version)
			if (len(gaps) > 0) != c.want || f.Version() != version {
				t.Errorf("%s: gaps %v at version %d, want one: %t", c.name, gaps, f.Version(), c.want)
			}
		}
		if first == 0 || len(gaps) != 1 {
			t.Errorf("version %d, gaps %v; want a gap at the last table only", first, gaps)
		}
	})
}

// Guards against a follower that repeats a call whose answer it cannot use: it stayed behind although the table could be read.
func TestUnusableAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tooLong := classifier.New(classifier.AnswerIncomplete, "response exceeds the limit")
		src := &fakeSource{reads: 4, feedAnswers: []feedAnswer{{err: tooLong}}}
		var tables []uint64
		gaps := 0
		f := Start(Config{
			Source: src, Table: "t", OnTable: func(_ []Row, version uint64) { tables = append(tables, version) },
			OnChanges: func([]Row, uint64) {}, OnGap: func(uint64) { gaps++ },
		})
		time.Sleep(2 * DefaultMinPause)
		f.Close()
		if d := cmp.Diff([]uint64{5, 6}, tables); d != "" {
			t.Errorf("versions of the tables that were read (-want +got):\n%s", d)
		}
		if gaps != 1 {
			t.Errorf("%d gaps, want 1: the table does not show rows that were written and removed", gaps)
		}
	})
}

// Guards against changes of other VMs that are not merged while the answers of the store cannot be used.
func TestMergeWhileAnswersAreUnusable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tooLong := classifier.New(classifier.AnswerIncomplete, "response exceeds the limit")
		src := &fakeSource{feedAnswers: []feedAnswer{{err: tooLong}, {err: tooLong}, {err: tooLong}}}
		f := Start(Config{Source: src, Table: "t", OnTable: func([]Row, uint64) {}, OnChanges: func([]Row, uint64) {}})
		defer f.Close()
		synctest.Wait()
		src.mu.Lock()
		src.readGate = make(chan struct{})
		gate := src.readGate
		src.mu.Unlock()
		time.Sleep(2 * DefaultMinPause)
		if !f.Merge(Page{Rows: []Row{{Key: "b", Version: 3}}, Version: 3}, false) {
			t.Error("a change of another VM was not merged")
		}
		close(gate)
	})
}
