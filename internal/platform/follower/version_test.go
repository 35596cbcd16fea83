package follower

import (
	"testing"
	"testing/synctest"
	"time"

	"parsleyscale/internal/failure/classifier"
)

// Guards against versions that are lower than those of an earlier era, or equal to them, after the store was restored, and
// against other numbers than before where the store names no era.
func TestVersionOrder(t *testing.T) {
	ordered := []uint64{VersionAt(0, 1), VersionAt(0, 5_000_000), VersionAt(1, 4_990_000), VersionAt(1, 4_990_001), VersionAt(3, 4_980_000)}
	for k, v := range ordered {
		if k > 0 && (v <= ordered[k-1] || Ordinal(v) <= Ordinal(ordered[k-1])) {
			t.Errorf("version %d (ordinal %d) does not follow %d (ordinal %d)", v, Ordinal(v), ordered[k-1], Ordinal(ordered[k-1]))
		}
	}
	if v := VersionAt(0, 1<<34); v != 1<<34 || Ordinal(v) != v {
		t.Errorf("version and ordinal in era 0 are %d and %d, want the store's version %d", v, Ordinal(v), uint64(1<<34))
	}
	if v := Before(VersionAt(2, 7), 300); v != VersionAt(2, 0) {
		t.Errorf("300 before version 7 of era 2 is %d, want the beginning of the era", v)
	}
}

// Guards against a table of one era that is joined with changes of another one, against an older copy of the store that is
// ignored because its version is lower, and against a late answer of the previous era.
func TestFollowerOfRestoredStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		src := &fakeSource{}
		var table []Row
		f := Start(Config{Source: src, Table: "t", OnTable: func(rows []Row, _ uint64) { table = rows }, OnChanges: func(rows []Row, _ uint64) { table = append(table, rows...) }})
		defer f.Close()
		synctest.Wait()
		f.Merge(Page{Rows: []Row{{Key: "lost", Version: 9}}, Version: 9}, false)
		restored := Page{Rows: []Row{{Key: "a", Version: VersionAt(1, 4)}}, Version: VersionAt(1, 4)}
		if f.Merge(Page{Rows: []Row{{Key: "b", Version: VersionAt(1, 5)}}, Version: VersionAt(1, 5)}, false) {
			t.Error("changes of the new era were joined with a table of the previous one")
		}
		if !f.Merge(restored, true) || len(table) != 1 || table[0].Key != "a" || f.Version() != restored.Version {
			t.Errorf("a restored table with a lower number than the copy: table %v at version %d, want that of the new era", table, f.Version())
		}
		for _, late := range []bool{true, false} {
			if f.Merge(Page{Rows: []Row{{Key: "lost", Version: 12}}, Version: 12}, late) {
				t.Errorf("an answer of the previous era was merged, whole %t", late)
			}
		}
		if f.MergeTable(Page{Rows: []Row{{Key: "lost", Version: 12}}, Version: 12}, func(Page) []Row { return nil }) {
			t.Error("a table of the previous era was merged")
		}
		f.MergeTable(Page{Rows: []Row{{Key: "z", Version: VersionAt(2, 3)}}, Version: VersionAt(2, 3)}, func(Page) []Row {
			t.Error("a table of a new era was taken for changes of the copy")
			return nil
		})
		if len(table) != 1 || table[0].Key != "z" {
			t.Errorf("table is %v after a read of the next era, want its row z", table)
		}
	})
}

// Guards against a read that began before the store was restored and ends after the copy reached the new era.
func TestLateTableOfPreviousEra(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		src := &fakeSource{feedAnswers: []feedAnswer{{err: classifier.New(classifier.Conflict, "410")}}}
		var version uint64
		f := Start(Config{Source: src, Table: "t", OnTable: func(_ []Row, v uint64) { version = v }, OnChanges: func([]Row, uint64) {}})
		defer f.Close()
		synctest.Wait()
		src.mu.Lock()
		src.readGate = make(chan struct{})
		src.mu.Unlock()
		time.Sleep(time.Second) // the history is gone, and the next read waits
		f.Merge(Page{Version: VersionAt(1, 4)}, true)
		f.invalidate()
		close(src.readGate)
		synctest.Wait()
		if version != VersionAt(1, 4) {
			t.Errorf("version of the table is %d, want that of the new era", version)
		}
	})
}
