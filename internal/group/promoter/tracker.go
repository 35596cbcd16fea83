package promoter

import (
	"slices"
	"time"

	"parsleyscale/internal/group/sampler"
	"parsleyscale/internal/session/tokenizer"
	"parsleyscale/internal/sheet/parser"
)

// tracker notes since when the conditions of the evidence hold.
type tracker struct {
	e      Evidence
	raised uint64             // highest fence term above the confirmed one
	mark   tokenizer.Position // entry of the primary that no majority holds
}

// observe takes a view into account.
func (t *tracker) observe(v sampler.View, now time.Time) {
	t.e.View, t.e.Now = v, now
	isMajority := reachableVoters(v, "") >= sampler.Majority(v.Voters())
	since(&t.e.MajorityAt, isMajority, now)
	since(&t.e.LostAt, v.Primary == "" && isMajority, now)
	p, _ := v.Instance(v.Primary)
	since(&t.e.SuspectAt, isMajority && (v.Primary == "" || !p.SuspectAt.IsZero()), now)
	since(&t.e.AheadAt, v.Primary != "" && isFenceAhead(v), now)
	since(&t.e.LeavingAt, v.Primary != "" && p.Instance.State == parser.Leaving, now)
	t.observeFences(v, now)
	t.observeStall(v, p, now)
}

// since sets at to now when a condition begins to hold and to zero when it ends.
func since(at *time.Time, holds bool, now time.Time) {
	switch {
	case !holds:
		*at = time.Time{}
	case at.IsZero():
		*at = now
	}
}

func (t *tracker) observeFences(v sampler.View, now time.Time) {
	top := maxFence(v)
	switch {
	case top <= v.Term:
		t.raised, t.e.RaisedAt = 0, time.Time{}
	case top > t.raised:
		t.raised, t.e.RaisedAt = top, now
	}
}

func (t *tracker) observeStall(v sampler.View, p sampler.InstanceView, now time.Time) {
	last := p.Status.Last
	switch {
	case v.Primary == "" || held(v).Covers(last):
		t.e.StalledAt = time.Time{}
	case t.e.StalledAt.IsZero() || held(v).Covers(t.mark):
		t.e.StalledAt, t.mark = now, last
	}
}

// held returns the latest position that a majority holds.
func held(v sampler.View) tokenizer.Position {
	var room [8]tokenizer.Position
	lasts := room[:0]
	for k := range v.Instances {
		if i := &v.Instances[k]; sampler.IsVoter(i.Instance) && i.Status.FenceTerm == v.Term {
			lasts = append(lasts, i.Status.Last)
		}
	}
	n := sampler.Majority(v.Voters())
	if len(lasts) < n {
		return tokenizer.Position{}
	}
	slices.SortFunc(lasts, func(a, b tokenizer.Position) int { return b.Compare(a) })
	return lasts[n-1]
}

func isFenceAhead(v sampler.View) bool {
	for k := range v.Instances {
		if i := &v.Instances[k]; i.Reachable && i.Status.FenceTerm > v.Term {
			return true
		}
	}
	return false
}

// maxFence returns the highest fence term that any instance ever answered with.
func maxFence(v sampler.View) uint64 {
	top := v.Term
	for k := range v.Instances {
		top = max(top, v.Instances[k].Status.FenceTerm)
	}
	return top
}
