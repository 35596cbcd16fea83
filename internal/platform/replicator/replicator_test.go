package replicator

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/platform/follower"
)

type fakeStore struct {
	page  follower.Page
	err   error
	calls int
}

func (f *fakeStore) Read(context.Context, string) (follower.Page, error) {
	f.calls++
	return f.page, f.err
}

func (f *fakeStore) Follow(context.Context, string, uint64, time.Duration) (follower.Page, error) {
	f.calls++
	return f.page, f.err
}

func serveCopy(t *testing.T, c *Copy) string {
	s := httptest.NewServer(&Handler{Copies: map[string]*Copy{"t": c}})
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

func rows(version uint64, keys ...string) []follower.Row {
	var list []follower.Row
	for _, k := range keys {
		list = append(list, follower.Row{Key: k, Value: []byte(k), Version: version})
	}
	return list
}

// Guards against changes that are lost or come twice on their way through a reader.
func TestFollowReader(t *testing.T) {
	c := NewCopy()
	c.Hear()
	c.Replace(rows(5, "a", "b"), 5)
	store := &fakeStore{}
	s := &Source{Store: store, Readers: []string{serveCopy(t, c)}, Client: http.DefaultClient, PreferReaders: func() bool { return true }}
	ctx := context.Background()
	p, err := s.Read(ctx, "t")
	if err != nil || len(p.Rows) != 2 || p.Version != 5 {
		t.Fatalf("%+v, %v", p, err)
	}
	time.AfterFunc(50*time.Millisecond, func() {
		c.Apply([]follower.Row{{Key: "a", Version: 7, IsRemoved: true}, {Key: "c", Value: []byte("c"), Version: 8}}, 8)
	})
	p, err = s.Follow(ctx, "t", p.Version, time.Second)
	if err != nil || len(p.Rows) != 2 || !p.Rows[0].IsRemoved || p.Version != 8 {
		t.Fatalf("%+v, %v", p, err)
	}
	if p, err = s.Follow(ctx, "t", 8, 20*time.Millisecond); err != nil || len(p.Rows) != 0 {
		t.Errorf("without a change: %+v, %v", p, err)
	}
	if _, err = s.Follow(ctx, "t", 2, time.Second); !classifier.Is(err, classifier.Conflict) {
		t.Errorf("history that is not kept: %v", err)
	}
	if store.calls != 0 {
		t.Errorf("the store was called %d times beside a reader", store.calls)
	}
}

// Guards against a reader that the store has turned away and that goes on serving
// its old copy: CONFIG on arrieta-plumas trouble-1.
func TestReaderWithoutTheStoreDoesNotServe(t *testing.T) {
	c := NewCopy()
	c.Hear()
	c.Replace(rows(5, "a"), 5)
	store := &fakeStore{page: follower.Page{Rows: rows(9, "z"), Version: 9}}
	s := &Source{Store: store, Readers: []string{serveCopy(t, c)}, Client: http.DefaultClient, PreferReaders: func() bool { return true }}
	time.AfterFunc(30*time.Millisecond, c.Lose)
	start := time.Now()
	if _, err := s.Follow(context.Background(), "t", 5, 2*time.Second); err == nil {
		t.Error("a waiting call was answered by a reader that lost the store")
	}
	if took := time.Since(start); took > time.Second {
		t.Errorf("a lost reader was noticed after %d ms", took.Milliseconds())
	}
	if p, err := s.Read(context.Background(), "t"); err != nil || p.Version != 9 {
		t.Errorf("%+v, %v; want the store's rows", p, err)
	}
}

// Guards against a VM that learns nothing while the store turns it away and serves others.
func TestReaderHelpsOut(t *testing.T) {
	c := NewCopy()
	c.Hear()
	c.Replace(rows(5, "a"), 5)
	store := &fakeStore{err: classifier.New(classifier.PlatformUnavailable, "503")}
	s := &Source{Store: store, Readers: []string{"127.0.0.1:1", serveCopy(t, c)}, Client: http.DefaultClient, PreferReaders: func() bool { return false }}
	if p, err := s.Read(context.Background(), "t"); err != nil || p.Version != 5 {
		t.Errorf("%+v, %v", p, err)
	}
}
