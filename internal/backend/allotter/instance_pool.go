package allotter

import (
	"context"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"parsleyscale/internal/backend/pacer"
	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/statement/carrier"
)

// initialHoldTime is the initial value of the moving average of hold times.
const initialHoldTime = 10 * time.Millisecond

// holdTimeWeight is the weight of the latest hold time in the exponentially weighted moving average.
const holdTimeWeight = 0.1

// instancePool holds the connections to one instance and the queue of requests that
// wait for one. Allotter.mu guards it.
type instancePool struct {
	target            carrier.Target
	idle              []*Lease // the most recently used one is last
	scopes            map[scope]*scopeUse
	teams             map[string]*teamUse // teams that used the instance recently, by name
	open              int                 // in use, idle or being dialed
	dialing           int
	idleInTx          int           // leased and idle in a transaction
	waiters           []*waiter     // ordered by effectiveArrival
	meanHoldTime      time.Duration // moving average of the time for which a request keeps a connection
	pace              pacer.Pace    // limits the connections in use after a start, a recovery or an overload reply
	rampNumber        int           // number of ramps so far
	staleInUse        int           // connections in use since before the latest ramp
	usual             int           // limit of the connections in use without the pace, when it was last computed
	answeredAt        time.Time     // when the instance last answered a request
	busySince         time.Time     // when a connection was last taken while none was in use
	noDialUntil       time.Time     // end of the back-off after a refused connection
	dialBackoff       time.Duration // back-off after the latest refusal; zero after a successful dial
	reducedLimit      int           // limit that the latest refusal set, raised by connections accepted since
	overloadSince     time.Time     // first of a series of overload signs at most maxOverloadGap apart
	lastOverloadAt    time.Time
	refusedAt         time.Time // latest refusal of a connection; zero when the limit is back at the VM's share
	dialsFailingSince time.Time // first of the current series of failed dials; zero: none
	lastDialFailedAt  time.Time
	stats             Stats

	// The slices of the latest snapshot, which the next one uses again.
	requests  []request
	idleConns []idleConn
}

// priorityStep is the waiting time that makes up for one step of priority. A request
// is ordered as if it had arrived by this much later for each step, so that requests of
// low priority are not starved.
const priorityStep = 300 * time.Millisecond

// ControlPriority is the priority of control commands (status, hold and demote). They
// precede all statements that have waited for less than 30 s.
const ControlPriority = -100

// waiter is a request in the queue for a connection.
type waiter struct {
	request
	target     carrier.Target // as requested, before Config.Route
	enqueuedAt time.Time
	ready      chan grant
}

// effectiveArrival returns the sort key of the queue for a request: the time of its arrival, shifted by its priority.
func effectiveArrival(u carrier.Urgency) time.Time {
	return time.Now().Add(time.Duration(u.Priority)*priorityStep - u.Age)
}

// grant is the result of a wait in the queue: a connection or an error.
type grant struct {
	lease *Lease
	err   error
}

// poolOf returns the pool of an instance and creates it if there is none. When the
// address of the instance has changed, it closes the idle connections to the former one.
// The caller holds a.mu.
func (a *Allotter) poolOf(t carrier.Target) *instancePool {
	p, ok := a.pools[t.Instance]
	if !ok {
		p = newInstancePool(t)
		a.pools[t.Instance] = p
	}
	if p.target.Address != t.Address {
		p.closeAllIdle()
		p.target = t.WithTeam("").WithGateway("")
	}
	return p
}

// newInstancePool returns a pool without connections.
func newInstancePool(t carrier.Target) *instancePool {
	return &instancePool{target: t.WithTeam("").WithGateway(""), scopes: map[scope]*scopeUse{}, teams: map[string]*teamUse{}, meanHoldTime: initialHoldTime}
}

// inUse returns the number of leased connections that are not idle in a transaction.
func (p *instancePool) inUse() int { return p.open - p.dialing - len(p.idle) - p.idleInTx }

// endIdleInTx ends the idle-in-transaction state of a lease. It returns false if the lease is not in it.
func (p *instancePool) endIdleInTx(l *Lease) bool {
	if !l.isIdleInTx {
		return false
	}
	l.isIdleInTx = false
	p.idleInTx--
	return true
}

// takeIdle takes idle connection k out of the pool for a request.
func (p *instancePool) takeIdle(k int, r request) *Lease {
	l := p.idle[k]
	p.recordUse(time.Now())
	p.idle = slices.Delete(p.idle, k, k+1)
	l.team, l.teamConn, l.holdStart, l.rampNumber = r.team, teamConn{l.conn, r.team}, time.Now(), p.rampNumber
	p.scopeUse(l.scope).recordReturn(l.holdStart)
	_, isKnown := p.teams[r.team]
	u := p.teamUse(r.team)
	u.isOwn = r.anyTeam && (u.isOwn || !isKnown)
	u.inUse++
	u.leased++
	return l
}

// findIdle returns the index of the most recently used idle connection that can serve r, or -1 if there is none.
func (p *instancePool) findIdle(r request) int {
	for k := len(p.idle) - 1; k >= 0; k-- {
		if r.canUse(p.idle[k].scope) {
			return k
		}
	}
	return -1
}

// openFor returns the number of connections, including those being dialed, that can serve r.
func (p *instancePool) openFor(r request) int {
	if r.anyTeam {
		return p.open
	}
	if u := p.scopes[r.scope]; u != nil {
		return u.open
	}
	return 0
}

// isAwaited reports whether a request in the queue needs a connection of scope s.
func (p *instancePool) isAwaited(s scope) bool {
	return slices.ContainsFunc(p.waiters, func(w *waiter) bool { return w.scope == s })
}

// endUse records that a connection is no longer in use for its team.
func (p *instancePool) endUse(l *Lease) {
	if l.rampNumber != p.rampNumber && p.staleInUse > 0 {
		p.staleInUse--
	}
	u := p.teamUse(l.team)
	u.inUse--
	u.recordHold(time.Now(), time.Since(l.holdStart))
}

// scopeUse returns the use of a scope and creates it if there is none.
func (p *instancePool) scopeUse(s scope) *scopeUse {
	u, ok := p.scopes[s]
	if !ok {
		u = &scopeUse{}
		p.scopes[s] = u
	}
	return u
}

// teamUse returns the use of a team and creates it if there is none.
func (p *instancePool) teamUse(team string) *teamUse {
	u, ok := p.teams[team]
	if !ok {
		u = &teamUse{}
		p.teams[team] = u
	}
	return u
}

// dropUnused removes the records of scopes and teams that have not used the instance for a while.
func (p *instancePool) dropUnused(now time.Time) {
	maps.DeleteFunc(p.scopes, func(_ scope, u *scopeUse) bool { return u.open == 0 && u.returnsPerSecond(now) < minReturnsPerSecond })
	maps.DeleteFunc(p.teams, func(_ string, u *teamUse) bool {
		return u.leased == 0 && u.meanInUse(now)*loadDecay.Seconds() < minHeld
	})
}

// close closes connection l, which is not in p.idle any more.
func (p *instancePool) close(l *Lease) {
	l.conn.Close()
	p.open--
	p.scopeUse(l.scope).open--
}

// snapshot returns the state of the pool on which a decision is based.
func (p *instancePool) snapshot(l Limits, growInterval time.Duration, mayDial bool) snapshot {
	now := time.Now()
	s := snapshot{
		scopes: p.scopes, teams: p.teams, now: now, meanHoldTime: p.meanHoldTime, mayDial: mayDial && !p.inDialBackoff(),
		inUse: p.inUse(), dialing: p.dialing, open: p.open, maxOpen: p.maxOpen(l, growInterval), maxInUse: p.maxInUseByStatements(l, growInterval),
	}
	// A handshake occupies a slot of the instance that a statement could use. The number of
	// connections therefore at most doubles in the time of one dial.
	s.maxDialing = max(1, p.open-p.dialing)
	if l.Dialing > 0 {
		s.maxDialing = min(s.maxDialing, l.Dialing)
	}
	p.requests = p.requests[:0]
	for _, w := range p.waiters {
		p.requests = append(p.requests, w.request)
	}
	p.idleConns = p.idleConns[:0]
	for _, l := range p.idle {
		p.idleConns = append(p.idleConns, idleConn{scope: l.scope, lastUsedAt: l.lastUsedAt})
	}
	s.waiters, s.idle = p.requests, p.idleConns
	return s
}

// answer is what a request for a connection gets at once.
type answer struct {
	idle  int           // index of the idle connection that it gets; -1: none
	err   error         // with which it is rejected; nil if it gets a connection or may wait
	ahead int           // waiting requests that would be served before it
	wait  time.Duration // expected
}

// answer decides about a request that arrives now and can wait for left at most. It does not change the pool. maxInUse and maxOpen are the numbers of connections that may be in use and open.
func (p *instancePool) answer(r request, maxInUse, maxOpen int, left time.Duration) answer {
	if p.inUse() < maxInUse && len(p.waiters) == 0 && !hasMaxLeased(p.teams, r, maxOpen) {
		if k := p.findIdle(r); k >= 0 {
			return answer{idle: k}
		}
	}
	if p.isUnreachable(time.Now()) {
		return answer{idle: -1, err: withRetryAfter(unreachableRetryAfter, classifier.New(classifier.NoInstance, "%s is unreachable: all dials have failed for at least %s", p.target.Instance, unreachableAfter))}
	}
	if p.pace.Ramp() != "" {
		maxInUse = max(maxInUse, p.pace.ExpectedLimit(p.usual))
	}
	n := answer{idle: -1, ahead: p.requestsAhead(r)}
	n.wait = p.estimateWait(n.ahead, maxInUse)
	switch {
	case n.wait > left:
		n.err = withRetryAfter(n.wait, classifier.New(classifier.Overloaded, "%s is overloaded: %d requests are ahead in the queue for %d usable connections", p.target.Instance, n.ahead, maxInUse))
	case p.openFor(r) == 0 && p.inDialBackoff():
		n.err = classifier.New(classifier.TooManyConnections, "no open connection to %s, which recently refused one", p.target.Instance)
	}
	return n
}

// timeLeft returns the time until the deadline of ctx, which is negative after it.
func timeLeft(ctx context.Context) time.Duration {
	d, ok := ctx.Deadline()
	if !ok {
		return math.MaxInt64
	}
	return time.Until(d)
}

// loadOf returns how many connections a team recently had in use on average.
func (p *instancePool) loadOf(team string) float64 {
	if u := p.teams[team]; u != nil {
		return u.meanInUse(time.Now())
	}
	return 0
}

// requestsAhead returns how many waiting requests would be served before a new one.
func (p *instancePool) requestsAhead(r request) int {
	k := p.placeOf(r.effectiveArrival)
	if k == 0 {
		return 0
	}
	p.requests = p.requests[:0]
	for _, w := range p.waiters {
		p.requests = append(p.requests, w.request)
	}
	p.requests = slices.Insert(p.requests, k, r)
	return slices.Index(fairOrder(snapshot{teams: p.teams, now: time.Now(), meanHoldTime: p.meanHoldTime, waiters: p.requests}), k)
}

const (
	// unreachableAfter is the time for which dials must have failed before requests are
	// rejected at once instead of waiting. It is longer than a failover usually takes.
	unreachableAfter = 2 * time.Second
	// unreachableRedialInterval is the minimum time between dials of an unreachable instance.
	unreachableRedialInterval = 200 * time.Millisecond
	// unreachableRetryAfter is the time after which clients are told to repeat a
	// request to an unreachable instance.
	unreachableRetryAfter = 500 * time.Millisecond
)

// recordDialFailure records a failed dial of an instance to which no connection is established.
func (p *instancePool) recordDialFailure(now time.Time) {
	if p.dialsFailingSince.IsZero() || now.Sub(p.lastDialFailedAt) > unreachableAfter {
		p.dialsFailingSince = now
	}
	p.lastDialFailedAt = now
}

// isUnreachable reports whether no connection is established and all dials have failed for
// at least unreachableAfter, the last one less than unreachableAfter ago.
func (p *instancePool) isUnreachable(now time.Time) bool {
	return p.open == p.dialing && !p.dialsFailingSince.IsZero() && p.lastDialFailedAt.Sub(p.dialsFailingSince) >= unreachableAfter && now.Sub(p.lastDialFailedAt) < unreachableAfter
}

// maxOpen returns how many connections may be open: the VM's share, or fewer for
// some time after the instance refused one. The reduced limit grows by one
// connection per growInterval.
func (p *instancePool) maxOpen(l Limits, growInterval time.Duration) int {
	n := max(1, l.Open)
	if p.refusedAt.IsZero() {
		return n
	}
	grown := p.reducedLimit + int(time.Since(p.refusedAt)/growInterval)
	if grown >= n {
		p.refusedAt = time.Time{}
	}
	return min(n, grown)
}

// maxInUse returns how many connections may be in use at once. While a control
// command is first in the queue, all open connections may be used, because the
// other requests may be waiting for its effect.
func (p *instancePool) maxInUse(l Limits, growInterval time.Duration) int {
	if p.isControlFirst() {
		return p.maxOpen(l, growInterval)
	}
	return p.maxInUseByStatements(l, growInterval)
}

// maxInUseByStatements returns how many connections statements may use at once. This is
// less than maxOpen after the instance rejected statements for overload, started or recovered, or
// when Limits.InUse is lower, as further statements would only queue at the instance.
func (p *instancePool) maxInUseByStatements(l Limits, growInterval time.Duration) int {
	maxOpen := p.maxOpen(l, growInterval)
	// Connections in use since before the ramp may get no answer any more, and must not keep others from being opened.
	return min(maxOpen, p.pace.Limit(l.usual(maxOpen))+p.staleInUse)
}

// withRetryAfter adds to err the time after which to repeat the request. IsRejected and IsUnreachable
// recognize errors of the pool by this hint, so it is never zero.
func withRetryAfter(wait time.Duration, err error) error {
	return classifier.WithRetryAfter(err, max(wait, time.Millisecond))
}

// IsRejected reports whether Acquire failed because the request could not get a connection
// in time, and not because a single dial failed. An immediate retry would fail, too.
func IsRejected(err error) bool {
	return IsUnreachable(err) || classifier.Is(err, classifier.Overloaded) && classifier.RetryAfter(err) > 0
}

// IsUnreachable reports whether Acquire failed because all dials of the instance have failed for some time.
func IsUnreachable(err error) bool {
	return classifier.Is(err, classifier.NoInstance) && classifier.RetryAfter(err) > 0
}

// isControlFirst reports whether the first request in the queue is a control command.
func (p *instancePool) isControlFirst() bool { return len(p.waiters) > 0 && p.waiters[0].isControl }

// estimateWait returns how long a request is expected to wait for a connection behind
// n others when maxInUse connections serve them.
func (p *instancePool) estimateWait(n, maxInUse int) time.Duration {
	return p.meanHoldTime * time.Duration(n) / time.Duration(maxInUse)
}

// enqueue adds a request to the queue, behind those with the same or an earlier effective arrival.
func (p *instancePool) enqueue(t carrier.Target, r request) *waiter {
	w := &waiter{request: r, target: t, enqueuedAt: time.Now(), ready: make(chan grant, 1)}
	p.waiters = slices.Insert(p.waiters, p.placeOf(r.effectiveArrival), w)
	return w
}

// placeOf returns the index in the queue at which a request with the given effective arrival is inserted.
func (p *instancePool) placeOf(effectiveArrival time.Time) int {
	k := len(p.waiters)
	for k > 0 && p.waiters[k-1].effectiveArrival.After(effectiveArrival) {
		k--
	}
	return k
}

// dequeue removes a request from the queue. It returns false when the request already has its grant.
func (p *instancePool) dequeue(w *waiter) bool {
	k := slices.Index(p.waiters, w)
	if k < 0 {
		return false
	}
	p.waiters = slices.Delete(p.waiters, k, k+1)
	return true
}

// grantWaiter removes request k from the queue and gives it g.
func (p *instancePool) grantWaiter(k int, g grant) {
	w := p.waiters[k]
	p.waiters = slices.Delete(p.waiters, k, k+1)
	if now := time.Now(); now.Sub(w.enqueuedAt) > overloadWait {
		p.recordOverload(now)
	}
	w.ready <- g
}

const (
	// overloadWait is the wait for a connection above which a grant counts as a sign of overload.
	overloadWait = 80 * time.Millisecond
	// maxOverloadGap is the maximum time between two signs of the same overload.
	maxOverloadGap = 300 * time.Millisecond
	// sustainedOverloadAfter is the time after which an overload counts as sustained.
	sustainedOverloadAfter = 300 * time.Millisecond
)

// recordOverload records a sign of overload at now. After a gap longer than maxOverloadGap, the
// sign starts a new period of overload.
func (p *instancePool) recordOverload(now time.Time) {
	if now.Sub(p.lastOverloadAt) > maxOverloadGap {
		p.overloadSince = now
	}
	p.lastOverloadAt = now
}

// hasSustainedOverload reports whether the instance has been overloaded for at least
// sustainedOverloadAfter. Longer waits in the queue would then only delay all requests.
func (p *instancePool) hasSustainedOverload(now time.Time) bool {
	return now.Sub(p.lastOverloadAt) < maxOverloadGap && now.Sub(p.overloadSince) >= sustainedOverloadAfter
}

// failWaiters answers all requests in the queue with err.
func (p *instancePool) failWaiters(err error) {
	for len(p.waiters) > 0 {
		p.grantWaiter(0, grant{err: err})
	}
}

// failWaitersOf answers the requests in the queue that only a connection of scope s can serve with err.
func (p *instancePool) failWaitersOf(s scope, err error) {
	for k := len(p.waiters) - 1; k >= 0; k-- {
		if w := p.waiters[k]; w.scope == s && !w.anyTeam {
			p.grantWaiter(k, grant{err: err})
		}
	}
}

// closeIdleBefore closes the idle connections that were last used before the given time.
func (p *instancePool) closeIdleBefore(before time.Time) {
	p.closeIdleIf(func(l *Lease) bool { return l.lastUsedAt.Before(before) })
}

// closeExtraIdle closes idle connections that were last used before the given time, but
// leaves one connection open for each scope. This makes room for VMs that restart: the
// instance still counts the connections of VMs that vanished without closing them.
func (p *instancePool) closeExtraIdle(before time.Time) {
	p.closeIdleIf(func(l *Lease) bool { return l.lastUsedAt.Before(before) && p.scopeUse(l.scope).open > 1 })
}

// closeAllIdle closes all idle connections.
func (p *instancePool) closeAllIdle() { p.closeIdleIf(func(*Lease) bool { return true }) }

// closeIdleIf closes the idle connections for which f returns true.
func (p *instancePool) closeIdleIf(f func(*Lease) bool) {
	p.idle = slices.DeleteFunc(p.idle, func(l *Lease) bool {
		if !f(l) {
			return false
		}
		p.close(l)
		return true
	})
}

// inDialBackoff reports whether dials are suspended after a refused connection.
func (p *instancePool) inDialBackoff() bool { return time.Now().Before(p.noDialUntil) }

// backOffDials suspends dials for 50% to 150%, chosen at random, of a back-off that
// doubles with each successive refusal.
func (p *instancePool) backOffDials() {
	p.dialBackoff = min(max(2*p.dialBackoff, minDialBackoff), maxDialBackoff)
	p.noDialUntil = time.Now().Add(p.dialBackoff/2 + rand.N(p.dialBackoff))
}

// recordHoldTime records for how long a request kept a connection, which has been answered.
func (p *instancePool) recordHoldTime(d time.Duration) {
	p.meanHoldTime += time.Duration(holdTimeWeight * float64(d-p.meanHoldTime))
	p.answeredAt = time.Now()
	p.pace = p.pace.WithResponse(p.answeredAt, d, p.inUse(), p.usual)
}

// beginRamp applies the beginning of a ramp to the connections in use, and lowers the mean hold time. While statements queue at an
// instance, the hold time grows with the number of connections in use; the mean of the time before would make requests be refused
// that can be served.
func (p *instancePool) beginRamp() {
	p.rampNumber++
	p.staleInUse = p.inUse()
	scaled := p.meanHoldTime * time.Duration(p.pace.ExpectedLimit(p.usual)) / time.Duration(max(1, p.usual))
	p.meanHoldTime = max(min(p.meanHoldTime, initialHoldTime), scaled)
}

// startRamp begins the ramp of an instance that has failed. It returns false without effect if this VM does not connect to the
// instance itself.
func (p *instancePool) startRamp(now time.Time, reason pacer.Reason) bool {
	if !p.pace.IsDirect() {
		return false
	}
	p.pace = p.pace.WithRamp(now, reason, p.usual)
	p.beginRamp()
	return true
}

// updatePace applies the latest description of the instance, and reports whether a ramp has begun.
func (p *instancePool) updatePace(now time.Time, l Limits, growInterval time.Duration) bool {
	before := p.pace
	p.usual = l.usual(p.maxOpen(l, growInterval))
	p.pace = before.WithInstance(now, l.Instance, p.usual)
	switch {
	case p.pace.BeganRampSince(before):
		p.beginRamp()
		return true
	case p.pace.IsStalled(now, p.silence(now)):
		return p.startRamp(now, pacer.Stalled)
	}
	return false
}

// recordUse records that a connection is about to be in use.
func (p *instancePool) recordUse(now time.Time) {
	if p.inUse() == 0 {
		p.busySince = now
	}
}

// silence returns for how long no connection in use has been answered. It is 0 if none is in use, or if they lead to a gateway,
// where statements may wait for a connection.
func (p *instancePool) silence(now time.Time) time.Duration {
	if p.inUse() == 0 || !p.pace.IsDirect() {
		return 0
	}
	if p.busySince.After(p.answeredAt) {
		return now.Sub(p.busySince)
	}
	return now.Sub(p.answeredAt)
}
