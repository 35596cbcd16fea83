package emulator

import (
	"cmp"
	"context"
	"crypto/rand"
	"errors"
	"net"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"parsleyscale/internal/clock/sleeper"
	"parsleyscale/internal/group/connector"
)

const (
	// startupTimeout bounds the start-up of a connection.
	startupTimeout = 10 * time.Second
	// idleInTransactionTimeout ends a session that keeps the write lock without
	// sending anything, for example because its caller is cut off. A client may
	// set another one at start-up with idle_in_transaction_session_timeout.
	idleInTransactionTimeout = 10 * time.Second
	// writeTimeout bounds each write to a client that does not read.
	writeTimeout = 60 * time.Second
	// maxMessageBytes bounds a message of a client.
	maxMessageBytes = 64 << 20
	// flushBytes is the amount of buffered answer that is written to the client.
	flushBytes = 32 << 10
	// keepAliveInterval and keepAliveCount let the kernel end a connection whose peer is gone.
	keepAliveInterval = 5 * time.Second
	keepAliveCount    = 3
)

// session serves one connection.
type session struct {
	idleLimit time.Duration // longest silence of the client while it keeps the write lock
	// localIdleLimit replaces idleLimit until the transaction ends; zero: not set.
	localIdleLimit time.Duration
	server         *Server
	conn           net.Conn
	backend        *pgproto3.Backend
	user           string
	control        bool
	pid            uint32
	secret         []byte
	writing        atomic.Bool // holds the write lock or waits for it

	mu      sync.Mutex
	reason  *pgError           // why the session ends
	stop    context.CancelFunc // cancels the running statement, nil when none runs
	running context.Context

	settings   map[string]string
	statements map[string]*statement
	portals    map[string]*portal
	handle     *handle
	tx         *transaction
	pending    *completion // CommandComplete that waits for the commit
	buffered   int         // bytes of rows since the last flush
	skipping   bool        // after an error in an extended batch, until Sync
}

// startupParameters are reported to each client; drivers rely on them.
var startupParameters = []pgproto3.ParameterStatus{
	{Name: "server_version", Value: "15.0"},
	{Name: "server_encoding", Value: "UTF8"},
	{Name: "client_encoding", Value: "UTF8"},
	{Name: "DateStyle", Value: "ISO, MDY"},
	{Name: "TimeZone", Value: "UTC"},
	{Name: "integer_datetimes", Value: "on"},
	{Name: "standard_conforming_strings", Value: "on"},
}

func (s *Server) serve(c net.Conn) {
	defer c.Close()
	defer s.untrack(c)
	if t, ok := c.(*net.TCPConn); ok {
		cfg := net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveCount}
		_ = t.SetKeepAliveConfig(cfg) // fails only on a closed connection, as the first read then does
	}
	x := &session{
		server: s, conn: c, backend: pgproto3.NewBackend(c, c),
		settings:   make(map[string]string),
		statements: make(map[string]*statement),
		portals:    make(map[string]*portal),
	}
	x.backend.SetMaxBodyLen(maxMessageBytes)
	_ = c.SetDeadline(time.Now().Add(startupTimeout))
	ok, err := x.startup()
	if err != nil {
		x.sendFatal(err)
		return
	}
	if !ok {
		return
	}
	defer s.unregister(x)
	defer x.release()
	x.sendFatal(x.loop())
}

// startup reads the start-up message and answers it. It reports false when the connection is over.
func (x *session) startup() (bool, error) {
	for {
		m, err := x.backend.ReceiveStartupMessage()
		if err != nil {
			return false, nil
		}
		switch m := m.(type) {
		case *pgproto3.SSLRequest, *pgproto3.GSSEncRequest:
			if _, err := x.conn.Write([]byte{'N'}); err != nil {
				return false, nil
			}
		case *pgproto3.CancelRequest:
			x.server.cancelStatement(m.ProcessID, m.SecretKey)
			return false, nil
		case *pgproto3.StartupMessage:
			return x.admit(m)
		}
	}
}

func (x *session) admit(m *pgproto3.StartupMessage) (bool, error) {
	x.user = m.Parameters["user"]
	x.control = x.user == connector.ControlUser
	x.idleLimit = idleLimit(m.Parameters[parameterIdle])
	x.secret = make([]byte, 4)
	rand.Read(x.secret)
	if err := x.server.register(x); err != nil {
		return false, err
	}
	if !x.control {
		sleeper.Sleep(x.server.ctx, time.Duration(x.server.openDelay.Load()))
	}
	x.backend.Send(&pgproto3.AuthenticationOk{})
	for _, p := range startupParameters {
		x.backend.Send(&p)
	}
	if name := m.Parameters["application_name"]; name != "" {
		x.backend.Send(&pgproto3.ParameterStatus{Name: "application_name", Value: name})
	}
	x.backend.Send(&pgproto3.BackendKeyData{ProcessID: x.pid, SecretKey: x.secret})
	x.ready()
	if err := x.flush(); err != nil {
		x.server.unregister(x)
		return false, nil
	}
	return true, nil
}

// idleLimit reads a number of milliseconds. Another value gives the default.
func idleLimit(text string) time.Duration {
	ms, err := strconv.ParseUint(text, 10, 31)
	if err != nil || ms == 0 {
		return idleInTransactionTimeout
	}
	return time.Duration(ms) * time.Millisecond
}

// loop serves messages until the client leaves or the session is ended. The
// error, if any, is sent to the client.
func (x *session) loop() error {
	for {
		m, err := x.receive()
		if err != nil {
			return x.endReason(err)
		}
		if _, ok := m.(*pgproto3.Terminate); ok {
			return nil
		}
		if err := x.handleMessage(m); err != nil {
			return x.endReason(err)
		}
	}
}

// receive waits for the next message. Only a session that keeps the write lock has a deadline.
func (x *session) receive() (pgproto3.FrontendMessage, error) {
	var deadline time.Time
	if x.writing.Load() {
		deadline = time.Now().Add(cmp.Or(x.localIdleLimit, x.idleLimit))
	}
	x.mu.Lock()
	if x.reason == nil {
		_ = x.conn.SetReadDeadline(deadline) // fails only on a closed connection, as the read then does
	}
	x.mu.Unlock()
	return x.backend.Receive()
}

// endReason returns the answer that a session ends with.
func (x *session) endReason(err error) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.reason != nil {
		return x.reason
	}
	if errors.Is(err, os.ErrDeadlineExceeded) && x.writing.Load() {
		return fatal(stateIdleInTransaction, "terminating connection due to idle-in-transaction timeout")
	}
	var p *pgError
	if errors.As(err, &p) && p.fatal {
		return p
	}
	return nil
}

// end makes the session end with an answer as soon as it can be sent.
func (x *session) end(reason *pgError) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.reason == nil {
		x.reason = reason
	}
	if x.stop != nil {
		x.stop()
	}
	_ = x.conn.SetReadDeadline(time.Now())
	_ = x.conn.SetWriteDeadline(time.Now().Add(time.Second))
}

// cancelRunning cancels the statement that runs now, if any.
func (x *session) cancelRunning() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.stop != nil {
		x.stop()
	}
}

// start returns the context of a statement. The function ends the statement.
func (x *session) start() (context.Context, func()) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.running == nil || x.running.Err() != nil {
		x.running, x.stop = context.WithCancel(x.server.ctx)
	}
	stop := x.stop
	if x.reason != nil {
		stop()
	}
	return x.running, x.finish
}

func (x *session) finish() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.stop()
	x.stop, x.running = nil, nil
}

// release frees what the session holds.
func (x *session) release() {
	x.rollback()
	x.closePortals()
	if x.handle != nil {
		x.handle.close()
	}
}

// sendFatal answers the error that ends the session. The end of a command that
// has committed goes out first: without it, an error that means "not committed" would be wrong.
func (x *session) sendFatal(err error) {
	var p *pgError
	if !errors.As(err, &p) {
		return
	}
	if x.tx == nil {
		x.sendPending()
	}
	x.backend.Send(p.response())
	_ = x.flush() // the client may be gone
}

func (x *session) ready() {
	x.backend.Send(&pgproto3.ReadyForQuery{TxStatus: x.txStatus()})
}

func (x *session) flush() error {
	x.buffered = 0
	x.mu.Lock()
	if x.reason == nil {
		_ = x.conn.SetWriteDeadline(time.Now().Add(writeTimeout)) // fails only on a closed connection, as the write then does
	}
	x.mu.Unlock()
	return x.backend.Flush()
}
