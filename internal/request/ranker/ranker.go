// Package ranker orders the instances that may serve a read by their expected
// cost, the cheapest first. Its functions are pure.
package ranker

import (
	"cmp"
	"slices"
	"time"

	"parsleyscale/internal/backend/allotter"
	"parsleyscale/internal/backend/pacer"
	"parsleyscale/internal/group/registrar"
	"parsleyscale/internal/session/tokenizer"
)

const (
	// leavingPrimaryGrace is how long a leaving primary still gets reads after this VM learned that it is leaving.
	leavingPrimaryGrace = 5 * time.Second

	// After an instance refused a floor that it had not applied, reads with the same
	// or a higher floor avoid it for half of the time that it has been behind. Each
	// refusal costs the instance time, and all VMs send reads to it.

	// minBehindBackoff is the minimum of that time.
	minBehindBackoff = 100 * time.Millisecond
	// maxBehindBackoff is the maximum of that time.
	maxBehindBackoff = 1600 * time.Millisecond

	// laggingProbeInterval is the minimum time between reads to an instance whose lag exceeds the floor's age.
	laggingProbeInterval = 200 * time.Millisecond
	// overloadCooldown is how long an instance that shed load ranks behind the healthy ones.
	overloadCooldown = 50 * time.Millisecond

	regionRoundTrip = 2 * time.Millisecond  // assumed network round trip to another data centre of the region
	remoteRoundTrip = 16 * time.Millisecond // assumed network round trip to another region
	remotePenalty   = 10 * time.Millisecond // added for another region, because traffic on the link is paid for
	primaryPenalty  = 8 * time.Millisecond  // added for the primary, to keep reads off it
	assumedLatency  = 12 * time.Millisecond // statement latency without the network, if there is no recent average
	maxLatencyAge   = time.Second           // time since the last answer after which the latency average is ignored
)

// Query describes a read and the VM at which it arrived.
type Query struct {
	Floor      tokenizer.Position // lowest position that the instance must have applied
	FloorAge   time.Duration      // upper limit of the time since the primary reached the floor
	DataCentre string             // data centre of this VM
	Region     string             // region of this VM
	RegionOf   func(dataCentre string) string
	Primary    string // ID of the instance that this VM takes for the primary
	Now        time.Time
	Exclude    []string // IDs of the instances that have already refused this read
}

// Candidate is an instance and the load that this VM puts on it.
type Candidate struct {
	View registrar.View
	Load allotter.Load
}

// Decision is a candidate with what decides about its place in the order.
type Decision struct {
	Candidate
	Verdict   pacer.Verdict // by comparison with the other candidates
	Health    Health
	Cost      time.Duration
	Exclusion Exclusion // empty if the candidate may get the read
}

// Health is the health class of a candidate; a lower one is tried first.
type Health uint8

// Health classes.
const (
	Healthy    Health = iota
	Overloaded        // shed load within overloadCooldown
	Faulty            // has a fault by comparison with its peers, and no probe is due
)

// String returns the name of the class for operators.
func (h Health) String() string { return [...]string{"healthy", "overloaded", "faulty"}[h] }

// Exclusion is the reason why a candidate does not get the read.
type Exclusion string

// The reasons.
const (
	Tried        Exclusion = "tried"        // it has already refused this read
	Leaving      Exclusion = "leaving"      // it is shutting down
	DialBackoff  Exclusion = "dialBackoff"  // it refused a connection, and none is open
	RefusedFloor Exclusion = "refusedFloor" // it recently refused the same or a lower floor
	Lagging      Exclusion = "lagging"      // its lag exceeds the floor's age, and it got a read recently
)

// Rank returns the usable candidates in the order in which to try them. It omits
// those that must not get the read and those that would most likely refuse it.
func Rank(list []Candidate, q Query) []Candidate {
	candidates := make([]Candidate, 0, len(list))
	for _, d := range Decide(list, q) {
		if d.Exclusion == "" {
			candidates = append(candidates, d.Candidate)
		}
	}
	return candidates
}

// Decide returns all candidates: the usable ones in the order in which to try them, then the excluded ones.
func Decide(list []Candidate, q Query) []Decision {
	verdicts := pacer.Judge(Observations(list), q.Now)
	order := make([]Decision, len(list))
	for k, c := range list {
		order[k] = Decision{Candidate: c, Verdict: verdicts[k], Health: healthOf(c.View, verdicts[k], q), Cost: costOf(c, q), Exclusion: exclusionOf(c, q)}
	}
	slices.SortFunc(order, func(a, b Decision) int {
		if isExcluded := a.Exclusion != ""; isExcluded != (b.Exclusion != "") {
			if isExcluded {
				return 1
			}
			return -1
		}
		return cmp.Or(cmp.Compare(a.Health, b.Health), cmp.Compare(a.Cost, b.Cost), cmp.Compare(a.View.ID, b.View.ID))
	})
	return order
}

// Observations returns what is known about the instances of a group, for pacer.Judge.
func Observations(list []Candidate) []pacer.Observation {
	observations := make([]pacer.Observation, len(list))
	for k, c := range list {
		observations[k] = pacer.Observation{
			ID: c.View.ID, Window: c.View.Outcomes, Latency: max(c.View.Latency, c.Load.MeanHoldTime), Silence: c.Load.Silence,
			Failures: c.View.Failures, LastFailedAt: c.View.LastFailedAt, ProbedAt: c.View.ReadSentAt,
		}
	}
	return observations
}

// exclusionOf returns why an instance must not get the read or would most likely refuse it, or "" if it may get the read. A
// primary that has only just begun to leave may.
func exclusionOf(c Candidate, q Query) Exclusion {
	v := c.View
	switch {
	case slices.Contains(q.Exclude, v.ID):
		return Tried
	case v.IsLeaving && !(v.ID == q.Primary && q.Now.Sub(v.LeavingAt) < leavingPrimaryGrace):
		return Leaving
	case c.Load.InDialBackoff:
		return DialBackoff
	}
	return floorExclusionOf(v, q)
}

// healthOf returns the health class of an instance.
func healthOf(v registrar.View, verdict pacer.Verdict, q Query) Health {
	switch {
	case verdict.Fault != "" && !verdict.MayProbe:
		return Faulty
	case q.Now.Sub(v.OverloadedAt) < overloadCooldown:
		return Overloaded
	}
	return Healthy
}

// floorExclusionOf returns why an instance would most likely refuse the read because
// it has not applied the floor: it recently refused the same or a lower floor, or
// it is a replica whose lag exceeds the floor's age and that got a read recently.
// Once it has got no read for a while it is tried again, so that the next read
// shows whether it has caught up.
func floorExclusionOf(v registrar.View, q Query) Exclusion {
	if q.Floor.IsZero() || v.Position.Covers(q.Floor) {
		return ""
	}
	backoff := time.Duration(0)
	if !v.BehindSince.IsZero() {
		backoff = min(max(minBehindBackoff, v.RefusedAt.Sub(v.BehindSince)/2), maxBehindBackoff)
	}
	if q.Now.Sub(v.RefusedAt) < backoff && q.Floor.Covers(v.RefusedFloor) {
		return RefusedFloor
	}
	if v.ID != q.Primary && q.FloorAge < v.Lag && q.Now.Sub(v.ReadSentAt) < max(laggingProbeInterval, backoff) {
		return Lagging
	}
	return ""
}

// costOf returns the cost by which candidates of the same health are ordered: the
// estimated time until the answer, plus the penalties for another region and for the primary.
func costOf(c Candidate, q Query) time.Duration {
	v := c.View
	cost := v.Latency
	if cost == 0 || q.Now.Sub(v.AnsweredAt) > maxLatencyAge {
		cost = assumedLatency + networkRoundTrip(v.DataCentre, q)
	}
	// Each request that uses or awaits a connection adds half of the latency, divided by the instance's slots.
	if n := c.Load.InUse + c.Load.Waiting; n > 0 {
		cost += cost * time.Duration(n) / time.Duration(2*max(1, v.Slots))
	}
	// If no connection is free, the read waits for the requests ahead of it: this adds the cost once for each of them
	// and once for itself, divided by the connection limit.
	if !c.Load.IsFree() {
		cost += cost * time.Duration(c.Load.Waiting+1) / time.Duration(max(1, c.Load.MaxInUse))
	}
	if v.DataCentre != q.DataCentre && q.RegionOf(v.DataCentre) != q.Region {
		cost += remotePenalty
	}
	if v.ID == q.Primary {
		cost += primaryPenalty
	}
	return cost
}

// networkRoundTrip returns the assumed network round trip from this VM to a data centre.
func networkRoundTrip(dataCentre string, q Query) time.Duration {
	switch {
	case dataCentre == q.DataCentre:
		return 0
	case q.RegionOf(dataCentre) == q.Region:
		return regionRoundTrip
	}
	return remoteRoundTrip
}
