package executor

import (
	"context"
	"errors"
	"net"
	"os"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"parsleyscale/internal/group/connector"
	"parsleyscale/internal/session/tokenizer"
)

// Sizes of messages and answers.
const (
	// directBytes is written before answers are read. It fits into the smallest usual socket buffers.
	directBytes = 8 << 10
	// keptAnswer is the part of an answer that is kept back, so that a failure early in it leaves the unit repeatable.
	keptAnswer = 16 << 10
	// keptCommit bounds what is kept back behind the first CommandComplete of a write.
	keptCommit = 256 << 10
)

// boundedAttempts are given up when the instance is silent; later ones wait until the deadline.
const boundedAttempts = 2

// deadlineSlack lets the context end before the read deadline, so that a read
// that fails at the deadline finds the context done.
const deadlineSlack = 10 * time.Millisecond

var longAgo = time.Unix(1, 0)

// sink takes the messages of an answer.
type sink func(ctx context.Context, m pgproto3.BackendMessage) error

// converse runs the caller's batch on the connection up to ReadyForQuery. The
// last part of the answer stays kept back.
func (u *unit) converse(ctx context.Context) error {
	u.startAnswer()
	for {
		u.piece = !u.b.complete
		err := u.exchange(ctx, u.b.buf, u.emit)
		if err != nil || u.b.complete {
			return err
		}
		// The caller waits for the answers before it goes on with the batch.
		if err := u.passPiece(ctx); err != nil {
			return err
		}
		u.b.next()
		if err := u.b.receive(u.s, false); err != nil {
			return &fault{kind: faultGone, err: err}
		}
	}
}

// passPiece passes on the answers to a piece of a batch.
func (u *unit) passPiece(ctx context.Context) error {
	if err := u.confirm(ctx); err != nil {
		return err
	}
	u.passed = true
	if err := u.a.pass(u.s); err != nil {
		return &fault{kind: faultGone, err: err}
	}
	return u.flush()
}

// exchange sends encoded messages and hands the answers to the sinks, one sink
// up to each ReadyForQuery. A piece of a batch ends with its last expected answer instead.
func (u *unit) exchange(ctx context.Context, messages []byte, to ...sink) error {
	stop := u.watch(ctx)
	var err error
	if len(messages) <= directBytes || u.b.executed <= 1 {
		err = u.sendThenReceive(ctx, messages, to)
	} else {
		err = u.sendWhileReceiving(ctx, messages, to)
	}
	if !stop() {
		// The context's end may still set the deadline, so the connection must not be reused.
		return u.lost(ctx, errors.Join(ctx.Err(), err))
	}
	return err
}

func (u *unit) sendThenReceive(ctx context.Context, messages []byte, to []sink) error {
	if err := u.send(messages); err != nil {
		return err
	}
	return u.receiveAnswers(ctx, to)
}

// sendWhileReceiving sends a batch of many statements. The instance may stop
// reading it until its answers to the first ones are read.
func (u *unit) sendWhileReceiving(ctx context.Context, messages []byte, to []sink) error {
	sent := make(chan error, 1)
	go func() { sent <- u.send(messages) }()
	err := u.receiveAnswers(ctx, to)
	if err != nil {
		u.conn.SetDeadline(longAgo) // ends the write
		<-sent
		return err
	}
	return <-sent
}

func (u *unit) receiveAnswers(ctx context.Context, to []sink) error {
	for _, s := range to {
		if err := u.receiveAnswer(ctx, s); err != nil {
			return err
		}
	}
	return nil
}

// watch bounds the exchange by the context.
func (u *unit) watch(ctx context.Context) (stop func() bool) {
	c := u.conn
	u.limit = u.readLimit(ctx)
	c.SetDeadline(u.limit)
	return context.AfterFunc(ctx, func() { c.SetDeadline(longAgo) })
}

// readLimit is the time until which the instance must send something.
func (u *unit) readLimit(ctx context.Context) time.Time {
	limit, _ := ctx.Deadline()
	limit = limit.Add(deadlineSlack)
	if u.isRepeatable() {
		if silent := time.Now().Add(u.silence()); silent.Before(limit) {
			return silent
		}
	}
	return limit
}

// silence is the bound of this attempt. It grows, because the statement itself may be slow.
func (u *unit) silence() time.Duration {
	return u.e.cfg.Silence << (2 * min(u.attempt, boundedAttempts))
}

// mustGoOn reports whether a silent attempt has to wait on, because the retry
// budget has no further attempt: slow statements must not fail for the lack of it.
func (u *unit) mustGoOn(ctx context.Context, err error) bool {
	if !isTimeout(err) || ctx.Err() != nil || !u.isRepeatable() {
		return false
	}
	u.paid = u.e.cfg.Budget.Spend()
	u.patient = !u.paid
	return u.patient
}

// extend moves the read deadline before a read. Small steps are left out,
// because setting a deadline takes longer than decoding a row.
func (u *unit) extend(ctx context.Context) {
	limit := u.readLimit(ctx)
	if limit.Sub(u.limit) <= u.silence()/8 {
		return
	}
	u.limit = limit
	u.conn.SetDeadline(limit)
	if ctx.Err() != nil {
		u.conn.SetDeadline(longAgo)
	}
}

// isRepeatable reports whether a silent instance can be given up for another
// attempt without leaving the outcome unknown.
func (u *unit) isRepeatable() bool {
	if u.patient || u.attempt >= boundedAttempts {
		return false
	}
	if u.keyed {
		return u.settling || isLoneCommit(u.b.text)
	}
	return !u.passed && !u.rest && (u.isRead() || u.r.Key != "")
}

func (u *unit) send(messages []byte) error {
	n, err := u.conn.Write(messages)
	switch {
	case err == nil:
		return nil
	case n == 0:
		return newFault(faultNotSent, "send to %s: %w", u.instance.Name, err)
	}
	return newFault(faultLost, "send to %s: %w", u.instance.Name, err)
}

func (u *unit) receiveAnswer(ctx context.Context, to sink) error {
	if u.isPieceAnswered() {
		return nil
	}
	for {
		u.extend(ctx)
		m, err := u.conn.Frontend().Receive()
		if err != nil && u.mustGoOn(ctx, err) {
			continue
		}
		if err != nil {
			return u.lost(ctx, err)
		}
		done, err := u.take(ctx, m, to)
		if done || err != nil {
			return err
		}
	}
}

func (u *unit) lost(ctx context.Context, err error) error {
	if ctx.Err() == context.Canceled {
		return newFault(faultGone, "caller is gone: %w", err)
	}
	return newFault(faultLost, "connection to %s: %w", u.instance.Name, err)
}

// take handles one message of the instance and reports whether the exchange is over.
func (u *unit) take(ctx context.Context, m pgproto3.BackendMessage, to sink) (bool, error) {
	switch m := m.(type) {
	case *pgproto3.ReadyForQuery:
		u.status = m.TxStatus
		return true, nil
	case *pgproto3.ParameterStatus:
		if m.Name == connector.ParameterPosition {
			return false, u.notePosition(m.Value)
		}
		u.dirty = true
	case *pgproto3.NotificationResponse:
		return false, nil // the connection has no lasting listener
	case *pgproto3.ErrorResponse:
		if err := u.noteError(m); err != nil {
			return false, err
		}
	case *pgproto3.CommandComplete:
		u.noteTag(string(m.CommandTag))
	case *pgproto3.CopyInResponse, *pgproto3.CopyBothResponse:
		return false, u.copyIn(ctx, m, to)
	}
	if err := to(ctx, m); err != nil {
		return false, err
	}
	u.noteReply(m)
	return u.isPieceAnswered(), nil
}

func (u *unit) notePosition(text string) error {
	p, err := tokenizer.ParsePosition(text)
	if err != nil {
		return newFault(faultLost, "%s reports %w", u.instance.Name, err)
	}
	u.position = u.position.Max(p)
	if w := u.e.cfg.Writes; w != nil {
		w.Add(p, u.r.Session)
	}
	return nil
}

// stateCannotConnectNow is the SQLSTATE of an instance that starts or rebuilds its rows. Another one can serve the read.
const stateCannotConnectNow = "57P03"

// noteError finds errors that end the attempt instead of being passed on.
func (u *unit) noteError(m *pgproto3.ErrorResponse) error {
	u.failed = true
	// After a commit earlier in the batch, the error is part of its answer.
	repeatable := !u.passed && !u.isRead() && u.position.IsZero()
	if u.e.notCommitted[m.Code] && repeatable {
		return newFault(faultRefused, "%s refused with %s: %s", u.instance.Name, m.Code, m.Message)
	}
	if m.Code == stateCannotConnectNow && u.isRead() && !u.passed {
		return newFault(faultRefused, "%s takes no reads now: %s", u.instance.Name, m.Message)
	}
	if isFatal(m.Severity) || isFatal(m.SeverityUnlocalized) {
		return newFault(faultLost, "%s ended the connection with %s: %s", u.instance.Name, m.Code, m.Message)
	}
	return nil
}

func isFatal(severity string) bool { return severity == "FATAL" || severity == "PANIC" }

// noteTag records a finished statement. Those that change the state of the
// session make the connection unfit for another caller.
func (u *unit) noteTag(tag string) {
	u.tag = tag
	switch tag {
	case "SET", "RESET", "LISTEN", "PREPARE", "DECLARE CURSOR", "DISCARD ALL":
		u.dirty = true
	}
	if !u.isRead() {
		u.streaming = false
	}
}

// noteReply counts the answers to a piece of a batch.
func (u *unit) noteReply(m pgproto3.BackendMessage) {
	switch m.(type) {
	case *pgproto3.ParseComplete, *pgproto3.BindComplete, *pgproto3.CloseComplete,
		*pgproto3.RowDescription, *pgproto3.NoData,
		*pgproto3.CommandComplete, *pgproto3.EmptyQueryResponse, *pgproto3.PortalSuspended:
		u.b.replies--
	}
}

// isPieceAnswered reports whether a piece of a batch has all its answers.
// After an error the instance is silent until Sync.
func (u *unit) isPieceAnswered() bool {
	return u.piece && (u.b.replies <= 0 || u.failed)
}

// emit keeps a message back or sends it to the caller.
func (u *unit) emit(ctx context.Context, m pgproto3.BackendMessage) error {
	if u.streaming {
		return u.stream(m)
	}
	if err := u.a.add(m); err != nil {
		return err
	}
	limit := keptAnswer
	if !u.isRead() && u.tag != "" {
		limit = keptCommit
	}
	if len(u.a.buf) < limit {
		return nil
	}
	return u.passKept(ctx)
}

// passKept passes on what was kept back and goes over to streaming.
func (u *unit) passKept(ctx context.Context) error {
	if err := u.passPiece(ctx); err != nil {
		return err
	}
	u.streaming = true
	return nil
}

func (u *unit) stream(m pgproto3.BackendMessage) error {
	if err := u.s.Send(m); err != nil {
		return &fault{kind: faultGone, err: err}
	}
	if u.conn.Frontend().ReadBufferLen() > 0 {
		return nil
	}
	return u.flush()
}

func (u *unit) flush() error {
	if err := u.s.Flush(); err != nil {
		return &fault{kind: faultGone, err: err}
	}
	return nil
}

func isTimeout(err error) bool {
	var n net.Error
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.As(err, &n) && n.Timeout()
}
