// Package router chooses the instance that serves a unit of work. Its functions
// are pure: they take a view of the group and a query and return a decision.
package router

import (
	"time"

	"parsleyscale/internal/request/exchanger"
	"parsleyscale/internal/session/tokenizer"
)

// DefaultMaxWait bounds the wait for a replica that is about to qualify. Replicas
// that lag 200 ms then serve the reads that follow their session's write by more than 80 ms.
const DefaultMaxWait = 120 * time.Millisecond

// RoundWait bounds the wait for a confirmed round; it covers a status call on a
// silent connection and another on a new one.
const RoundWait = 600 * time.Millisecond

// PrimaryWait bounds the wait of a read for a primary that is being replaced.
const PrimaryWait = 2 * time.Second

// Query is what a decision depends on besides the view.
type Query struct {
	Class        exchanger.Class
	Floor        tokenizer.Position // the instance must have applied it
	MaxStaleness time.Duration      // limit on now minus FreshAsOf
	Bounded      bool               // MaxStaleness applies
	DataCentre   string             // of this VM
	Region       string
	RegionOf     func(dataCentre string) string
	Arrived      time.Time // when the unit came to be routed; zero: Now
	Now          time.Time
	MaxWait      time.Duration // after Arrived, for a replica; zero: DefaultMaxWait, negative: none
	Hash         uint64        // spreads units over equal instances
	Exclude      []string      // instances that failed this unit already
}

func (q *Query) setDefaults() {
	if q.Arrived.IsZero() {
		q.Arrived = q.Now
	}
	if q.MaxWait == 0 {
		q.MaxWait = DefaultMaxWait
	}
}

// Decision names the instance, or what to wait for, or why there is none.
//
// With Wait set, the caller calls Sampler.Next with at most that time and then
// Decide again with the new view and Now and the same Arrived.
type Decision struct {
	Instance string        // "" when Wait or Err is set
	Role     string        // primary or replica
	Reason   Reason        // why this instance, this wait or this error
	Wait     time.Duration // ask again after a round, at most this long
	Err      error         // classified error when no instance may serve the unit
}
