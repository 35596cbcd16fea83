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
	// SilentFloors are positions that the new primary must hold as well, each unless a replica that has gone missing is held.
	SilentFloors map[Member]tokenizer.Position
	// Unanswered is the number of VMs that have not answered and may go on to pass on acknowledgements, and Answered that of the others but the one
	// that asks.
	Unanswered, Answered int
	// Orders are the promote requests of other VMs at the end of the term that may still be carried out.
	Orders []Order
	// Missing are replicas without a registry entry that have not left as far as a VM knows, sorted.
	Missing []string
}

// With adds the report of other VMs.
func (r Report) With(other Report) Report {
	missing := slices.Concat(r.Missing, other.Missing)
	slices.Sort(missing)
	floors := maps.Clone(r.SilentFloors)
	for m, p := range other.SilentFloors {
		if floors == nil {
			floors = map[Member]tokenizer.Position{}
		}
		floors[m] = floors[m].Max(p)
	}
	return Report{
		PassedOn: r.PassedOn.Max(other.PassedOn), IsComplete: r.IsComplete && other.IsComplete, Unanswered: r.Unanswered + other.Unanswered, Answered: r.Answered + other.Answered,
		DepartureFloor: r.DepartureFloor.Max(other.DepartureFloor), SilentFloors: floors, Missing: slices.Compact(missing), Orders: withOrders(r.Orders, other.Orders),
	}
}

// IsOfMinority reports whether the VM that asks and those that have answered are no majority of all VMs.
func (r Report) IsOfMinority() bool { return r.Unanswered > r.Answered }

// withOrders adds to a list of orders those of another one that it lacks.
func withOrders(list, other []Order) []Order {
	sum := slices.Clone(list)
	for _, o := range other {
		if !slices.Contains(sum, o) {
			sum = append(sum, o)
		}
	}
	return sum
}

// WithOrders adds promote requests that may still be carried out.
func (r Report) WithOrders(orders []Order) Report {
	r.Orders = withOrders(r.Orders, orders)
	return r
}

// WithoutHolds returns the report for the case that no silent replica is held: the departure floor covers all silent floors.
func (r Report) WithoutHolds() Report {
	for _, p := range r.SilentFloors {
		r.DepartureFloor = r.DepartureFloor.Max(p)
	}
	r.SilentFloors = nil
	return r
}

// IsMet reports whether an instance that has received the log up to p holds the floors of the report. Held are the newest entries of silent
// replicas that are held.
func (r Report) IsMet(p tokenizer.Position, held map[Member]tokenizer.Position) bool {
	for m, floor := range r.SilentFloors {
		if received, ok := held[m]; ok {
			floor = received
		}
		if !p.Covers(floor) {
			return false
		}
	}
	return p.Covers(r.DepartureFloor)
}

// Report returns what this VM knows. The commits that it passed on before its start are covered by the first position that a primary has
// proved to it. Once the term is sealed, it passes on no more.
func (g *Group) Report() Report {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := Report{PassedOn: g.firstProof.Max(g.passedOn), IsComplete: !g.firstProof.IsZero()}
	r.DepartureFloor = g.departure.floor
	for m, s := range g.departure.silent {
		if !s.floor.IsZero() {
			r = r.With(Report{IsComplete: r.IsComplete, SilentFloors: map[Member]tokenizer.Position{m: s.floor}})
		}
	}
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
