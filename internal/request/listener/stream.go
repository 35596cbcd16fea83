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

// stream implements exchanger.Stream for the units of a session.
type stream struct {
	s                 *session
	class             exchanger.Class
	deadline          time.Time // of the unit
	status            byte      // transaction status of the last ReadyForQuery
	inTransaction     bool      // the client has been told that a transaction is open
	endsTransaction   bool      // the last statement sent to the Runner ends the transaction
	mayEndTransaction bool      // a statement sent since the last ReadyForQuery may end the transaction
	isDone            bool      // the Runner has sent the final ReadyForQuery
	fatalErr          error     // reason why the session must end
}

// run executes a unit and completes its response.
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
	s.conn.SetWriteDeadline(started.Add(r.Timeout + responseWriteGrace))
	res, err := s.l.cfg.Runner.Run(ctx, r, &s.stream)
	s.endUnit()
	err = s.unitError(ctx, err)
	s.l.cfg.Observer.UnitDone(r, res, time.Since(started), err)
	return s.finishResponse(res, err)
}

// begin initializes the stream for a unit. It keeps what recordTransactionEnd has recorded.
func (u *stream) begin(s *session, class exchanger.Class, deadline time.Time) {
	u.s, u.class, u.deadline, u.status = s, class, deadline, statusIdle
}

// recordTransactionEnd records whether statements that are about to be sent to the Runner end the transaction.
func (u *stream) recordTransactionEnd(statements []parser.Statement) {
	u.endsTransaction = statements[len(statements)-1].Action == parser.End
	for _, st := range statements {
		u.mayEndTransaction = u.mayEndTransaction || st.Action == parser.End
	}
}

// isUncommitted reports whether the unit is in a transaction of which no COMMIT or ROLLBACK was sent. Whatever happens
// to the Runner, such a transaction is rolled back.
func (u *stream) isUncommitted() bool { return u.inTransaction && !u.mayEndTransaction }

// request returns the request for the next unit. The first unit that may write consumes the request key.
func (s *session) request(class exchanger.Class) exchanger.Request {
	floor, _ := s.params.token.Floor(s.database)
	r := exchanger.Request{
		ID:                 s.nextRequestID(),
		Database:           s.database,
		Session:            s.params.session,
		Floor:              floor,
		FloorCoversSession: s.params.hasToken || s.params.session == "",
		ReadKind:           s.params.readKind,
		Class:              class,
		Timeout:            s.l.cfg.Limits.Statement,
	}
	if class == exchanger.Transaction || class == exchanger.ReadOnlyTransaction {
		r.Timeout = s.l.cfg.Limits.Transaction
	}
	if !class.IsRead() {
		r.Key, s.params.key = s.params.key, ""
	}
	return r
}

// unitError returns the error that ends a unit, given the error of the Runner. It is nil if the Runner has sent a
// complete response.
func (s *session) unitError(ctx context.Context, err error) error {
	u := &s.stream
	switch {
	case err == nil && u.isDone:
		return nil
	case u.fatalErr != nil:
		return u.fatalErr
	case err == nil:
		err = errors.New("runner returned without a complete response")
	}
	cause := context.Cause(ctx)
	if isDisconnectError(cause) {
		return errClientDisconnected
	}
	return classifyUnitError(err, cause, u.class.IsRead() || u.isUncommitted())
}

// finishResponse completes the response to a unit: the error if any, the session token if it changed, and
// ReadyForQuery.
func (s *session) finishResponse(res exchanger.Result, err error) error {
	u := &s.stream
	defer s.batch.reset()
	if u.fatalErr != nil || errors.Is(err, errClientDisconnected) {
		return err
	}
	if err != nil {
		s.undoPendingParses()
		s.inFailedTransaction = u.inTransaction && !u.endsTransaction
		s.out.send(errorResponse(err, "ERROR"))
	}
	if s.batch.isOpen {
		if err := s.skipToSync(); err != nil {
			return err
		}
	}
	s.lastResult = res
	s.raiseFloor(res)
	return s.sendReadyForQuery()
}

// raiseFloor raises the minimum log position of the session's reads to the position of a unit. If that changes the
// session token, the client receives the new token.
func (s *session) raiseFloor(res exchanger.Result) {
	floor, _ := s.params.token.Floor(s.database)
	if floor.Covers(res.Position) {
		return
	}
	s.params.token = s.params.token.With(s.database, res.Position)
	text, err := s.encodeToken()
	if err != nil {
		s.l.cfg.Observer.Event(Event{Name: "tokenNotSent", Remote: s.remoteAddr(), Err: err})
		return
	}
	s.out.send(&pgproto3.ParameterStatus{Name: parameterToken, Value: text})
}

// Receive returns the next message of the unit, from the queue or from the client. It returns io.EOF if the client has
// disconnected.
func (u *stream) Receive() (pgproto3.FrontendMessage, error) {
	for {
		if m := u.s.batch.pop(); m != nil {
			return m, nil
		}
		if u.fatalErr != nil {
			return nil, u.fatalErr
		}
		if !u.s.batch.isOpen && (u.isDone || u.status == statusIdle || len(u.s.batch.expected) > 0) {
			return nil, classifier.New(classifier.Internal, "runner called Receive before it sent ReadyForQuery")
		}
		if err := u.receiveFromClient(); err != nil {
			u.fatalErr = err
			if isDisconnectError(err) {
				u.fatalErr = errClientDisconnected
				return nil, io.EOF
			}
			return nil, err
		}
	}
}

// receiveFromClient reads one message from the client and queues the resulting messages for the Runner.
func (u *stream) receiveFromClient() error {
	s := u.s
	if err := s.out.flush(); err != nil {
		return err
	}
	s.isRunning.Store(false)
	messageType, body, err := s.readMessage(min(s.l.cfg.Limits.IdleInTransaction, time.Until(u.deadline)))
	s.isRunning.Store(true)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return classifier.New(classifier.Timeout, "no message within the idle limit of %v or the deadline of the unit, transaction is rolled back",
			s.l.cfg.Limits.IdleInTransaction)
	}
	if err != nil {
		return err
	}
	m, err := s.decodeBatchMessage(messageType, body)
	if err != nil {
		return err
	}
	return u.queueMessage(m)
}

// queueMessage handles a message that arrives inside a unit.
func (u *stream) queueMessage(m pgproto3.FrontendMessage) error {
	s := u.s
	switch m := m.(type) {
	case *pgproto3.Terminate:
		return errClientDisconnected
	case *pgproto3.Query:
		s.batch.collectedBytes = 0
		return s.continueQuery(m)
	case *pgproto3.FunctionCall:
		s.batch.injectQueryError(classifier.New(classifier.Unsupported, "function call messages are not supported"))
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
		s.batch.injectBatchError(err)
	}
	return nil
}

// Send buffers a message for the client. It holds back the final ReadyForQuery until the Runner returns, because the
// new session token must be sent before it.
func (u *stream) Send(m pgproto3.BackendMessage) error {
	s := u.s
	if u.isDone {
		return classifier.New(classifier.Internal, "runner sent %T after the final ReadyForQuery", m)
	}
	switch m := m.(type) {
	case *pgproto3.ReadyForQuery:
		return u.handleReady(m)
	case *pgproto3.ErrorResponse:
		return u.handleError(m)
	case *pgproto3.ParameterStatus:
		return nil // parameters of shared backend connections are not the client's
	case *pgproto3.ParseComplete:
		if u.isNextSuppressed() {
			u.completeExpected('P')
			return nil
		}
	case *pgproto3.CommandComplete:
		u.trackTransaction(m.CommandTag)
	}
	if err := s.out.send(m); err != nil {
		return err
	}
	u.trackResponse(m)
	return nil
}

// isNextSuppressed reports whether the next response is to a Parse that the listener added.
func (u *stream) isNextSuppressed() bool {
	return len(u.s.batch.expected) > 0 && u.s.batch.expected[0].isSuppressed
}

// trackResponse removes the expected response that m completes.
func (u *stream) trackResponse(m pgproto3.BackendMessage) {
	switch m.(type) {
	case *pgproto3.ParseComplete:
		u.completeExpected('P')
	case *pgproto3.BindComplete:
		u.completeExpected('B')
	case *pgproto3.CloseComplete:
		u.completeExpected('C')
	case *pgproto3.RowDescription, *pgproto3.NoData:
		u.completeExpected('D')
	case *pgproto3.CommandComplete, *pgproto3.EmptyQueryResponse, *pgproto3.PortalSuspended:
		u.completeExpected('E')
	}
}

// completeExpected removes the first expected response if it is to a message of the given type. It then sends the
// listener's own responses that follow.
func (u *stream) completeExpected(messageType byte) {
	b := &u.s.batch
	if len(b.expected) > 0 && b.expected[0].messageType == messageType {
		b.removeFirst()
		u.s.sendDueLocalResponses()
	}
}

// trackTransaction derives from a command tag whether a transaction is open.
func (u *stream) trackTransaction(tag []byte) {
	switch {
	case bytes.Equal(tag, []byte("BEGIN")), bytes.Equal(tag, []byte("START TRANSACTION")):
		u.inTransaction = true
	case bytes.Equal(tag, []byte("COMMIT")), bytes.Equal(tag, []byte("ROLLBACK")):
		// ROLLBACK TO SAVEPOINT has the same tag but leaves the transaction open.
		u.inTransaction = u.inTransaction && !u.mayEndTransaction
	}
}

// handleError sends an error response, or the injected error in its place. In an extended-query batch, the remaining
// messages up to Sync are ignored and get no response.
func (u *stream) handleError(m *pgproto3.ErrorResponse) error {
	s := u.s
	b := &s.batch
	if len(b.expected) > 0 && b.expected[0].isInjectedError && b.injectedError != nil {
		m = b.injectedError
	}
	b.injectedError = nil
	b.unnamedStatement = nil // a failed Parse leaves it undefined
	if b.isOpen {
		b.isFailed = true
	}
	if len(b.expected) > 0 && b.expected[0].messageType != 'Q' {
		u.discardExpectedToSync()
	}
	return s.out.send(m)
}

// discardExpectedToSync drops the expected responses before the one to the next Sync, and restores the prepared
// statements that their messages changed.
func (u *stream) discardExpectedToSync() {
	b := &u.s.batch
	n := 0
	for n < len(b.expected) && b.expected[n].messageType != 'S' {
		n++
	}
	retained := append([]expectedResponse(nil), b.expected[n:]...)
	b.expected = b.expected[:n]
	u.s.undoPendingParses()
	b.expected = append(b.expected, retained...)
}

// handleReady records the transaction status of ReadyForQuery. It forwards the message unless the status is idle, which
// ends the unit.
func (u *stream) handleReady(m *pgproto3.ReadyForQuery) error {
	u.discardThroughSync()
	u.status = m.TxStatus
	u.inTransaction = m.TxStatus != statusIdle
	u.endsTransaction, u.mayEndTransaction = false, false
	if m.TxStatus == statusIdle {
		u.isDone = true
		return nil
	}
	return u.s.out.send(m)
}

// discardThroughSync drops the expected responses through that of the Query or Sync to which this ReadyForQuery belongs.
func (u *stream) discardThroughSync() {
	b := &u.s.batch
	for len(b.expected) > 0 {
		messageType := b.expected[0].messageType
		b.removeFirst()
		if messageType == 'Q' || messageType == 'S' {
			return
		}
	}
}

// Flush writes the buffered messages to the client. After the final ReadyForQuery it does nothing, because
// finishResponse flushes.
func (u *stream) Flush() error {
	if u.isDone {
		return nil
	}
	return u.s.out.flush()
}
