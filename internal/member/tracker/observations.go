package tracker

import "time"

const (
	// directMaxAge is the age up to which a VM's own messages and the results of calls to it count.
	directMaxAge = 10 * time.Second
	// peerReportMaxAge is the age up to which observations reported by peers count.
	peerReportMaxAge = 30 * time.Second
	// leavingMaxAge is the age up to which a VM's own announcement that it is leaving counts. It is also the age up to
	// which the address and location in a VM's own messages take precedence over those in the platform's list.
	leavingMaxAge = time.Minute
	// deathReportMargin is the time by which a peer's failure to reach a VM must be later than the last recent contact
	// of a peer with the VM, for the VM to count as dead.
	deathReportMargin = 5 * time.Second
	// deadAfterFailures is the number of consecutive failed calls after which a VM counts as dead.
	deadAfterFailures = 2
	// forgetAfter is the time without any observation after which an unlisted VM is forgotten.
	forgetAfter = 2 * leavingMaxAge
)

// observations holds what this VM has observed about another VM, has been told by peers and has read from the
// platform's list. Times are of the local clock; the zero time means never.
type observations struct {
	selfState           State     // Live or Leaving, as reported by the VM itself
	selfReportedAt      time.Time // when the VM last reported selfState
	succeededAt         time.Time // when a call to the VM last succeeded
	failedAt            time.Time // when a call to the VM last failed
	consecutiveFailures int       // failed calls since the last successful one
	peerState           State     // Live or Leaving, as reported by peers
	peerHeardAt         time.Time // when a peer last heard from the VM itself
	peerFailedAt        time.Time // when a peer last failed to reach the VM
	listedState         State     // in the platform's list; empty if the VM is not listed
}

// isRecent reports whether t is set and at most maxAge before now.
func isRecent(now, t time.Time, maxAge time.Duration) bool {
	return !t.IsZero() && now.Sub(t) <= maxAge
}

// isFailing reports whether the latest calls to the VM failed. A message from the VM does not end this state, only a
// successful call does, because a VM that can reach this one is not necessarily reachable from it.
func (o observations) isFailing(now time.Time) bool {
	return o.consecutiveFailures >= deadAfterFailures && isRecent(now, o.failedAt, directMaxAge)
}

// deriveState derives the state of a VM from the observations of it; empty means unknown. Recent direct observations
// take precedence over recent reports of peers, and these over the platform's list.
func deriveState(o observations, now time.Time) State {
	switch {
	case o.isFailing(now):
		return Dead
	case isRecent(now, o.lastHeardAt(), directMaxAge):
		return o.reachableState(now)
	}
	aliveReported, deathReported := isRecent(now, o.peerHeardAt, peerReportMaxAge), isRecent(now, o.peerFailedAt, peerReportMaxAge)
	switch {
	// A VM that some peers reach and others do not is alive, so a failure to reach it takes precedence only if it is
	// later by deathReportMargin.
	case aliveReported && (!deathReported || o.peerFailedAt.Sub(o.peerHeardAt) < deathReportMargin):
		return o.peerState
	case deathReported:
		return Dead
	}
	if o.listedState == Live && o.isLeaving(now) {
		return Leaving
	}
	return o.listedState
}

// lastHeardAt returns when the VM last answered a call or sent a message.
func (o observations) lastHeardAt() time.Time {
	if o.selfReportedAt.After(o.succeededAt) {
		return o.selfReportedAt
	}
	return o.succeededAt
}

// isLeaving reports whether the VM itself has recently announced that it is leaving.
func (o observations) isLeaving(now time.Time) bool {
	return o.selfState == Leaving && isRecent(now, o.selfReportedAt, leavingMaxAge)
}

// reachableState returns the state, Live or Leaving, of a VM that has recently answered a call or sent a message. An
// answer to a call does not show whether the VM is leaving, so other observations decide.
func (o observations) reachableState(now time.Time) State {
	switch {
	case o.isLeaving(now):
		return Leaving
	case isRecent(now, o.selfReportedAt, directMaxAge):
		return o.selfState
	case isRecent(now, o.peerHeardAt, peerReportMaxAge):
		return o.peerState
	case o.listedState == Leaving:
		return Leaving
	}
	return Live
}

// reportable reports whether to include the VM in messages to peers: its state differs from the listed one, or this VM
// or a peer has recently failed to reach it. The platform's list alone would mislead peers in these cases.
func (o observations) reportable(now time.Time) bool {
	return deriveState(o, now) != o.listedState || isRecent(now, o.peerFailedAt, peerReportMaxAge) || isRecent(now, o.failedAt, peerReportMaxAge)
}

// isExpired reports whether the VM is unlisted and no observation of it is recent enough to keep.
func (o observations) isExpired(now time.Time) bool {
	for _, t := range []time.Time{o.selfReportedAt, o.succeededAt, o.failedAt, o.peerHeardAt, o.peerFailedAt} {
		if isRecent(now, t, forgetAfter) {
			return false
		}
	}
	return o.listedState == ""
}

// stateToReport returns the state of the VM to report to peers and the time of the observation behind it.
func (o observations) stateToReport(now time.Time) (State, time.Time) {
	state := deriveState(o, now)
	switch {
	case state == Dead && o.isFailing(now):
		return state, o.failedAt
	case state == Dead:
		return state, o.peerFailedAt
	case isRecent(now, o.lastHeardAt(), directMaxAge):
		return state, o.lastHeardAt()
	}
	return state, o.peerHeardAt
}
