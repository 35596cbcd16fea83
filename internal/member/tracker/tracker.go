package tracker

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"parsleyscale/internal/peer/messenger"
	"parsleyscale/internal/platform/client"
)

const (
	exchangeInterval       = 2 * time.Second  // between rounds of exchanges with peers
	exchangeTimeout        = time.Second      // of one exchange with a peer
	listInterval           = 15 * time.Second // between requests for changes of the platform's list
	listTimeout            = 5 * time.Second  // of one request for changes of the list
	firstListRetryInterval = 5 * time.Second  // between requests for the list until the first one succeeds
	fullRequestInterval    = time.Minute      // between requests to peers for all VMs until the list has been read
	jitterFraction         = 0.25             // maximum change of an interval in either direction, as a fraction of it
)

// Lister provides the changes of the platform's list of VMs since a version of the list.
type Lister interface {
	VMs(ctx context.Context, since uint64) (client.VMChanges, error)
}

// Exchanger exchanges reports with a peer.
type Exchanger interface {
	Exchange(ctx context.Context, r *messenger.ExchangeRequest) (*messenger.ExchangeResponse, error)
}

// Config holds the settings of a tracker.
type Config struct {
	Self   Member
	Lister Lister
	Dial   func(address string) Exchanger
	Seeds  []string // peer addresses to exchange reports with while no other VM is known
}

// Tracker maintains the states of all VMs as seen by one VM.
type Tracker struct {
	cfg    Config
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu            sync.Mutex
	self          Member
	entries       map[string]*entry    // by ID, without self
	listVersion   uint64               // 0 until the list has been read
	fullRequestAt time.Time            // when all VMs were last requested from a peer
	viewStale     bool                 // a state has changed since the view was built
	reportable    map[string]*entry    // by ID; may include VMs that have ceased to be reportable
	view          atomic.Pointer[view] // replaced only while mu is held
	changed       chan struct{}        // closed when the view is replaced
}

// entry is what the tracker knows about one other VM.
type entry struct {
	member    Member // its State is not set
	viewState State  // state in the current view; empty if the VM is not in it
	observations
}

// view is a snapshot of the states of all VMs. It does not change, except for the peers and rankings, which
// are computed on first use.
type view struct {
	members     []Member                  // sorted by ID, self included
	dataCentres map[string]*dataCentreVMs // by name of the data centre

	mu            sync.Mutex // guards the following fields, computed on first use
	peersChosen   bool       // local and remote are set
	local, remote []Member   // peers in the same data centre and in others
}

// New returns a running tracker.
func New(cfg Config) *Tracker {
	t := &Tracker{cfg: cfg, self: cfg.Self, entries: map[string]*entry{}, reportable: map[string]*entry{}, changed: make(chan struct{})}
	t.view.Store(&view{})
	t.self.State = Live
	t.ctx, t.cancel = context.WithCancel(context.Background())
	t.rebuildView(time.Now())
	t.wg.Go(func() { t.runPeriodically(t.updateList) })
	t.wg.Go(func() { t.runPeriodically(t.exchangeRound) })
	return t
}

// Close stops the tracker and waits for its goroutines.
func (t *Tracker) Close() {
	t.cancel()
	t.wg.Wait()
}

// runPeriodically calls f immediately, and then repeatedly after the interval that f returned last, with jitter, until
// the tracker is closed.
func (t *Tracker) runPeriodically(f func(ctx context.Context) time.Duration) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
		case <-t.ctx.Done():
			return
		}
		interval := f(t.ctx)
		timer.Reset(time.Duration(float64(interval) * (1 - jitterFraction + 2*jitterFraction*rand.Float64())))
	}
}

// Members returns all VMs whose state is known, dead ones included. A dead VM in the platform's list is probed and thus
// remains in the result; an unlisted one is dropped when the observations of its failure are no longer recent. The
// caller must not modify the result.
func (t *Tracker) Members() []Member { return t.currentView().members }

// Changed returns a channel that is closed when the result of Members next changes.
func (t *Tracker) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// TopRanked returns the highest-ranked live VMs of a data centre for a key by rendezvous hashing, at most maxRanked.
// With a database name as the key, the first two are the gateways of the database. The caller must not modify the result.
func (t *Tracker) TopRanked(key, dataCentre string) []Member {
	dc, ok := t.currentView().dataCentres[dataCentre]
	if !ok {
		return nil
	}
	return dc.topRanked(key)
}

// currentView returns the view without locking, because each unit of work looks up gateways.
func (t *Tracker) currentView() *view { return t.view.Load() }

// RecordCall records the result of a call to a VM; a nil error means that the call succeeded. A call that the caller
// canceled is ignored, because it does not show whether the VM is reachable.
func (t *Tracker) RecordCall(id string, err error) {
	if errors.Is(err, context.Canceled) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if e, ok := t.entries[id]; ok {
		now := time.Now()
		t.updateEntry(e, now, func() { e.recordCall(err, now) })
		t.rebuildViewIfStale(now)
	}
}

// recordCall records the result of a call to the VM.
func (o *observations) recordCall(err error, now time.Time) {
	if err == nil {
		o.succeededAt, o.consecutiveFailures = now, 0
		return
	}
	o.failedAt = now
	o.consecutiveFailures++
}

// updateEntry applies a change to the observations of a VM and marks the view as stale if its state changes.
func (t *Tracker) updateEntry(e *entry, now time.Time, change func()) {
	before := deriveState(e.observations, now)
	change()
	t.viewStale = t.viewStale || deriveState(e.observations, now) != before
	if e.reportable(now) {
		t.reportable[e.member.ID] = e
	}
}

// rebuildViewIfStale rebuilds the view if a state has changed.
func (t *Tracker) rebuildViewIfStale(now time.Time) {
	if t.viewStale {
		t.rebuildView(now)
	}
}

// expireEntries applies the state changes that result from observations becoming too old, and removes the entries that
// have expired.
func (t *Tracker) expireEntries(now time.Time) {
	for id, e := range t.entries {
		t.viewStale = t.viewStale || deriveState(e.observations, now) != e.viewState
		if e.isExpired(now) {
			delete(t.entries, id)
		}
	}
	maps.DeleteFunc(t.reportable, func(id string, e *entry) bool { return t.entries[id] != e || !e.reportable(now) })
	t.rebuildViewIfStale(now)
}

// rebuildView derives the states of all VMs. If any differs from the view, it replaces the view and closes the channel
// that Changed has returned.
func (t *Tracker) rebuildView(now time.Time) {
	t.viewStale = false
	members := []Member{t.self}
	for id, e := range t.entries {
		if e.reportable(now) {
			t.reportable[id] = e
		}
		if e.viewState = deriveState(e.observations, now); e.viewState != "" {
			m := e.member
			m.State = e.viewState
			members = append(members, m)
		}
	}
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(a.ID, b.ID) })
	if previous := t.view.Load(); !slices.Equal(members, previous.members) {
		t.view.Store(&view{members: members, dataCentres: groupByDataCentre(members, previous.dataCentres)})
		close(t.changed)
		t.changed = make(chan struct{})
	}
}

// upsertEntry returns the entry of a VM, created if necessary, with its address and location set from m.
func (t *Tracker) upsertEntry(m Member) *entry {
	e, ok := t.entries[m.ID]
	if !ok {
		e = &entry{}
		t.entries[m.ID] = e
	}
	e.member = m
	return e
}

// updateList reads the changes of the platform's list and returns the interval until the next read. If the read fails,
// the last list remains in use.
func (t *Tracker) updateList(ctx context.Context) time.Duration {
	t.mu.Lock()
	since := t.listVersion
	t.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	changes, err := t.cfg.Lister.VMs(ctx, since)
	t.mu.Lock()
	defer t.mu.Unlock()
	if err == nil {
		t.mergeList(changes)
		t.rebuildView(time.Now())
	}
	if t.listVersion == 0 {
		return firstListRetryInterval
	}
	return listInterval
}

// mergeList records the changes of the platform's list.
func (t *Tracker) mergeList(changes client.VMChanges) {
	if changes.Whole {
		for _, e := range t.entries {
			e.listedState = ""
		}
	}
	for _, id := range changes.Removed {
		if e, ok := t.entries[id]; ok {
			e.listedState = ""
		}
	}
	for _, vm := range changes.VMs {
		if vm.ID != t.self.ID {
			m := Member{ID: vm.ID, Address: vm.Address, Region: vm.Region, DataCentre: vm.DataCentre}
			t.mergeListedVM(m, State(vm.State))
		}
	}
	t.listVersion = changes.Version
}

// mergeListedVM records the listed state of a VM. The address and location that the VM itself reported within
// leavingMaxAge are kept, because the list lags behind.
func (t *Tracker) mergeListedVM(m Member, state State) {
	e, ok := t.entries[m.ID]
	if !ok || !isRecent(time.Now(), e.selfReportedAt, leavingMaxAge) {
		e = t.upsertEntry(m)
	}
	e.listedState = state
}
