package listener

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"runtime/debug"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"parsleyscale/internal/client/budgeter"
	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/request/exchanger"
	"parsleyscale/internal/request/framer"
)

const (
	// bufferRetention is how long an idle session keeps its buffers after the last message.
	bufferRetention = time.Second
	// finalWriteTimeout limits writing the last message of a session, and then reading and discarding the input that
	// follows a message over the size limit.
	finalWriteTimeout = time.Second
	// responseWriteGrace is how long after a unit's deadline its response may still be written.
	responseWriteGrace = 5 * time.Second
)

// errClientDisconnected ends a session whose client closed or lost its connection, or no longer expects a response.
var errClientDisconnected = errors.New("client disconnected")

// Transaction status values of ReadyForQuery.
const (
	statusIdle   = 'I'
	statusOpen   = 'T'
	statusFailed = 'E'
)

// session serves one client connection. All fields are owned by the session's goroutine, except the atomic ones,
// isAdmitted and those below mu.
type session struct {
	l *Listener
	// account is what the client occupies; may be nil. accountedMessageBytes is the part of it for collected messages.
	account               *budgeter.Account
	accountedMessageBytes int

	ctx  context.Context // ends with the session or the listener
	conn net.Conn
	raw  syscall.RawConn // to query the state of the TCP connection; nil if conn is not based on TCP
	in   *framer.Reader
	out  writer

	user, database  string
	processID       uint32
	secretKey       uint32
	requestIDPrefix string // common prefix of the request IDs of this session
	unitCount       uint64 // number of request IDs issued

	params params
	// statements holds the prepared statements by name; the unnamed one has the empty name.
	statements         map[string]*preparedStatement
	statementTextBytes int // total SQL text of statements
	batch              batch
	stream             stream
	lastResult         exchanger.Result // result of the last unit
	// inFailedTransaction is set when a unit fails inside a transaction that the client still considers open.
	// Statements are refused until the client ends the transaction, so that none of them runs outside of it.
	inFailedTransaction bool

	isAdmitted bool // counts against the limit of clients; guarded by l.mu

	isRunning atomic.Bool // set while a unit runs, cleared while the unit waits for the client's next message

	mu         sync.Mutex
	inUnit     bool                    // a unit is in progress, running or waiting for the client
	isDraining bool                    // set by Drain: end as soon as no unit is in progress
	isClosing  bool                    // set by Close: end immediately
	cancelUnit context.CancelCauseFunc // nil if no unit is in progress
}

func newSession(l *Listener, conn net.Conn, account *budgeter.Account) *session {
	s := &session{l: l, conn: conn, account: account}
	s.stream.s = s
	s.setConn(conn)
	return s
}

// setConn makes the session use conn and discards its previous reader and writer. It is called a second time with
// the TLS connection after the handshake.
func (s *session) setConn(conn net.Conn) {
	s.conn = conn
	s.raw = rawConn(conn)
	s.in = framer.NewReader(conn, s.l.cfg.Limits.MessageBytes).WithAccount(s.account)
	s.out = writer{conn: conn, account: s.account}
}

// serve runs the session to its end and closes the connection. If isOverLimit is set, it refuses the client after
// reading the startup message.
func (s *session) serve(isOverLimit bool) {
	defer func() { s.conn.Close() }()
	defer s.recoverPanic()
	// Units derive their contexts from the session's context, to avoid lock contention on the listener's context.
	ctx, cancel := context.WithCancel(s.l.ctx)
	defer cancel()
	s.ctx = ctx
	setUserTimeout(s.raw)
	if err := s.startup(isOverLimit); err != nil {
		s.endWithError(err)
		return
	}
	defer s.l.unregister(s)
	defer s.l.cfg.Observer.ClientDisconnected(s.database)
	s.l.cfg.Observer.ClientConnected(s.database)
	s.endWithError(s.serveUnits())
}

// recoverPanic limits a panic to the session that caused it. Otherwise input that triggers a fault would end the
// sessions of all clients of this VM, and of every VM that the client retries on.
func (s *session) recoverPanic() {
	r := recover()
	if r == nil {
		return
	}
	s.l.cfg.Observer.Event(Event{Name: "sessionPanicked", Remote: s.remoteAddr(), Err: fmt.Errorf("%v: %s", r, debug.Stack())})
}

// endWithError sends the error that ends the session to the client, unless the client has disconnected.
func (s *session) endWithError(err error) {
	if err == nil || isDisconnectError(err) {
		return
	}
	s.l.cfg.Observer.Event(Event{Name: "callerEnded", Remote: s.remoteAddr(), Err: err})
	s.conn.SetWriteDeadline(time.Now().Add(finalWriteTimeout))
	s.out.send(errorResponse(err, "FATAL"))
	s.out.flush()
	if classifier.Is(err, classifier.MessageTooLarge) {
		s.discardInput()
	}
}

// discardInput reads and drops further input for up to finalWriteTimeout. Closing a TCP connection with unread input
// resets it, and the client could see the reset instead of the error response.
func (s *session) discardInput() {
	conn, ok := s.conn.(interface{ CloseWrite() error })
	if !ok || conn.CloseWrite() != nil {
		return
	}
	s.conn.SetReadDeadline(time.Now().Add(finalWriteTimeout))
	if s.l.ctx.Err() == nil {
		io.Copy(io.Discard, s.conn)
	}
}

func (s *session) remoteAddr() string { return s.conn.RemoteAddr().String() }

// serveUnits serves units of work until the session ends, and returns the reason for its end.
func (s *session) serveUnits() error {
	for {
		s.batch.collectedBytes = 0
		_ = s.accountForMessages() // releases, which cannot fail
		messageType, body, err := s.readFirstMessage()
		if err != nil {
			return err
		}
		m, err := s.decodeBatchMessage(messageType, body)
		if err != nil {
			return err
		}
		if err := s.handleMessage(m); err != nil {
			return err
		}
	}
}

// handleMessage handles a message that arrives outside of a unit and, if it starts a unit, runs that unit.
func (s *session) handleMessage(m pgproto3.FrontendMessage) error {
	s.conn.SetWriteDeadline(time.Now().Add(s.l.cfg.Limits.Statement))
	switch m := m.(type) {
	case *pgproto3.Query:
		return s.serveQuery(m)
	case *pgproto3.Parse, *pgproto3.Bind, *pgproto3.Describe, *pgproto3.Execute, *pgproto3.Close, *pgproto3.Sync:
		return s.serveBatch(m)
	case *pgproto3.FunctionCall:
		s.out.send(errorResponse(classifier.New(classifier.Unsupported, "function call messages are not supported"), "ERROR"))
		return s.sendReadyForQuery()
	case *pgproto3.Flush, *pgproto3.CopyData, *pgproto3.CopyDone, *pgproto3.CopyFail:
		return nil // rest of a refused COPY, or a Flush with nothing to flush; PostgreSQL ignores them too
	case *pgproto3.Terminate:
		return errClientDisconnected
	}
	return classifier.New(classifier.BadMessage, "message %T does not start a query or a batch", m)
}

// sendReadyForQuery ends a response while no unit is in progress: it sends ReadyForQuery and flushes the buffer.
func (s *session) sendReadyForQuery() error {
	status := byte(statusIdle)
	if s.inFailedTransaction {
		status = statusFailed
	}
	s.out.send(&pgproto3.ReadyForQuery{TxStatus: status})
	return s.out.flush()
}

// readFirstMessage reads the first message of a unit. A client that stays idle for bufferRetention holds no buffers
// while the session waits.
func (s *session) readFirstMessage() (byte, []byte, error) {
	if s.in.Buffered() == 0 {
		messageType, body, err := s.readMessage(bufferRetention)
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return messageType, body, err
		}
	}
	if s.in.Buffered() == 0 {
		if err := s.waitForInput(); err != nil {
			return 0, nil, err
		}
	}
	messageType, body, err := s.readMessage(s.l.cfg.Limits.Startup)
	return messageType, body, s.timeoutError(err, "sending a message")
}

// waitForInput releases the buffers and waits until the client sends data or Limits.Idle expires.
func (s *session) waitForInput() error {
	s.in.ReleaseBuffer()
	s.out.release()
	s.batch = batch{}
	if err := s.setReadDeadline(s.l.cfg.Limits.Idle); err != nil {
		return err
	}
	return s.timeoutError(s.in.Wait(), "idle")
}

// readMessage reads a message within d. On expiry it returns os.ErrDeadlineExceeded for its caller to translate, or
// errShuttingDown if the session must end.
func (s *session) readMessage(d time.Duration) (byte, []byte, error) {
	if err := s.setReadDeadline(d); err != nil {
		return 0, nil, err
	}
	messageType, body, err := s.in.Next()
	if errors.Is(err, os.ErrDeadlineExceeded) && s.mustEnd() {
		return 0, nil, s.endReason()
	}
	return messageType, body, err
}

// timeoutError translates an expired read deadline into the session's error; activity says what the client was doing.
func (s *session) timeoutError(err error, activity string) error {
	switch {
	case err == nil || !errors.Is(err, os.ErrDeadlineExceeded):
		return err
	case s.mustEnd():
		return s.endReason()
	}
	return classifier.New(classifier.Timeout, "client timed out while %s", activity)
}

// setReadDeadline sets the read deadline to d from now. It fails if the session must end.
func (s *session) setReadDeadline(d time.Duration) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isClosing || s.isDraining && !s.inUnit || s.account.MustEnd() {
		return s.endReason()
	}
	return s.conn.SetReadDeadline(time.Now().Add(d))
}

// endReason returns the error for a session that must end.
func (s *session) endReason() error {
	if s.account.MustEnd() {
		return classifier.New(classifier.Overloaded, "VM needs the resources that this session has occupied for the longest time")
	}
	return errShuttingDown()
}

// mustEnd reports whether Drain, Close or the account requires the session to end now.
func (s *session) mustEnd() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isClosing || s.isDraining && !s.inUnit || s.account.MustEnd()
}

// drain makes the session end now if no unit is in progress, and otherwise after the current unit.
func (s *session) drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isDraining = true
	if !s.inUnit {
		s.conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// closeNow makes the session end immediately and cancels its unit.
func (s *session) closeNow() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isClosing = true
	s.conn.SetReadDeadline(time.Unix(1, 0))
	s.conn.SetWriteDeadline(time.Now().Add(finalWriteTimeout))
	if s.cancelUnit != nil {
		s.cancelUnit(errShuttingDown())
	}
}

// cancelRunningUnit cancels the unit in progress, unless that unit is waiting for the client's next message.
func (s *session) cancelRunningUnit(reason error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cancelUnit != nil && s.isRunning.Load() {
		s.cancelUnit(reason)
	}
}

// beginUnit marks a unit as running. It fails if the session must end.
func (s *session) beginUnit(cancel context.CancelCauseFunc) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isClosing || s.isDraining {
		return errShuttingDown()
	}
	s.inUnit, s.cancelUnit = true, cancel
	s.isRunning.Store(true)
	return nil
}

func (s *session) endUnit() {
	s.isRunning.Store(false)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inUnit, s.cancelUnit = false, nil
}

func (s *session) hasSecretKey(secretKey uint32) bool { return equalSecretKeys(s.secretKey, secretKey) }

// nextRequestID returns the ID that identifies the next unit in logs and at other VMs.
func (s *session) nextRequestID() string {
	s.unitCount++
	return s.requestIDPrefix + strconv.FormatUint(s.unitCount, 10)
}

// isDisconnectError reports whether err means that the client can no longer receive a response.
func isDisconnectError(err error) bool {
	return errors.Is(err, errClientDisconnected) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, net.ErrClosed) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) ||
		errors.Is(err, syscall.ETIMEDOUT) || errors.Is(err, io.ErrClosedPipe)
}
