package executor

import (
	"context"
	"errors"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"parsleyscale/internal/backend/pooler"
	"parsleyscale/internal/clock/sleeper"
	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/group/sampler"
	"parsleyscale/internal/request/admitter"
	"parsleyscale/internal/request/exchanger"
	"parsleyscale/internal/request/router"
	"parsleyscale/internal/session/tokenizer"
	"parsleyscale/internal/sheet/parser"
)

// retryBudgetPause is the interval at which a write checks an exhausted retry budget.
const retryBudgetPause = 100 * time.Millisecond

// unit is the state of one execution of a unit of work. Values are pooled to save allocations.
type unit struct {
	executor    *Executor
	request     exchanger.Request
	stream      exchanger.Stream
	arrivedAt   time.Time // a confirmed view must not be from a round that started earlier
	clientBatch batch
	buffered    responseBuffer

	// Route of the current attempt.
	excluded []string // instances that failed and that reads must avoid
	query    router.Query
	priority admitter.Priority
	view     sampler.View // from which the route was chosen
	instance parser.Instance
	role     string
	reason   router.Reason

	// Connection of the current attempt, nil when there is none.
	conn            *pooler.Conn
	ticket          admitter.Ticket
	writeGateBegun  bool      // WriteGate.Begin was called
	sessionModified bool      // the database session has settings or objects that the next user of the connection must not see
	readDeadline    time.Time // read deadline of the connection

	// Response to the current batch.
	streaming       bool               // messages go to the client without buffering
	responseStarted bool               // the client may have received part of it
	errorReceived   bool               // the instance sent an ErrorResponse
	txStatus        byte               // of the last ReadyForQuery
	commandTag      string             // of the last CommandComplete, "" before it
	commitPosition  tokenizer.Position // of the last commit
	readyForQuery   pgproto3.ReadyForQuery

	floor              tokenizer.Position // position that later reads of the session must see
	attempt            int                // number of failed attempts
	keyAttempted       bool               // an attempt with the request key was made
	keyMayBeCommitted  bool               // the request key may have been committed, or its commit may be in progress
	keyInTransaction   bool               // the client's transaction inserted the request key
	responseTooLarge   bool               // the response exceeds maxStoredResponseBytes
	laterBatch         bool               // the current batch is not the first one of the unit
	resolving          bool               // resolveOutcome is running
	partialBatch       bool               // the exchange covers part of a batch and ends without ReadyForQuery
	primaryWaits       int                // number of calls of awaitPrimary
	retryCharged       bool               // the next attempt has already been charged to the retry budget
	waitsUntilDeadline bool               // this attempt is not abandoned when the instance sends nothing
	unlockKey          func()             // releases the request key on this gateway, nil when it is not locked
	key                requestKey
}

func newUnit() *unit { return &unit{} }

func (u *unit) reset(e *Executor, r exchanger.Request, s exchanger.Stream) {
	clientBatch, buffered, excluded := u.clientBatch, u.buffered, u.excluded[:0]
	*u = unit{executor: e, request: r, stream: s, clientBatch: clientBatch, buffered: buffered, excluded: excluded, arrivedAt: time.Now(), floor: r.Floor}
	u.clientBatch.reset()
	u.buffered.reset()
}

func (u *unit) isRead() bool { return u.request.Class.IsRead() }

// resetResponse prepares for the response to a batch.
func (u *unit) resetResponse() {
	u.buffered.reset()
	u.streaming, u.responseStarted, u.errorReceived, u.waitsUntilDeadline = false, false, false, false
	u.txStatus, u.commandTag, u.commitPosition = 0, "", tokenizer.Position{}
}

// releaseConn returns the connection to the pool, or closes it if its session state was modified. The last
// ReadyForQuery on it must have had status 'I'.
func (u *unit) releaseConn() {
	if u.conn == nil {
		return
	}
	if u.sessionModified {
		u.conn.Discard()
	} else {
		u.conn.Release()
	}
	u.detachConn()
}

// discardConn closes a connection whose state is unknown. If cancelStatement is
// set, it also cancels the statement that may still run on the instance, so that
// the statement does not occupy a slot and hold locks.
func (u *unit) discardConn(cancelStatement bool) {
	if u.conn == nil {
		return
	}
	if cancelStatement {
		u.conn.Cancel()
	} else {
		u.conn.Discard()
	}
	u.detachConn()
}

// detachConn forgets the connection and ends the admission of the attempt.
func (u *unit) detachConn() {
	u.conn = nil
	u.sessionModified = false
	u.ticket.Done()
}

// beginWrite tells the WriteGate that a write of the unit is running. It has no effect if that was done already.
func (u *unit) beginWrite() {
	if !u.writeGateBegun {
		u.writeGateBegun = true
		u.executor.cfg.WriteGate.Begin()
	}
}

// endWrite reverses beginWrite.
func (u *unit) endWrite() {
	if u.writeGateBegun {
		u.writeGateBegun = false
		u.executor.cfg.WriteGate.End()
	}
}

// cleanUp releases all resources of the unit, whatever its state.
func (u *unit) cleanUp() {
	u.discardConn(false)
	u.endWrite()
	if u.unlockKey != nil {
		u.unlockKey()
	}
}

// drainBatch receives and drops the rest of the client's batch, whose response is an error.
func (u *unit) drainBatch() {
	for !u.clientBatch.complete && !u.clientBatch.clientGone {
		m, err := u.stream.Receive()
		if err != nil {
			return
		}
		switch m.(type) {
		case *pgproto3.Query, *pgproto3.Sync:
			return
		}
	}
}

// failAttempt ends a failed attempt. If the connection failed, it reports that to the sampler and excludes the instance
// from further attempts of a read. It does neither if the client or the deadline ended the unit.
func (u *unit) failAttempt(ctx context.Context, err error) {
	unitEnded := failureKindOf(err) == failureClientGone || ctx.Err() != nil
	u.discardConn(unitEnded || isTimeout(err))
	u.endWrite()
	var attempt *attemptError
	if unitEnded || !errors.As(err, &attempt) {
		return
	}
	if attempt.kind == failureRefused && !u.isRead() {
		return // a refused write means that the instance is fenced, not that it failed
	}
	if attempt.kind != failureRefused {
		u.executor.cfg.Sampler.ReportConnectionFailure(u.instance.Name, err)
	}
	u.excluded = append(u.excluded, u.instance.Name)
}

// retryRead reports whether the retry budget and the deadline allow another attempt.
func (u *unit) retryRead(ctx context.Context) bool {
	u.attempt++
	return u.spendRetry() && ctx.Err() == nil
}

// spendRetry charges an attempt to the retry budget, unless that was done already, and reports whether it is allowed.
func (u *unit) spendRetry() bool {
	charged := u.retryCharged
	u.retryCharged, u.waitsUntilDeadline = false, false
	return charged || u.executor.cfg.Budget.AllowRetry()
}

// retryWrite waits for the retry budget and, unless nothing was sent, for a new
// primary, since the failed one may be about to be replaced. It reports whether
// there is time for another attempt.
func (u *unit) retryWrite(ctx context.Context, err error) bool {
	u.attempt++
	for !u.spendRetry() {
		if !sleeper.Sleep(ctx, retryBudgetPause) {
			return false
		}
	}
	var attempt *attemptError
	if errors.As(err, &attempt) && attempt.kind != failureNotSent {
		u.awaitPrimary(ctx)
	}
	return ctx.Err() == nil
}

// sendResponse sends the buffered messages and ReadyForQuery to the client.
func (u *unit) sendResponse() error {
	err := u.buffered.sendTo(u.stream)
	if err == nil {
		u.readyForQuery.TxStatus = u.txStatus
		err = u.stream.Send(&u.readyForQuery)
	}
	if err == nil {
		err = u.stream.Flush()
	}
	switch {
	case err == nil:
		return nil
	case !u.commitPosition.IsZero():
		return outcomeUnknownError(err)
	}
	return classifier.Wrap(classifier.Canceled, err, "client disconnected before the end of the response")
}
