package limiter

import (
	"context"

	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/team/messenger"
)

// caller sends the requests of all teams to one VM. Requests that arrive while maxCalls calls are under way share the next one.
type caller struct {
	running int
	pending []*pendingAsk
}

// pendingAsk is a request that has not been answered.
type pendingAsk struct {
	ask    messenger.Ask
	result chan result
}

type result struct {
	grant messenger.Grant
	err   error
}

// call sends a request to a VM and waits for its answer.
func (l *Limiter) call(address string, a messenger.Ask) (messenger.Grant, error) {
	p := &pendingAsk{ask: a, result: make(chan result, 1)}
	l.mu.Lock()
	c := l.callers[address]
	if c == nil {
		c = &caller{}
		l.callers[address] = c
	}
	c.pending = append(c.pending, p)
	isFull := c.running >= maxCalls
	if !isFull {
		c.running++
	}
	l.mu.Unlock()
	if !isFull {
		go l.send(address, c)
	}
	r := <-p.result
	return r.grant, r.err
}

// send sends the pending requests of a caller until there are none.
func (l *Limiter) send(address string, c *caller) {
	for {
		l.mu.Lock()
		batch := c.pending
		c.pending = nil
		if len(batch) == 0 {
			c.running--
			if c.running == 0 {
				delete(l.callers, address)
			}
			l.mu.Unlock()
			return
		}
		l.mu.Unlock()
		l.sendBatch(address, batch)
	}
}

func (l *Limiter) sendBatch(address string, batch []*pendingAsk) {
	q := messenger.Request{}
	for _, p := range batch {
		q.Asks = append(q.Asks, p.ask)
	}
	a, err := l.cfg.Send(context.Background(), address, q)
	if err == nil && len(a.Grants) != len(batch) {
		err = classifier.New(classifier.BadMessage, "%d grants for %d requests", len(a.Grants), len(batch))
	}
	if err != nil {
		l.recordFailure(address)
	} else {
		l.recordAnswer(address, a)
	}
	for k, p := range batch {
		r := result{err: err}
		if err == nil {
			r.grant = a.Grants[k]
		}
		p.result <- r
	}
}
