package replacer

import (
	"context"
	"time"

	"parsleyscale/internal/clock/sleeper"
	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/group/registrar"
	"parsleyscale/internal/statement/carrier"
)

const (
	// demoteInterval is the time after which an old primary is demoted once more, whether or not it has answered.
	demoteInterval = 100 * time.Millisecond
	// demoteRetryDelay is the pause after a demotion that has failed, such as a refused connection.
	demoteRetryDelay = 20 * time.Millisecond
	// holdGrace bounds the wait for the holds of replicas whose primary has been demoted.
	holdGrace = 50 * time.Millisecond
)

// demoteOnReturn demotes the old primary again and again until ctx ends. A primary that is back before the promotion
// is carried out could acknowledge commits with the help of a replica that has restarted and is no longer held.
// The primary is called at its address, since it may come back under another identity.
func (r *Replacer) demoteOnReturn(ctx context.Context, p promotion) {
	v, isKnown := p.group.View(p.oldPrimary)
	for ctx.Err() == nil {
		targets := make([]carrier.Target, 0, 2)
		if isKnown {
			targets = append(targets, registrar.NewTarget(v.Instance))
		}
		if l, ok := r.returnedPrimary(p); ok && l.Address != v.Address {
			targets = append(targets, registrar.NewTarget(l.Instance))
		}
		answers := make(chan error, len(targets))
		for _, t := range targets {
			r.wg.Go(func() { answers <- r.demoteAt(ctx, p, t) })
		}
		nextAt := time.Now().Add(demoteInterval)
		for range targets {
			select {
			case err := <-answers:
				if err != nil {
					nextAt = time.Now().Add(demoteRetryDelay)
				}
			case <-time.After(time.Until(nextAt)):
			case <-ctx.Done():
			}
		}
		sleeper.Sleep(ctx, time.Until(nextAt))
	}
}

// returnedPrimary returns the instance that is known as the primary, unless it leads the next term.
func (r *Replacer) returnedPrimary(p promotion) (registrar.View, bool) {
	l := p.group.Primary()
	if !l.IsKnown() || l.Instance == p.target || l.Term > p.term {
		return registrar.View{}, false
	}
	return p.group.View(l.Instance)
}

// demoteAt demotes the instance at the address of a target. Pooled connections would not be opened for a while after a failed dial.
func (r *Replacer) demoteAt(ctx context.Context, p promotion, t carrier.Target) error {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	demote := r.cfg.Controller.Demote
	if r.cfg.DemoteAt != nil {
		demote, t.Instance = r.cfg.DemoteAt, ""
	}
	s, err := demote(ctx, t, p.term+1)
	if err == nil {
		r.cfg.Observe(Event{Name: EventDemoted, Group: p.group.Name(), Instance: p.oldPrimary, Term: p.term, Command: CommandDemote, Status: s})
	}
	return err
}

// holdOthers holds the replicas of a demoted primary, so that it cannot acknowledge commits if it leads again before the
// promotion is carried out, and then demotes it once more. The returned function waits for the answers, for up to holdGrace, and
// fails if an instance is in a later term, or if the primary has led again already and holds more than the target.
func (r *Replacer) holdOthers(ctx context.Context, p promotion) func() error {
	done := make(chan error, 1)
	r.wg.Go(func() { done <- r.holdAndDemote(ctx, p) })
	deadline := time.Now().Add(holdGrace)
	return func() error {
		select {
		case err := <-done:
			return err
		case <-time.After(time.Until(deadline)):
			return nil
		}
	}
}

func (r *Replacer) holdAndDemote(ctx context.Context, p promotion) error {
	views := p.group.Views()
	answers := make(chan haltAnswer, len(views))
	for _, v := range views {
		if v.ID == p.oldPrimary {
			answers <- haltAnswer{}
			continue
		}
		r.wg.Go(func() { answers <- r.holdOrDemote(ctx, p.group, v, false, p.term+1) })
	}
	holdsEnd := time.After(holdGrace / 2) // a silent replica must not delay the demotion
	for isWaiting, n := true, 0; isWaiting && n < len(views); n++ {
		select {
		case a := <-answers:
			if a.err == nil && isInLaterTerm(a.status, p.term+1) {
				return r.recordLaterTerm(ctx, p.group, a.id, a.status)
			}
		case <-holdsEnd:
			isWaiting = false
		}
	}
	v, ok := p.group.View(p.oldPrimary)
	if !ok {
		return nil
	}
	a := r.holdOrDemote(ctx, p.group, v, true, p.term+1)
	switch {
	case a.err != nil:
	case isInLaterTerm(a.status, p.term+1):
		return r.recordLaterTerm(ctx, p.group, a.id, a.status)
	case !p.received.Covers(a.received):
		return classifier.New(classifier.Conflict, "primary %s has led again since its demotion", a.id)
	}
	return nil
}
