package replacer

import (
	"context"
	"slices"

	"parsleyscale/internal/group/registrar"
)

// startSealAndRefresh seals a term and then brings the instances of all groups up to date, beside the first steps of the end of
// the term. So each instance with whose help a commit was acknowledged and passed on is known afterwards, if it registered in
// time. The channel gets the result.
func (r *Replacer) startSealAndRefresh(ctx context.Context, g *registrar.Group, seal registrar.Seal) <-chan error {
	result := make(chan error, 1)
	r.wg.Go(func() {
		err := r.sealTerm(ctx, g, seal)
		if err == nil {
			err = r.refreshInstances(ctx)
		}
		result <- err
	})
	return result
}

func (r *Replacer) refreshInstances(ctx context.Context) error {
	if r.cfg.RefreshInstances == nil {
		return nil
	}
	return r.cfg.RefreshInstances(ctx)
}

// holdAllRegistered is holdAll for the instances that were registered when the refresh began. It holds those that it knows
// during the refresh, except in two cases: a primary that is reachable is not demoted in vain, and without a claim, the VM may be
// cut off, and would only stop the writes of the others.
func (r *Replacer) holdAllRegistered(ctx context.Context, g *registrar.Group, old registrar.Primary, isStalled bool, seal registrar.Seal, b *Basis) ([]candidate, error) {
	refreshed := r.startSealAndRefresh(ctx, g, seal)
	if isStalled || b.IsSpare {
		if err := <-refreshed; err != nil {
			return nil, err
		}
		if isStalled {
			return r.holdAllStalled(ctx, g, old, seal, b)
		}
		return r.holdAll(ctx, g, g.Views(), old, false, b)
	}
	known := g.Views()
	candidates, err := r.holdAll(ctx, g, known, old, false, b)
	if err != nil {
		return nil, err
	}
	if err := <-refreshed; err != nil {
		return nil, err
	}
	if isSameInstances(known, g.Views()) {
		return candidates, nil
	}
	return r.holdAll(ctx, g, g.Views(), old, false, b)
}

// isSameInstances reports whether two lists hold the same instances, none of which has restarted or moved in between.
func isSameInstances(a, b []registrar.View) bool {
	return len(a) == len(b) && !slices.ContainsFunc(a, func(v registrar.View) bool {
		return !slices.ContainsFunc(b, func(w registrar.View) bool {
			return v.ID == w.ID && v.Address == w.Address && v.StartedAtMs == w.StartedAtMs
		})
	})
}
