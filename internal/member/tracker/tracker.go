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
	exchangeInterval = 2 * time.Second
	exchangeTimeout  = time.Second
	listInterval     = 15 * time.Second
	listTimeout      = 5 * time.Second
	firstListRetry   = 5 * time.Second // while the list was never read
	wholeInterval    = time.Minute     // between requests for all VMs while there is no list
	jitterShare      = 0.25            // of an interval, either way
)

// Lister is the platform's list of VMs.
type Lister interface {
	VMs(ctx context.Context, since uint64) (client.VMChanges, error)
}

// Exchanger is the call to a peer that the tracker needs.
type Exchanger interface {
	Exchange(ctx context.Context, r *messenger.ExchangeRequest) (*messenger.ExchangeResponse, error)
}

// Config holds the settings of a tracker.
type Config struct {
	Self  Member
	List  Lister
	Dial  func(address string) Exchanger
	Seeds []string // addresses asked while no other VM is known
}

// Tracker keeps a VM's belief about all VMs.
type Tracker struct {
	cfg    Config
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu          sync.Mutex
	self        Member
	vms         map[string]*entry    // others than self
	listVersion uint64               // 0 before the first list
	wholeAt     time.Time            // when all VMs were last asked for
	dirty       bool                 // the belief has changed since the view was made
	contested   map[string]*entry    // VMs to report, and some that need not be any more
	view        atomic.Pointer[view] // replaced with mu held
	changed     chan struct{}
}

type entry struct {
	member Member // its state is not used
	shown  State  // in the view
	evidence
}

// view is an immutable snapshot of the belief.
type view struct {
	members []Member           // by identity, self included
	centres map[string]*centre // by name

	mu            sync.Mutex // of what is derived at the first need
	selected      bool       // local and remote hold the peers
	local, remote []Member
}

// New returns a running tracker.
func New(cfg Config) *Tracker {
	t := &Tracker{cfg: cfg, self: cfg.Self, vms: map[string]*entry{}, contested: map[string]*entry{}, changed: make(chan struct{})}
	t.view.Store(&view{})
	t.self.State = Live
	t.ctx, t.cancel = context.WithCancel(context.Background())
	t.refresh(time.Now())
	t.wg.Go(func() { t.every(t.readList) })
	t.wg.Go(func() { t.every(t.round) })
	return t
}

// Close stops the tracker and waits for its goroutines.
func (t *Tracker) Close() {
	t.cancel()
	t.wg.Wait()
}

// every calls f at once and then after each interval that it returns, with jitter.
func (t *Tracker) every(f func(ctx context.Context) time.Duration) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
		case <-t.ctx.Done():
			return
		}
		interval := f(t.ctx)
		timer.Reset(time.Duration(float64(interval) * (1 - jitterShare + 2*jitterShare*rand.Float64())))
	}
}

// Members returns all VMs, dead ones included as long as the list names them.
// The caller must not change the result.
func (t *Tracker) Members() []Member { return t.current().members }

// Changed returns a channel that is closed when the belief next changes.
func (t *Tracker) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// Ranked returns the first live VMs of a data centre by rendezvous hashing, at
// most rankedVMs. The two first ones are the gateways of the database. The caller must not change the
// result.
func (t *Tracker) Ranked(database, dataCentre string) []Member {
	c, ok := t.current().centres[dataCentre]
	if !ok {
		return nil
	}
	return c.rank(database)
}

// current takes no lock, because each unit of work asks for the gateways.
func (t *Tracker) current() *view { return t.view.Load() }

// Report notes a direct observation: a good call to a VM, or a failed one. A
// call that the caller canceled is no observation.
func (t *Tracker) Report(id string, err error) {
	if errors.Is(err, context.Canceled) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if e, ok := t.vms[id]; ok {
		now := time.Now()
		t.update(e, now, func() { e.observe(err, now) })
		t.flush(now)
	}
}

func (e *evidence) observe(err error, now time.Time) {
	if err == nil {
		e.goodAt, e.failures = now, 0
		return
	}
	e.failedAt = now
	e.failures++
}

// update changes the evidence of a VM and notes whether that changes the belief.
func (t *Tracker) update(e *entry, now time.Time, f func()) {
	before := believe(e.evidence, now)
	f()
	t.dirty = t.dirty || believe(e.evidence, now) != before
	if e.contested(now) {
		t.contested[e.member.ID] = e
	}
}

// flush refreshes the view if the belief has changed.
func (t *Tracker) flush(now time.Time) {
	if t.dirty {
		t.refresh(now)
	}
}

// expire finds the changes that only the passing of time brings, and drops VMs
// of which nothing is known any more.
func (t *Tracker) expire(now time.Time) {
	for id, e := range t.vms {
		t.dirty = t.dirty || believe(e.evidence, now) != e.shown
		if e.stale(now) {
			delete(t.vms, id)
		}
	}
	maps.DeleteFunc(t.contested, func(id string, e *entry) bool { return t.vms[id] != e || !e.contested(now) })
	t.flush(now)
}

// refresh derives the view anew and wakes waiters if something changed.
func (t *Tracker) refresh(now time.Time) {
	t.dirty = false
	members := []Member{t.self}
	for id, e := range t.vms {
		if e.contested(now) {
			t.contested[id] = e
		}
		if e.shown = believe(e.evidence, now); e.shown != "" {
			m := e.member
			m.State = e.shown
			members = append(members, m)
		}
	}
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(a.ID, b.ID) })
	if old := t.view.Load(); !slices.Equal(members, old.members) {
		t.view.Store(&view{members: members, centres: centresOf(members, old.centres)})
		close(t.changed)
		t.changed = make(chan struct{})
	}
}

// entryOf returns the entry of a VM and takes over a new place of it.
func (t *Tracker) entryOf(m Member) *entry {
	e, ok := t.vms[m.ID]
	if !ok {
		e = &entry{}
		t.vms[m.ID] = e
	}
	e.member = m
	return e
}

// readList asks the platform for changes of the list. After a failure the last list stays in use.
func (t *Tracker) readList(ctx context.Context) time.Duration {
	t.mu.Lock()
	since := t.listVersion
	t.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	c, err := t.cfg.List.VMs(ctx, since)
	t.mu.Lock()
	defer t.mu.Unlock()
	if err == nil {
		t.takeList(c)
		t.refresh(time.Now())
	}
	if t.listVersion == 0 {
		return firstListRetry
	}
	return listInterval
}

func (t *Tracker) takeList(c client.VMChanges) {
	if c.Whole {
		for _, e := range t.vms {
			e.listed = ""
		}
	}
	for _, id := range c.Removed {
		if e, ok := t.vms[id]; ok {
			e.listed = ""
		}
	}
	for _, v := range c.VMs {
		if v.ID != t.self.ID {
			m := Member{ID: v.ID, Address: v.Address, Region: v.Region, DataCentre: v.DataCentre}
			t.takeListed(m, State(v.State))
		}
	}
	t.listVersion = c.Version
}

// takeListed notes the list's word on a VM. The place that a VM gave itself
// stays, because the list lags.
func (t *Tracker) takeListed(m Member, state State) {
	e, ok := t.vms[m.ID]
	if !ok || !within(time.Now(), e.saidAt, leaveWindow) {
		e = t.entryOf(m)
	}
	e.listed = state
}
