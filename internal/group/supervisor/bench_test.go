package supervisor

import (
	"context"
	"errors"
	"fmt"
	"runtime"
	"sync"
	"testing"
	"time"

	"parsleyscale/internal/group/connector"
	"parsleyscale/internal/member/tracker"
	"parsleyscale/internal/peer/messenger"
	"parsleyscale/internal/platform/client"
	"parsleyscale/internal/sheet/parser"
)

// Sizes of the target.
const (
	targetVMs         = 7100
	targetCentres     = 16
	targetDatabases   = 8300
	targetPerDatabase = 3 // instances, each in another data centre
)

// targetList lists the VMs of the target; the first one is the VM under test.
type targetList struct{}

func (targetList) VMs(context.Context, uint64) (client.VMChanges, error) {
	c := client.VMChanges{Version: 1, Whole: true}
	for i := range targetVMs {
		c.VMs = append(c.VMs, client.VM{ID: vmName(i), Address: fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250), DataCentre: centreName(i), State: client.VMLive})
	}
	return c, nil
}

func vmName(n int) string     { return fmt.Sprintf("%s-vm%d", centreName(n), n) }
func centreName(n int) string { return fmt.Sprintf("data-centre-%d", n%targetCentres) }

// silent answers exchanges without reports.
type silent struct{}

func (silent) Exchange(context.Context, *messenger.ExchangeRequest) (*messenger.ExchangeResponse, error) {
	return &messenger.ExchangeResponse{}, nil
}

// unreachable is an instance that never answers.
type unreachable struct{ connector.Instance }

func (unreachable) Status(context.Context) (connector.Status, error) {
	return connector.Status{}, errors.New("unreachable")
}

// sheets holds the sheet in force and tells no one of changes.
type sheets struct {
	mu      sync.Mutex
	version uint64
	sheet   parser.Sheet
	changed chan struct{} // never closed
}

func (s *sheets) set(sheet parser.Sheet) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.sheet = sheet
}

func (s *sheets) Current() (uint64, parser.Sheet, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version, s.sheet, true
}

func (s *sheets) Changed() <-chan struct{} { return s.changed }

func targetSheet() parser.Sheet {
	v := parser.Service{Name: "plume-ledger"}
	for n := range targetDatabases {
		db := parser.Database{Name: fmt.Sprintf("orders-%d", n)}
		for i := range targetPerDatabase {
			db.Instances = append(db.Instances, parser.Instance{
				Name: fmt.Sprintf("%s-%d", db.Name, i), Address: fmt.Sprintf("10.%d.%d.%d:5432", i, n/250, n%250),
				DataCentre: centreName(n + i), Slots: 3, Connections: 40, State: parser.Serving,
			})
		}
		v.Databases = append(v.Databases, db)
	}
	return parser.Sheet{Deployment: "target", Services: []parser.Service{v}}
}

// atTarget returns a supervisor of the target's size that refreshes by hand only, and its tracker.
func atTarget(b testing.TB) (*Supervisor, *tracker.Tracker) {
	b.Helper()
	self := tracker.Member{ID: vmName(0), Address: "10.0.0.0:7000", DataCentre: centreName(0)}
	t := tracker.New(tracker.Config{Self: self, List: targetList{}, Dial: func(string) tracker.Exchanger { return silent{} }})
	b.Cleanup(t.Close)
	for len(t.Members()) < targetVMs {
		time.Sleep(time.Millisecond)
	}
	s, err := New(Config{
		Self: self, Sheets: &sheets{version: 1, sheet: targetSheet(), changed: make(chan struct{})}, Rank: t.Ranked,
		Dial: func(parser.Instance) connector.Instance { return unreachable{} },
	})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(s.Close)
	s.cancel()
	s.wg.Wait()
	return s, t
}

// BenchmarkRefreshAtTarget measures what a VM of the target spends on the choice
// of its groups: twice a second while no VM changes, and once after each change of a VM.
func BenchmarkRefreshAtTarget(b *testing.B) {
	s, t := atTarget(b)
	s.refresh()
	b.Run("unchanged", func(b *testing.B) {
		for b.Loop() {
			s.refresh()
		}
		reportHeap(b)
	})
	for n, name := range []string{"changedNear", "changedElsewhere"} { // data centres 0 and 1
		b.Run(name, func(b *testing.B) {
			states := []tracker.State{tracker.Leaving, tracker.Live}
			for i := 0; b.Loop(); i++ {
				announce(t, targetCentres+n, states[i%2])
				s.refresh()
			}
			reportHeap(b)
		})
	}
}

// reportHeap reports the memory in use, that of the benchmark's list and sheet included.
func reportHeap(b *testing.B) {
	b.Helper()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	b.ReportMetric(float64(m.HeapAlloc)/1e6, "heapMB")
}

// announce makes a VM leave or come back.
func announce(t *tracker.Tracker, n int, state tracker.State) {
	v := &messenger.VM{Id: vmName(n), Address: "10.0.9.1:7000", DataCentre: centreName(n), State: string(state)}
	_, _ = t.Exchange(context.Background(), &messenger.ExchangeRequest{Vms: []*messenger.VM{v}})
}

// BenchmarkLayoutAtTarget measures what the supervisor does for each version of the sheet.
func BenchmarkLayoutAtTarget(b *testing.B) {
	s := targetSheet()
	for b.Loop() {
		layoutOf(1, s, centreName(0))
	}
}
