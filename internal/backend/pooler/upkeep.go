package pooler

import (
	"context"
	"time"
)

// upkeep runs until Close. It closes connections that were idle too long,
// checks the warm one of each instance, and lets waiting requests use a share that has grown back.
func (p *Pool) upkeep() {
	t := time.NewTicker(p.cfg.CheckAfter / 2)
	defer t.Stop()
	for {
		select {
		case <-p.stop:
			return
		case <-t.C:
			for _, c := range p.dueConns() {
				p.refresh(c)
			}
		}
	}
}

// dueConns closes expired connections and takes out the warm ones that need a check.
func (p *Pool) dueConns() []*Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	var due []*Conn
	for _, l := range p.lines {
		p.admitWaiters(l)
		for len(l.idle) > 1 && time.Since(l.idle[0].usedAt) > p.cfg.IdleTimeout {
			l.closeIdle(len(l.idle) - 1)
		}
		if n := len(l.idle); n > 0 && time.Since(l.idle[n-1].usedAt) >= p.cfg.CheckAfter/2 {
			due = append(due, l.idle[n-1])
			l.idle = l.idle[:n-1]
		}
	}
	return due
}

// refresh checks one warm connection apart from the others, because a silent one takes the whole timeout.
func (p *Pool) refresh(c *Conn) {
	p.wg.Go(func() {
		if c.check(context.Background()) != nil {
			c.discardSilent()
			return
		}
		c.pool.putIdle(c)
	})
}
