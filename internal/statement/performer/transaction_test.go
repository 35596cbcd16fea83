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

// beginAndWrite returns a VM with a transaction that has written.
func beginAndWrite(t *testing.T) (*fakeGroup, *fakeVM, *Transaction) {
	t.Helper()
	f := newFakeGroup(3, 10*time.Millisecond)
	v := newFakeVM(f, 4)
	tx := v.Begin(v.request(cataloger.Current, carrier.Begin), false)
	if r := tx.Run(t.Context(), v.request(cataloger.Current, carrier.Write)); !r.OK() {
		t.Fatalf("the write failed: %+v", r)
	}
	return f, v, tx
}

// Guards against a commit that runs without the session value that was set after the last statement of the transaction.
func TestCommitWithSessionValues(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, v, tx := beginAndWrite(t)
		defer v.pool.Close()
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
		f, v, tx := beginAndWrite(t)
		defer v.pool.Close()
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

// Guards against a statement that runs on an instance which has refused the session value ahead of it.
func TestInstanceRefusesSessionValue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, v, tx := beginAndWrite(t)
		defer v.pool.Close()
		f.mu.Lock()
		f.refuses, f.verbs = carrier.Set, nil
		f.mu.Unlock()
		request := func(verb carrier.Verb) Request {
			r := v.request(cataloger.Current, verb)
			r.SessionValues = map[string]string{"tag": "desk"}
			return r
		}
		if r := tx.Run(t.Context(), request(carrier.Read)); r.OK() {
			t.Errorf("the read in a transaction is answered %+v, want a refusal", r)
		}
		if r := v.Read(t.Context(), request(carrier.Read)); r.Kind != classifier.Overloaded {
			t.Errorf("the read is answered %+v, want kind overloaded", r)
		}
		if r := v.Write(t.Context(), request(carrier.Write)); r.Kind != classifier.Overloaded {
			t.Errorf("the write is answered %+v, want kind overloaded", r)
		}
		f.mu.Lock()
		defer f.mu.Unlock()
		if slices.Contains(f.verbs, carrier.Read) || slices.Contains(f.verbs, carrier.Write) {
			t.Errorf("the instance carried out %v, want no read and no write", f.verbs)
		}
	})
}
