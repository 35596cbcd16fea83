package conductor

import (
	"context"
	"errors"
	"fmt"
	"net"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"parsleyscale/internal/client/budgeter"
	"parsleyscale/internal/sheet/cataloger"
	"parsleyscale/internal/statement/namer"
	"parsleyscale/internal/statement/performer"
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
	stop     stopTimes // of a planned stop; the zero value before

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
	if s.stop.isSet() {
		sess.stopAt = s.stop.idleEnd // a client that has just connected is disconnected last
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

// Stop ends all sessions, so that the process can end within grace. From notice on, it closes idle sessions, at random times. A statement
// is answered, or refused at once if it could take too long. Stop returns when all sessions have ended, but not before notice,
// and in any case while there is time to end the process.
func (s *Server) Stop(notice, grace time.Duration) {
	now := time.Now()
	s.mu.Lock()
	s.stop = newStopTimes(now, notice, grace, s.longestStatement())
	for sess, conn := range s.sessions {
		sess.stopAt = s.stop.randomIdleEnd()
		_ = conn.SetReadDeadline(now) // wakes the session, which then waits until its new deadline
	}
	stop := s.stop
	s.mu.Unlock()
	done := make(chan struct{})
	go func() {
		for s.SessionCount() > 0 || time.Now().Before(stop.noticeEnd) {
			time.Sleep(stopPollInterval)
			s.wakeDueSessions()
			if now := time.Now(); now.After(stop.txEnd) || now.After(stop.idleEnd) {
				_ = s.cfg.Listener.Close() // too little time is left for the statements of new clients
			}
		}
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(time.Until(stop.closeEnd)):
	}
	_ = s.cfg.Listener.Close()
	s.cancel()
}

// longestStatement returns how long a statement may take on any route of the configuration.
func (s *Server) longestStatement() time.Duration {
	longest := performer.MaxDuration(performer.Request{})
	if cfg := s.cfg.Configuration(); cfg != nil {
		for _, route := range cfg.Routes {
			longest = max(longest, performer.MaxDuration(performer.Request{Route: route}))
		}
	}
	return longest
}

// admit returns the request of a statement that arrives now, or false if a planned stop refuses it.
func (s *Server) admit(r performer.Request) (performer.Request, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stop.admit(time.Now(), r)
}

// wakeDueSessions wakes the sessions that wait for their clients although their stop time, or the
// end of transactions, has passed.
func (s *Server) wakeDueSessions() {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for sess, conn := range s.sessions {
		if now.After(sess.stopAt) || now.After(s.stop.txEnd) {
			_ = conn.SetReadDeadline(now)
		}
	}
}

// stopPollInterval is how often a planned stop checks for sessions that are due to be closed.
const stopPollInterval = 20 * time.Millisecond

func (s *Server) stopTimeOf(sess *session) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return sess.stopAt
}

func (s *Server) transactionsEnd() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stop.txEnd
}
