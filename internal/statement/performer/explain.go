package performer

import (
	"slices"
	"time"

	"parsleyscale/internal/backend/allotter"
	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/group/registrar"
	"parsleyscale/internal/request/ranker"
	"parsleyscale/internal/session/tokenizer"
	"parsleyscale/internal/sheet/cataloger"
	"parsleyscale/internal/statement/carrier"
)

// Plan is what would happen to a request that arrived now.
type Plan struct {
	Primary       string // instance that this VM takes for the primary; empty if none is known
	NeedsPrimary  bool
	IsLeadInDoubt bool // the lead of the primary was verified last without success
	Floor         tokenizer.Position
	FloorAge      time.Duration
	IsFloorKnown  bool        // false for a read if the primary would be asked for its position first
	Candidates    []Candidate // those that would be tried, in this order, then the excluded ones
	Instance      string      // that would get the request; empty if no instance would
	Wait          time.Duration
	Longest       time.Duration  // longest time to wait for a connection to Instance, or to wait before Refusal
	Refusal       *carrier.Reply // that the client would receive after Longest; nil if Instance would get the request
}

// Candidate is an instance with what decides whether the request is sent to it.
type Candidate struct {
	ranker.Decision
	Exclusion string // empty if it would be tried
	Forecast  allotter.Forecast
	Longest   time.Duration // longest time to wait for a connection to it
}

// notPrimary is the exclusion of a replica from a request that only the primary serves.
const notPrimary = "notPrimary"

// Explain returns what would happen to a single statement that arrived now, by the decisions of Read and Write. It sends
// nothing, and it takes and records nothing.
func (p *Performer) Explain(r Request) Plan {
	e := &execution{performer: p, request: r, group: p.cfg.Groups.Peek(r.Route.Group)}
	plan := Plan{Primary: e.group.Primary().Instance, NeedsPrimary: r.IsWrite() || r.Route.ReadKind == cataloger.Current}
	plan.IsLeadInDoubt = p.verifier != nil && p.verifier.IsInDoubt(e.group.Name(), plan.Primary)
	if !plan.NeedsPrimary {
		plan.Floor, plan.IsFloorKnown = e.knownFloor()
		plan.FloorAge = e.group.FloorAge(plan.Floor)
		e.floor = plan.Floor
	}
	_, hasPrimary := e.primary()
	for _, d := range ranker.Decide(e.rankerInput(p.cfg.Pool.Peek)) {
		c := Candidate{Decision: d, Exclusion: string(d.Exclusion)}
		if plan.NeedsPrimary { // the ranker's reasons are for reads from any instance
			c.Exclusion = primaryExclusion(d.View, plan.Primary, hasPrimary)
		}
		c.Longest = e.longestWait(d.View, d.Load)
		c.Forecast = p.cfg.Pool.Forecast(registrar.NewTarget(d.View.Instance).WithTeam(r.Team), r.Route.Priority, c.Longest)
		plan.Candidates = append(plan.Candidates, c)
	}
	slices.SortStableFunc(plan.Candidates, func(a, b Candidate) int { return compareBool(a.Exclusion != "", b.Exclusion != "") })
	plan.decide(e, hasPrimary)
	return plan
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// primaryExclusion returns why an instance does not get a request that only the primary serves, or "" if it does.
func primaryExclusion(v registrar.View, primary string, isAccepting bool) string {
	switch {
	case v.ID != primary:
		return notPrimary
	case !isAccepting:
		return string(ranker.Leaving)
	}
	return ""
}

// longestWait returns how long the request may wait for a connection to an instance if it arrives now.
func (e *execution) longestWait(v registrar.View, l allotter.Load) time.Duration {
	timeout, objective := e.request.Timeout(), e.request.Route.LatencyObjective
	if objective <= 0 {
		return timeout
	}
	return min(timeout, acquireWait(objective, v.Latency, l.HasSustainedOverload))
}

// decide fills in the instance that would get the request, or the refusal.
func (p *Plan) decide(e *execution, hasPrimary bool) {
	isFloorAvailable := p.NeedsPrimary || p.IsFloorKnown || hasPrimary && e.canSample()
	for _, c := range p.Candidates {
		switch {
		case c.Exclusion != "" || !isFloorAvailable:
		case c.Forecast.Err == nil:
			p.Instance, p.Wait, p.Longest = c.View.ID, c.Forecast.Wait, c.Longest
			return
		case allotter.IsRejected(c.Forecast.Err):
			e.acquireErr = c.Forecast.Err
		}
	}
	if e.acquireErr == nil {
		p.Longest = e.request.Timeout()
	}
	r := e.refusal(p.finalRefusal(e, hasPrimary))
	p.Refusal = &r
}

// canSample reports whether the primary could be asked for its position. If all dials of it have failed for some time, that is
// the error with which the request is refused.
func (e *execution) canSample() bool {
	v, _ := e.primary()
	f := e.performer.cfg.Pool.Forecast(registrar.NewTarget(v.Instance).WithAnyTeam(), 0, minReplyTimeout)
	if !allotter.IsUnreachable(f.Err) {
		return true
	}
	e.acquireErr = f.Err
	return false
}

// finalRefusal returns the kind and the text of the refusal if no instance reports another one.
func (p *Plan) finalRefusal(e *execution, hasPrimary bool) (classifier.Kind, string) {
	switch {
	case p.NeedsPrimary && !hasPrimary:
		return classifier.NoPrimary, textNoPrimary
	case e.request.IsWrite():
		return classifier.Overloaded, textWriteNot
	case p.NeedsPrimary:
		return classifier.Overloaded, textPrimaryReadNot
	case !p.IsFloorKnown:
		return classifier.StaleBound, textNoFloor
	}
	return classifier.Overloaded, textReadNotServed
}
