package assembler

import (
	"context"
	"slices"
	"strings"
	"testing"

	"parsleyscale/internal/config/loader"
	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/operator/inspector"
	"parsleyscale/internal/platform/follower"
)

// tableStore is a Store with the table of VMs in memory. It counts the bytes that it sends.
type tableStore struct {
	fixedStore
	rows    map[string]follower.Row
	version uint64
	sent    int
	swaps   int
}

func newTableStore(rows []follower.Row) *tableStore {
	s := &tableStore{rows: map[string]follower.Row{}, version: 1}
	for _, r := range rows {
		r.Version = s.version
		s.rows[r.Key] = r
	}
	return s
}

func (s *tableStore) page(limit int) follower.Page {
	p := follower.Page{Version: s.version}
	for _, r := range s.rows {
		p.Rows = append(p.Rows, r)
	}
	slices.SortFunc(p.Rows, func(a, b follower.Row) int { return strings.Compare(a.Key, b.Key) })
	p.Rows = p.Rows[:min(limit, len(p.Rows))]
	for _, r := range p.Rows {
		s.sent += len(r.Key) + len(r.Value)
	}
	return p
}

func (s *tableStore) Read(context.Context, string) (follower.Page, error) {
	return s.page(len(s.rows)), nil
}

func (s *tableStore) ReadFrom(_ context.Context, _, _ string, limit int) (follower.Page, bool, error) {
	return s.page(limit), len(s.rows) <= limit, nil
}

func (s *tableStore) Swap(_ context.Context, _, key string, value []byte, version uint64) (uint64, follower.Row, error) {
	if r := s.rows[key]; r.Version != version {
		return 0, r, classifier.New(classifier.Conflict, "row %s has version %d", key, r.Version)
	}
	s.swaps++
	s.version++
	s.rows[key] = follower.Row{Key: key, Value: value, Version: s.version}
	return s.version, follower.Row{}, nil
}

// Guards against the load of a power failure on the links between regions: 295 VMs read 295 rows each, 30 MB in all, before
// they could use the instances. Also guards against summaries that are written again and again, or by each reader.
func TestSummaries(t *testing.T) {
	s := newTableStore(memberRows(300))
	whole := newMembers(loader.LineSettings{ID: "vm-1"}, s, s)
	if err := whole.refresh(t.Context()); err != nil {
		t.Fatal(err)
	}
	sentWhole := s.sent
	first, second := newSummarizer(s, func() bool { return true }), newSummarizer(s, func() bool { return true })
	for _, reader := range []*summarizer{first, second, first} {
		reader.replace(s.page(1000).Rows)
		reader.writeOutdated(t.Context())
	}
	if s.swaps != 1 {
		t.Errorf("%d summaries written for one data centre, want 1", s.swaps)
	}
	s.sent = 0
	m := newMembers(loader.LineSettings{ID: "vm-1"}, s, s)
	if err := m.refresh(t.Context()); err != nil {
		t.Fatal(err)
	}
	if !slices.Equal(ids(m), ids(whole)) || s.sent > sentWhole/3 {
		t.Errorf("%d VMs from %d bytes, want %d from at most a third of %d bytes", len(m.vms), s.sent, len(whole.vms), sentWhole)
	}
	row := memberRows(301)[300]
	row.Version = s.version
	s.rows[row.Key] = row
	first.apply([]follower.Row{row})
	first.writeOutdated(t.Context())
	if s.swaps != 2 {
		t.Errorf("%d summaries written after another VM has joined, want 2", s.swaps)
	}
}

func ids(m *members) []string {
	var list []string
	for _, vm := range m.vms {
		list = append(list, vm.ID)
	}
	slices.Sort(list)
	return list
}

// Guards against a summary that another writer has damaged: the rows of the VMs still hold.
func TestDamagedSummary(t *testing.T) {
	s := newTableStore(memberRows(300))
	s.rows[inspector.SummaryKey("d1")] = follower.Row{Key: inspector.SummaryKey("d1"), Value: []byte("{"), Version: 1}
	m := newMembers(loader.LineSettings{ID: "vm-1"}, s, s)
	if err := m.refresh(t.Context()); err != nil || len(m.vms) != 300 {
		t.Errorf("%d VMs read, %v; want 300", len(m.vms), err)
	}
}

// refusingStore refuses each read, as the store does with some VMs.
type refusingStore struct{ fixedStore }

func (refusingStore) ReadFrom(context.Context, string, string, int) (follower.Page, bool, error) {
	return follower.Page{}, false, classifier.New(classifier.PlatformUnavailable, "the store refuses this VM")
}

// Guards against a VM that takes itself for the only one because the store refuses it while readers have the list.
func TestListFromReadersAtTheStart(t *testing.T) {
	m := newMembers(loader.LineSettings{ID: "vm-1"}, refusingStore{}, fixedStore(memberRows(300)))
	if err := m.refresh(t.Context()); err != nil || len(m.vms) != 300 {
		t.Errorf("%d VMs read, %v; want 300", len(m.vms), err)
	}
}
