// Package registrar holds a VM's view of the groups: their instances, the
// primary and its term, and the recent behaviour of each instance.
//
// The view is derived from the registry and from the VM's own exchanges with the
// instances, and may be wrong or out of date. Only a successful answer to a
// statement that no instance but the primary accepts proves that an instance is
// the primary. The registry's entries and an instance's reports about itself are
// only hints which instance to ask.
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
	// missingRetention is how long an instance without a registry entry stays known: entries
	// that expired during an outage of the store return within 2 s of its recovery.
	missingRetention = 2500 * time.Millisecond
	// restoredRetention is the same from the first registry of a restored store on. A VM may learn of entries that are back through
	// another VM, which takes up to a second more.
	restoredRetention = 4 * time.Second
	// sampleRetention is how long position samples are kept, longer than any staleness that a route accepts.
	sampleRetention = 10 * time.Second
)

// Clock returns the time on a clock that continues to run while the VM is suspended.
type Clock func() time.Duration

// Registrar holds all groups that a VM knows of.
type Registrar struct {
	clock   Clock
	observe func(PrimaryChange)

	mu                sync.Mutex
	groups            map[string]*Group
	assumesDepartures bool
}

// New returns an empty registrar.
func New(clock Clock) *Registrar {
	return &Registrar{clock: clock, observe: func(PrimaryChange) {}, groups: map[string]*Group{}}
}

// Observe sets the function that is called with the changes of the primaries. It has to be called before there are
// groups. f must not call methods of the group.
func (r *Registrar) Observe(f func(PrimaryChange)) { r.observe = f }

// Group returns the group with the given name. It adds a group without instances if there is none yet.
func (r *Registrar) Group(name string) *Group {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.groupLocked(name)
}

func (r *Registrar) groupLocked(name string) *Group {
	g, ok := r.groups[name]
	if !ok {
		g = r.newGroup(name)
		r.groups[name] = g
	}
	return g
}

// Peek returns a group as Group does, but does not add one that is not known.
func (r *Registrar) Peek(name string) *Group {
	r.mu.Lock()
	defer r.mu.Unlock()
	if g, ok := r.groups[name]; ok {
		return g
	}
	return r.newGroup(name)
}

func (r *Registrar) newGroup(name string) *Group {
	return &Group{name: name, clock: r.clock, observe: r.observe, instances: map[string]*instanceState{}, seals: map[string]activeSeal{}, assumption: assumption{isMade: r.assumesDepartures}, changed: make(chan struct{}), Samples: witness.New(sampleRetention)}
}

// Groups returns all groups, sorted by name.
func (r *Registrar) Groups() []*Group {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]*Group, 0, len(r.groups))
	for _, name := range slices.Sorted(maps.Keys(r.groups)) {
		list = append(list, r.groups[name])
	}
	return list
}

// Update applies the present state of the registry to all groups.
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
	for name, instances := range byGroup {
		groups[r.groupLocked(name)] = instances
	}
	r.mu.Unlock()
	for g, instances := range groups {
		g.update(instances)
	}
}

// RecordRestore records that the next registry is that of a store which was restored from an older copy, so that entries may be missing
// until the instances have written them again.
func (r *Registrar) RecordRestore() {
	for _, g := range r.Groups() {
		g.mu.Lock()
		g.restoredAt = time.Now()
		g.mu.Unlock()
	}
}

// NewTarget returns an instance as the target of connections.
func NewTarget(i cataloger.Instance) carrier.Target {
	return carrier.Target{Instance: i.ID, Group: i.Group, Address: i.Address}
}

// Primary is the primary of a group as far as a VM knows.
type Primary struct {
	Instance string    // empty while no primary is known
	Term     uint64    // highest term that was seen in the group
	Since    time.Time // when the primary became known or unknown
}

// IsKnown reports whether a primary is known.
func (p Primary) IsKnown() bool { return p.Instance != "" }

// PrimaryChange describes that an instance has become known as the primary of a term by its own answer, or that the primary
// has become unknown.
type PrimaryChange struct {
	Group    string
	Instance string
	LastTerm uint64             // the latest term in which Instance was known as the primary; zero: none since it started
	Term     uint64             // highest term that was seen in the group
	Position tokenizer.Position // in the answer
	Reason   LossReason         // "": the primary has become known

	PassedOn    tokenizer.Position // of the former primary, at the latest acknowledgement that this VM passed on; zero: none
	PassedOnAgo time.Duration
}

// withAcknowledgement returns the change with an acknowledgement by another primary, or one in an earlier term.
func (c PrimaryChange) withAcknowledgement(a acknowledgement) PrimaryChange {
	if a.position.IsZero() || a.instance == c.Instance && a.position.Term >= c.Position.Term {
		return c
	}
	c.PassedOn, c.PassedOnAgo = a.position, time.Since(a.at)
	return c
}

// LacksEntries reports whether the log of the new primary ends before the position of its predecessor at an acknowledgement that this VM passed
// on. The entries in between are lost. They may include the commit, but that position may also lie beyond it.
func (c PrimaryChange) LacksEntries() bool {
	return c.Reason == "" && c.Position.Index < c.PassedOn.Index
}

// LossReason tells why a primary has become unknown.
type LossReason string

// The reasons.
const (
	LossDenied    LossReason = "denied"    // it denied being the primary
	LossLaterTerm LossReason = "laterTerm" // an instance reported a later term
	LossRemoved   LossReason = "removed"   // it is no longer in the registry
)

// Proof describes an answer that only a primary gives.
type Proof struct {
	Instance string
	SentAt   time.Duration // time on the registrar's clock before the request was sent
	Position tokenizer.Position
}
