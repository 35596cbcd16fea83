package promoter

import (
	"time"

	"parsleyscale/internal/group/connector"
	"parsleyscale/internal/group/sampler"
	"parsleyscale/internal/sheet/parser"
)

const (
	rankDelay       = 300 * time.Millisecond // between the turns of two gateways in a failover
	switchRankDelay = 3 * time.Second        // the same in a planned switch, which takes longer
	raisedGrace     = 300 * time.Millisecond // left to another promoter that has fenced
	aheadGrace      = time.Second            // the same while the primary is still confirmed
	// stallLimit is the time without a majority for an entry. A replica's pull
	// fails within 300 ms and is repeated, so the limit leaves two tries.
	stallLimit      = 700 * time.Millisecond
	observationLife = time.Second            // after which the peers are asked again
	disagreeRetry   = 500 * time.Millisecond // the same when a peer sees the primary
	aliveAge        = 200 * time.Millisecond // of an answer that proves an instance alive
)

// Decide is a pure function of the evidence.
func Decide(e Evidence) Action {
	if reachableVoters(e.View, "") < sampler.Majority(e.View.Voters()) {
		return Action{Kind: None, Reason: MajorityUnreachable}
	}
	if e.View.Primary == "" {
		return decideLost(e)
	}
	a := decideConfirmed(e)
	a.Follow = misled(e.View)
	return a
}

// decideLost handles a group without a confirmed primary.
func decideLost(e Evidence) Action {
	if !areVotersKnown(e) {
		return Action{Kind: None, Reason: InstanceUnknown}
	}
	if isUnobserved(e) || e.Now.Sub(e.ObservedAt) > observationLife {
		return Action{Kind: Ask, Reason: NotAsked}
	}
	if after := lostTurn(e).Sub(e.Now); after > 0 {
		return Action{Kind: Wait, Reason: Turn, After: after}
	}
	if !isMajorityAlive(e) {
		return askAgain(e, InstanceUnknown)
	}
	for _, o := range e.Peers {
		if o.seesPrimary(e.View) && !isSevered(e) {
			return askAgain(e, PeerSeesPrimary)
		}
	}
	if 2*e.OtherDead > e.OtherTotal && !isAgreed(e) {
		return askAgain(e, Breaker)
	}
	return Action{Kind: Failover, Reason: PrimaryLost}
}

// isSevered reports whether a majority of replicas answers this gateway and has
// lost its upstream for as long as an entry may be without a majority. The
// primary, which this gateway does not reach, then confirms nothing, also for
// the peers that still reach it.
func isSevered(e Evidence) bool {
	if e.LostAt.IsZero() || e.Now.Sub(e.LostAt) < stallLimit {
		return false
	}
	n := 0
	for k := range e.View.Instances {
		i := &e.View.Instances[k]
		if sampler.IsVoter(i.Instance) && i.Reachable && i.Status.Role == connector.RoleReplica && !i.Status.Connected {
			n++
		}
	}
	return n >= sampler.Majority(e.View.Voters())
}

// isUnobserved reports whether the peers were not asked since the primary was
// suspected. They are asked early, because that makes them probe it, too.
func isUnobserved(e Evidence) bool {
	return !e.SuspectAt.IsZero() && e.ObservedAt.Before(e.SuspectAt)
}

func askAgain(e Evidence, r Reason) Action {
	after := e.ObservedAt.Add(disagreeRetry).Sub(e.Now)
	if after <= 0 {
		return Action{Kind: Ask, Reason: r}
	}
	return Action{Kind: Wait, Reason: r, After: after}
}

// areVotersKnown reports whether each instance answers or failed a call on a new
// connection since a majority answers. The second part keeps failures from a
// time when this VM was cut off out of the evidence.
func areVotersKnown(e Evidence) bool {
	for k := range e.View.Instances {
		i := &e.View.Instances[k]
		if sampler.IsVoter(i.Instance) && !i.Reachable && (i.Failures == 0 || i.FailedAt.Before(e.MajorityAt)) {
			return false
		}
	}
	return true
}

// isMajorityAlive reports whether a majority answered calls that were made after
// the primary was suspected. An instance whose call is still outstanding counts
// as reachable, but may have failed together with the primary.
func isMajorityAlive(e Evidence) bool {
	n := 0
	for k := range e.View.Instances {
		i := &e.View.Instances[k]
		if sampler.IsVoter(i.Instance) && i.Reachable && !i.AnsweredAt.Before(e.SuspectAt) {
			n++
		}
	}
	return n >= sampler.Majority(e.View.Voters())
}

// lostTurn returns when this gateway may fail over.
func lostTurn(e Evidence) time.Time {
	start := e.LostAt
	if !e.RaisedAt.IsZero() {
		start = later(start, e.RaisedAt.Add(raisedGrace))
	}
	return later(start.Add(time.Duration(e.Rank)*rankDelay), e.RetryAt)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// seesPrimary reports whether a peer lately had answers from a primary and a majority of its term.
func (o Observation) seesPrimary(v sampler.View) bool {
	for _, p := range o.Instances {
		s := connector.Status{Role: p.Role, FenceTerm: p.FenceTerm, Last: p.Last}
		if !p.Reachable || p.Age > aliveAge || p.FenceTerm < v.Term || !sampler.IsPrimaryOf(s, p.FenceTerm) {
			continue
		}
		if o.count(v, func(i InstanceObservation) bool { return i.FenceTerm == p.FenceTerm }) >= sampler.Majority(v.Voters()) {
			return true
		}
	}
	return false
}

// count returns the number of reachable voters that meet a condition.
func (o Observation) count(v sampler.View, f func(InstanceObservation) bool) int {
	n := 0
	for _, p := range o.Instances {
		if i, ok := v.Instance(p.Instance); ok && sampler.IsVoter(i.Instance) && p.Reachable && f(p) {
			n++
		}
	}
	return n
}

// isAgreed reports whether a peer reaches a majority but no primary.
func isAgreed(e Evidence) bool {
	for _, o := range e.Peers {
		if o.count(e.View, func(InstanceObservation) bool { return true }) >= sampler.Majority(e.View.Voters()) {
			return true
		}
	}
	return false
}

// decideConfirmed handles a group with a confirmed primary.
func decideConfirmed(e Evidence) Action {
	v := e.View
	rank := time.Duration(e.Rank)
	switch {
	case isUnobserved(e):
		return Action{Kind: Ask, Reason: NotAsked}
	case e.Now.Before(e.RetryAt):
		return Action{Kind: Wait, Reason: Turn, After: e.RetryAt.Sub(e.Now)}
	case !e.StalledAt.IsZero() && isDisconnected(v) && reachableVoters(v, v.Primary) >= sampler.Majority(v.Voters()):
		return inTurn(e, e.StalledAt.Add(stallLimit+rank*rankDelay), Action{Kind: Failover, Reason: PrimaryStalled, Avoid: v.Primary})
	case !e.LeavingAt.IsZero() && successor(v) != "":
		return inTurn(e, e.LeavingAt.Add(rank*switchRankDelay), Action{Kind: Switch, Reason: PrimaryLeaving, Target: successor(v)})
	case !e.AheadAt.IsZero():
		// An instance with a higher fence term refuses the primary's entries
		// until the primary has a higher term, too.
		return inTurn(e, e.AheadAt.Add(aheadGrace+rank*switchRankDelay), Action{Kind: Switch, Reason: FenceAhead, Target: v.Primary})
	}
	return Action{Kind: None, Reason: Healthy}
}

func inTurn(e Evidence, turn time.Time, a Action) Action {
	if after := turn.Sub(e.Now); after > 0 {
		return Action{Kind: Wait, Reason: a.Reason, After: after}
	}
	return a
}

// isDisconnected reports whether the primary and the replicas connected to it are no majority.
func isDisconnected(v sampler.View) bool {
	p, _ := v.Instance(v.Primary)
	n := 1
	for k := range v.Instances {
		i := &v.Instances[k]
		if sampler.IsVoter(i.Instance) && i.Reachable && i.Status.Connected && i.Status.Upstream == p.Instance.Address {
			n++
		}
	}
	return n < sampler.Majority(v.Voters())
}

// successor returns the most advanced serving replica of the primary's term.
func successor(v sampler.View) string {
	best := -1
	for k := range v.Instances {
		i := &v.Instances[k]
		if i.Instance.State != parser.Serving || !i.Reachable || i.Instance.Name == v.Primary || i.Status.FenceTerm != v.Term {
			continue
		}
		if best < 0 || i.Status.Last.Compare(v.Instances[best].Status.Last) > 0 {
			best = k
		}
	}
	if best < 0 {
		return ""
	}
	return v.Instances[best].Instance.Name
}

// misled returns the reachable instances that must be told to follow the primary.
func misled(v sampler.View) []string {
	p, _ := v.Instance(v.Primary)
	var names []string
	for k := range v.Instances {
		i := &v.Instances[k]
		if !i.Reachable || i.Instance.Name == v.Primary || i.Status.FenceTerm > v.Term {
			continue
		}
		if i.Status.FenceTerm < v.Term || i.Status.Role != connector.RoleReplica || i.Status.Upstream != p.Instance.Address {
			names = append(names, i.Instance.Name)
		}
	}
	return names
}

// reachableVoters returns how many voters besides one answer.
func reachableVoters(v sampler.View, besides string) int {
	n := 0
	for k := range v.Instances {
		i := &v.Instances[k]
		if sampler.IsVoter(i.Instance) && i.Reachable && i.Instance.Name != besides {
			n++
		}
	}
	return n
}
