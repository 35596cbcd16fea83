package promoter

import (
	"slices"
	"time"

	"parsleyscale/internal/group/sampler"
	"parsleyscale/internal/session/tokenizer"
	"parsleyscale/internal/sheet/parser"
)

// tracker maintains the evidence across views, in particular since when each condition has held.
type tracker struct {
	evidence     Evidence
	raisedTerm   uint64             // highest fence term seen above the confirmed term; 0 if none is above it
	stalledEntry tokenizer.Position // last entry of the primary when StalledSince was set
}

// update applies a view to the evidence.
func (t *tracker) update(v sampler.View, now time.Time) {
	t.evidence.View, t.evidence.Now = v, now
	hasMajority := countReachableVoters(v, "") >= sampler.Majority(v.Voters())
	setSince(&t.evidence.MajoritySince, hasMajority, now)
	setSince(&t.evidence.NoPrimarySince, v.Primary == "" && hasMajority, now)
	p, _ := v.Instance(v.Primary)
	setSince(&t.evidence.SuspectSince, hasMajority && (v.Primary == "" || !p.SuspectAt.IsZero()), now)
	setSince(&t.evidence.FenceAheadSince, v.Primary != "" && isFenceAhead(v), now)
	setSince(&t.evidence.LeavingSince, v.Primary != "" && p.Instance.State == parser.Leaving, now)
	t.updateRaisedAt(v, now)
	t.updateStalledAt(v, p, now)
}

// setSince sets at to now when a condition begins to hold, and to zero when it ends.
func setSince(at *time.Time, isTrue bool, now time.Time) {
	switch {
	case !isTrue:
		*at = time.Time{}
	case at.IsZero():
		*at = now
	}
}

func (t *tracker) updateRaisedAt(v sampler.View, now time.Time) {
	highest := highestFenceTerm(v)
	switch {
	case highest <= v.Term:
		t.raisedTerm, t.evidence.FenceRaisedAt = 0, time.Time{}
	case highest > t.raisedTerm:
		t.raisedTerm, t.evidence.FenceRaisedAt = highest, now
	}
}

// updateStalledAt restarts the stall time whenever a majority has caught up with the entry that set it, so
// replicas that lag but make progress are no stall.
func (t *tracker) updateStalledAt(v sampler.View, p sampler.InstanceView, now time.Time) {
	last := p.Status.Last
	switch {
	case v.Primary == "" || majorityPosition(v).Covers(last):
		t.evidence.StalledSince = time.Time{}
	case t.evidence.StalledSince.IsZero() || majorityPosition(v).Covers(t.stalledEntry):
		t.evidence.StalledSince, t.stalledEntry = now, last
	}
}

// majorityPosition returns the latest position that a majority of the voters holds in the confirmed term,
// or the zero position.
func majorityPosition(v sampler.View) tokenizer.Position {
	var buf [8]tokenizer.Position
	positions := buf[:0]
	for k := range v.Instances {
		if i := &v.Instances[k]; sampler.IsVoter(i.Instance) && i.Status.FenceTerm == v.Term {
			positions = append(positions, i.Status.Last)
		}
	}
	majority := sampler.Majority(v.Voters())
	if len(positions) < majority {
		return tokenizer.Position{}
	}
	slices.SortFunc(positions, func(a, b tokenizer.Position) int { return b.Compare(a) })
	return positions[majority-1]
}

// isFenceAhead reports whether a reachable instance has a fence term above the confirmed term.
func isFenceAhead(v sampler.View) bool {
	for k := range v.Instances {
		if i := &v.Instances[k]; i.Reachable && i.Status.FenceTerm > v.Term {
			return true
		}
	}
	return false
}

// highestFenceTerm returns the highest of the confirmed term and the fence terms in the instances' latest
// answers, including those of instances that are unreachable by now.
func highestFenceTerm(v sampler.View) uint64 {
	highest := v.Term
	for k := range v.Instances {
		highest = max(highest, v.Instances[k].Status.FenceTerm)
	}
	return highest
}
