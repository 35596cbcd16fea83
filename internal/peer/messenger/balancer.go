package messenger

import (
	"io"
	"net/http"
	"sync"
)

const (
	// maxConnectionsPerHost limits the connections to one VM. All streams of a connection pass through one goroutine at
	// each end: with 64 clients on loopback, four connections carried twice as many units as one.
	maxConnectionsPerHost = 4
	// streamsBeforeNext is the number of streams on a connection from which the next connection is used. Two VMs that
	// exchange few messages thus keep and ping only one connection.
	streamsBeforeNext = 4
)

// balancer is a RoundTripper that distributes requests over several transports, each of which has its own connection to
// a host. While there are few requests, it uses only the first transports.
type balancer struct {
	transports [maxConnectionsPerHost]*http.Transport

	mu            sync.Mutex
	runningByHost map[string]*[maxConnectionsPerHost]int // running requests on each transport
}

// RoundTrip sends a request on the transport that acquire selects.
func (b *balancer) RoundTrip(r *http.Request) (*http.Response, error) {
	host := r.URL.Host
	i := b.acquire(host)
	resp, err := b.transports[i].RoundTrip(r)
	if err != nil {
		b.release(host, i)
		return nil, err
	}
	resp.Body = &releasingBody{ReadCloser: resp.Body, release: func() { b.release(host, i) }}
	return resp, nil
}

// acquire counts a request to a host and returns the index of its transport: the first one with fewer than
// streamsBeforeNext requests or, if there is none, the one with the fewest.
func (b *balancer) acquire(host string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	running := b.runningByHost[host]
	if running == nil {
		running = new([maxConnectionsPerHost]int)
		b.runningByHost[host] = running
	}
	best := 0
	for i, n := range running {
		if n < streamsBeforeNext {
			best = i
			break
		}
		if n < running[best] {
			best = i
		}
	}
	running[best]++
	return best
}

// release ends a request. It removes hosts without a request from the map, so that VMs that no longer exist do not
// accumulate.
func (b *balancer) release(host string, i int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	running := b.runningByHost[host]
	running[i]--
	if *running == [maxConnectionsPerHost]int{} {
		delete(b.runningByHost, host)
	}
}

// CloseIdleConnections closes the idle connections of all transports. http.Client.CloseIdleConnections calls it.
func (b *balancer) CloseIdleConnections() {
	for _, t := range b.transports {
		t.CloseIdleConnections()
	}
}

// releasingBody calls release once when the response body is closed.
type releasingBody struct {
	io.ReadCloser
	release func()
	once    sync.Once
}

// Close closes the body and ends the request in the counts of the balancer.
func (b *releasingBody) Close() error {
	b.once.Do(b.release)
	return b.ReadCloser.Close()
}
