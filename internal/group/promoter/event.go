package promoter

import "time"

// Stable names of log events.
const (
	EventDecision = "promoterDecision" // the reason of the decision changed
	EventFenced   = "groupFenced"
	EventPromoted = "primaryPromoted"
	EventReplaced = "primaryReplaced" // the new primary's own entry is confirmed
	EventFailed   = "promotionFailed"
	EventHeld     = "writesHeld"
	EventFollow   = "instanceFollows"
)

// Event is a log event.
type Event struct {
	Name     string
	Database string
	Term     uint64
	Instance string
	Reason   Reason
	Took     time.Duration
	Err      error
}
