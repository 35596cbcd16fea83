package listener

import (
	"bytes"
	"io"
	"net"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"parsleyscale/internal/request/exchanger"
)

// memoryConn is a connection whose input is a byte slice, followed by EOF, and whose output is collected in memory.
type memoryConn struct {
	net.Conn
	in  *bytes.Reader
	out bytes.Buffer
}

func (c *memoryConn) Read(b []byte) (int, error)       { return c.in.Read(b) }
func (c *memoryConn) Write(b []byte) (int, error)      { return c.out.Write(b) }
func (c *memoryConn) Close() error                     { return nil }
func (c *memoryConn) RemoteAddr() net.Addr             { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)} }
func (c *memoryConn) SetDeadline(time.Time) error      { return nil }
func (c *memoryConn) SetReadDeadline(time.Time) error  { return nil }
func (c *memoryConn) SetWriteDeadline(time.Time) error { return nil }

// runSession runs a session with the given input and returns its output. It fails if the session does not end.
func runSession(t testing.TB, l *Listener, input []byte) []byte {
	c := &memoryConn{in: bytes.NewReader(input)}
	done := make(chan struct{})
	go func() {
		defer close(done)
		newSession(l, c, nil).serve(false)
	}()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Fatalf("session did not end within 5 s after input %q", input)
	}
	return c.out.Bytes()
}

// checkWholeMessages fails unless b, the output for input, consists of complete messages of the server.
func checkWholeMessages(t testing.TB, input, b []byte) {
	f := pgproto3.NewFrontend(bytes.NewReader(b), io.Discard)
	for read := 0; read < len(b); {
		m, err := f.Receive()
		if err != nil {
			t.Fatalf("input %q: output %q: %v", input, b, err)
		}
		text, _ := m.Encode(nil)
		read += len(text)
	}
}

// encode returns the wire format of the messages.
func encode(messages ...pgproto3.FrontendMessage) []byte {
	var b []byte
	for _, m := range messages {
		b, _ = m.Encode(b)
	}
	return b
}

// panicObserver is an Observer that panics when a session has panicked, so that the fuzz test fails.
type panicObserver struct{}

func (panicObserver) ClientConnected(string)                                             {}
func (panicObserver) ClientDisconnected(string)                                          {}
func (panicObserver) UnitDone(exchanger.Request, exchanger.Result, time.Duration, error) {}
func (panicObserver) Event(e Event) {
	if e.Name == "sessionPanicked" {
		panic(e.Err)
	}
}

// fuzzListener returns a listener without a socket.
func fuzzListener(f *testing.F) *Listener {
	cfg := newTestConfig(f, &fakeRunner{})
	cfg.Limits.MessageBytes = 1 << 16
	cfg.Observer = panicObserver{}
	l, err := newListener(cfg)
	if err != nil {
		f.Fatal(err)
	}
	return l
}

// encodeStartup returns the startup message of a valid client.
func encodeStartup() []byte {
	return encode(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30,
		Parameters: map[string]string{"user": "clerk", "database": "orders"}})
}

// FuzzStartUp guards against input at the start of a connection that causes a panic or a session that does not end.
func FuzzStartUp(f *testing.F) {
	f.Add(encodeStartup())
	f.Add(encode(&pgproto3.SSLRequest{}, &pgproto3.GSSEncRequest{}))
	f.Add(encode(&pgproto3.CancelRequest{SecretKey: make([]byte, 4)}))
	f.Add(encode(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion32,
		Parameters: map[string]string{"user": "orders", "_pq_.x": "1", "options": `-c a=b --c=d\ e`}}))
	f.Add([]byte("\x00\x00\x00\x08\x00\x03\x00\x00"))
	l := fuzzListener(f)
	f.Fuzz(func(t *testing.T, input []byte) {
		if len(input) > 1<<15 {
			return
		}
		runSession(t, l, input)
	})
}

// FuzzMessages guards against input after startup that causes a panic, a session that does not end, or truncated
// messages.
func FuzzMessages(f *testing.F) {
	query := func(sql string) *pgproto3.Query { return &pgproto3.Query{String: sql} }
	f.Add(encode(query("select 1"), query("begin"), query("set parsleyscale.read = 'x'"), query("lose noPrimary")))
	f.Add(encode(&pgproto3.Parse{Name: "a", Query: "select 1"}, &pgproto3.Bind{PreparedStatement: "a"},
		&pgproto3.Describe{ObjectType: 'P'}, &pgproto3.Execute{}, &pgproto3.Close{ObjectType: 'S', Name: "a"}, &pgproto3.Sync{}))
	f.Add(encode(&pgproto3.Parse{Query: "show parsleyscale.key"}, &pgproto3.Bind{}, &pgproto3.Flush{}, &pgproto3.Execute{}, &pgproto3.Sync{}))
	f.Add(encode(query("begin"), &pgproto3.Parse{Query: "copy"}, &pgproto3.Flush{}, &pgproto3.Bind{}, &pgproto3.Sync{}, query("commit")))
	f.Add(encode(&pgproto3.FunctionCall{}, &pgproto3.CopyData{}, &pgproto3.CopyDone{}, query("")))
	l := fuzzListener(f)
	f.Fuzz(func(t *testing.T, input []byte) {
		if len(input) > 1<<15 {
			return
		}
		checkWholeMessages(t, input, runSession(t, l, append(encodeStartup(), input...)))
	})
}
