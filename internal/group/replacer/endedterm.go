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
	latest := map[string]demotion{} // successful ones, by address
	for ctx.Err() == nil {
		var targets []carrier.Target
		if isKnown {
			targets = append(targets, registrar.NewTarget(v.Instance))
		}
		if l, ok := r.returnedPrimary(p); ok && l.Address != v.Address {
			targets = append(targets, registrar.NewTarget(l.Instance))
		}
		nextAt := time.Now().Add(demoteInterval)
		for _, d := range r.demoteAll(ctx, p, targets, latest) {
			if d.err != nil {
				delete(latest, d.address)
				nextAt = time.Now().Add(demoteRetryDelay)
				continue
			}
			if last, ok := latest[d.address]; !ok || last.status.Received != d.status.Received {
				r.cfg.Observe(Event{Name: EventDemoted, Group: p.group.Name(), Instance: p.oldPrimary, Term: p.term, Command: CommandDemote, Status: d.status})
			}
			latest[d.address] = d
		}
		sleeper.Sleep(ctx, time.Until(nextAt))
	}
}

// demotion is the result of a demotion at an address.
type demotion struct {
	address string
	status  carrier.InstanceStatus
	err     error
}

// demoteAll demotes instances at the same time. It returns the results that arrive within demoteInterval.
func (r *Replacer) demoteAll(ctx context.Context, p promotion, targets []carrier.Target, latest map[string]demotion) []demotion {
	results := make(chan demotion, len(targets))
	for _, t := range targets {
		_, hasAnswered := latest[t.Address]
		r.wg.Go(func() { results <- r.demoteAt(ctx, p, t, hasAnswered) })
	}
	timeout := time.NewTimer(demoteInterval)
	defer timeout.Stop()
	var list []demotion
	for range targets {
		select {
		case d := <-results:
			list = append(list, d)
		case <-timeout.C:
			return list
		case <-ctx.Done():
			return list
		}
	}
	return list
}

// returnedPrimary returns the instance that is known as the primary, unless it leads the next term.
func (r *Replacer) returnedPrimary(p promotion) (registrar.View, bool) {
	l := p.group.Primary()
	if !l.IsKnown() || l.Instance == p.target || l.Term > p.term {
		return registrar.View{}, false
	}
	return p.group.View(l.Instance)
}

// demoteAt demotes the instance at the address of a target, over a pooled connection if it has answered before. Pooled
// connections are not opened for a while after a failed dial.
func (r *Replacer) demoteAt(ctx context.Context, p promotion, t carrier.Target, hasAnswered bool) demotion {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	demote := r.cfg.Controller.Demote
	if r.cfg.DemoteAt != nil && !hasAnswered {
		demote, t.Instance = r.cfg.DemoteAt, ""
	}
	s, err := demote(ctx, t, p.term+1)
	return demotion{t.Address, s, err}
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
