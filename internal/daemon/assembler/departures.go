package assembler

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/platform/follower"
)

// departures tells whether an instance left the registry shortly before this VM first read it. The other VMs saw it leave,
// but keep that in memory only.
type departures struct {
	source    follower.Source
	table     string // of the registry
	startedAt time.Time
	version   atomic.Uint64 // of the store at the first read of the registry; zero: not read yet

	mu      sync.Mutex
	isKnown bool
	isOne   bool // an instance has left; valid if isKnown is set
}

const (
	// departureMemory is how long after its start a VM asks. A departure before that matters only as long as a replica
	// lacks entries from before it.
	departureMemory = time.Minute
	// departureTimeout bounds a call for the history of the registry.
	departureTimeout = 300 * time.Millisecond
)

// departureVersions are the numbers of versions of the store that are asked for, from the most to the least. The store
// keeps its history for a time, and refuses a call for more.
var departureVersions = []uint64{600, 200, 60, 20}

// recordRead records the version of a whole table of the registry that this VM has read.
func (d *departures) recordRead(version uint64) { d.version.CompareAndSwap(0, version) }

// mayBeMissed reports whether an instance left before the first read, or may have, because the store does not tell.
func (d *departures) mayBeMissed(ctx context.Context) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.isKnown || time.Since(d.startedAt) > departureMemory {
		return d.isOne
	}
	first := d.version.Load()
	for _, n := range departureVersions {
		callCtx, cancel := context.WithTimeout(ctx, departureTimeout)
		p, err := d.source.Follow(callCtx, d.table, follower.Before(first, n), 0)
		cancel()
		switch {
		case err == nil:
			d.isKnown = true
			d.isOne = slices.ContainsFunc(p.Rows, func(r follower.Row) bool { return r.IsRemoved && r.Version <= first })
			return d.isOne
		case !classifier.Is(err, classifier.Conflict):
			return true
		}
	}
	return true
}
