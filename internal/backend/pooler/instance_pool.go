package pooler

import (
	"context"
	"slices"
	"time"

	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/sheet/parser"
)

// instancePool holds the connections to one instance and the queue of requests that
// wait for one. Pool.mu guards it.
type instancePool struct {
	instance     parser.Instance
	database     string
	idle         []*Conn // the most recently used one is last
	open         int     // in use, idle or being opened
	waiters      []*waiter
	reducedShare int       // share right after the latest refusal of a connection; it grows by one per ShareGrowInterval
	refusedAt    time.Time // latest refusal of a connection; zero when the full share is back
	draining     bool      // connections are closed on release, until the next request
	stats        Stats
}

// waiter is a request in the queue for a connection.
type waiter struct {
	ready chan grant
}

// grant is the result of a wait in the queue: a connection or an error. If both are nil,
// the request may open a connection, which is already counted as open.
type grant struct {
	conn *Conn
	err  error
}

// poolOf returns the pool of an instance and creates it if there is none. When the
// address of the instance has changed, it closes the idle connections to the former one.
// The caller holds p.mu.
func (p *Pool) poolOf(i parser.Instance) *instancePool {
	ipool, ok := p.pools[i.Name]
	if !ok {
		ipool = &instancePool{database: p.cfg.DatabaseOf(i.Name)}
		p.pools[i.Name] = ipool
	}
	if ipool.instance.Address != i.Address {
		ipool.trimIdle(0)
	}
	ipool.instance = i
	return ipool
}

// share returns how many connections this gateway may have to an instance: an equal
// part of those that the instance accepts, or fewer for some time after the instance
// refused one. The caller holds p.mu.
func (p *Pool) share(ipool *instancePool) int {
	n := max(1, ipool.instance.Connections/max(1, p.gatewayCounts[ipool.database]))
	if ipool.refusedAt.IsZero() {
		return n
	}
	grown := ipool.reducedShare + int(time.Since(ipool.refusedAt)/p.cfg.ShareGrowInterval)
	if grown >= n {
		ipool.refusedAt = time.Time{}
	}
	return min(n, grown)
}

// takeOrReserve returns an idle connection, or nil when the caller may open one, which is
// then already counted as open. If neither is possible at once, it waits in the queue.
func (p *Pool) takeOrReserve(ctx context.Context, i parser.Instance) (*Conn, error) {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return nil, newClosedError()
	}
	ipool := p.poolOf(i)
	ipool.draining = false
	if n := len(ipool.idle); n > 0 {
		c := ipool.idle[n-1]
		ipool.idle = ipool.idle[:n-1]
		p.mu.Unlock()
		return c, nil
	}
	if ipool.open < p.share(ipool) {
		ipool.open++
		p.mu.Unlock()
		return nil, nil
	}
	w := &waiter{ready: make(chan grant, 1)}
	ipool.waiters = append(ipool.waiters, w)
	p.mu.Unlock()
	return p.awaitGrant(ctx, ipool, w)
}

// awaitGrant waits until the queued request gets its grant or ctx ends.
func (p *Pool) awaitGrant(ctx context.Context, ipool *instancePool, w *waiter) (*Conn, error) {
	select {
	case g := <-w.ready:
		return g.conn, g.err
	case <-ctx.Done():
	}
	p.mu.Lock()
	k := slices.Index(ipool.waiters, w)
	if k >= 0 {
		ipool.waiters = slices.Delete(ipool.waiters, k, k+1)
	}
	p.mu.Unlock()
	if k < 0 {
		p.returnGrant(ipool, <-w.ready)
	}
	return nil, classifier.Wrap(classifier.Overloaded, ctx.Err(), "no connection to %s became free in time", ipool.instance.Name)
}

// returnGrant returns the grant of a request that no longer waits for it.
func (p *Pool) returnGrant(ipool *instancePool, g grant) {
	switch {
	case g.err != nil:
	case g.conn != nil:
		g.conn.Release()
	default:
		p.recordClosed(ipool)
	}
}

// recordClosed records that one connection fewer is open, and serves the queue.
func (p *Pool) recordClosed(ipool *instancePool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	ipool.open--
	p.grantDials(ipool)
}

// grantDials lets the first requests in the queue open connections, up to the share.
// The caller holds p.mu.
func (p *Pool) grantDials(ipool *instancePool) {
	for len(ipool.waiters) > 0 && ipool.open < p.share(ipool) {
		ipool.open++
		ipool.dequeue() <- grant{}
	}
}

// dequeue removes the first request from the queue and returns the channel for its grant.
func (ipool *instancePool) dequeue() chan<- grant {
	w := ipool.waiters[0]
	ipool.waiters = slices.Delete(ipool.waiters, 0, 1)
	return w.ready
}

// recordRefusal records that the instance refused a connection, and reduces the share to
// the number of other open connections, which it returns.
func (p *Pool) recordRefusal(ipool *instancePool) (others int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	ipool.open--
	ipool.stats.Refused++
	ipool.reducedShare = max(1, ipool.open)
	ipool.refusedAt = time.Now()
	return ipool.open
}

// put gives a connection to the first request in the queue or adds it to the idle ones. It closes the
// connection instead if the pool of the instance is draining, the address of the
// instance has changed or more connections are open than the share.
func (p *Pool) put(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	ipool := c.ipool
	switch {
	case ipool.draining, ipool.instance.Address != c.instance.Address, ipool.open > p.share(ipool):
		c.close()
		ipool.open--
		p.grantDials(ipool)
	case len(ipool.waiters) > 0:
		ipool.dequeue() <- grant{conn: c}
	default:
		ipool.idle = append(ipool.idle, c)
	}
}

// trimIdle closes the idle connections except the keep most recently used ones. The caller holds Pool.mu.
func (ipool *instancePool) trimIdle(keep int) {
	for len(ipool.idle) > keep {
		ipool.idle[0].close()
		ipool.idle = slices.Delete(ipool.idle, 0, 1)
		ipool.open--
	}
}

// drain closes the idle connections now and the others when they are released. The caller holds Pool.mu.
func (ipool *instancePool) drain() {
	ipool.draining = true
	ipool.trimIdle(0)
}

// failWaiters answers all requests in the queue with newClosedError. The caller holds Pool.mu.
func (ipool *instancePool) failWaiters() {
	for len(ipool.waiters) > 0 {
		ipool.dequeue() <- grant{err: newClosedError()}
	}
}
