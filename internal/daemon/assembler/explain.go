package assembler

import (
	"slices"
	"time"

	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/operator/inspector"
	"parsleyscale/internal/sheet/cataloger"
	"parsleyscale/internal/statement/carrier"
	"parsleyscale/internal/statement/conductor"
	"parsleyscale/internal/statement/performer"
	"parsleyscale/internal/team/authenticator"
)

// explain returns where a request would be routed if it arrived now. It runs the decisions that serve requests, in the same
// order, and takes nothing from limits, queues and connections.
func (v *VM) explain(q inspector.Request) (inspector.Explanation, error) {
	x := inspector.Explanation{VM: v.cfg.ID, DataCentre: v.cfg.DataCentre, Statement: "read", Candidates: []inspector.ExplainedCandidate{}}
	if q.IsWrite {
		x.Statement = "write"
	}
	c := v.configuration.Load()
	team, err := explainedTeam(c, q.Team)
	if err != nil {
		return x, err
	}
	if c != nil {
		x.Configuration = c.Version
	}
	route, err := conductor.RouteOf(c, q.Database)
	if err != nil {
		x.Refusal = v.explainedRefusal("configuration", carrier.ErrorReplyFor(err), 0)
		return x, nil
	}
	if q.Age != nil {
		if q.IsWrite || route.ReadKind == cataloger.Current {
			return x, classifier.New(classifier.Invalid, "an age applies only to reads on a route of bounded or session reads")
		}
		route.MaxStaleness = *q.Age
	}
	r := performer.Request{Route: route, Team: team.Name, Statement: carrier.Statement{Verb: carrier.Read}, ArrivedAt: time.Now(), ArrivedClock: v.platform.Clock()}
	if q.IsWrite {
		r.Statement.Verb = carrier.Write
	}
	x.Route = explainedRoute(route, r.Timeout())
	x.Refusal = v.identityRefusal(c, route, team)
	if team.Name != "" {
		limit, refusal := v.explainLimit(team)
		x.Team = limit
		if x.Refusal == nil {
			x.Refusal = refusal
		}
	}
	v.addPlan(&x, v.performer.Explain(r))
	return x, nil
}

// explainedTeam returns the team with a name, and the zero value for an empty name. The error does not repeat the name, which
// might be a key by mistake.
func explainedTeam(c *cataloger.Configuration, name string) (cataloger.Team, error) {
	if name == "" {
		return cataloger.Team{}, nil
	}
	if c == nil {
		return cataloger.Team{}, classifier.New(classifier.Invalid, "the VM has no configuration yet")
	}
	t, ok := c.Teams[name]
	if !ok {
		return t, classifier.New(classifier.Invalid, "the configuration has no team of this name")
	}
	return t, nil
}

func explainedRoute(r cataloger.Route, timeout time.Duration) *inspector.ExplainedRoute {
	return &inspector.ExplainedRoute{
		Database: r.Database, Group: r.Group, ReadKind: string(r.ReadKind), MaxStalenessMillis: inspector.Millis(r.MaxStaleness), TimeoutMillis: inspector.Millis(timeout),
		ObjectiveMillis: inspector.Millis(r.LatencyObjective), Priority: r.Priority, IsPublic: r.IsPublic,
	}
}

// identityRefusal returns the refusal of a caller whose key belongs to a team, or to none, or nil if it is admitted.
func (v *VM) identityRefusal(c *cataloger.Configuration, route cataloger.Route, team cataloger.Team) *inspector.ExplainedRefusal {
	caller := authenticator.Caller{Route: route, Configuration: c, SilentFor: v.silentFor()}
	if err := v.authentication().DecideFor(caller, team, team.Name != "").Err(); err != nil {
		return v.explainedRefusal("identity", carrier.ErrorReplyFor(err), 0)
	}
	return nil
}

// explainLimit returns what is known of a team's limit, and the refusal of an operation above it.
func (v *VM) explainLimit(t cataloger.Team) (*inspector.ExplainedTeam, *inspector.ExplainedRefusal) {
	l := v.limits.limiter.Explain(t)
	x := &inspector.ExplainedTeam{Name: t.Name, Rate: t.Rate, Burst: t.Burst, InHand: l.InHand, WaitMillis: inspector.Millis(l.Wait)}
	for _, h := range l.Holders {
		x.Holders = append(x.Holders, inspector.ExplainedHolder{Shard: h.Shard, Address: h.Address, WaitMillis: inspector.Millis(h.Wait), HasFailed: h.HasFailed})
	}
	if l.Err != nil {
		return x, v.explainedRefusal("limit", carrier.ErrorReplyFor(l.Err), 0)
	}
	return x, nil
}

func (v *VM) explainedRefusal(by string, r carrier.Reply, after time.Duration) *inspector.ExplainedRefusal {
	return &inspector.ExplainedRefusal{By: by, Kind: string(r.Kind), Text: v.platform.FormatError(r), AfterMillis: inspector.Millis(after), RetryAfterMillis: inspector.Millis(r.RetryAfter)}
}

// addPlan adds the candidates, and the instance that would get the request unless it is refused before.
func (v *VM) addPlan(x *inspector.Explanation, p performer.Plan) {
	x.Primary, x.IsLeadInDoubt = p.Primary, p.IsLeadInDoubt
	if !p.NeedsPrimary {
		x.Floor = &inspector.ExplainedFloor{IsKnown: p.IsFloorKnown}
		if p.IsFloorKnown {
			x.Floor.Position, x.Floor.AgeMillis = p.Floor.String(), inspector.Millis(p.FloorAge)
		}
	}
	for _, c := range p.Candidates {
		x.Candidates = append(x.Candidates, v.explainedCandidate(c))
	}
	switch {
	case x.Refusal != nil:
	case p.Refusal != nil:
		x.Refusal = v.explainedRefusal("instances", *p.Refusal, p.Longest)
	default:
		x.Instance, x.WaitMillis, x.LongestMillis = p.Instance, inspector.Millis(p.Wait), inspector.Millis(p.Longest)
	}
}

func (v *VM) explainedCandidate(c performer.Candidate) inspector.ExplainedCandidate {
	f := c.Forecast
	x := inspector.ExplainedCandidate{
		ID: c.View.ID, DataCentre: c.View.DataCentre, Exclusion: c.Exclusion, Health: c.Health.String(), Fault: string(c.Verdict.Fault), IsProbeDue: c.Verdict.MayProbe, CostMillis: inspector.Millis(c.Cost),
		LatencyMillis: inspector.Millis(c.View.Latency), LagMillis: inspector.Millis(c.View.Lag), Position: c.View.Position.String(), Failures: c.View.Failures,
		WaitMillis: inspector.Millis(f.Wait), LongestMillis: inspector.Millis(c.Longest),
		Link: inspector.Link{Usable: f.Open, Open: f.Load.Open, Idle: f.Load.Idle, InUse: f.Load.InUse, MaxInUse: f.Load.MaxInUse, Waiting: f.Load.Waiting, Ahead: f.Ahead},
		Pace: inspector.Pace{Limit: f.Pace.Limit, Usual: f.Pace.Usual, Ramp: string(f.Pace.Ramp)},
	}
	if f.Err != nil {
		x.Rejection = classifier.Message(f.Err)
	}
	if g, ok := v.gateways.gatewayFor(f.Target); ok {
		x.Link.Gateway, x.Link.GatewayAddress = g.ID, g.LinkAddress
	}
	return x
}

// gatewayFor returns the gateway through which a connection to a routed target passes, or false if it leads to the instance.
func (d *gatewayDialer) gatewayFor(t carrier.Target) (member, bool) {
	if t.Gateway == "" {
		return d.gatewayAtDial(t)
	}
	list := d.gatewaysOf(t)
	k := slices.IndexFunc(list, func(m member) bool { return m.LinkAddress == t.Gateway })
	if k < 0 {
		return member{LinkAddress: t.Gateway}, true
	}
	return list[k], true
}
