package listener

import (
	"context"
	"crypto/subtle"
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"parsleyscale/internal/failure/classifier"
)

const (
	// overLimitConnections is the number of connections above Limits.Clients that are still accepted, so that the
	// client receives an error response. Further connections are closed without a response.
	overLimitConnections = 64
	// disconnectPollInterval is the interval between checks for clients that disconnected while their unit was running.
	disconnectPollInterval = 100 * time.Millisecond
	// acceptRetryDelay is the delay after a failed Accept, so that Serve does not spin when file descriptors run out.
	acceptRetryDelay = 20 * time.Millisecond
)

// Listener accepts client connections and serves their sessions.
type Listener struct {
	cfg    Config
	ln     net.Listener
	hash   uint16          // Hash of the VM ID, the high half of all process IDs
	ctx    context.Context // canceled by Close
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu         sync.Mutex
	sessions   map[uint16]*session // by session number, the low half of the process ID
	nextNumber uint16              // session number to try first for the next session
	openConns  int                 // connections, including refused ones and those whose session has ended
	admitted   int                 // connections that count against Limits.Clients: neither refused nor ended
	draining   bool
	closed     bool
}

// New returns a Listener that is bound to cfg.Address. Serve accepts the connections.
func New(cfg Config) (*Listener, error) {
	l, err := newListener(cfg)
	if err != nil {
		return nil, err
	}
	keepAlive := net.ListenConfig{KeepAliveConfig: clientKeepAlive}
	l.ln, err = keepAlive.Listen(l.ctx, "tcp", cfg.Address)
	if err != nil {
		return nil, fmt.Errorf("listener: %w", err)
	}
	l.wg.Go(l.watchDisconnects)
	return l, nil
}

func newListener(cfg Config) (*Listener, error) {
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	l := &Listener{cfg: cfg.withDefaults(), hash: VMHash(cfg.VM), sessions: make(map[uint16]*session)}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	return l, nil
}

// VMHash returns the 16-bit hash of a VM ID that forms the high half of the process IDs of that VM's sessions.
func VMHash(vm string) uint16 { return uint16(xxhash.Sum64String(vm)) }

// Addr returns the network address that clients connect to.
func (l *Listener) Addr() net.Addr { return l.ln.Addr() }

// Clients returns the number of client sessions that have completed startup.
func (l *Listener) Clients() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.sessions)
}

// Serve accepts clients until Drain or Close is called.
func (l *Listener) Serve() error {
	for {
		conn, err := l.ln.Accept()
		switch {
		case err == nil:
			l.serveConn(conn)
		case errors.Is(err, net.ErrClosed):
			return nil
		default:
			l.cfg.Observer.Event(Event{Name: "acceptFailed", Err: err})
			time.Sleep(acceptRetryDelay)
		}
	}
}

// serveConn serves conn in a new goroutine. It closes conn if the listener is stopping or has too many connections.
func (l *Listener) serveConn(conn net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || l.draining || l.openConns >= l.cfg.Limits.Clients+overLimitConnections {
		conn.Close()
		return
	}
	account, err := l.cfg.Budget.Open(conn)
	if err != nil {
		conn.Close()
		return
	}
	l.openConns++
	s := newSession(l, conn, account)
	if l.admitted < l.cfg.Limits.Clients {
		l.admitted++
		s.isAdmitted = true
	}
	isOverLimit := !s.isAdmitted
	l.wg.Go(func() {
		defer account.Close()
		s.serve(isOverLimit)
		l.mu.Lock()
		l.openConns--
		l.release(s)
		l.mu.Unlock()
	})
}

// release ends the count of a connection against the limit of clients. The caller holds l.mu.
func (l *Listener) release(s *session) {
	if s.isAdmitted {
		s.isAdmitted = false
		l.admitted--
	}
}

// register assigns a process ID to a session that completes startup and adds it to the open sessions.
func (l *Listener) register(s *session) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.draining || l.closed {
		return errShuttingDown()
	}
	if len(l.sessions) >= l.cfg.Limits.Clients {
		return classifier.New(classifier.Overloaded, "VM has %d client sessions, the limit is %d", len(l.sessions), l.cfg.Limits.Clients)
	}
	for l.sessions[l.nextNumber] != nil {
		l.nextNumber++
	}
	s.processID = uint32(l.hash)<<16 | uint32(l.nextNumber)
	l.sessions[l.nextNumber] = s
	l.nextNumber++
	return nil
}

func (l *Listener) unregister(s *session) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.sessions, uint16(s.processID))
	l.release(s)
}

// Cancel cancels the running unit of a session. It reports whether this VM has a session with that process ID and key.
func (l *Listener) Cancel(processID, secretKey uint32) bool {
	l.mu.Lock()
	s := l.sessions[uint16(processID)]
	l.mu.Unlock()
	if s == nil || s.processID != processID || !s.hasSecretKey(secretKey) {
		return false
	}
	s.cancelRunningUnit(classifier.New(classifier.Canceled, "canceled by the client"))
	return true
}

// cancelOrForward serves a cancel request: it cancels the unit of a local session, or else forwards the request to
// other VMs. As the protocol demands, the client gets no response.
func (l *Listener) cancelOrForward(processID uint32, secretKey []byte) {
	if len(secretKey) != secretKeyBytes {
		return
	}
	key := binary.BigEndian.Uint32(secretKey)
	if l.Cancel(processID, key) || l.cfg.ForwardCancel == nil {
		return
	}
	ctx, cancel := context.WithTimeout(l.ctx, l.cfg.Limits.Startup)
	defer cancel()
	l.cfg.ForwardCancel(ctx, uint16(processID>>16), processID, key)
}

// watchDisconnects periodically cancels running units whose client has closed the connection. A separate check is
// necessary because no goroutine reads from a client's connection while its statement runs.
func (l *Listener) watchDisconnects() {
	ticker := time.NewTicker(disconnectPollInterval)
	defer ticker.Stop()
	var running []*session
	for {
		select {
		case <-l.ctx.Done():
			return
		case <-ticker.C:
		}
		running = l.appendRunningSessions(running[:0])
		for _, s := range running {
			if isDisconnected(s.raw) {
				s.cancelRunningUnit(errClientDisconnected)
			}
		}
		clear(running)
	}
}

// appendRunningSessions appends the sessions whose unit is running to dst.
func (l *Listener) appendRunningSessions(dst []*session) []*session {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.sessions {
		if s.isRunning.Load() {
			dst = append(dst, s)
		}
	}
	return dst
}

// Drain stops accepting clients, ends each session as soon as it has no unit in progress, and waits until all
// sessions have ended or ctx is done.
func (l *Listener) Drain(ctx context.Context) error {
	l.mu.Lock()
	l.draining = true
	for _, s := range l.sessions {
		s.drain()
	}
	l.mu.Unlock()
	l.ln.Close()
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for l.Clients() > 0 {
		select {
		case <-ctx.Done():
			return fmt.Errorf("drain: %d client sessions still open: %w", l.Clients(), ctx.Err())
		case <-ticker.C:
		}
	}
	return nil
}

// drainPollInterval is the interval at which Drain checks the number of open sessions.
const drainPollInterval = 5 * time.Millisecond

// Close stops accepting clients, cancels running units, closes all connections and waits for their goroutines.
func (l *Listener) Close() error {
	l.mu.Lock()
	l.closed = true
	for _, s := range l.sessions {
		s.closeNow()
	}
	l.mu.Unlock()
	l.cancel()
	err := l.ln.Close()
	l.wg.Wait()
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

func errShuttingDown() error { return classifier.New(classifier.ShuttingDown, "VM is stopping") }

// equalSecretKeys compares in constant time, so that the response time does not reveal how much of a guess is right.
func equalSecretKeys(a, b uint32) bool { return subtle.ConstantTimeEq(int32(a), int32(b)) == 1 }
