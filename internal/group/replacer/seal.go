package replacer

import (
	"context"
	"time"

	"parsleyscale/internal/clock/sleeper"
	"parsleyscale/internal/group/registrar"
)

// sealInterval is the time between two seals of a term whose primary is being replaced. It is a fraction of the time for which a
// seal lasts, and bounds how long a VM that has just started may be without it.
const sealInterval = 200 * time.Millisecond

// Sealer asks other VMs to pass on no more acknowledgements of a term of a group.
type Sealer interface {
	Seal(ctx context.Context, group string, term uint64) error
}

// sealTerm keeps all VMs that answer from passing on acknowledgements of a term.
func (r *Replacer) sealTerm(ctx context.Context, g *registrar.Group, term uint64) {
	err := r.trySealTerm(ctx, g, term)
	r.cfg.Observe(Event{Name: EventTermSealed, Group: g.Name(), Term: term, Err: err})
}

func (r *Replacer) trySealTerm(ctx context.Context, g *registrar.Group, term uint64) error {
	g.Seal(term)
	if r.cfg.Sealer == nil {
		return nil
	}
	return r.cfg.Sealer.Seal(ctx, g.Name(), term)
}

// keepSealed renews the seal of a term until ctx ends.
func (r *Replacer) keepSealed(ctx context.Context, g *registrar.Group, term uint64) {
	for sleeper.Sleep(ctx, sealInterval) {
		_ = r.trySealTerm(ctx, g, term) // a VM that does not answer may be down
	}
}
