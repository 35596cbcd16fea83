package replicator

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/platform/follower"
)

// startRefreshedCopy returns a refresher whose copy of table t follows a store.
func startRefreshedCopy(t *testing.T, store *silentFeed) *Refresher {
	t.Helper()
	c := NewTableCopy(DefaultFreshness)
	f := follower.Start(follower.Config{Source: store, Table: "t", OnTable: c.Replace, OnChanges: c.Apply})
	t.Cleanup(f.Close)
	for f.Version() == 0 {
		time.Sleep(time.Millisecond)
	}
	return &Refresher{Store: store, Table: "t", Copy: c, Follower: f, ArePeersKnown: func() bool { return true }}
}

// silentFeed answers reads of the whole table, but no feed calls.
type silentFeed struct{ pages chan follower.Page }

func (s *silentFeed) Read(context.Context, string) (follower.Page, error) { return <-s.pages, nil }

func (s *silentFeed) Follow(ctx context.Context, _ string, _ uint64, _ time.Duration) (follower.Page, error) {
	<-ctx.Done()
	return follower.Page{}, ctx.Err()
}

// Guards against a refresh that misses a change, and against one that drops the history which other VMs follow.
func TestRefresh(t *testing.T) {
	store := &silentFeed{pages: make(chan follower.Page, 1)}
	store.pages <- follower.Page{Rows: rows(5, "a", "b"), Version: 5}
	r := startRefreshedCopy(t, store)
	store.pages <- follower.Page{Rows: append(rows(9, "c"), rows(5, "b")...), Version: 9}
	if err := r.Refresh(t.Context()); err != nil {
		t.Fatal(err)
	}
	p, ok := r.Copy.delta(5)
	if !ok || p.IsWhole || len(p.Rows) != 2 || r.Follower.Version() != 9 {
		t.Fatalf("changes after version 5: %+v, at version %d; want the new row c and the removal of a, at version 9", p, r.Follower.Version())
	}
	if _, ok := r.Copy.rows["a"]; ok || len(r.Copy.rows) != 2 {
		t.Errorf("rows %+v, want b and c", r.Copy.rows)
	}
	store.pages <- follower.Page{Rows: rows(5, "a", "b"), Version: 7}
	if err := r.Refresh(t.Context()); err != nil || r.Follower.Version() != 9 || len(r.Copy.rows) != 2 {
		t.Errorf("an older table of the store was applied: rows %+v, %v", r.Copy.rows, err)
	}
}

// failingStore answers no call.
type failingStore struct{ follower.Source }

func (failingStore) Read(context.Context, string) (follower.Page, error) {
	return follower.Page{}, classifier.New(classifier.PlatformUnavailable, "503")
}

func (failingStore) Follow(context.Context, string, uint64, time.Duration) (follower.Page, error) {
	return follower.Page{}, classifier.New(classifier.PlatformUnavailable, "503")
}

// Guards against a VM without the store that takes its copy for complete although another VM, or the store, knows of a row
// that it lacks.
func TestRefreshThroughPeers(t *testing.T) {
	const dead = "127.0.0.1:1"
	reaching, knowing, silent, restored := "reaching", "knowing", "silent", "restored"
	for _, c := range []struct {
		name     string
		peers    []string
		wantErr  bool
		wantRows int
	}{
		{"the store answers another VM", []string{dead, dead, dead, reaching}, false, 2},
		{"the store answers nobody, and another VM knows more", []string{silent, knowing, silent}, false, 2},
		{"the store answers nobody", []string{silent, silent, dead}, false, 1},
		{"half of the VMs do not answer", []string{silent, dead, dead}, true, 1},
		{"a VM alone", nil, false, 1},
		{"the store answers another VM just after a restore", []string{silent, silent, restored}, true, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			start := func(keys ...string) *Refresher {
				store := &silentFeed{pages: make(chan follower.Page, 2)}
				store.pages <- follower.Page{Rows: rows(5, keys[:1]...), Version: 5}
				r := startRefreshedCopy(t, store)
				r.Client = http.DefaultClient
				if len(keys) > 1 {
					r.Follower.Merge(follower.Page{Rows: rows(6, keys[1:]...), Version: 6}, false)
				}
				r.Store = failingStore{}
				return r
			}
			peers := map[string]*Refresher{silent: start("a"), knowing: start("a", "b"), reaching: start("a"), restored: start("a")}
			for _, name := range []string{reaching, restored} {
				store := &silentFeed{pages: make(chan follower.Page, 1)}
				store.pages <- follower.Page{Rows: append(rows(5, "a"), rows(7, "b")...), Version: 7}
				peers[name].Store = store
			}
			peers[restored].IsComplete = func() bool { return false }
			r := start("a")
			r.Peers = func() []string {
				var addresses []string
				for _, name := range c.peers {
					if p, ok := peers[name]; ok {
						s := httptest.NewServer(p)
						t.Cleanup(s.Close)
						name = s.Listener.Addr().String()
					}
					addresses = append(addresses, name)
				}
				return addresses
			}
			if err := r.Refresh(t.Context()); (err != nil) != c.wantErr {
				t.Errorf("Refresh = %v, want an error: %t", err, c.wantErr)
			}
			if p, _ := r.Copy.delta(0); len(p.Rows) != c.wantRows {
				t.Errorf("%d rows after Refresh, want %d", len(p.Rows), c.wantRows)
			}
		})
	}
}

// answeringFeed is a store with a table of a version and the changes that led to it.
type answeringFeed struct {
	table, changes follower.Page
	err            error // of feed calls after the first table
}

func (s *answeringFeed) Read(context.Context, string) (follower.Page, error) { return s.table, nil }

func (s *answeringFeed) Follow(ctx context.Context, _ string, _ uint64, wait time.Duration) (follower.Page, error) {
	if wait > 0 {
		<-ctx.Done()
		return follower.Page{}, ctx.Err()
	}
	return s.changes, s.err
}

// Guards against a row that is written and removed before a refresh, and that neither this VM nor those that follow its copy hear of.
func TestRefreshFindsRemovedRow(t *testing.T) {
	for _, c := range []struct {
		name     string
		err      error // of the feed
		wantRows int   // changes after the first table that the copy keeps
		wantGap  uint64
	}{
		{"the feed answers", nil, 2, 0},
		{"the history is too short", classifier.New(classifier.Conflict, "410"), 0, 9},
	} {
		t.Run(c.name, func(t *testing.T) {
			removed := follower.Row{Key: "b", Version: 8, IsRemoved: true}
			store := &answeringFeed{table: follower.Page{Rows: rows(5, "a"), Version: 5}, err: c.err}
			copied := NewTableCopy(DefaultFreshness)
			var gap uint64
			f := follower.Start(follower.Config{Source: store, Table: "t", OnTable: copied.Replace, OnChanges: copied.Apply, OnGap: func(version uint64) {
				gap = version
				copied.RecordGap(version)
			}})
			defer f.Close()
			for f.Version() == 0 {
				time.Sleep(time.Millisecond)
			}
			store.table.Version = 9
			store.changes = follower.Page{Rows: append(rows(7, "b"), removed), Version: 9}
			r := &Refresher{Store: store, Table: "t", Copy: copied, Follower: f}
			if err := r.Refresh(t.Context()); err != nil {
				t.Fatal(err)
			}
			if gap != c.wantGap || f.Version() != 9 {
				t.Errorf("gap %d at version %d, want %d at version 9", gap, f.Version(), c.wantGap)
			}
			copied.ConfirmFresh()
			p, _, err := copied.freshChanges(5)
			if err != nil || len(p.Rows) != c.wantRows || p.Gap != c.wantGap {
				t.Errorf("another VM gets %+v, error %v; want %d rows and gap %d", p, err, c.wantRows, c.wantGap)
			}
			if got := newPage(p).followerPage().Gap; got != c.wantGap {
				t.Errorf("the wire form has gap %d, want %d", got, c.wantGap)
			}
			if p, _, err := copied.freshChanges(9); err != nil || p.Gap != 0 {
				t.Errorf("a VM that has all gets gap %d, error %v; want none", p.Gap, err)
			}
		})
	}
}
