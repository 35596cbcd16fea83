package messenger

import (
	"io"
	"net/http"
	"sync"
)

const (
	// connections is the most connections to one VM. All streams of a
	// connection pass through one goroutine at each end: with 64 callers on
	// loopback, four connections carried twice the units of one.
	connections = 4
	// streamsBeforeNext is the load at which the next connection is used, so
	// that a quiet pair of VMs keeps and pings only one.
	streamsBeforeNext = 4
)

// spread is a RoundTripper over several transports. It uses the first ones
// while the load is low.
type spread struct {
	transports [connections]*http.Transport

	mu   sync.Mutex
	load map[string]*[connections]int // running requests for each host
}

// RoundTrip sends a request on the connection that suits the load of its host.
func (s *spread) RoundTrip(r *http.Request) (*http.Response, error) {
	host := r.URL.Host
	i := s.enter(host)
	resp, err := s.transports[i].RoundTrip(r)
	if err != nil {
		s.leave(host, i)
		return nil, err
	}
	resp.Body = &countedBody{ReadCloser: resp.Body, leave: func() { s.leave(host, i) }}
	return resp, nil
}

// enter returns the first connection with few streams, or the one with the fewest.
func (s *spread) enter(host string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	load := s.load[host]
	if load == nil {
		load = new([connections]int)
		s.load[host] = load
	}
	best := 0
	for i, n := range load {
		if n < streamsBeforeNext {
			best = i
			break
		}
		if n < load[best] {
			best = i
		}
	}
	load[best]++
	return best
}

// leave forgets hosts without a request, so that the map holds no VM that is gone.
func (s *spread) leave(host string, i int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	load := s.load[host]
	load[i]--
	if *load == [connections]int{} {
		delete(s.load, host)
	}
}

// CloseIdleConnections lets http.Client.CloseIdleConnections reach the transports.
func (s *spread) CloseIdleConnections() {
	for _, t := range s.transports {
		t.CloseIdleConnections()
	}
}

// countedBody reports when the answer has been read or given up.
type countedBody struct {
	io.ReadCloser
	leave func()
	once  sync.Once
}

// Close ends the request.
func (b *countedBody) Close() error {
	b.once.Do(b.leave)
	return b.ReadCloser.Close()
}
