package conductor

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"parsleyscale/internal/client/budgeter"
	"parsleyscale/internal/sheet/cataloger"
	"parsleyscale/internal/statement/namer"
	"parsleyscale/internal/team/authenticator"
)

// Config holds the dependencies and limits of a Server.
type Config struct {
	Listener      net.Listener
	Accept        func(c net.Conn, a *budgeter.Account) ClientConn
	Budget        *budgeter.Budget                // of the process; nil for no limits
	Configuration func() *cataloger.Configuration // returns nil while the VM has no configuration yet
	Performer     Performer
	Names         *namer.Namer         // names of prepared statements on all connections of the VM
	Clock         func() time.Duration // keeps counting while the VM is suspended
	OnEnd         func(reason string)  // called when a session has ended; may be nil
	OnPanic       func(err error)      // called with the value and the stack of a panic that has ended a session; may be nil
	MaxSessions   int                  // maximum number of concurrent sessions; zero for no limit

	Authentication authenticator.Rule                                 // of callers, in a configuration with teams
	SilentFor      func() time.Duration                               // since the store or another VM last answered; may be nil
	OnRefuse       func(reason authenticator.Reason, database string) // called for each operation refused for its key; may be nil
	Admitter       Admitter                                           // may be nil
}

// Server accepts client connections and runs a session on each.
type Server struct {
	cfg Config

	mu       sync.Mutex
	sessions map[*session]net.Conn
	// Times of a planned stop. They are zero as long as Stop has not been called.
	noticeEnd time.Time // from then on idle sessions are closed
	stopEnd   time.Time // by then all sessions are closed
	txEnd     time.Time // by then open transactions must have ended

	open   atomic.Int64
	wg     sync.WaitGroup
	ctx    context.Context
	cancel context.CancelFunc
}

// NewServer returns a server with the given configuration. Call Serve to run it.
func NewServer(cfg Config) *Server {
	s := &Server{cfg: cfg, sessions: map[*session]net.Conn{}}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	return s
}

// Serve accepts client connections until the listener is closed. Connections above the limit are closed at once.
func (s *Server) Serve() error {
	for {
		conn, err := s.cfg.Listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			time.Sleep(acceptRetryDelay)
			continue
		}
		if s.cfg.MaxSessions > 0 && s.open.Load() >= int64(s.cfg.MaxSessions) {
			_ = conn.Close()
			continue
		}
		account, err := s.cfg.Budget.Open(conn)
		if err != nil {
			_ = conn.Close()
			continue
		}
		s.open.Add(1)
		s.wg.Go(func() {
			defer account.Close()
			s.run(conn, account)
		})
	}
}

// acceptRetryDelay is the delay after a failed accept, most likely for lack of file descriptors.
const acceptRetryDelay = 20 * time.Millisecond

func (s *Server) run(conn net.Conn, account *budgeter.Account) {
	sess := &session{server: s, client: s.cfg.Accept(conn, account), account: account}
	s.mu.Lock()
	s.sessions[sess] = conn
	if !s.noticeEnd.IsZero() {
		sess.stopAt = s.stopEnd // a client that has just connected is disconnected last
	}
	s.mu.Unlock()
	reason := s.serve(sess)
	s.mu.Lock()
	delete(s.sessions, sess)
	s.mu.Unlock()
	s.open.Add(-1)
	if s.cfg.OnEnd != nil {
		s.cfg.OnEnd(reason)
	}
}

// serve runs a session and returns the reason for its end. A panic ends only the session that caused it: a statement that
// triggers a fault would otherwise end the sessions of all clients of this VM, and of each VM that its client retries on.
func (s *Server) serve(sess *session) (reason string) {
	defer func() {
		if p := recover(); p != nil {
			reason = panicked
			sess.client.Close()
			if s.cfg.OnPanic != nil {
				s.cfg.OnPanic(fmt.Errorf("%v: %s", p, debug.Stack()))
			}
		}
	}()
	return sess.serve(s.ctx)
}

// panicked is the reason for the end of a session that caused a panic.
const panicked = "panicked"

// SessionCount returns the number of open sessions.
func (s *Server) SessionCount() int { return int(s.open.Load()) }

// Stop ends all sessions within total. Until notice has passed, it closes no idle session; then it closes
// them at random times within the first three quarters of the remaining time. Open transactions may go on for 60% of total, and
// at least until notice. A statement that has begun to arrive is answered. Stop returns when
// all sessions have ended, but not before notice, or shortly after total.
func (s *Server) Stop(notice, total time.Duration) {
	now := time.Now()
	s.mu.Lock()
	s.noticeEnd, s.stopEnd, s.txEnd = now.Add(notice), now.Add(total), now.Add(max(notice, total*6/10))
	for sess, conn := range s.sessions {
		sess.stopAt = s.randomStopTime()
		_ = conn.SetReadDeadline(now) // wakes the session, which then waits until its new deadline
	}
	s.mu.Unlock()
	done := make(chan struct{})
	go func() {
		for s.SessionCount() > 0 || time.Now().Before(s.noticeEnd) {
			time.Sleep(stopPollInterval)
			s.wakeDueSessions()
			if time.Now().After(s.txEnd) {
				_ = s.cfg.Listener.Close() // too little time is left for the statements of new clients
			}
		}
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(total + stopGrace):
	}
	_ = s.cfg.Listener.Close()
	s.cancel()
}

// wakeDueSessions wakes the sessions that wait for their clients although their stop time, or the
// end of transactions, has passed.
func (s *Server) wakeDueSessions() {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for sess, conn := range s.sessions {
		if now.After(sess.stopAt) || now.After(s.txEnd) {
			_ = conn.SetReadDeadline(now)
		}
	}
}

const (
	// stopPollInterval is how often a planned stop checks for sessions that are due to be closed.
	stopPollInterval = 20 * time.Millisecond
	// stopGrace is how long a planned stop waits beyond its total time for sessions to end.
	stopGrace = 300 * time.Millisecond
)

// randomStopTime returns the stop time of an idle session. The times are spread, so that clients
// do not reconnect all at once. The caller must hold s.mu.
func (s *Server) randomStopTime() time.Time {
	window := s.stopEnd.Sub(s.noticeEnd) * 3 / 4
	return s.noticeEnd.Add(time.Duration(rand.Int64N(int64(max(window, 1)))))
}

func (s *Server) stopTimeOf(sess *session) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return sess.stopAt
}

func (s *Server) transactionsEnd() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.txEnd
}
