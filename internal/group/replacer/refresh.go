package replacer

import (
	"context"
	"slices"

	"parsleyscale/internal/group/registrar"
	"parsleyscale/internal/session/tokenizer"
)

// sealing is the seal of a term and the refresh of the instances that follows it, both of which run beside other steps.
type sealing struct {
	sealed    chan struct{} // closed once the VMs that answer have sealed the term
	report    registrar.Report
	refreshed chan error                              // gets the result of both
	held      map[registrar.Member]tokenizer.Position // newest entries of the replicas that were held last
}

// startSealAndRefresh seals a term and then brings the instances of all groups up to date, beside the first steps of the end of
// the term. So each instance with whose help a commit was acknowledged and passed on is known afterwards, if it registered in
// time.
func (r *Replacer) startSealAndRefresh(ctx context.Context, g *registrar.Group, seal registrar.Seal) *sealing {
	s := &sealing{sealed: make(chan struct{}), refreshed: make(chan error, 1)}
	r.wg.Go(func() {
		var err error
		s.report, err = r.sealTerm(ctx, g, seal)
		close(s.sealed)
		if err == nil {
			err = r.refreshInstances(ctx)
		}
		s.refreshed <- err
	})
	return s
}

// await waits until the term is sealed, and returns what the VMs report. The zero value returns at once.
func (s *sealing) await() registrar.Report {
	if s == nil {
		return registrar.Report{}
	}
	<-s.sealed
	return s.report
}

// recordHeld records the replicas that are held, with their newest entries. The zero value does not.
func (s *sealing) recordHeld(held map[registrar.Member]tokenizer.Position) {
	if s != nil {
		s.held = held
	}
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
func (r *Replacer) holdAllRegistered(ctx context.Context, e ending, seal registrar.Seal, b *Basis) ([]candidate, error) {
	g := e.group
	r.recordEnd(g)
	e.sealing = r.startSealAndRefresh(ctx, g, seal)
	if e.isStalled() || b.IsSpare {
		if err := <-e.sealing.refreshed; err != nil {
			return nil, err
		}
		if e.isStalled() {
			if err := r.checkStallCanEnd(ctx, g, e.old.Instance, e.sealing.report); err != nil {
				return nil, err
			}
			return r.holdAllStalled(ctx, e, seal, b)
		}
		return r.holdAll(ctx, e, g.Views(), b)
	}
	known := g.Views()
	candidates, err := r.holdAll(ctx, e, known, b)
	if err != nil {
		return nil, err
	}
	if err := <-e.sealing.refreshed; err != nil {
		return nil, err
	}
	// The refresh may have shown a gap in what this VM has seen of the registry.
	isStillCovered := b.EndedBy != EndedByHold || r.isCovered(ctx, g, furthestReceived(candidates), e.sealing.report, e.sealing.held)
	if isStillCovered && isSameInstances(known, g.Views()) {
		return candidates, nil
	}
	return r.holdAll(ctx, e, g.Views(), b)
}

// isSameInstances reports whether two lists hold the same instances, none of which has restarted or moved in between.
func isSameInstances(a, b []registrar.View) bool {
	return len(a) == len(b) && !slices.ContainsFunc(a, func(v registrar.View) bool {
		return !slices.ContainsFunc(b, func(w registrar.View) bool {
			return v.ID == w.ID && v.Address == w.Address && v.StartedAtMs == w.StartedAtMs
		})
	})
}
