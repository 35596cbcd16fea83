package promoter

import (
	"time"

	"parsleyscale/internal/group/sampler"
	"parsleyscale/internal/session/tokenizer"
)

// InstanceObservation is what another gateway knows of an instance.
type InstanceObservation struct {
	Instance  string
	Reachable bool
	Role      string
	FenceTerm uint64
	Last      tokenizer.Position
	Age       time.Duration // since the question of the last answer
}

// Observation is another gateway's answer to Observe.
type Observation struct {
	Gateway   string
	Instances []InstanceObservation
}

// Evidence is all that a decision depends on.
type Evidence struct {
	View sampler.View
	Now  time.Time
	Rank int // of this VM among the gateways, 0 first

	MajorityAt time.Time // since when a majority of the instances answers; zero if none does
	SuspectAt  time.Time // since when the primary is suspected or lost; zero if it is neither
	LostAt     time.Time // since when no primary is confirmed; zero if one is
	RaisedAt   time.Time // when a fence term above the confirmed term last rose
	StalledAt  time.Time // since when an entry of the primary is held by no majority; zero if none
	LeavingAt  time.Time // since when the primary is leaving; zero if it is not
	AheadAt    time.Time // since when an instance's fence term is above the confirmed primary's; zero if none
	RetryAt    time.Time // end of the back-off after a failed attempt

	ObservedAt time.Time // when the peers were last asked
	Peers      []Observation

	OtherDead, OtherTotal int // other groups without a primary, and all other groups that this VM probes
}

// Kind tells what to do.
type Kind string

// The kinds of action.
const (
	None     Kind = "none"
	Wait     Kind = "wait"     // decide again after a time
	Ask      Kind = "ask"      // ask the peers
	Failover Kind = "failover" // replace a lost or stalled primary
	Switch   Kind = "switch"   // replace a working primary without a failed write
)

// Reason is the stable code of an action.
type Reason string

// The reason codes.
const (
	Healthy             Reason = "healthy"
	MajorityUnreachable Reason = "majorityUnreachable"
	InstanceUnknown     Reason = "instanceUnknown"
	NotAsked            Reason = "peersNotAsked"
	PeerSeesPrimary     Reason = "peerSeesPrimary"
	Breaker             Reason = "breaker"
	Turn                Reason = "turn"
	PrimaryLost         Reason = "primaryLost"
	PrimaryStalled      Reason = "primaryStalled"
	PrimaryLeaving      Reason = "primaryLeaving"
	FenceAhead          Reason = "fenceAhead"
)

// Action is the outcome of a decision.
type Action struct {
	Kind   Kind
	Reason Reason
	After  time.Duration // with Wait
	Target string        // with Switch: the instance to promote
	Avoid  string        // with Failover: the stalled primary, which is neither fenced nor promoted
	Follow []string      // instances to be told to follow the confirmed primary
}
