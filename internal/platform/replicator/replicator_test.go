package replicator

import (
	"bytes"
	"context"
	"crypto/sha256"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"parsleyscale/internal/clock/sleeper"

	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/platform/follower"
)

// fakeStore answers every call with the same page and error.
type fakeStore struct {
	page      follower.Page
	err       error
	readDelay time.Duration // until a read of a whole table is answered
	calls     int
}

func (f *fakeStore) Read(ctx context.Context, _ string) (follower.Page, error) {
	f.calls++
	if !sleeper.Sleep(ctx, f.readDelay) {
		return follower.Page{}, ctx.Err()
	}
	return f.page, f.err
}

func (f *fakeStore) Follow(context.Context, string, uint64, time.Duration) (follower.Page, error) {
	f.calls++
	return f.page, f.err
}

// serveCopy serves a copy as table t over HTTP and returns the address of the server.
func serveCopy(t *testing.T, c *TableCopy) string {
	s := httptest.NewServer(&Handler{Copies: map[string]*TableCopy{"t": c}})
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// fixedReaders returns a value of Source.Readers.
func fixedReaders(addresses ...string) func() []string { return func() []string { return addresses } }

// rows returns rows of one version whose values equal their keys.
func rows(version uint64, keys ...string) []follower.Row {
	var list []follower.Row
	for _, k := range keys {
		list = append(list, follower.Row{Key: k, Value: []byte(k), Version: version})
	}
	return list
}

// TestFollowReader guards against changes that are lost or duplicated when a VM follows a reader.
func TestFollowReader(t *testing.T) {
	c := NewTableCopy(DefaultFreshness)
	c.ConfirmFresh()
	c.Replace(rows(5, "a", "b"), 5)
	store := &fakeStore{}
	s := &Source{Store: store, Readers: fixedReaders(serveCopy(t, c)), Client: http.DefaultClient, PreferReaders: func() bool { return true }}
	ctx := context.Background()
	p, err := s.Read(ctx, "t")
	if err != nil || len(p.Rows) != 2 || p.Version != 5 {
		t.Fatalf("read: got %+v, %v; want 2 rows at version 5", p, err)
	}
	time.AfterFunc(50*time.Millisecond, func() {
		c.Apply([]follower.Row{{Key: "a", Version: 7, IsRemoved: true}, {Key: "c", Value: []byte("c"), Version: 8}}, 8)
	})
	p, err = s.Follow(ctx, "t", p.Version, time.Second)
	if err != nil || len(p.Rows) != 2 || !p.Rows[0].IsRemoved || p.Version != 8 {
		t.Fatalf("follow: got %+v, %v; want the removal of a and the new row c at version 8", p, err)
	}
	if p, err = s.Follow(ctx, "t", 8, 20*time.Millisecond); err != nil || len(p.Rows) != 0 {
		t.Errorf("follow without a change: got %+v, %v; want no rows", p, err)
	}
	if store.calls != 0 {
		t.Errorf("%d calls to the store while a reader answers, want 0", store.calls)
	}
	store.page = follower.Page{Rows: rows(3, "d"), Version: 8}
	if p, err = s.Follow(ctx, "t", 2, time.Second); err != nil || len(p.Rows) != 1 || p.Rows[0].Key != "d" {
		t.Errorf("changes that only the store keeps: got %+v, %v; want the row d", p, err)
	}
	store.err = classifier.New(classifier.Conflict, "history is gone")
	if _, err = s.Follow(ctx, "t", 2, time.Second); !classifier.Is(err, classifier.Conflict) {
		t.Errorf("changes that neither the reader nor the store keeps: got error %v, want kind conflict", err)
	}
}

// TestReaderWithoutTheStoreDoesNotServe guards against a reader that goes on serving its stale copy after it lost the
// store. Such a reader violated the check CONFIG in arrieta-plumas trouble-1.
func TestReaderWithoutTheStoreDoesNotServe(t *testing.T) {
	c := NewTableCopy(DefaultFreshness)
	c.ConfirmFresh()
	c.Replace(rows(5, "a"), 5)
	store := &fakeStore{page: follower.Page{Rows: rows(9, "z"), Version: 9}}
	s := &Source{Store: store, Readers: fixedReaders(serveCopy(t, c)), Client: http.DefaultClient, PreferReaders: func() bool { return true }}
	time.AfterFunc(30*time.Millisecond, c.MarkStale)
	start := time.Now()
	if p, err := s.Follow(context.Background(), "t", 5, 2*time.Second); err != nil || p.Version != 9 {
		t.Errorf("got %+v, %v; want version 9 of the store, not the answer of a reader that lost the store", p, err)
	}
	if took := time.Since(start); took > time.Second {
		t.Errorf("the call ended %d ms after its start, want at most 1000 ms", took.Milliseconds())
	}
	if p, err := s.Read(context.Background(), "t"); err != nil || p.Version != 9 {
		t.Errorf("got %+v, %v; want the rows of the store", p, err)
	}
}

// unresponsiveStore never answers, as the store behaves towards a VM whose calls it drops.
type unresponsiveStore struct{}

func (s *unresponsiveStore) Read(ctx context.Context, _ string) (follower.Page, error) {
	<-ctx.Done()
	return follower.Page{}, ctx.Err()
}

func (s *unresponsiveStore) Follow(ctx context.Context, table string, _ uint64, _ time.Duration) (follower.Page, error) {
	return s.Read(ctx, table)
}

// TestAskerBringsChanges guards against a VM, reader or not, that misses changes for as long as the store leaves its
// calls unanswered while it still answers other VMs. This violated the check CONFIG in arrieta-plumas-grown trouble-1,
// where a reader kept the old configuration for 9 s. Of the peers here, one is not running and one is cut off from
// the store as well; they are asked before the one that has the change.
func TestAskerBringsChanges(t *testing.T) {
	staleCopy, currentCopy := NewTableCopy(DefaultFreshness), NewTableCopy(DefaultFreshness)
	for _, c := range []*TableCopy{staleCopy, currentCopy} {
		c.Replace(rows(5, "a"), 5)
	}
	serveChanges := func(c *TableCopy) string {
		s := httptest.NewServer(http.HandlerFunc((&Handler{Copies: map[string]*TableCopy{"t": c}}).ServeChanges))
		t.Cleanup(s.Close)
		return strings.TrimPrefix(s.URL, "http://")
	}
	peers := []string{"127.0.0.1:1", serveChanges(staleCopy), serveChanges(currentCopy)}
	merged := NewTableCopy(DefaultFreshness)
	f := follower.Start(follower.Config{Source: &unresponsiveStore{}, Table: "t", OnTable: merged.Replace, OnChanges: merged.Apply})
	defer f.Close()
	a := StartPuller(PullerConfig{Followers: map[string]*follower.Follower{"t": f}, Peers: func() []string { return peers }, Client: http.DefaultClient})
	defer a.Close()
	await := func(version uint64, limit time.Duration) {
		t.Helper()
		for start := time.Now(); f.Version() < version; time.Sleep(5 * time.Millisecond) {
			if time.Since(start) > limit {
				t.Fatalf("at version %d after %d ms, want %d", f.Version(), limit.Milliseconds(), version)
			}
		}
	}
	await(5, 2500*time.Millisecond) // the whole table, since the store never answers
	currentCopy.Apply(rows(7, "b"), 7)
	await(7, 2500*time.Millisecond)
	if p := merged.allRows(); len(p.Rows) != 2 {
		t.Errorf("got %+v, want the rows a and b", p)
	}
}

// TestReadersThatAllRefuse guards against VMs that do not fall back to the store while all readers refuse because the
// store does not answer them. This violated the check CONFIG in arrieta-plumas-grown trouble-1, where 73 of 85 VMs
// asked three such readers in turn for 4 s and never the store.
func TestReadersThatAllRefuse(t *testing.T) {
	var readers []string
	for range 3 {
		c := NewTableCopy(DefaultFreshness)
		c.Replace(rows(5, "a"), 5)
		readers = append(readers, serveCopy(t, c))
	}
	store := &fakeStore{page: follower.Page{Rows: rows(6, "a"), Version: 6}}
	s := &Source{Store: store, Readers: fixedReaders(readers...), Client: http.DefaultClient, PreferReaders: func() bool { return true }}
	if p, err := s.Follow(context.Background(), "t", 5, time.Second); err != nil || p.Version != 6 {
		t.Errorf("got %+v, %v; want the change of the store", p, err)
	}
}

// TestSilentReaders guards against a VM that gets no changes because the readers do not answer, although the store
// would answer the VM. This violated the check CONFIG in arrieta-plumas-grown trouble-1, where a network partition
// cut off two readers and the store did not answer the third.
func TestSilentReaders(t *testing.T) {
	release := make(chan struct{})
	var requests atomic.Int32
	unresponsive := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		requests.Add(1)
		<-release
	}))
	defer unresponsive.Close()
	defer close(release)
	store := &fakeStore{page: follower.Page{Rows: rows(6, "a"), Version: 6}}
	address := strings.TrimPrefix(unresponsive.URL, "http://")
	s := &Source{Store: store, Readers: fixedReaders(address, address+"?2", address+"?3"), Client: http.DefaultClient, PreferReaders: func() bool { return true }}
	start := time.Now()
	for range 3 {
		if p, err := s.Follow(context.Background(), "t", 5, 500*time.Millisecond); err != nil || p.Version != 6 {
			t.Fatalf("got %+v, %v; want the change of the store", p, err)
		}
	}
	if took := time.Since(start); took > 2*time.Second {
		t.Errorf("three calls took %d ms, want at most 2000 ms", took.Milliseconds())
	}
	if n := requests.Load(); n != 1 {
		t.Errorf("%d requests to readers that do not answer, want 1", n)
	}
}

// TestStartReadsFromTheStore guards against a VM that, at its start after a power failure, waits for readers that are
// not running yet. In arrieta-plumas trouble-2, 222 instead of 327 operations were then in time in the window of that
// failure.
func TestStartReadsFromTheStore(t *testing.T) {
	c := NewTableCopy(DefaultFreshness)
	c.Replace(rows(5, "a"), 5)
	c.ConfirmFresh()
	store := &fakeStore{page: follower.Page{Rows: rows(6, "a"), Version: 6}}
	isKnown := false
	s := &Source{Store: store, Readers: fixedReaders(serveCopy(t, c)), Client: http.DefaultClient, PreferReaders: func() bool { return true }, IsVMCountKnown: func() bool { return isKnown }}
	if p, err := s.Read(context.Background(), "t"); err != nil || p.Version != 6 {
		t.Errorf("got %+v, %v; want the rows of the store", p, err)
	}
	isKnown = true
	if p, err := s.Read(context.Background(), "t"); err != nil || p.Version != 5 {
		t.Errorf("got %+v, %v; want the rows of the reader", p, err)
	}
}

// TestStartOverSlowLink covers the start of all VMs of a large deployment after a power failure, when each VM reads a
// configuration of 0.3 MB over a link of 10 Mbit/s. It guards against a start that waits for the uncompressed answer
// of the store (ktgc-scaling-grown hunt-12f0-7), and against one that waits for readers that are not running yet
// (0.3 s in trouble-2) or do not answer.
func TestStartOverSlowLink(t *testing.T) {
	for _, c := range []struct {
		name        string
		readerDelay time.Duration // until the second reader is ready; the first one does not answer
		storeDelay  time.Duration // until the store answers
		wantVersion uint64
		limit       time.Duration // of the read
	}{
		{"a reader becomes ready shortly after the VM", 100 * time.Millisecond, 5 * time.Second, 5, 2 * time.Second},
		{"no reader becomes ready", time.Hour, 20 * time.Millisecond, 6, readerTimeout - 100*time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			stop := make(chan struct{})
			unresponsive := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-stop }))
			defer unresponsive.Close()
			defer close(stop)
			readerCopy := NewTableCopy(DefaultFreshness)
			time.AfterFunc(c.readerDelay, func() {
				readerCopy.Replace(rows(5, "a"), 5)
				readerCopy.ConfirmFresh()
			})
			store := &fakeStore{page: follower.Page{Rows: rows(6, "a"), Version: 6}, readDelay: c.storeDelay}
			s := &Source{
				Store: store, Readers: fixedReaders(strings.TrimPrefix(unresponsive.URL, "http://"), serveCopy(t, readerCopy)), Client: http.DefaultClient,
				PreferReaders: func() bool { return true }, IsVMCountKnown: func() bool { return false }, IsLinkSlow: true,
			}
			start := time.Now()
			p, err := s.Read(context.Background(), "t")
			if err != nil || p.Version != c.wantVersion {
				t.Errorf("got %+v, %v; want version %d", p, err, c.wantVersion)
			}
			if took := time.Since(start); took > c.limit {
				t.Errorf("read took %d ms, want at most %d ms", took.Milliseconds(), c.limit.Milliseconds())
			}
		})
	}
}

// TestAnswersAreSmall guards against answers that take long over a link of 10 Mbit/s: a configuration of 2,000 routes
// must take at most a tenth of a second.
func TestAnswersAreSmall(t *testing.T) {
	var routes []string
	for n := range 2000 {
		digest := fmt.Sprintf("%x", sha256.Sum256([]byte{byte(n), byte(n >> 8)}))
		routes = append(routes, fmt.Sprintf(`{"database":"%s","host":"%s","reads":"current","timeout":"1500ms","objective":"1000ms","priority":1,"instances":"%s"}`, digest[:7], digest[7:14], digest[:2]))
	}
	value := []byte(`{"version":1,"routes":[` + strings.Join(routes, ",") + `]}`)
	b, err := encode(newPage(follower.Page{Rows: []follower.Row{{Key: "config", Value: value, Version: 1}}, Version: 1}))
	if maxBytes := 10_000_000 / 8 / 10; err != nil || len(b) > maxBytes {
		t.Errorf("%d bytes for a configuration of %d bytes, want at most %d; %v", len(b), len(value), maxBytes, err)
	}
	var p page
	if err := decode(bytes.NewReader(b), &p); err != nil || !bytes.Equal(p.Rows[0].Value, value) {
		t.Errorf("decoded value differs from the encoded one; %v", err)
	}
}

// FuzzDecode guards against a corrupt or truncated answer that is decoded as a page.
func FuzzDecode(f *testing.F) {
	b, err := encode(newPage(follower.Page{Rows: rows(5, "a", "b"), Version: 5}))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Add([]byte("{}"))
	f.Fuzz(func(t *testing.T, data []byte) {
		var p page
		if err := decode(bytes.NewReader(data), &p); err != nil {
			return
		}
		for n := range data {
			if err := decode(bytes.NewReader(data[:n]), &page{}); err == nil {
				t.Fatalf("the first %d of %d bytes are decoded as a page", n, len(data))
			}
		}
	})
}

// TestFailingStoreIsSpared covers a VM during an outage of the store, while the readers refuse to serve. It guards
// against more than two calls to the store in three seconds from each VM, and against a VM that never calls the store
// again. In scale-2 of ktgc-scaling-grown, 63 VMs that followed two tables made 1,511 calls in an outage of 3 s.
func TestFailingStoreIsSpared(t *testing.T) {
	c := NewTableCopy(DefaultFreshness)
	c.Replace(rows(5, "a"), 5)
	store := &fakeStore{err: classifier.New(classifier.PlatformUnavailable, "out")}
	s := &Source{Store: store, Readers: fixedReaders(serveCopy(t, c)), Client: http.DefaultClient, PreferReaders: func() bool { return true }}
	followFor := func(d time.Duration) error {
		for deadline := time.Now().Add(d); ; time.Sleep(50 * time.Millisecond) {
			if _, err := s.Follow(context.Background(), "t", 5, 10*time.Millisecond); err == nil || time.Now().After(deadline) {
				return err
			}
		}
	}
	start := time.Now()
	maxCalls := func() int { return 1 + int(time.Since(start)/storeRetryInterval) }
	if err := followFor(storeRetryInterval / 2); err == nil || store.calls > maxCalls() {
		t.Errorf("the store is out: %d calls, want at most %d; got error %v, want one", store.calls, maxCalls(), err)
	}
	c.ConfirmFresh()
	if err := followFor(2 * refusingReaderBackoff); err != nil || store.calls > maxCalls() {
		t.Errorf("a reader serves again: %d calls to the store, want at most %d; %v", store.calls, maxCalls(), err)
	}
	c.MarkStale()
	store.err = nil
	if err := followFor(2 * storeRetryInterval); err != nil {
		t.Errorf("the store answers again: %v", err)
	}
}

// TestStartWithReaders guards against a feed call to the store by each VM for each change while all VMs start: 295 VMs
// made 2,836 such calls in 2 s. The readers start a little later than this VM.
func TestStartWithReaders(t *testing.T) {
	store := &fakeStore{page: follower.Page{Rows: rows(1, "a"), Version: 1}}
	c := NewTableCopy(DefaultFreshness)
	c.Replace(rows(1, "a"), 1)
	h := &Handler{Copies: map[string]*TableCopy{"t": c}}
	readyAt := time.Now().Add(300 * time.Millisecond)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if time.Now().Before(readyAt) {
			panic(http.ErrAbortHandler) // the client gets no answer, as from a process that is not running yet
		}
		c.ConfirmFresh()
		h.ServeHTTP(w, r)
	}))
	defer server.Close()
	startedAt := time.Now()
	s := &Source{
		Store: store, Readers: fixedReaders(strings.TrimPrefix(server.URL, "http://")), Client: http.DefaultClient,
		PreferReaders: func() bool { return true }, IsVMCountKnown: func() bool { return time.Since(startedAt) > 1500*time.Millisecond },
	}
	for time.Since(startedAt) < time.Second {
		if _, err := s.Follow(t.Context(), "t", 1, 50*time.Millisecond); err != nil {
			t.Fatal(err)
		}
	}
	if store.calls > 0 {
		t.Errorf("%d calls to the store, want none", store.calls)
	}
	server.Close()
	for store.calls == 0 && time.Since(startedAt) < 10*time.Second {
		_, _ = s.Follow(t.Context(), "t", 1, 50*time.Millisecond)
	}
	if took := time.Since(startedAt); store.calls == 0 || took > 3*time.Second {
		t.Errorf("%d calls to the store %v after the start, want the first one within 3 s", store.calls, took)
	}
}

// TestCopyReadLater guards against VMs that cannot follow a reader because they read the table before it: 585 VMs called the
// store for that after a power failure. A removal in between must not be lost.
func TestCopyReadLater(t *testing.T) {
	c := NewTableCopy(DefaultFreshness)
	c.Replace(rows(9, "b", "c"), 9)
	c.Apply([]follower.Row{{Key: "d", Version: 10}}, 10)
	c.ExtendHistory(5, []follower.Row{{Key: "a", Version: 7, IsRemoved: true}, {Key: "c", Version: 9}, {Key: "d", Version: 10}})
	c.ConfirmFresh()
	for _, want := range []struct {
		after uint64
		keys  string
		err   bool
	}{{4, "", true}, {5, "acd", false}, {7, "cd", false}, {9, "d", false}, {10, "", false}} {
		p, _, err := c.freshChanges(want.after)
		keys := ""
		for _, r := range p.Rows {
			keys += r.Key
		}
		if keys != want.keys || (err != nil) != want.err {
			t.Errorf("changes after %d are %q, %v, want %q, an error: %t", want.after, keys, err, want.keys, want.err)
		}
	}
}

// TestStartBeforeReaderHasPower guards against a VM that follows the store for 6 s because its first packet to a reader was
// lost: after a power failure, 270 VMs made 250 calls a second to the store for 10 s.
func TestStartBeforeReaderHasPower(t *testing.T) {
	store := &fakeStore{page: follower.Page{Rows: rows(1, "a"), Version: 1}}
	c := NewTableCopy(DefaultFreshness)
	c.Replace(rows(1, "a"), 1)
	c.ConfirmFresh()
	reader := serveCopy(t, c)
	startedAt := time.Now()
	client := NewClient()
	dial := client.Transport.(*http.Transport).DialContext
	client.Transport.(*http.Transport).DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		if time.Since(startedAt) > 100*time.Millisecond {
			return dial(ctx, network, address)
		}
		sleeper.Sleep(ctx, dialTimeout)
		return nil, &net.OpError{Op: "dial", Err: os.ErrDeadlineExceeded}
	}
	s := &Source{
		Store: store, Readers: fixedReaders(reader), Client: client,
		PreferReaders: func() bool { return true }, IsVMCountKnown: func() bool { return time.Since(startedAt) > 1500*time.Millisecond },
	}
	for time.Since(startedAt) < 2*time.Second {
		if _, err := s.Follow(t.Context(), "t", 1, 50*time.Millisecond); err != nil {
			t.Fatal(err)
		}
		c.ConfirmFresh()
	}
	if store.calls > 0 {
		t.Errorf("%d calls to the store, want none", store.calls)
	}
}

// Guards against a read of the whole table by every VM after the store has forgotten its history and the readers have read the
// table again.
func TestChangesAfterTableIsReadAgain(t *testing.T) {
	c := NewTableCopy(DefaultFreshness)
	c.Replace([]follower.Row{{Key: "a", Version: 3}, {Key: "b", Version: 4}, {Key: "c", Version: 5}}, 5)
	c.ConfirmFresh()
	c.Replace([]follower.Row{{Key: "a", Version: 3}, {Key: "b", Version: 8}, {Key: "d", Version: 7}}, 9)
	p, _, err := c.freshChanges(5)
	want := []follower.Row{{Key: "d", Version: 7}, {Key: "b", Version: 8}, {Key: "c", Version: 9, IsRemoved: true}}
	if diff := cmp.Diff(want, p.Rows); err != nil || diff != "" || p.Version != 9 {
		t.Errorf("changes after version 5: %v, version %d, error %v", p.Rows, p.Version, err)
	}
	later := follower.VersionAt(1, 2)
	c.Replace([]follower.Row{{Key: "a", Version: later}}, later)
	if _, _, err := c.freshChanges(9); err == nil {
		t.Error("the changes of a restored store continue those of the store before")
	}
}

// Guards against a copy whose history grows with the size of its rows: all VMs exceeded their memory after a thousand versions of a large
// configuration. A VM that lacks more than the history gets the table, in an answer of about that size.
func TestHistoryIsBounded(t *testing.T) {
	value := bytes.Repeat([]byte("0123456789abcdef"), 268<<10/16)
	change := func(version uint64) []follower.Row {
		return []follower.Row{{Key: "config", Value: value, Version: version}}
	}
	kept := func(c *TableCopy) (size int) {
		for _, r := range c.changes {
			size += rowSize(r)
		}
		return size
	}
	c := NewTableCopy(DefaultFreshness)
	c.Replace(change(1), 1)
	c.ConfirmFresh()
	for version := uint64(2); version <= 13000; version++ {
		c.Apply(change(version), version)
		if size := kept(c); size > maxKeptBytes {
			t.Fatalf("version %d: the history has %d bytes, want at most %d", version, size, maxKeptBytes)
		}
	}
	if p, ok := c.delta(12999); !ok || p.IsWhole || len(p.Rows) != 1 {
		t.Errorf("changes after the version before: %d rows, whole table %t; want one change", len(p.Rows), p.IsWhole)
	}
	if p, ok := c.delta(12900); !ok || !p.IsWhole || len(p.Rows) != 1 {
		t.Errorf("changes after an early version: %d rows, whole table %t; want the table", len(p.Rows), p.IsWhole)
	}
	if _, _, err := c.freshChanges(12900); !classifier.Is(err, classifier.Conflict) {
		t.Errorf("a follower of the copy that lacks 100 versions gets error %v, want kind conflict", err)
	}

	c = NewTableCopy(DefaultFreshness)
	c.Replace(change(500), 500)
	c.ConfirmFresh()
	var earlier []follower.Row
	for version := uint64(200); version < 500; version++ {
		earlier = append(earlier, change(version)...)
	}
	c.ExtendHistory(199, earlier)
	if size := kept(c); size > maxKeptBytes {
		t.Errorf("with the changes before its start, the history has %d bytes, want at most %d", size, maxKeptBytes)
	}
	if _, _, err := c.freshChanges(300); !classifier.Is(err, classifier.Conflict) {
		t.Errorf("changes that are not kept: got error %v, want kind conflict", err)
	}
}
