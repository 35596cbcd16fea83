package executor

import (
	"context"
	"errors"
	"fmt"

	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/request/exchanger"
)

// runRead runs the first batch of a read. It retries on another instance if one fails before the client has received
// any part of the response.
func (u *unit) runRead(ctx context.Context) error {
	if err := u.prepareRead(ctx); err != nil {
		return err
	}
	for {
		if err := u.acquireConn(ctx); err != nil {
			return err
		}
		err := u.exchangeBatch(ctx)
		if err == nil {
			return u.finishBatch(ctx)
		}
		u.failAttempt(ctx, err)
		if err := u.readError(ctx, err); err != nil {
			return err
		}
		if !u.retryRead(ctx) {
			return classifier.Wrap(classifier.NoInstance, err, "read failed after %d attempts, last on %s", u.attempt, u.instance.Name)
		}
	}
}

// readError returns the error for the client of a failed read, or nil if the read may be retried.
func (u *unit) readError(ctx context.Context, err error) error {
	switch {
	case failureKindOf(err) == failureClientGone:
		return classifier.Wrap(classifier.Canceled, err, "read canceled by its client")
	case u.responseStarted:
		return classifier.Wrap(classifier.AnswerIncomplete, err, "read failed after part of the response was sent")
	}
	return contextError(ctx, err)
}

// runWrite runs the first batch of a write or a transaction without a key.
func (u *unit) runWrite(ctx context.Context) error {
	u.prepareWrite()
	for {
		if err := u.acquireConn(ctx); err != nil {
			return err
		}
		err := u.exchangeBatch(ctx)
		if err == nil {
			return u.finishBatch(ctx)
		}
		u.failAttempt(ctx, err)
		if err := u.writeError(ctx, err); err != nil {
			return err
		}
		if !u.retryWrite(ctx, err) {
			return notRunError(err)
		}
	}
}

// writeError returns the error for the client of a failed write, or nil if the
// write certainly had no effect and may be retried.
func (u *unit) writeError(ctx context.Context, err error) error {
	var attempt *attemptError
	switch {
	case !errors.As(err, &attempt):
		return err
	case attempt.kind != failureNotSent && attempt.kind != failureRefused && u.mayHaveCommitted():
		return outcomeUnknownError(err)
	case ctx.Err() != nil:
		return contextError(ctx, err)
	case attempt.kind == failureClientGone:
		return classifier.Wrap(classifier.Canceled, err, "write canceled by its client")
	case u.responseStarted:
		return notRunError(err)
	}
	return nil
}

// mayHaveCommitted reports whether the batch may have committed, provided that it was sent.
func (u *unit) mayHaveCommitted() bool {
	return u.clientBatch.mayCommit || u.request.Class == exchanger.Write && u.clientBatch.hasExecute
}

// runLaterBatches runs the batches of a transaction after the first one.
func (u *unit) runLaterBatches(ctx context.Context) error {
	for u.txStatus != 'I' {
		u.laterBatch = true
		if err := u.receiveNextBatch(ctx); err != nil {
			return err
		}
		if err := u.runLaterBatch(ctx); err != nil {
			return err
		}
	}
	return nil
}

// receiveNextBatch receives the next batch of a transaction. If ctx ends or the
// client is idle for too long, it closes the connection, so that the instance
// rolls back at once, even though Receive may return only later.
func (u *unit) receiveNextBatch(ctx context.Context) error {
	idleCtx, cancel := context.WithTimeout(ctx, u.executor.cfg.IdleInTransaction)
	defer cancel()
	stop := context.AfterFunc(idleCtx, u.conn.Abort)
	u.clientBatch.reset()
	err := u.clientBatch.receive(u.stream, false)
	switch {
	case stop() || err != nil:
		return err
	case ctx.Err() != nil:
		return contextError(ctx, ctx.Err())
	}
	return notRunError(fmt.Errorf("transaction rolled back: no complete batch arrived from the client within %s", u.executor.cfg.IdleInTransaction))
}

func (u *unit) runLaterBatch(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, u.request.Timeout)
	defer cancel()
	err := u.exchangeLaterBatch(ctx)
	if err == nil {
		err = u.finishBatch(ctx)
		if err == nil || !u.keyInTransaction || u.commitPosition.IsZero() || classifier.Is(err, classifier.Canceled) {
			return err
		}
		u.keyMayBeCommitted = true
		return u.resolveOutcome(ctx, err)
	}
	u.failAttempt(ctx, err)
	if u.keyInTransaction && failureKindOf(err) != failureClientGone {
		u.keyMayBeCommitted = u.isCommitAmbiguous(err)
		return u.resolveOutcome(ctx, err)
	}
	return u.batchError(err)
}

// exchangeLaterBatch runs the current batch. In a transaction with a key it leaves time for resolving the outcome of
// the commit.
func (u *unit) exchangeLaterBatch(ctx context.Context) error {
	if !u.keyInTransaction {
		return u.exchangeBatch(ctx)
	}
	workCtx, cancel := u.withResolutionReserve(ctx)
	defer cancel()
	return u.exchangeBatch(workCtx)
}

// isCommitAmbiguous reports whether a batch of a transaction that failed with err may have committed.
func (u *unit) isCommitAmbiguous(err error) bool {
	kind := failureKindOf(err)
	return u.clientBatch.mayCommit && kind != failureNotSent && kind != failureRefused
}

// batchError returns the error for the client of a failed batch of a transaction.
func (u *unit) batchError(err error) error {
	switch {
	case u.isCommitAmbiguous(err):
		return outcomeUnknownError(err)
	case failureKindOf(err) == failureClientGone:
		return classifier.Wrap(classifier.Canceled, err, "transaction canceled by its client")
	case u.isRead() && u.responseStarted:
		return classifier.Wrap(classifier.AnswerIncomplete, err, "read-only transaction failed after part of the response was sent")
	}
	return notRunError(err)
}

// finishBatch ends a batch whose response is complete: it confirms the outcome
// and sends the rest of the response. Outside a transaction it first releases
// the connection, which the confirmation does not need.
func (u *unit) finishBatch(ctx context.Context) error {
	if u.txStatus == 'I' {
		u.releaseConn()
	}
	if err := u.confirmOutcome(ctx); err != nil {
		return err
	}
	return u.sendResponse()
}

// confirmOutcome waits until the commit of the batch is confirmed. The response
// to a write that committed nothing rests on what it read, so for such a write
// it confirms that the instance is still the primary.
func (u *unit) confirmOutcome(ctx context.Context) error {
	if !u.commitPosition.IsZero() {
		return u.confirmCommit(ctx)
	}
	if u.isRead() || u.txStatus != 'I' || u.errorReceived || !u.clientBatch.hasExecute || u.commandTag == "ROLLBACK" {
		return nil
	}
	p, err := u.confirmedPosition(ctx)
	if err != nil {
		return notRunError(err)
	}
	u.floor = u.floor.Max(p)
	return nil
}

// confirmCommit waits until a majority holds the last commit, if there was one.
func (u *unit) confirmCommit(ctx context.Context) error {
	if u.commitPosition.IsZero() {
		return nil
	}
	err := u.executor.cfg.Sampler.Confirm(ctx, u.commitPosition)
	switch {
	case err == nil:
		u.floor = u.floor.Max(u.commitPosition)
		return nil
	case classifier.Is(err, classifier.PrimaryReplaced):
		return err
	}
	return outcomeUnknownError(err)
}
