package replicator

import (
	"bytes"
	"context"
	"encoding/gob"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/platform/follower"
)

// restoredRows returns rows of era 1.
func restoredRows(number uint64, keys ...string) []follower.Row {
	return rows(follower.VersionAt(1, number), keys...)
}

// Guards against a VM that stays with the table of before a restore because the reader's version is lower, and against one that
// follows a reader which hasn't noticed the restore yet and sends nothing.
func TestReaderOfOtherEra(t *testing.T) {
	c := NewTableCopy(DefaultFreshness)
	c.ConfirmFresh()
	c.Replace(rows(9, "lost"), 9)
	store := &fakeStore{page: follower.Page{Rows: restoredRows(4, "a"), Version: follower.VersionAt(1, 4)}}
	s := &Source{Store: store, Readers: fixedReaders(serveCopy(t, c)), Client: http.DefaultClient, PreferReaders: func() bool { return true }}
	if p, err := s.Follow(t.Context(), "t", follower.VersionAt(1, 4), 20*time.Millisecond); err != nil || store.calls != 1 || p.Version != store.page.Version {
		t.Errorf("VM of the new era: %+v, %v, %d calls to the store; want the answer of the store", p, err, store.calls)
	}
	time.Sleep(refusingReaderBackoff)
	c.Replace(restoredRows(4, "a"), follower.VersionAt(1, 4))
	if _, err := s.Follow(t.Context(), "t", 9, 0); !classifier.Is(err, classifier.Conflict) || store.calls != 1 {
		t.Errorf("changes after a version of the previous era: %v, %d calls to the store; want kind conflict without a call", err, store.calls)
	}
	p, err := s.ReadAgain(t.Context(), "t")
	if err != nil || p.Version != follower.VersionAt(1, 4) || p.Rows[0].Version != follower.VersionAt(1, 4) {
		t.Errorf("table of the reader is %+v, %v; want its era", p, err)
	}
}

// Guards against changes of the previous era that arrive after the copy was replaced and join the two eras.
func TestHistoryOfPreviousEra(t *testing.T) {
	c := NewTableCopy(DefaultFreshness)
	c.Replace(restoredRows(4, "a"), follower.VersionAt(1, 4))
	c.ExtendHistory(2, rows(7, "lost"))
	if p, ok := c.delta(5); !ok || !p.IsWhole || len(p.Rows) != 1 {
		t.Errorf("VM of the previous era gets %+v, want the whole table", p)
	}
}

// earlierPage is the page of the software before eras.
type earlierPage struct {
	Rows        []follower.Row
	Version     uint64
	IsConfirmed bool
	IsWhole     bool
}

// Guards against answers that VMs with the software before eras cannot read, or take for versions of a much later time.
func TestPageOfEarlierSoftware(t *testing.T) {
	var b bytes.Buffer
	if err := gob.NewEncoder(&b).Encode(newPage(follower.Page{Rows: restoredRows(3, "a"), Version: follower.VersionAt(1, 4)})); err != nil {
		t.Fatal(err)
	}
	var old earlierPage
	if err := gob.NewDecoder(&b).Decode(&old); err != nil || old.Version != 4 || old.Rows[0].Version != 3 {
		t.Errorf("earlier software reads %+v, %v; want the numbers of the store", old, err)
	}
	b.Reset()
	if err := gob.NewEncoder(&b).Encode(earlierPage{Rows: rows(3, "a"), Version: 4}); err != nil {
		t.Fatal(err)
	}
	var p page
	if err := gob.NewDecoder(&b).Decode(&p); err != nil || p.followerPage().Version != 4 {
		t.Errorf("page of earlier software is %+v, %v; want version 4 of era 0", p, err)
	}
}

// Guards against VMs that end with different tables after a restore: one that read the new copy, one that still has the older one,
// and one that was cut off, whichever of them sends its late answer last.
func TestVMsConverge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		type vm struct {
			copy     *TableCopy
			follower *follower.Follower
		}
		start := func(table []follower.Row, version uint64) vm {
			c := NewTableCopy(DefaultFreshness)
			f := follower.Start(follower.Config{Source: silentSource{}, Table: "t", OnTable: c.Replace, OnChanges: c.Apply})
			f.Merge(follower.Page{Rows: table, Version: version}, true)
			return vm{c, f}
		}
		vms := []vm{
			start(restoredRows(4, "a"), follower.VersionAt(1, 4)),
			start(rows(9, "a", "lost"), 9),
			start(rows(2, "a", "gone"), 2),
		}
		vms[0].follower.Merge(follower.Page{Rows: restoredRows(6, "b"), Version: follower.VersionAt(1, 6)}, false)
		for range 2 {
			for from := range vms {
				for to := range vms {
					if p, ok := vms[from].copy.delta(vms[to].follower.Version()); ok {
						vms[to].follower.Merge(p.followerPage(), p.IsWhole)
					}
				}
			}
		}
		for k, m := range vms {
			if r := m.copy.rows; len(r) != 2 || r["a"].Version != follower.VersionAt(1, 4) || r["b"].Version != follower.VersionAt(1, 6) || m.follower.Version() != follower.VersionAt(1, 6) {
				t.Errorf("VM %d ends with %v at version %d", k, r, m.follower.Version())
			}
			m.follower.Close()
		}
	})
}

// silentSource never answers.
type silentSource struct{}

func (silentSource) Read(ctx context.Context, _ string) (follower.Page, error) {
	<-ctx.Done()
	return follower.Page{}, ctx.Err()
}

func (silentSource) Follow(ctx context.Context, _ string, _ uint64, _ time.Duration) (follower.Page, error) {
	<-ctx.Done()
	return follower.Page{}, ctx.Err()
}

// Guards against a VM that starts, or was cut off, and keeps the older configuration of the restored store although other VMs
// have a later one in force.
func TestRowInForceIsExchanged(t *testing.T) {
	c := NewTableCopy(DefaultFreshness)
	c.ConfirmFresh()
	c.Replace(restoredRows(4, "older"), follower.VersionAt(1, 4))
	c.SetInForce(InForce{Key: "config", Value: []byte("v7"), Version: 7})
	mux := http.NewServeMux()
	h := &Handler{Copies: map[string]*TableCopy{"t": c}}
	mux.Handle(CopyPath, h)
	mux.HandleFunc(ChangesPath, h.ServeChanges)
	server := httptest.NewServer(mux)
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	received := ""
	known := uint64(6)
	e := Exchange{Table: "t", Version: func() uint64 { return known }, OnRow: func(r follower.Row) { received += string(r.Value); known = 7 }}
	expect := func(way, want string) {
		t.Helper()
		if received != want {
			t.Errorf("%s: received %q, want %q", way, received, want)
		}
		received = ""
	}
	s := &Source{Store: &fakeStore{}, Readers: fixedReaders(address), Client: http.DefaultClient, PreferReaders: func() bool { return true }, Exchange: e}
	if _, err := s.Follow(t.Context(), "t", follower.VersionAt(1, 4), time.Second); err != nil {
		t.Fatal(err)
	}
	expect("changes of a reader", "v7")
	if _, err := s.Follow(t.Context(), "t", follower.VersionAt(1, 4), 10*time.Millisecond); err != nil {
		t.Fatal(err)
	}
	expect("the same version", "")
	known = 6
	if _, err := s.ReadAgain(t.Context(), "t"); err != nil {
		t.Fatal(err)
	}
	expect("table of a reader", "v7")
	known = 6
	e.Ask(t.Context(), http.DefaultClient, []string{"127.0.0.1:1", address}, follower.VersionAt(1, 4), time.Second)
	expect("answer at the start", "v7")
	e.Ask(t.Context(), http.DefaultClient, []string{address}, follower.VersionAt(1, 4), time.Second)
	expect("answer to a VM that has it", "")
}
