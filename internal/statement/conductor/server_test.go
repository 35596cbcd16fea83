package conductor

import (
	"errors"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"parsleyscale/internal/client/budgeter"
	"parsleyscale/internal/sheet/cataloger"
	"parsleyscale/internal/statement/carrier"
)

// pipeListener accepts connections that a test makes.
type pipeListener struct{ conns chan net.Conn }

func (l pipeListener) Accept() (net.Conn, error) {
	c, ok := <-l.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}

func (l pipeListener) Close() error { return nil }
func (pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// fakeClient asks for database d and then fails, with a panic or an error.
type fakeClient struct {
	conn   net.Conn
	panics bool
	sent   []carrier.Reply
}

func (c *fakeClient) Start() (string, string, error) { return "d", "", nil }
func (c *fakeClient) Wait(time.Time) error           { return nil }
func (c *fakeClient) Send(r carrier.Reply) error     { c.sent = append(c.sent, r); return nil }
func (c *fakeClient) Close()                         { _ = c.conn.Close() }
func (c *fakeClient) Receive() (carrier.Statement, error) {
	if c.panics {
		panic("index out of range")
	}
	return carrier.Statement{}, errors.New("connection reset")
}

// Guards against a statement that ends the sessions of all clients because its handling panics.
func TestPanicEndsOnlyItsSession(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := pipeListener{make(chan net.Conn)}
		var ends []string
		var panics []error
		accepted := 0
		s := NewServer(Config{
			Listener: l, Clock: func() time.Duration { return 0 },
			Accept: func(c net.Conn, _ *budgeter.Account) ClientConn {
				accepted++
				return &fakeClient{conn: c, panics: accepted == 1}
			},
			Configuration: func() *cataloger.Configuration {
				return &cataloger.Configuration{Routes: map[string]cataloger.Route{"d": {Database: "d", Group: "g"}}}
			},
			OnEnd:   func(reason string) { ends = append(ends, reason) },
			OnPanic: func(err error) { panics = append(panics, err) },
		})
		go func() { _ = s.Serve() }()
		for range 2 {
			client, server := net.Pipe()
			l.conns <- server
			if _, err := client.Read(make([]byte, 1)); err == nil {
				t.Error("the session is still open")
			}
			synctest.Wait()
		}
		close(l.conns)
		if len(ends) != 2 || ends[0] != panicked || ends[1] != "callerBroke" || s.SessionCount() != 0 {
			t.Errorf("sessions ended with %q, %d are open; want %q, then callerBroke, none", ends, s.SessionCount(), panicked)
		}
		if len(panics) != 1 || !strings.Contains(panics[0].Error(), "fakeClient") {
			t.Errorf("panics %v, want one with the stack", panics)
		}
	})
}
