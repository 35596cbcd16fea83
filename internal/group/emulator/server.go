package emulator

import (
	"context"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"parsleyscale/internal/clock/sleeper"
	"parsleyscale/internal/group/connector"
)

// Server is a running instance.
type Server struct {
	cfg          Config
	listener     net.Listener
	group        *group
	slots        chan struct{} // holds a token for each free slot
	openDelay    atomic.Int64  // ns
	receiveDelay atomic.Int64  // ns
	ctx          context.Context
	cancel       context.CancelFunc
	wg           sync.WaitGroup

	mu       sync.Mutex
	sessions map[uint32]*session // by process number of the protocol
	conns    map[net.Conn]bool   // in start-up, before they have a session
	nextPID  uint32
	ordinary int // sessions of ordinary users
	control  int // sessions of the control user
	closing  bool
}

// Start opens the instance's files and serves until Close.
func Start(cfg Config) (*Server, error) {
	cfg, err := cfg.withDefaults()
	if err != nil {
		return nil, err
	}
	if err := os.MkdirAll(cfg.Dir, 0o700); err != nil {
		return nil, fmt.Errorf("directory of instance %s: %w", cfg.Name, err)
	}
	l, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return nil, fmt.Errorf("instance %s: %w", cfg.Name, err)
	}
	g, err := openGroup(cfg)
	if err != nil {
		l.Close()
		return nil, fmt.Errorf("instance %s: %w", cfg.Name, err)
	}
	s := newServer(cfg, l, g)
	s.wg.Go(s.accept)
	s.wg.Go(func() { g.applyLoop(s.ctx) })
	s.wg.Go(func() { g.replicateLoop(s.ctx, &s.receiveDelay) })
	return s, nil
}

func newServer(cfg Config, l net.Listener, g *group) *Server {
	s := &Server{
		cfg: cfg, listener: l, group: g, slots: make(chan struct{}, cfg.Slots),
		sessions: make(map[uint32]*session), conns: make(map[net.Conn]bool),
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	for range cfg.Slots {
		s.slots <- struct{}{}
	}
	s.openDelay.Store(int64(cfg.OpenDelay))
	s.receiveDelay.Store(int64(cfg.ReceiveDelay))
	g.demoted = s.endWriters
	return s
}

// Addr returns the address that the instance listens on.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// SetOpenDelay changes the delay of each new connection of an ordinary user.
func (s *Server) SetOpenDelay(d time.Duration) { s.openDelay.Store(int64(d)) }

// SetReceiveDelay changes the time from the pull of an entry until the replica holds it.
func (s *Server) SetReceiveDelay(d time.Duration) { s.receiveDelay.Store(int64(d)) }

// SetApplyDelay changes the time from holding an entry until reads see it.
func (s *Server) SetApplyDelay(d time.Duration) {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	s.group.applyDelay = d
	s.group.notify()
}

// Status returns the state that a control connection reports.
func (s *Server) Status() connector.Status {
	st := s.group.status()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.withConnections(st)
}

// withConnections adds the counts of connections. The caller holds mu.
func (s *Server) withConnections(st connector.Status) connector.Status {
	st.Connections, st.Limit = s.ordinary, s.cfg.Connections
	return st
}

// Close ends all sessions with SQLSTATE 57P01 and waits for them. Running
// statements are canceled and open transactions rolled back.
func (s *Server) Close() error {
	s.mu.Lock()
	if s.closing {
		s.mu.Unlock()
		s.wg.Wait()
		return nil
	}
	s.closing = true
	for c := range s.conns {
		c.Close()
	}
	for _, x := range s.sessions {
		x.end(fatal(stateAdminShutdown, "terminating connection due to administrator command"))
	}
	s.mu.Unlock()
	s.listener.Close()
	s.cancel()
	s.wg.Wait()
	s.group.store.closeApplier()
	return s.group.close()
}

func (s *Server) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			if s.ctx.Err() != nil {
				return
			}
			sleeper.Sleep(s.ctx, 10*time.Millisecond) // out of file descriptors
			continue
		}
		if !s.track(c) {
			c.Close()
			return
		}
		s.wg.Go(func() { s.serve(c) })
	}
}

// track registers a connection in start-up; it reports false once the server is closing.
func (s *Server) track(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing {
		return false
	}
	s.conns[c] = true
	return true
}

// register admits a session after its start-up message.
func (s *Server) register(x *session) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	count, limit := &s.ordinary, s.cfg.Connections
	if x.control {
		count, limit = &s.control, s.cfg.ControlConnections
	}
	switch {
	case s.closing:
		return fatal(stateAdminShutdown, "the instance is shutting down")
	case *count >= limit:
		return fatal(stateTooManyConnections, "sorry, too many clients already")
	}
	*count++
	s.nextPID++
	x.pid = s.nextPID
	s.sessions[x.pid] = x
	delete(s.conns, x.conn)
	return nil
}

func (s *Server) unregister(x *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, x.pid)
	if x.control {
		s.control--
	} else {
		s.ordinary--
	}
}

func (s *Server) untrack(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// cancelStatement handles a cancel request; a wrong secret is ignored, as in PostgreSQL.
func (s *Server) cancelStatement(pid uint32, secret []byte) {
	s.mu.Lock()
	x := s.sessions[pid]
	s.mu.Unlock()
	if x != nil && string(x.secret) == string(secret) {
		x.cancelRunning()
	}
}

// endWriters ends the sessions that hold the write lock or wait for it, so
// that an idle transaction of a demoted primary does not block the log.
func (s *Server) endWriters() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, x := range s.sessions {
		if x.writing.Load() {
			x.end(fatal(connector.SQLStateFenced, "instance was demoted, the transaction is not committed"))
		}
	}
}

// takeSlot waits for a slot.
func (s *Server) takeSlot(ctx context.Context) error {
	select {
	case <-s.slots:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *Server) freeSlot() { s.slots <- struct{}{} }
