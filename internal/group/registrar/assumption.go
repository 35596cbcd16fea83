package registrar

import (
	"time"

	"parsleyscale/internal/session/tokenizer"
)

// assumption is the assumption that a replica left the group without this VM seeing it, and that the primary counted the replica for
// commits which no other replica holds. A VM makes it for the time before its start, and for each time in which it may have missed changes of
// the registry.
type assumption struct {
	isMade bool
	since  time.Duration      // on the registrar's clock; the VM has seen all later changes
	floor  tokenizer.Position // covers the commits that the VM knows to be acknowledged, for which such a replica may have counted
	// isProved states that a primary has proved the floor since then, so that it covers all commits before.
	isProved bool
	// isFinal states that a primary has proved the floor when the replica could no longer receive. It then covers the commits that other VMs
	// passed on, too.
	isFinal bool

	// hasRoster states that a roster has shown that no replica left. It is then enough to hold rosterFloor. The assumption stays beside it,
	// since the floor of a roster may lie beyond what the replicas of a failed primary have received.
	hasRoster   bool
	rosterFloor tokenizer.Position
}

// isOpen reports whether the assumption is made and no roster has shown the opposite.
func (a assumption) isOpen() bool { return a.isMade && !a.hasRoster }

// silentFrom returns the time from which on the replica receives nothing.
func (a assumption) silentFrom() time.Duration { return a.since + maxStopTime }

// needsFinalFloor reports whether a proof of the primary would make the floor final.
func (a assumption) needsFinalFloor(now time.Duration) bool {
	return a.isOpen() && !a.isFinal && now >= a.silentFrom()
}

// rosterTime is the time in which the VMs that act first have usually read a roster. What others pass on later does not matter to them then.
// Without a roster, an unconfirmed commit raises the floor, which can only delay a replacement.
const rosterTime = 5 * time.Second

// needsReceipts reports whether the VMs that act first may depend on what this VM passes on.
func (a assumption) needsReceipts(now time.Duration) bool {
	return a.isOpen() && !a.isFinal && now < a.since+rosterTime
}

// recordProof takes the position of a proof for the floor if it covers commits that the floor may lack.
func (a *assumption) recordProof(p Proof) {
	if !a.isMade || a.isFinal || p.SentAt < a.since {
		return
	}
	a.isFinal = p.SentAt >= a.silentFrom()
	if !a.isProved || a.isFinal {
		a.floor = a.floor.Max(p.Position)
	}
	a.isProved = true
}

// raiseFloor raises the floor to the position of the primary at an acknowledgement that this VM passes on now.
func (a *assumption) raiseFloor(p tokenizer.Position, now time.Duration) {
	if a.isMade && !a.isFinal && now < a.silentFrom() {
		a.floor = a.floor.Max(p)
	}
}

// recordReport raises the floor to what VMs have passed on at any time.
func (a *assumption) recordReport(passedOn tokenizer.Position) {
	if a.isMade && !a.isFinal {
		a.floor = a.floor.Max(passedOn)
	}
}

// isMet reports whether an instance that has received the log up to p holds every commit for which the replica counted. Until the floor is
// final, it covers only the commits that are known to have been passed on, so that all other VMs must have told theirs.
func (a assumption) isMet(p tokenizer.Position, areAllTold bool) bool {
	if a.hasRoster && p.Covers(a.rosterFloor) {
		return true
	}
	isKnown := !a.isMade || a.isFinal || areAllTold && a.isProved
	return isKnown && p.Covers(a.floor)
}

// RecordGap records that this VM may have missed changes of the registry: a replica of any group may have joined and left.
func (r *Registrar) RecordGap() {
	for _, g := range r.Groups() {
		g.RecordGap()
	}
}

// RecordGap records that this VM may have missed changes of the group: a replica may have joined and left.
func (g *Group) RecordGap() {
	g.mu.Lock()
	defer g.mu.Unlock()
	floor := g.assumption.floor
	if g.assumption.hasRoster {
		floor = g.assumption.rosterFloor
	}
	g.assumption = assumption{isMade: true, since: g.clock(), floor: floor}
}

// recordAssumedSample records a proven position of the primary for the assumption, and as the first one. The caller holds g.mu.
func (g *Group) recordAssumedSample(p Proof) {
	if g.firstProof.IsZero() && p.SentAt >= g.firstUpdateAt {
		g.firstProof = p.Position
	}
	g.assumption.recordProof(p)
}
