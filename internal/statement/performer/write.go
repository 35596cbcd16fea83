package performer

import (
	"context"
	"time"

	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/group/registrar"
	"parsleyscale/internal/statement/carrier"
)

// Write executes a write outside a transaction on the primary.
func (p *Performer) Write(ctx context.Context, r Request) carrier.Reply {
	deadline := r.ArrivedAt.Add(r.Timeout())
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	e := p.newExecution(r)
	for {
		v, ok := e.awaitPrimary(ctx)
		if !ok {
			return e.refuse(classifier.NoPrimary, textNoPrimary)
		}
		reply, isFinal := e.writeTo(ctx, v, deadline)
		if isFinal {
			return reply
		}
		if e.acquireErr != nil || !e.backOff(ctx) {
			return e.refuse(classifier.Overloaded, textWriteNot)
		}
	}
}

// writeTo executes the write on one instance. It returns false if the write certainly did not run there.
func (e *execution) writeTo(ctx context.Context, v registrar.View, deadline time.Time) (carrier.Reply, bool) {
	if e.verifyBeforeWrite(ctx, v.ID) != nil {
		return carrier.Reply{}, false
	}
	lease, err := e.acquire(ctx, v)
	if err != nil {
		return carrier.Reply{}, false
	}
	e.attempts++
	cmd := carrier.Command{Statement: e.request.Statement, Urgency: e.urgency(lease)}
	sentAt, start := e.group.Now(), time.Now()
	lease.Conn().SetDeadline(deadline.Add(writeReplyGrace))
	replies, _, err := lease.ExchangeInSession(e.request.SessionValues, e.request.Prepared, cmd)
	if err != nil {
		e.performer.discardFailed(e.group, lease)
		if lease.HasUnknownState() {
			return carrier.ErrorReply(classifier.Overloaded, "no reply to what goes ahead of the write from "+v.ID), false
		}
		e.group.RecordUnansweredWrite()
		e.report(EventUnknown, v.ID, classifier.OutcomeUnknown)
		return carrier.ErrorReply(classifier.OutcomeUnknown, "no reply to the write from "+v.ID), true
	}
	reply := replies[0]
	releaseOrDiscard(lease, reply)
	recordReply(e.group, v.ID, reply, time.Since(start))
	reply = e.performer.recordCommitReply(e.group, v.ID, sentAt, reply, e.request.Route.SyncReplicas)
	return reply.WithState(carrier.Idle), e.handleWriteReply(v, reply)
}

// handleWriteReply records the reply to a write and reports whether it is final.
func (e *execution) handleWriteReply(v registrar.View, r carrier.Reply) bool {
	switch r.Kind {
	case "":
		e.group.RecordAnsweredWrite()
		e.report(EventServed, v.ID, "")
		return true
	case classifier.Overloaded, classifier.NotPrimary, classifier.UnknownStatement, classifier.NoInstance:
		e.recordRefusal(v, r.Kind)
		return false
	case classifier.OutcomeUnknown:
		e.report(EventUnknown, v.ID, r.Kind)
		return true
	case classifier.StatementTimeout:
		e.group.RecordUnansweredWrite()
	}
	e.report(EventRefused, v.ID, r.Kind)
	return true
}
