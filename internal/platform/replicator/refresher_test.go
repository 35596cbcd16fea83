package replicator

import (
	"context"
	"testing"
	"time"

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
	return &Refresher{Store: store, Table: "t", Copy: c, Follower: f}
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
