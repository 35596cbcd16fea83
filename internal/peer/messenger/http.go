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
	// pingIdleDelay is the time without a frame from the peer after which a ping is sent. Together with pingTimeout it
	// detects an unresponsive connection within a second. A ping, its response and their TCP acknowledgements are about
	// 190 bytes, so an idle connection costs about 0.4 KB/s.
	pingIdleDelay = 500 * time.Millisecond
	// pingTimeout limits the wait for the response to a ping.
	pingTimeout = 500 * time.Millisecond
	// writeStallTimeout is the time after which a connection is closed if no byte can be written to it, because the
	// peer's TCP window stays closed.
	writeStallTimeout = time.Second
	// dialTimeout limits the dial and the TLS handshake of a client, each on its own.
	dialTimeout = time.Second
	// readHeaderTimeout limits the time in which a server reads the header of a request.
	readHeaderTimeout = 5 * time.Second
	// serverIdleTimeout is the time after which a server closes an idle connection.
	serverIdleTimeout = 5 * time.Minute
	// clientIdleTimeout is the time after which a client closes an idle connection. It closes those that only a peak
	// of load needed.
	clientIdleTimeout = 30 * time.Second
	// maxStreamsPerConnection limits the concurrent units and calls on a connection. A client that needs more opens
	// another connection.
	maxStreamsPerConnection = 1000
	// streamWindowBytes is the flow-control window of a stream. It allows 30 Mbit/s at a round-trip time of 60 ms.
	streamWindowBytes = 256 << 10
	// serverConnectionWindowBytes is the flow-control window of a connection at the server. It lets 15 stalled streams
	// fill their windows without blocking the others.
	serverConnectionWindowBytes = 4<<20 - 1
	// maxHeaderBytes limits the header of a request.
	maxHeaderBytes = 64 << 10
)

// Server serves the requests of other VMs.
type Server struct {
	ln     net.Listener
	http   *http.Server
	cancel context.CancelFunc
	wg     sync.WaitGroup // of the goroutine that accepts connections

	mu       sync.Mutex
	idle     *sync.Cond // signals that running became 0
	running  int        // requests being handled
	isClosed bool
}

// NewServer starts a server for h on addr. With a nil TLS config it serves unencrypted HTTP/2.
func NewServer(addr string, tlsConfig *tls.Config, h http.Handler) (*Server, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("peer server: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{ln: ln, cancel: cancel}
	s.idle = sync.NewCond(&s.mu)
	s.http = &http.Server{
		Handler:           s.trackRequests(h),
		TLSConfig:         tlsConfig,
		Protocols:         protocols(tlsConfig),
		HTTP2:             serverHTTP2(),
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       serverIdleTimeout,
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

// trackRequests counts the running requests of h and rejects requests after Close.
func (s *Server) trackRequests(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !s.beginRequest() {
			http.Error(w, "server is closed", http.StatusServiceUnavailable)
			return
		}
		defer s.endRequest()
		h.ServeHTTP(w, r)
	})
}

// beginRequest counts a request, unless the server is closed, and reports whether it did.
func (s *Server) beginRequest() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isClosed {
		return false
	}
	s.running++
	return true
}

// endRequest ends a request that beginRequest has accepted.
func (s *Server) endRequest() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	if s.running == 0 {
		s.idle.Broadcast()
	}
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() net.Addr { return s.ln.Addr() }

// Drain stops accepting connections and waits until the running requests have ended or ctx is done.
func (s *Server) Drain(ctx context.Context) error {
	if err := s.http.Shutdown(ctx); err != nil {
		return fmt.Errorf("drain peer server: %w", err)
	}
	return nil
}

// Close cancels the running requests, closes all connections and waits until the handlers have returned.
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

// NewClient returns a client for the servers of other VMs. With a nil TLS config it uses unencrypted HTTP/2 for http
// URLs, and otherwise HTTP/2 over TLS for https URLs. Only the context of a request limits its duration. The caller
// closes the client's connections with CloseIdleConnections after the last request.
func NewClient(tlsConfig *tls.Config) *http.Client {
	return NewClientFrom(tlsConfig, (&net.Dialer{}).DialContext)
}

// NewClientFrom returns a client like NewClient, but opens connections with dial.
func NewClientFrom(tlsConfig *tls.Config, dial dialer.Func) *http.Client {
	b := &balancer{runningByHost: make(map[string]*[maxConnectionsPerHost]int)}
	for i := range b.transports {
		b.transports[i] = newTransport(tlsConfig, dial)
	}
	return &http.Client{Transport: b}
}

// newTransport returns a transport that opens connections with dial.
func newTransport(tlsConfig *tls.Config, dial dialer.Func) *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, dialTimeout)
			defer cancel()
			return dial(ctx, network, address)
		},
		TLSClientConfig:     tlsConfig,
		TLSHandshakeTimeout: dialTimeout,
		Protocols:           protocols(tlsConfig),
		HTTP2:               clientHTTP2(),
		IdleConnTimeout:     clientIdleTimeout,
		DisableCompression:  true,
	}
}

// protocols allows only HTTP/2, which is unencrypted if the TLS config is nil.
func protocols(tlsConfig *tls.Config) *http.Protocols {
	p := new(http.Protocols)
	p.SetHTTP2(tlsConfig != nil)
	p.SetUnencryptedHTTP2(tlsConfig == nil)
	return p
}

// serverHTTP2 returns the HTTP/2 settings of a server.
func serverHTTP2() *http.HTTP2Config {
	c := clientHTTP2()
	c.MaxConcurrentStreams = maxStreamsPerConnection
	c.MaxReceiveBufferPerConnection = serverConnectionWindowBytes
	return c
}

// clientHTTP2 returns the HTTP/2 settings of a client. It leaves the flow-control window of the connection at the
// library's default of 1 GB, so that clients that read slowly do not block the responses to others.
func clientHTTP2() *http.HTTP2Config {
	return &http.HTTP2Config{
		SendPingTimeout:           pingIdleDelay,
		PingTimeout:               pingTimeout,
		WriteByteTimeout:          writeStallTimeout,
		MaxReceiveBufferPerStream: streamWindowBytes,
	}
}
