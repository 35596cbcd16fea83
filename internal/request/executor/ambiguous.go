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

// settlePause is the wait between two attempts to settle an ambiguous commit.
const settlePause = 20 * time.Millisecond

// errNoKey means that the table has no record of the key.
var errNoKey = errors.New("the request key has no record")

// errNotInserted is the cause when the key table refused a key without a conflict.
var errNotInserted = errors.New("the request key was not inserted")

// answerRecorded answers a request whose key is in the table already. The
// answer waits until a majority holds what was read, because a record that only
// a replaced primary has will be dropped.
func (u *unit) answerRecorded(ctx context.Context) (done bool, err error) {
	u.ambiguous = true
	r, err := u.readKey(ctx)
	if err != nil {
		return false, err
	}
	return u.answerRecord(ctx, r)
}

func (u *unit) answerRecord(ctx context.Context, r reply) (done bool, err error) {
	p, err := u.confirmSeen(ctx)
	if err != nil {
		return false, err
	}
	u.floor = u.floor.Max(p)
	state, fingerprint, text := r.row[0], r.row[1], r.row[2]
	switch {
	case fingerprint != u.key.fingerprint:
		return true, classifier.New(classifier.KeyReuse, "request key %s belongs to another request", u.key.id)
	case state == stateCancelled:
		return true, classifier.New(classifier.NotRun, "request key %s was cancelled before the request ran", u.key.id)
	}
	return true, u.replay(text)
}

// readKey ends the open transaction, if any, and reads the record of the key.
func (u *unit) readKey(ctx context.Context) (reply, error) {
	statements := []string{"ROLLBACK", u.key.lookup()}
	if u.r.Session != "" && !u.r.HasToken {
		// The first run may belong to another session. Later reads of this one
		// find their floor by the commits that are recorded for it.
		statements = append(statements, u.key.touch())
	}
	replies, err := u.own(ctx, statements...)
	if err != nil {
		return reply{}, err
	}
	u.putBack()
	r := replies[1]
	switch {
	case r.lacksTable():
		return r, errNoKey
	case r.code != "":
		return r, r.err()
	case len(r.row) != 3:
		return r, errNoKey
	}
	return r, nil
}

// replay passes the recorded answer on.
func (u *unit) replay(text string) error {
	if u.key.fingerprint == transactionFingerprint {
		return u.replayCommit()
	}
	r, err := parseRecord(text)
	if err != nil || !r.fits(u.b.shape) || len(r.answers) == 0 {
		return classifier.New(classifier.AlreadyDone, "request key %s is committed and has no answer for this sequence of messages", u.key.id)
	}
	u.a.reset()
	u.a.buf = append(u.a.buf, r.answers...)
	u.status = 'I'
	return u.deliver()
}

// replayCommit acknowledges the commit of this unit's own transaction. For a
// repeat of a transaction there is nothing to replay.
func (u *unit) replayCommit() error {
	if !u.keyed || !isLoneCommit(u.b.text) {
		return classifier.New(classifier.AlreadyDone, "transaction with request key %s is committed", u.key.id)
	}
	u.a.reset()
	for _, t := range u.b.shape {
		if m := commitAnswer(t); m != nil {
			if err := u.a.add(m); err != nil {
				return err
			}
		}
	}
	u.status = 'I'
	return u.deliver()
}

// commitAnswer returns what a successful COMMIT answers to a message type.
func commitAnswer(t byte) pgproto3.BackendMessage {
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

func isLoneCommit(sql string) bool {
	s := strings.ToUpper(strings.TrimSpace(strings.TrimRight(sql, "; \t\r\n")))
	return slices.Contains([]string{"COMMIT", "END", "COMMIT TRANSACTION", "COMMIT WORK", "END TRANSACTION", "END WORK"}, s)
}

// giveUp returns the answer of a keyed request that ran out of time or retries.
// After an attempt, even one that sent no COMMIT, the answer needs a proof: an
// earlier run of the key, through another gateway, may have committed.
func (u *unit) giveUp(ctx context.Context, err error) error {
	if u.tried {
		return u.resolve(ctx, err)
	}
	return err
}

// resolve finds out whether the key is committed. When a commit of it may be
// under way, it cancels the key.
func (u *unit) resolve(ctx context.Context, cause error) error {
	u.settling = true
	u.prepareWrite()
	for ctx.Err() == nil {
		if err := u.acquire(ctx); err != nil {
			break
		}
		done, err := u.resolveOnce(ctx, cause)
		if done {
			return err
		}
		u.fail(ctx, err)
		u.attempt++
		sleeper.Sleep(ctx, settlePause)
	}
	return unknownOutcome(cause)
}

func (u *unit) resolveOnce(ctx context.Context, cause error) (done bool, err error) {
	if u.ambiguous {
		return u.cancelKey(ctx)
	}
	return u.proveAbsent(ctx, cause)
}

// proveAbsent looks the key up. Unlike cancelKey it leaves an unused key usable.
func (u *unit) proveAbsent(ctx context.Context, cause error) (done bool, err error) {
	u.startAnswer()
	r, err := u.readKey(ctx)
	if err == nil {
		return u.answerRecord(ctx, r)
	}
	if !errors.Is(err, errNoKey) {
		return false, err
	}
	if _, err := u.confirmSeen(ctx); err != nil {
		return false, err
	}
	return true, notRun(cause)
}

// cancelKey inserts the key as cancelled. When that succeeds and is confirmed,
// no other run of the key can commit any more.
func (u *unit) cancelKey(ctx context.Context) (done bool, err error) {
	u.startAnswer()
	replies, err := u.own(ctx, u.key.insert(stateCancelled))
	if err != nil {
		return false, err
	}
	r := &replies[0]
	switch {
	case r.lacksTable():
		return false, u.createTable(ctx)
	case r.conflicts():
		return u.answerRecorded(ctx)
	case !r.inserted() || u.position.IsZero():
		return false, errors.Join(r.err(), errNotInserted)
	}
	u.putBack()
	if err := u.confirm(ctx); err != nil {
		return false, err
	}
	return true, classifier.New(classifier.NotRun, "the request did not commit and request key %s is cancelled", u.key.id)
}

// runKeyedBegin opens a transaction and inserts its key before the caller's next statement.
func (u *unit) runKeyedBegin(ctx context.Context) error {
	if err := u.checkKey(transactionFingerprint); err != nil {
		return err
	}
	if !opensTransaction(u.b.text) || u.b.executed > 1 {
		return classifier.New(classifier.Unsupported, "a transaction with a request key must begin with BEGIN alone")
	}
	if err := u.lockKey(ctx); err != nil {
		return err
	}
	return u.untilSettled(ctx, u.tryBegin)
}

func (u *unit) tryBegin(ctx context.Context) (done bool, err error) {
	if err := u.converse(ctx); err != nil {
		return false, err
	}
	if u.status != 'T' {
		return true, u.finish(ctx)
	}
	replies, err := u.own(ctx, u.key.insert(stateDone))
	if err != nil {
		// Without an answer to the insert, another run of the key may be in progress.
		u.ambiguous = u.ambiguous || faultOf(err) == faultLost
		return false, err
	}
	r := &replies[0]
	switch {
	case r.lacksTable():
		return false, u.createTable(ctx)
	case r.conflicts():
		return u.answerRecorded(ctx)
	case r.isLocked():
		return false, u.releaseLocked(ctx, r.err())
	case !r.inserted():
		return u.refuse(ctx, notRun(errors.Join(r.err(), errNotInserted)))
	}
	u.keyed = true
	return true, u.deliver()
}
