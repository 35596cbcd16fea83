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

	"golang.org/x/sync/singleflight"

	"parsleyscale/internal/group/registrar"
	"parsleyscale/internal/session/tokenizer"
	"parsleyscale/internal/statement/carrier"
)

const (
	// receiptTimeout bounds the wait for a replica to receive a commit that another one has received.
	receiptTimeout = 100 * time.Millisecond
	// askInterval is the time between two requests to a replica.
	askInterval = 2 * time.Millisecond
	// askTimeout bounds a request to a replica.
	askTimeout = 250 * time.Millisecond
	// pauseTime is how long acknowledgements of a group do not wait after one has waited in vain.
	pauseTime = 500 * time.Millisecond
)

// Config holds the dependencies of a Confirmer.
type Config struct {
	Status func(ctx context.Context, t carrier.Target) (carrier.InstanceStatus, error)
	// Sample fails if the primary of a group does not prove its position.
	Sample func(ctx context.Context, g *registrar.Group) error
}

// Confirmer passes on acknowledgements.
type Confirmer struct {
	cfg      Config
	requests singleflight.Group // by instance

	mu          sync.Mutex
	pausedUntil map[string]time.Time // by group
}

// New returns a Confirmer with the given configuration.
func New(cfg Config) *Confirmer {
	return &Confirmer{cfg: cfg, pausedUntil: map[string]time.Time{}}
}

// Acknowledge reports whether the acknowledgement of a commit may be passed on, and records it if so. The position is that of the primary at
// the acknowledgement. If no known replica confirms that it has received the commit, the acknowledgement is passed on only if the primary still
// proves to be one: it may be the failure of the primary that keeps replicas from receiving the commit.
func (c *Confirmer) Acknowledge(g *registrar.Group, p tokenizer.Position) bool {
	if g.NeedsReceipt(p) && !c.isPaused(g.Name()) && !c.awaitReceipt(g, p) {
		ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
		defer cancel()
		if c.cfg.Sample(ctx, g) != nil {
			return false
		}
		c.pause(g.Name())
	}
	return g.Acknowledge(p)
}

// awaitReceipt asks the replicas until one has received the log up to p.
func (c *Confirmer) awaitReceipt(g *registrar.Group, p tokenizer.Position) bool {
	for start := time.Now(); time.Since(start) < receiptTimeout; time.Sleep(askInterval) {
		for _, v := range g.Replicas() {
			c.requests.DoChan(v.ID, func() (any, error) { return nil, c.ask(g, v) })
		}
		if !g.NeedsReceipt(p) {
			return true
		}
	}
	return !g.NeedsReceipt(p)
}

// ask asks a replica what it has received.
func (c *Confirmer) ask(g *registrar.Group, v registrar.View) error {
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	s, err := c.cfg.Status(ctx, registrar.NewTarget(v.Instance))
	if err == nil && !s.IsPrimary {
		g.RecordReceipt(v.ID, s.Received)
	}
	return err
}

func (c *Confirmer) isPaused(group string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Now().Before(c.pausedUntil[group])
}

func (c *Confirmer) pause(group string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pausedUntil[group] = time.Now().Add(pauseTime)
}
