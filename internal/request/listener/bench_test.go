package listener

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/http/httptest"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"parsleyscale/internal/request/exchanger"
)

// cannedRunner answers each message of a batch with as little work as possible.
type cannedRunner struct{}

func (cannedRunner) Run(_ context.Context, _ exchanger.Request, s exchanger.Stream) (exchanger.Result, error) {
	row := &pgproto3.DataRow{Values: [][]byte{[]byte("1")}}
	done := &pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")}
	for {
		m, err := s.Receive()
		if err != nil {
			return exchanger.Result{}, err
		}
		switch m.(type) {
		case *pgproto3.Parse:
			s.Send(&pgproto3.ParseComplete{})
		case *pgproto3.Bind:
			s.Send(&pgproto3.BindComplete{})
		case *pgproto3.Execute:
			s.Send(row)
			s.Send(done)
		case *pgproto3.Query:
			s.Send(&pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{Name: []byte("a"), DataTypeOID: 25}}})
			s.Send(row)
			s.Send(done)
			s.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
			return exchanger.Result{}, s.Flush()
		case *pgproto3.Sync:
			s.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
			return exchanger.Result{}, s.Flush()
		}
	}
}

// rawCaller is a caller without the cost of a driver.
type rawCaller struct {
	conn net.Conn
	f    *pgproto3.Frontend
}

func dialRaw(t testing.TB, addr string) *rawCaller {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	return newRawCaller(t, conn)
}

// newRawCaller starts up on a connection.
func newRawCaller(t testing.TB, conn net.Conn) *rawCaller {
	t.Helper()
	c := &rawCaller{conn: conn, f: pgproto3.NewFrontend(conn, conn)}
	c.f.Send(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30,
		Parameters: map[string]string{"user": "clerk", "database": "orders"}})
	c.f.Flush()
	if err := c.untilReady(); err != nil {
		t.Fatal(err)
	}
	return c
}

func (c *rawCaller) untilReady() error {
	for {
		m, err := c.f.Receive()
		if err != nil {
			return err
		}
		switch m := m.(type) {
		case *pgproto3.ErrorResponse:
			return fmt.Errorf("%s: %s", m.Code, m.Message)
		case *pgproto3.ReadyForQuery:
			return nil
		}
	}
}

// simple sends a simple query and waits for its answer.
func (c *rawCaller) simple() error {
	c.f.Send(&pgproto3.Query{String: "SELECT weight FROM tickets WHERE id = 7"})
	c.f.Flush()
	return c.untilReady()
}

// extended runs a named statement as drivers do.
func (c *rawCaller) extended() error {
	c.f.Send(&pgproto3.Bind{PreparedStatement: "s", Parameters: [][]byte{[]byte("7")}})
	c.f.Send(&pgproto3.Execute{})
	c.f.Send(&pgproto3.Sync{})
	c.f.Flush()
	return c.untilReady()
}

func (c *rawCaller) prepare(t testing.TB) {
	t.Helper()
	c.f.Send(&pgproto3.Parse{Name: "s", Query: "SELECT weight FROM tickets WHERE id = $1"})
	c.f.Send(&pgproto3.Sync{})
	c.f.Flush()
	if err := c.untilReady(); err != nil {
		t.Fatal(err)
	}
}

// BenchmarkStatement measures one caller with a Runner that does nothing: the
// latency that listener and forwarder add, and allocations for each statement.
// The case "echo" is the cost of the same loopback exchange without a listener.
func BenchmarkStatement(b *testing.B) {
	b.Run("echo", func(b *testing.B) { benchmarkCaller(b, dialRaw(b, echoServer(b)), (*rawCaller).simple) })
	for _, way := range []struct {
		name   string
		runner func(testing.TB, exchanger.Runner) exchanger.Runner
	}{{"local", direct}, {"forwarded", through}} {
		b.Run(way.name+"/simple", func(b *testing.B) {
			l := startListener(b, newTestConfig(b, way.runner(b, cannedRunner{})))
			benchmarkCaller(b, dialRaw(b, l.Addr().String()), (*rawCaller).simple)
		})
		b.Run(way.name+"/extended", func(b *testing.B) {
			l := startListener(b, newTestConfig(b, way.runner(b, cannedRunner{})))
			c := dialRaw(b, l.Addr().String())
			c.prepare(b)
			benchmarkCaller(b, c, (*rawCaller).extended)
		})
		b.Run(way.name+"/callers64", func(b *testing.B) {
			l := startListener(b, newTestConfig(b, way.runner(b, cannedRunner{})))
			benchmarkMany(b, l, 64)
		})
	}
}

func benchmarkCaller(b *testing.B, c *rawCaller, statement func(*rawCaller) error) {
	defer c.conn.Close()
	b.ReportAllocs()
	for b.Loop() {
		if err := statement(c); err != nil {
			b.Fatal(err)
		}
	}
}

// benchmarkMany spreads the statements over n callers.
func benchmarkMany(b *testing.B, l *Listener, n int) {
	callers := make([]*rawCaller, n)
	for i := range callers {
		callers[i] = dialRaw(b, l.Addr().String())
		defer callers[i].conn.Close()
	}
	b.ReportAllocs()
	b.ResetTimer()
	var wg sync.WaitGroup
	for i, c := range callers {
		count := b.N / n
		if i < b.N%n {
			count++
		}
		wg.Go(func() {
			for range count {
				if err := c.simple(); err != nil {
					b.Error(err)
					return
				}
			}
		})
	}
	wg.Wait()
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "statements/s")
}

// echoServer answers start-up and simple queries with canned bytes.
func echoServer(b *testing.B) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { ln.Close() })
	go func() {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		f := pgproto3.NewBackend(conn, conn)
		f.ReceiveStartupMessage()
		f.Send(&pgproto3.AuthenticationOk{})
		f.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
		f.Flush()
		for {
			if _, err := f.Receive(); err != nil {
				return
			}
			f.Send(&pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{Name: []byte("a"), DataTypeOID: 25}}})
			f.Send(&pgproto3.DataRow{Values: [][]byte{[]byte("1")}})
			f.Send(&pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")})
			f.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
			f.Flush()
		}
	}()
	return ln.Addr().String()
}

// BenchmarkIdleCaller measures the memory of a caller that has run a
// statement and is idle, heap and stack. The caller's own side is in the same
// process, and its connection counts too.
func BenchmarkIdleCaller(b *testing.B) {
	b.Run("plain", func(b *testing.B) {
		l := startListener(b, newTestConfig(b, cannedRunner{}))
		benchmarkIdle(b, l, func(conn net.Conn) net.Conn { return conn })
	})
	b.Run("tls", func(b *testing.B) {
		cert := httptest.NewUnstartedServer(nil)
		cert.StartTLS()
		defer cert.Close()
		cfg := newTestConfig(b, cannedRunner{})
		cfg.TLS = &tls.Config{Certificates: cert.TLS.Certificates}
		l := startListener(b, cfg)
		benchmarkIdle(b, l, func(conn net.Conn) net.Conn {
			conn.Write([]byte("\x00\x00\x00\x08\x04\xd2\x16\x2f"))
			conn.Read(make([]byte, 1))
			return tls.Client(conn, &tls.Config{InsecureSkipVerify: true})
		})
	})
}

func benchmarkIdle(b *testing.B, l *Listener, wrap func(net.Conn) net.Conn) {
	const callers = 5000
	for b.Loop() {
		before := memory()
		conns := make([]net.Conn, callers)
		for i := range conns {
			conn, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				b.Fatal(err)
			}
			c := newRawCaller(b, wrap(conn))
			c.prepare(b)
			if err := c.simple(); err != nil {
				b.Fatal(err)
			}
			conns[i] = conn // without the state of the caller's TLS
		}
		time.Sleep(bufferHold + 200*time.Millisecond)
		with := memory()
		b.ReportMetric(float64(with-before)/callers, "B/caller")
		for _, c := range conns {
			c.Close()
		}
		for l.Callers() > 0 {
			time.Sleep(time.Millisecond)
		}
	}
}

// memory returns the bytes of live heap objects and of stacks.
func memory() int64 {
	var m runtime.MemStats
	for range 3 {
		runtime.GC()
	}
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}
