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

// retryPause is the wait before a further attempt when the retry budget is used up.
const retryPause = 100 * time.Millisecond

// unit is the state of one run. Units are reused to save allocations.
type unit struct {
	e       *Executor
	r       exchanger.Request
	s       exchanger.Stream
	arrived time.Time
	b       batch
	a       answer

	// Route.
	exclude  []string
	query    router.Query
	priority admitter.Priority
	view     sampler.View // that the route was chosen from
	instance parser.Instance
	role     string
	reason   router.Reason

	// Connection. All are unset when conn is nil.
	conn   *pooler.Conn
	ticket admitter.Ticket
	begun  bool      // Hold.Begin was called
	dirty  bool      // the session state of the connection was changed
	limit  time.Time // read deadline of the connection

	// Answer of the batch.
	streaming bool               // messages go straight to the caller
	passed    bool               // the caller may have seen a part of the batch's answer
	failed    bool               // an ErrorResponse ended the batch
	status    byte               // of the last ReadyForQuery
	tag       string             // of the last CommandComplete
	position  tokenizer.Position // of the last commit
	ready     pgproto3.ReadyForQuery

	floor     tokenizer.Position // of the session after the unit
	attempt   int
	tried     bool // an attempt with the key was made
	ambiguous bool // a commit of the key may have happened or may be under way
	keyed     bool // the open transaction holds the key
	tooLarge  bool // the answer is over the limit of a recorded one
	rest      bool // a batch after the first runs
	settling  bool // the key is being cancelled or its commit looked up
	piece     bool // the exchange is a piece of a batch, without ReadyForQuery
	misses    int  // waits for a primary so far
	paid      bool // the next attempt is taken from the retry budget already
	patient   bool // this attempt waits for a silent instance until the deadline
	unlock    func()
	key       requestKey
}

func newUnit() *unit { return &unit{} }

func (u *unit) reset(e *Executor, r exchanger.Request, s exchanger.Stream) {
	b, a, exclude := u.b, u.a, u.exclude[:0]
	*u = unit{e: e, r: r, s: s, b: b, a: a, exclude: exclude, arrived: time.Now(), floor: r.Floor}
	u.b.reset()
	u.a.reset()
}

func (u *unit) isRead() bool { return u.r.Class.IsRead() }

// startAnswer prepares for the answer of a batch.
func (u *unit) startAnswer() {
	u.a.reset()
	u.streaming, u.passed, u.failed, u.patient = false, false, false, false
	u.status, u.tag, u.position = 0, "", tokenizer.Position{}
}

// putBack gives the connection back after its last ReadyForQuery had status 'I'.
func (u *unit) putBack() {
	if u.conn == nil {
		return
	}
	if u.dirty {
		u.conn.Discard()
	} else {
		u.conn.Release()
	}
	u.leave()
}

// abandon closes a connection whose state is uncertain. A statement that may
// still run is canceled, so that it does not keep a slot and its locks.
func (u *unit) abandon(running bool) {
	if u.conn == nil {
		return
	}
	if running {
		u.conn.Cancel()
	} else {
		u.conn.Discard()
	}
	u.leave()
}

func (u *unit) leave() {
	u.conn = nil
	u.dirty = false
	u.ticket.Done()
}

// begin and end enclose the time in which the unit writes.
func (u *unit) begin() {
	if !u.begun {
		u.begun = true
		u.e.cfg.Hold.Begin()
	}
}

func (u *unit) end() {
	if u.begun {
		u.begun = false
		u.e.cfg.Hold.End()
	}
}

// drop ends the unit in any state.
func (u *unit) drop() {
	u.abandon(false)
	u.end()
	if u.unlock != nil {
		u.unlock()
	}
}

// skipBatch receives the rest of the caller's batch, which the answer with an error ends.
func (u *unit) skipBatch() {
	for !u.b.complete && !u.b.gone {
		m, err := u.s.Receive()
		if err != nil {
			return
		}
		switch m.(type) {
		case *pgproto3.Query, *pgproto3.Sync:
			return
		}
	}
}

// fail ends an attempt. It reports a failure of the connection and remembers the instance.
func (u *unit) fail(ctx context.Context, err error) {
	gone := faultOf(err) == faultGone || ctx.Err() != nil
	u.abandon(gone || isTimeout(err))
	u.end()
	var f *fault
	if gone || !errors.As(err, &f) {
		return
	}
	if f.kind == faultRefused && !u.isRead() {
		return // a fenced instance works
	}
	if f.kind != faultRefused {
		u.e.cfg.Sampler.Report(u.instance.Name, err)
	}
	u.exclude = append(u.exclude, u.instance.Name)
}

// retryRead reports whether the retry budget allows a further attempt.
func (u *unit) retryRead(ctx context.Context) bool {
	u.attempt++
	return u.spend() && ctx.Err() == nil
}

func (u *unit) spend() bool {
	paid := u.paid
	u.paid, u.patient = false, false
	return paid || u.e.cfg.Budget.Spend()
}

// retryWrite waits for the retry budget and, unless nothing was sent, for a
// change of primary, since the failed one may be about to be replaced.
func (u *unit) retryWrite(ctx context.Context, err error) bool {
	u.attempt++
	for !u.spend() {
		if !sleeper.Sleep(ctx, retryPause) {
			return false
		}
	}
	var f *fault
	if errors.As(err, &f) && f.kind != faultNotSent {
		u.awaitPrimary(ctx)
	}
	return ctx.Err() == nil
}

// deliver sends the kept answer and ReadyForQuery to the caller.
func (u *unit) deliver() error {
	err := u.a.pass(u.s)
	if err == nil {
		u.ready.TxStatus = u.status
		err = u.s.Send(&u.ready)
	}
	if err == nil {
		err = u.s.Flush()
	}
	switch {
	case err == nil:
		return nil
	case !u.position.IsZero():
		return unknownOutcome(err)
	}
	return classifier.Wrap(classifier.Canceled, err, "caller is gone")
}
