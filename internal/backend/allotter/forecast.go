package allotter

import (
	"time"

	"parsleyscale/internal/backend/pacer"
	"parsleyscale/internal/statement/carrier"
)

// Forecast is what a request for a connection would get if it arrived now.
type Forecast struct {
	Target carrier.Target // with the gateway through which the request would pass, if it is chosen before the dial
	Load   Load
	Pace   Pace
	Open   int           // open connections that can serve the request, including those being dialed
	Ahead  int           // waiting requests that would be served before it
	Wait   time.Duration // expected, without the time for a dial
	Err    error         // with which it would be rejected at once; nil if it would be served or may wait
}

// Pace is the limit of the connections that statements have in use at an instance.
type Pace struct {
	Limit int          // after a start, a recovery or an overload reply, without the connections in use since before
	Usual int          // limit that applies otherwise
	Ramp  pacer.Reason // why a ramp is under way; empty: none is
}

// Forecast returns what Acquire would do with a request that can wait for longest. It takes and records nothing: it decides on
// a copy of the pool, because reading the limits may update the pool and begin a ramp.
func (a *Allotter) Forecast(t carrier.Target, priority int, longest time.Duration) Forecast {
	a.mu.Lock()
	defer a.mu.Unlock()
	p := a.copyOf(t)
	if a.cfg.PeekRoute != nil {
		t = a.cfg.PeekRoute(t, p.loadOf(t.Team))
	}
	r := newRequest(scopeOf(t), t, carrier.Urgency{Priority: priority})
	limits := a.peekLimits(p)
	p.updatePace(time.Now(), limits, a.cfg.LimitGrowInterval)
	maxInUse := p.maxInUse(limits, a.cfg.LimitGrowInterval)
	n := p.answer(r, maxInUse, p.maxOpen(limits, a.cfg.LimitGrowInterval), longest)
	return Forecast{Target: t, Load: p.load(maxInUse), Pace: Pace{Limit: p.pace.Limit(p.usual), Usual: p.usual, Ramp: p.pace.Ramp()}, Open: p.openFor(r), Ahead: n.ahead, Wait: n.wait, Err: n.err}
}

// Peek is Load without any effect.
func (a *Allotter) Peek(t carrier.Target) Load {
	a.mu.Lock()
	defer a.mu.Unlock()
	p := a.copyOf(t)
	return p.load(p.maxInUse(a.peekLimits(p), a.cfg.LimitGrowInterval))
}

func (a *Allotter) peekLimits(p *instancePool) Limits {
	if a.cfg.PeekLimits != nil {
		return a.cfg.PeekLimits(p.target)
	}
	return a.cfg.Limits(p.target)
}

// copyOf returns a copy of the pool of an instance as poolOf would leave it. It shares the elements of the pool, which the
// caller must not change, but no buffers. The caller holds a.mu.
func (a *Allotter) copyOf(t carrier.Target) *instancePool {
	p, ok := a.pools[t.Instance]
	if !ok {
		return newInstancePool(t)
	}
	c := *p
	c.requests, c.idleConns = nil, nil
	if c.target.Address != t.Address {
		c.open -= len(c.idle)
		c.idle, c.target = nil, t.WithTeam("").WithGateway("")
	}
	return &c
}
