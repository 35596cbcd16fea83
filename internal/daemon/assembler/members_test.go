package assembler

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"parsleyscale/internal/config/loader"
	"parsleyscale/internal/platform/follower"
)

// Guards against a VM that takes all connections of the instances because it started before the other VMs were in the
// table. Another VM then had no connection left for the commands of a replacement of the primary, which took over 3 s.
func TestCountBeforeOtherVMsAreKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMembers(loader.LineSettings{ID: "vm-1"}, fixedStore(nil), fixedStore(nil))
		if err := m.refresh(t.Context()); err != nil {
			t.Fatal(err)
		}
		if n := m.count(); n != initialVMCount {
			t.Errorf("count right after the start is %d, want %d", n, initialVMCount)
		}
		time.Sleep(settlePeriod)
		if n := m.count(); n != initialVMCount {
			t.Errorf("count after the settle period, before the table was read again, is %d, want %d", n, initialVMCount)
		}
		if err := m.refresh(t.Context()); err != nil {
			t.Fatal(err)
		}
		if n := m.count(); n != 1 {
			t.Errorf("count after the settle period is %d, want 1", n)
		}
	})
}

// Guards against computing a rank from all VMs at each call, since the replacer asks for the rank of each group 20
// times a second, and against a cached rank that is kept after the list of VMs has changed.
func TestRank(t *testing.T) {
	m := newMembers(loader.LineSettings{ID: "vm-0"}, fixedStore(memberRows(300)), fixedStore(memberRows(300)))
	if err := m.refresh(t.Context()); err != nil {
		t.Fatal(err)
	}
	first := m.rank("g")
	if n := testing.AllocsPerRun(100, func() { m.rank("g") }); n > 0 {
		t.Errorf("a call for a cached rank makes %v allocations, want 0", n)
	}
	m.source = fixedStore(memberRows(0))
	if err := m.refresh(t.Context()); err != nil {
		t.Fatal(err)
	}
	if n := m.rank("g"); n != 0 || first == 0 {
		t.Errorf("rank is %d among 301 VMs, then %d when alone; want above 0, then 0", first, n)
	}
}

// growingTable is the table of VMs while VMs that started together are still being entered.
type growingTable struct {
	start time.Time
	reads int // without the first one, which the store answers
	vms   int // in the end
}

func (g *growingTable) Read(context.Context, string) (follower.Page, error) {
	g.reads++
	n := min(g.vms, int(time.Since(g.start)/time.Millisecond)*150/1000)
	return follower.Page{Rows: memberRows(n)}, nil
}

func (g *growingTable) ReadAgain(ctx context.Context, table string) (follower.Page, error) {
	return g.Read(ctx, table)
}

// Guards against a list that lacks VMs for a minute after all VMs have started, since the store takes in 150 rows a
// second, and against more reads of the table than that takes.
func TestListAfterCommonStart(t *testing.T) {
	for _, c := range []struct{ vms, wantReads int }{{300, 2}, {12, 1}} {
		synctest.Test(t, func(t *testing.T) {
			table := &growingTable{start: time.Now(), vms: c.vms}
			m := newMembers(loader.LineSettings{ID: "vm-0"}, fixedStore(nil), table)
			ctx, cancel := context.WithCancel(t.Context())
			go m.refreshLoop(ctx)
			time.Sleep(15 * time.Second)
			if n := m.count(); n != c.vms+1 || table.reads != c.wantReads {
				t.Errorf("%d VMs listed after %d reads, want %d after %d", n, table.reads, c.vms+1, c.wantReads)
			}
			cancel()
		})
	}
}

// fixedStore is a Store with fixed rows in each table.
type fixedStore []follower.Row

func (s fixedStore) Read(context.Context, string) (follower.Page, error) {
	return follower.Page{Rows: s}, nil
}

func (s fixedStore) ReadAgain(ctx context.Context, table string) (follower.Page, error) {
	return s.Read(ctx, table)
}

func (s fixedStore) Follow(context.Context, string, uint64, time.Duration) (follower.Page, error) {
	return follower.Page{}, nil
}

func (s fixedStore) ReadFrom(_ context.Context, _, _ string, limit int) (follower.Page, bool, error) {
	return follower.Page{Rows: s[:min(limit, len(s))]}, len(s) <= limit, nil
}

func (s fixedStore) Put(context.Context, string, string, []byte) (uint64, error) { return 1, nil }

func (s fixedStore) Swap(context.Context, string, string, []byte, uint64) (uint64, follower.Row, error) {
	return 1, follower.Row{}, nil
}

func memberRows(n int) []follower.Row {
	var rows []follower.Row
	for k := range n {
		rows = append(rows, follower.Row{Key: fmt.Sprintf("vm-%d", k+1), Value: []byte(`{"dataCentre":"d1","linkAddress":"127.0.0.1:1"}`)})
	}
	return rows
}

// putCounter counts the writes of rows.
type putCounter struct {
	fixedStore
	puts int
}

func (p *putCounter) Put(context.Context, string, string, []byte) (uint64, error) {
	p.puts++
	return uint64(p.puts), nil
}

// Guards against a VM that is missing in the list after the store was restored, and against a call of each VM although its row is
// older than any copy.
func TestOwnRowIsWrittenAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &putCounter{}
		m := newMembers(loader.LineSettings{ID: "vm-1"}, store, store)
		write := func(want int) {
			t.Helper()
			if err := m.writeAgain(t.Context()); err != nil || store.puts != want {
				t.Errorf("%d writes, %v; want %d", store.puts, err, want)
			}
		}
		write(0)
		if _, err := m.Next(t.Context()); err != nil {
			t.Fatal(err)
		}
		write(2)
		time.Sleep(lossWindow)
		write(2)
	})
}

// Guards against a VM that takes others for stopped, and its gateways for missing, because the restored store lacks their rows until
// they have written them again.
func TestListAfterRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &putCounter{fixedStore: memberRows(3)}
		m := newMembers(loader.LineSettings{ID: "vm-1"}, store, store)
		refresh := func(want int) {
			t.Helper()
			time.Sleep(minRefreshInterval)
			if err := m.refresh(t.Context()); err != nil || len(m.vms) != want {
				t.Errorf("%d VMs, %v; want %d", len(m.vms), err, want)
			}
		}
		refresh(3)
		m.recordRestore()
		store.fixedStore = memberRows(1)
		refresh(3)
		time.Sleep(3 * rewriteJitter)
		refresh(1)
	})
}
