// Package allotter is the connection pool of a VM for the database instances. It
// leases connections (carrier.Conn) to requests in the order of their priority.
//
// All VMs together share the connections that an instance accepts, so each VM opens
// at most its share. An instance that refuses a connection lowers the share of the VM for
// some time. A request does not wait for a dial of its own but takes the first connection
// that becomes free. A request that is not expected to get a connection before its deadline
// is rejected at once. So is a request to an instance that has been unreachable for
// some time; the instance is then still dialed, but no request waits for the dial.
//
// The name in an instance's START belongs to one team for the lifetime of the connection, so
// a connection serves the statements of this team only. The limits of a pool hold for all teams
// together; decide (decision.go) chooses which team gets a connection next, and which idle
// connection is closed for another team.
package allotter

import (
	"context"
	"slices"
	"sync"
	"time"

	"parsleyscale/internal/backend/pacer"
	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/session/tokenizer"
	"parsleyscale/internal/statement/carrier"
)

// Defaults of the durations in Config.
const (
	DefaultDialTimeout       = 400 * time.Millisecond
	DefaultIdleTimeout       = 20 * time.Second
	DefaultLimitGrowInterval = 400 * time.Millisecond
	DefaultCheckAfter        = time.Second
	DefaultExtraIdleTimeout  = 400 * time.Millisecond
)

// Bounds of the back-off between dials after the instance refused a connection, before jitter.
const (
	minDialBackoff = 60 * time.Millisecond
	maxDialBackoff = 300 * time.Millisecond
)

// Config holds the settings of an Allotter and the functions that it calls.
type Config struct {
	Dialer carrier.Dialer
	// Limits returns how many connections to an instance this VM may have.
	Limits func(t carrier.Target) Limits
	// Observe is called after each dial, until Close, with the log position of the
	// instance, the duration and the error of the dial.
	Observe func(t carrier.Target, p tokenizer.Position, took time.Duration, err error)
	// Route returns the target with the gateway through which its requests pass at present, if any; nil: t itself.
	// It is called for waiting requests, too, so that they do not wait for a gateway that has failed. load is the
	// mean number of connections that the team recently had in use at the instance.
	Route func(t carrier.Target, load float64) carrier.Target
	// PeekRoute is Route without any effect, for Forecast; nil: t itself. It must not block.
	PeekRoute func(t carrier.Target, load float64) carrier.Target
	// PeekLimits is Limits without any effect, for Forecast; nil: Limits.
	PeekLimits func(t carrier.Target) Limits
	// ObserveWait is called when a request of a team has waited for at least LongTeamWait; may be nil. It must not block.
	ObserveWait func(t carrier.Target, waited time.Duration)
	// ObserveRamp is called when the limit of an instance has been lowered because it started or recovered; may be nil. It must
	// not block, and must not call the allotter.
	ObserveRamp func(t carrier.Target, reason pacer.Reason)

	DialTimeout       time.Duration
	IdleTimeout       time.Duration // a connection that is idle for longer is closed
	ExtraIdleTimeout  time.Duration // idle timeout that applies while the instance has more than one open connection
	CheckAfter        time.Duration // a connection that was idle for this long is checked by a round trip before use
	LimitGrowInterval time.Duration // interval at which a reduced limit of open connections grows by one
}

// Limits holds the limits of this VM's connections to an instance.
type Limits struct {
	Open    int // open connections
	InUse   int // connections in use, without those idle in a transaction; 0: Open
	Dialing int // maximum concurrent dials; 0: only the built-in limit (the number of established connections, at least 1)

	Instance pacer.Instance // for the pace at which an instance that has started gets load; zero: no pace
}

// usual returns how many connections statements may have in use at once when maxOpen may be open, unless the instance is paced.
func (l Limits) usual(maxOpen int) int {
	if l.InUse > 0 {
		return min(maxOpen, l.InUse)
	}
	return maxOpen
}

// Allotter is the pool of a VM's connections to all instances.
type Allotter struct {
	cfg Config

	mu     sync.Mutex
	pools  map[string]*instancePool // by instance name
	closed bool

	ctx    context.Context // ends with Close
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// New returns an allotter and starts a goroutine that closes idle connections. Close stops it.
func New(cfg Config) *Allotter {
	cfg.DialTimeout = orDefault(cfg.DialTimeout, DefaultDialTimeout)
	cfg.IdleTimeout = orDefault(cfg.IdleTimeout, DefaultIdleTimeout)
	cfg.ExtraIdleTimeout = orDefault(cfg.ExtraIdleTimeout, DefaultExtraIdleTimeout)
	cfg.CheckAfter = orDefault(cfg.CheckAfter, DefaultCheckAfter)
	cfg.LimitGrowInterval = orDefault(cfg.LimitGrowInterval, DefaultLimitGrowInterval)
	a := &Allotter{cfg: cfg, pools: map[string]*instancePool{}}
	a.ctx, a.cancel = context.WithCancel(context.Background())
	a.wg.Go(a.closeIdleLoop)
	return a
}

func orDefault(d, def time.Duration) time.Duration {
	if d > 0 {
		return d
	}
	return def
}

// Load describes this VM's use of an instance.
type Load struct {
	InUse    int // connections in use, without those idle in a transaction
	Waiting  int // requests in the queue for a connection
	Idle     int // idle connections
	Open     int // connections in use, idle, idle in a transaction or being dialed
	MaxInUse int // connections that may be in use at once

	InDialBackoff        bool // no connection is open, and dials are suspended because the instance refused one
	HasSustainedOverload bool // the instance has been overloaded for some time

	Ramp    pacer.Reason  // why MaxInUse is lowered after a start or a recovery; empty: it is not
	Silence time.Duration // for which no connection in use has been answered; 0: none is in use, or they lead to a gateway

	MeanHoldTime time.Duration // mean time for which a request keeps a connection
}

// IsFree reports whether a request would get a connection without waiting behind others.
func (l Load) IsFree() bool { return l.Waiting == 0 && l.InUse < l.MaxInUse }

// Load returns this VM's use of an instance.
func (a *Allotter) Load(t carrier.Target) Load {
	a.mu.Lock()
	defer a.mu.Unlock()
	p := a.poolOf(t)
	return p.load(a.maxInUse(p))
}

// Loads returns this VM's use of all instances, by instance name.
func (a *Allotter) Loads() map[string]Load {
	a.mu.Lock()
	defer a.mu.Unlock()
	m := make(map[string]Load, len(a.pools))
	for id, p := range a.pools {
		m[id] = p.load(a.maxInUse(p))
	}
	return m
}

// load returns the load of the pool, of whose connections maxInUse may be in use.
func (p *instancePool) load(maxInUse int) Load {
	return Load{Ramp: p.pace.Ramp(), Silence: p.silence(time.Now()), MeanHoldTime: p.meanHoldTime, InUse: p.inUse(), Waiting: len(p.waiters), Idle: len(p.idle), Open: p.open, MaxInUse: maxInUse, InDialBackoff: p.open == 0 && p.inDialBackoff(), HasSustainedOverload: p.hasSustainedOverload(time.Now())}
}

// Acquire leases a connection to an instance; no transaction is open on it. It belongs to
// the team of t, unless t.AnyTeam is set. Requests with a lower priority number are
// served first. Acquire fails with
//   - kind overloaded when ctx ends, or at once when the estimated wait exceeds its deadline;
//   - kind noInstance, at once, when all dials have failed for some time;
//   - kind tooManyConnections, at once, when no connection of the team is open and the instance recently refused one;
//   - kind shuttingDown after Close;
//   - the error of a failed dial when no connection of the team is open or being dialed.
func (a *Allotter) Acquire(ctx context.Context, t carrier.Target, priority int) (*Lease, error) {
	return a.AcquireUrgent(ctx, t, carrier.Urgency{Priority: priority})
}

// AcquireUrgent is Acquire for a request that another VM has passed on. The request is ordered as if it had waited here since
// it arrived there.
func (a *Allotter) AcquireUrgent(ctx context.Context, t carrier.Target, u carrier.Urgency) (*Lease, error) {
	for {
		l, err := a.lease(ctx, t, u)
		if err != nil {
			return nil, err
		}
		if l.isUsable(ctx, a.cfg.CheckAfter) {
			l.holdStart = time.Now()
			return l, nil
		}
		l.discardWithIdle()
	}
}

// lease returns a connection that may have broken while it was idle.
func (a *Allotter) lease(ctx context.Context, t carrier.Target, u carrier.Urgency) (*Lease, error) {
	a.mu.Lock()
	if a.closed {
		a.mu.Unlock()
		return nil, classifier.New(classifier.ShuttingDown, "connection pool is closed")
	}
	p := a.poolOf(t)
	limits := a.cfg.Limits(p.target)
	a.updatePace(p, limits)
	maxInUse := p.maxInUse(limits, a.cfg.LimitGrowInterval)
	r := newRequest(scopeOf(a.route(p, t)), t, u)
	answer := p.answer(r, maxInUse, p.maxOpen(limits, a.cfg.LimitGrowInterval), timeLeft(ctx))
	if answer.idle >= 0 {
		l := p.takeIdle(answer.idle, r)
		a.mu.Unlock()
		return l, nil
	}
	if answer.err != nil {
		a.recordRejection(p, t, answer.err)
		a.mu.Unlock()
		return nil, answer.err
	}
	w := p.enqueue(t, r)
	a.serveWaiters(p)
	a.mu.Unlock()
	return a.awaitGrant(ctx, p, w)
}

// recordRejection records that a request has been rejected at once with err. The caller holds a.mu.
func (a *Allotter) recordRejection(p *instancePool, t carrier.Target, err error) {
	now := time.Now()
	switch {
	case IsUnreachable(err):
		if p.dialing == 0 && now.Sub(p.lastDialFailedAt) >= unreachableRedialInterval {
			a.startDial(p, a.route(p, t))
		}
	case IsRejected(err):
		p.recordOverload(now)
	}
}

// newRequest returns the description of a request that arrives now and needs a connection of scope s.
func newRequest(s scope, t carrier.Target, u carrier.Urgency) request {
	return request{team: t.Team, scope: s, anyTeam: t.AnyTeam, isControl: u.Priority == ControlPriority, priority: u.Priority, effectiveArrival: effectiveArrival(u)}
}

// route returns the target with the gateway through which its requests pass at present.
func (a *Allotter) route(p *instancePool, t carrier.Target) carrier.Target {
	if a.cfg.Route == nil {
		return t
	}
	return a.cfg.Route(t, p.loadOf(t.Team))
}

// awaitGrant waits until the queued request gets its grant or ctx ends.
func (a *Allotter) awaitGrant(ctx context.Context, p *instancePool, w *waiter) (*Lease, error) {
	select {
	case g := <-w.ready:
		return g.lease, g.err
	case <-ctx.Done():
	}
	a.mu.Lock()
	wasQueued := p.dequeue(w)
	p.recordOverload(time.Now())
	wait, isConnected := p.estimateWait(len(p.waiters)+1, a.maxInUse(p)), p.open > p.dialing
	if wasQueued {
		a.observeWait(w)
	}
	a.mu.Unlock()
	if !wasQueued {
		if g := <-w.ready; g.lease != nil {
			g.lease.holdStart = time.Now()
			g.lease.Release()
		}
	}
	err := classifier.Wrap(classifier.Overloaded, ctx.Err(), "no connection to %s became free in time", p.target.Instance)
	if isConnected {
		err = withRetryAfter(wait, err)
	}
	return nil, err
}

// serveWaiters gives idle connections to requests in the queue and starts dials for others, as
// decide says. The caller holds a.mu.
func (a *Allotter) serveWaiters(p *instancePool) {
	if len(p.waiters) == 0 {
		return
	}
	a.routeWaiters(p)
	limits := a.cfg.Limits(p.target)
	a.updatePace(p, limits)
	for len(p.waiters) > 0 {
		switch d := decide(p.snapshot(limits, a.cfg.LimitGrowInterval, !a.closed)); d.kind {
		case giveIdle:
			w := p.waiters[d.waiter]
			a.observeWait(w)
			p.grantWaiter(d.waiter, grant{lease: p.takeIdle(d.idle, w.request)})
		case closeIdle:
			l := p.idle[d.idle]
			p.idle = slices.Delete(p.idle, d.idle, d.idle+1)
			p.close(l)
			p.stats.ClosedForOthers++
		case dial:
			a.startDial(p, a.route(p, p.waiters[d.waiter].target))
		default:
			return
		}
	}
}

// routeWaiters updates which connections the requests in the queue can use. The caller holds a.mu.
func (a *Allotter) routeWaiters(p *instancePool) {
	if a.cfg.Route == nil {
		return
	}
	scopes := map[string]scope{}
	for _, w := range p.waiters {
		s, ok := scopes[w.team]
		if !ok {
			s = scopeOf(a.route(p, w.target))
			scopes[w.team] = s
		}
		w.scope = s
	}
}

// LongTeamWait is the wait for a connection from which Config.ObserveWait is called. It is half of the
// shortest latency objective of routes with teams.
const LongTeamWait = 200 * time.Millisecond

// observeWait reports the wait of a request of a team if it is long. The caller holds a.mu.
func (a *Allotter) observeWait(w *waiter) {
	if waited := time.Since(w.enqueuedAt); w.team != "" && waited >= LongTeamWait && a.cfg.ObserveWait != nil {
		a.cfg.ObserveWait(w.target, waited)
	}
}

// startDial dials an instance in the background. The caller holds a.mu.
func (a *Allotter) startDial(p *instancePool, t carrier.Target) {
	t.Address, t.AnyTeam = p.target.Address, false // the address may have changed since the request
	p.open++
	p.dialing++
	u := p.scopeUse(scopeOf(t))
	u.open++
	u.dialing++
	a.wg.Go(func() { a.dial(p, t) })
}

// dial opens a connection, reports the outcome to Config.Observe and adds the connection to the pool.
func (a *Allotter) dial(p *instancePool, t carrier.Target) {
	ctx, cancel := context.WithTimeout(a.ctx, a.cfg.DialTimeout)
	defer cancel()
	start := time.Now()
	conn, pos, err := a.cfg.Dialer.Dial(ctx, t)
	if a.ctx.Err() == nil {
		a.cfg.Observe(t, pos, time.Since(start), err)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	p.dialing--
	u := p.scopeUse(scopeOf(t))
	u.dialing--
	if err != nil {
		p.open--
		u.open--
		a.handleDialError(p, scopeOf(t), err)
		return
	}
	p.stats.Opened++
	if !p.dialsFailingSince.IsZero() {
		a.startRamp(p, pacer.Recovered)
	}
	p.pace = p.pace.WithConnection(p.usual)
	p.dialBackoff, p.dialsFailingSince = 0, time.Time{}
	// After an accepted connection, the instance may have room for another one.
	p.reducedLimit = max(p.reducedLimit, p.open+1)
	l := &Lease{allotter: a, pool: p, target: t, scope: scopeOf(t), conn: conn, sessionValues: map[string]string{}, prepared: map[string]bool{}, lastUsedAt: time.Now(), openedRamp: p.rampNumber}
	a.putLocked(l)
}

// handleDialError lowers the limit of open connections and suspends dials when the
// instance refused the connection. It records other failures if no connection is established.
// If none is being dialed either, all requests in the queue fail with err, and if none of scope s
// is, those that need one. The caller holds a.mu.
func (a *Allotter) handleDialError(p *instancePool, s scope, err error) {
	if classifier.Is(err, classifier.TooManyConnections) {
		p.reducedLimit = max(1, p.open)
		p.refusedAt, p.dialsFailingSince = time.Now(), time.Time{}
		p.backOffDials()
		p.stats.Refused++
	} else if p.open == p.dialing {
		p.recordDialFailure(time.Now())
	}
	a.routeWaiters(p)
	switch {
	case s.gateway != "" && !classifier.Is(err, classifier.TooManyConnections) && !p.isAwaited(s):
		a.serveWaiters(p) // the requests now pass through another gateway
	case p.open == 0:
		p.failWaiters(err)
	case p.scopeUse(s).open == 0:
		p.failWaitersOf(s, err)
		a.serveWaiters(p) // others may have waited for the dial to end
	case slices.ContainsFunc(p.waiters, func(w *waiter) bool { return w.scope != s }):
		p.scopeUse(s).noDialUntil = time.Now().Add(minDialBackoff)
		a.serveWaiters(p)
	}
}

// putLocked adds a connection to the idle ones and serves the queue. It closes the connection
// instead if the allotter is closed, the address of the instance has changed or too many
// connections are open. The caller holds a.mu.
func (a *Allotter) putLocked(l *Lease) {
	p := l.pool
	if a.closed || p.target.Address != l.target.Address || p.open > a.maxOpen(p) {
		p.close(l)
	} else {
		p.idle = append(p.idle, l)
	}
	a.serveWaiters(p)
}

// maxInUse returns how many connections may be in use at once under the current limits. The caller holds a.mu.
func (a *Allotter) maxInUse(p *instancePool) int {
	return p.maxInUse(a.cfg.Limits(p.target), a.cfg.LimitGrowInterval)
}

// RecordOverload records that an instance rejected a statement because of overload, and
// lowers the limit of the connections in use at the instance.
func (a *Allotter) RecordOverload(t carrier.Target) {
	a.mu.Lock()
	defer a.mu.Unlock()
	p := a.poolOf(t)
	p.recordOverload(time.Now())
	p.pace = p.pace.WithRefusal(time.Now(), a.maxOpen(p))
}

// startRamp begins the ramp of an instance that has failed, if this VM connects to the instance itself. The caller holds a.mu.
func (a *Allotter) startRamp(p *instancePool, reason pacer.Reason) {
	if p.startRamp(time.Now(), reason) {
		a.observeRamp(p)
	}
}

// observeRamp reports that a ramp has begun. The caller holds a.mu.
func (a *Allotter) observeRamp(p *instancePool) {
	if r := p.pace.Ramp(); r != "" && a.cfg.ObserveRamp != nil {
		a.cfg.ObserveRamp(p.target, r)
	}
}

// updatePace applies the latest description of the instance. The caller holds a.mu.
func (a *Allotter) updatePace(p *instancePool, l Limits) {
	if p.updatePace(time.Now(), l, a.cfg.LimitGrowInterval) {
		a.observeRamp(p)
	}
}

// maxOpen returns how many connections may be open under the current limits. The caller holds a.mu.
func (a *Allotter) maxOpen(p *instancePool) int {
	return p.maxOpen(a.cfg.Limits(p.target), a.cfg.LimitGrowInterval)
}

// Forget closes the idle connections to an instance that no longer exists.
func (a *Allotter) Forget(instance string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if p, ok := a.pools[instance]; ok {
		p.closeAllIdle()
		if p.open == 0 && len(p.waiters) == 0 {
			delete(a.pools, instance)
		}
	}
}

// Stats counts the connections to one instance since the start of the allotter.
type Stats struct {
	Opened          uint64
	Refused         uint64 // by the instance, because it had too many
	ClosedForOthers uint64 // idle ones that were closed to open one for another team
}

// Stats returns the counts of all instances, by instance name.
func (a *Allotter) Stats() map[string]Stats {
	a.mu.Lock()
	defer a.mu.Unlock()
	m := make(map[string]Stats, len(a.pools))
	for name, p := range a.pools {
		m[name] = p.stats
	}
	return m
}

// closeIdleLoop closes connections at the end of their idle timeout, until Close. It also ends ramps, and begins those of stalled
// instances, without a request that arrives, and serves the queues: a request may wait for the end of a pause between dials while
// all connections are idle in transactions, so that none is released.
func (a *Allotter) closeIdleLoop() {
	t := time.NewTicker(a.cfg.ExtraIdleTimeout / 2)
	defer t.Stop()
	for {
		select {
		case <-a.ctx.Done():
			return
		case <-t.C:
		}
		a.mu.Lock()
		for _, p := range a.pools {
			p.closeIdleBefore(time.Now().Add(-a.cfg.IdleTimeout))
			p.closeExtraIdle(time.Now().Add(-a.cfg.ExtraIdleTimeout))
			p.dropUnused(time.Now())
			if p.pace.Ramp() != "" || p.pace.IsStalled(time.Now(), p.silence(time.Now())) {
				a.updatePace(p, a.cfg.Limits(p.target))
			}
			a.serveWaiters(p)
		}
		a.mu.Unlock()
	}
}

// Close closes the idle connections, fails the requests in the queue, cancels the dials and
// waits for them. Connections in use are closed when they are released.
func (a *Allotter) Close() {
	a.mu.Lock()
	a.closed = true
	for _, p := range a.pools {
		p.closeAllIdle()
		p.failWaiters(classifier.New(classifier.ShuttingDown, "connection pool is closed"))
	}
	a.mu.Unlock()
	a.cancel()
	a.wg.Wait()
}
