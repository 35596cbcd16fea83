// Package router chooses the instance that serves a unit of work. Its functions
// are pure: they take a view of the group and a query and return a decision.
package router

import (
	"time"

	"parsleyscale/internal/request/exchanger"
	"parsleyscale/internal/session/tokenizer"
)

// Reason is the stable code of a decision.
type Reason string

// Query is what a decision depends on besides the view.
type Query struct {
	Class        exchanger.Class
	Floor        tokenizer.Position // the instance must have applied it
	MaxStaleness time.Duration      // limit on now minus FreshAsOf
	Bounded      bool               // MaxStaleness applies
	DataCentre   string             // of this VM
	Region       string
	RegionOf     func(dataCentre string) string
	Now          time.Time
	Exclude      []string // instances that failed this unit already
}

// Decision names the instance, or what to wait for, or why there is none.
type Decision struct {
	Instance string        // "" when Wait or Err is set
	Role     string        // primary or replica
	Reason   Reason        // why this instance
	Wait     time.Duration // ask again after a round, at most this long, before falling back to the primary
	Err      error         // classified error when no instance may serve the unit
}
