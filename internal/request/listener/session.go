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

	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/request/exchanger"
	"parsleyscale/internal/request/framer"
)

const (
	// bufferHold is the time that a caller keeps its buffers after its last message.
	bufferHold = time.Second
	// stopWrite bounds the last message to a caller while the VM stops.
	stopWrite = time.Second
	// writeGrace is how long after the deadline of a unit its answer may still be written.
	writeGrace = 5 * time.Second
)

// errCallerGone ends a session whose caller closed or lost its connection.
var errCallerGone = errors.New("caller is gone")

// Transaction states in ReadyForQuery.
const (
	statusIdle   = 'I'
	statusOpen   = 'T'
	statusFailed = 'E'
)

// session serves one caller. Its goroutine owns all fields but those below mu and the atomic ones.
type session struct {
	l    *Listener
	ctx  context.Context // ends with the session or the listener
	conn net.Conn
	raw  syscall.RawConn // for the state of the TCP connection; nil for other connections
	in   *framer.Reader
	out  writer

	user, database string
	processID      uint32
	secretKey      uint32
	idPrefix       string // of the correlation identities of this session's units
	units          uint64

	settings   settings
	statements map[string]*statement
	textBytes  int // of the statements
	batch      batch
	stream     stream
	served     exchanger.Result // of the last unit
	// isFailed is set when a Runner lost a transaction that the caller believes
	// open. Statements are refused until the caller ends the transaction, so
	// that none of them runs outside of it.
	isFailed bool

	isRunning atomic.Bool // a unit runs and does not wait for the caller

	mu         sync.Mutex
	inUnit     bool
	isStopping bool // Drain: end between transactions
	isKilled   bool // Close: end now
	cancelUnit context.CancelCauseFunc
}

func newSession(l *Listener, conn net.Conn) *session {
	s := &session{l: l, conn: conn}
	s.stream.s = s
	s.setConn(conn)
	return s
}

// setConn makes the session use conn, which is the TLS connection after its handshake.
func (s *session) setConn(conn net.Conn) {
	s.conn = conn
	s.raw = rawConn(conn)
	s.in = framer.NewReader(conn, s.l.cfg.Limits.MessageBytes)
	s.out = writer{conn: conn}
}

// serve runs the session until its end.
func (s *session) serve(isOver bool) {
	defer func() { s.conn.Close() }()
	defer s.recoverPanic()
	// Units derive their contexts from the session's, so that they do not all
	// contend for the lock of the listener's context.
	ctx, cancel := context.WithCancel(s.l.ctx)
	defer cancel()
	s.ctx = ctx
	setUserTimeout(s.raw)
	if err := s.startUp(isOver); err != nil {
		s.end(err)
		return
	}
	defer s.l.unregister(s)
	defer s.l.cfg.Observer.CallerClosed(s.database)
	s.l.cfg.Observer.CallerOpened(s.database)
	s.end(s.loop())
}

// recoverPanic keeps a fault that one caller's input reaches from ending the
// sessions of all others, here and on the VMs that the caller tries next.
func (s *session) recoverPanic() {
	r := recover()
	if r == nil {
		return
	}
	s.l.cfg.Observer.Event(Event{Name: "sessionPanicked", Remote: s.remote(), Err: fmt.Errorf("%v: %s", r, debug.Stack())})
}

// end sends the reason for the end of the session, unless the caller is gone.
func (s *session) end(err error) {
	if err == nil || isGone(err) {
		return
	}
	s.l.cfg.Observer.Event(Event{Name: "callerEnded", Remote: s.remote(), Err: err})
	s.conn.SetWriteDeadline(time.Now().Add(stopWrite))
	s.out.send(errorResponse(err, "FATAL"))
	s.out.flush()
	if classifier.Is(err, classifier.MessageTooLarge) {
		s.discardInput()
	}
}

// discardInput reads what the caller still sends, for a bounded time. Closing
// with unread input resets the connection, and the caller would see the reset in place of the error.
func (s *session) discardInput() {
	conn, ok := s.conn.(interface{ CloseWrite() error })
	if !ok || conn.CloseWrite() != nil {
		return
	}
	s.conn.SetReadDeadline(time.Now().Add(stopWrite))
	if s.l.ctx.Err() == nil {
		io.Copy(io.Discard, s.conn)
	}
}

// remote returns the address of the caller.
func (s *session) remote() string { return s.conn.RemoteAddr().String() }

// loop serves units until the caller or the VM ends the session.
func (s *session) loop() error {
	for {
		kind, body, err := s.nextIdle()
		if err != nil {
			return err
		}
		s.batch.bytes = 0
		m, err := s.decodeOfBatch(kind, body)
		if err != nil {
			return err
		}
		if err := s.handle(m); err != nil {
			return err
		}
	}
}

// handle serves a message that arrives between units.
func (s *session) handle(m pgproto3.FrontendMessage) error {
	s.conn.SetWriteDeadline(time.Now().Add(s.l.cfg.Limits.Statement))
	switch m := m.(type) {
	case *pgproto3.Query:
		return s.serveQuery(m)
	case *pgproto3.Parse, *pgproto3.Bind, *pgproto3.Describe, *pgproto3.Execute, *pgproto3.Close, *pgproto3.Sync:
		return s.serveBatch(m)
	case *pgproto3.FunctionCall:
		s.out.send(errorResponse(classifier.New(classifier.Unsupported, "function call message"), "ERROR"))
		return s.ready()
	case *pgproto3.Flush, *pgproto3.CopyData, *pgproto3.CopyDone, *pgproto3.CopyFail:
		return nil // leftovers of a refused COPY, ignored as PostgreSQL does
	case *pgproto3.Terminate:
		return errCallerGone
	}
	return classifier.New(classifier.BadMessage, "message %T between statements", m)
}

// ready ends an answer that no Runner gave.
func (s *session) ready() error {
	status := byte(statusIdle)
	if s.isFailed {
		status = statusFailed
	}
	s.out.send(&pgproto3.ReadyForQuery{TxStatus: status})
	return s.out.flush()
}

// nextIdle waits for the first message of a unit. The buffers are released when the caller stays idle.
func (s *session) nextIdle() (byte, []byte, error) {
	if s.in.Buffered() == 0 {
		kind, body, err := s.next(bufferHold)
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return kind, body, err
		}
	}
	if s.in.Buffered() == 0 {
		if err := s.waitIdle(); err != nil {
			return 0, nil, err
		}
	}
	kind, body, err := s.next(s.l.cfg.Limits.StartUp)
	return kind, body, s.readError(err, "sending a message")
}

// waitIdle waits without buffers until the caller sends something.
func (s *session) waitIdle() error {
	s.in.Release()
	s.out.release()
	s.batch = batch{}
	if err := s.armRead(s.l.cfg.Limits.Idle); err != nil {
		return err
	}
	return s.readError(s.in.Wait(), "idle")
}

// next reads a message and waits for at most d. It returns os.ErrDeadlineExceeded as it is.
func (s *session) next(d time.Duration) (byte, []byte, error) {
	if err := s.armRead(d); err != nil {
		return 0, nil, err
	}
	kind, body, err := s.in.Next()
	if errors.Is(err, os.ErrDeadlineExceeded) && s.mustStop() {
		return 0, nil, errStopping()
	}
	return kind, body, err
}

// readError names the wait that a read deadline ended.
func (s *session) readError(err error, doing string) error {
	switch {
	case err == nil || !errors.Is(err, os.ErrDeadlineExceeded):
		return err
	case s.mustStop():
		return errStopping()
	}
	return classifier.New(classifier.Timeout, "caller was %s for too long", doing)
}

// armRead sets the read deadline, unless the session has to stop.
func (s *session) armRead(d time.Duration) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isKilled || s.isStopping && !s.inUnit {
		return errStopping()
	}
	return s.conn.SetReadDeadline(time.Now().Add(d))
}

func (s *session) mustStop() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isKilled || s.isStopping && !s.inUnit
}

// stop ends the session between transactions.
func (s *session) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isStopping = true
	if !s.inUnit {
		s.conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// kill ends the session now.
func (s *session) kill() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isKilled = true
	s.conn.SetReadDeadline(time.Unix(1, 0))
	s.conn.SetWriteDeadline(time.Now().Add(stopWrite))
	if s.cancelUnit != nil {
		s.cancelUnit(errStopping())
	}
}

// cancelStatement cancels the running unit, unless it waits for the caller's next statement.
func (s *session) cancelStatement(reason error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cancelUnit != nil && s.isRunning.Load() {
		s.cancelUnit(reason)
	}
}

// beginUnit marks a unit as running; it fails when the session has to stop.
func (s *session) beginUnit(cancel context.CancelCauseFunc) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isKilled || s.isStopping {
		return errStopping()
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

func (s *session) hasKey(secretKey uint32) bool { return isSameKey(s.secretKey, secretKey) }

// nextID returns the correlation identity of the next unit.
func (s *session) nextID() string {
	s.units++
	return s.idPrefix + strconv.FormatUint(s.units, 10)
}

// isGone reports whether err means that nobody reads an answer.
func isGone(err error) bool {
	return errors.Is(err, errCallerGone) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, net.ErrClosed) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) ||
		errors.Is(err, syscall.ETIMEDOUT) || errors.Is(err, io.ErrClosedPipe)
}
