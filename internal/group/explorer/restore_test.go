package explorer

import (
	"bytes"
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/group/replacer"
	"parsleyscale/internal/platform/follower"
	"parsleyscale/internal/platform/reconciler"
	"parsleyscale/internal/sheet/cataloger"
)

const (
	// restore is the event that the store is away for a time and then returns from a copy that is extra older.
	restore kind = "restore"
	// rewriteTime is the longest time after a restore until an instance writes its registry entry again.
	rewriteTime = 2 * time.Second
)

// registryRow is a row of the registry.
type registryRow struct {
	instance cataloger.Instance
	version  uint64
}

// storeState is a state of the store.
type storeState struct {
	at       time.Duration
	version  uint64
	rows     map[string]follower.Row
	registry map[string]registryRow
	marked   uint64
}

// keep records the present state of the store. The caller holds w.mu.
func (w *world) keep() {
	w.states = append(w.states, storeState{at: w.now(), version: w.version, rows: maps.Clone(w.rows), registry: maps.Clone(w.registry), marked: w.marked})
}

// restore replaces the state of the store by that of an earlier time, in the next era. The instances write their entries again some
// time later.
func (w *world) restore(from time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	k := len(w.states) - 1
	for k > 0 && w.states[k].at > from {
		k--
	}
	s := w.states[k]
	w.states = w.states[:k+1]
	w.logLocked("store: returns from the copy of %.3f in era %d: version %d instead of %d", s.at.Seconds(), w.era+1, s.version, w.version)
	w.era++
	w.version, w.rows, w.registry, w.marked = s.version, maps.Clone(s.rows), maps.Clone(s.registry), s.marked
	w.restoredAt = w.now()
	for _, i := range w.sortedInstances() {
		i.entry = nil
		if r, ok := w.registry[i.id]; ok {
			entry := r.instance
			i.entry = &entry
		}
		if i.startedAt >= 0 { // otherwise it registers later, for the first time
			i.writesAt = w.now() + w.drawLocked("rewrite "+i.id, 20*time.Millisecond, rewriteTime)
		}
	}
	w.announce()
}

// expireLeft removes entries of instances that don't exist any more, which only a restored store has.
func (w *world) expireLeft() {
	if w.restoredAt == 0 || w.now()-w.restoredAt <= entryLifetime {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(w.registry)) {
		if _, ok := w.instances[id]; !ok {
			w.logLocked("store: entry of %s, which has left, expires", id)
			w.version++
			delete(w.registry, id)
			w.announce()
		}
	}
}

// hides reports whether an instance has joined and left, or restarted, between two versions of the store, so that the registry shows it at neither,
// or whether the store was restored in between. A VM without a version has just started.
func (w *world) hides(before, after uint64) bool {
	if before == 0 || follower.EraOf(before) != follower.EraOf(after) {
		return before != 0
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	starts := func(s storeState) map[string]int64 {
		m := map[string]int64{}
		for id, r := range s.registry {
			m[id] = r.instance.StartedAtMs
		}
		return m
	}
	var first, last map[string]int64
	var between []map[string]int64
	for _, s := range w.states {
		switch {
		case s.version <= follower.NumberOf(before):
			first = starts(s)
		case s.version < follower.NumberOf(after):
			between = append(between, starts(s))
		case s.version == follower.NumberOf(after):
			last = starts(s)
		}
	}
	for _, s := range between {
		for id, start := range s {
			if first[id] != start && last[id] != start {
				return true
			}
		}
	}
	return false
}

// entries returns the registry as a VM reads it. The caller holds w.mu.
func (w *world) entries() []reconciler.Entry {
	var list []reconciler.Entry
	for id, r := range w.registry {
		instance := r.instance
		list = append(list, reconciler.Entry{ID: id, Version: follower.VersionAt(w.era, r.version), Instance: &instance})
	}
	return list
}

// reached returns the version of the store. The caller holds w.mu.
func (w *world) reached() uint64 { return follower.VersionAt(w.era, w.version) }

// recordEra records the era of an answer of the store, as the client of the store does.
func (n *node) recordEra(era uint64) {
	n.mu.Lock()
	isRise := era > n.era
	n.era = max(n.era, era)
	if isRise {
		n.restoredAt = time.Now()
	}
	n.mu.Unlock()
	if isRise {
		n.claims.RecordRestore(era)
	}
}

// isRegistryComplete is that of the assembler.
func (n *node) isRegistryComplete() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.restoredAt.IsZero() || time.Since(n.restoredAt) >= replacer.EntriesBackTime
}

// hasRecentRestore is recentRestore of the assembler.
func (n *node) hasRecentRestore() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.restoredAt.IsZero() && time.Since(n.restoredAt) < 10*time.Second
}

func (n *node) knownEra() uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.era
}

// Swap implements claimer.Store as the client of the store does, with the marker of each era that keeps out writes of earlier ones.
func (t table) Swap(ctx context.Context, name, key string, value []byte, version uint64) (uint64, follower.Row, error) {
	w := t.n.w
	sentEra := t.n.knownEra()
	if version != 0 && follower.EraOf(version) < sentEra {
		return 0, follower.Row{}, classifier.New(classifier.Conflict, "store was restored since version %d", version)
	}
	var era, newVersion uint64
	var row follower.Row
	err := t.n.store(ctx, func() error {
		era = w.era
		row = w.rows[name+"/"+key]
		if w.marked > sentEra || row.Version != follower.NumberOf(version) {
			if row.Version != 0 {
				row.Version = follower.VersionAt(era, row.Version)
			}
			return classifier.New(classifier.Conflict, "version is %d, want %d", row.Version, version)
		}
		w.version++
		newVersion = w.reached()
		w.rows[name+"/"+key] = follower.Row{Key: key, Value: value, Version: w.version}
		w.marked = max(w.marked, sentEra)
		w.keep()
		w.logLocked("%s: writes %s %s", t.n.id, name, value)
		row = follower.Row{}
		return nil
	})
	if err != nil && !classifier.Is(err, classifier.Conflict) {
		return 0, follower.Row{}, err
	}
	t.n.recordEra(era)
	if err == nil && name == "claims" {
		point := atClaim
		if bytes.Contains(value, []byte(`"choice"`)) {
			point = atRecord
		}
		w.reach(t.n.id, point)
	}
	if err == nil && version != 0 && follower.EraOf(version) != era {
		return 0, follower.Row{}, classifier.New(classifier.Conflict, "store was restored since version %d", version)
	}
	if err != nil {
		return 0, row, err
	}
	return newVersion, row, nil
}

// ReadFrom implements enroller.Store for a table with one row.
func (t table) ReadFrom(ctx context.Context, name, key string, _ int) (p follower.Page, isAll bool, err error) {
	var row follower.Row
	err = t.n.store(ctx, func() error {
		if row = t.n.w.rows[name+"/"+key]; row.Version != 0 {
			row.Version = follower.VersionAt(t.n.w.era, row.Version)
		}
		return nil
	})
	if err == nil && row.Version != 0 {
		t.n.recordEra(follower.EraOf(row.Version))
		p.Rows = append(p.Rows, row)
	}
	return p, true, err
}

// fence is Fence of the assembler: a promote request for no instance.
func (n *node) fence(ctx context.Context, group string, token uint64) error {
	err := n.promote(ctx, group, "-", token)
	if classifier.Is(err, classifier.Conflict) {
		return nil
	}
	return err
}

// withRestores returns the same history with one or two restores of the store, the first one shortly after another event, so that
// it may take effect while a primary is being replaced.
func withRestores(h history) history {
	r := rand.New(rand.NewPCG(h.seed, 11))
	events := slices.Clone(h.events)
	for n := range 1 + r.IntN(2) {
		e := event{
			at: between(r, 500*time.Millisecond, h.length-4*time.Second), kind: restore, a: storeService,
			lasts: between(r, 20*time.Millisecond, time.Second), extra: between(r, 200*time.Millisecond, 4*time.Second),
		}
		if n == 0 {
			e.at = pick(r, h.events...).at + between(r, 0, 1500*time.Millisecond)
			e.lasts = between(r, 5*time.Millisecond, 200*time.Millisecond)
		}
		events = append(events, e)
	}
	slices.SortStableFunc(events, func(a, b event) int { return int(a.at - b.at) })
	h.events = events
	return h
}
