package replacer

import (
	"time"

	"parsleyscale/internal/group/registrar"
)

const (
	// unreachableAfter is how long the primary must have failed, counted from the first of an
	// unbroken run of failures, before it is replaced.
	unreachableAfter = 350 * time.Millisecond
	// minFailures is the number of failures in that run below which the primary is not replaced.
	minFailures = 2
	// stalledAfter is how long a reachable primary must have left writes unanswered before it is replaced.
	stalledAfter = 500 * time.Millisecond
	// minStalls is the number of consecutive unanswered writes below which the primary is not replaced.
	minStalls = 2
	// noPrimaryAfter is how long the group must be without a known primary. It is long enough for a
	// replacement by another VM to complete.
	noPrimaryAfter = 1500 * time.Millisecond
	// replaceDelayPerRank staggers the VMs by rank: it is longer than a VM usually needs to replace a failed primary.
	replaceDelayPerRank = 700 * time.Millisecond
	// switchDelayPerRank is the same for a planned switchover.
	switchDelayPerRank = 1200 * time.Millisecond
	// maxDelayedRank bounds the delay: VMs of higher ranks act together with this rank.
	maxDelayedRank = 3
)

// Kind is the kind of an action.
type Kind string

// The kinds of action.
const (
	None    Kind = "none"
	Replace Kind = "replace" // the primary is unreachable, stalled or unknown
	Switch  Kind = "switch"  // the primary works: it is leaving, or a promote request that has been abandoned may replace it
)

// Reason is the stable reason code of an action.
type Reason string

// The reason codes.
const (
	Healthy            Reason = "healthy"
	NotDue             Reason = "turn" // too early: the condition is too recent, or VMs of lower rank act first
	PrimaryUnreachable Reason = "primaryUnreachable"
	WritesStalled      Reason = "writesStalled"
	NoPrimary          Reason = "noPrimary"
	PrimaryLeaving     Reason = "primaryLeaving"
	OrderAbandoned     Reason = "orderAbandoned" // a promote request of a VM that has stopped working at it may still be carried out
)

// Evidence is the input of a decision.
type Evidence struct {
	Health registrar.Health
	Now    time.Time
	Rank   int // of this VM for the group; the VM of rank 0 acts first
}

// Action is the result of a decision.
type Action struct {
	Kind   Kind
	Reason Reason
}

// Decide returns whether, and why, this VM has to replace the primary now.
func Decide(e Evidence) Action {
	h := e.Health
	if h.Instances < 2 {
		return Action{None, Healthy}
	}
	rank := time.Duration(min(e.Rank, maxDelayedRank))
	delay := rank * replaceDelayPerRank
	switch {
	case !h.NoPrimarySince.IsZero():
		return onceDue(e, h.NoPrimarySince.Add(noPrimaryAfter+delay), Action{Replace, NoPrimary})
	case !h.Primary.IsKnown():
		return Action{None, Healthy}
	case h.PrimaryView.IsLeaving:
		return onceDue(e, h.PrimaryView.LeavingAt.Add(rank*switchDelayPerRank), Action{Switch, PrimaryLeaving})
	case h.PrimaryView.Failures >= minFailures:
		return onceDue(e, h.PrimaryView.FailedAt.Add(unreachableAfter+delay), Action{Replace, PrimaryUnreachable})
	case h.UnansweredWrites >= minStalls:
		return onceDue(e, h.StalledAt.Add(stalledAfter+delay), Action{Replace, WritesStalled})
	case !h.AbandonedSince.IsZero():
		return onceDue(e, h.AbandonedSince.Add(delay), Action{Switch, OrderAbandoned})
	}
	return Action{None, Healthy}
}

// onceDue returns the action from the due time on, and no action before it.
func onceDue(e Evidence, dueAt time.Time, a Action) Action {
	if e.Now.Before(dueAt) {
		return Action{None, NotDue}
	}
	return a
}
