// Package pacer decides how much load an instance gets while it starts or recovers, and which instances of a group are avoided.
//
// Its functions are pure: values in, values out. The caller keeps a Pace for each pool of connections, and a Window for each
// instance.
package pacer

import "time"

// Instance describes an instance to the pool of connections whose limit is computed.
type Instance struct {
	Slots       int // statements that it runs at once; 0: not known
	Pools       int // pools that connect to it: its gateways, or all VMs; 0: this VM connects through a gateway, so there is no ramp
	IsPrimary   bool
	StartedAtMs int64         // Unix milliseconds; a change is a restart
	WarmUp      time.Duration // time left until it reaches its normal speed, by its own report
}

// Reason tells why a ramp has begun.
type Reason string

// The reasons.
const (
	Discovered Reason = "discovered" // the first connections of this pool
	Restarted  Reason = "restarted"  // its start time changed
	Promoted   Reason = "promoted"   // it became the primary
	Recovered  Reason = "recovered"  // it answers again, or it closed its connections
	Stalled    Reason = "stalled"    // it has not answered any statement for StaleSilence
)

const (
	// minRamp is how long a ramp takes at least. All gateways have opened their connections after about 0.3 s.
	minRamp = time.Second
	// maxRamp bounds the ramp of an instance that reports a longer warm-up, or a wrong one.
	maxRamp = 20 * time.Second
	// quietBeforeEnd is how long before the end of a ramp the instance must not have refused a statement.
	quietBeforeEnd = 500 * time.Millisecond
	// maxLatencyRatio is the ratio of the mean response time to its lowest value during the ramp above which the limit does not
	// grow. A higher ratio shows that statements queue at the instance, so that more of them gain nothing. Responses of a cold
	// instance are slow from the first one on, which does not raise the ratio.
	maxLatencyRatio = 1.5
	// shrinkLatencyRatio is the ratio above which the limit shrinks, but not below the initial one. Without it, the limit would
	// creep up with the variation of the response times.
	shrinkLatencyRatio = 1.8
	// latencyWeight is the weight of the latest response time in the mean.
	latencyWeight = 0.1
	// baselineRise is the share of the difference to the mean by which the lowest mean rises with each response, so that it
	// follows an instance whose statements have become longer. It is small: a queue must not raise it within a second.
	baselineRise = 0.0005
	// assumedQueue is the number of statements that an instance is assumed to keep waiting before it refuses one.
	assumedQueue = 40
	// assumedSlots is used for an instance whose number of slots is not known.
	assumedSlots = 2

	// refusalDecrease is the factor that is applied to the limit for a refused statement.
	refusalDecrease = 0.7
	// minRefusalLimit is the lower bound of the limit after refusals outside of a ramp.
	minRefusalLimit = 2.0
	// growthAfterRefusal is the growth of the limit over as many responses as the limit is wide, outside of a ramp.
	growthAfterRefusal = 0.2
	// rampGrowth is the same during a ramp.
	rampGrowth = 1.0
	// unlimited is the limit of an instance that has refused no statement lately.
	unlimited = 1000.0
)

// Pace is the state from which the limit of a pool's connections in use at one instance is computed. The zero value sets no
// limit. Methods return the changed state.
type Pace struct {
	instance Instance
	isKnown  bool    // instance is set
	limit    float64 // of connections in use, if isLimited
	// isLimited is set after a refusal and during a ramp. Otherwise only the usual limit applies.
	isLimited bool

	ramp      Reason // empty: no ramp
	isProven  bool   // the instance has answered since the ramp began
	rampBegan time.Time
	rampUntil time.Time
	refusedAt time.Time

	meanTook     time.Duration // during the ramp
	baselineTook time.Duration // lowest value of meanTook
}

// Ramp returns the reason of the present ramp, or "" if there is none.
func (p Pace) Ramp() Reason { return p.ramp }

// IsDirect reports whether the pool connects to the instance itself.
func (p Pace) IsDirect() bool { return p.instance.Pools > 0 }

// IsStalled reports whether a ramp is to begin because the instance has not answered any of its statements for a time. It may never
// answer them, so that others have to show whether it works again, one at a time.
func (p Pace) IsStalled(now time.Time, silence time.Duration) bool {
	return p.IsDirect() && silence >= StaleSilence && (p.ramp == "" || now.Sub(p.rampBegan) >= StaleSilence)
}

// BeganRampSince reports whether a ramp has begun after the state before.
func (p Pace) BeganRampSince(before Pace) bool {
	return p.ramp != "" && (p.ramp != before.ramp || !p.rampBegan.Equal(before.rampBegan))
}

// WithInstance returns the state for the latest description of the instance. A restart or a promotion begins a ramp.
func (p Pace) WithInstance(now time.Time, i Instance, usual int) Pace {
	old, wasKnown := p.instance, p.isKnown
	p.instance, p.isKnown = i, true
	switch {
	case i.Pools == 0:
		if p.ramp != "" {
			p.ramp, p.isLimited = "", false
		}
		return p
	case !wasKnown || old.Pools == 0:
		return p.WithRamp(now, Discovered, usual)
	case old.StartedAtMs != 0 && old.StartedAtMs != i.StartedAtMs:
		return p.WithRamp(now, Restarted, usual)
	case i.IsPrimary && !old.IsPrimary:
		p = p.WithRamp(now, Promoted, usual)
		p.isProven, p.limit = true, p.initialLimit(usual) // it has answered as a replica
		return p
	}
	return p.withEnd(now, usual)
}

// WithRamp returns the state after the beginning of a ramp. It has no effect for an instance that is reached through a gateway.
func (p Pace) WithRamp(now time.Time, reason Reason, usual int) Pace {
	if p.instance.Pools == 0 {
		return p
	}
	p.ramp, p.isProven, p.isLimited, p.limit = reason, false, true, 1
	p.rampBegan = now
	p.rampUntil = now.Add(min(max(minRamp, p.instance.WarmUp), maxRamp))
	p.meanTook, p.baselineTook = 0, 0
	if p.instance.IsPrimary {
		p.limit = p.initialLimit(usual)
	}
	return p
}

// WithConnection returns the state after the instance has accepted a connection, which proves that it answers unless it has left
// statements unanswered.
func (p Pace) WithConnection(usual int) Pace {
	if p.ramp == Stalled {
		return p
	}
	return p.withProof(usual)
}

// withProof returns the state after the instance has answered.
func (p Pace) withProof(usual int) Pace {
	if p.ramp != "" && !p.isProven {
		p.isProven, p.limit = true, max(p.limit, p.initialLimit(usual))
	}
	return p
}

// WithResponse returns the state after a response that took a time, while inUse connections were in use.
func (p Pace) WithResponse(now time.Time, took time.Duration, inUse, usual int) Pace {
	if !p.isLimited {
		return p
	}
	if p.ramp == "" {
		if p.limit += growthAfterRefusal / max(1, p.limit); p.limit >= unlimited {
			p.isLimited = false
		}
		return p
	}
	p = p.withProof(usual).withTook(took)
	ratio := float64(p.meanTook) / float64(max(1, p.baselineTook))
	if p.instance.IsPrimary {
		ratio = 1 // commits wait for replicas without a slot, so that the response times of a primary do not show a queue
	}
	step := rampGrowth / max(1, p.limit)
	switch {
	case ratio > shrinkLatencyRatio:
		p.limit = max(min(p.limit, p.initialLimit(usual)), p.limit-step)
	case ratio <= maxLatencyRatio && float64(inUse) >= p.limit-1:
		p.limit = min(float64(usual), p.limit+step)
	}
	return p.withEnd(now, usual)
}

// withTook returns the state with the response times after one more response.
func (p Pace) withTook(took time.Duration) Pace {
	if p.baselineTook == 0 {
		p.meanTook, p.baselineTook = took, took
		return p
	}
	p.meanTook += time.Duration(latencyWeight * float64(took-p.meanTook))
	p.baselineTook += time.Duration(baselineRise * float64(p.meanTook-p.baselineTook))
	p.baselineTook = min(p.baselineTook, p.meanTook)
	return p
}

// WithRefusal returns the state after the instance refused a statement because of overload. usual is the limit that would apply
// otherwise.
func (p Pace) WithRefusal(now time.Time, usual int) Pace {
	p.refusedAt = now
	if !p.isLimited {
		p.isLimited, p.limit = true, unlimited
	}
	lowest := minRefusalLimit
	if p.ramp != "" {
		lowest = 1
	}
	p.limit = max(lowest, min(p.limit, float64(usual))*refusalDecrease)
	return p
}

// withEnd returns the state with the ramp ended if it is over. The usual limit then applies, or this pool's share of the slots and the
// queue of the instance if that is lower: it grows from there as after a refusal.
func (p Pace) withEnd(now time.Time, usual int) Pace {
	if p.ramp == "" || now.Before(p.rampUntil) || !p.isProven || now.Sub(p.refusedAt) < quietBeforeEnd {
		return p
	}
	p.ramp, p.isLimited = "", false
	if share := float64(p.instance.Slots+assumedQueue) / float64(p.instance.Pools); p.instance.Slots > 0 && share < float64(usual) {
		p.isLimited, p.limit = true, max(1, share)
	}
	return p
}

// Limit returns how many connections may be in use, at least 1. usual is the limit without a pace.
func (p Pace) Limit(usual int) int {
	if !p.isLimited {
		return max(1, usual)
	}
	return max(1, min(usual, int(p.limit)))
}

// ExpectedLimit returns the limit that applies once the instance has answered, for estimates of waiting times.
func (p Pace) ExpectedLimit(usual int) int {
	if p.ramp != "" && !p.isProven {
		return int(p.initialLimit(usual))
	}
	return p.Limit(usual)
}

// initialLimit returns the limit at which a ramp continues once the instance has answered: this pool's share of the slots. All pools
// together then fill the slots and queue little behind them. A primary gets at least half of the usual limit, because commits
// that wait for replicas occupy connections, but no slots.
func (p Pace) initialLimit(usual int) float64 {
	slots := p.instance.Slots
	if slots == 0 {
		slots = assumedSlots
	}
	n := max(1, p.instance.Pools)
	share := (slots + n - 1) / n
	if p.instance.IsPrimary {
		share = max(share, (usual+1)/2)
	}
	return float64(max(1, min(share, usual)))
}
