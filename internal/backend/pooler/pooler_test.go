package pooler

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"math/big"
	"testing"
	"testing/synctest"
	"time"

	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/sheet/parser"
)

var instance = parser.Instance{Name: "a", Address: "127.0.0.1:1", Slots: 1, Connections: 4}

func newPool(t *testing.T, s *server, gateways int) *Pool {
	p, err := New(Config{User: "u", DatabaseOf: func(string) string { return "db" }, Dial: s.dial})
	if err != nil {
		t.Fatal(err)
	}
	p.SetGateways("db", gateways)
	t.Cleanup(p.Close)
	return p
}

func within(t *testing.T, d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), d)
	t.Cleanup(cancel)
	return ctx
}

func get(t *testing.T, p *Pool) *Conn {
	t.Helper()
	c, err := p.Get(within(t, time.Minute), instance)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// bubble runs a test in simulated time and closes the pool inside it.
func bubble(t *testing.T, s *server, gateways int, f func(t *testing.T, p *Pool)) {
	synctest.Test(t, func(t *testing.T) {
		p := newPool(t, s, gateways)
		f(t, p)
		p.Close()
		for _, c := range s.conns {
			_ = c.Close()
		}
	})
}

// A gateway must not open more than its share, and a request in line must end with its deadline.
func TestShare(t *testing.T) {
	s := &server{}
	bubble(t, s, 2, func(t *testing.T, p *Pool) {
		first, second := get(t, p), get(t, p)
		_, err := p.Get(within(t, time.Second), instance)
		if !classifier.Is(err, classifier.Overloaded) {
			t.Fatalf("third connection: got %v", err)
		}
		handed := make(chan *Conn)
		go func() { handed <- get(t, p) }()
		synctest.Wait()
		first.Release()
		if c := <-handed; c != first {
			t.Error("the waiting request did not get the released connection")
		}
		go func() { handed <- get(t, p) }()
		synctest.Wait()
		second.Discard()
		if c := <-handed; c == second {
			t.Error("discarded connection reused")
		}
		synctest.Wait() // the server sees the end of a connection later than the pool
		if n := s.openCount(); n != 2 {
			t.Errorf("%d connections open, want 2", n)
		}
		if st := p.Stats()["a"]; st.Open != 2 || st.Share != 2 || st.Opened != 3 || st.Discarded != 1 || s.database != "db" {
			t.Errorf("got %+v, database %q", st, s.database)
		}
	})
}

// Each gateway must have at least one connection.
func TestShareOfManyGateways(t *testing.T) {
	bubble(t, &server{}, 6, func(t *testing.T, p *Pool) {
		if n := p.Share(instance); n != 1 {
			t.Errorf("share %d, want 1", n)
		}
	})
}

// A refusal by the instance must shrink the share for a while and not reach the request.
func TestRefusalShrinksShare(t *testing.T) {
	s := &server{limit: 2}
	bubble(t, s, 1, func(t *testing.T, p *Pool) {
		first := get(t, p)
		get(t, p)
		go func() {
			time.Sleep(300 * time.Millisecond)
			first.Release()
		}()
		start := time.Now()
		get(t, p)
		if d := time.Since(start); d < 300*time.Millisecond || d > 400*time.Millisecond {
			t.Errorf("third request waited %s, want the release after 300ms", d)
		}
		if st := p.Stats()["a"]; st.Share != 2 || st.Refused != 1 {
			t.Errorf("after the refusal: %+v", st)
		}
		s.set(func() { s.limit = 0 })
		time.Sleep(2 * DefaultGrowEvery)
		if n := p.Share(instance); n != 4 {
			t.Errorf("share %d after two intervals, want 4", n)
		}
	})
}

// A refusal of the only connection must be tried again until the deadline.
func TestRefusalOfOnlyConnection(t *testing.T) {
	s := &server{refuse: 3}
	bubble(t, s, 1, func(t *testing.T, p *Pool) {
		get(t, p).Release()
		s.set(func() { s.refuse = 1 << 30 })
		get(t, p).Discard()
		// The deadline falls into a pause between two attempts, which are 50ms apart.
		if _, err := p.Get(within(t, 975*time.Millisecond), instance); !classifier.Is(err, classifier.Overloaded) {
			t.Errorf("got %v", err)
		}
	})
}

// A silent idle connection must be replaced before a request uses it.
func TestSilentIdleConnection(t *testing.T) {
	s := &server{}
	bubble(t, s, 1, func(t *testing.T, p *Pool) {
		old := get(t, p)
		old.Release()
		s.set(func() { s.silent = true })
		time.Sleep(DefaultCheckAfter/2 + DefaultDialTimeout + time.Millisecond)
		start := time.Now()
		if c := get(t, p); c == old {
			t.Error("silent connection reused")
		}
		if d := time.Since(start); d > DefaultDialTimeout {
			t.Errorf("request waited %s", d)
		}
	})
}

// Several silent idle connections must cost a request the time of one check.
func TestSilentIdleConnections(t *testing.T) {
	s := &server{}
	bubble(t, s, 1, func(t *testing.T, p *Pool) {
		conns := []*Conn{get(t, p), get(t, p), get(t, p)}
		for _, c := range conns {
			c.Release()
		}
		s.set(func() { s.silent = true })
		time.Sleep(DefaultCheckAfter + time.Millisecond)
		start := time.Now()
		get(t, p)
		if d := time.Since(start); d > DefaultDialTimeout {
			t.Errorf("request waited %s, want at most %s", d, DefaultDialTimeout)
		}
	})
}

// Connections beyond the warm one must not stay open without use.
func TestIdleTimeout(t *testing.T) {
	s := &server{}
	bubble(t, s, 1, func(t *testing.T, p *Pool) {
		first, second := get(t, p), get(t, p)
		first.Release()
		second.Release()
		time.Sleep(DefaultIdleTimeout + 2*DefaultCheckAfter)
		if st := p.Stats()["a"]; st.Open != 1 || s.openCount() != 1 {
			t.Errorf("%d connections open, the instance has %d, want 1", st.Open, s.openCount())
		}
		p.SetGateways("db", 0)
		synctest.Wait()
		if n := s.openCount(); n != 0 {
			t.Errorf("%d connections open although this VM is no gateway", n)
		}
	})
}

// A connection that the peer has closed must be found before a request uses it.
func TestClosedIdleConnection(t *testing.T) {
	s := &server{}
	p, err := New(Config{User: "u"})
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	i := instance
	i.Address = s.listen(t)
	old, err := p.Get(within(t, time.Second), i)
	if err != nil {
		t.Fatal(err)
	}
	old.Release()
	s.set(func() { _ = s.conns[0].Close() })
	time.Sleep(10 * time.Millisecond) // for the kernel to deliver the end of the stream
	c, err := p.Get(within(t, time.Second), i)
	if err != nil || c == old {
		t.Fatalf("closed connection reused, or error %v", err)
	}
	c.Cancel()
	p.Close() // waits for the cancel request to be sent
	for range 100 {
		s.mu.Lock()
		n := len(s.canceled)
		s.mu.Unlock()
		if n == 1 {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Errorf("instance got cancel requests %v, want one", s.canceled)
}

// Get, Cancel and the check of an idle connection must work over TLS.
func TestTLS(t *testing.T) {
	cert, roots := newCertificate(t)
	s := &server{tls: &tls.Config{Certificates: []tls.Certificate{cert}}}
	p, err := New(Config{User: "u", TLS: &tls.Config{RootCAs: roots, ServerName: "instance"}, CheckAfter: time.Hour})
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	i := instance
	i.Address = s.listen(t)
	old, err := p.Get(within(t, time.Second), i)
	if err != nil {
		t.Fatal(err)
	}
	old.Release()
	if c, err := p.Get(within(t, time.Second), i); err != nil || c != old {
		t.Fatalf("idle connection not reused, %v", err)
	}
	old.Cancel()
	p.Close()
	for range 100 {
		s.mu.Lock()
		n := len(s.canceled)
		s.mu.Unlock()
		if n == 1 {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Errorf("instance got cancel requests %v, want one", s.canceled)
}

func newCertificate(t *testing.T) (tls.Certificate, *x509.CertPool) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	c := &x509.Certificate{SerialNumber: big.NewInt(1), DNSNames: []string{"instance"}, NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true}
	der, err := x509.CreateCertificate(rand.Reader, c, c, key.Public(), key)
	if err != nil {
		t.Fatal(err)
	}
	leaf, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	roots := x509.NewCertPool()
	roots.AddCert(leaf)
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}, roots
}
