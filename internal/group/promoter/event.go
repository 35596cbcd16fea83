package promoter

import "time"

// Stable names of log events.
const (
	EventDecision = "promoterDecision" // the reason of the decision changed
	EventFenced   = "groupFenced"      // a majority acknowledged the fence of the new term
	EventPromoted = "primaryPromoted"  // the instance is primary of the new term
	EventReplaced = "primaryReplaced"  // the new primary's first entry is confirmed
	EventFailed   = "promotionFailed"  // a failover or switchover failed
	EventHeld     = "writesHeld"       // a switchover has blocked new write units, or failed to
	EventFollow   = "instanceFollows"  // an instance was told to follow the primary, or the call failed
)

// Event is a log event.
type Event struct {
	Name     string
	Database string
	Term     uint64
	Instance string
	Reason   Reason
	Took     time.Duration // of the attempt (EventReplaced, EventFailed) or of the wait for a hold (EventHeld)
	Err      error
}
