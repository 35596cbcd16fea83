package promoter

import (
	"context"
	"fmt"
	"time"
)

// idleWait bounds the wait for running write units; the rest of HoldTime is
// left for the replacement.
const idleWait = 700 * time.Millisecond

// forceAfter is the number of attempts after which a planned switch no longer
// waits for write units that do not end.
const forceAfter = 5

// switchPlanned replaces a working primary while all gateways hold new write units.
func (p *Promoter) switchPlanned(a Action) error {
	ctx, cancel := context.WithTimeout(p.ctx, HoldTime)
	defer cancel()
	v := p.tracker.e.View
	defer p.release(v.Database, v.Term)
	start := time.Now()
	err := p.hold(ctx, v.Database, v.Term)
	p.cfg.Log(Event{Name: EventHeld, Database: v.Database, Term: v.Term, Instance: v.Primary, Reason: a.Reason, Took: time.Since(start), Err: err})
	if err != nil && p.attempts < forceAfter {
		return err
	}
	if err := p.waitUntilEqual(ctx, a.Target, v.Term); err != nil {
		return err
	}
	return p.replace(a)
}

// hold keeps new write units back on all gateways and waits for the running ones.
func (p *Promoter) hold(ctx context.Context, database string, term uint64) error {
	ctx, cancel := context.WithTimeout(ctx, idleWait)
	defer cancel()
	peers := make(chan error, 1)
	p.wg.Go(func() {
		if p.cfg.Peers == nil {
			peers <- nil
			return
		}
		peers <- p.cfg.Peers.Hold(ctx, database, term)
	})
	isIdle := p.cfg.Holder.Hold(ctx, term, HoldTime)
	if err := <-peers; err != nil {
		return fmt.Errorf("hold writes of %q on other gateways: %w", database, err)
	}
	if !isIdle {
		return fmt.Errorf("hold writes of %q: %d units are still running", database, p.cfg.Holder.Running())
	}
	return nil
}

func (p *Promoter) release(database string, term uint64) {
	p.cfg.Holder.Release(term)
	if p.cfg.Peers == nil {
		return
	}
	ctx, cancel := context.WithTimeout(p.ctx, ObserveTimeout)
	defer cancel()
	_ = p.cfg.Peers.Release(ctx, database, term) // a hold that is not released expires
}

// waitUntilEqual waits until the target holds the primary's last entry.
func (p *Promoter) waitUntilEqual(ctx context.Context, target string, term uint64) error {
	for {
		v, err := p.cfg.Sampler.Next(ctx)
		if err != nil {
			return err
		}
		i, ok := v.Instance(target)
		if !ok || v.Term != term {
			return fmt.Errorf("switch %q to %q: the group changed", v.Database, target)
		}
		if i.Status.Last.Covers(v.Confirmed) {
			return nil
		}
	}
}
