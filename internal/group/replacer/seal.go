package replacer

import (
	"context"
	"time"

	"parsleyscale/internal/clock/sleeper"
	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/group/registrar"
)

// sealInterval is the time between two seals of a term whose primary is being replaced. It is a fraction of the time for which a
// seal lasts, and bounds how long a VM that has just started may be without it.
const sealInterval = 200 * time.Millisecond

// Sealer tells other VMs that this VM is about to end a term of a group.
type Sealer interface {
	// Seal returns what the other VMs report. It fails with kind conflict while another VM ends the term, and with another kind if
	// a VM does not answer.
	Seal(ctx context.Context, group string, s registrar.Seal) (registrar.Report, error)
	Unseal(ctx context.Context, group string, s registrar.Seal)
}

// sealTerm seals a term on this VM and on all VMs that answer, and returns what these and this VM report. It fails only if another VM ends
// the term. A claim excludes other VMs already, so that only a VM with a spare token, or one that stops acknowledgements, has to tell others.
func (r *Replacer) sealTerm(ctx context.Context, g *registrar.Group, s registrar.Seal) (registrar.Report, error) {
	report, err := r.trySealTerm(ctx, g, s)
	r.cfg.Observe(Event{Name: EventTermSealed, Group: g.Name(), Term: s.Term, Report: report, Err: err})
	if classifier.Is(err, classifier.Conflict) {
		return registrar.Report{}, err
	}
	return report, nil
}

func (r *Replacer) trySealTerm(ctx context.Context, g *registrar.Group, s registrar.Seal) (registrar.Report, error) {
	if err := g.Seal(s); err != nil {
		return registrar.Report{}, err
	}
	if r.cfg.Sealer == nil {
		return g.Report(), nil
	}
	if !s.IsSpare && !s.StopsAcks {
		return registrar.Report{}, nil
	}
	others, err := r.cfg.Sealer.Seal(ctx, g.Name(), s)
	return g.Report().With(others), err
}

// startSeal is sealTerm beside other steps. The returned function waits for its result, for up to holdGrace.
func (r *Replacer) startSeal(ctx context.Context, g *registrar.Group, s registrar.Seal) func() (registrar.Report, error) {
	type result struct {
		report registrar.Report
		err    error
	}
	results := make(chan result, 1)
	r.wg.Go(func() {
		report, err := r.sealTerm(ctx, g, s)
		results <- result{report, err}
	})
	deadline := time.Now().Add(holdGrace)
	return func() (registrar.Report, error) {
		select {
		case x := <-results:
			return x.report, x.err
		case <-time.After(time.Until(deadline)):
			return registrar.Report{}, nil
		}
	}
}

func noWait() error { return nil }

// keepSealed renews a seal until ctx ends.
func (r *Replacer) keepSealed(ctx context.Context, g *registrar.Group, s registrar.Seal) {
	for sleeper.Sleep(ctx, sealInterval) {
		_, _ = r.trySealTerm(ctx, g, s) // the promote request has been sent, so that an error changes nothing
	}
}

// unseal ends a seal before a promote request was sent.
func (r *Replacer) unseal(ctx context.Context, g *registrar.Group, s registrar.Seal) {
	g.Unseal(s)
	if r.cfg.Sealer != nil && (s.IsSpare || s.StopsAcks) {
		r.cfg.Sealer.Unseal(ctx, g.Name(), s)
	}
}
