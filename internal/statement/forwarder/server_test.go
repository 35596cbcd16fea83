package forwarder

import (
	"errors"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"parsleyscale/internal/client/budgeter"
	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/session/tokenizer"
	"parsleyscale/internal/statement/carrier"
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
