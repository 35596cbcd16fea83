package listener

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os/exec"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"

	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/request/exchanger"
)

// blockSlowStatements returns a hook that signals started and then blocks until the context ends, for statements that
// contain "slow".
func blockSlowStatements(started chan<- struct{}) func(context.Context, string) error {
	return func(ctx context.Context, sql string) error {
		if !strings.Contains(sql, "slow") {
			return nil
		}
		started <- struct{}{}
		<-ctx.Done()
		return ctx.Err()
	}
}

// TestStartupErrors guards against refusals at startup without the matching SQLSTATE and error kind.
func TestStartupErrors(t *testing.T) {
	cfg := newTestConfig(t, &fakeRunner{})
	l := startListener(t, cfg)
	cfg.Ready = func() error { return errors.New("no configuration") }
	unready := startListener(t, cfg)
	for _, c := range []struct {
		l           *Listener
		extraParams string
		code, kind  string
		hasDatabase bool
	}{
		{l, "", "3D000", "unknownDatabase", false},
		{l, "&parsleyscale.read=other", "22023", "unknownReadKind", true},
		{l, "&parsleyscale.token=x", "22023", "badToken", true},
		{l, "&options=-c%20parsleyscale.key%3D1", "22023", "badKey", true},
		{l, "&options=-c%20work_mem%3D1", "0A000", "unsupported", true},
		{l, "&replication=database", "0A000", "unsupported", true},
		{unready, "", "57P03", "notReady", true},
	} {
		text := dsn(c.l, c.extraParams)
		if !c.hasDatabase {
			text = strings.Replace(text, "/orders", "/other", 1)
		}
		_, err := pgx.Connect(t.Context(), text)
		if code, detail := codeOf(err); code != c.code || !strings.Contains(detail, "kind="+c.kind+" ran=no") {
			t.Errorf("%q: %v, %s", c.extraParams, err, detail)
		}
	}
}

// TestStartupParameters guards against startup parameters that do not reach the request.
func TestStartupParameters(t *testing.T) {
	f := &fakeRunner{}
	l := startListener(t, newTestConfig(t, f))
	conn := connect(t, l, "&parsleyscale.session=s1&options=-c%20parsleyscale.read%3Dstock%20--application_name%3Da\\%20b")
	if _, err := conn.Exec(t.Context(), "select 1"); err != nil {
		t.Fatal(err)
	}
	if got, want := f.takeRequests(), "read - s1 stock false 0/0"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}

// TestTLS guards against passwords that are accepted without TLS, and against wrong passwords that are accepted.
func TestTLS(t *testing.T) {
	cert := httptest.NewUnstartedServer(http.NotFoundHandler())
	cert.StartTLS()
	defer cert.Close()
	cfg := newTestConfig(t, &fakeRunner{})
	cfg.TLS = &tls.Config{Certificates: cert.TLS.Certificates}
	cfg.TrustLoopback = false
	cfg.Credentials = map[string]string{"clerk": "secret"}
	l := startListener(t, cfg)
	for _, c := range []struct{ user, password, mode, want string }{
		{"clerk", "secret", "require", ""},
		{"clerk", "wrong", "require", "28P01"},
		{"clerk", "", "require", "28P01"},
		{"other", "secret", "require", "28P01"},
		{"other", "", "require", "28P01"},
		{"clerk", "secret", "disable", "28000"},
	} {
		conn, err := pgx.Connect(t.Context(), "postgres://"+c.user+":"+c.password+"@"+l.Addr().String()+"/orders?sslmode="+c.mode)
		if code, _ := codeOf(err); code != c.want || (err == nil) != (c.want == "") {
			t.Errorf("%+v: %v", c, err)
		}
		if err == nil {
			conn.Close(t.Context())
		}
	}
	cmd := exec.Command("psql", "-X", "-At", "postgres://clerk:secret@"+l.Addr().String()+"/orders?sslmode=require", "-c", "select 1")
	if out, err := cmd.CombinedOutput(); err != nil || string(out) != "select 1\n" {
		t.Errorf("psql over TLS: %v, %q", err, out)
	}
}

// TestConfigCheck guards against a listener without TLS although TrustLoopback is not set.
func TestConfigCheck(t *testing.T) {
	cfg := newTestConfig(t, &fakeRunner{})
	cfg.TrustLoopback = false
	if _, err := New(cfg); err == nil {
		t.Error("New succeeded with neither TLS nor TrustLoopback")
	}
}

// TestMalformedMessages guards against invalid input that affects other clients or gets no clear error.
func TestMalformedMessages(t *testing.T) {
	cfg := newTestConfig(t, &fakeRunner{})
	cfg.Limits.MessageBytes = 1000
	l := startListener(t, cfg)
	other := dialRaw(t, l.Addr().String())
	defer other.conn.Close()
	large, _ := (&pgproto3.Query{String: strings.Repeat("x", 2000)}).Encode(nil)
	parse, _ := (&pgproto3.Parse{Name: "a", Query: strings.Repeat("x", 600)}).Encode(nil)
	second, _ := (&pgproto3.Parse{Name: "b", Query: strings.Repeat("x", 600)}).Encode(nil)
	for _, c := range []struct{ name, input, want string }{
		{"unknown type", "z\x00\x00\x00\x04", "badMessage"},
		{"negative length", "Q\xff\xff\xff\xff", "badMessage"},
		{"huge length", "Q\x7f\xff\xff\xff", "messageTooLarge"},
		{"large", string(large), "messageTooLarge"},
		{"large batch", string(parse) + string(second), "messageTooLarge"},
		{"no terminator", "Q\x00\x00\x00\x05x", "badMessage"},
		{"bind too short", "B\x00\x00\x00\x06\x00\x00", "badMessage"},
		{"password", "p\x00\x00\x00\x05\x00", "badMessage"},
	} {
		bad := dialRaw(t, l.Addr().String())
		bad.conn.SetDeadline(time.Now().Add(5 * time.Second))
		io.WriteString(bad.conn, c.input)
		m, err := bad.f.Receive()
		if err != nil {
			t.Errorf("%s: %v", c.name, err)
		} else if e, ok := m.(*pgproto3.ErrorResponse); !ok || !strings.HasPrefix(e.Detail, "kind="+c.want) || e.Severity != "FATAL" {
			t.Errorf("%s: got %+v", c.name, m)
		}
		bad.conn.Close()
		if err := other.simple(); err != nil {
			t.Fatalf("%s: other client: %v", c.name, err)
		}
	}
}

// TestTooLargeMessageGetsError guards against a connection reset that reaches the client instead of the error. The reset
// happens if the VM closes the connection while the rest of the large message is unread.
func TestTooLargeMessageGetsError(t *testing.T) {
	cfg := newTestConfig(t, &fakeRunner{})
	cfg.Limits.MessageBytes = 1000
	l := startListener(t, cfg)
	large, _ := (&pgproto3.Query{String: strings.Repeat("x", 4<<20)}).Encode(nil)
	for range 20 {
		c := dialRaw(t, l.Addr().String())
		c.conn.SetDeadline(time.Now().Add(5 * time.Second))
		if _, err := c.conn.Write(large); err != nil {
			t.Fatalf("write: %v", err)
		}
		m, err := c.f.Receive()
		if e, ok := m.(*pgproto3.ErrorResponse); !ok || !strings.HasPrefix(e.Detail, "kind=messageTooLarge") {
			t.Fatalf("got %+v, %v", m, err)
		}
		c.conn.Close()
	}
}

// TestStatementLimits guards against a client whose prepared statements exhaust the memory of the VM.
func TestStatementLimits(t *testing.T) {
	cfg := newTestConfig(t, &fakeRunner{})
	cfg.Limits.Statements = 10
	cfg.Limits.MessageBytes = 1000
	l := startListener(t, cfg)
	for _, c := range []struct{ bytes, want int }{{20, 10}, {300, 3}} {
		conn := connect(t, l, "")
		var err error
		n := 0
		for ; err == nil; n++ {
			_, err = conn.PgConn().Prepare(t.Context(), fmt.Sprint(n), "select "+strings.Repeat("1", c.bytes-7), nil)
		}
		if n-1 != c.want {
			t.Errorf("%d statements of %d bytes, then %v", n-1, c.bytes, err)
		}
		conn.Exec(t.Context(), "deallocate 0")
		conn.Exec(t.Context(), "deallocate all")
		if _, err := conn.PgConn().Prepare(t.Context(), "a", "select 1", nil); err != nil {
			t.Errorf("after deallocate: %v", err)
		}
	}
}

// TestDrain guards against a drain that interrupts a transaction or leaves idle clients connected.
func TestDrain(t *testing.T) {
	f := &fakeRunner{}
	l := startListener(t, newTestConfig(t, f))
	idle, busy := connect(t, l, ""), connect(t, l, "")
	tx, err := busy.Begin(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		done <- l.Drain(ctx)
	}()
	for l.Clients() > 1 {
		time.Sleep(time.Millisecond)
	}
	if _, err := tx.Exec(t.Context(), "insert 1"); err != nil {
		t.Errorf("statement while draining: %v", err)
	}
	if err := tx.Commit(t.Context()); err != nil {
		t.Errorf("commit while draining: %v", err)
	}
	if err := <-done; err != nil {
		t.Error(err)
	}
	for _, conn := range []*pgx.Conn{idle, busy} {
		if code, _ := codeOf(conn.Ping(t.Context())); code != "57P01" {
			t.Errorf("SQLSTATE %q after the drain, want 57P01", code)
		}
	}
	if _, err := pgx.Connect(t.Context(), dsn(l, "")); err == nil {
		t.Error("a client was accepted after the drain")
	}
}

// TestCloseDuringStartup guards against a Close that waits for a client which sends no startup message.
func TestCloseDuringStartup(t *testing.T) {
	l := startListener(t, newTestConfig(t, &fakeRunner{}))
	conn, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	time.Sleep(20 * time.Millisecond) // until the connection is accepted
	start := time.Now()
	l.Close()
	if d := time.Since(start); d > 2*time.Second {
		t.Errorf("close took %v, want at most 2 s", d)
	}
}

// TestDrainTimeout guards against a Drain that ignores its context, and against a Close that leaves units running.
func TestDrainTimeout(t *testing.T) {
	started := make(chan struct{}, 1)
	f := &fakeRunner{hook: blockSlowStatements(started)}
	l := startListener(t, newTestConfig(t, f))
	conn := connect(t, l, "")
	result := make(chan error, 1)
	go func() {
		_, err := conn.Exec(context.Background(), "insert slow")
		result <- err
	}()
	<-started
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if err := l.Drain(ctx); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("drain: %v", err)
	}
	l.Close()
	if n := l.Clients(); n != 0 {
		t.Errorf("%d client sessions after close", n)
	}
	if code, detail := codeOf(<-result); code != "08007" {
		t.Errorf("write interrupted by close: SQLSTATE %q, %s", code, detail)
	}
}

// TestCancel guards against cancel requests that have no effect or affect another session, and against a canceled write
// that is reported as not executed.
func TestCancel(t *testing.T) {
	started := make(chan struct{}, 1)
	cfg := newTestConfig(t, &fakeRunner{hook: blockSlowStatements(started)})
	forwarded := make(chan uint16, 1)
	cfg.ForwardCancel = func(_ context.Context, hash uint16, _, _ uint32) { forwarded <- hash }
	l := startListener(t, cfg)
	conn := connect(t, l, "")
	for _, c := range []struct{ sql, code string }{{"select slow()", "57014"}, {"insert slow", "08007"}} {
		result := make(chan error, 1)
		go func() {
			_, err := conn.Exec(context.Background(), c.sql)
			result <- err
		}()
		<-started
		if l.Cancel(conn.PgConn().PID(), 1) {
			t.Error("cancel with a wrong key succeeded")
		}
		if err := conn.PgConn().CancelRequest(t.Context()); err != nil {
			t.Error(err)
		}
		if code, detail := codeOf(<-result); code != c.code {
			t.Errorf("%s: SQLSTATE %q, %s", c.sql, code, detail)
		}
	}
	if _, err := conn.Exec(t.Context(), "select 1"); err != nil {
		t.Errorf("statement after cancel: %v", err)
	}
	other, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	m, _ := (&pgproto3.CancelRequest{ProcessID: uint32(VMHash("vm-2")) << 16, SecretKey: make([]byte, 4)}).Encode(nil)
	other.Write(m)
	select {
	case hash := <-forwarded:
		if hash != VMHash("vm-2") {
			t.Errorf("forwarded to hash %d", hash)
		}
	case <-time.After(5 * time.Second):
		t.Error("cancel request for an unknown session was not forwarded")
	}
}

// TestCancelInTransaction guards against a cancel request that ends a transaction while no statement runs.
func TestCancelInTransaction(t *testing.T) {
	l := startListener(t, newTestConfig(t, &fakeRunner{}))
	conn := connect(t, l, "")
	tx, err := conn.Begin(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	time.Sleep(20 * time.Millisecond) // until the session waits for the next statement
	conn.PgConn().CancelRequest(t.Context())
	if _, err := tx.Exec(t.Context(), "insert 1"); err != nil {
		t.Error(err)
	}
	if err := tx.Commit(t.Context()); err != nil {
		t.Error(err)
	}
}

// TestClientDisconnect guards against statements that continue to run after their client has disconnected, also if
// unread messages precede the end of the stream.
func TestClientDisconnect(t *testing.T) {
	for _, unread := range []string{"", "X\x00\x00\x00\x04"} {
		testLocalAndForwarded(t, func(t *testing.T, f *fakeRunner, l *Listener) {
			started, ended := make(chan struct{}, 1), make(chan struct{}, 1)
			block := blockSlowStatements(started)
			f.hook = func(ctx context.Context, sql string) error {
				defer func() { ended <- struct{}{} }()
				return block(ctx, sql)
			}
			c := dialRaw(t, l.Addr().String())
			c.f.Send(&pgproto3.Query{String: "select slow()"})
			c.f.Flush()
			<-started
			io.WriteString(c.conn, unread)
			c.conn.Close()
			select {
			case <-ended:
			case <-time.After(3 * time.Second):
				t.Error("statement still runs 3 s after the client disconnected")
			}
		})
	}
}

// TestClientLimit guards against more clients than the limit, and against ended sessions that still count.
func TestClientLimit(t *testing.T) {
	cfg := newTestConfig(t, &fakeRunner{})
	cfg.Limits.Clients = 2
	l := startListener(t, cfg)
	for range 3 {
		a, b := dialRaw(t, l.Addr().String()), dialRaw(t, l.Addr().String())
		_, err := pgx.Connect(t.Context(), dsn(l, ""))
		if code, _ := codeOf(err); code != "53000" {
			t.Errorf("third client: got %v, want SQLSTATE 53000", err)
		}
		a.conn.Close()
		b.conn.Close()
		for l.Clients() > 0 {
			time.Sleep(time.Millisecond)
		}
	}
}

// slowClosingConn is a connection whose Close waits until it is released.
type slowClosingConn struct {
	net.Conn
	release chan struct{}
}

func (c slowClosingConn) Close() error {
	<-c.release
	return c.Conn.Close()
}

// Guards against sessions that have ended, and refused connections, that count against the limit of clients until their
// goroutines have ended: a client was refused although no session was open.
func TestClientLimitCountsOpenSessions(t *testing.T) {
	cfg := newTestConfig(t, &fakeRunner{})
	cfg.Limits.Clients = 1
	l := startListener(t, cfg)
	release := make(chan struct{})
	defer close(release)
	connect := func() *rawClient {
		clientEnd, serverEnd := net.Pipe()
		l.serveConn(slowClosingConn{serverEnd, release})
		return newRawClient(t, clientEnd)
	}
	open := connect()
	if _, err := pgx.Connect(t.Context(), dsn(l, "")); err == nil {
		t.Error("second client was accepted, the limit is 1")
	}
	open.conn.Close()
	for l.Clients() > 0 {
		time.Sleep(time.Millisecond)
	}
	connect().conn.Close()
}

// fixedDeadlineConn is a connection that is closed before its deadline can be removed.
type fixedDeadlineConn struct{ net.Conn }

func (c fixedDeadlineConn) SetDeadline(t time.Time) error {
	if t.IsZero() {
		return net.ErrClosed
	}
	return c.Conn.SetDeadline(t)
}

// Guards against sessions that count as open for good: the connection had been closed when the startup ended.
func TestSessionClosedAtEndOfStartup(t *testing.T) {
	l := startListener(t, newTestConfig(t, &fakeRunner{}))
	clientEnd, serverEnd := net.Pipe()
	l.serveConn(fixedDeadlineConn{serverEnd})
	newRawClient(t, clientEnd)
	for deadline := time.Now().Add(5 * time.Second); l.Clients() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d sessions are open after their only one has ended, want none", l.Clients())
		}
	}
}

// pipeClient connects to a listener over an in-memory pipe, because the fake clock of synctest does not advance while a
// goroutine waits for a socket.
func pipeClient(t *testing.T, l *Listener) *rawClient {
	t.Helper()
	clientEnd, serverEnd := net.Pipe()
	l.serveConn(serverEnd)
	return newRawClient(t, clientEnd)
}

// TestDeadlines guards against waits without a time limit. It checks the exact durations with the fake clock of
// synctest.
func TestDeadlines(t *testing.T) {
	for _, c := range []struct {
		name   string
		before []string
		send   string
		want   time.Duration
		kind   string
	}{
		{"idle", nil, "", bufferRetention + time.Hour, "timeout"},
		{"half a message", nil, "Q\x00", bufferRetention + 5*time.Second, "timeout"},
		{"idle in a transaction", []string{"begin"}, "", 30 * time.Second, "timeout"},
		{"statement", nil, "Q\x00\x00\x00\x12select slow()\x00", 10 * time.Second, "timeout"},
		{"open batch", nil, "P\x00\x00\x00\x09\x00x\x00\x00\x00", 30 * time.Second, "timeout"},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cfg := newTestConfig(t, &fakeRunner{hook: blockSlowStatements(make(chan struct{}, 9))})
				cfg.Limits = Limits{Idle: time.Hour, Startup: 5 * time.Second}
				l, err := newListener(cfg)
				if err != nil {
					t.Fatal(err)
				}
				client := pipeClient(t, l)
				for _, sql := range c.before {
					client.f.Send(&pgproto3.Query{String: sql})
					client.f.Flush()
					client.untilReady()
				}
				start := time.Now()
				io.WriteString(client.conn, c.send)
				m, err := client.f.Receive()
				if err != nil {
					t.Fatal(err)
				}
				e, ok := m.(*pgproto3.ErrorResponse)
				if !ok || !strings.HasPrefix(e.Detail, "kind="+c.kind) {
					t.Errorf("got %+v", m)
				}
				if d := time.Since(start); d != c.want {
					t.Errorf("after %v, want %v", d, c.want)
				}
				client.conn.Close()
				l.cancel()
				l.wg.Wait()
			})
		})
	}
}

// TestTokenAfterWrite guards against a write whose response reaches the client before the session token covers the
// write.
func TestTokenAfterWrite(t *testing.T) {
	testLocalAndForwarded(t, func(t *testing.T, f *fakeRunner, l *Listener) {
		conn := connect(t, l, "&parsleyscale.session=s")
		if _, err := conn.Exec(t.Context(), "insert 1"); err != nil {
			t.Fatal(err)
		}
		token := conn.PgConn().ParameterStatus(parameterToken)
		other := connect(t, l, "&parsleyscale.session=s&parsleyscale.token="+token)
		if _, err := other.Exec(t.Context(), "select 1"); err != nil {
			t.Fatal(err)
		}
		if r := f.last(); r.Floor.Index != 1 || !r.FloorCoversSession {
			t.Errorf("read on another connection: got request %+v, want floor index 1 and a token", r)
		}
	})
}

// TestLargeResponse guards against responses that accumulate in the memory of a VM. A client that does not read must
// block the Runner, both in this process and on another VM.
func TestLargeResponse(t *testing.T) {
	// limit exceeds the total size of socket buffers and flow-control windows.
	const rows, rowBytes, limit = 2000, 32 << 10, 16 << 20
	for _, route := range []func(testing.TB, exchanger.Runner) exchanger.Runner{localRunner, forwardedRunner} {
		var sent atomic.Int64
		l := startListener(t, newTestConfig(t, route(t, runFunc(func(_ context.Context, _ exchanger.Request, s exchanger.Stream) (exchanger.Result, error) {
			s.Receive()
			row := &pgproto3.DataRow{Values: [][]byte{make([]byte, rowBytes)}}
			for range rows {
				if err := s.Send(row); err != nil {
					return exchanger.Result{}, err
				}
				sent.Add(1)
			}
			s.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
			return exchanger.Result{}, nil
		}))))
		c := dialRaw(t, l.Addr().String())
		defer c.conn.Close()
		c.f.Send(&pgproto3.Query{String: "select 1"})
		c.f.Flush()
		time.Sleep(300 * time.Millisecond)
		if n := sent.Load(); n == 0 || n*rowBytes > limit {
			t.Errorf("runner sent %d rows before the client read one", n)
		}
		if err := c.untilReady(); err != nil || sent.Load() != rows {
			t.Errorf("runner sent %d rows, %v", sent.Load(), err)
		}
	}
}

// runFunc adapts a function to the Runner interface.
type runFunc func(ctx context.Context, r exchanger.Request, s exchanger.Stream) (exchanger.Result, error)

func (f runFunc) Run(ctx context.Context, r exchanger.Request, s exchanger.Stream) (exchanger.Result, error) {
	return f(ctx, r, s)
}

// TestFaultyRunner guards against a faulty Runner whose incomplete response to a write looks complete to the client.
func TestFaultyRunner(t *testing.T) {
	for name, run := range map[string]runFunc{
		"no response": func(context.Context, exchanger.Request, exchanger.Stream) (exchanger.Result, error) {
			return exchanger.Result{}, nil
		},
		"unclassified error": func(context.Context, exchanger.Request, exchanger.Stream) (exchanger.Result, error) {
			return exchanger.Result{}, errors.New("broken")
		},
		"incomplete response": func(_ context.Context, _ exchanger.Request, s exchanger.Stream) (exchanger.Result, error) {
			return exchanger.Result{}, s.Send(&pgproto3.DataRow{Values: [][]byte{nil}})
		},
	} {
		l := startListener(t, newTestConfig(t, run))
		conn := connect(t, l, "")
		_, err := conn.Exec(t.Context(), "insert 1")
		if _, detail := codeOf(err); !strings.HasPrefix(detail, "kind="+string(classifier.OutcomeUnknown)) {
			t.Errorf("%s: %v %s", name, err, detail)
		}
	}
}
