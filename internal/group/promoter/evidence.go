package promoter

import (
	"time"

	"parsleyscale/internal/group/sampler"
	"parsleyscale/internal/session/tokenizer"
)

// InstanceObservation is the status of an instance as last seen by another gateway.
type InstanceObservation struct {
	Instance  string
	Reachable bool
	Role      string
	FenceTerm uint64
	Last      tokenizer.Position
	AnswerAge time.Duration // since the call that was last answered started
}

// Observation is another gateway's answer to Observe.
type Observation struct {
	Gateway   string
	Instances []InstanceObservation
}

// Evidence is the complete input of a decision.
type Evidence struct {
	View sampler.View
	Now  time.Time
	Rank int // of this VM among the gateways; 0 acts first

	MajoritySince   time.Time // since when a majority of the voters is reachable; zero if none is
	SuspectSince    time.Time // since when a majority is reachable and the primary is suspected or unconfirmed; otherwise zero
	NoPrimarySince  time.Time // since when a majority is reachable and no primary is confirmed; otherwise zero
	FenceRaisedAt   time.Time // when a fence term above the confirmed term last rose; zero if none is above it
	StalledSince    time.Time // since when no majority has reached what was then the primary's last entry; zero without such an entry
	LeavingSince    time.Time // since when the primary is leaving; zero if it is not
	FenceAheadSince time.Time // since when a reachable instance has a fence term above the confirmed primary's; zero if none has
	RetryAt         time.Time // end of the back-off after a failed attempt; zero without one

	ObservedAt time.Time // when the peers were last asked
	Peers      []Observation

	OtherGroupsWithoutPrimary, OtherGroups int // other groups without a primary, and all other groups that this VM probes
}

// ActionKind is the type of an action.
type ActionKind string

// The kinds of action.
const (
	None       ActionKind = "none"
	Wait       ActionKind = "wait"     // decide again after a delay
	AskPeers   ActionKind = "ask"      // ask the other gateways for their observations
	Failover   ActionKind = "failover" // replace a lost or stalled primary
	Switchover ActionKind = "switch"   // promote an instance, or a working primary again in a higher term, without failing writes
)

// Reason is the stable code for why an action was chosen.
type Reason string

// The reason codes.
const (
	Healthy              Reason = "healthy"
	MajorityUnreachable  Reason = "majorityUnreachable"
	InstanceStateUnknown Reason = "instanceUnknown" // the state of a voter, or of a majority, is not known yet
	PeersNotAsked        Reason = "peersNotAsked"   // the peers were not asked since the primary was suspected, or too long ago
	PeerSeesPrimary      Reason = "peerSeesPrimary"
	CircuitBreakerOpen   Reason = "breaker" // most other groups are without a primary too, and no peer reaches a majority
	NotDue               Reason = "turn"    // a back-off, a rank delay or the grace for another promoter is still running
	PrimaryLost          Reason = "primaryLost"
	PrimaryStalled       Reason = "primaryStalled"
	PrimaryLeaving       Reason = "primaryLeaving"
	FenceAhead           Reason = "fenceAhead"
)

// Action is the outcome of a decision.
type Action struct {
	Kind            ActionKind
	Reason          Reason
	Delay           time.Duration // Wait: delay until the next decision
	Target          string        // Switchover: the instance to promote
	ExcludedPrimary string        // Failover: the stalled primary, which is neither fenced nor promoted
	WrongFollowers  []string      // instances to be told to follow the confirmed primary
}
