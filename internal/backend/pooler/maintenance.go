package pooler

import (
	"context"
	"time"
)

// maintain runs until Close. At intervals of half of Config.CheckAfter, it closes
// connections at the end of their idle timeout, checks the most recently used idle
// connection of each instance, and lets waiting requests use a share that has grown back.
func (p *Pool) maintain() {
	t := time.NewTicker(p.cfg.CheckAfter / 2)
	defer t.Stop()
	for {
		select {
		case <-p.stop:
			return
		case <-t.C:
			for _, c := range p.takeDueForCheck() {
				p.checkInBackground(c)
			}
		}
	}
}

// takeDueForCheck closes connections at the end of their idle timeout, but the most recently used
// idle one of each instance stays open. It takes this one out of the pool and returns it if it
// needs a check.
func (p *Pool) takeDueForCheck() []*Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	var due []*Conn
	for _, ipool := range p.pools {
		p.grantDials(ipool)
		for len(ipool.idle) > 1 && time.Since(ipool.idle[0].lastUsedAt) > p.cfg.IdleTimeout {
			ipool.trimIdle(len(ipool.idle) - 1)
		}
		if n := len(ipool.idle); n > 0 && time.Since(ipool.idle[n-1].lastUsedAt) >= p.cfg.CheckAfter/2 {
			due = append(due, ipool.idle[n-1])
			ipool.idle = ipool.idle[:n-1]
		}
	}
	return due
}

// checkInBackground checks an idle connection and returns it to the pool, or discards it. Each check has a
// goroutine of its own, because one without an answer takes Config.DialTimeout.
func (p *Pool) checkInBackground(c *Conn) {
	p.wg.Go(func() {
		if c.check(context.Background()) != nil {
			c.discardWithIdle()
			return
		}
		c.pool.put(c)
	})
}
