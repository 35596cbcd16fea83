// Package sampler keeps a gateway's view of the instances of one database group.
//
// It asks all instances for their status in rounds. A round is confirmed when a
// primary of term T and a majority, the primary included, answered with fence
// term T. All questions of a round start after the round's start time, so a
// primary that was replaced before that time cannot produce a confirmed round:
// the promotion fenced a majority, which shares an instance with every other majority.
// Staleness bounds, session floors and write confirmations all rest on that.
//
// Each instance has its own worker with at most one outstanding call. A round is
// not a barrier: it starts at the oldest of the questions whose answers confirm
// it, so a slow instance delays neither the round nor the next one.
//
// Joining instances do not count towards a majority, because they are never
// promoted. The set of the others may change by one instance at a time only;
// then each majority of the old set shares an instance with each of the new one.
package sampler

import (
	"time"

	"parsleyscale/internal/group/connector"
	"parsleyscale/internal/session/tokenizer"
	"parsleyscale/internal/sheet/parser"
)

// InstanceView is what a gateway knows of one instance.
type InstanceView struct {
	Instance   parser.Instance
	Reachable  bool             // the last finished call succeeded
	Status     connector.Status // latest answer, also when unreachable since
	AnsweredAt time.Time        // start of the latest call that was answered; zero if none
	SuspectAt  time.Time        // when an open connection failed, until a new one answers; zero if none did
	Failures   int              // failed calls on new connections since then
	FailedAt   time.Time        // start of the latest of these; zero if none
	FreshAsOf  time.Time        // start of the latest confirmed round whose position this instance has applied; zero if none
	Lag        time.Duration    // estimated time from a write's confirmed round to its application here
}

// Round is a confirmed round.
type Round struct {
	Position tokenizer.Position // last entry of the primary
	First    time.Time          // start of the first confirmed round with this position
	Last     time.Time          // start of the last one
}

// View is an immutable snapshot of a group.
type View struct {
	Database       string
	Term           uint64             // of the last confirmed round
	Primary        string             // name of the instance, "" when unknown
	Confirmed      tokenizer.Position // last entry of the primary in the last confirmed round
	ConfirmedAt    time.Time          // start of that round
	ConfirmedSince time.Time          // start of the first confirmed round with this position
	Instances      []InstanceView
	Rounds         []Round // confirmed rounds with earlier positions, oldest first, thinned out with age
}

// Instance returns the view of one instance.
func (v View) Instance(name string) (InstanceView, bool) {
	for i := range v.Instances {
		if v.Instances[i].Instance.Name == name {
			return v.Instances[i], true
		}
	}
	return InstanceView{}, false
}

// Voters returns how many instances count towards a majority.
func (v View) Voters() int {
	n := 0
	for i := range v.Instances {
		if IsVoter(v.Instances[i].Instance) {
			n++
		}
	}
	return n
}

// Majority returns how many of n instances are a majority.
func Majority(n int) int { return n/2 + 1 }

// IsVoter reports whether an instance counts towards a majority.
func IsVoter(i parser.Instance) bool { return i.State != parser.Joining }

// IsPrimaryOf reports whether s is the status of the primary of a term that is
// not fenced. A new primary writes an entry of its own term, so a last entry of
// a lower term means that the instance was fenced and not promoted since.
func IsPrimaryOf(s connector.Status, term uint64) bool {
	return term > 0 && s.Role == connector.RolePrimary && s.FenceTerm == term && s.Last.Term == term
}
