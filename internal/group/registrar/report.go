package registrar

import (
	"maps"
	"slices"

	"parsleyscale/internal/session/tokenizer"
)

// Report is what VMs know that bears on the choice of a new primary, and that the VM which replaces the old one may not know.
type Report struct {
	// PassedOn covers the commits whose acknowledgements the VMs have passed on, except those that a replica which they know has received.
	PassedOn tokenizer.Position
	// IsComplete states that all VMs have reported, and that PassedOn covers also what they passed on before they last started.
	IsComplete bool
	// DepartureFloor is a position that the new primary must hold, since a replica has left; zero: none is known.
	DepartureFloor tokenizer.Position
	// Missing are replicas without a registry entry that have not left as far as a VM knows, sorted.
	Missing []string
}

// With adds the report of other VMs.
func (r Report) With(other Report) Report {
	missing := slices.Concat(r.Missing, other.Missing)
	slices.Sort(missing)
	return Report{
		PassedOn: r.PassedOn.Max(other.PassedOn), IsComplete: r.IsComplete && other.IsComplete,
		DepartureFloor: r.DepartureFloor.Max(other.DepartureFloor), Missing: slices.Compact(missing),
	}
}

// Report returns what this VM knows. The commits that it passed on before its start are covered by the first position that a primary has
// proved to it. Once the term is sealed, it passes on no more.
func (g *Group) Report() Report {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := Report{PassedOn: g.firstProof.Max(g.passedOn), IsComplete: !g.firstProof.IsZero()}
	r.DepartureFloor, _ = g.departure.highestFloor()
	for _, id := range slices.Sorted(maps.Keys(g.instances)) {
		if !g.instances[id].missingAt.IsZero() && id != g.latestPrimary {
			r.Missing = append(r.Missing, id)
		}
	}
	return r
}

// RecordReport raises the floors to what VMs have passed on while a replica that has left may have received entries.
func (g *Group) RecordReport(r Report) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.assumption.recordReport(r.PassedOn)
	for m, s := range g.departure.silent {
		g.departure.silent[m] = s.withFloor(r.PassedOn)
	}
}
