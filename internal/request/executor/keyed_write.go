package executor

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/jackc/pgx/v5/pgproto3"

	"parsleyscale/internal/failure/classifier"
)

// Limits of request keys.
const (
	maxStoredResponseBytes = 64 << 10        // size of the response that is stored with a key
	maxKeyClockSkew        = 5 * time.Minute // how far in the future the timestamp of a key may be
	// The last 1/resolutionReserveDivisor of the timeout, but at most
	// maxResolutionReserve, is reserved for resolving an ambiguous commit.
	resolutionReserveDivisor = 4
	maxResolutionReserve     = 500 * time.Millisecond
)

// transactionFingerprint is the fingerprint of every keyed transaction, because its SQL texts are not yet known when
// its key is inserted.
const transactionFingerprint = "transaction"

// validateKey parses the key of the request, checks its version and age, and sets u.key.
func (u *unit) validateKey(fingerprint string) error {
	id, err := uuid.Parse(u.request.Key)
	if err != nil || id.Version() != 7 || id.Variant() != uuid.RFC4122 {
		return classifier.New(classifier.BadKey, "request key %q is not a UUID version 7", u.request.Key)
	}
	created := time.Unix(id.Time().UnixTime())
	age := time.Since(created)
	if age < -maxKeyClockSkew {
		return classifier.New(classifier.BadKey, "request key %s is %s in the future, more than the allowed %s", id, -age, maxKeyClockSkew)
	}
	if age > u.executor.cfg.KeyRetention {
		return classifier.New(classifier.KeyExpired, "request key %s is %s old, more than the retention of %s", id, age, u.executor.cfg.KeyRetention)
	}
	u.key = requestKey{id: id.String(), created: created, fingerprint: fingerprint}
	return nil
}

func (b *batch) fingerprint() string { return strconv.FormatUint(b.hash.Sum64(), 16) }

// keyLocks lets one unit at a time use a request key on this gateway, so that a
// repeat does not occupy a connection while it waits for the first run.
type keyLocks struct {
	mu       sync.Mutex
	heldKeys map[string]chan struct{} // closed when the key is released
}

// lock waits until no other unit has locked the key, locks it, and returns the function that releases it.
func (l *keyLocks) lock(ctx context.Context, key string) (unlock func(), err error) {
	for {
		l.mu.Lock()
		otherReleased := l.heldKeys[key]
		if otherReleased == nil {
			released := make(chan struct{})
			l.heldKeys[key] = released
			l.mu.Unlock()
			return func() { l.release(key, released) }, nil
		}
		l.mu.Unlock()
		select {
		case <-otherReleased:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func (l *keyLocks) release(key string, released chan struct{}) {
	l.mu.Lock()
	delete(l.heldKeys, key)
	l.mu.Unlock()
	close(released)
}

// lockKey locks the request key on this gateway for the unit. A wait that ends
// without the lock leaves the outcome unknown, because the holder may commit.
func (u *unit) lockKey(ctx context.Context) (err error) {
	u.unlockKey, err = u.executor.requestKeyLocks.lock(ctx, u.key.id)
	if err != nil {
		return outcomeUnknownError(fmt.Errorf("another request with key %s is in progress: %w", u.key.id, err))
	}
	return nil
}

// runKeyedWrite runs a write with a key outside an explicit transaction. It
// retries until the write is known to have committed once or not at all, or the
// time is up.
func (u *unit) runKeyedWrite(ctx context.Context) error {
	if err := u.validateKey(u.clientBatch.fingerprint()); err != nil {
		return err
	}
	if u.clientBatch.controlsTransaction {
		return classifier.New(classifier.Unsupported, "transaction control is not supported in a write with a request key outside a transaction")
	}
	if err := u.lockKey(ctx); err != nil {
		return err
	}
	return u.retryUntilOutcomeKnown(ctx, u.attemptKeyedWrite)
}

// retryUntilOutcomeKnown calls attempt on new connections until it reports done or the time or the retries are used
// up. In the latter case it resolves the outcome of the attempts that were made.
func (u *unit) retryUntilOutcomeKnown(ctx context.Context, attempt func(context.Context) (bool, error)) error {
	u.prepareWrite()
	workCtx, cancel := u.withResolutionReserve(ctx)
	defer cancel()
	for {
		if err := u.acquireConn(workCtx); err != nil {
			return u.resolveIfAttempted(ctx, err)
		}
		u.keyAttempted = true
		done, err := attempt(workCtx)
		if done {
			return err
		}
		u.failAttempt(workCtx, err)
		if classifier.Is(err, classifier.Unsupported) {
			return err
		}
		if !u.retryWrite(workCtx, err) {
			return u.resolveIfAttempted(ctx, err)
		}
	}
}

// withResolutionReserve returns a context that ends early enough to leave time for resolving an ambiguous commit.
func (u *unit) withResolutionReserve(ctx context.Context) (context.Context, context.CancelFunc) {
	d, _ := ctx.Deadline()
	return context.WithDeadline(ctx, d.Add(-min(u.request.Timeout/resolutionReserveDivisor, maxResolutionReserve)))
}

// attemptKeyedWrite makes one attempt. It returns done if the client has its
// response or if err is the response; otherwise err is the reason of the failure.
//
// BEGIN, the insert of the key and the client's batch are sent in one round trip.
// COMMIT is sent only after the insert has succeeded, so the batch has no effect otherwise.
func (u *unit) attemptKeyedWrite(ctx context.Context) (done bool, err error) {
	u.resetResponse()
	u.responseTooLarge = false
	var begin, insert statementResult
	buf := appendQuery(nil, "BEGIN")
	buf = appendQuery(buf, sqlSetIdleTimeout)
	buf = appendQuery(buf, u.key.insertSQL(stateDone))
	err = u.exchange(ctx, append(buf, u.clientBatch.encoded...), begin.handle, u.ignoreLocalSetting, insert.handle, u.captureResponse)
	switch {
	case err != nil:
		// No response to the insert: it may be waiting for an earlier attempt with the key, whose commit may still complete.
		u.keyMayBeCommitted = u.keyMayBeCommitted || insert.tag == "" && failureKindOf(err) == failureConnectionLost
		return false, err
	case insert.keyTableMissing():
		return false, u.createKeyTable(ctx)
	case insert.keyExists():
		return u.respondFromKeyTable(ctx)
	case insert.lockConflict():
		return false, u.rollBackLocked(ctx, insert.err())
	case !insert.keyInserted():
		return u.rollBackWithError(ctx, notRunError(errors.Join(begin.err(), insert.err(), errKeyNotInserted)))
	case u.txStatus == 'I':
		// The batch ended the transaction although runKeyedWrite found no transaction control in it.
		u.releaseConn()
		return true, outcomeUnknownError(errors.New("the batch ended the transaction that holds its request key"))
	case u.errorReceived:
		return u.rollBackAndForwardError(ctx)
	case u.responseTooLarge:
		return u.rollBackWithError(ctx, classifier.New(classifier.AnswerTooLarge,
			"response exceeds the limit of %d bytes for a write with a request key, so the write was rolled back", maxStoredResponseBytes))
	}
	return u.commitKeyedWrite(ctx)
}

// ignoreLocalSetting handles the response to SET LOCAL. The setting ends with the
// transaction and no statement came before it on this connection, so the
// connection stays reusable although the command tag is SET.
func (u *unit) ignoreLocalSetting(context.Context, pgproto3.BackendMessage) error {
	u.sessionModified = false
	return nil
}

// captureResponse buffers the response of the batch, to be stored with the key. It discards a response that is too large.
func (u *unit) captureResponse(_ context.Context, m pgproto3.BackendMessage) error {
	if u.responseTooLarge {
		return nil
	}
	err := u.buffered.add(m)
	if len(u.buffered.encoded) > maxStoredResponseBytes {
		u.responseTooLarge = true
		u.buffered.reset()
	}
	return err
}

// commitKeyedWrite stores the response with the key, commits, and sends the response to the client once the commit is
// confirmed.
func (u *unit) commitKeyedWrite(ctx context.Context) (done bool, err error) {
	mayHaveBeenCommitted := u.keyMayBeCommitted
	u.keyMayBeCommitted = true
	results, err := u.runStatements(ctx,
		u.key.storeResponseSQL(storedResponse{messageTypes: u.clientBatch.messageTypes, response: u.buffered.encoded}), "COMMIT")
	if kind := failureKindOf(err); err != nil && (kind == failureNotSent || kind == failureRefused) {
		u.keyMayBeCommitted = mayHaveBeenCommitted
	}
	if err != nil {
		return false, err
	}
	if commit := &results[1]; commit.tag != "COMMIT" {
		u.keyMayBeCommitted = mayHaveBeenCommitted
		return u.rollBackWithError(ctx, notRunError(errors.Join(results[0].err(), commit.err(), errors.New("COMMIT did not succeed"))))
	}
	u.releaseConn()
	if u.commitPosition.IsZero() {
		return false, fmt.Errorf("instance %s reported no log position for the commit", u.instance.Name)
	}
	if err := u.confirmCommit(ctx); err != nil {
		return false, err
	}
	u.executor.keyCleaner.start(u.executor)
	return true, u.sendResponse()
}

// rollBack ends the open transaction, if any, and releases the connection.
func (u *unit) rollBack(ctx context.Context) error {
	if u.conn == nil {
		return nil
	}
	if u.txStatus != 'I' {
		if _, err := u.runStatements(ctx, "ROLLBACK"); err != nil {
			return err
		}
	}
	if u.txStatus != 'I' {
		return newAttemptError(failureConnectionLost, "instance %s has transaction status %q after ROLLBACK, want 'I'", u.instance.Name, u.txStatus)
	}
	u.releaseConn()
	return nil
}

// rollBackLocked ends an attempt whose insert of the key conflicted with another transaction, whose outcome is unknown.
func (u *unit) rollBackLocked(ctx context.Context, cause error) error {
	u.keyMayBeCommitted = true
	return errors.Join(cause, u.rollBack(ctx))
}

// rollBackWithError rolls back and returns response as the error for the client.
// The insert of the key has shown that no earlier run committed, provided that
// the instance was still the primary, so it confirms that before it returns.
func (u *unit) rollBackWithError(ctx context.Context, response error) (done bool, err error) {
	if err := u.rollBack(ctx); err != nil {
		return false, err
	}
	if _, err := u.confirmReads(ctx); err != nil {
		return false, err
	}
	return true, response
}

// rollBackAndForwardError rolls back and sends the instance's ErrorResponse to the client.
func (u *unit) rollBackAndForwardError(ctx context.Context) (done bool, err error) {
	done, err = u.rollBackWithError(ctx, nil)
	if !done || err != nil {
		return done, err
	}
	return true, u.sendResponse()
}

// createKeyTable creates the table of request keys, at the first use of a key in the database. It returns
// errKeyTableCreated on success, so that the attempt is repeated.
func (u *unit) createKeyTable(ctx context.Context) error {
	if u.txStatus != 'I' {
		if _, err := u.runStatements(ctx, "ROLLBACK"); err != nil {
			return err
		}
	}
	results, err := u.runStatements(ctx, sqlCreateKeyTable, sqlCreateKeyIndex)
	if err != nil {
		return err
	}
	if err := results[0].err(); err != nil {
		return err
	}
	u.releaseConn()
	return errKeyTableCreated
}

// errKeyTableCreated ends an attempt that found no table of request keys and created it.
var errKeyTableCreated = errors.New("table of request keys was missing and has been created")
