package registrar

import (
	"encoding/json"
	"fmt"
	"time"

	"parsleyscale/internal/group/witness"
	"parsleyscale/internal/session/tokenizer"
)

// Roster tells a VM that starts which instances of a group may hold commits that no other instance holds. It is a row of the
// store. Each commit that had been acknowledged when the roster was written is covered by the floor, or a replica of the roster has
// received it. A VM that finds all these replicas in the registry, none of which has restarted, has thus missed no departure.
type Roster struct {
	Instances       []Member           `json:"instances"`         // at most MaxMembers; none if there are more
	Primary         string             `json:"primary,omitempty"` // the latest one that was known, which need not be an instance of the roster
	Term            uint64             `json:"term,omitempty"`    // in which it led
	Floor           tokenizer.Position `json:"floor"`
	RegistryVersion uint64             `json:"registryVersion"` // up to which the writer knew the registry
}

// Member is an instance from its start to its end.
type Member struct {
	ID          string `json:"id"`
	StartedAtMs int64  `json:"startedAtMs"`
}

// MaxMembers bounds the size of a roster.
const MaxMembers = 64

// UnmarshalJSON decodes a roster and rejects one with too many instances, or with one that has no name.
func (r *Roster) UnmarshalJSON(b []byte) error {
	type fields Roster // without this method
	var f fields
	if err := json.Unmarshal(b, &f); err != nil {
		return err
	}
	if len(f.Instances) > MaxMembers {
		return fmt.Errorf("roster has %d instances, the limit is %d", len(f.Instances), MaxMembers)
	}
	for _, m := range f.Instances {
		if m.ID == "" {
			return fmt.Errorf("roster has an instance without a name")
		}
	}
	*r = Roster(f)
	return nil
}

// AssumeDepartures makes the groups that are added from now on assume that a replica left before this VM knew them, until a
// roster shows the opposite. Only instances that hold the first position which a primary has proved to this VM may then be promoted.
func (r *Registrar) AssumeDepartures() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.assumesDepartures = true
}

// ApplyRoster records that a roster shows that no replica left without this VM seeing it, so that it is enough for a new primary to hold the
// floor of the roster. It returns an error if an instance of the roster is not known here, or has restarted. A missing primary is no departure: each of its commits was acknowledged by a replica.
// But if there has been a later term, it may have become a replica since.
func (g *Group) ApplyRoster(r Roster) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(r.Instances) == 0 {
		return fmt.Errorf("the roster of group %s lists no instances", g.name)
	}
	for _, m := range r.Instances {
		s, ok := g.instances[m.ID]
		isPresent := ok && s.StartedAtMs == m.StartedAtMs
		isPrimary := m.ID == r.Primary && r.Term == g.primary.Term
		if !isPresent && !isPrimary {
			return fmt.Errorf("instance %s of the roster of group %s has left or restarted", m.ID, g.name)
		}
	}
	g.assumption.hasRoster, g.assumption.rosterFloor = true, r.Floor
	return nil
}

// AssumesDeparture reports whether the group assumes that a replica left without this VM seeing it.
func (g *Group) AssumesDeparture() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.assumption.isOpen()
}

// NeedsRoster reports whether only a roster, or what all VMs have passed on, can tell what a new primary must hold.
func (g *Group) NeedsRoster() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.assumption.isOpen() && !g.assumption.isFinal
}

// AssumedDeparture returns the floor of departures that this VM may not have seen, and AssumesDeparture.
func (g *Group) AssumedDeparture() (floor tokenizer.Position, isAssumed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.assumption.hasRoster {
		return g.assumption.rosterFloor, false
	}
	return g.assumption.floor, g.assumption.isMade
}

// RosterView is what a VM knows of a group for its roster.
type RosterView struct {
	Instances      []Member
	Primary        string // the latest one that proved to be one; "": none
	Term           uint64 // in which it led last; zero: not known
	FirstProof     tokenizer.Position
	Newest         witness.Sample     // of the primary's position
	DepartureFloor tokenizer.Position // of the latest departure that this VM has noticed; zero: none, or not known
	Now            time.Duration      // on the registrar's clock
}

// RosterView returns what this VM knows of the group for its roster.
func (g *Group) RosterView() RosterView {
	g.mu.Lock()
	defer g.mu.Unlock()
	v := RosterView{FirstProof: g.firstProof, Newest: g.Samples.Newest(), Now: g.clock()}
	v.DepartureFloor, _ = g.departure.highestFloor(nil)
	for id, s := range g.instances {
		v.Instances = append(v.Instances, Member{ID: id, StartedAtMs: s.StartedAtMs})
	}
	if g.latestTerm > 0 {
		v.Primary, v.Term = g.latestPrimary, g.latestTerm
	}
	return v
}
