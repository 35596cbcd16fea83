package executor

import (
	"context"
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"parsleyscale/internal/clock/sleeper"
	"parsleyscale/internal/failure/classifier"
)

// resolutionRetryPause is the wait between two attempts to resolve the outcome of a keyed request.
const resolutionRetryPause = 20 * time.Millisecond

// errKeyNotFound means that the table of request keys has no row for the key.
var errKeyNotFound = errors.New("request key has no row in the table of request keys")

// errKeyNotInserted is the cause when a key was not inserted although there was no conflict.
var errKeyNotInserted = errors.New("insert of the request key added no row and reported no conflict")

// respondFromKeyTable responds to a request whose key is already in the table.
// It waits until a majority holds what it read, because a row that only a
// replaced primary has will be lost.
func (u *unit) respondFromKeyTable(ctx context.Context) (done bool, err error) {
	u.keyMayBeCommitted = true
	r, err := u.readKeyRow(ctx)
	if err != nil {
		return false, err
	}
	return u.respondFromKeyRow(ctx, r)
}

// respondFromKeyRow responds to a request with the row of its key: state, fingerprint and stored response.
func (u *unit) respondFromKeyRow(ctx context.Context, row statementResult) (done bool, err error) {
	p, err := u.confirmReads(ctx)
	if err != nil {
		return false, err
	}
	u.floor = u.floor.Max(p)
	state, fingerprint, text := row.firstRow[0], row.firstRow[1], row.firstRow[2]
	switch {
	case fingerprint != u.key.fingerprint:
		return true, classifier.New(classifier.KeyReuse, "request key %s was already used for a different request", u.key.id)
	case state == stateCancelled:
		return true, classifier.New(classifier.NotRun, "request key %s was cancelled before the request ran", u.key.id)
	}
	return true, u.replayStoredResponse(text)
}

// readKeyRow ends the open transaction, if any, and reads the row of the key.
func (u *unit) readKeyRow(ctx context.Context) (statementResult, error) {
	statements := []string{"ROLLBACK", u.key.selectSQL()}
	if u.request.Session != "" && !u.request.FloorCoversSession {
		// The first run may belong to another session. The floor of later reads
		// of this session comes from the commits recorded for it, so it needs a
		// commit of its own.
		statements = append(statements, u.key.touchSQL())
	}
	results, err := u.runStatements(ctx, statements...)
	if err != nil {
		return statementResult{}, err
	}
	u.releaseConn()
	row := results[1]
	switch {
	case row.keyTableMissing():
		return row, errKeyNotFound
	case row.sqlstate != "":
		return row, row.err()
	case len(row.firstRow) != 3:
		return row, errKeyNotFound
	}
	return row, nil
}

// replayStoredResponse sends the stored response of a committed request to the client.
func (u *unit) replayStoredResponse(text string) error {
	if u.key.fingerprint == transactionFingerprint {
		return u.replayCommit()
	}
	r, err := parseStoredResponse(text)
	if err != nil || !r.answersBatch(u.clientBatch.messageTypes) || len(r.response) == 0 {
		return classifier.New(classifier.AlreadyDone, "request key %s is committed, but no stored response fits the messages of this request", u.key.id)
	}
	u.buffered.reset()
	u.buffered.encoded = append(u.buffered.encoded, r.response...)
	u.txStatus = 'I'
	return u.sendResponse()
}

// replayCommit acknowledges the commit of the transaction of this unit. The
// responses of a transaction are not stored, so a repeat of one gets an error.
func (u *unit) replayCommit() error {
	if !u.keyInTransaction || !isSingleCommit(u.clientBatch.lastSQL) {
		return classifier.New(classifier.AlreadyDone, "transaction with request key %s is committed", u.key.id)
	}
	u.buffered.reset()
	for _, t := range u.clientBatch.messageTypes {
		if m := commitResponse(t); m != nil {
			if err := u.buffered.add(m); err != nil {
				return err
			}
		}
	}
	u.txStatus = 'I'
	return u.sendResponse()
}

// commitResponse returns the message with which a successful COMMIT responds to a message type of the client, or nil.
func commitResponse(t byte) pgproto3.BackendMessage {
	switch t {
	case 'Q', 'E':
		return &pgproto3.CommandComplete{CommandTag: []byte("COMMIT")}
	case 'P':
		return &pgproto3.ParseComplete{}
	case 'B':
		return &pgproto3.BindComplete{}
	case 'D':
		return &pgproto3.NoData{}
	case 'C':
		return &pgproto3.CloseComplete{}
	}
	return nil
}

// isSingleCommit reports whether an SQL text consists of COMMIT or a synonym of it.
func isSingleCommit(sql string) bool {
	s := strings.ToUpper(strings.TrimSpace(strings.TrimRight(sql, "; \t\r\n")))
	return slices.Contains([]string{"COMMIT", "END", "COMMIT TRANSACTION", "COMMIT WORK", "END TRANSACTION", "END WORK"}, s)
}

// resolveIfAttempted returns the error for a keyed request that ran out of time
// or retries. After any attempt, even one that sent no COMMIT, it has to resolve
// the outcome: an earlier run of the key through another gateway may have committed.
func (u *unit) resolveIfAttempted(ctx context.Context, err error) error {
	if u.keyAttempted {
		return u.resolveOutcome(ctx, err)
	}
	return err
}

// resolveOutcome determines whether the key is committed, and responds
// accordingly. If a commit of the key may be in progress, it cancels the key.
func (u *unit) resolveOutcome(ctx context.Context, cause error) error {
	u.resolving = true
	u.prepareWrite()
	for ctx.Err() == nil {
		if err := u.acquireConn(ctx); err != nil {
			break
		}
		done, err := u.resolveOutcomeOnce(ctx, cause)
		if done {
			return err
		}
		u.failAttempt(ctx, err)
		u.attempt++
		sleeper.Sleep(ctx, resolutionRetryPause)
	}
	return outcomeUnknownError(cause)
}

func (u *unit) resolveOutcomeOnce(ctx context.Context, cause error) (done bool, err error) {
	if u.keyMayBeCommitted {
		return u.cancelKey(ctx)
	}
	return u.proveKeyAbsent(ctx, cause)
}

// proveKeyAbsent looks the key up and, if it is absent, confirms that on the current primary. Unlike cancelKey it
// leaves the key usable.
func (u *unit) proveKeyAbsent(ctx context.Context, cause error) (done bool, err error) {
	u.resetResponse()
	r, err := u.readKeyRow(ctx)
	if err == nil {
		return u.respondFromKeyRow(ctx, r)
	}
	if !errors.Is(err, errKeyNotFound) {
		return false, err
	}
	if _, err := u.confirmReads(ctx); err != nil {
		return false, err
	}
	return true, notRunError(cause)
}

// cancelKey inserts the key in the state cancelled. Once that is confirmed, no
// other run of the key can commit.
func (u *unit) cancelKey(ctx context.Context) (done bool, err error) {
	u.resetResponse()
	results, err := u.runStatements(ctx, u.key.insertSQL(stateCancelled))
	if err != nil {
		return false, err
	}
	insert := &results[0]
	switch {
	case insert.keyTableMissing():
		return false, u.createKeyTable(ctx)
	case insert.keyExists():
		return u.respondFromKeyTable(ctx)
	case !insert.keyInserted() || u.commitPosition.IsZero():
		return false, errors.Join(insert.err(), errKeyNotInserted)
	}
	u.releaseConn()
	if err := u.confirmCommit(ctx); err != nil {
		return false, err
	}
	return true, classifier.New(classifier.NotRun, "request did not commit, and its request key %s is now cancelled", u.key.id)
}

// runKeyedTransaction opens a transaction and inserts its key before the client's next statement.
func (u *unit) runKeyedTransaction(ctx context.Context) error {
	if err := u.validateKey(transactionFingerprint); err != nil {
		return err
	}
	if !opensTransaction(u.clientBatch.lastSQL) || u.clientBatch.executeCount > 1 {
		return classifier.New(classifier.Unsupported, "a transaction with a request key must begin with a batch that contains only BEGIN")
	}
	if err := u.lockKey(ctx); err != nil {
		return err
	}
	return u.retryUntilOutcomeKnown(ctx, u.attemptKeyedBegin)
}

// attemptKeyedBegin makes one attempt to run the client's BEGIN and to insert the key. Its results are those of
// attemptKeyedWrite.
func (u *unit) attemptKeyedBegin(ctx context.Context) (done bool, err error) {
	if err := u.exchangeBatch(ctx); err != nil {
		return false, err
	}
	if u.txStatus != 'T' {
		return true, u.finishBatch(ctx)
	}
	results, err := u.runStatements(ctx, u.key.insertSQL(stateDone))
	if err != nil {
		// No response to the insert: it may be waiting for another transaction with the key.
		u.keyMayBeCommitted = u.keyMayBeCommitted || failureKindOf(err) == failureConnectionLost
		return false, err
	}
	insert := &results[0]
	switch {
	case insert.keyTableMissing():
		return false, u.createKeyTable(ctx)
	case insert.keyExists():
		return u.respondFromKeyTable(ctx)
	case insert.lockConflict():
		return false, u.rollBackLocked(ctx, insert.err())
	case !insert.keyInserted():
		return u.rollBackWithError(ctx, notRunError(errors.Join(insert.err(), errKeyNotInserted)))
	}
	u.keyInTransaction = true
	return true, u.sendResponse()
}
