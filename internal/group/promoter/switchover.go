package promoter

import (
	"context"
	"fmt"
	"time"
)

// idleTimeout limits the wait for running write units to end. The rest of HoldTime is left for replacing the primary.
const idleTimeout = 700 * time.Millisecond

// forceAfterAttempts is the number of failed attempts in a row after which a switchover continues although
// write units are still running or another gateway could not block its own.
const forceAfterAttempts = 5

// switchOver replaces a working primary while all gateways block new write units.
func (p *Promoter) switchOver(a Action) error {
	ctx, cancel := context.WithTimeout(p.ctx, HoldTime)
	defer cancel()
	v := p.tracker.evidence.View
	defer p.releaseWrites(v.Database, v.Term)
	start := time.Now()
	err := p.holdWrites(ctx, v.Database, v.Term)
	p.cfg.Log(Event{Name: EventHeld, Database: v.Database, Term: v.Term, Instance: v.Primary, Reason: a.Reason, Took: time.Since(start), Err: err})
	if err != nil && p.failedAttempts < forceAfterAttempts {
		return err
	}
	if err := p.waitForCatchUp(ctx, a.Target, v.Term); err != nil {
		return err
	}
	return p.replacePrimary(a)
}

// holdWrites blocks new write units on all gateways and waits until no write unit is running.
func (p *Promoter) holdWrites(ctx context.Context, database string, term uint64) error {
	ctx, cancel := context.WithTimeout(ctx, idleTimeout)
	defer cancel()
	peerResult := make(chan error, 1)
	p.wg.Go(func() {
		if p.cfg.Peers == nil {
			peerResult <- nil
			return
		}
		peerResult <- p.cfg.Peers.Hold(ctx, database, term)
	})
	isIdle := p.cfg.WriteGate.Hold(ctx, term, HoldTime)
	if err := <-peerResult; err != nil {
		return fmt.Errorf("hold writes of database %q in term %d on the other gateways: %w", database, term, err)
	}
	if !isIdle {
		return fmt.Errorf("hold writes of database %q in term %d: %d write units are still running (limit %s)", database, term, p.cfg.WriteGate.Running(), idleTimeout)
	}
	return nil
}

func (p *Promoter) releaseWrites(database string, term uint64) {
	p.cfg.WriteGate.Release(term)
	if p.cfg.Peers == nil {
		return
	}
	ctx, cancel := context.WithTimeout(p.ctx, ObserveTimeout)
	defer cancel()
	_ = p.cfg.Peers.Release(ctx, database, term) // a hold whose release is lost expires after HoldTime
}

// waitForCatchUp waits until the target holds the primary's last confirmed entry.
func (p *Promoter) waitForCatchUp(ctx context.Context, target string, term uint64) error {
	for {
		v, err := p.cfg.Sampler.NextRound(ctx)
		if err != nil {
			return err
		}
		i, ok := v.Instance(target)
		if !ok || v.Term != term {
			return fmt.Errorf("switch database %q to %q: the instance was removed or the term changed from %d to %d", v.Database, target, term, v.Term)
		}
		if i.Status.Last.Covers(v.Confirmed) {
			return nil
		}
	}
}
