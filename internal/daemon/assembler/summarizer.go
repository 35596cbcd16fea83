package assembler

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"parsleyscale/internal/clock/sleeper"
	"parsleyscale/internal/operator/inspector"
	"parsleyscale/internal/platform/follower"
)

const (
	// summaryInterval is the time between two checks whether the summaries are up to date.
	summaryInterval = 5 * time.Second
	// summaryStagger is the time between the checks of two readers, so that the later one sees the summaries of the
	// earlier one.
	summaryStagger = 1500 * time.Millisecond
	// summaryTimeout bounds the write of a summary.
	summaryTimeout = time.Second
)

// summarizer keeps the summary rows in the list of VMs up to date, on the readers of a large deployment. A VM that starts
// reads the list before it can use the instances; after a power failure, all VMs do so at the same time, and the
// compressed summaries are a tenth of the rows.
type summarizer struct {
	store   Store
	isLarge func() bool

	mu        sync.Mutex
	vms       map[string]member       // by ID
	summaries map[string]follower.Row // by key
}

func newSummarizer(s Store, isLarge func() bool) *summarizer {
	return &summarizer{store: s, isLarge: isLarge, vms: map[string]member{}, summaries: map[string]follower.Row{}}
}

// replace replaces all rows of the list.
func (s *summarizer) replace(rows []follower.Row) {
	s.mu.Lock()
	clear(s.vms)
	clear(s.summaries)
	s.mu.Unlock()
	s.apply(rows)
}

// apply applies changed rows of the list.
func (s *summarizer) apply(rows []follower.Row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range rows {
		switch vm, err := inspector.ParseVM(r.Key, r.Value); {
		case inspector.IsSummary(r.Key):
			s.summaries[r.Key] = r
		case r.IsRemoved || err != nil:
			delete(s.vms, r.Key)
		default:
			s.vms[r.Key] = vm
		}
	}
}

// run writes outdated summaries at intervals, first after a delay.
func (s *summarizer) run(ctx context.Context, delay time.Duration) {
	for pause := summaryInterval + delay; sleeper.Sleep(ctx, pause); pause = summaryInterval {
		if s.isLarge() {
			s.writeOutdated(ctx)
		}
	}
}

// writeOutdated writes the summaries that differ from the rows of the VMs. A write that fails is repeated at the next check:
// another reader may have written the summary in the meantime.
func (s *summarizer) writeOutdated(ctx context.Context) {
	s.mu.Lock()
	byDataCentre := map[string][]member{}
	for _, id := range slices.Sorted(maps.Keys(s.vms)) {
		vm := s.vms[id]
		byDataCentre[vm.DataCentre] = append(byDataCentre[vm.DataCentre], vm)
	}
	summaries := maps.Clone(s.summaries)
	s.mu.Unlock()
	for dataCentre, vms := range byDataCentre {
		present := summaries[inspector.SummaryKey(dataCentre)]
		if isSummaryOf(present.Value, vms) {
			continue
		}
		if value, err := inspector.EncodeSummary(vms); err == nil {
			callCtx, cancel := context.WithTimeout(ctx, summaryTimeout)
			_, _, _ = s.store.Swap(callCtx, inspector.VMTable, inspector.SummaryKey(dataCentre), value, present.Version)
			cancel()
		}
	}
}

// isSummaryOf reports whether the value of a summary row lists exactly the given VMs, which are sorted by ID.
func isSummaryOf(value []byte, vms []member) bool {
	listed, err := inspector.ParseSummary(value)
	if err != nil {
		return false
	}
	slices.SortFunc(listed, func(a, b member) int { return cmp.Compare(a.ID, b.ID) })
	return slices.Equal(listed, vms)
}
