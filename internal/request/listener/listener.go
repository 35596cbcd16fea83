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
	// refusable is the number of connections above the limit that still get a proper refusal.
	refusable = 64
	// hangUpInterval is the time between two looks at the connections of callers whose unit is running.
	hangUpInterval = 100 * time.Millisecond
	// acceptPause keeps a lack of file descriptors from turning Serve into a busy loop.
	acceptPause = 20 * time.Millisecond
)

// Listener accepts callers.
type Listener struct {
	cfg    Config
	ln     net.Listener
	hash   uint16
	ctx    context.Context // ends when the listener is closed
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu       sync.Mutex
	sessions map[uint16]*session // by the low half of the process id
	next     uint16
	open     int // connections, also those that have not started up
	draining bool
	closed   bool
}

// New opens the address of cfg.
func New(cfg Config) (*Listener, error) {
	l, err := newListener(cfg)
	if err != nil {
		return nil, err
	}
	keepAlive := net.ListenConfig{KeepAliveConfig: callerKeepAlive}
	l.ln, err = keepAlive.Listen(l.ctx, "tcp", cfg.Address)
	if err != nil {
		return nil, fmt.Errorf("listener: %w", err)
	}
	l.wg.Go(l.watch)
	return l, nil
}

func newListener(cfg Config) (*Listener, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	l := &Listener{cfg: cfg.withDefaults(), hash: Hash(cfg.VM), sessions: make(map[uint16]*session)}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	return l, nil
}

// Hash returns the part of a process id that names a VM.
func Hash(vm string) uint16 { return uint16(xxhash.Sum64String(vm)) }

// Addr returns the address that callers connect to.
func (l *Listener) Addr() net.Addr { return l.ln.Addr() }

// Callers returns the number of callers that have started up.
func (l *Listener) Callers() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.sessions)
}

// Serve accepts callers until Drain or Close.
func (l *Listener) Serve() error {
	for {
		conn, err := l.ln.Accept()
		switch {
		case err == nil:
			l.start(conn)
		case errors.Is(err, net.ErrClosed):
			return nil
		default:
			l.cfg.Observer.Event(Event{Name: "acceptFailed", Err: err})
			time.Sleep(acceptPause)
		}
	}
}

// start serves a connection in its own goroutine.
func (l *Listener) start(conn net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || l.draining || l.open >= l.cfg.Limits.Callers+refusable {
		conn.Close()
		return
	}
	l.open++
	isOver := l.open > l.cfg.Limits.Callers
	l.wg.Go(func() {
		newSession(l, conn).serve(isOver)
		l.mu.Lock()
		l.open--
		l.mu.Unlock()
	})
}

// register gives a session its process id.
func (l *Listener) register(s *session) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.draining || l.closed {
		return errStopping()
	}
	if len(l.sessions) >= l.cfg.Limits.Callers {
		return classifier.New(classifier.Overloaded, "the VM has %d callers", len(l.sessions))
	}
	for l.sessions[l.next] != nil {
		l.next++
	}
	s.processID = uint32(l.hash)<<16 | uint32(l.next)
	l.sessions[l.next] = s
	l.next++
	return nil
}

func (l *Listener) unregister(s *session) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.sessions, uint16(s.processID))
}

// Cancel cancels the running unit of a session. It reports whether the session is known here.
func (l *Listener) Cancel(processID, secretKey uint32) bool {
	l.mu.Lock()
	s := l.sessions[uint16(processID)]
	l.mu.Unlock()
	if s == nil || s.processID != processID || !s.hasKey(secretKey) {
		return false
	}
	s.cancelStatement(classifier.New(classifier.Canceled, "canceled by the caller"))
	return true
}

// cancelByMessage serves a cancel request. The caller gets no answer, as the protocol demands.
func (l *Listener) cancelByMessage(processID uint32, secretKey []byte) {
	if len(secretKey) != secretKeyBytes {
		return
	}
	key := binary.BigEndian.Uint32(secretKey)
	if l.Cancel(processID, key) || l.cfg.ForwardCancel == nil {
		return
	}
	ctx, cancel := context.WithTimeout(l.ctx, l.cfg.Limits.StartUp)
	defer cancel()
	l.cfg.ForwardCancel(ctx, uint16(processID>>16), processID, key)
}

// watch cancels the units of callers that have closed their connection. Nobody
// reads from a caller's connection while its statement runs.
func (l *Listener) watch() {
	tick := time.NewTicker(hangUpInterval)
	defer tick.Stop()
	var running []*session
	for {
		select {
		case <-l.ctx.Done():
			return
		case <-tick.C:
		}
		running = l.appendRunning(running[:0])
		for _, s := range running {
			if isHungUp(s.raw) {
				s.cancelStatement(errCallerGone)
			}
		}
		clear(running)
	}
}

func (l *Listener) appendRunning(list []*session) []*session {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.sessions {
		if s.isRunning.Load() {
			list = append(list, s)
		}
	}
	return list
}

// Drain stops accepting callers, ends sessions between transactions, and waits for running units until ctx ends.
func (l *Listener) Drain(ctx context.Context) error {
	l.mu.Lock()
	l.draining = true
	for _, s := range l.sessions {
		s.stop()
	}
	l.mu.Unlock()
	l.ln.Close()
	tick := time.NewTicker(drainInterval)
	defer tick.Stop()
	for l.Callers() > 0 {
		select {
		case <-ctx.Done():
			return fmt.Errorf("drain: %d callers are left: %w", l.Callers(), ctx.Err())
		case <-tick.C:
		}
	}
	return nil
}

// drainInterval is the time between two looks of Drain at the number of callers.
const drainInterval = 5 * time.Millisecond

// Close stops accepting callers, cancels running units, closes all connections and waits for their goroutines.
func (l *Listener) Close() error {
	l.mu.Lock()
	l.closed = true
	for _, s := range l.sessions {
		s.kill()
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

func errStopping() error { return classifier.New(classifier.ShuttingDown, "the VM is stopping") }

// isSameKey compares in constant time, so that a secret key cannot be guessed byte by byte.
func isSameKey(a, b uint32) bool { return subtle.ConstantTimeEq(int32(a), int32(b)) == 1 }
