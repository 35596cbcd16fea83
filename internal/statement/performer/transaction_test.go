package performer

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/sheet/cataloger"
	"parsleyscale/internal/statement/carrier"
)

// Guards against a commit that runs without the session value that was set after the last statement of the transaction.
func TestCommitWithSessionValues(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeGroup(3, 10*time.Millisecond)
		v := newFakeVM(f, 4)
		defer v.pool.Close()
		tx := v.Begin(v.request(cataloger.Current, carrier.Begin), false)
		if r := tx.Run(t.Context(), v.request(cataloger.Current, carrier.Write)); !r.OK() {
			t.Fatalf("the write failed: %+v", r)
		}
		commit := v.request(cataloger.Current, carrier.Commit)
		commit.SessionValues = map[string]string{"tag": "desk"}
		if r, p := tx.Commit(t.Context(), commit); !r.OK() || p.IsZero() {
			t.Errorf("the commit failed: %+v", r)
		}
		f.mu.Lock()
		defer f.mu.Unlock()
		if want := []carrier.Verb{carrier.Begin, carrier.Write, carrier.Set, carrier.Commit}; !slices.Equal(f.verbs, want) {
			t.Errorf("the instance carried out %v, want %v", f.verbs, want)
		}
	})
}

// Guards against a write or a commit that is answered as of unknown outcome although it was not sent, since the instance did not answer
// the session value ahead of it.
func TestLostSessionValue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeGroup(3, 10*time.Millisecond)
		v := newFakeVM(f, 4)
		defer v.pool.Close()
		tx := v.Begin(v.request(cataloger.Current, carrier.Begin), false)
		if r := tx.Run(t.Context(), v.request(cataloger.Current, carrier.Write)); !r.OK() {
			t.Fatalf("the write failed: %+v", r)
		}
		f.mu.Lock()
		f.loses = carrier.Set
		f.mu.Unlock()
		write, commit := v.request(cataloger.Current, carrier.Write), v.request(cataloger.Current, carrier.Commit)
		write.SessionValues, commit.SessionValues = map[string]string{"tag": "desk"}, map[string]string{"tag": "desk"}
		if r, _ := tx.Commit(t.Context(), commit); r.Kind != classifier.NotRun {
			t.Errorf("the commit is answered %+v, want kind notRun", r)
		}
		if r := v.Write(t.Context(), write); r.Kind != classifier.Overloaded {
			t.Errorf("the write is answered %+v, want kind overloaded", r)
		}
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.verbs[len(f.verbs)-1] != carrier.Set || slices.Contains(f.verbs, carrier.Commit) {
			t.Errorf("the instance carried out %v, want no commit, and no write at the end", f.verbs)
		}
	})
}
