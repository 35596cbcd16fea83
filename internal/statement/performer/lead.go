package performer

import (
	"context"
	"time"

	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/group/registrar"
	"parsleyscale/internal/group/verifier"
	"parsleyscale/internal/session/tokenizer"
)

// leadCheck verifies that a primary, which accepts a begin sent after the start of the check, led at that start. The
// verification runs while the begin is on its way. The zero value relies on the begin alone.
type leadCheck struct {
	group    *registrar.Group
	instance string
	round    *verifier.Round
}

func (p *Performer) startLeadCheck(g *registrar.Group, instance string) leadCheck {
	if p.verifier == nil {
		return leadCheck{}
	}
	return leadCheck{group: g, instance: instance, round: p.verifier.Start(g, instance)}
}

// wait returns nil if the primary led. It then records the position that the primary reported in its reply to the begin,
// which was sent at sentAt. The position covers all commits that were acknowledged before both the begin and the round.
func (c leadCheck) wait(ctx context.Context, sentAt time.Duration, reported tokenizer.Position) error {
	if c.round == nil {
		return nil
	}
	startedAt, err := c.round.Wait(ctx)
	if err != nil {
		return err
	}
	if !c.group.RecordProof(registrar.Proof{Instance: c.instance, SentAt: min(sentAt, startedAt), Position: reported}) {
		return classifier.New(classifier.NoPrimary, "%s is not the primary any more: a later term is known", c.instance)
	}
	return nil
}

// awaitLead waits for the check of a primary's lead. If no replica can be reached for it, the request is given up;
// otherwise the primary is probably being replaced, and the next attempt waits for a while.
func (e *execution) awaitLead(ctx context.Context, lead leadCheck, sentAt time.Duration, reported tokenizer.Position) error {
	err := lead.wait(ctx, sentAt, reported)
	switch {
	case err == nil:
		return nil
	case classifier.Is(err, classifier.NoInstance):
		e.acquireErr = err
	default:
		e.hasShed = true
	}
	e.report(EventRetried, lead.instance, classifier.KindOf(err))
	return err
}

// verifyBeforeWrite verifies the lead of a primary that has left writes unanswered, while the lead could not be verified
// lately. A write that is sent to a replaced primary gets no answer, so that its outcome is unknown to the client.
func (e *execution) verifyBeforeWrite(ctx context.Context, instance string) error {
	v := e.performer.verifier
	if v == nil || !v.IsInDoubt(e.group.Name(), instance) || e.group.Health().UnansweredWrites == 0 {
		return nil
	}
	_, err := v.Start(e.group, instance).Wait(ctx)
	if err == nil {
		return nil
	}
	if classifier.Is(err, classifier.NoInstance) {
		e.acquireErr = err
	}
	e.report(EventRetried, instance, classifier.KindOf(err))
	return err
}
