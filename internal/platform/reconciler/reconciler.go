// Package reconciler decides which entries of the registry a VM uses. A store that was restored from an older copy shows entries
// as they were some seconds before: of instances that have left since, whose address may belong to another instance by now, and with
// an earlier state of others. The instances write their entries again at intervals, so such an entry is not used before its row changes.
package reconciler

import (
	"maps"

	"parsleyscale/internal/platform/follower"
	"parsleyscale/internal/sheet/cataloger"
)

// maxDeparted limits the departed instances that are remembered. They matter for the seconds that a restore loses; an entry takes
// about 100 bytes.
const maxDeparted = 256

// Entry is a row of the registry's table.
type Entry struct {
	ID       string
	Version  uint64              // of the row
	Instance *cataloger.Instance // nil: the row was removed, or its value is unusable
	// IsUnusable states that the row is there, but its value is unusable.
	IsUnusable bool
}

// departed is an instance that has left the registry.
type departed struct {
	startedAtMs int64
	number      int // departures are numbered in their order
}

// Registry is the registry as a VM uses it, an immutable value. The zero value has not been read.
type Registry struct {
	isRead    bool
	era       uint64 // of the store
	instances cataloger.Registry
	departed  map[string]departed
	latest    int               // number of the latest departure
	outdated  map[string]uint64 // version of the row, by ID, of each entry that is not used until its row changes
}

// Instances returns the instances in use. The caller must not change them.
func (r Registry) Instances() cataloger.Registry { return r.instances }

// OutdatedCount returns the number of entries that are not used until their rows change.
func (r Registry) OutdatedCount() int { return len(r.outdated) }

// IsRestoredAt reports whether a version is of a later era than the registry: the store was restored in between.
func (r Registry) IsRestoredAt(version uint64) bool {
	return r.isRead && follower.EraOf(version) > r.era
}

func (r Registry) clone() Registry {
	r.instances, r.departed, r.outdated = maps.Clone(r.instances), maps.Clone(r.departed), maps.Clone(r.outdated)
	if r.instances == nil {
		r.instances = cataloger.Registry{}
	}
	if r.departed == nil {
		r.departed = map[string]departed{}
	}
	if r.outdated == nil {
		r.outdated = map[string]uint64{}
	}
	return r
}

// WithTable returns the registry after all rows of the table were read at a version of the store. An instance without an entry in
// the first table of a later era has not left: its entry may have been lost.
func (r Registry) WithTable(entries []Entry, version uint64) Registry {
	era := follower.EraOf(version)
	isRestored := r.IsRestoredAt(version)
	next := r.clone()
	next.isRead, next.era = true, max(r.era, era)
	next.instances, next.outdated = cataloger.Registry{}, map[string]uint64{}
	for _, e := range entries {
		known, isKnown := r.instances[e.ID]
		if v, ok := r.outdated[e.ID]; isRestored && r.isOutdated(e) || !isRestored && ok && e.Version <= v {
			next.outdated[e.ID] = e.Version
			if isKnown {
				next.instances[e.ID] = known
			}
			continue
		}
		if e.Instance != nil {
			next.instances[e.ID] = *e.Instance
			delete(next.departed, e.ID)
		}
	}
	for id, i := range r.instances {
		if _, ok := next.instances[id]; !ok && !isRestored {
			next.recordDeparted(i)
		}
	}
	return next
}

// isOutdated reports whether an entry of a restored table is earlier than what the VM knows: the entry of an instance that has left,
// or another one of the same or an earlier run of a known instance.
func (r Registry) isOutdated(e Entry) bool {
	if e.Instance == nil {
		return false
	}
	if known, ok := r.instances[e.ID]; ok {
		return *e.Instance != known && e.Instance.StartedAtMs <= known.StartedAtMs
	}
	left, ok := r.departed[e.ID]
	return ok && e.Instance.StartedAtMs <= left.startedAtMs
}

// Unseen returns the groups of instances that join and leave within changes, so that no state of the registry shows them. It reports
// whether it can tell: a removed row doesn't name its group.
func (r Registry) Unseen(entries []Entry) (groups []string, ok bool) {
	joined := map[string]cataloger.Instance{}
	for _, e := range entries {
		before, hasJoined := joined[e.ID]
		_, isKnown := r.instances[e.ID]
		switch {
		case e.Instance != nil && hasJoined && before.StartedAtMs != e.Instance.StartedAtMs, e.Instance == nil && hasJoined:
			groups = append(groups, before.Group)
		case e.Instance == nil && !isKnown && !e.IsUnusable:
			return nil, false
		}
		delete(joined, e.ID)
		if e.Instance != nil && !isKnown {
			joined[e.ID] = *e.Instance
		}
	}
	return groups, true
}

// WithChanges returns the registry after rows have changed.
func (r Registry) WithChanges(entries []Entry) Registry {
	next := r.clone()
	for _, e := range entries {
		if v, ok := next.outdated[e.ID]; ok && e.Version <= v {
			continue
		}
		delete(next.outdated, e.ID)
		if e.Instance != nil {
			next.instances[e.ID] = *e.Instance
			delete(next.departed, e.ID)
			continue
		}
		if i, ok := next.instances[e.ID]; ok {
			next.recordDeparted(i)
			delete(next.instances, e.ID)
		}
	}
	return next
}

// recordDeparted adds a departed instance to a registry that is not shared yet.
func (r *Registry) recordDeparted(i cataloger.Instance) {
	r.latest++
	r.departed[i.ID] = departed{startedAtMs: i.StartedAtMs, number: r.latest}
	for id, d := range r.departed {
		if d.number <= r.latest-maxDeparted {
			delete(r.departed, id)
		}
	}
}
