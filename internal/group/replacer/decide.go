package replacer

import (
	"time"

	"parsleyscale/internal/group/registrar"
)

const (
	// failLimit is how long dials of the primary must fail before it is replaced.
	failLimit = 350 * time.Millisecond
	failCount = 2
	// stallLimit is how long writes must stay without an answer, while the primary is reachable.
	stallLimit = 500 * time.Millisecond
	stallCount = 2
	// lostLimit is how long no instance may prove to be the primary; it covers a
	// replacement that another VM has ordered.
	lostLimit = 1500 * time.Millisecond
	// turnStep and switchStep are the times between the turns of two VMs, each
	// longer than one usually needs.
	turnStep   = 700 * time.Millisecond
	switchStep = 1200 * time.Millisecond
	maxRank    = 3
)

// Kind tells what to do.
type Kind string

// The kinds of action.
const (
	None    Kind = "none"
	Replace Kind = "replace" // the primary is lost or stalled
	Switch  Kind = "switch"  // the primary works and is leaving
)

// Reason is the stable code of an action.
type Reason string

// The reason codes.
const (
	Healthy     Reason = "healthy"
	Turn        Reason = "turn" // another VM goes first
	Unreachable Reason = "primaryUnreachable"
	Stalled     Reason = "writesStalled"
	Lost        Reason = "noPrimary"
	Leaving     Reason = "primaryLeaving"
)

// Evidence is all that a decision depends on.
type Evidence struct {
	Health registrar.Health
	Now    time.Time
	Rank   int // of this VM, 0 goes first
}

// Action is the outcome of a decision.
type Action struct {
	Kind   Kind
	Reason Reason
}

// Decide tells whether the primary has to be replaced now by this VM.
func Decide(e Evidence) Action {
	h := e.Health
	if h.Instances < 2 {
		return Action{None, Healthy}
	}
	rank := time.Duration(min(e.Rank, maxRank))
	wait := rank * turnStep
	switch {
	case !h.LostAt.IsZero():
		return due(e, h.LostAt.Add(lostLimit+wait), Action{Replace, Lost})
	case !h.Lead.IsKnown():
		return Action{None, Healthy}
	case h.Primary.IsLeaving:
		return due(e, h.Primary.LeavingAt.Add(rank*switchStep), Action{Switch, Leaving})
	case h.Primary.Failures >= failCount:
		return due(e, h.Primary.FailedAt.Add(failLimit+wait), Action{Replace, Unreachable})
	case h.Stalls >= stallCount:
		return due(e, h.StalledAt.Add(stallLimit+wait), Action{Replace, Stalled})
	}
	return Action{None, Healthy}
}

func due(e Evidence, at time.Time, a Action) Action {
	if e.Now.Before(at) {
		return Action{None, Turn}
	}
	return a
}
