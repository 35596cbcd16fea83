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
	maxRecorded  = 64 << 10        // bytes of a recorded answer
	maxKeyAhead  = 5 * time.Minute // a key may be this far in the future, for clocks that differ
	cancelShare  = 4               // the last quarter of the timeout, at most cancelAtMost, is kept to settle an ambiguous commit
	cancelAtMost = 500 * time.Millisecond
)

// transactionFingerprint stands for the texts of a transaction, which are not known when its key is inserted.
const transactionFingerprint = "transaction"

// checkKey checks the key of the request.
func (u *unit) checkKey(fingerprint string) error {
	id, err := uuid.Parse(u.r.Key)
	if err != nil || id.Version() != 7 || id.Variant() != uuid.RFC4122 {
		return classifier.New(classifier.BadKey, "request key %q is not a UUID version 7", u.r.Key)
	}
	created := time.Unix(id.Time().UnixTime())
	age := time.Since(created)
	if age < -maxKeyAhead {
		return classifier.New(classifier.BadKey, "request key %s is %s in the future", id, -age)
	}
	if age > u.e.cfg.Retention {
		return classifier.New(classifier.KeyExpired, "request key %s is older than %s", id, u.e.cfg.Retention)
	}
	u.key = requestKey{id: id.String(), created: created, fingerprint: fingerprint}
	return nil
}

func (b *batch) fingerprint() string { return strconv.FormatUint(b.hash.Sum64(), 16) }

// keyLocks lets one unit at a time use a key on this gateway, so that a repeat
// does not hold a connection while it waits for the first run.
type keyLocks struct {
	mu      sync.Mutex
	running map[string]chan struct{}
}

func (l *keyLocks) lock(ctx context.Context, key string) (unlock func(), err error) {
	for {
		l.mu.Lock()
		other := l.running[key]
		if other == nil {
			done := make(chan struct{})
			l.running[key] = done
			l.mu.Unlock()
			return func() { l.free(key, done) }, nil
		}
		l.mu.Unlock()
		select {
		case <-other:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func (l *keyLocks) free(key string, done chan struct{}) {
	l.mu.Lock()
	delete(l.running, key)
	l.mu.Unlock()
	close(done)
}

func (u *unit) lockKey(ctx context.Context) (err error) {
	u.unlock, err = u.e.keys.lock(ctx, u.key.id)
	if err != nil {
		return unknownOutcome(fmt.Errorf("another request with key %s is in progress: %w", u.key.id, err))
	}
	return nil
}

// runKeyed runs a single-statement write with a key until its outcome is
// certain: it commits once, or certainly not.
func (u *unit) runKeyed(ctx context.Context) error {
	if err := u.checkKey(u.b.fingerprint()); err != nil {
		return err
	}
	if u.b.controls {
		return classifier.New(classifier.Unsupported, "transaction control in a single write with a request key")
	}
	if err := u.lockKey(ctx); err != nil {
		return err
	}
	return u.untilSettled(ctx, u.tryKeyed)
}

// untilSettled makes attempts until one is done or the time is up.
func (u *unit) untilSettled(ctx context.Context, try func(context.Context) (bool, error)) error {
	u.prepareWrite()
	work, cancel := u.withReserve(ctx)
	defer cancel()
	for {
		if err := u.acquire(work); err != nil {
			return u.giveUp(ctx, err)
		}
		u.tried = true
		done, err := try(work)
		if done {
			return err
		}
		u.fail(work, err)
		if classifier.Is(err, classifier.Unsupported) {
			return err
		}
		if !u.retryWrite(work, err) {
			return u.giveUp(ctx, err)
		}
	}
}

// withReserve keeps the end of the timeout for settling an ambiguous commit.
func (u *unit) withReserve(ctx context.Context) (context.Context, context.CancelFunc) {
	d, _ := ctx.Deadline()
	return context.WithDeadline(ctx, d.Add(-min(u.r.Timeout/cancelShare, cancelAtMost)))
}

// tryKeyed makes one attempt. It returns done when the caller has its answer
// or err is the answer; otherwise err is why the attempt failed.
//
// The caller's batch travels with BEGIN and the insert of the key. Nothing of
// it lasts unless COMMIT follows, which is sent only after the insert succeeded.
func (u *unit) tryKeyed(ctx context.Context) (done bool, err error) {
	u.startAnswer()
	u.tooLarge = false
	var begin, insert reply
	buf := appendQuery(nil, "BEGIN")
	buf = appendQuery(buf, sqlIdle)
	buf = appendQuery(buf, u.key.insert(stateDone))
	err = u.exchange(ctx, append(buf, u.b.buf...), begin.take, u.ignoreLocal, insert.take, u.record)
	switch {
	case err != nil:
		// Without an answer to the insert, another run of the key may be in progress.
		u.ambiguous = u.ambiguous || insert.tag == "" && faultOf(err) == faultLost
		return false, err
	case insert.lacksTable():
		return false, u.createTable(ctx)
	case insert.conflicts():
		return u.answerRecorded(ctx)
	case insert.isLocked():
		return false, u.releaseLocked(ctx, insert.err())
	case !insert.inserted():
		return u.refuse(ctx, notRun(errors.Join(begin.err(), insert.err(), errNotInserted)))
	case u.status == 'I':
		// The text has ended the transaction in a way that the check before did not see.
		u.putBack()
		return true, unknownOutcome(errors.New("the text ended its own transaction"))
	case u.failed:
		return u.passError(ctx)
	case u.tooLarge:
		return u.refuse(ctx, classifier.New(classifier.AnswerTooLarge, "answer is over %d bytes, the write was rolled back", maxRecorded))
	}
	return u.commitKeyed(ctx)
}

// ignoreLocal takes the answer to a setting that ends with the transaction and
// therefore leaves the connection fit for reuse. The connection was fit before.
func (u *unit) ignoreLocal(context.Context, pgproto3.BackendMessage) error {
	u.dirty = false
	return nil
}

// record keeps the answer for the table.
func (u *unit) record(_ context.Context, m pgproto3.BackendMessage) error {
	if u.tooLarge {
		return nil
	}
	err := u.a.add(m)
	if len(u.a.buf) > maxRecorded {
		u.tooLarge = true
		u.a.reset()
	}
	return err
}

// commitKeyed records the answer, commits, and passes the answer on once the commit is confirmed.
func (u *unit) commitKeyed(ctx context.Context) (done bool, err error) {
	before := u.ambiguous
	u.ambiguous = true
	replies, err := u.own(ctx, u.key.update(record{shape: u.b.shape, answers: u.a.buf}), "COMMIT")
	if k := faultOf(err); err != nil && (k == faultNotSent || k == faultRefused) {
		u.ambiguous = before
	}
	if err != nil {
		return false, err
	}
	if c := &replies[1]; c.tag != "COMMIT" {
		u.ambiguous = before
		return u.refuse(ctx, notRun(errors.Join(replies[0].err(), c.err(), errors.New("the commit failed"))))
	}
	u.putBack()
	if u.position.IsZero() {
		return false, fmt.Errorf("%s reported no position for the commit", u.instance.Name)
	}
	if err := u.confirm(ctx); err != nil {
		return false, err
	}
	u.e.sweeper.start(u.e)
	return true, u.deliver()
}

// rollBack ends the open transaction and gives the connection back.
func (u *unit) rollBack(ctx context.Context) error {
	if u.conn == nil {
		return nil
	}
	if u.status != 'I' {
		if _, err := u.own(ctx, "ROLLBACK"); err != nil {
			return err
		}
	}
	if u.status != 'I' {
		return newFault(faultLost, "%s is in transaction status %q after a rollback", u.instance.Name, u.status)
	}
	u.putBack()
	return nil
}

// releaseLocked ends an attempt that met another run of the key, whose outcome is open.
func (u *unit) releaseLocked(ctx context.Context, cause error) error {
	u.ambiguous = true
	return errors.Join(cause, u.rollBack(ctx))
}

// refuse rolls back and answers with an error. The insert of the key has shown
// that no earlier run committed, provided that the instance was still the primary.
func (u *unit) refuse(ctx context.Context, answer error) (done bool, err error) {
	if err := u.rollBack(ctx); err != nil {
		return false, err
	}
	if _, err := u.confirmSeen(ctx); err != nil {
		return false, err
	}
	return true, answer
}

// passError rolls back and passes the instance's error on to the caller.
func (u *unit) passError(ctx context.Context) (done bool, err error) {
	done, err = u.refuse(ctx, nil)
	if !done || err != nil {
		return done, err
	}
	return true, u.deliver()
}

// createTable makes the table of keys on the first use of a key in the database.
func (u *unit) createTable(ctx context.Context) error {
	if u.status != 'I' {
		if _, err := u.own(ctx, "ROLLBACK"); err != nil {
			return err
		}
	}
	replies, err := u.own(ctx, sqlCreateTable, sqlCreateIndex)
	if err != nil {
		return err
	}
	if err := replies[0].err(); err != nil {
		return err
	}
	u.putBack()
	return errTableMade
}

// errTableMade ends an attempt that made the table of keys; the next one uses it.
var errTableMade = errors.New("table of request keys was missing")
