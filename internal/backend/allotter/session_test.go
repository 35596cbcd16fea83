package allotter

import (
	"context"
	"maps"
	"testing"
	"testing/synctest"
	"time"

	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/session/tokenizer"
	"parsleyscale/internal/statement/carrier"
)

// sessionDialer opens connections to an instance, or to a gateway of it, that refuses commands of a verb.
type sessionDialer struct {
	refuses carrier.Verb
	isLink  bool
	dials   int
	ran     []map[string]string // session values with which each read ran
}

func (d *sessionDialer) Dial(context.Context, carrier.Target) (carrier.Conn, tokenizer.Position, error) {
	d.dials++
	return &sessionConn{dialer: d, values: map[string]string{}}, tokenizer.Position{}, nil
}

// sessionConn carries out commands when they are sent.
type sessionConn struct {
	dialer     *sessionDialer
	values     map[string]string
	isRefusing bool // like a gateway after a refused command
	replies    []carrier.Reply
}

func (c *sessionConn) Send(cmds ...carrier.Command) error {
	for _, cmd := range cmds {
		c.replies = append(c.replies, c.execute(cmd))
	}
	return nil
}

func (c *sessionConn) execute(cmd carrier.Command) carrier.Reply {
	switch {
	case c.isRefusing:
		return carrier.ErrorReply(classifier.Overloaded, "").WithState(carrier.Failed)
	case cmd.Verb == c.dialer.refuses:
		c.isRefusing = c.dialer.isLink
		return carrier.ErrorReply(classifier.StatementFailed, "")
	case cmd.Verb == carrier.Reset:
		clear(c.values)
	case cmd.Verb == carrier.Set:
		c.values[cmd.Name] = cmd.Args
	case cmd.Verb == carrier.Read:
		c.dialer.ran = append(c.dialer.ran, maps.Clone(c.values))
	}
	return carrier.Reply{}
}

func (c *sessionConn) Receive() (carrier.Reply, error) {
	r := c.replies[0]
	c.replies = c.replies[1:]
	return r, nil
}

func (c *sessionConn) IsLink() bool        { return c.dialer.isLink }
func (*sessionConn) SetDeadline(time.Time) {}
func (*sessionConn) IsBroken() bool        { return false }
func (*sessionConn) Close()                {}

// Guards against a statement that runs with other session values than those of its session, or without its prepared statement,
// because a command ahead of it was refused: the answer must say that it has not run, and the connection must not be used again.
func TestRefusedSessionState(t *testing.T) {
	read := carrier.Command{Statement: carrier.Statement{ID: "x", Verb: carrier.Read}}
	prepared := &carrier.Statement{Verb: carrier.Prepare, Name: "p1", PreparedVerb: carrier.Read}
	for _, c := range []struct {
		refuses carrier.Verb
		isLink  bool
	}{{carrier.Set, false}, {carrier.Prepare, false}, {carrier.Reset, false}, {carrier.Set, true}, {carrier.Prepare, true}, {carrier.Reset, true}} {
		t.Run(c.refuses.String()+map[bool]string{true: " at a gateway", false: " at the instance"}[c.isLink], func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := &sessionDialer{isLink: c.isLink}
				a := New(Config{Dialer: d, Limits: func(carrier.Target) Limits { return Limits{Open: 1} }, Observe: func(carrier.Target, tokenizer.Position, time.Duration, error) {}})
				defer a.Close()
				exchange := func(values map[string]string, prepared *carrier.Statement) carrier.Reply {
					t.Helper()
					l, err := acquire(t, a, time.Second)
					if err != nil {
						t.Fatal(err)
					}
					replies, _, err := l.ExchangeInSession(values, prepared, read)
					if err != nil || len(replies) != 1 {
						t.Fatalf("%d replies, error %v; want one", len(replies), err)
					}
					l.Release()
					return replies[0]
				}
				exchange(map[string]string{"other": "session"}, nil)
				d.refuses, d.ran = c.refuses, nil
				if r := exchange(map[string]string{"v": "1"}, prepared); r.Kind != classifier.Overloaded || r.State == carrier.Idle {
					t.Errorf("reply %+v, want a refusal that ends the use of the connection", r)
				}
				if len(d.ran) > 0 {
					t.Errorf("the statement ran with the session values %v", d.ran)
				}
				d.refuses = carrier.Unknown
				if r := exchange(map[string]string{"v": "1"}, prepared); !r.OK() || d.dials != 2 {
					t.Errorf("reply %+v to the next statement on the %d. connection, want success on the second", r, d.dials)
				}
				if len(d.ran) != 1 || !maps.Equal(d.ran[0], map[string]string{"v": "1"}) {
					t.Errorf("the next statement ran with the session values %v", d.ran)
				}
			})
		})
	}
}
