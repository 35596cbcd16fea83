// Package registrar holds what a VM believes of the groups: their instances,
// the primary and its term, and how each instance behaved lately.
//
// Beliefs come from the registry and from the VM's own exchanges with the
// instances. Only an answer that an instance gives to a statement which no
// other than the primary accepts proves a primary; the registry's word and an
// instance's own are hints on whom to ask.
package registrar

import (
	"maps"
	"slices"
	"sync"
	"time"

	"parsleyscale/internal/group/witness"
	"parsleyscale/internal/session/tokenizer"
	"parsleyscale/internal/sheet/cataloger"
	"parsleyscale/internal/statement/carrier"
)

const (
	// keepMissing is how long an instance without an entry stays known: entries
	// that expired during an outage of the store come back within 2 s of its return.
	keepMissing = 2500 * time.Millisecond
	// keepSamples is longer than any staleness that a route accepts today.
	keepSamples = 10 * time.Second
)

// Clock is a clock that counts while the VM is suspended.
type Clock func() time.Duration

// Registrar holds the groups of a VM.
type Registrar struct {
	clock Clock

	mu     sync.Mutex
	groups map[string]*Group
}

// New returns an empty registrar.
func New(clock Clock) *Registrar {
	return &Registrar{clock: clock, groups: map[string]*Group{}}
}

// Group returns the group of a name, which may have no instances yet.
func (r *Registrar) Group(name string) *Group {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.groupLocked(name)
}

func (r *Registrar) groupLocked(name string) *Group {
	g, ok := r.groups[name]
	if !ok {
		g = &Group{name: name, clock: r.clock, instances: map[string]*belief{}, changed: make(chan struct{}), Samples: witness.New(keepSamples)}
		r.groups[name] = g
	}
	return g
}

// Groups returns all groups in the order of their names.
func (r *Registrar) Groups() []*Group {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]*Group, 0, len(r.groups))
	for _, name := range slices.Sorted(maps.Keys(r.groups)) {
		list = append(list, r.groups[name])
	}
	return list
}

// Update takes over the registry as it is now.
func (r *Registrar) Update(registry cataloger.Registry) {
	r.mu.Lock()
	byGroup := map[string][]cataloger.Instance{}
	for name := range r.groups {
		byGroup[name] = nil
	}
	for _, i := range registry {
		byGroup[i.Group] = append(byGroup[i.Group], i)
	}
	groups := make(map[*Group][]cataloger.Instance, len(byGroup))
	for name, list := range byGroup {
		groups[r.groupLocked(name)] = list
	}
	r.mu.Unlock()
	for g, list := range groups {
		g.update(list)
	}
}

// TargetOf returns where an instance listens.
func TargetOf(i cataloger.Instance) carrier.Target {
	return carrier.Target{Instance: i.ID, Group: i.Group, Address: i.Address}
}

// Lead is the primary that a VM believes in.
type Lead struct {
	Instance string
	Term     uint64 // highest term that was seen in the group
	Since    time.Time
}

// IsKnown reports whether there is a primary to ask.
func (l Lead) IsKnown() bool { return l.Instance != "" }

// Proof is an answer that only a primary gives.
type Proof struct {
	Instance string
	SentAt   time.Duration // on the clock of the registrar, before the request was sent
	Position tokenizer.Position
}
