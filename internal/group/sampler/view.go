// Package sampler polls the instances of one database group for their status and maintains a gateway's view of them.
//
// Instances are polled in rounds. A round is confirmed when the primary of term T and a majority of the voters,
// the primary included, report fence term T. All status calls of a round are sent after the round's start time, so a
// primary that was replaced before that time cannot confirm the round: the promotion fenced a majority, and any two
// majorities have an instance in common. Staleness bounds, session floors and write confirmations depend on this
// property.
//
// Each instance has its own worker with at most one outstanding call. Rounds are not synchronised across workers: the
// start time of a confirmed round is the start of the oldest call among the answers that confirm it, so a slow instance
// delays neither the current round nor the next one.
//
// Joining instances are not voters, because they are never promoted. The set of voters changes by at most one instance
// at a time, so that every majority of the old set has an instance in common with every majority of the new set.
package sampler

import (
	"time"

	"parsleyscale/internal/group/connector"
	"parsleyscale/internal/session/tokenizer"
	"parsleyscale/internal/sheet/parser"
)

// InstanceView is the state of one instance as last observed by a gateway.
type InstanceView struct {
	Instance   parser.Instance
	Reachable  bool             // a call was answered, and no call on a new connection has failed since
	Status     connector.Status // from the latest answer, kept while the instance is unreachable
	AnsweredAt time.Time        // start of the latest answered call; zero if none
	SuspectAt  time.Time        // when an open connection failed; zero again once a call on a new connection is answered
	Failures   int              // failed calls on new connections since the latest answer
	FailedAt   time.Time        // start of the latest of these failed calls; zero if none
	FreshAsOf  time.Time        // start of the latest confirmed round whose position this instance has applied; zero if none
	Lag        time.Duration    // estimated time from the first confirmed round with a position to its application by this instance
}

// Round summarises the consecutive confirmed rounds that observed the same position.
type Round struct {
	Position   tokenizer.Position // last log entry of the primary
	FirstStart time.Time          // start of the first confirmed round with this position
	LastStart  time.Time          // start of the last confirmed round with this position
}

// View is an immutable snapshot of the state of a group.
type View struct {
	Database       string
	Term           uint64             // term of the last confirmed round
	Primary        string             // instance name; empty when no primary is confirmed
	Confirmed      tokenizer.Position // last log entry of the primary in the last confirmed round
	ConfirmedAt    time.Time          // start of the last confirmed round
	ConfirmedSince time.Time          // start of the first confirmed round with position Confirmed
	Instances      []InstanceView
	EarlierRounds  []Round // confirmed rounds with earlier positions, oldest first; spacing increases with age
}

// Instance returns the view of the named instance and whether the group has such an instance.
func (v View) Instance(name string) (InstanceView, bool) {
	for i := range v.Instances {
		if v.Instances[i].Instance.Name == name {
			return v.Instances[i], true
		}
	}
	return InstanceView{}, false
}

// Voters returns the number of instances that count towards a majority.
func (v View) Voters() int {
	n := 0
	for i := range v.Instances {
		if IsVoter(v.Instances[i].Instance) {
			n++
		}
	}
	return n
}

// Majority returns the smallest number of instances that is a majority of the voters.
func Majority(voters int) int { return voters/2 + 1 }

// IsVoter reports whether an instance counts towards a majority.
func IsVoter(i parser.Instance) bool { return i.State != parser.Joining }

// IsPrimaryOf reports whether s is the status of the primary of the given term, not fenced at a higher term. A new
// primary writes a log entry in its own term, so a last entry of a lower term means that the instance was fenced at
// the given term and has not been promoted since.
func IsPrimaryOf(s connector.Status, term uint64) bool {
	return term > 0 && s.Role == connector.RolePrimary && s.FenceTerm == term && s.Last.Term == term
}
