package performer

import (
	"context"
	"time"

	"parsleyscale/internal/backend/allotter"
	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/group/registrar"
	"parsleyscale/internal/session/tokenizer"
	"parsleyscale/internal/sheet/cataloger"
	"parsleyscale/internal/statement/carrier"
)

// Transaction is a client transaction. It acquires a connection with its first
// statement and holds it until it ends. It must not be used concurrently.
type Transaction struct {
	performer          *Performer
	group              *registrar.Group
	route              cataloger.Route
	isReadOnly         bool
	lease              *allotter.Lease // nil until the first statement has run, and after the end
	hasWritten         bool
	hasFailed          bool
	hasUnreportedAbort bool // Abort was called, and the client has not been told yet
	beginRequest       Request
}

// Begin returns a new transaction and sends nothing yet. A read-only transaction may run on a replica.
func (p *Performer) Begin(r Request, isReadOnly bool) *Transaction {
	return &Transaction{performer: p, group: p.cfg.Groups.Group(r.Route.Group), route: r.Route, isReadOnly: isReadOnly, beginRequest: r}
}

// HasFailed reports whether the transaction has failed, so that only its end is accepted.
func (t *Transaction) HasFailed() bool { return t.hasFailed }

// Route returns the route that was in force when the transaction began.
func (t *Transaction) Route() cataloger.Route { return t.route }

// Abort rolls the transaction back. The next statement of the client is refused with the reason.
func (t *Transaction) Abort() {
	t.hasFailed = true
	t.hasUnreportedAbort = true
	t.Rollback()
}

// Refuse marks the transaction as failed because its first statement was refused before it was sent. It returns the reply.
func (t *Transaction) Refuse(r carrier.Reply) carrier.Reply {
	t.hasFailed = true
	return r.WithState(carrier.Failed)
}

// State returns the transaction state to report to the client.
func (t *Transaction) State() carrier.State {
	if t.hasFailed {
		return carrier.Failed
	}
	return carrier.InTransaction
}

// Run executes a read or a write in the transaction.
func (t *Transaction) Run(ctx context.Context, r Request) carrier.Reply {
	if t.hasUnreportedAbort {
		t.hasUnreportedAbort = false
		return carrier.ErrorReply(classifier.NotRun, "transaction was idle for too long and has been rolled back").WithState(carrier.Failed)
	}
	if t.hasFailed {
		return carrier.ErrorReply(classifier.BadMessage, "transaction has failed, only its commit or rollback is accepted").WithState(carrier.Failed)
	}
	deadline := r.ArrivedAt.Add(r.Timeout())
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	var reply carrier.Reply
	if t.lease == nil {
		reply = t.runFirst(ctx, r, deadline)
	} else {
		reply = t.runNext(r, deadline)
	}
	if !reply.OK() {
		return t.fail(reply)
	}
	if r.IsWrite() {
		t.hasWritten = true
	}
	return reply.WithState(carrier.InTransaction)
}

// fail marks the transaction as failed and discards its connection. Its commit was not
// sent, so nothing is kept; error kinds that do not imply this become NotRun.
func (t *Transaction) fail(r carrier.Reply) carrier.Reply {
	t.hasFailed = true
	t.discard()
	switch r.Kind {
	case classifier.StatementFailed, classifier.StatementTimeout, classifier.OutcomeUnknown, classifier.UnknownStatement, classifier.ReplicaBehind:
		r = carrier.ErrorReply(classifier.NotRun, string(r.Kind)+" "+r.Detail)
	}
	return r.WithState(carrier.Failed)
}

// discard closes the connection, so that the instance rolls the transaction back.
func (t *Transaction) discard() {
	if t.lease != nil {
		t.lease.Discard()
		t.lease = nil
	}
}

// runFirst acquires a connection, begins the transaction on the instance and executes the first
// statement. It may try several instances, since nothing is kept before a commit.
func (t *Transaction) runFirst(ctx context.Context, r Request, deadline time.Time) carrier.Reply {
	e := t.performer.newExecution(r)
	needsPrimary := !t.isReadOnly || t.route.ReadKind == cataloger.Current
	if !needsPrimary {
		e.request.ArrivedClock = t.beginRequest.ArrivedClock
		if !e.setFloor(ctx) {
			return e.refuse(classifier.StaleBound, textNoFloor)
		}
	}
	for {
		v, ok := t.chooseInstance(ctx, e, needsPrimary)
		if !ok {
			return e.refuse(classifier.NoPrimary, "no instance is available for the transaction")
		}
		if reply, isFinal := t.runFirstOn(ctx, e, v, needsPrimary, deadline); isFinal {
			return reply
		}
		e.tried = append(e.tried, v.ID)
		if needsPrimary && (e.acquireErr != nil || !e.backOff(ctx)) || ctx.Err() != nil {
			return e.refuse(classifier.Overloaded, "no instance accepted the transaction in time")
		}
	}
}

func (t *Transaction) chooseInstance(ctx context.Context, e *execution, needsPrimary bool) (registrar.View, bool) {
	if needsPrimary {
		return e.awaitPrimary(ctx)
	}
	for {
		if list := e.candidates(); len(list) > 0 {
			return list[0].View, true
		}
		e.tried = e.tried[:0]
		if e.acquireErr != nil || !e.backOff(ctx) {
			return registrar.View{}, false
		}
	}
}

// runFirstOn begins the transaction on one instance and executes its first statement there. It
// returns false if the transaction may begin on another instance. The statement is sent only
// once the begin has been accepted: after a refused begin it would run outside a transaction.
func (t *Transaction) runFirstOn(ctx context.Context, e *execution, v registrar.View, needsPrimary bool, deadline time.Time) (carrier.Reply, bool) {
	lease, err := e.acquire(ctx, v)
	if err != nil {
		return carrier.Reply{}, false
	}
	e.attempts++
	e.group.RecordReadSent(v.ID)
	u := e.urgency(lease)
	begin := carrier.Command{Statement: carrier.Internal(carrier.Begin), Urgency: u}
	if !needsPrimary {
		begin = carrier.Command{Statement: carrier.Internal(carrier.BeginRead), Urgency: u, After: e.floor}
	}
	var lead leadCheck
	if needsPrimary {
		lead = t.performer.startLeadCheck(e.group, v.ID)
	}
	sentAt, start := e.group.Now(), time.Now()
	lease.Conn().SetDeadline(earlier(deadline, start.Add(replyTimeout(v)+u.Wait)))
	replies, outstanding, err := lease.ExchangeInSession(e.request.SessionValues, e.request.Prepared, begin)
	if err != nil {
		e.handleLostBegin(lease, err, outstanding)
		return carrier.Reply{}, false
	}
	beginReply := replies[0]
	if needsPrimary {
		t.performer.recordBeginReply(e.group, v.ID, sentAt, beginReply)
	}
	recordReply(e.group, v.ID, beginReply, 0)
	if !beginReply.OK() {
		return t.handleRefusedStart(e, lease, v, beginReply)
	}
	lease.Conn().SetDeadline(deadline)
	replies, err = lease.Exchange(carrier.Command{Statement: e.request.Statement})
	if err != nil {
		e.handleLostBegin(lease, err, 1)
		return carrier.Reply{}, false
	}
	if isRefusal(replies[0]) {
		return t.handleRefusedStart(e, lease, v, replies[0])
	}
	if needsPrimary && e.awaitLead(ctx, lead, sentAt, beginReply.Position) != nil {
		t.performer.rollback(e.group, lease)
		return carrier.Reply{}, false
	}
	recordReply(e.group, v.ID, replies[0], time.Since(start))
	e.report(EventServed, v.ID, replies[0].Kind)
	t.lease = lease
	lease.MarkIdleInTx()
	return replies[0], true
}

// handleRefusedStart records that an instance refused the begin or the first statement, and ends the lease.
func (t *Transaction) handleRefusedStart(e *execution, lease *allotter.Lease, v registrar.View, r carrier.Reply) (carrier.Reply, bool) {
	e.recordRefusal(v, r.Kind)
	if r.State == carrier.Idle {
		releaseOrDiscard(lease, r)
	} else {
		t.performer.rollback(e.group, lease)
	}
	return carrier.Reply{}, false
}

// isRefusal reports whether an instance refused a statement, which may then run elsewhere.
func isRefusal(r carrier.Reply) bool {
	switch r.Kind {
	case classifier.Overloaded, classifier.NotPrimary, classifier.ReplicaBehind, classifier.UnknownStatement, classifier.NoInstance:
		return true
	}
	return false
}

// rollback sends a rollback on a connection. The reply is awaited in the background, after which
// the connection is released.
func (p *Performer) rollback(g *registrar.Group, lease *allotter.Lease) {
	lease.MarkActive()
	lease.Conn().SetDeadline(time.Now().Add(rollbackTimeout))
	if lease.Conn().Send(carrier.Command{Statement: carrier.Internal(carrier.Rollback)}) != nil {
		p.discardFailed(g, lease)
		return
	}
	go func() {
		r, err := lease.Conn().Receive()
		if err != nil {
			p.discardFailed(g, lease)
			return
		}
		releaseOrDiscard(lease, r)
	}()
}

// runNext executes a statement after the first, on the connection that the transaction holds.
func (t *Transaction) runNext(r Request, deadline time.Time) carrier.Reply {
	t.lease.MarkActive()
	defer t.lease.MarkIdleInTx()
	id := t.lease.Target().Instance
	start := time.Now()
	t.lease.Conn().SetDeadline(deadline)
	replies, _, err := t.lease.ExchangeInSession(r.SessionValues, r.Prepared, carrier.Command{Statement: r.Statement})
	if err != nil {
		t.group.RecordFailure(id)
		return carrier.ErrorReply(classifier.NotRun, "no reply from "+id+"; the transaction is rolled back")
	}
	reply := replies[0]
	recordReply(t.group, id, reply, time.Since(start))
	if reply.Kind == classifier.NotPrimary {
		t.group.RecordDenial(id)
	}
	return reply
}

// Commit commits the transaction. It returns the reply and, if the transaction wrote and the
// commit succeeded, the log position of the commit.
func (t *Transaction) Commit(ctx context.Context, r Request) (carrier.Reply, tokenizer.Position) {
	if t.hasFailed {
		return carrier.ErrorReply(classifier.NotRun, "transaction failed before the commit and has been rolled back"), tokenizer.Position{}
	}
	deadline := r.ArrivedAt.Add(r.Timeout())
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	if t.lease == nil {
		return t.commitEmpty(ctx, r, deadline), tokenizer.Position{}
	}
	lease, id := t.lease, t.lease.Target().Instance
	t.lease = nil
	lease.MarkActive()
	sentAt := t.group.Now()
	lease.Conn().SetDeadline(deadline.Add(writeReplyGrace))
	replies, _, err := lease.ExchangeInSession(r.SessionValues, nil, carrier.Command{Statement: r.Statement})
	if err != nil {
		t.performer.discardFailed(t.group, lease)
		if lease.HasUnknownState() {
			return carrier.ErrorReply(classifier.NotRun, "no reply to what goes ahead of the commit from "+id), tokenizer.Position{}
		}
		return t.handleLostCommit(r, id), tokenizer.Position{}
	}
	releaseOrDiscard(lease, replies[0])
	recordReply(t.group, id, replies[0], 0)
	reply := replies[0]
	if !t.isReadOnly && (t.hasWritten || !reply.OK()) {
		reply = t.performer.recordCommitReply(t.group, id, sentAt, reply, t.route.SyncReplicas)
	}
	if reply.Kind == classifier.OutcomeUnknown {
		t.reportUnknown(r, id)
	}
	return t.handleCommitReply(reply)
}

// handleCommitReply records the reply to a commit. A failed commit of a transaction that wrote
// nothing is reported as NotRun.
func (t *Transaction) handleCommitReply(r carrier.Reply) (carrier.Reply, tokenizer.Position) {
	switch {
	case r.OK() && t.hasWritten:
		t.group.RecordAnsweredWrite()
		return r.WithState(carrier.Idle), r.Position
	case r.Kind == classifier.StatementTimeout && t.hasWritten:
		t.group.RecordUnansweredWrite()
	case !t.hasWritten && (r.Kind == classifier.StatementFailed || r.Kind == classifier.StatementTimeout):
		r = carrier.ErrorReply(classifier.NotRun, string(r.Kind)+" "+r.Detail)
	}
	return r.WithState(carrier.Idle), tokenizer.Position{}
}

// handleLostCommit returns the reply for a commit that the instance did not answer. The outcome
// is unknown only if the transaction wrote.
func (t *Transaction) handleLostCommit(r Request, id string) carrier.Reply {
	if !t.hasWritten {
		return carrier.ErrorReply(classifier.NotRun, "no reply to the commit from "+id+"; the transaction wrote nothing")
	}
	t.group.RecordUnansweredWrite()
	t.reportUnknown(r, id)
	return carrier.ErrorReply(classifier.OutcomeUnknown, "no reply to the commit from "+id)
}

// reportUnknown reports that the outcome of the commit on an instance is unknown.
func (t *Transaction) reportUnknown(r Request, id string) {
	t.performer.cfg.Observe(Event{Name: EventUnknown, ID: r.Statement.ID, Group: t.group.Name(), Instance: id, Kind: classifier.OutcomeUnknown, Took: time.Since(r.ArrivedAt)})
}

// commitEmpty commits a transaction without statements. It begins it on an instance and sends the
// commit as its first statement, since the reply to a commit must come from an instance.
func (t *Transaction) commitEmpty(ctx context.Context, r Request, deadline time.Time) carrier.Reply {
	reply := t.runFirst(ctx, r, deadline)
	if t.lease != nil {
		t.lease.MarkActive()
		releaseOrDiscard(t.lease, reply)
		t.lease = nil
	}
	return reply.WithState(carrier.Idle)
}

// Rollback ends the transaction and keeps nothing. It does not wait for the instance's reply.
func (t *Transaction) Rollback() {
	if t.lease == nil {
		return
	}
	t.performer.rollback(t.group, t.lease)
	t.lease = nil
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
