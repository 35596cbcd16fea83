package performer

import (
	"context"
	"errors"
	"os"
	"time"

	"parsleyscale/internal/backend/allotter"
	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/group/registrar"
	"parsleyscale/internal/sheet/cataloger"
	"parsleyscale/internal/statement/carrier"
)

// Read executes a read outside a transaction.
func (p *Performer) Read(ctx context.Context, r Request) carrier.Reply {
	ctx, cancel := context.WithDeadline(ctx, r.ArrivedAt.Add(r.Timeout()))
	defer cancel()
	p.cfg.RetryBudget.RecordRequest()
	e := p.newExecution(r)
	if r.Route.ReadKind == cataloger.Current {
		return e.readFromPrimary(ctx)
	}
	if !e.setFloor(ctx) {
		return e.refuse(classifier.StaleBound, textNoFloor)
	}
	return e.readAtFloor(ctx)
}

// readFromPrimary executes a read of the current state on the primary.
func (e *execution) readFromPrimary(ctx context.Context) carrier.Reply {
	for {
		v, ok := e.awaitPrimary(ctx)
		if !ok {
			return e.refuse(classifier.NoPrimary, textNoPrimary)
		}
		reply, isFinal := e.readFrom(ctx, v, true)
		if isFinal {
			return reply
		}
		e.lastReply = reply
		if e.acquireErr != nil || !e.backOff(ctx) {
			return e.refuse(classifier.Overloaded, textPrimaryReadNot)
		}
	}
}

// readAtFloor executes a read on any instance that has applied the floor of the read.
func (e *execution) readAtFloor(ctx context.Context) carrier.Reply {
	for {
		list := e.candidates()
		if len(list) == 0 {
			e.tried = e.tried[:0]
			if e.acquireErr != nil || !e.backOff(ctx) {
				return e.refuse(classifier.Overloaded, textReadNotServed)
			}
			continue
		}
		v := list[0].View
		reply, isFinal := e.readFrom(ctx, v, false)
		if isFinal {
			return reply
		}
		e.lastReply = reply
		e.tried = append(e.tried, v.ID)
		if ctx.Err() != nil {
			return e.refuse(classifier.Overloaded, textReadNotServed)
		}
	}
}

// readFrom executes the read on one instance, with needsPrimary in a transaction that only a
// primary opens. It returns false if the read may be tried again.
func (e *execution) readFrom(ctx context.Context, v registrar.View, needsPrimary bool) (carrier.Reply, bool) {
	lease, err := e.acquire(ctx, v)
	if err != nil {
		return carrier.ErrorReplyFor(err), false
	}
	e.attempts++
	e.group.RecordReadSent(v.ID)
	var lead leadCheck
	if needsPrimary {
		lead = e.performer.startLeadCheck(e.group, v.ID)
	}
	sentAt, readIndex, u := e.group.Now(), 0, e.urgency(lease)
	cmds := []carrier.Command{{Statement: e.request.Statement, Urgency: u, After: e.floor}}
	if needsPrimary {
		cmds = []carrier.Command{{Statement: carrier.Internal(carrier.Begin), Urgency: u}, {Statement: e.request.Statement}, {Statement: carrier.Internal(carrier.Rollback)}}
		readIndex = 1
	}
	start := time.Now()
	lease.Conn().SetDeadline(start.Add(replyTimeout(v) + u.Wait))
	replies, outstanding, err := lease.ExchangeInSession(e.request.SessionValues, e.request.Prepared, cmds...)
	if err != nil {
		e.handleLostReplies(lease, err, outstanding)
		return carrier.ErrorReply(classifier.Overloaded, "no reply from "+v.ID), false
	}
	reply := replies[readIndex]
	releaseOrDiscard(lease, replies[len(replies)-1])
	if needsPrimary {
		begin := replies[readIndex-1]
		e.performer.recordBeginReply(e.group, v.ID, sentAt, begin)
		if !begin.OK() {
			return begin, false
		}
		if err := e.awaitLead(ctx, lead, sentAt, begin.Position); err != nil {
			return carrier.ErrorReplyFor(err), false
		}
	}
	recordReply(e.group, v.ID, reply, time.Since(start))
	e.replyPosition = reply.Position
	return reply.WithState(carrier.Idle), e.handleReadReply(v, reply)
}

// handleReadReply records the reply to a read and reports whether it is final.
func (e *execution) handleReadReply(v registrar.View, r carrier.Reply) bool {
	switch r.Kind {
	case "":
		e.report(EventServed, v.ID, "")
		return true
	case classifier.ReplicaBehind, classifier.Overloaded, classifier.NotPrimary, classifier.UnknownStatement, classifier.NoInstance:
		e.recordRefusal(v, r.Kind)
		return false
	case classifier.StatementFailed:
		e.report(EventRetried, v.ID, r.Kind)
		return !e.performer.cfg.RetryBudget.AllowRetry()
	}
	e.report(EventRefused, v.ID, r.Kind)
	return true
}

// handleLostReplies handles a connection on which replies did not arrive. A connection that timed
// out is kept open for a while, since closing it would abort the work of an instance that is only slow.
func (e *execution) handleLostReplies(lease *allotter.Lease, err error, outstanding int) {
	e.report(EventRetried, lease.Target().Instance, classifier.AnswerIncomplete)
	e.group.RecordFailure(lease.Target().Instance)
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		lease.Discard()
		return
	}
	go e.awaitLateReplies(lease, outstanding)
}

// handleLostBegin handles a connection on which the reply to a begin, or to the first statement
// after it, did not arrive. Its transaction may be open, so the connection must not be reused:
// one reply more than outstanding is awaited, so that awaitLateReplies times out and discards it.
func (e *execution) handleLostBegin(lease *allotter.Lease, err error, outstanding int) {
	e.handleLostReplies(lease, err, outstanding+1)
}

// awaitLateReplies waits for the outstanding replies on a connection and then releases it. It
// discards the connection if they do not arrive within lateReplyTimeout.
func (e *execution) awaitLateReplies(lease *allotter.Lease, outstanding int) {
	lease.Conn().SetDeadline(time.Now().Add(lateReplyTimeout))
	var last carrier.Reply
	for range outstanding {
		r, err := lease.Conn().Receive()
		if err != nil {
			lease.Discard()
			return
		}
		last = r
	}
	recordReply(e.group, lease.Target().Instance, last, 0)
	releaseOrDiscard(lease, last)
}
