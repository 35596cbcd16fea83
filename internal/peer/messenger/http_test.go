package messenger

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"
)

func newTestServer(t *testing.T, cfg *tls.Config, h http.HandlerFunc) *Server {
	t.Helper()
	s, err := NewServer("127.0.0.1:0", cfg, h)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.Close() })
	return s
}

// TestProtocol guards against a fall-back to HTTP/1, which has no streams and no pings.
func TestProtocol(t *testing.T) {
	h := func(w http.ResponseWriter, r *http.Request) { io.WriteString(w, r.Proto) }
	cert := httptest.NewUnstartedServer(nil)
	cert.StartTLS()
	defer cert.Close()
	for _, row := range []struct {
		name           string
		server, client *tls.Config
		scheme         string
	}{
		{"unencrypted", nil, nil, "http"},
		{"tls", cert.TLS.Clone(), cert.Client().Transport.(*http.Transport).TLSClientConfig, "https"},
	} {
		s := newTestServer(t, row.server, h)
		client := NewClient(row.client)
		defer client.CloseIdleConnections()
		resp, err := client.Get(row.scheme + "://" + s.Addr().String())
		if err != nil {
			t.Fatalf("%s: %v", row.name, err)
		}
		defer resp.Body.Close()
		if b, _ := io.ReadAll(resp.Body); string(b) != "HTTP/2.0" {
			t.Errorf("%s: server saw %q", row.name, b)
		}
	}
}

// silentLink is a TCP relay that can stop passing bytes without closing anything.
type silentLink struct {
	ln       net.Listener
	mu       sync.Mutex
	isSilent bool
}

func newSilentLink(t *testing.T, to string) *silentLink {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &silentLink{ln: ln}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			near, err := ln.Accept()
			if err != nil {
				return
			}
			far, err := net.Dial("tcp", to)
			if err != nil {
				near.Close()
				continue
			}
			go l.pass(near, far)
			go l.pass(far, near)
		}
	}()
	return l
}

func (l *silentLink) pass(from, to net.Conn) {
	b := make([]byte, 4096)
	for {
		n, err := from.Read(b)
		if err != nil {
			from.Close()
			to.Close()
			return
		}
		l.mu.Lock()
		isSilent := l.isSilent
		l.mu.Unlock()
		if !isSilent {
			to.Write(b[:n])
		}
	}
}

func (l *silentLink) fallSilent() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isSilent = true
}

// TestSilentConnection guards against a request that hangs on a connection
// that went silent, at the client and at the server.
func TestSilentConnection(t *testing.T) {
	started, ended := make(chan struct{}), make(chan time.Time, 1)
	s := newTestServer(t, nil, func(w http.ResponseWriter, r *http.Request) {
		http.NewResponseController(w).Flush()
		close(started)
		<-r.Context().Done()
		ended <- time.Now()
	})
	link := newSilentLink(t, s.Addr().String())
	client := NewClient(nil)
	defer client.CloseIdleConnections()
	resp, err := client.Get("http://" + link.ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	<-started
	link.fallSilent()
	since := time.Now()
	if _, err := io.ReadAll(resp.Body); err == nil {
		t.Error("answer ended without an error")
	}
	if d := time.Since(since); d > 1500*time.Millisecond {
		t.Errorf("client noticed after %v", d)
	}
	select {
	case at := <-ended:
		if d := at.Sub(since); d > 1500*time.Millisecond {
			t.Errorf("server noticed after %v", d)
		}
	case <-time.After(5 * time.Second):
		t.Error("server did not notice")
	}
}

// TestCloseWaits guards against handlers that go on after Close.
func TestCloseWaits(t *testing.T) {
	started := make(chan struct{})
	isDone := false
	s := newTestServer(t, nil, func(_ http.ResponseWriter, r *http.Request) {
		close(started)
		<-r.Context().Done()
		time.Sleep(50 * time.Millisecond)
		isDone = true
	})
	client := NewClient(nil)
	defer client.CloseIdleConnections()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	go func() {
		r, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.Addr().String(), nil)
		if resp, err := client.Do(r); err == nil {
			resp.Body.Close()
		}
	}()
	<-started
	s.Close()
	if !isDone {
		t.Error("close returned before the handler")
	}
}

// TestSpread guards against a load that stays on one connection, and against counts that never fall.
func TestSpread(t *testing.T) {
	release := make(chan struct{})
	var mu sync.Mutex
	seen := map[string]bool{}
	s := newTestServer(t, nil, func(_ http.ResponseWriter, r *http.Request) {
		mu.Lock()
		seen[r.RemoteAddr] = true
		mu.Unlock()
		<-release
	})
	client := NewClient(nil)
	defer client.CloseIdleConnections()
	var wg sync.WaitGroup
	for range connections * streamsBeforeNext {
		wg.Go(func() {
			resp, err := client.Get("http://" + s.Addr().String())
			if err != nil {
				t.Error(err)
				return
			}
			resp.Body.Close()
		})
	}
	time.Sleep(200 * time.Millisecond)
	close(release)
	wg.Wait()
	if len(seen) != connections {
		t.Errorf("%d connections, want %d", len(seen), connections)
	}
	if n := len(client.Transport.(*spread).load); n != 0 {
		t.Errorf("%d hosts still have a load", n)
	}
}
