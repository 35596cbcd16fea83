package replacer

import (
	"context"
	"slices"

	"parsleyscale/internal/group/registrar"
)

// startRefresh brings the instances of all groups up to date, beside the first steps of the end of a term. The channel gets
// the result.
func (r *Replacer) startRefresh(ctx context.Context) <-chan error {
	result := make(chan error, 1)
	if r.cfg.RefreshInstances == nil {
		result <- nil
		return result
	}
	r.wg.Go(func() { result <- r.cfg.RefreshInstances(ctx) })
	return result
}

// holdAllRegistered is holdAll for the instances that were registered when the refresh began. It holds those that it knows
// during the refresh, except in two cases: a primary that is reachable is not demoted in vain, and without a claim, the VM may be
// cut off, and would only stop the writes of the others.
func (r *Replacer) holdAllRegistered(ctx context.Context, g *registrar.Group, old registrar.Primary, awaitsOldPrimary, isSpare bool, refreshed <-chan error) ([]candidate, error) {
	if awaitsOldPrimary || isSpare {
		if err := <-refreshed; err != nil {
			return nil, err
		}
		return r.holdAll(ctx, g, g.Views(), old, awaitsOldPrimary)
	}
	known := g.Views()
	candidates, err := r.holdAll(ctx, g, known, old, false)
	if err != nil {
		return nil, err
	}
	if err := <-refreshed; err != nil {
		return nil, err
	}
	if isSameInstances(known, g.Views()) {
		return candidates, nil
	}
	return r.holdAll(ctx, g, g.Views(), old, false)
}

// isSameInstances reports whether two lists hold the same instances, none of which has restarted or moved in between.
func isSameInstances(a, b []registrar.View) bool {
	return len(a) == len(b) && !slices.ContainsFunc(a, func(v registrar.View) bool {
		return !slices.ContainsFunc(b, func(w registrar.View) bool {
			return v.ID == w.ID && v.Address == w.Address && v.StartedAtMs == w.StartedAtMs
		})
	})
}
