// Package authenticator decides for which team a caller's operation runs, or why it is refused. Its decisions are functions
// of values; they read no clock and keep no state.
package authenticator

import (
	"time"

	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/sheet/cataloger"
)

// Reason states why an operation is refused. It is the value of a metric's attribute and of a key in log lines.
type Reason string

// The reasons.
const (
	UnknownKey    Reason = "unknownKey"    // the caller's key belongs to no team, and the route is not public
	KeyRemoved    Reason = "keyRemoved"    // the key of the caller's open transaction belongs to no team any more
	WithoutSource Reason = "withoutSource" // the VM cannot know whether the key is still valid
)

// texts are the error texts of the reasons. They must not contain the key.
var texts = map[Reason]string{
	UnknownKey:    "key is unknown",
	KeyRemoved:    "key was removed, the transaction is rolled back",
	WithoutSource: "this VM reaches neither the store nor another VM, so that it cannot verify keys; connect to another VM",
}

// Rule states what applies while a VM has no source of new configurations.
type Rule struct {
	FailClosed    bool          // whether operations are refused then
	KeyRevocation time.Duration // time without a source after which they are
}

// Caller is what is known of the caller of an operation.
type Caller struct {
	Key           string                   // that the caller stated; a secret
	Route         cataloger.Route          // in the configuration, of the caller's database
	Configuration *cataloger.Configuration // in force on this VM; must not be nil
	SilentFor     time.Duration            // since the store or another VM last answered this VM
	Transaction   *cataloger.Team          // team of the caller's open transaction; nil if none has begun
}

// Decision is the team for which an operation runs, or the reason for which it is refused.
type Decision struct {
	Team   cataloger.Team // the zero value if the caller has none
	Reason Reason         // empty if the operation is admitted
}

// IsRefused reports whether the operation is refused.
func (d Decision) IsRefused() bool { return d.Reason != "" }

// Err returns the error that the caller receives, or nil if the operation is admitted.
func (d Decision) Err() error {
	if !d.IsRefused() {
		return nil
	}
	return classifier.New(classifier.AuthenticationFailed, "%s", texts[d.Reason])
}

// Decide decides on an operation of a caller. Without teams in the configuration, all callers are admitted.
//
// A transaction keeps the team with which it began, also if the caller's key has moved to another team, but not if the key
// has been removed: on a public route too, since its statements would go on for a team that the caller has left.
func (r Rule) Decide(c Caller) Decision {
	team, isKnown := c.Configuration.TeamOf(c.Key)
	return r.DecideFor(c, team, isKnown)
}

// DecideFor is Decide for a caller whose key belongs to a team, or to none. It does not look at the key.
func (r Rule) DecideFor(c Caller, team cataloger.Team, isKnown bool) Decision {
	if !c.Configuration.HasTeams() {
		if c.Transaction != nil {
			return Decision{Team: *c.Transaction}
		}
		return Decision{}
	}
	if r.IsCutOff(c.SilentFor) {
		return Decision{Reason: WithoutSource}
	}
	switch {
	case !isKnown && c.Transaction != nil && c.Transaction.Name != "":
		return Decision{Reason: KeyRemoved}
	case !isKnown && !c.Route.IsPublic:
		return Decision{Reason: UnknownKey}
	case c.Transaction != nil:
		return Decision{Team: *c.Transaction}
	}
	return Decision{Team: team}
}

// IsCutOff reports whether a VM that has been without a source for a time must refuse operations that need a key.
func (r Rule) IsCutOff(silentFor time.Duration) bool {
	return r.FailClosed && silentFor > r.KeyRevocation
}
