package replacer

import (
	"context"

	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/group/registrar"
	"parsleyscale/internal/statement/carrier"
)

// An instance answers a hold or a demotion with its state, whether or not the command has had an effect. A new primary has a
// position of the term before until its first entry, so the term that it reports counts as well.

// isInLaterTerm reports whether a state shows that the term before nextTerm had ended before the command.
func isInLaterTerm(s carrier.InstanceStatus, nextTerm uint64) bool {
	return max(s.Term, s.Received.Term) >= nextTerm
}

// checkHeld returns an error if the answer to a hold for nextTerm shows that the replica may go on receiving entries.
func checkHeld(id string, s carrier.InstanceStatus, nextTerm uint64) error {
	if s.HoldTerm < nextTerm {
		return classifier.New(classifier.NoInstance, "replica %s is held for term %d, want %d", id, s.HoldTerm, nextTerm)
	}
	return nil
}

// checkDemoted returns an error if the answer to a demotion for nextTerm shows that the instance still acts as the primary.
func checkDemoted(id string, s carrier.InstanceStatus, nextTerm uint64) error {
	if s.IsPrimary {
		return classifier.New(classifier.NoPrimary, "instance %s still acts as the primary of term %d after its demotion for term %d", id, s.Term, nextTerm)
	}
	return nil
}

// recordLaterTerm records the states of all instances, of which s has shown that the term to be replaced had ended before. It
// returns an error of kind conflict.
func (r *Replacer) recordLaterTerm(ctx context.Context, g *registrar.Group, id string, s carrier.InstanceStatus) error {
	g.RecordStatus(id, s)
	statuses, _ := r.statusOfAll(ctx, g)
	for other, status := range statuses {
		g.RecordStatus(other, status)
	}
	return classifier.New(classifier.Conflict, "instance %s is already in the later term %d", id, max(s.Term, s.Received.Term))
}

// checkLeads returns an error if an instance is not known to have led the term of old, and does not say so either. A demotion has
// no effect on an instance that only the registry names as the primary, and its log proves nothing.
func (r *Replacer) checkLeads(ctx context.Context, g *registrar.Group, v registrar.View, old registrar.Primary, status func(context.Context, carrier.Target) (carrier.InstanceStatus, error)) error {
	if id, _ := g.FormerPrimary(old.Term); id == v.ID {
		return nil
	}
	s, err := r.callWithRetry(ctx, v, status)
	switch {
	case err != nil:
		return err
	case isInLaterTerm(s, old.Term+1):
		return r.recordLaterTerm(ctx, g, v.ID, s)
	case s.IsPrimary && s.Term == old.Term:
		g.RecordStatus(v.ID, s)
		return nil
	}
	g.RecordDenial(v.ID)
	return classifier.New(classifier.Conflict, "instance %s does not lead term %d", v.ID, old.Term)
}
