package promoter

import (
	"time"

	"parsleyscale/internal/group/connector"
	"parsleyscale/internal/group/sampler"
	"parsleyscale/internal/sheet/parser"
)

const (
	// failoverRankDelay is the time between the earliest failovers of two gateways with consecutive ranks.
	failoverRankDelay = 300 * time.Millisecond
	// switchoverRankDelay is the same for a switchover, which takes longer.
	switchoverRankDelay = 3 * time.Second
	// failoverFenceGrace is how long a failover waits after a fence term has risen, so that the promoter that
	// raised it can finish.
	failoverFenceGrace = 300 * time.Millisecond
	// switchoverFenceGrace is the same while the primary is still confirmed.
	switchoverFenceGrace = time.Second
	// stallTimeout is how long an entry may be without a majority, or the group without a confirmed primary,
	// before a primary that some gateways still reach is replaced. A replica's pull fails within 300 ms and is
	// repeated, so two pulls fit.
	stallTimeout = 700 * time.Millisecond
	// observationTTL is the age from which on the peers' observations are requested again.
	observationTTL = time.Second
	// observationRetryDelay is the time until the peers are asked again after the evidence did not allow a failover.
	observationRetryDelay = 500 * time.Millisecond
	// maxPrimaryAnswerAge is the age up to which the answer that a peer got from a primary proves that it works.
	maxPrimaryAnswerAge = 200 * time.Millisecond
)

// Decide returns the action for the evidence. It is a pure function.
func Decide(e Evidence) Action {
	if countReachableVoters(e.View, "") < sampler.Majority(e.View.Voters()) {
		return Action{Kind: None, Reason: MajorityUnreachable}
	}
	if e.View.Primary == "" {
		return decideWithoutPrimary(e)
	}
	a := decideWithPrimary(e)
	a.WrongFollowers = wrongFollowers(e.View)
	return a
}

// decideWithoutPrimary handles a group without a confirmed primary.
func decideWithoutPrimary(e Evidence) Action {
	if !areVoterStatesKnown(e) {
		return Action{Kind: None, Reason: InstanceStateUnknown}
	}
	if needsObservations(e) || e.Now.Sub(e.ObservedAt) > observationTTL {
		return Action{Kind: AskPeers, Reason: PeersNotAsked}
	}
	if after := earliestFailover(e).Sub(e.Now); after > 0 {
		return Action{Kind: Wait, Reason: NotDue, Delay: after}
	}
	if !hasMajorityAnsweredSinceSuspicion(e) {
		return askAgain(e, InstanceStateUnknown)
	}
	for _, o := range e.Peers {
		if o.seesPrimary(e.View) && !hasMajorityLostUpstream(e) {
			return askAgain(e, PeerSeesPrimary)
		}
	}
	if 2*e.OtherGroupsWithoutPrimary > e.OtherGroups && !doesPeerReachMajority(e) {
		return askAgain(e, CircuitBreakerOpen)
	}
	return Action{Kind: Failover, Reason: PrimaryLost}
}

// hasMajorityLostUpstream reports whether no primary has been confirmed for stallTimeout and a majority of
// the voters are replicas that answer this gateway but have lost their upstream. A primary that this gateway
// does not reach then cannot confirm writes, not even for the peers that still reach it.
func hasMajorityLostUpstream(e Evidence) bool {
	if e.NoPrimarySince.IsZero() || e.Now.Sub(e.NoPrimarySince) < stallTimeout {
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

// needsObservations reports whether the peers have not been asked since the primary was suspected. They are
// asked early, because the question makes them probe the primary, too.
func needsObservations(e Evidence) bool {
	return !e.SuspectSince.IsZero() && e.ObservedAt.Before(e.SuspectSince)
}

// askAgain returns the action that asks the peers once observationRetryDelay has passed since the last time.
func askAgain(e Evidence, r Reason) Action {
	after := e.ObservedAt.Add(observationRetryDelay).Sub(e.Now)
	if after <= 0 {
		return Action{Kind: AskPeers, Reason: r}
	}
	return Action{Kind: Wait, Reason: r, Delay: after}
}

// areVoterStatesKnown reports whether each voter either is reachable or has failed a call on a new connection
// since a majority became reachable. Earlier failures do not count, because this VM may have been cut off then.
func areVoterStatesKnown(e Evidence) bool {
	for k := range e.View.Instances {
		i := &e.View.Instances[k]
		if sampler.IsVoter(i.Instance) && !i.Reachable && (i.Failures == 0 || i.FailedAt.Before(e.MajoritySince)) {
			return false
		}
	}
	return true
}

// hasMajorityAnsweredSinceSuspicion reports whether a majority answered calls that started after the primary
// was suspected. Being reachable is not enough: an instance with an outstanding call counts as reachable, but
// may have failed together with the primary.
func hasMajorityAnsweredSinceSuspicion(e Evidence) bool {
	n := 0
	for k := range e.View.Instances {
		i := &e.View.Instances[k]
		if sampler.IsVoter(i.Instance) && i.Reachable && !i.AnsweredAt.Before(e.SuspectSince) {
			n++
		}
	}
	return n >= sampler.Majority(e.View.Voters())
}

// earliestFailover returns the time from which on this gateway may fail over.
func earliestFailover(e Evidence) time.Time {
	start := e.NoPrimarySince
	if !e.FenceRaisedAt.IsZero() {
		start = later(start, e.FenceRaisedAt.Add(failoverFenceGrace))
	}
	return later(start.Add(time.Duration(e.Rank)*failoverRankDelay), e.RetryAt)
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// seesPrimary reports whether the peer has a recent answer from a primary whose term is at least the one
// confirmed here, and reaches a majority with that fence term.
func (o Observation) seesPrimary(v sampler.View) bool {
	for _, p := range o.Instances {
		s := connector.Status{Role: p.Role, FenceTerm: p.FenceTerm, Last: p.Last}
		if !p.Reachable || p.AnswerAge > maxPrimaryAnswerAge || p.FenceTerm < v.Term || !sampler.IsPrimaryOf(s, p.FenceTerm) {
			continue
		}
		if o.countReachableVoters(v, func(i InstanceObservation) bool { return i.FenceTerm == p.FenceTerm }) >= sampler.Majority(v.Voters()) {
			return true
		}
	}
	return false
}

// countReachableVoters returns how many voters the peer reaches that meet a condition.
func (o Observation) countReachableVoters(v sampler.View, matches func(InstanceObservation) bool) int {
	n := 0
	for _, p := range o.Instances {
		if i, ok := v.Instance(p.Instance); ok && sampler.IsVoter(i.Instance) && p.Reachable && matches(p) {
			n++
		}
	}
	return n
}

// doesPeerReachMajority reports whether a peer reaches a majority of the voters. If none does while most other
// groups have lost their primary, too, the network link of this VM is the likely fault.
func doesPeerReachMajority(e Evidence) bool {
	for _, o := range e.Peers {
		if o.countReachableVoters(e.View, func(InstanceObservation) bool { return true }) >= sampler.Majority(e.View.Voters()) {
			return true
		}
	}
	return false
}

// decideWithPrimary handles a group with a confirmed primary.
func decideWithPrimary(e Evidence) Action {
	v := e.View
	rank := time.Duration(e.Rank)
	switch {
	case needsObservations(e):
		return Action{Kind: AskPeers, Reason: PeersNotAsked}
	case e.Now.Before(e.RetryAt):
		return Action{Kind: Wait, Reason: NotDue, Delay: e.RetryAt.Sub(e.Now)}
	case !e.StalledSince.IsZero() && lacksConnectedMajority(v) && countReachableVoters(v, v.Primary) >= sampler.Majority(v.Voters()):
		return notBefore(e, e.StalledSince.Add(stallTimeout+rank*failoverRankDelay), Action{Kind: Failover, Reason: PrimaryStalled, ExcludedPrimary: v.Primary})
	case !e.LeavingSince.IsZero() && switchoverTarget(v) != "":
		return notBefore(e, e.LeavingSince.Add(rank*switchoverRankDelay), Action{Kind: Switchover, Reason: PrimaryLeaving, Target: switchoverTarget(v)})
	case !e.FenceAheadSince.IsZero():
		// An instance with a higher fence term refuses the primary's entries until the primary is promoted at a
		// term above that.
		return notBefore(e, e.FenceAheadSince.Add(switchoverFenceGrace+rank*switchoverRankDelay), Action{Kind: Switchover, Reason: FenceAhead, Target: v.Primary})
	}
	return Action{Kind: None, Reason: Healthy}
}

// notBefore returns a from the given time on, and before that the action that waits for it.
func notBefore(e Evidence, earliest time.Time, a Action) Action {
	if after := earliest.Sub(e.Now); after > 0 {
		return Action{Kind: Wait, Reason: a.Reason, Delay: after}
	}
	return a
}

// lacksConnectedMajority reports whether the primary and the replicas connected to it are less than a majority.
func lacksConnectedMajority(v sampler.View) bool {
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

// switchoverTarget returns the reachable serving replica with the latest last entry among those whose fence
// term is the primary's term; "" if there is none.
func switchoverTarget(v sampler.View) string {
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

// wrongFollowers returns the reachable instances that must be told to follow the primary. An instance with a
// higher fence term would refuse that; it needs a promotion of the primary at a higher term.
func wrongFollowers(v sampler.View) []string {
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

// countReachableVoters returns how many voters, without the named one, are reachable.
func countReachableVoters(v sampler.View, except string) int {
	n := 0
	for k := range v.Instances {
		i := &v.Instances[k]
		if sampler.IsVoter(i.Instance) && i.Reachable && i.Instance.Name != except {
			n++
		}
	}
	return n
}
