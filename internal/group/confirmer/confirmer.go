// Package confirmer passes on the acknowledgements of commits. While a VM may not know all replicas of a group, it first confirms that a
// replica which it knows has received the commit.
//
// The position at an acknowledgement may lie beyond the commit, where no replica is yet. If a replica that the VM does not know may have been
// counted for the commit, and the primary fails, then a new primary must hold that position, so that the group would wait for the old
// one although the known replicas hold all commits. A confirmed commit needs no such floor.
package confirmer

import (
	"context"
	"sync"
	"time"

	"parsleyscale/internal/clock/sleeper"
	"parsleyscale/internal/group/registrar"
	"parsleyscale/internal/session/tokenizer"
	"parsleyscale/internal/statement/carrier"
)

const (
	// receiptTimeout bounds the wait for a replica to receive a commit that another one has received.
	receiptTimeout = 250 * time.Millisecond
	// askInterval is the least time between two requests to a replica.
	askInterval = 10 * time.Millisecond
	// checkInterval is the time between two looks at what replicas have received.
	checkInterval = 2 * time.Millisecond
	// askTimeout bounds a request to a replica.
	askTimeout = 250 * time.Millisecond
	// pauseTime is how long acknowledgements of a group do not wait after one has waited in vain while others came.
	pauseTime = 500 * time.Millisecond
	// memoryTime is how long after a wait in vain another acknowledgement shows that the primary goes on.
	memoryTime = 2 * time.Second
)

// Config holds the dependencies of a Confirmer.
type Config struct {
	Status func(ctx context.Context, t carrier.Target) (carrier.InstanceStatus, error)
}

// Confirmer passes on acknowledgements.
type Confirmer struct {
	cfg    Config
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu     sync.Mutex
	states map[string]state // by group
	asked  map[string]bool  // instances that have not answered yet, or were asked less than askInterval ago
}

// state is what a Confirmer remembers of the acknowledgements of a group.
type state struct {
	latestAt    time.Time // when the latest one came
	failedAt    time.Time // when the latest one that waited in vain did so
	pausedUntil time.Time // until then, none waits
}

// New returns a Confirmer with the given configuration.
func New(cfg Config) *Confirmer {
	c := &Confirmer{cfg: cfg, states: map[string]state{}, asked: map[string]bool{}}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

// Close ends the requests to replicas and waits for them. Acknowledgements that wait, or come afterwards, are not confirmed.
func (c *Confirmer) Close() {
	c.mu.Lock()
	c.cancel()
	c.mu.Unlock()
	c.wg.Wait()
}

// Acknowledge reports whether the acknowledgement of a commit may be passed on, and records it if so. The position is that of the primary at
// the acknowledgement. If no known replica confirms that it has received the commit, the acknowledgement is passed on only if the primary goes
// on to acknowledge commits, with the help of a replica that is not known: the primary may have failed, or lost its replicas.
func (c *Confirmer) Acknowledge(g *registrar.Group, p tokenizer.Position) bool {
	start := time.Now()
	waits := !c.recordCall(g.Name(), start) && g.NeedsReceipt(p) && len(g.Replicas()) > 0
	if waits && !c.awaitReceipt(g, p) && !c.goesOn(g.Name(), start) {
		return false
	}
	return g.Acknowledge(p)
}

// recordCall records that an acknowledgement has come, and reports whether it does not wait.
func (c *Confirmer) recordCall(group string, now time.Time) (isPaused bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.states[group]
	s.latestAt = now
	c.states[group] = s
	return now.Before(s.pausedUntil)
}

// goesOn reports whether the primary goes on to acknowledge commits, after an acknowledgement that came at start has waited in vain. Those
// that came at about the same time do not show that.
func (c *Confirmer) goesOn(group string, start time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	s, now := c.states[group], time.Now()
	isLaterOne := !start.Before(s.failedAt) && start.Sub(s.failedAt) < memoryTime
	goesOn := isLaterOne || s.latestAt.Sub(start) > receiptTimeout/2
	s.failedAt = now
	if goesOn {
		s.pausedUntil = now.Add(pauseTime)
	}
	c.states[group] = s
	return goesOn
}

// awaitReceipt asks the replicas until one has received the log up to p.
func (c *Confirmer) awaitReceipt(g *registrar.Group, p tokenizer.Position) bool {
	for start := time.Now(); g.NeedsReceipt(p); {
		for _, v := range g.Replicas() {
			c.startAsking(g, v)
		}
		if time.Since(start) >= receiptTimeout || !sleeper.Sleep(c.ctx, checkInterval) {
			return false
		}
	}
	return true
}

// startAsking asks a replica what it has received, unless it is being asked or was asked less than askInterval ago.
func (c *Confirmer) startAsking(g *registrar.Group, v registrar.View) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.asked[v.ID] || c.ctx.Err() != nil {
		return
	}
	c.asked[v.ID] = true
	c.wg.Go(func() {
		pause := time.NewTimer(askInterval)
		defer pause.Stop()
		c.ask(g, v)
		select {
		case <-pause.C:
		case <-c.ctx.Done():
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.asked, v.ID)
	})
}

func (c *Confirmer) ask(g *registrar.Group, v registrar.View) {
	ctx, cancel := context.WithTimeout(c.ctx, askTimeout)
	defer cancel()
	if s, err := c.cfg.Status(ctx, registrar.NewTarget(v.Instance)); err == nil && !s.IsPrimary {
		g.RecordReceipt(v.ID, s.Received)
	}
}
