package replacer

import (
	"context"
	"time"

	"parsleyscale/internal/group/registrar"
	"parsleyscale/internal/session/tokenizer"
)

const (
	// newcomerTimeout bounds the wait for an instance that has received entries before it registered. Instances register within
	// a heartbeat after their start.
	newcomerTimeout = 1200 * time.Millisecond
	// newcomerInterval is the time between two looks for such an instance.
	newcomerInterval = 100 * time.Millisecond
)

// holdAllStalled is holdAll for a primary whose writes have stalled. If the demoted primary holds entries that no replica has, it
// waits for newcomers first, since one of them may have allowed the primary to acknowledge these entries.
func (r *Replacer) holdAllStalled(ctx context.Context, e ending, seal registrar.Seal, b *Basis) ([]candidate, error) {
	g, known := e.group, e.group.Views()
	candidates, err := r.holdAll(ctx, e, known, b)
	missing := b.Demoted
	if err != nil || furthestReceived(candidates).Covers(missing) {
		return candidates, err
	}
	for deadline := time.Now().Add(newcomerTimeout); time.Now().Before(deadline) && ctx.Err() == nil; {
		if c, ok := r.findNewcomer(ctx, g, known, e.old.Term, missing); ok {
			return []candidate{c}, nil
		}
		r.recordEnd(g)
		_, _ = r.trySealTerm(ctx, g, seal)
		r.awaitChange(ctx, g, newcomerInterval)
	}
	if err := r.refreshInstances(ctx); err != nil {
		return nil, err
	}
	return r.holdAll(ctx, e, g.Views(), b)
}

// findNewcomer returns an instance that is not in a list, does not leave, and has received all entries up to a position. It is not
// held before, so that it can catch up with the demoted primary.
func (r *Replacer) findNewcomer(ctx context.Context, g *registrar.Group, known []registrar.View, term uint64, missing tokenizer.Position) (candidate, bool) {
	for _, v := range g.Views() {
		if v.IsLeaving || isSameInstances([]registrar.View{v}, ofID(known, v.ID)) {
			continue
		}
		s, err := r.callWithRetry(ctx, v, r.cfg.Controller.Status)
		if err == nil && !s.IsPrimary && !isInLaterTerm(s, term+1) && s.Received.Covers(missing) {
			return candidate{id: v.ID, received: s.Received}, true
		}
	}
	return candidate{}, false
}

// ofID returns the instances of a list with an identity.
func ofID(views []registrar.View, id string) []registrar.View {
	for _, v := range views {
		if v.ID == id {
			return []registrar.View{v}
		}
	}
	return nil
}

// awaitChange waits until the instances or the primary of a group change, for up to a limit.
func (r *Replacer) awaitChange(ctx context.Context, g *registrar.Group, limit time.Duration) {
	t := time.NewTimer(limit)
	defer t.Stop()
	select {
	case <-t.C:
	case <-g.Changed():
	case <-ctx.Done():
	}
}
