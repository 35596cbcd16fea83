package conductor

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"parsleyscale/internal/sheet/cataloger"
	"parsleyscale/internal/statement/namer"
)

// Config holds what a Server needs of its VM.
type Config struct {
	Listener      net.Listener
	Accept        func(c net.Conn) Caller
	Configuration func() *cataloger.Configuration // nil: none yet
	Performer     Performer
	Names         *namer.Namer         // of all links of the VM
	Clock         func() time.Duration // counts suspensions
	OnEnd         func(reason string)  // a session has ended; may be nil
	Limit         int                  // sessions at once; zero: no limit
}

// Server serves the callers of a VM.
type Server struct {
	cfg Config

	mu       sync.Mutex
	sessions map[*session]net.Conn
	notice   time.Time // when idle sessions begin to be closed; zero: no stop is planned
	end      time.Time // by which all are closed
	txEnd    time.Time // by which open transactions have to end

	open   atomic.Int64
	wg     sync.WaitGroup
	ctx    context.Context
	cancel context.CancelFunc
}

// NewServer returns a server; Serve runs it.
func NewServer(cfg Config) *Server {
	s := &Server{cfg: cfg, sessions: map[*session]net.Conn{}}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	return s
}

// Serve accepts callers until the listener is closed.
func (s *Server) Serve() error {
	for {
		c, err := s.cfg.Listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			time.Sleep(acceptPause)
			continue
		}
		if s.cfg.Limit > 0 && s.open.Load() >= int64(s.cfg.Limit) {
			_ = c.Close()
			continue
		}
		s.open.Add(1)
		s.wg.Go(func() { s.run(c) })
	}
}

// acceptPause is the wait after a failed accept, which most likely lacked a descriptor.
const acceptPause = 20 * time.Millisecond

func (s *Server) run(conn net.Conn) {
	c := &session{s: s, caller: s.cfg.Accept(conn)}
	s.mu.Lock()
	s.sessions[c] = conn
	if !s.notice.IsZero() {
		c.endAt = s.end // the caller has only just come
	}
	s.mu.Unlock()
	reason := c.serve(s.ctx)
	s.mu.Lock()
	delete(s.sessions, c)
	s.mu.Unlock()
	s.open.Add(-1)
	if s.cfg.OnEnd != nil {
		s.cfg.OnEnd(reason)
	}
}

// Open returns the number of sessions.
func (s *Server) Open() int { return int(s.open.Load()) }

// Stop ends all sessions as planned: after notice, idle ones are closed over the
// time that is left of total; transactions may go on for half of the total. A
// statement that has begun to arrive is answered. Stop waits until all have ended
// or total is over.
func (s *Server) Stop(notice, total time.Duration) {
	now := time.Now()
	s.mu.Lock()
	s.notice, s.end, s.txEnd = now.Add(notice), now.Add(total), now.Add(max(notice, total*6/10))
	for c, conn := range s.sessions {
		c.endAt = s.drawEnd()
		_ = conn.SetReadDeadline(now) // wakes the session, which then waits for its new deadline
	}
	s.mu.Unlock()
	done := make(chan struct{})
	go func() {
		for s.Open() > 0 || time.Now().Before(s.notice) {
			time.Sleep(stopPoll)
			s.wakeEnded()
			if time.Now().After(s.txEnd) {
				_ = s.cfg.Listener.Close() // a caller that comes later would find no time for its statements
			}
		}
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(total + stopSlack):
	}
	_ = s.cfg.Listener.Close()
	s.cancel()
}

// wakeEnded wakes the sessions whose end has come but that wait for their callers.
func (s *Server) wakeEnded() {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c, conn := range s.sessions {
		if now.After(c.endAt) || now.After(s.txEnd) {
			_ = conn.SetReadDeadline(now)
		}
	}
}

const (
	stopPoll  = 20 * time.Millisecond
	stopSlack = 300 * time.Millisecond
)

// drawEnd spreads the ends of idle sessions, so that their callers do not reconnect all at once.
func (s *Server) drawEnd() time.Time {
	window := s.end.Sub(s.notice) * 3 / 4
	return s.notice.Add(time.Duration(rand.Int64N(int64(max(window, 1)))))
}

func (s *Server) endOf(c *session) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return c.endAt
}

func (s *Server) transactionsEnd() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.txEnd
}
