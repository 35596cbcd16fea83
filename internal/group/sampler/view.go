// Package sampler keeps a gateway's view of the instances of one database group.
//
// It asks all instances for their status in rounds. A round is confirmed when a
// primary of term T and a majority, the primary included, answered with fence
// term T. All questions of a round start after the round's start time, so a
// primary that was replaced before that time cannot produce a confirmed round:
// the promotion fenced a majority, which shares an instance with every other majority.
// Staleness bounds, session floors and write confirmations all rest on that.
package sampler

import (
	"time"

	"parsleyscale/internal/group/connector"
	"parsleyscale/internal/session/tokenizer"
	"parsleyscale/internal/sheet/parser"
)

// InstanceView is what a gateway knows of one instance.
type InstanceView struct {
	Instance  parser.Instance
	Reachable bool // answered the last round
	Status    connector.Status
	FreshAsOf time.Time // start of the latest confirmed round whose position this instance has applied; zero if none
}

// View is an immutable snapshot of a group.
type View struct {
	Database    string
	Term        uint64
	Primary     string             // name of the instance, "" when unknown
	Confirmed   tokenizer.Position // last entry of the primary in the last confirmed round
	ConfirmedAt time.Time          // start of that round
	Instances   []InstanceView
}

// Instance returns the view of one instance.
func (v View) Instance(name string) (InstanceView, bool) {
	for _, i := range v.Instances {
		if i.Instance.Name == name {
			return i, true
		}
	}
	return InstanceView{}, false
}
