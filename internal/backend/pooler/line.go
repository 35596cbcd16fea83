package pooler

import (
	"context"
	"slices"
	"time"

	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/sheet/parser"
)

// line holds the connections to one instance and the requests that wait for one.
type line struct {
	instance  parser.Instance
	database  string
	idle      []*Conn // the most recently used one is last
	open      int     // in use, idle or being opened
	waiters   []*waiter
	ceiling   int // connections that the instance accepted at its last refusal
	refusedAt time.Time
	retired   bool // connections are closed when they come back, until the next request
	stats     Stats
}

// waiter is a request in line. It receives a connection, or nil as the permission to open one.
type waiter struct {
	ready chan grant
}

type grant struct {
	conn *Conn
	err  error
}

func (p *Pool) line(i parser.Instance) *line {
	l, ok := p.lines[i.Name]
	if !ok {
		l = &line{database: p.cfg.DatabaseOf(i.Name)}
		p.lines[i.Name] = l
	}
	if l.instance.Address != i.Address {
		l.closeIdle(0)
	}
	l.instance = i
	return l
}

// share is the limit of this gateway: its part of the instance's connections,
// or less for a while after the instance refused one.
func (p *Pool) share(l *line) int {
	n := max(1, l.instance.Connections/max(1, p.gateways[l.database]))
	if l.refusedAt.IsZero() {
		return n
	}
	grown := l.ceiling + int(time.Since(l.refusedAt)/p.cfg.GrowEvery)
	if grown >= n {
		l.refusedAt = time.Time{}
	}
	return min(n, grown)
}

// take returns an idle connection, or nil when the caller may open one.
func (p *Pool) take(ctx context.Context, i parser.Instance) (*Conn, error) {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return nil, errClosed()
	}
	l := p.line(i)
	l.retired = false
	if n := len(l.idle); n > 0 {
		c := l.idle[n-1]
		l.idle = l.idle[:n-1]
		p.mu.Unlock()
		return c, nil
	}
	if l.open < p.share(l) {
		l.open++
		p.mu.Unlock()
		return nil, nil
	}
	w := &waiter{ready: make(chan grant, 1)}
	l.waiters = append(l.waiters, w)
	p.mu.Unlock()
	return p.wait(ctx, l, w)
}

func (p *Pool) wait(ctx context.Context, l *line, w *waiter) (*Conn, error) {
	select {
	case g := <-w.ready:
		return g.conn, g.err
	case <-ctx.Done():
	}
	p.mu.Lock()
	k := slices.Index(l.waiters, w)
	if k >= 0 {
		l.waiters = slices.Delete(l.waiters, k, k+1)
	}
	p.mu.Unlock()
	if k < 0 {
		p.giveBack(l, <-w.ready)
	}
	return nil, classifier.Wrap(classifier.Overloaded, ctx.Err(), "no free connection to %s", l.instance.Name)
}

// giveBack returns a grant whose request has left the line.
func (p *Pool) giveBack(l *line, g grant) {
	switch {
	case g.err != nil:
	case g.conn != nil:
		g.conn.Release()
	default:
		p.closedOne(l)
	}
}

// closedOne records that a connection of the line is gone.
func (p *Pool) closedOne(l *line) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l.open--
	p.admitWaiters(l)
}

// admitWaiters lets requests in line open connections up to the share. The pool is locked.
func (p *Pool) admitWaiters(l *line) {
	for len(l.waiters) > 0 && l.open < p.share(l) {
		l.open++
		l.next() <- grant{}
	}
}

func (l *line) next() chan<- grant {
	w := l.waiters[0]
	l.waiters = slices.Delete(l.waiters, 0, 1)
	return w.ready
}

// refused records that the instance refused a connection while the line had others.
func (p *Pool) refused(l *line) (others int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l.open--
	l.stats.Refused++
	l.ceiling = max(1, l.open)
	l.refusedAt = time.Now()
	return l.open
}

func (p *Pool) putIdle(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := c.line
	switch {
	case l.retired, l.instance.Address != c.instance.Address, l.open > p.share(l):
		c.close()
		l.open--
		p.admitWaiters(l)
	case len(l.waiters) > 0:
		l.next() <- grant{conn: c}
	default:
		l.idle = append(l.idle, c)
	}
}

// closeIdle closes the idle connections except the keep most recently used ones. The pool is locked.
func (l *line) closeIdle(keep int) {
	for len(l.idle) > keep {
		l.idle[0].close()
		l.idle = slices.Delete(l.idle, 0, 1)
		l.open--
	}
}

// retire closes the idle connections now and the others when they come back. The pool is locked.
func (l *line) retire() {
	l.retired = true
	l.closeIdle(0)
}

func (l *line) failWaiters() {
	for len(l.waiters) > 0 {
		l.next() <- grant{err: errClosed()}
	}
}
