package messenger

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"parsleyscale/internal/network/dialer"
)

const (
	// pingAfter and pingTimeout find a silent connection within a second. A ping, its answer and their
	// acknowledgements are about 190 bytes, so that an idle connection costs about 0.4 KB/s.
	pingAfter    = 500 * time.Millisecond // without a frame from the peer
	pingTimeout  = 500 * time.Millisecond
	writeTimeout = time.Second // in which the peer's TCP window has to open
	dialTimeout  = time.Second
	headTimeout  = 5 * time.Second
	idleTimeout  = 5 * time.Minute
	// clientIdleTimeout closes the connections that only a peak of load needed.
	clientIdleTimeout = 30 * time.Second
	// maxStreams bounds the units and calls of one connection. A client opens another connection beyond it.
	maxStreams = 1000
	// streamBuffer is the flow-control window of a stream. It covers 30 Mbit/s at a round trip of 60 ms.
	streamBuffer = 256 << 10
	// connectionBuffer lets 15 stalled streams fill their windows without blocking the others.
	connectionBuffer = 4<<20 - 1
	maxHeaderBytes   = 64 << 10
)

// Server serves the other VMs.
type Server struct {
	ln     net.Listener
	http   *http.Server
	cancel context.CancelFunc
	wg     sync.WaitGroup // the accepting goroutine

	mu       sync.Mutex
	idle     *sync.Cond // running became 0
	running  int
	isClosed bool
}

// NewServer serves h on addr; with a nil TLS config it serves unencrypted HTTP/2.
func NewServer(addr string, cfg *tls.Config, h http.Handler) (*Server, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("peer server: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{ln: ln, cancel: cancel}
	s.idle = sync.NewCond(&s.mu)
	s.http = &http.Server{
		Handler:           s.counted(h),
		TLSConfig:         cfg,
		Protocols:         protocols(cfg),
		HTTP2:             serverHTTP2(),
		ReadHeaderTimeout: headTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		BaseContext:       func(net.Listener) context.Context { return ctx },
	}
	s.wg.Go(s.serve)
	return s, nil
}

// serve accepts connections until Close.
func (s *Server) serve() {
	if s.http.TLSConfig == nil {
		s.http.Serve(s.ln)
		return
	}
	s.http.ServeTLS(s.ln, "", "")
}

// counted refuses requests after Close and counts the running ones.
func (s *Server) counted(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !s.enter() {
			http.Error(w, "server is closed", http.StatusServiceUnavailable)
			return
		}
		defer s.leave()
		h.ServeHTTP(w, r)
	})
}

func (s *Server) enter() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isClosed {
		return false
	}
	s.running++
	return true
}

func (s *Server) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	if s.running == 0 {
		s.idle.Broadcast()
	}
}

// Addr returns the address that peers connect to.
func (s *Server) Addr() net.Addr { return s.ln.Addr() }

// Drain stops accepting connections and waits for running requests until ctx ends.
func (s *Server) Drain(ctx context.Context) error {
	if err := s.http.Shutdown(ctx); err != nil {
		return fmt.Errorf("drain peer server: %w", err)
	}
	return nil
}

// Close cancels running requests, closes all connections and waits for the handlers.
func (s *Server) Close() error {
	s.cancel()
	err := s.http.Close()
	s.wg.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isClosed = true
	for s.running > 0 {
		s.idle.Wait()
	}
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// NewClient returns a client for the servers of other VMs. With a nil TLS
// config it speaks unencrypted HTTP/2 to http URLs, otherwise HTTP/2 to https URLs.
// Its requests are bounded by their contexts only. CloseIdleConnections ends it.
func NewClient(cfg *tls.Config) *http.Client {
	return NewClientFrom(cfg, (&net.Dialer{}).DialContext)
}

// NewClientFrom returns a client like that of NewClient whose connections are opened by dial.
func NewClientFrom(cfg *tls.Config, dial dialer.Func) *http.Client {
	s := &spread{load: make(map[string]*[connections]int)}
	for i := range s.transports {
		s.transports[i] = newTransport(cfg, dial)
	}
	return &http.Client{Transport: s}
}

func newTransport(cfg *tls.Config, dial dialer.Func) *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, dialTimeout)
			defer cancel()
			return dial(ctx, network, address)
		},
		TLSClientConfig:     cfg,
		TLSHandshakeTimeout: dialTimeout,
		Protocols:           protocols(cfg),
		HTTP2:               clientHTTP2(),
		IdleConnTimeout:     clientIdleTimeout,
		DisableCompression:  true,
	}
}

func protocols(cfg *tls.Config) *http.Protocols {
	p := new(http.Protocols)
	p.SetHTTP2(cfg != nil)
	p.SetUnencryptedHTTP2(cfg == nil)
	return p
}

func serverHTTP2() *http.HTTP2Config {
	c := clientHTTP2()
	c.MaxConcurrentStreams = maxStreams
	c.MaxReceiveBufferPerConnection = connectionBuffer
	return c
}

// clientHTTP2 leaves the window of the connection at the library's default of
// 1 GB, so that callers who read slowly do not block the answers of others.
func clientHTTP2() *http.HTTP2Config {
	return &http.HTTP2Config{
		SendPingTimeout:           pingAfter,
		PingTimeout:               pingTimeout,
		WriteByteTimeout:          writeTimeout,
		MaxReceiveBufferPerStream: streamBuffer,
	}
}
