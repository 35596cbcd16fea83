package replacer

import (
	"time"

	"parsleyscale/internal/group/registrar"
	"parsleyscale/internal/session/tokenizer"
)

// EndedBy is the way in which an attempt ended a term.
type EndedBy string

// The ways to end a term.
const (
	EndedByHold            EndedBy = "hold"            // all known replicas answered a hold
	EndedByHoldAndDemotion EndedBy = "holdAndDemotion" // the demoted primary stands in for a replica
	EndedByFormerPrimary   EndedBy = "formerPrimary"   // a primary that had been demoted before was held
	EndedByDemotion        EndedBy = "demotion"
	EndedByPeer            EndedBy = "demotionByPeer" // through another VM
)

// Basis describes what the choice of an instance is based on.
type Basis struct {
	EndedBy       EndedBy
	Via           string // address of the VM that passed on the demotion
	IsSpare       bool   // the token is a spare one, so the choice is not recorded with a claim
	EarlierChoice string // of another attempt at the term; "": none is recorded
	Known         int    // instances of the group that the VM knew
	Unanswered    int    // replicas that did not answer the hold
	Unsealed      int    // VMs that did not answer the seal and may go on to pass on acknowledgements
	Candidates    int
	Received      tokenizer.Position // of the chosen instance
	Demoted       tokenizer.Position // of the demoted primary; zero: not known

	OpenOrders []registrar.Order // of earlier attempts at the term, as VMs have reported

	RegistryVersion uint64 // zero: not known
	RegistryAge     time.Duration

	HasDeparture   bool
	DepartureFloor tokenizer.Position // zero: not known
	SilentReplicas int                // replicas that have gone missing without a notice

	IsDepartureAssumed bool               // a replica may have left before this VM knew the group
	AssumedFloor       tokenizer.Position // that the chosen instance had to reach because of departures before; zero: none
}

// newBasis returns the part of a basis that is known before the term ends. The instances may be those of a later version
// of the registry, but not of an earlier one.
func (r *Replacer) newBasis(isSpare bool, earlierChoice string) Basis {
	b := Basis{IsSpare: isSpare, EarlierChoice: earlierChoice}
	if r.cfg.RegistryState != nil {
		b.RegistryVersion, b.RegistryAge = r.cfg.RegistryState()
	}
	return b
}

// recordChoice records the candidates, the position of the chosen one and the departures from the group.
func (b *Basis) recordChoice(g *registrar.Group, candidates []candidate, chosen string) {
	b.Candidates = len(candidates)
	b.DepartureFloor, b.SilentReplicas, b.HasDeparture = g.Departure()
	b.AssumedFloor, b.IsDepartureAssumed = g.AssumedDeparture()
	for _, c := range candidates {
		if c.id == chosen {
			b.Received = c.received
		}
	}
}
