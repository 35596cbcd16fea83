package forwarder

import (
	"errors"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"parsleyscale/internal/client/budgeter"
	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/session/tokenizer"
	"parsleyscale/internal/statement/carrier"
	"parsleyscale/internal/statement/namer"
)

// fakeListener accepts as many connections as a test sends.
type fakeListener struct{ conns chan net.Conn }

func (l fakeListener) Accept() (net.Conn, error) {
	c, ok := <-l.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}

func (fakeListener) Close() error   { return nil }
func (fakeListener) Addr() net.Addr { return &net.TCPAddr{} }

// fakeConn is a connection of a VM whose first command causes a panic or an error.
type fakeConn struct {
	panics   bool
	isClosed bool
}

func (*fakeConn) ReceiveStart() (group, instance string, err error)  { return "g", "i", nil }
func (*fakeConn) ReplyToStart(_ tokenizer.Position, err error) error { return err }
func (*fakeConn) Send(carrier.Reply) error                           { return nil }
func (c *fakeConn) Close()                                           { c.isClosed = true }
func (c *fakeConn) Receive() (carrier.Command, error) {
	if c.panics {
		panic("nil map")
	}
	return carrier.Command{}, errors.New("connection reset")
}

// Guards against a command of one VM that ends the gateway, and with it the connections of all VMs.
func TestPanicEndsOnlyItsConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := fakeListener{make(chan net.Conn)}
		conns := []*fakeConn{{panics: true}, {}}
		accepted, panics := 0, 0
		s := NewServer(Config{
			Listener: l, OnPanic: func(error) { panics++ },
			Accept: func(net.Conn, *budgeter.Account) Conn { accepted++; return conns[accepted-1] },
			Find: func(string, string) (carrier.Target, tokenizer.Position, bool) {
				return carrier.Target{}, tokenizer.Position{}, true
			},
		})
		go s.Serve()
		for range conns {
			l.conns <- nil
			synctest.Wait()
		}
		close(l.conns)
		s.Close()
		if panics != 1 || !conns[0].isClosed || !conns[1].isClosed {
			t.Errorf("%d panics, connections closed: %t and %t; want 1 and both closed", panics, conns[0].isClosed, conns[1].isClosed)
		}
	})
}

// Guards against a wait that is longer than another VM asks for, after which it has given up, and against a long wait under
// overload.
func TestAcquireWait(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct {
		asked        time.Duration // 0: not given
		isOverloaded bool
		want         time.Duration
	}{
		{0, false, acquireTimeout}, {0, true, overloadAcquireTimeout}, {200 * ms, false, 200 * ms}, {time.Hour, false, maxAcquireTimeout},
		{200 * ms, true, overloadAcquireTimeout}, {800 * ms, true, 200 * ms}, {time.Hour, true, maxAcquireTimeout / overloadWaitDivisor}, {20 * ms, true, 20 * ms},
	} {
		if got := acquireWait(carrier.Urgency{Wait: c.asked}, c.isOverloaded); got != c.want {
			t.Errorf("asked for %s, overload %t: %s, want %s", c.asked, c.isOverloaded, got, c.want)
		}
	}
}

// Guards against a gateway that refuses, for a fault of the instance, a statement that only this instance can serve, or one that the
// other gateways of the group may have refused, too.
func TestAvoidedReads(t *testing.T) {
	read := carrier.Command{After: tokenizer.Position{Term: 1, Index: 1}, Urgency: carrier.Urgency{Wait: time.Second}}
	noFloor, noUrgency, old := read, read, read
	noFloor.After = tokenizer.Position{}
	noUrgency.Urgency = carrier.Urgency{}
	old.Urgency.Age = maxAvoidedAge
	c := &proxyConn{server: NewServer(Config{Avoid: func(carrier.Target) error { return classifier.New(classifier.Overloaded, "fault") }})}
	if c.avoid(read) == nil {
		t.Error("a read that another instance can serve waits for the instance")
	}
	for name, cmd := range map[string]carrier.Command{"may need the primary": noFloor, "of an earlier version": noUrgency, "has been tried elsewhere": old} {
		if err := c.avoid(cmd); err != nil {
			t.Errorf("a statement that %s is refused: %v", name, err)
		}
	}
}

// step is a command of another VM, or the error of its message.
type step struct {
	cmd carrier.Command
	err error
}

// scriptedConn is a connection of a VM that sends the commands of a script and records the replies.
type scriptedConn struct {
	fakeConn
	steps   []step
	replies []carrier.Reply
}

func (c *scriptedConn) Send(r carrier.Reply) error { c.replies = append(c.replies, r); return nil }
func (c *scriptedConn) Receive() (carrier.Command, error) {
	if len(c.steps) == 0 {
		return carrier.Command{}, io.EOF
	}
	s := c.steps[0]
	c.steps = c.steps[1:]
	return s.cmd, s.err
}

// Guards against a statement that runs on the instance without the session value that was sent ahead of it, and that this gateway
// had no memory for, or under the name of a prepared statement that it does not have.
func TestCommandsAfterRefusedOne(t *testing.T) {
	command := func(v carrier.Verb, name string) step {
		return step{cmd: carrier.Command{Statement: carrier.Statement{ID: "x", Verb: v, Name: name, Args: "text"}}}
	}
	for _, c := range []struct {
		name  string
		steps []step
		want  classifier.Kind // of the last reply
		state carrier.State
	}{
		{"no memory for a message", []step{{err: classifier.New(classifier.Overloaded, "no room")}, command(carrier.Read, "")}, classifier.Overloaded, carrier.Failed},
		{"no memory for a value", []step{command(carrier.Set, "v"), command(carrier.Read, "")}, classifier.Overloaded, carrier.Failed},
		{"no memory for a prepared statement", []step{command(carrier.Prepare, "p"), command(carrier.Execute, "p")}, classifier.Overloaded, carrier.Failed},
		{"a reset after it", []step{command(carrier.Set, "v"), command(carrier.Reset, ""), command(carrier.Write, "")}, classifier.Overloaded, carrier.Failed},
		{"an unknown prepared statement", []step{command(carrier.Execute, "p")}, classifier.UnknownStatement, carrier.Idle},
	} {
		t.Run(c.name, func(t *testing.T) {
			conn := &scriptedConn{steps: c.steps}
			budget := budgeter.New(budgeter.Limits{Process: budgeter.Amounts{budgeter.Connections: 1}, KeptBySession: 1 << 20}, nil)
			account, err := budget.OpenPeer(nil)
			if err != nil {
				t.Fatal(err)
			}
			// Without a pool, a command that is passed on panics.
			p := &proxyConn{server: NewServer(Config{Names: &namer.Namer{}}), conn: conn, account: account, values: map[string]string{}, prepared: map[string]carrier.Statement{}}
			p.run()
			if len(conn.replies) != len(c.steps) {
				t.Fatalf("replies %+v, want %d", conn.replies, len(c.steps))
			}
			if last := conn.replies[len(conn.replies)-1]; last.Kind != c.want || last.State != c.state {
				t.Errorf("last reply %+v, want kind %s and state %d", last, c.want, c.state)
			}
		})
	}
}
