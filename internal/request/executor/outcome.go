package executor

import (
	"context"
	"errors"
	"fmt"

	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/request/exchanger"
)

// runRead runs the first batch of a read, on another instance when one fails before the caller saw anything.
func (u *unit) runRead(ctx context.Context) error {
	if err := u.prepareRead(ctx); err != nil {
		return err
	}
	for {
		if err := u.acquire(ctx); err != nil {
			return err
		}
		err := u.converse(ctx)
		if err == nil {
			return u.finish(ctx)
		}
		u.fail(ctx, err)
		if err := u.readError(ctx, err); err != nil {
			return err
		}
		if !u.retryRead(ctx) {
			return classifier.Wrap(classifier.NoInstance, err, "read failed")
		}
	}
}

// readError returns the answer for a failed read, or nil when it may be repeated.
func (u *unit) readError(ctx context.Context, err error) error {
	switch {
	case faultOf(err) == faultGone:
		return classifier.Wrap(classifier.Canceled, err, "caller is gone")
	case u.passed:
		return classifier.Wrap(classifier.AnswerIncomplete, err, "answer was cut")
	}
	return ended(ctx, err)
}

// runWrite runs the first batch of a write or a transaction without a key.
func (u *unit) runWrite(ctx context.Context) error {
	u.prepareWrite()
	for {
		if err := u.acquire(ctx); err != nil {
			return err
		}
		err := u.converse(ctx)
		if err == nil {
			return u.finish(ctx)
		}
		u.fail(ctx, err)
		if err := u.writeError(ctx, err); err != nil {
			return err
		}
		if !u.retryWrite(ctx, err) {
			return notRun(err)
		}
	}
}

// writeError returns the answer for a failed write, or nil when it certainly
// had no effect and may be repeated.
func (u *unit) writeError(ctx context.Context, err error) error {
	var f *fault
	switch {
	case !errors.As(err, &f):
		return err
	case f.kind != faultNotSent && f.kind != faultRefused && u.mayHaveCommitted():
		return unknownOutcome(err)
	case ctx.Err() != nil:
		return ended(ctx, err)
	case f.kind == faultGone:
		return classifier.Wrap(classifier.Canceled, err, "caller is gone")
	case u.passed:
		return notRun(err)
	}
	return nil
}

// mayHaveCommitted reports whether the batch could commit once it was sent.
func (u *unit) mayHaveCommitted() bool {
	return u.b.commits || u.r.Class == exchanger.Write && u.b.executes
}

// runRest runs the further batches of a transaction.
func (u *unit) runRest(ctx context.Context) error {
	for u.status != 'I' {
		u.rest = true
		if err := u.receiveNext(ctx); err != nil {
			return err
		}
		if err := u.runBatch(ctx); err != nil {
			return err
		}
	}
	return nil
}

// receiveNext receives the next batch of a transaction. When the caller's
// context ends, or the caller is idle too long, the instance rolls back at once
// although Receive may not return yet.
func (u *unit) receiveNext(ctx context.Context) error {
	idle, cancel := context.WithTimeout(ctx, u.e.cfg.IdleInTransaction)
	defer cancel()
	stop := context.AfterFunc(idle, u.conn.Abort)
	u.b.reset()
	err := u.b.receive(u.s, false)
	switch {
	case stop() || err != nil:
		return err
	case ctx.Err() != nil:
		return ended(ctx, ctx.Err())
	}
	return notRun(fmt.Errorf("the transaction was idle for %s and is rolled back", u.e.cfg.IdleInTransaction))
}

func (u *unit) runBatch(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, u.r.Timeout)
	defer cancel()
	err := u.converseBatch(ctx)
	if err == nil {
		err = u.finish(ctx)
		if err == nil || !u.keyed || u.position.IsZero() || classifier.Is(err, classifier.Canceled) {
			return err
		}
		u.ambiguous = true
		return u.resolve(ctx, err)
	}
	u.fail(ctx, err)
	if u.keyed && faultOf(err) != faultGone {
		u.ambiguous = u.isAmbiguous(err)
		return u.resolve(ctx, err)
	}
	return u.batchError(err)
}

// converseBatch leaves time to settle the commit of a transaction with a key.
func (u *unit) converseBatch(ctx context.Context) error {
	if !u.keyed {
		return u.converse(ctx)
	}
	work, cancel := u.withReserve(ctx)
	defer cancel()
	return u.converse(work)
}

// isAmbiguous reports whether a failed batch of a transaction may have committed.
func (u *unit) isAmbiguous(err error) bool {
	k := faultOf(err)
	return u.b.commits && k != faultNotSent && k != faultRefused
}

// batchError returns the answer for a failed batch of a transaction.
func (u *unit) batchError(err error) error {
	switch {
	case u.isAmbiguous(err):
		return unknownOutcome(err)
	case faultOf(err) == faultGone:
		return classifier.Wrap(classifier.Canceled, err, "caller is gone")
	case u.isRead() && u.passed:
		return classifier.Wrap(classifier.AnswerIncomplete, err, "answer was cut")
	}
	return notRun(err)
}

// finish ends a batch whose whole answer is here. The connection goes back
// first, because the confirmation needs none.
func (u *unit) finish(ctx context.Context) error {
	if u.status == 'I' {
		u.putBack()
	}
	if err := u.settle(ctx); err != nil {
		return err
	}
	return u.deliver()
}

// settle waits until the commit of the batch is confirmed. A write that
// committed nothing answers from what it read, so its instance must still be the primary.
func (u *unit) settle(ctx context.Context) error {
	if !u.position.IsZero() {
		return u.confirm(ctx)
	}
	if u.isRead() || u.status != 'I' || u.failed || !u.b.executes || u.tag == "ROLLBACK" {
		return nil
	}
	p, err := u.currentPosition(ctx)
	if err != nil {
		return notRun(err)
	}
	u.floor = u.floor.Max(p)
	return nil
}

// confirm waits until a majority holds the last commit.
func (u *unit) confirm(ctx context.Context) error {
	if u.position.IsZero() {
		return nil
	}
	err := u.e.cfg.Sampler.Confirm(ctx, u.position)
	switch {
	case err == nil:
		u.floor = u.floor.Max(u.position)
		return nil
	case classifier.Is(err, classifier.PrimaryReplaced):
		return err
	}
	return unknownOutcome(err)
}
