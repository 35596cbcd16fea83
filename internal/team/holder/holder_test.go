package holder

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/platform/follower"
	"parsleyscale/internal/sheet/cataloger"
	"parsleyscale/internal/team/messenger"
	"parsleyscale/internal/team/sharder"
)

// fakeStore is a Store with one table, in memory.
type fakeStore struct {
	rows    map[string]follower.Row
	version uint64
	isOut   atomic.Bool
	latency time.Duration // from the write to its answer
}

func (s *fakeStore) Read(context.Context, string) (follower.Page, error) {
	p := follower.Page{Version: s.version}
	for _, r := range s.rows {
		p.Rows = append(p.Rows, r)
	}
	return p, s.err()
}

func (s *fakeStore) err() error {
	if s.isOut.Load() {
		return classifier.New(classifier.PlatformUnavailable, "out")
	}
	return nil
}

func (s *fakeStore) SwapRows(ctx context.Context, table string, rows []follower.Row) (uint64, []follower.Row, error) {
	for _, r := range rows {
		if s.rows[r.Key].Version != r.Version {
			p, err := s.Read(ctx, table)
			return 0, p.Rows, errors.Join(err, classifier.New(classifier.Conflict, "row %s", r.Key))
		}
	}
	if s.isOut.Load() {
		return 0, nil, s.err()
	}
	for _, r := range rows {
		s.version++
		r.Version = s.version
		s.rows[r.Key] = r
	}
	time.Sleep(s.latency)
	return s.version, nil, nil
}

// rowlessStore is a Store that sends no rows with a conflict, as one whose answer cannot be read.
type rowlessStore struct {
	*fakeStore
	mu sync.Mutex
}

func (s *rowlessStore) Read(ctx context.Context, table string) (follower.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fakeStore.Read(ctx, table)
}

func (s *rowlessStore) SwapRows(ctx context.Context, table string, rows []follower.Row) (uint64, []follower.Row, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	version, _, err := s.fakeStore.SwapRows(ctx, table, rows)
	return version, nil, err
}

// startHolder starts the only VM of a deployment, with a team that has a limit of 40 operations/s.
func startHolder(s Store, start string) *Holder {
	base := time.Now().Add(-time.Hour)
	self := sharder.VM{ID: "vm", Region: "r", Address: "vm"}
	c := cataloger.Configuration{}.WithTeams([]cataloger.Team{{Name: "t", Rate: 40, Burst: 40}})
	return Start(Config{
		Store: s, Self: self, Start: start, Sharder: sharder.New(map[string]string{"d": "r"}, 20, 5*time.Second), Clock: func() time.Duration { return time.Since(base) },
		VMs: func() []sharder.VM { return []sharder.VM{self} }, AreVMsKnown: func() bool { return true }, Configuration: func() *cataloger.Configuration { return c },
		Send: func(context.Context, string, messenger.Request) (messenger.Response, error) {
			return messenger.Response{}, errors.New("down")
		},
		OnChange: func(int, bool, string) {},
	})
}

func grantAll(h *Holder) int {
	return h.Serve(messenger.Request{Asks: []messenger.Ask{{Team: "t", Count: 1000}}}).Grants[0].Count
}

// Guards against grants after the end of the lease, when another VM may hold the shard, and against a lease that counts from the answer
// of a slow store. The store is out.
func TestGrantsEndWithLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{rows: map[string]follower.Row{}, latency: 1500 * time.Millisecond}
		h := startHolder(s, "1")
		time.Sleep(5 * time.Second)
		s.isOut.Store(true)
		time.Sleep(Lease - 6*time.Second)
		if n := grantAll(h); n < 40 {
			t.Errorf("%d tokens within the lease, want at least 40", n)
		}
		time.Sleep(1200 * time.Millisecond)
		if n := grantAll(h); n != 0 {
			t.Errorf("%d tokens after the lease, want none", n)
		}
		s.isOut.Store(false)
		time.Sleep(5 * time.Second)
		if n := grantAll(h); n == 0 {
			t.Error("no tokens after the store is back")
		}
		h.Close(t.Context())
	})
}

// Guards against a restart that grants a second burst, and against one that waits for the end of its own lease.
func TestRestartBeginsEmpty(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{rows: map[string]follower.Row{}}
		h := startHolder(s, "1")
		time.Sleep(5 * time.Second)
		grantAll(h)
		s.isOut.Store(true) // it is killed
		h.Close(t.Context())
		s.isOut.Store(false)
		h = startHolder(s, "2")
		time.Sleep(10 * time.Millisecond)
		if n := len(h.Held()); n != sharder.Count {
			t.Errorf("%d shards held 10 ms after the restart, want %d", n, sharder.Count)
		}
		if n := grantAll(h); n != 0 {
			t.Errorf("%d tokens 10 ms after the restart, want none", n)
		}
		h.Close(t.Context())
	})
}

// Guards against a claim of a row that regressed when the store was restored from an older copy: the row does not show the lease of
// another VM. The holder of the lease writes the row again at once.
func TestRowRegresses(t *testing.T) {
	older := &follower.Row{Key: strconv.Itoa(0), Version: 3, Value: []byte(`{"holder":"b","start":"1"}`)}
	known := SeenRow{Row: Row{Holder: "a", Start: "1"}, Version: 7, SeenAt: time.Hour}
	for _, row := range []*follower.Row{older, nil} {
		v := View{Now: time.Hour + time.Minute, RenewedAt: time.Hour, AttemptedAt: time.Hour, Self: "b", Start: "2", AreRanksKnown: true}
		for shard := range v.Ranks {
			v.Ranks[shard] = -1
		}
		v.Ranks[0] = 0
		v.Rows[0] = known.With(row, v.Now)
		if d := Decide(v); len(d.Claim) > 0 {
			t.Errorf("row %+v is claimed at once", v.Rows[0])
		}
		v.Now += takeOverWait
		if d := Decide(v); len(d.Claim) != 1 {
			t.Errorf("row %+v is not claimed after a lease", v.Rows[0])
		}
	}
}

// Guards against a VM that takes a conflict without rows for a store without rows: it then writes versions that never match, and
// loses all of its shards because another VM has claimed one.
func TestConflictWithoutRows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &rowlessStore{fakeStore: &fakeStore{rows: map[string]follower.Row{}}}
		h := startHolder(s, "1")
		time.Sleep(5 * time.Second)
		s.mu.Lock()
		s.version++
		s.rows["0"] = follower.Row{Key: "0", Version: s.version, Value: []byte(`{"holder":"other","address":"other","start":"1"}`)}
		s.mu.Unlock()
		time.Sleep(Lease + 3*time.Second) // before this VM may take the shard back
		held := h.Held()
		if len(held) != sharder.Count-1 || held[0] == 0 {
			t.Errorf("shards %v are held, want all %d but shard 0", held, sharder.Count)
		}
		h.Close(t.Context())
	})
}
