package listener

import (
	"bytes"
	"context"
	"errors"
	"io"
	"os"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/request/exchanger"
	"parsleyscale/internal/request/parser"
)

// stream is the exchanger.Stream of a session's units.
type stream struct {
	s         *session
	class     exchanger.Class
	deadline  time.Time
	status    byte  // of the last ReadyForQuery
	isBegun   bool  // the caller has been told that a transaction is open
	isEnding  bool  // the last statement ends the transaction
	mayCommit bool  // a statement since the last ReadyForQuery ends the transaction
	isDone    bool  // the Runner has sent the last ReadyForQuery
	ended     error // why the session cannot go on
}

// run runs a unit and ends its answer.
func (s *session) run(class exchanger.Class) error {
	r := s.request(class)
	started := time.Now()
	ctx, cancel := context.WithCancelCause(s.ctx)
	defer cancel(nil)
	ctx, stop := context.WithDeadline(ctx, started.Add(r.Timeout))
	defer stop()
	if err := s.beginUnit(cancel); err != nil {
		return err
	}
	s.stream.begin(s, class, started.Add(r.Timeout))
	s.conn.SetWriteDeadline(started.Add(r.Timeout + writeGrace))
	res, err := s.l.cfg.Runner.Run(ctx, r, &s.stream)
	s.endUnit()
	err = s.outcome(ctx, err)
	s.l.cfg.Observer.UnitDone(r, res, time.Since(started), err)
	return s.finish(res, err)
}

func (u *stream) begin(s *session, class exchanger.Class, deadline time.Time) {
	u.s, u.class, u.deadline, u.status = s, class, deadline, statusIdle
}

// noteEnds remembers whether statements that go to the Runner end the transaction.
func (u *stream) noteEnds(list []parser.Statement) {
	u.isEnding = list[len(list)-1].Action == parser.End
	for _, st := range list {
		u.mayCommit = u.mayCommit || st.Action == parser.End
	}
}

// isUncommitted reports whether the unit is in a transaction whose end was not
// sent. Whatever happened to the Runner, such a transaction is rolled back.
func (u *stream) isUncommitted() bool { return u.isBegun && !u.mayCommit }

// request describes the next unit. A request key is used up by the first unit that may write.
func (s *session) request(class exchanger.Class) exchanger.Request {
	floor, _ := s.settings.token.Floor(s.database)
	r := exchanger.Request{
		ID:       s.nextID(),
		Database: s.database,
		Session:  s.settings.session,
		Floor:    floor,
		HasToken: s.settings.hasToken || s.settings.session == "",
		ReadKind: s.settings.readKind,
		Class:    class,
		Timeout:  s.l.cfg.Limits.Statement,
	}
	if class == exchanger.Transaction || class == exchanger.ReadOnlyTransaction {
		r.Timeout = s.l.cfg.Limits.Transaction
	}
	if !class.IsRead() {
		r.Key, s.settings.key = s.settings.key, ""
	}
	return r
}

// outcome returns the error that the caller gets for a unit.
func (s *session) outcome(ctx context.Context, err error) error {
	u := &s.stream
	switch {
	case err == nil && u.isDone:
		return nil
	case u.ended != nil:
		return u.ended
	case err == nil:
		err = errors.New("runner ended without a complete answer")
	}
	cause := context.Cause(ctx)
	if isGone(cause) {
		return errCallerGone
	}
	return classified(err, cause, u.class.IsRead() || u.isUncommitted())
}

// finish ends the answer of a unit: the error, the raised token and ReadyForQuery.
func (s *session) finish(res exchanger.Result, err error) error {
	u := &s.stream
	defer s.batch.reset()
	if u.ended != nil || errors.Is(err, errCallerGone) {
		return err
	}
	if err != nil {
		s.undoAll()
		s.isFailed = u.isBegun && !u.isEnding
		s.out.send(errorResponse(err, "ERROR"))
	}
	if s.batch.isOpen {
		if err := s.skipToSync(); err != nil {
			return err
		}
	}
	s.served = res
	s.raise(res)
	return s.ready()
}

// raise makes the position of a unit the floor of the connection, and tells the caller when it rose.
func (s *session) raise(res exchanger.Result) {
	floor, _ := s.settings.token.Floor(s.database)
	if floor.Covers(res.Position) {
		return
	}
	s.settings.token = s.settings.token.With(s.database, res.Position)
	text, err := s.encodeToken()
	if err != nil {
		s.l.cfg.Observer.Event(Event{Name: "tokenNotSent", Remote: s.remote(), Err: err})
		return
	}
	s.out.send(&pgproto3.ParameterStatus{Name: parameterToken, Value: text})
}

// Receive returns the caller's next message of the unit.
func (u *stream) Receive() (pgproto3.FrontendMessage, error) {
	for {
		if m := u.s.batch.pop(); m != nil {
			return m, nil
		}
		if u.ended != nil {
			return nil, u.ended
		}
		if !u.s.batch.isOpen && (u.isDone || u.status == statusIdle || len(u.s.batch.expect) > 0) {
			return nil, classifier.New(classifier.Internal, "runner asked for a message before ReadyForQuery")
		}
		if err := u.receive(); err != nil {
			u.ended = err
			if isGone(err) {
				u.ended = errCallerGone
				return nil, io.EOF
			}
			return nil, err
		}
	}
}

// receive reads one message from the caller and queues what the Runner has to get.
func (u *stream) receive() error {
	s := u.s
	if err := s.out.flush(); err != nil {
		return err
	}
	s.isRunning.Store(false)
	kind, body, err := s.next(min(s.l.cfg.Limits.IdleInTransaction, time.Until(u.deadline)))
	s.isRunning.Store(true)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return classifier.New(classifier.Timeout, "transaction was idle or open for too long and is rolled back")
	}
	if err != nil {
		return err
	}
	m, err := s.decodeOfBatch(kind, body)
	if err != nil {
		return err
	}
	return u.accept(m)
}

// accept queues a message that arrived inside the unit.
func (u *stream) accept(m pgproto3.FrontendMessage) error {
	s := u.s
	switch m := m.(type) {
	case *pgproto3.Terminate:
		return errCallerGone
	case *pgproto3.Query:
		s.batch.bytes = 0
		return s.continueQuery(m)
	case *pgproto3.FunctionCall:
		s.batch.poisonQuery(classifier.New(classifier.Unsupported, "function call message"))
		return nil
	case *pgproto3.CopyData, *pgproto3.CopyDone, *pgproto3.CopyFail:
		return nil
	case *pgproto3.Sync:
		return s.translate(m)
	}
	if s.batch.isFailed {
		return nil
	}
	if err := s.translate(m); err != nil {
		s.batch.poisonBatch(err)
	}
	return nil
}

// Send buffers a message to the caller. The last ReadyForQuery is held back
// until the Runner returns, because the raised token goes before it.
func (u *stream) Send(m pgproto3.BackendMessage) error {
	s := u.s
	if u.isDone {
		return classifier.New(classifier.Internal, "runner sent %T after the end of the unit", m)
	}
	switch m := m.(type) {
	case *pgproto3.ReadyForQuery:
		return u.sendReady(m)
	case *pgproto3.ErrorResponse:
		return u.sendError(m)
	case *pgproto3.ParameterStatus:
		return nil // of a shared backend connection
	case *pgproto3.ParseComplete:
		if u.isSwallowed() {
			u.answered('P')
			return nil
		}
	case *pgproto3.CommandComplete:
		u.trackTransaction(m.CommandTag)
	}
	if err := s.out.send(m); err != nil {
		return err
	}
	u.advance(m)
	return nil
}

// isSwallowed reports whether the next answer belongs to a Parse that the front added.
func (u *stream) isSwallowed() bool {
	return len(u.s.batch.expect) > 0 && u.s.batch.expect[0].isSwallowed
}

// advance notes that the Runner has answered a message of an extended batch.
func (u *stream) advance(m pgproto3.BackendMessage) {
	switch m.(type) {
	case *pgproto3.ParseComplete:
		u.answered('P')
	case *pgproto3.BindComplete:
		u.answered('B')
	case *pgproto3.CloseComplete:
		u.answered('C')
	case *pgproto3.RowDescription, *pgproto3.NoData:
		u.answered('D')
	case *pgproto3.CommandComplete, *pgproto3.EmptyQueryResponse, *pgproto3.PortalSuspended:
		u.answered('E')
	}
}

// answered drops the first expected answer if it is to a message of this type.
func (u *stream) answered(kind byte) {
	b := &u.s.batch
	if len(b.expect) > 0 && b.expect[0].kind == kind {
		b.dropFirst()
		u.s.answerDue()
	}
}

// trackTransaction follows the tags of the statements that open and end transactions.
func (u *stream) trackTransaction(tag []byte) {
	switch {
	case bytes.Equal(tag, []byte("BEGIN")), bytes.Equal(tag, []byte("START TRANSACTION")):
		u.isBegun = true
	case bytes.Equal(tag, []byte("COMMIT")), bytes.Equal(tag, []byte("ROLLBACK")):
		u.isBegun = u.isBegun && !u.mayCommit // ROLLBACK TO has the same tag
	}
}

// sendError passes an error on. In an extended batch the messages up to Sync have no effect and no answer.
func (u *stream) sendError(m *pgproto3.ErrorResponse) error {
	s := u.s
	b := &s.batch
	if len(b.expect) > 0 && b.expect[0].isPoison && b.refusal != nil {
		m = b.refusal
	}
	b.refusal = nil
	b.current = nil // unknown after a failed Parse
	if b.isOpen {
		b.isFailed = true
	}
	if len(b.expect) > 0 && b.expect[0].kind != 'Q' {
		u.dropToSync()
	}
	return s.out.send(m)
}

// dropToSync forgets the expected answers before that to Sync.
func (u *stream) dropToSync() {
	b := &u.s.batch
	n := 0
	for n < len(b.expect) && b.expect[n].kind != 'S' {
		n++
	}
	kept := append([]expected(nil), b.expect[n:]...)
	b.expect = b.expect[:n]
	u.s.undoAll()
	b.expect = append(b.expect, kept...)
}

// sendReady notes the transaction state.
func (u *stream) sendReady(m *pgproto3.ReadyForQuery) error {
	u.dropReady()
	u.status = m.TxStatus
	u.isBegun = m.TxStatus != statusIdle
	u.isEnding, u.mayCommit = false, false
	if m.TxStatus == statusIdle {
		u.isDone = true
		return nil
	}
	return u.s.out.send(m)
}

// dropReady forgets the expected answers up to that to the Query or Sync which ReadyForQuery answers.
func (u *stream) dropReady() {
	b := &u.s.batch
	for len(b.expect) > 0 {
		kind := b.expect[0].kind
		b.dropFirst()
		if kind == 'Q' || kind == 'S' {
			return
		}
	}
}

// Flush writes the buffered messages.
func (u *stream) Flush() error {
	if u.isDone {
		return nil
	}
	return u.s.out.flush()
}
