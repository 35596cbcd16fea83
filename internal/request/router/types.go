// Package router chooses the instance that serves a unit of work. Its functions
// are pure: they take a view of the group and a query and return a decision.
//
// A unit's floor is the lowest log position that the instance must have applied.
// A confirmed round is a status poll of the group in which a majority, the
// primary included, answered in the current term; see package sampler.
package router

import (
	"time"

	"parsleyscale/internal/request/exchanger"
	"parsleyscale/internal/session/tokenizer"
)

// DefaultMaxWait limits how long a read waits for a replica that is expected to
// qualify soon. With it, replicas that lag by 200 ms can serve the reads that
// arrive more than 80 ms after a write of their session.
const DefaultMaxWait = 120 * time.Millisecond

// MaxRoundWait limits how long a read waits for a confirmed round. It leaves time
// for a status call that times out on an unresponsive connection and for a
// second one on a new connection.
const MaxRoundWait = 600 * time.Millisecond

// MaxPrimaryWait limits how long a read waits for a primary during a failover.
const MaxPrimaryWait = 2 * time.Second

// Query holds the inputs of a decision other than the view of the group.
type Query struct {
	Class           exchanger.Class
	Floor           tokenizer.Position // lowest position that the instance must have applied
	MaxStaleness    time.Duration      // maximum of Now minus InstanceView.FreshAsOf
	HasMaxStaleness bool               // MaxStaleness applies
	DataCentre      string             // data centre of this VM
	Region          string             // region of this VM
	RegionOf        func(dataCentre string) string
	ArrivedAt       time.Time // when the unit arrived for routing; zero means Now
	Now             time.Time
	MaxWait         time.Duration // maximum wait for a replica, counted from ArrivedAt; zero means DefaultMaxWait, negative means no wait
	Hash            uint64        // distributes units over the qualifying replicas of the nearest locality
	Exclude         []string      // names of the instances that have already failed this unit
}

func (q *Query) setDefaults() {
	if q.ArrivedAt.IsZero() {
		q.ArrivedAt = q.Now
	}
	if q.MaxWait == 0 {
		q.MaxWait = DefaultMaxWait
	}
}

// Decision is the result of Decide: an instance, a wait or an error.
//
// If Wait is set, the caller calls Sampler.NextRound with Wait as the time limit and
// then calls Decide again with the new view, the new Now and the same ArrivedAt.
type Decision struct {
	Instance string        // name of the chosen instance; empty if Wait or Err is set
	Role     string        // role of the instance: primary or replica
	Reason   Reason        // reason for the choice, the wait or the error
	Wait     time.Duration // maximum wait for the next confirmed round; zero if Instance or Err is set
	Err      error         // error with a kind (package classifier) if no instance may serve the unit
}
