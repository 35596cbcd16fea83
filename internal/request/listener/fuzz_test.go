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

// canned is a connection that has all its input at once and then ends.
type canned struct {
	net.Conn
	in  *bytes.Reader
	out bytes.Buffer
}

func (c *canned) Read(b []byte) (int, error)       { return c.in.Read(b) }
func (c *canned) Write(b []byte) (int, error)      { return c.out.Write(b) }
func (c *canned) Close() error                     { return nil }
func (c *canned) RemoteAddr() net.Addr             { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)} }
func (c *canned) SetDeadline(time.Time) error      { return nil }
func (c *canned) SetReadDeadline(time.Time) error  { return nil }
func (c *canned) SetWriteDeadline(time.Time) error { return nil }

// exchange gives input to a session and returns all that the session sent.
func exchange(t testing.TB, l *Listener, input []byte) []byte {
	c := &canned{in: bytes.NewReader(input)}
	done := make(chan struct{})
	go func() {
		defer close(done)
		newSession(l, c).serve(false)
	}()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Fatalf("session does not end after %q", input)
	}
	return c.out.Bytes()
}

// checkFrames fails unless b is a list of whole messages of the server.
func checkFrames(t testing.TB, input, b []byte) {
	f := pgproto3.NewFrontend(bytes.NewReader(b), io.Discard)
	for read := 0; read < len(b); {
		m, err := f.Receive()
		if err != nil {
			t.Fatalf("after %q: output %q: %v", input, b, err)
		}
		text, _ := m.Encode(nil)
		read += len(text)
	}
}

func encode(messages ...pgproto3.FrontendMessage) []byte {
	var b []byte
	for _, m := range messages {
		b, _ = m.Encode(b)
	}
	return b
}

// panics is an Observer that fails on a panic of a session.
type panics struct{}

func (panics) CallerOpened(string)                                                {}
func (panics) CallerClosed(string)                                                {}
func (panics) UnitDone(exchanger.Request, exchanger.Result, time.Duration, error) {}
func (panics) Event(e Event) {
	if e.Name == "sessionPanicked" {
		panic(e.Err)
	}
}

// fuzzListener returns a listener without a socket.
func fuzzListener(f *testing.F) *Listener {
	cfg := newTestConfig(f, &fakeRunner{})
	cfg.Limits.MessageBytes = 1 << 16
	cfg.Observer = panics{}
	l, err := newListener(cfg)
	if err != nil {
		f.Fatal(err)
	}
	return l
}

func startUp() []byte {
	return encode(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30,
		Parameters: map[string]string{"user": "clerk", "database": "orders"}})
}

// FuzzStartUp guards against panics and endless sessions after any first bytes.
func FuzzStartUp(f *testing.F) {
	f.Add(startUp())
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
		exchange(t, l, input)
	})
}

// FuzzMessages guards against panics, endless sessions and cut answers after any bytes that follow a start-up.
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
		checkFrames(t, input, exchange(t, l, append(startUp(), input...)))
	})
}
